package stager

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/dotterelrill/dotterelrill/modeller"
)

// State is all of the staged jobs' state that must survive a restart. Its
// exported fields make up the snapshot; the others are derived from them.
type State struct {
	// Term and Sequence are those of the last applied batch.
	Term, Sequence uint64
	// Now is the time of the last applied batch. It never decreases within a
	// term.
	Now       modeller.Millis
	KeepEnded modeller.Millis
	// Deployment is nil until the first one is applied. Its version never
	// decreases.
	Deployment *Deployment
	// Queues holds the latest definition of every queue that was ever deployed,
	// for jobs that outlive their queue.
	Queues  map[modeller.QueueName]*Queue
	Workers map[modeller.WorkerName]*Worker
	Jobs    map[JobID]*Job
	Waves   map[uint64]*Wave
	// Intakes holds what each client account may hand in within its weight.
	Intakes map[modeller.ClientAccountName]Intake `cbor:",omitempty"`
	// DataCentres is empty in the snapshots of releases that knew no evacuations; it is
	// then filled from Workers.
	DataCentres DataCentres `cbor:",omitempty"`
	// Over lists the jobs that are over, in the order in which they ended.
	Over []JobID

	usages   map[modeller.ClientAccountName]*accountUsage
	openJobs []*Job
	// crashedJobs holds the jobs that may have Crashes.
	crashedJobs map[JobID]struct{}
	// pendingJobs counts, by queue, the open jobs that are not Started.
	pendingJobs map[modeller.QueueName]int
}

type accountUsage struct {
	used  modeller.Resources
	limit modeller.Resources
	// weight is zero if the deployment does not list the account.
	weight int64
}

// New returns an empty State.
func New() *State {
	state := &State{}
	state.Rebuild()
	return state
}

// Clone returns a copy that changes independently. What is never changed after it was
// added is shared: the deployment, the definitions of queues, and the steps of jobs.
func (state *State) Clone() *State {
	clone := *state
	clone.Queues = maps.Clone(state.Queues)
	clone.Workers = make(map[modeller.WorkerName]*Worker, len(state.Workers))
	for name, worker := range state.Workers {
		copied := *worker
		clone.Workers[name] = &copied
	}
	clone.Jobs = make(map[JobID]*Job, len(state.Jobs))
	for id, job := range state.Jobs {
		copied := *job
		copied.Tasks = slices.Clone(job.Tasks)
		copied.Crashes = maps.Clone(job.Crashes)
		clone.Jobs[id] = &copied
	}
	clone.Waves = make(map[uint64]*Wave, len(state.Waves))
	for number, wave := range state.Waves {
		copied := *wave
		copied.Done = slices.Clone(wave.Done)
		clone.Waves[number] = &copied
	}
	clone.DataCentres = maps.Clone(state.DataCentres)
	clone.Over = slices.Clone(state.Over)
	clone.Intakes = maps.Clone(state.Intakes)
	clone.Rebuild()
	return &clone
}

// Rebuild recomputes the derived fields after decoding.
func (state *State) Rebuild() {
	state.makeMaps()
	state.usages = make(map[modeller.ClientAccountName]*accountUsage)
	state.pendingJobs = make(map[modeller.QueueName]int)
	state.crashedJobs = make(map[JobID]struct{})
	state.openJobs = nil
	state.loadLimits()
	for _, name := range slices.Sorted(maps.Keys(state.Workers)) {
		state.DataCentres.Learn(state.Workers[name].DataCentre)
	}
	for _, worker := range state.Workers {
		worker.used = modeller.Resources{}
		worker.liveTasks = make(map[TaskID]struct{})
	}
	for _, job := range state.Jobs {
		job.rebuildIndex()
		state.recountUsage(job)
		if len(job.Crashes) > 0 {
			state.crashedJobs[job.ID] = struct{}{}
		}
		if !job.Over() {
			state.openJobs = append(state.openJobs, job)
			if !job.Started {
				state.pendingJobs[job.Queue]++
			}
		}
	}
	slices.SortFunc(state.openJobs, func(left, right *Job) int {
		return cmp.Or(cmp.Compare(left.Accepted, right.Accepted), cmp.Compare(left.ID, right.ID))
	})
}

func (state *State) makeMaps() {
	if state.Queues == nil {
		state.Queues = make(map[modeller.QueueName]*Queue)
	}
	if state.Workers == nil {
		state.Workers = make(map[modeller.WorkerName]*Worker)
	}
	if state.Jobs == nil {
		state.Jobs = make(map[JobID]*Job)
	}
	if state.Intakes == nil {
		state.Intakes = make(map[modeller.ClientAccountName]Intake)
	}
	if state.Waves == nil {
		state.Waves = make(map[uint64]*Wave)
	}
	if state.DataCentres == nil {
		state.DataCentres = make(DataCentres)
	}
}

func (state *State) recountUsage(job *Job) {
	if len(job.Tasks) == 0 {
		return
	}
	for occurrence := range job.Occurrences() {
		for step := range uint32(len(job.Steps)) {
			for index := range job.StepTasks(occurrence, step) {
				id := TaskID{StepID{job.ID, occurrence, step}, uint32(index)}
				if task := job.Task(id); task.Live {
					state.addUsage(job, id, task)
				}
			}
		}
	}
}

// loadLimits copies the deployment's limits into the accounts' usage records.
func (state *State) loadLimits() {
	for _, usage := range state.usages {
		usage.limit, usage.weight = modeller.Resources{}, 0
	}
	if state.Deployment == nil {
		return
	}
	for index := range state.Deployment.Accounts {
		account := &state.Deployment.Accounts[index]
		usage := state.usageOf(account.Name)
		usage.limit, usage.weight = account.Limit, account.Weight
	}
}

// usage returns the use and limits of a client account without recording the account, so
// that concurrent readers may call it.
func (state *State) usage(name modeller.ClientAccountName) accountUsage {
	if usage := state.usages[name]; usage != nil {
		return *usage
	}
	return accountUsage{}
}

// usageOf returns the record of a client account, which it adds if there is none.
func (state *State) usageOf(name modeller.ClientAccountName) *accountUsage {
	usage := state.usages[name]
	if usage == nil {
		usage = &accountUsage{}
		state.usages[name] = usage
	}
	return usage
}

// addUsage counts a live attempt against its worker and its client account.
func (state *State) addUsage(job *Job, id TaskID, task *Task) {
	step := &job.Steps[id.Step]
	usage := state.usageOf(job.ClientAccount)
	usage.used = usage.used.Add(step.Size)
	worker := state.Workers[task.Worker]
	worker.used = worker.used.Add(step.Demand())
	worker.liveTasks[id] = struct{}{}
}

// removeUsage undoes addUsage.
func (state *State) removeUsage(job *Job, id TaskID, task *Task) {
	step := &job.Steps[id.Step]
	usage := state.usageOf(job.ClientAccount)
	usage.used = usage.used.Sub(step.Size)
	worker := state.Workers[task.Worker]
	worker.used = worker.used.Sub(step.Demand())
	delete(worker.liveTasks, id)
}

// Open returns the jobs that are not over, in the order in which they were
// accepted. The slice belongs to the state.
func (state *State) Open() []*Job { return state.openJobs }

// Pending returns how many of a queue's open jobs have no task that is placed or has
// begun.
func (state *State) Pending(queue modeller.QueueName) int { return state.pendingJobs[queue] }

// Used returns the resources of a client account's live attempts.
func (state *State) Used(name modeller.ClientAccountName) modeller.Resources {
	return state.usage(name).used
}

// Using returns the client accounts whose live attempts occupy room, in no particular order.
func (state *State) Using() []modeller.ClientAccountName {
	var names []modeller.ClientAccountName
	for name, usage := range state.usages {
		if !usage.used.IsZero() {
			names = append(names, name)
		}
	}
	return names
}

// Room returns what a client account may use in addition; a component without a
// limit is very large.
func (state *State) Room(name modeller.ClientAccountName) modeller.Resources {
	usage := state.usage(name)
	return modeller.Resources{
		MilliProcessors: remaining(usage.limit.MilliProcessors, usage.used.MilliProcessors),
		MemoryMiB:       remaining(usage.limit.MemoryMiB, usage.used.MemoryMiB),
		Accelerators:    remaining(usage.limit.Accelerators, usage.used.Accelerators),
	}
}

// unlimited is more than any fleet has of any resource.
const unlimited = int64(1) << 50

func remaining(limit, used int64) int64 {
	if limit == 0 {
		return unlimited
	}
	return limit - used
}

// LiveOn returns the tasks with live attempts on a worker, in no particular
// order.
func (state *State) LiveOn(name modeller.WorkerName) []TaskID {
	worker := state.Workers[name]
	if worker == nil {
		return nil
	}
	ids := make([]TaskID, 0, len(worker.liveTasks))
	for id := range worker.liveTasks {
		ids = append(ids, id)
	}
	return ids
}

// LiveCount returns how many live attempts the worker has.
func (worker *Worker) LiveCount() int { return len(worker.liveTasks) }

// Refusal is the error of a command that was refused.
type Refusal struct {
	Reason string
}

// Error implements the error interface.
func (refusal *Refusal) Error() string { return refusal.Reason }

func refuse(format string, args ...any) error {
	return &Refusal{Reason: fmt.Sprintf(format, args...)}
}
