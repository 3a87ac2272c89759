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
	count float64
	// meanDeclared and meanActual are the means of the logarithms; variance is
	// that of the declared ones, and covariance that of both.
	meanDeclared, meanActual, variance, covariance float64
}

// Observe records the actual run time of a task and its declared one. Values
// that are not positive are ignored.
func (trend *Trend) Observe(declared, ran modeller.Millis) {
	if declared <= 0 || ran <= 0 {
		return
	}
	trend.count = min(trend.count+1, maxTrendTasks)
	weight := 1 / trend.count
	x, y := math.Log(float64(declared)), math.Log(float64(ran))
	deltaX, deltaY := x-trend.meanDeclared, y-trend.meanActual
	trend.meanDeclared += weight * deltaX
	trend.meanActual += weight * deltaY
	trend.variance += weight * ((1-weight)*deltaX*deltaX - trend.variance)
	trend.covariance += weight * ((1-weight)*deltaX*deltaY - trend.covariance)
}

// RunTime returns the expected run time of a task from its declared one.
func (trend *Trend) RunTime(declared modeller.Millis) modeller.Millis {
	if trend == nil || trend.count < minTrendTasks || declared <= 0 {
		return declared
	}
	slope := 0.0
	if trend.variance > 0 {
		slope = min(max(trend.covariance/trend.variance, 0), 1)
	}
	return modeller.Millis(math.Exp(trend.meanActual + slope*(math.Log(float64(declared))-trend.meanDeclared)))
}

const (
	// paceSmoothing is the weight of the newest observation: the declared run
	// times of single tasks are off by a third, which ten tasks average out.
	paceSmoothing = 0.1
	// paceOutlierSmoothing is the weight of an observation that is off by
	// outlierRatio or more. A single task is never off that far, so the worker
	// must be slower or faster.
	paceOutlierSmoothing = 0.4
	outlierRatio         = 2.5
)

// Pace estimates how much slower or faster than expected a worker runs tasks.
// The zero Pace is that of a worker of usual speed.
type Pace struct {
	logFactor float64
}

// Observe records the actual run time of a task and its expected one. Values
// that are not positive are ignored.
func (pace *Pace) Observe(expected, ran modeller.Millis) {
	if expected <= 0 || ran <= 0 {
		return
	}
	deviation := math.Log(min(max(float64(ran)/float64(expected), 1/maxRatio), maxRatio)) - pace.logFactor
	smoothing := paceSmoothing
	if math.Abs(deviation) >= math.Log(outlierRatio) {
		smoothing = paceOutlierSmoothing
	}
	pace.logFactor += smoothing * deviation
}

// Factor returns the worker's run times as a multiple of the usual ones: above
// 1 for a slow worker.
func (pace *Pace) Factor() float64 { return math.Exp(pace.logFactor) }
