package applier

import (
	"github.com/dotterelrill/dotterelrill/modeller"
)

// Bounds on the finished jobs that are kept within their retention; beyond them
// the oldest are dropped first. Their RequestIDs are kept for the whole
// retention, so that a repeated submission is not run again, and their events
// stay in the history.
const (
	MaxFinishedTasks = 200_000
	MaxFinishedBytes = 64 << 20
)

// finishedTotals totals the finished jobs that are kept.
type finishedTotals struct {
	tasks int
	bytes int
	// dropped is the number of leading entries of State.Finished whose jobs were
	// dropped before their retention ended.
	dropped int
}

// retainedBytes returns the size of the job's payload and answers.
func (job *Job) retainedBytes() int {
	bytes := len(job.Spec.Payload)
	for index := range job.Tasks {
		if answer := job.Tasks[index].Answer; answer != nil {
			bytes += len(answer.Body)
		}
	}
	return bytes
}

// countFinished adds a job that has ended to the totals.
func (state *State) countFinished(job *Job) {
	state.finishedTotals.tasks += len(job.Tasks)
	state.finishedTotals.bytes += job.retainedBytes()
}

// dropJob deletes a finished job, if it has not been deleted before.
func (state *State) dropJob(id modeller.JobID) {
	job := state.Jobs[id]
	if job == nil {
		return
	}
	state.finishedTotals.tasks -= len(job.Tasks)
	state.finishedTotals.bytes -= job.retainedBytes()
	delete(state.Jobs, id)
}

// enforceRetention deletes finished jobs and answered requests past their
// retention, and the oldest finished jobs beyond the bounds. The newest job is
// always kept.
func (state *State) enforceRetention() {
	for len(state.Finished) > 0 && state.Finished[0].At <= state.Now {
		first := state.Finished[0]
		state.Finished = state.Finished[1:]
		state.finishedTotals.dropped = max(state.finishedTotals.dropped-1, 0)
		state.dropJob(first.Job)
		delete(state.Requests, first.Request)
	}
	for state.finishedTotals.exceedsLimits() && state.finishedTotals.dropped < len(state.Finished)-1 {
		state.dropJob(state.Finished[state.finishedTotals.dropped].Job)
		state.finishedTotals.dropped++
	}
}

func (finishedTotals *finishedTotals) exceedsLimits() bool {
	return finishedTotals.tasks > MaxFinishedTasks || finishedTotals.bytes > MaxFinishedBytes
}
