package estimator

import (
	"math"

	"github.com/dotterelrill/dotterelrill/modeller"
)

const (
	// minTrendTasks is how many tasks must be observed before a trend is used.
	minTrendTasks = 8
	// maxTrendTasks is the approximate number of tasks that a trend averages over.
	maxTrendTasks = 200
)

// Trend estimates how the actual run times of a queue's tasks depend on the
// declared ones, as a linear regression of their logarithms. Where declarations
// carry little information, the line is flat, and every task is expected to
// take about as long as the others did. The zero Trend returns declared run
// times unchanged.
type Trend struct {
	seen float64
	// declared and real are the means of the logarithms; variance is that of the
	// declared ones, and joint their covariance with the actual ones.
	declared, real, variance, joint float64
}

// Observe records the actual run time of a task and its declared one. Values
// that are not positive are ignored.
func (trend *Trend) Observe(declared, ran modeller.Millis) {
	if declared <= 0 || ran <= 0 {
		return
	}
	trend.seen = min(trend.seen+1, maxTrendTasks)
	weight := 1 / trend.seen
	x, y := math.Log(float64(declared)), math.Log(float64(ran))
	deltaX, deltaY := x-trend.declared, y-trend.real
	trend.declared += weight * deltaX
	trend.real += weight * deltaY
	trend.variance += weight * ((1-weight)*deltaX*deltaX - trend.variance)
	trend.joint += weight * ((1-weight)*deltaX*deltaY - trend.joint)
}

// RunTime returns the expected run time of a task from its declared one.
func (trend *Trend) RunTime(declared modeller.Millis) modeller.Millis {
	if trend == nil || trend.seen < minTrendTasks || declared <= 0 {
		return declared
	}
	slope := 0.0
	if trend.variance > 0 {
		slope = min(max(trend.joint/trend.variance, 0), 1)
	}
	return modeller.Millis(math.Exp(trend.real + slope*(math.Log(float64(declared))-trend.declared)))
}

const (
	// paceSmoothing is the weight of the newest observation: the declared run
	// times of single tasks are off by a third, which ten tasks average out.
	paceSmoothing = 0.1
	// paceOutlierSmoothing is the weight of an observation that is off by
	// outlierRatio or more. A single task is never off that far, so the worker
	// must be.
	paceOutlierSmoothing = 0.4
	outlierRatio         = 2.5
)

// Pace estimates how much slower or faster than expected a worker runs tasks.
// The zero Pace is that of a worker of usual speed.
type Pace struct {
	log float64
}

// Observe records the actual run time of a task and its expected one. Values
// that are not positive are ignored.
func (pace *Pace) Observe(expected, ran modeller.Millis) {
	if expected <= 0 || ran <= 0 {
		return
	}
	deviation := math.Log(min(max(float64(ran)/float64(expected), 1/maxRatio), maxRatio)) - pace.log
	smoothing := paceSmoothing
	if math.Abs(deviation) >= math.Log(outlierRatio) {
		smoothing = paceOutlierSmoothing
	}
	pace.log += smoothing * deviation
}

// Factor returns the worker's run times as a multiple of the usual ones: above
// 1 for a slow worker.
func (pace *Pace) Factor() float64 { return math.Exp(pace.log) }
