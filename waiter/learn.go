package waiter

import (
	"math"

	"github.com/dotterelrill/dotterelrill/modeller"
)

const (
	// minObservations is how many tasks must have run near, and how many elsewhere, before
	// an observed penalty is used: run times vary by a third, which eight tasks average out
	// to about a tenth.
	minObservations = 8
	// maxObservations is the approximate number of tasks that a mean is taken over.
	maxObservations = 100
	// maxRatio bounds a single observation, as one task in 33 runs seven times as long as
	// the others.
	maxRatio = 4.0
)

// penalty holds the means of the logarithms of actual over expected run times of a queue's
// tasks.
type penalty struct {
	near, far mean
}

// mean is a mean in which newer observations weigh more.
type mean struct {
	count, value float64
}

func (mean *mean) observe(value float64) {
	mean.count = min(mean.count+1, maxObservations)
	mean.value += (value - mean.value) / mean.count
}

// Observe records the actual run time of a task, or of a gang, and the one that is expected
// near. Values that are not positive are ignored.
func (waiter *Waiter) Observe(queue modeller.QueueName, near bool, expected, ran modeller.Millis) {
	if expected <= 0 || ran <= 0 {
		return
	}
	known := waiter.penalties[queue]
	if known == nil {
		known = &penalty{}
		waiter.penalties[queue] = known
	}
	ratio := math.Log(min(max(float64(ran)/float64(expected), 1/maxRatio), maxRatio))
	if near {
		known.near.observe(ratio)
	} else {
		known.far.observe(ratio)
	}
}

// Penalty returns how many times as long a queue's tasks run elsewhere.
func (waiter *Waiter) Penalty(queue modeller.QueueName) float64 {
	known := waiter.penalties[queue]
	if known == nil || known.near.count < minObservations || known.far.count < minObservations {
		return waiter.config.Penalty
	}
	return max(1, math.Exp(known.far.value-known.near.value))
}

const (
	// initialDeviation is the assumed error of expected times until waits have ended: run
	// times are off by a third, and the last of several tasks by more.
	initialDeviation = 0.5
	// The weights of the newest observation are those of the estimate of round-trip times
	// in RFC 6298.
	ratioSmoothing     = 1.0 / 8
	deviationSmoothing = 1.0 / 4
	// maxOverrun bounds an observation and the factor, so that waits that are expected to be
	// short still begin and show when the forecast is better again.
	maxOverrun = 4.0
)

// overrun estimates how many times as long as expected waits take: the mean and the mean
// deviation.
type overrun struct {
	ratio, deviation float64
}

// observe records a wait that began with a chance and has ended. One that was given up
// tells only that it would have taken at least as long.
func (overrun *overrun) observe(first Chance, now modeller.Millis, givenUp bool) {
	expected := first.NearAt - first.Now
	if expected <= 0 || first.NearAt >= Never {
		return
	}
	ratio := min(float64(now-first.Now)/float64(expected), maxOverrun)
	if givenUp {
		ratio = max(ratio, overrun.ratio)
	}
	overrun.deviation += deviationSmoothing * (math.Abs(ratio-overrun.ratio) - overrun.deviation)
	overrun.ratio += ratioSmoothing * (ratio - overrun.ratio)
}

// factor returns how many times as long as expected a wait is taken to be: at least as much
// as the waits that have ended show beyond their spread. Adding the spread instead lets too
// many steps start elsewhere on a full fleet, where their longer runs delay all others.
func (overrun *overrun) factor() float64 {
	return min(max(overrun.ratio-overrun.deviation, 1), maxOverrun)
}
