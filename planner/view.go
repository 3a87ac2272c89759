// Package planner owns the scheduling policy: which waiting task is placed next,
// on which worker, and which running attempt is preempted for it.
//
// A View is the policy's model of the cell. The applier's events keep it up to
// date, and the planner's own proposals are assumed to be applied until Undo
// reverts them. Plan is a function of the View and the time that returns
// proposals. The planner cannot violate an invariant: the applier validates each
// proposal again, so a stale View only lowers the quality of the decisions.
//
// Package queuer orders the waiting jobs, package placer finds workers with free
// capacity, and package estimator corrects declared run times. docs/POLICY.md
// describes the alternatives and the measurements.
package planner

import (
	"math/rand/v2"
	"slices"

	"github.com/google/btree"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/estimator"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/placer"
	"github.com/dotterelrill/dotterelrill/queuer"
	"github.com/dotterelrill/dotterelrill/retrier"
)

// Config configures a View.
type Config struct {
	// Fresh reports whether the last contact with a worker is recent; if it is
	// nil, all workers count as fresh.
	Fresh func(worker modeller.WorkerName, incarnation modeller.Incarnation) bool
	// Random is the source of samples and jitter; it must not be shared.
	Random *rand.Rand
	// Decided is called after each decision, for measurements; it may be nil.
	Decided func()
	// MostPlacements is the number of proposals at which a call of Plan stops
	// placing.
	MostPlacements int
	// Without disables mechanisms, so that their effect can be measured.
	Without Mechanisms
}

// Mechanisms lists the parts of the policy that can be disabled.
type Mechanisms struct {
	Preemption  bool
	Promotion   bool
	Reservation bool
	Correction  bool
	LimitStops  bool
	Balancing   bool
	Refusal     bool
}

// View is the policy's model of the cell. It is not safe for concurrent use.
type View struct {
	config        Config
	workers       map[modeller.WorkerName]*worker
	accounts      map[modeller.ClientAccountName]*account
	jobs          map[modeller.JobID]*job
	fleetCapacity modeller.Resources
	revision      modeller.Revision

	queue    *queuer.Queue
	runTimes *estimator.Estimator
	retries  *retrier.Retrier
	// sortedWorkers is ordered by data centre, rack and name; a worker has the same
	// position in it and in the index. Both are rebuilt if orderStale is set.
	sortedWorkers []*worker
	index         *placer.Index
	orderStale    bool
	// capacityCounts counts the workers by capacity.
	capacityCounts map[modeller.Resources]int
	// capacityReleased is true if capacity was released since the accounts were
	// last unblocked.
	capacityReleased bool
	// lastUnplaceableSize is the task size for which the last search found no
	// worker; zero if none has failed since capacity was released.
	lastUnplaceableSize modeller.Resources
	// unblockAt is when blocked accounts are retried although nothing changed.
	unblockAt modeller.Millis
	// decisionCount counts decisions; promoted work goes first in a fixed part of
	// them.
	decisionCount int
	victims       *victims
	treeNodes     *btree.FreeListG[*task]
	reservation   *reservation
	// aboveLimit holds the accounts found above their limit when a template was
	// applied.
	aboveLimit []*account
	// proposals holds the proposals of the current call of Plan.
	proposals []*applier.Command
}

type worker struct {
	description modeller.WorkerDescription
	state       modeller.WorkerState
	// evacuated is true while the data centre of the worker is evacuated.
	evacuated bool
	free      modeller.Resources
	freeSlots int64
	position  int
	// live holds the attempts on the worker in the order of placement.
	live []*task
	// reserved is true while the reservation excludes other work from the worker.
	reserved bool
}

type account struct {
	*queuer.Account
	limit modeller.Limit
	live  int64
	// victims are the account's attempts that may be preempted.
	victims *victims
	// releasing is the total size of the account's attempts that are being stopped
	// for other accounts, and incoming that of other accounts' attempts that are
	// being stopped for this one.
	releasing, incoming modeller.Resources
	// nextBalanceAt is the earliest time of the next balancing stop for the account.
	nextBalanceAt modeller.Millis
}

type job struct {
	spec         *applier.Spec
	account      *account
	item         *queuer.Item
	tasks        []task
	waitingTasks int
	openTasks    int
	// waitingFrom is a lower bound of the index of the first waiting task.
	waitingFrom int
	// unplaceableSince is when the job was first found to exceed the capacity of
	// every worker; zero while it fits one.
	unplaceableSince modeller.Millis
	// firstNoRoomAt is when the first search for a worker failed; zero before.
	firstNoRoomAt modeller.Millis
	// preemptedAt is when attempts were last preempted for the job.
	preemptedAt modeller.Millis
	// reserveAfter is the earliest time of the next reservation for the job.
	reserveAfter modeller.Millis
	// failedOn names the workers that last failed or refused an attempt, at most
	// maxFailedOn of them, the oldest first.
	failedOn []modeller.WorkerName
	refused  bool
}

type taskState uint8

const (
	taskWaiting taskState = iota
	taskAssumed
	taskConfirmed
	taskDone
)

type task struct {
	id        modeller.TaskID
	job       *job
	state     taskState
	attempt   modeller.Attempt
	worker    *worker
	notBefore modeller.Millis
	failures  uint32
	// placedAt and startedAt are times of the current attempt; startedAt is zero
	// until it runs.
	placedAt, startedAt modeller.Millis
	// stopping is true once a stop of the attempt was proposed or applied.
	stopping bool
	// stoppedFor is the account for which the attempt is stopped to balance
	// shares; nil otherwise.
	stoppedFor *account
}

// New returns an empty View.
func New(config Config) *View {
	nodes := btree.NewFreeListG[*task](btree.DefaultFreeListSize)
	return &View{
		config:         config,
		workers:        make(map[modeller.WorkerName]*worker),
		accounts:       make(map[modeller.ClientAccountName]*account),
		jobs:           make(map[modeller.JobID]*job),
		queue:          queuer.New(),
		runTimes:       estimator.New(),
		retries:        newRetrier(&config),
		index:          placer.New(0),
		capacityCounts: make(map[modeller.Resources]int),
		victims:        newVictims(nodes),
		treeNodes:      nodes,
	}
}

func (view *View) account(name modeller.ClientAccountName) *account {
	found := view.accounts[name]
	if found == nil {
		found = &account{Account: view.queue.NewAccount(name), victims: newVictims(view.treeNodes)}
		view.accounts[name] = found
	}
	return found
}

func (view *View) runTime(spec *applier.Spec) modeller.Millis {
	if view.config.Without.Correction {
		return spec.RunTime
	}
	return view.runTimes.RunTime(estimator.Key{ClientAccount: spec.ClientAccount, Queue: spec.Queue}, spec.RunTime)
}

// allocate charges an attempt to its worker and its account.
func (view *View) allocate(task *task, worker *worker, attempt modeller.Attempt, now modeller.Millis, state taskState) {
	job := task.job
	if task.state == taskWaiting {
		job.waitingTasks--
		if job.waitingTasks == 0 {
			view.queue.Remove(job.item)
		}
	}
	task.state = state
	task.attempt = attempt
	task.worker = worker
	task.placedAt = now
	task.startedAt = 0
	task.stopping = false
	job.account.Used = job.account.Used.Add(job.spec.Size)
	job.account.live++
	view.queue.UpdateShare(job.account.Account)
	if worker == nil {
		return
	}
	worker.free = worker.free.Sub(job.spec.Size)
	worker.freeSlots--
	worker.live = append(worker.live, task)
	view.reindex(worker)
	view.addVictim(task)
}

// release reverts allocate and makes the task wait again. It does nothing for a
// task that is waiting or done.
func (view *View) release(released *task) {
	if released.state != taskAssumed && released.state != taskConfirmed {
		return
	}
	job := released.job
	job.account.Used = job.account.Used.Sub(job.spec.Size)
	job.account.live--
	view.queue.UpdateShare(job.account.Account)
	if worker := released.worker; worker != nil {
		worker.free = worker.free.Add(job.spec.Size)
		worker.freeSlots++
		worker.live = slices.DeleteFunc(worker.live, func(other *task) bool { return other == released })
		view.reindex(worker)
		view.removeVictim(released)
	}
	released.endBalanceAccounting()
	released.worker = nil
	released.stopping = false
	released.state = taskWaiting
	job.waitingTasks++
	job.waitingFrom = min(job.waitingFrom, int(released.id.Index))
	view.markReleased()
}

// markReleased records that capacity was released, so that failed searches are
// repeated.
func (view *View) markReleased() {
	view.capacityReleased = true
	view.lastUnplaceableSize = modeller.Resources{}
}
