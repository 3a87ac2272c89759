// Package baseliner owns the baseline placement policies with which package planner
// is compared: a first-come, first-served policy that uses the first worker with
// enough free resources, and the policy that planner had before it indexed the
// workers.
//
// The code is a frozen copy on purpose: it duplicates parts of planner and doesn't
// follow its changes, so that measurements of different releases compare with the
// same baselines. Only measurements use it; no daemon does.
package baseliner

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// Config describes a View.
type Config struct {
	// Fresh reports whether the last contact with a worker is recent enough for
	// placements. If nil, every worker qualifies.
	Fresh func(worker modeller.WorkerName, incarnation modeller.Incarnation) bool
	// Random is the source for worker sampling and backoff jitter. It must not be
	// shared with other goroutines.
	Random *rand.Rand
	// FirstFit selects the first-come, first-served policy: it places jobs in order
	// of acceptance, regardless of urgency and account, on the first worker with
	// enough free resources.
	FirstFit bool
	// Decided, unless nil, is called after each decision.
	Decided func()
	// MostPlacements is the maximum number of placements of one call of Plan.
	MostPlacements int
}

// View is the policy's model of the state of the cell, built from events. It isn't
// safe for concurrent use.
type View struct {
	config       Config
	workers      map[modeller.WorkerName]*worker
	workerList   []*worker
	accounts     map[modeller.ClientAccountName]*account
	accountNames []modeller.ClientAccountName
	jobs         map[modeller.JobID]*job
	// firstFitQueue holds the jobs with waiting tasks in order of acceptance, if FirstFit is
	// set.
	firstFitQueue []*job
	capacity      modeller.Resources
	revision      modeller.Revision
}

type worker struct {
	description modeller.WorkerDescription
	state       modeller.WorkerState
	free        modeller.Resources
	slots       int64
}

type account struct {
	name  modeller.ClientAccountName
	share int64
	limit modeller.Limit
	used  modeller.Resources
	live  int64
	// waiting holds, for each urgency, the jobs with waiting tasks in order of
	// acceptance.
	waiting [modeller.Deferrable + 1][]*job
}

type job struct {
	spec       *applier.Spec
	tasks      []task
	waiting    int
	unfinished int
	// queued is true while the job is in a list of waiting jobs.
	queued bool
}

// taskState is the state of a task as the View sees it. An assumed task has been
// placed by Plan, but the applier has not yet confirmed the placement.
type taskState uint8

const (
	taskWaiting taskState = iota
	taskAssumed
	taskPlaced
	taskDone
)

type task struct {
	state     taskState
	attempt   modeller.Attempt
	worker    *worker
	notBefore modeller.Millis
	failures  uint32
}

// New returns an empty View.
func New(config Config) *View {
	return &View{
		config:   config,
		workers:  make(map[modeller.WorkerName]*worker),
		accounts: make(map[modeller.ClientAccountName]*account),
		jobs:     make(map[modeller.JobID]*job),
	}
}

// Observe updates the View with an event of the applier. Events must be passed in
// order.
func (view *View) Observe(event *applier.Event) {
	switch event.Kind {
	case applier.EventConfigured:
		view.configured(event)
	case applier.EventWorkerJoined:
		view.workerJoined(event)
	case applier.EventWorkerChanged:
		if worker := view.workers[event.Worker]; worker != nil {
			worker.state = event.WorkerState
		}
	case applier.EventWorkerLost:
		view.workerLost(event.Worker)
	case applier.EventJobAccepted:
		view.jobAccepted(event.Spec)
	case applier.EventTaskPlaced:
		view.taskPlaced(event)
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
	account.share = event.Template.Share
	account.limit = event.Template.Limit
}

func (view *View) account(name modeller.ClientAccountName) *account {
	found := view.accounts[name]
	if found == nil {
		found = &account{name: name, share: 1}
		view.accounts[name] = found
		view.accountNames = append(view.accountNames, name)
		slices.Sort(view.accountNames)
	}
	return found
}

func (view *View) workerJoined(event *applier.Event) {
	old := view.workers[event.Worker]
	joined := &worker{description: event.Description, state: event.WorkerState}
	joined.free = event.Description.Capacity
	joined.slots = event.Description.Slots
	if old != nil {
		joined.free = joined.free.Sub(old.description.Capacity.Sub(old.free))
		joined.slots -= old.description.Slots - old.slots
		view.capacity = view.capacity.Sub(old.description.Capacity)
		*old = *joined
	} else {
		view.workers[event.Worker] = joined
		view.workerList = append(view.workerList, joined)
	}
	view.capacity = view.capacity.Add(event.Description.Capacity)
}

func (view *View) workerLost(name modeller.WorkerName) {
	lost := view.workers[name]
	if lost == nil {
		return
	}
	delete(view.workers, name)
	view.workerList = slices.DeleteFunc(view.workerList, func(worker *worker) bool { return worker == lost })
	view.capacity = view.capacity.Sub(lost.description.Capacity)
}

func (view *View) jobAccepted(spec *applier.Spec) {
	accepted := &job{spec: spec, tasks: make([]task, spec.Tasks), waiting: int(spec.Tasks), unfinished: int(spec.Tasks)}
	view.jobs[spec.ID] = accepted
	view.enqueue(accepted)
}

func (view *View) enqueue(queued *job) {
	if queued.queued {
		return
	}
	queued.queued = true
	list := view.waitingList(queued.spec)
	index, _ := slices.BinarySearchFunc(*list, queued, compareJobs)
	*list = slices.Insert(*list, index, queued)
}

// waitingList returns the list of waiting jobs that a job belongs to: with FirstFit
// the one list of the cell, otherwise the list of its account and urgency.
func (view *View) waitingList(spec *applier.Spec) *[]*job {
	if view.config.FirstFit {
		return &view.firstFitQueue
	}
	return &view.account(spec.ClientAccount).waiting[spec.Urgency]
}

// compareJobs orders jobs by acceptance, which is the order of their IDs.
func compareJobs(left, right *job) int {
	return cmp.Compare(left.spec.ID, right.spec.ID)
}

func (view *View) taskPlaced(event *applier.Event) {
	job := view.jobs[event.Task.Job]
	if job == nil {
		return
	}
	task := &job.tasks[event.Task.Index]
	if task.state == taskAssumed && task.attempt == event.Attempt && task.worker == view.workers[event.Worker] {
		task.state = taskPlaced
		return
	}
	view.release(job, task)
	view.assign(job, task, view.workers[event.Worker], event.Attempt, taskPlaced)
}

// assign records an attempt of the task and adds its resources to the use of the
// worker and the account.
func (view *View) assign(job *job, task *task, worker *worker, attempt modeller.Attempt, state taskState) {
	if task.state == taskWaiting {
		job.waiting--
	}
	task.state = state
	task.attempt = attempt
	task.worker = worker
	account := view.account(job.spec.ClientAccount)
	account.used = account.used.Add(job.spec.Size)
	account.live++
	if worker != nil {
		worker.free = worker.free.Sub(job.spec.Size)
		worker.slots--
	}
}

// release reverts assign and returns the task to waiting. It does nothing unless the
// task is assumed or placed.
func (view *View) release(job *job, task *task) {
	if task.state != taskAssumed && task.state != taskPlaced {
		return
	}
	account := view.account(job.spec.ClientAccount)
	account.used = account.used.Sub(job.spec.Size)
	account.live--
	if task.worker != nil {
		task.worker.free = task.worker.free.Add(job.spec.Size)
		task.worker.slots++
	}
	task.worker = nil
	task.state = taskWaiting
	job.waiting++
}

// Bounds of the backoff before a failed task is placed again, without jitter.
const (
	minBackoff modeller.Millis = 200
	maxBackoff modeller.Millis = 30_000
)

func (view *View) taskRequeued(event *applier.Event) {
	job := view.jobs[event.Task.Job]
	if job == nil {
		return
	}
	task := &job.tasks[event.Task.Index]
	view.release(job, task)
	task.attempt = event.Attempt
	if event.Phase == modeller.PhaseFailed || event.Phase == modeller.PhaseRefused {
		task.notBefore = event.Time + view.backoff(task.failures)
		task.failures++
	}
	view.enqueue(job)
}

// backoff returns the delay before the next attempt. It doubles with each failure up
// to maxBackoff and has a jitter of plus or minus half.
func (view *View) backoff(failures uint32) modeller.Millis {
	delay := min(minBackoff<<min(failures, 16), maxBackoff)
	return delay/2 + modeller.Millis(view.config.Random.Int64N(int64(delay)))
}

func (view *View) taskDone(event *applier.Event) {
	job := view.jobs[event.Task.Job]
	if job == nil {
		return
	}
	task := &job.tasks[event.Task.Index]
	view.release(job, task)
	if task.state == taskWaiting {
		job.waiting--
	}
	task.state = taskDone
	job.unfinished--
	if job.unfinished == 0 {
		delete(view.jobs, event.Task.Job)
	}
}
