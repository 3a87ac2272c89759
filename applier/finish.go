package applier

import (
	"github.com/dotterelrill/dotterelrill/modeller"
)

// loseAttempt ends a live attempt whose worker's lease has expired.
func (state *State) loseAttempt(id modeller.TaskID, job *Job, detail string) {
	job.Tasks[id.Index].Ran = true
	switch {
	case !job.Spec.Idempotent:
		state.finish(id, job, modeller.MayHaveRun, detail)
	case job.Cancelled:
		state.finish(id, job, modeller.Cancelled, detail)
	default:
		state.requeue(id, job, 0, detail)
		state.stopGang(job, "a task of the gang was lost")
	}
}

// requeue returns a task to its queue for another attempt.
func (state *State) requeue(id modeller.TaskID, job *Job, phase modeller.Phase, detail string) {
	state.transition(id, job, modeller.TaskQueued)
	job.Tasks[id.Index].Detail = detail
	event := taskEvent(EventTaskRequeued, id, job)
	event.Phase = phase
	state.emit(event)
}

// stopGang stops the remaining attempts of a gang, whose tasks must run
// together. A gang that is not idempotent keeps running, since it could not be
// started again.
func (state *State) stopGang(job *Job, detail string) {
	if job.Spec.Kind != modeller.Gang || !job.Spec.Idempotent {
		return
	}
	for index := range job.Tasks {
		task := &job.Tasks[index]
		if task.State == modeller.TaskPlaced || task.State == modeller.TaskRunning {
			state.beginStop(modeller.TaskID{Job: job.Spec.ID, Index: uint32(index)}, job, StopGang, detail)
		}
	}
}

// finish sets a task's outcome, and the job's outcome with its last open task.
func (state *State) finish(id modeller.TaskID, job *Job, outcome modeller.Outcome, detail string) {
	task := &job.Tasks[id.Index]
	state.transition(id, job, modeller.TaskDone)
	task.Outcome = outcome
	task.Detail = detail
	task.Ended = state.Now
	job.Open--
	state.emitTask(EventTaskDone, id, job)
	if job.Open == 0 {
		state.finishJob(job)
	}
}

func (state *State) finishJob(job *Job) {
	job.Outcome = jobOutcome(job.Tasks)
	job.Ended = state.Now
	job.Detail = job.Tasks[len(job.Tasks)-1].Detail
	request := requestKey(submitScope(job.Spec.ClientAccount, job.Spec.Key != ""), job.Spec.RequestID)
	state.Finished = append(state.Finished, Expiry{At: state.Now + Retention, Job: job.Spec.ID, Request: request})
	state.countFinished(job)
	event := Event{Kind: EventJobDone, Spec: job.Spec, Task: modeller.TaskID{Job: job.Spec.ID}, Outcome: job.Outcome}
	state.emit(event)
}

// jobOutcome returns the most severe outcome of a job's tasks. A mixture of
// Succeeded and NotRun tasks counts as Cancelled.
func jobOutcome(tasks []Task) modeller.Outcome {
	var seen [modeller.MayHaveRun + 1]bool
	for index := range tasks {
		seen[tasks[index].Outcome] = true
	}
	switch {
	case seen[modeller.MayHaveRun]:
		return modeller.MayHaveRun
	case seen[modeller.Failed]:
		return modeller.Failed
	case seen[modeller.Cancelled], seen[modeller.NotRun] && seen[modeller.Succeeded]:
		return modeller.Cancelled
	case seen[modeller.NotRun]:
		return modeller.NotRun
	}
	return modeller.Succeeded
}
