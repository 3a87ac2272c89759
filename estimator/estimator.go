// Package estimator owns the correction of declared run times by the actual run
// times of a queue's earlier tasks, and of expected ones by the speed of a
// worker.
//
// The estimates guide placement policy only: when deferrable work must start,
// how long a worker stays busy, what may run in a gap. The state machines of
// packages applier and stager do not use them; they count what was committed.
package estimator

import "github.com/dotterelrill/dotterelrill/modeller"

// Key identifies the tasks whose run times are estimated together.
type Key struct {
	ClientAccount modeller.ClientAccountName
	Queue         modeller.QueueName
}

const (
	// smoothingFactor is the weight of the newest observation.
	smoothingFactor = 0.2
	// maxRatio bounds how far an estimate departs from the declared run time, in
	// either direction.
	maxRatio = 20.0
)

// Estimator keeps a moving average of the ratio of actual to declared run time
// for each queue.
type Estimator struct {
	ratios map[Key]float64
}

// New returns an Estimator without observations, which returns declared run
// times unchanged.
func New() *Estimator {
	return &Estimator{ratios: make(map[Key]float64)}
}

// Observe records the actual run time of a task and its declared one. Values
// that are not positive are ignored.
func (estimator *Estimator) Observe(key Key, declared, ran modeller.Millis) {
	if declared <= 0 || ran <= 0 {
		return
	}
	observed := min(max(float64(ran)/float64(declared), 1/maxRatio), maxRatio)
	ratio, known := estimator.ratios[key]
	if !known {
		ratio = observed
	}
	estimator.ratios[key] = ratio + smoothingFactor*(observed-ratio)
}

// RunTime returns the declared run time of a task, corrected by the average
// ratio of its queue.
func (estimator *Estimator) RunTime(key Key, declared modeller.Millis) modeller.Millis {
	ratio, known := estimator.ratios[key]
	if !known {
		return declared
	}
	return modeller.Millis(float64(declared) * ratio)
}

// Known reports whether any task of the queue was observed.
func (estimator *Estimator) Known(key Key) bool {
	_, known := estimator.ratios[key]
	return known
}
