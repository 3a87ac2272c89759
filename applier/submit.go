package applier

import (
	"fmt"
	"slices"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// Bounds on one submission.
const (
	MaxTasks        = 4096
	MaxRequestID    = 128
	MaxPayloadBytes = 256 * 1024
)

func (state *State) submit(submit *Submit, request modeller.RequestID) Result {
	account := state.accounts[submit.ClientAccount]
	if account == nil || account.Template == nil {
		return refuse(coder.UnknownAccount, "no client account "+string(submit.ClientAccount))
	}
	queue, ok := account.Template.Queue(submit.Queue)
	if !ok {
		return refuse(coder.UnknownQueue, "no queue "+string(submit.Queue))
	}
	if code, detail := state.checkSubmit(submit, account, &queue); code != coder.OK {
		return refuse(code, detail)
	}
	job := state.accept(submit, &queue, request)
	return Result{Job: job.Spec.ID, Revision: state.Revision}
}

func (state *State) checkSubmit(submit *Submit, account *Account, queue *modeller.Queue) (coder.Code, string) {
	if submit.Key == "" && !queue.OpenToAll {
		return coder.MissingKey, "the queue is not open to all"
	}
	work := submit.Work
	if !work.Size.IsZero() && !work.Size.Valid() || !validSpan(work.RunTime) {
		return coder.BadSize, "sizes must be positive and run times not negative, and neither absurd"
	}
	if len(work.Payload) > MaxPayloadBytes {
		return coder.BodyTooLarge, fmt.Sprintf("a payload has at most %d bytes", MaxPayloadBytes)
	}
	if work.Tasks < 1 || work.Tasks > MaxTasks {
		return coder.BadGang, fmt.Sprintf("a job has 1 to %d tasks", MaxTasks)
	}
	if waiting := account.Waiting[queue.Name]; uint64(waiting)+uint64(work.Tasks) > uint64(queue.MaxWaiting) && waiting > 0 {
		return coder.QueueFull, fmt.Sprintf("%d tasks wait, the queue takes %d", waiting, queue.MaxWaiting)
	}
	return state.checkFeasible(taskSize(work, queue), work.Tasks, account, queue)
}

func taskSize(work modeller.Work, queue *modeller.Queue) modeller.Resources {
	if work.Size.IsZero() {
		return queue.Size
	}
	return work.Size
}

// checkFeasible refuses a job that can never run: one whose tasks fit no worker
// that ever joined, or whose tasks that must run together (all of a gang,
// otherwise one) exceed the account's upper limit.
func (state *State) checkFeasible(size modeller.Resources, tasks uint32, account *Account, queue *modeller.Queue) (coder.Code, string) {
	if len(state.Shapes) > 0 && !slices.ContainsFunc(state.Shapes, size.Fits) {
		return coder.CanNeverRun, "no worker that ever joined is as large as " + size.String()
	}
	concurrentTasks := int64(1)
	if queue.Kind == modeller.Gang {
		concurrentTasks = int64(tasks)
	}
	limit := account.Template.Limit
	if concurrentTasks > limit.Tasks || !size.Times(concurrentTasks).Fits(limit.Resources) {
		return coder.CanNeverRun, "the client account's upper limit is below what must run at once"
	}
	return coder.OK, ""
}

func (state *State) accept(submit *Submit, queue *modeller.Queue, request modeller.RequestID) *Job {
	state.LastJob++
	spec := &Spec{
		ID:            state.LastJob,
		ClientAccount: submit.ClientAccount,
		Queue:         submit.Queue,
		Kind:          queue.Kind,
		Urgency:       queue.Urgency,
		Idempotent:    queue.Idempotent,
		Size:          taskSize(submit.Work, queue),
		RunTime:       submit.Work.RunTime,
		MaxRetries:    queue.MaxRetries,
		Tasks:         submit.Work.Tasks,
		Submitted:     state.Now,
		Key:           submit.Key.Fingerprint(),
		RequestID:     request,
		Revision:      state.Revision,
		Payload:       submit.Work.Payload,
	}
	if spec.RunTime == 0 {
		spec.RunTime = queue.RunTime
	}
	if queue.DeadlineAfter > 0 {
		spec.Deadline = state.Now + queue.DeadlineAfter
	}
	job := &Job{Spec: spec, Tasks: make([]Task, spec.Tasks), Open: spec.Tasks}
	for index := range job.Tasks {
		state.transition(modeller.TaskID{Job: spec.ID, Index: uint32(index)}, job, modeller.TaskQueued)
	}
	state.Jobs[spec.ID] = job
	state.emit(Event{Kind: EventJobAccepted, Spec: spec, Task: modeller.TaskID{Job: spec.ID}})
	return job
}

func (state *State) cancel(cancel *Cancel) Result {
	job := state.Jobs[cancel.Job]
	if job == nil {
		return refuse(coder.UnknownJob, fmt.Sprintf("no job %d", cancel.Job))
	}
	if !cancel.Operator {
		if code, detail := state.checkKey(cancel.Key, job.Spec.ClientAccount); code != coder.OK {
			return refuse(code, detail)
		}
	}
	if job.Outcome != modeller.NoOutcome {
		return Result{Code: coder.AlreadyDone, Job: cancel.Job, Detail: "the outcome is " + job.Outcome.String()}
	}
	job.Cancelled = true
	for index := range job.Tasks {
		state.cancelTask(modeller.TaskID{Job: cancel.Job, Index: uint32(index)}, job)
	}
	return Result{Job: cancel.Job}
}

func (state *State) cancelTask(id modeller.TaskID, job *Job) {
	task := &job.Tasks[id.Index]
	switch task.State {
	case modeller.TaskQueued:
		state.finish(id, job, abandonedOutcome(job, task), "cancelled")
	case modeller.TaskPlaced, modeller.TaskRunning:
		state.beginStop(id, job, StopCancel, "cancelled")
	case modeller.TaskStopping:
		task.StopReason = StopCancel
	}
}

// abandonedOutcome returns the outcome of a task that ends without another
// attempt, from whether an earlier attempt may have run.
func abandonedOutcome(job *Job, task *Task) modeller.Outcome {
	switch {
	case !task.Ran:
		return modeller.NotRun
	case job.Spec.Idempotent:
		return modeller.Cancelled
	}
	return modeller.MayHaveRun
}

func (state *State) refuseJob(refusal *Refuse) Result {
	job := state.Jobs[refusal.Job]
	if job == nil {
		return refuse(coder.UnknownJob, fmt.Sprintf("no job %d", refusal.Job))
	}
	if refusal.Code.Successful() {
		return refuse(coder.Malformed, "a refusal needs the code of one")
	}
	for index := range job.Tasks {
		task := &job.Tasks[index]
		if task.State != modeller.TaskQueued || task.Ran {
			return refuse(coder.WrongState, "an attempt of the job may have run")
		}
	}
	job.Code = refusal.Code
	reason := truncate(refusal.Reason)
	for index := range job.Tasks {
		state.finish(modeller.TaskID{Job: refusal.Job, Index: uint32(index)}, job, modeller.NotRun, reason)
	}
	return Result{Job: refusal.Job}
}
