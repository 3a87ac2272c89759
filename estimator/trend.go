package estimator

import (
	"math"

	"github.com/dotterelrill/dotterelrill/modeller"
)

const (
	// trendLeast is how many tasks have to be seen before a trend is believed.
	trendLeast = 8
	// trendMost is how many tasks a trend remembers, about.
	trendMost = 200
)

// Trend learns how the real run times of a queue's tasks follow the declared
// ones: a line through their logarithms. Where declarations say little, the line
// is flat, and every task is expected to take about what the others did. The
// zero Trend believes what is declared.
type Trend struct {
	seen float64
	// declared and real are means of the logarithms, variance and joint the
	// declarations' variance and their covariance with the real ones.
	declared, real, variance, joint float64
}

// Observe takes up how long a task ran that was declared to run so long.
func (trend *Trend) Observe(declared, ran modeller.Millis) {
	if declared <= 0 || ran <= 0 {
		return
	}
	trend.seen = min(trend.seen+1, trendMost)
	part := 1 / trend.seen
	x, y := math.Log(float64(declared)), math.Log(float64(ran))
	apartX, apartY := x-trend.declared, y-trend.real
	trend.declared += part * apartX
	trend.real += part * apartY
	trend.variance += part * ((1-part)*apartX*apartX - trend.variance)
	trend.joint += part * ((1-part)*apartX*apartY - trend.joint)
}

// RunTime returns what a task takes that is declared to take so long.
func (trend *Trend) RunTime(declared modeller.Millis) modeller.Millis {
	if trend == nil || trend.seen < trendLeast || declared <= 0 {
		return declared
	}
	slope := 0.0
	if trend.variance > 0 {
		slope = min(max(trend.joint/trend.variance, 0), 1)
	}
	return modeller.Millis(math.Exp(trend.real + slope*(math.Log(float64(declared))-trend.declared)))
}

const (
	// paceGain is the weight of the newest observation: the declared run times of
	// single tasks are off by a third, which ten tasks even out.
	paceGain = 0.1
	// paceGainFar is its weight where it is off by farFrom or more, by which no
	// task alone is.
	paceGainFar = 0.4
	farFrom     = 2.5
)

// Pace learns how much longer or shorter than expected a worker takes. The zero
// Pace is the usual one.
type Pace struct {
	log float64
}

// Observe takes up how long a task ran that was expected to run so long.
func (pace *Pace) Observe(expected, ran modeller.Millis) {
	if expected <= 0 || ran <= 0 {
		return
	}
	off := math.Log(min(max(float64(ran)/float64(expected), 1/ratioMost), ratioMost)) - pace.log
	gain := paceGain
	if math.Abs(off) >= math.Log(farFrom) {
		gain = paceGainFar
	}
	pace.log += gain * off
}

// Factor returns what part of the usual time the worker takes.
func (pace *Pace) Factor() float64 { return math.Exp(pace.log) }
