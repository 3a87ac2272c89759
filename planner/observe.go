package planner

import (
	"slices"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/estimator"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/queuer"
	"github.com/dotterelrill/dotterelrill/retrier"
)

// Observe applies an event of the applier to the View.
func (view *View) Observe(event *applier.Event) {
	switch event.Kind {
	case applier.EventConfigured:
		view.configured(event)
	case applier.EventWorkerJoined:
		view.workerJoined(event)
	case applier.EventWorkerChanged:
		view.workerChanged(event)
	case applier.EventWorkerLost:
		view.workerLost(event.Worker)
	case applier.EventJobAccepted:
		view.jobAccepted(event.Spec, event.Time)
	case applier.EventTaskPlaced:
		view.taskPlaced(event)
	case applier.EventTaskStarted:
		view.taskStarted(event)
	case applier.EventTaskStopping:
		view.taskStopping(event)
	case applier.EventTaskRequeued:
		view.taskRequeued(event)
	case applier.EventTaskDone:
		view.taskDone(event)
	}
}

func (view *View) configured(event *applier.Event) {
	view.revision = event.Revision
	if event.Template == nil {
		return
	}
	account := view.account(event.Template.ClientAccount)
	account.Weight = event.Template.Share
	account.limit = event.Template.Limit
	view.queue.UpdateShare(account.Account)
	view.markReleased()
	if account.exceeds() {
		view.aboveLimit = append(view.aboveLimit, account)
	}
}

func (view *View) jobAccepted(spec *applier.Spec, now modeller.Millis) {
	account := view.account(spec.ClientAccount)
	accepted := &job{
		spec:         spec,
		account:      account,
		item:         queuer.NewItem(spec.ID, account.Account, queuer.ClassOf(spec.Urgency)),
		tasks:        make([]task, spec.Tasks),
		waitingTasks: int(spec.Tasks),
		openTasks:    int(spec.Tasks),
	}
	for index := range accepted.tasks {
		accepted.tasks[index] = task{id: modeller.TaskID{Job: spec.ID, Index: uint32(index)}, job: accepted}
	}
	view.updatePromotion(accepted)
	view.jobs[spec.ID] = accepted
	view.enqueue(accepted)
	view.capacityReleased = view.capacityReleased || now >= view.unblockAt
}

func (view *View) enqueue(queued *job) {
	if queued.waitingTasks > 0 && !queued.refused {
		view.queue.Add(queued.item)
	}
}

func (view *View) task(event *applier.Event) *task {
	job := view.jobs[event.Task.Job]
	if job == nil {
		return nil
	}
	return &job.tasks[event.Task.Index]
}

func (view *View) taskPlaced(event *applier.Event) {
	task := view.task(event)
	if task == nil {
		return
	}
	if event.Attempt == 1 {
		view.retries.FirstAttempt(event.Spec.ClientAccount)
	}
	if task.state == taskAssumed && task.attempt == event.Attempt && task.worker == view.workers[event.Worker] {
		task.state = taskConfirmed
		return
	}
	view.release(task)
	view.allocate(task, view.workers[event.Worker], event.Attempt, event.Time, taskConfirmed)
}

func (view *View) taskStarted(event *applier.Event) {
	if task := view.task(event); task != nil && task.attempt == event.Attempt {
		task.startedAt = event.Time
	}
}

func (view *View) taskStopping(event *applier.Event) {
	if task := view.task(event); task != nil && task.attempt == event.Attempt {
		task.stopping = true
		view.removeVictim(task)
	}
}

// The backoff of failed tasks and the retry budget of a client account: one
// retry for each five first attempts, and retryBurst initially.
const (
	retryInitialDelay      modeller.Millis = 200
	retryMaxDelay          modeller.Millis = 30_000
	retriesPerFirstAttempt                 = 0.2
	retryBurst                             = 50
)

func newRetrier(config *Config) *retrier.Retrier {
	return retrier.New(retrier.Config{InitialDelay: retryInitialDelay, MaxDelay: retryMaxDelay, Ratio: retriesPerFirstAttempt, Burst: retryBurst, Random: config.Random})
}

func (view *View) taskRequeued(event *applier.Event) {
	task := view.task(event)
	if task == nil {
		return
	}
	view.release(task)
	task.attempt = event.Attempt
	if event.Phase == modeller.PhaseFailed || event.Phase == modeller.PhaseRefused {
		task.failures++
		task.job.recordFailedOn(event.Worker)
		task.notBefore = event.Time + view.retries.Delay(event.Spec.ClientAccount, task.failures)
	}
	view.enqueue(task.job)
}

// maxFailedOn is how many workers a job avoids.
const maxFailedOn = 8

// recordFailedOn records that an attempt failed on a worker. Packing alone would
// place the next attempt on the same worker.
func (job *job) recordFailedOn(worker modeller.WorkerName) {
	if worker == "" || slices.Contains(job.failedOn, worker) {
		return
	}
	if len(job.failedOn) == maxFailedOn {
		job.failedOn = job.failedOn[1:]
	}
	job.failedOn = append(job.failedOn, worker)
}

func (view *View) taskDone(event *applier.Event) {
	task := view.task(event)
	if task == nil {
		return
	}
	job := task.job
	if event.Outcome == modeller.Succeeded && task.startedAt > 0 {
		key := estimator.Key{ClientAccount: job.spec.ClientAccount, Queue: job.spec.Queue}
		view.runTimes.Observe(key, job.spec.RunTime, event.Time-task.startedAt)
	}
	view.release(task)
	if task.state == taskWaiting {
		job.waitingTasks--
	}
	task.state = taskDone
	job.openTasks--
	if job.waitingTasks == 0 {
		view.queue.Remove(job.item)
	}
	if job.openTasks == 0 {
		delete(view.jobs, event.Task.Job)
	}
}
