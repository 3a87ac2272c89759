package planner

import (
	"github.com/dotterelrill/dotterelrill/estimator"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/queuer"
)

// How long work without a deadline waits before it is promoted to class Aged.
const (
	maxOrdinaryWait   modeller.Millis = 5 * 60 * 1000
	maxDeferrableWait modeller.Millis = 60 * 60 * 1000
)

// updatePromotion sets the rank of a job in its class and when it is promoted;
// with a deadline, that is its latest start.
func (view *View) updatePromotion(job *job) {
	spec, item := job.spec, job.item
	switch {
	case spec.Urgency == modeller.Ordinary:
		item.PromoteAt = spec.Submitted + maxOrdinaryWait
	case spec.Urgency == modeller.Deferrable && spec.Deadline > 0:
		item.Rank = view.sizeRank(job)
		item.PromoteAt = view.latestStart(job)
	case spec.Urgency == modeller.Deferrable:
		item.Rank = view.sizeRank(job)
		item.PromoteAt = spec.Submitted + maxDeferrableWait
	}
}

// sizeRank ranks large jobs first, so that the jobs left for gaps and for the
// end of the schedule are small.
func (view *View) sizeRank(job *job) float64 {
	return -job.spec.Size.Times(job.tasksPerPlacement()).DominantShare(view.fleetCapacity)
}

// promote promotes the items whose promotion time, recomputed from the current
// estimates of run times, has come.
func (view *View) promote(now modeller.Millis) {
	view.queue.Promote(now, func(item *queuer.Item) {
		job := view.jobs[item.Job]
		view.updatePromotion(job)
		switch {
		case item.PromoteAt > now:
		case job.spec.Deadline > 0 && job.spec.Urgency == modeller.Deferrable:
			item.Class = queuer.Due
			item.Rank = float64(item.PromoteAt)
		default:
			item.Class = queuer.Aged
			item.Rank = 0
		}
	})
}

const (
	// marginRunTimes is the margin added to the estimated length of a job, in run
	// times of a task.
	marginRunTimes = 2
	// assumedFleetDivisor is the inverse of the part of the fleet that one job is
	// assumed to get.
	assumedFleetDivisor = 20
)

// latestStart returns when a job with a deadline is due to start. At least a
// quarter of the time from submission to deadline is reserved for running, and
// at most half of it while no run time of the queue has been observed, because
// declared run times are not reliable.
func (view *View) latestStart(job *job) modeller.Millis {
	spec := job.spec
	span := spec.Deadline - spec.Submitted
	need := spec.Size.DominantShare(view.fleetCapacity) * float64(job.openTasks)
	length := view.runTime(spec) * modeller.Millis(marginRunTimes+int64(need*assumedFleetDivisor))
	key := estimator.Key{ClientAccount: spec.ClientAccount, Queue: spec.Queue}
	if !view.runTimes.Known(key) {
		length = min(length, span/2)
	}
	length = max(length, span/4)
	return max(spec.Deadline-length, spec.Submitted, 1)
}

func classReason(job *job) string {
	switch job.item.Class {
	case queuer.Due:
		return "past its latest start"
	case queuer.Aged:
		return "promoted by age"
	}
	return "in turn"
}
