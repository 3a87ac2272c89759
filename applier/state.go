// Package applier owns the deterministic state machine that every replica of a
// cell feeds with the same log: configuration, keys, workers, jobs, tasks and
// attempts.
//
// It is the guard of the system. Each command is checked in full when it is
// applied, against the state that all entries before it brought about, and is
// either carried out or refused with a numbered code, alike on every replica.
// Whoever proposes commands, the policy above all, may therefore be wrong,
// late or stale: it costs quality, never a promise. The promises kept here
// are: no worker is committed beyond its capacity or slots, no task has two
// live attempts, no client account has more running than its upper limit, work
// is taken only under a granted key, a withdrawn key never returns, revisions
// only grow, a RequestID has one answer, and a task that is not idempotent is
// never placed again once an attempt may have run.
//
// It leaves to the leaser to know when a worker's lease is over, to the
// planner what to propose, and to the replicator in which order commands come.
// State is not safe for concurrent use; its owner guards it.
package applier

import (
	"hash/crc32"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/encoder"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// State is everything that must survive. Its exported fields are the snapshot;
// the others are derived from them.
type State struct {
	Cell modeller.CellName
	// Index is the log index of the last applied entry.
	Index uint64
	// Now never goes back.
	Now modeller.Millis
	// Revision grows by one with each accepted configuration change.
	Revision  modeller.Revision
	Templates map[modeller.TemplateName]*modeller.Template
	// Keys holds every key ever granted, withdrawn ones included.
	Keys    map[modeller.KeyHash]*Key
	Workers map[modeller.WorkerName]*Worker
	Jobs    map[modeller.JobID]*Job
	// LastJob is the highest number given to a job.
	LastJob  modeller.JobID
	Requests map[RequestKey]*Request
	// Shapes holds the distinct capacities that workers have announced, newest
	// last, at most maxShapes of them.
	Shapes []modeller.Resources
	// Finished lists the done jobs and remembered requests in the order of
	// their ending, for retention.
	Finished []Expiry
	// Staged is the state of jobs with steps; it is nil until there was one.
	Staged *stager.State `json:",omitempty" cbor:",omitempty"`

	accounts map[modeller.ClientAccountName]*Account
	finished finished
	events   []Event
}

// Key is a key of a client account.
type Key struct {
	ClientAccount modeller.ClientAccountName
	Granted       modeller.Revision
	// Withdrawn is zero while the key is in force.
	Withdrawn modeller.Revision
}

// Worker is a worker that takes part.
type Worker struct {
	Description modeller.WorkerDescription
	State       modeller.WorkerState
	Joined      modeller.Millis
	// Entry is the index of the log entry by which the worker joined. It tells
	// one stay of an incarnation from the next.
	Entry  uint64
	Reason string

	// used is the sum of the sizes of all live attempts; it never exceeds the
	// capacity.
	used modeller.Resources
	live map[modeller.TaskID]struct{}
}

// Used returns what the worker's live attempts are committed to.
func (worker *Worker) Used() modeller.Resources { return worker.used }

// Live returns how many attempts hold the worker's resources.
func (worker *Worker) Live() int { return len(worker.live) }

// Spec is the part of a job that never changes after its acceptance, so that
// readers may share it.
type Spec struct {
	ID            modeller.JobID
	ClientAccount modeller.ClientAccountName
	Queue         modeller.QueueName
	Kind          modeller.Kind
	Urgency       modeller.Urgency
	Idempotent    bool
	Size          modeller.Resources
	RunTime       modeller.Millis
	// Deadline is zero if there is none.
	Deadline   modeller.Millis
	MaxRetries uint32
	Tasks      uint32
	Submitted  modeller.Millis
	// Key is the fingerprint of the key that the work came with.
	Key       string
	RequestID modeller.RequestID
	Revision  modeller.Revision
	Payload   []byte
}

// Job is accepted work.
type Job struct {
	Spec  *Spec
	Tasks []Task
	// Open counts the tasks that are not done.
	Open uint32
	// Cancelled is true once a cancellation was accepted.
	Cancelled bool
	// Outcome is set exactly once, when the last task is done.
	Outcome modeller.Outcome
	Code    coder.Code
	Detail  string
	Ended   modeller.Millis
}

// Task is one unit of a job.
type Task struct {
	State modeller.TaskState
	// Attempt numbers the latest attempt; zero before the first.
	Attempt modeller.Attempt
	// Worker and Incarnation hold the latest attempt.
	Worker      modeller.WorkerName
	Incarnation modeller.Incarnation
	// Ran is true once an attempt was reported as started, or is over and may
	// have run. A task that is not idempotent is never placed while it is true.
	Ran bool
	// Retries counts the attempts that failed.
	Retries uint32
	// BadAnswers counts the damaged or oversized answers to the attempt.
	BadAnswers uint32
	StopReason StopReason
	Outcome    modeller.Outcome
	Detail     string
	Placed     modeller.Millis
	Started    modeller.Millis
	Ended      modeller.Millis
	Answer     *modeller.Answer `cbor:",omitempty"`
}

// RequestKey is a RequestID together with the scope of whoever may use it, so
// that one client account cannot take another's.
type RequestKey string

// Request is the first answer given under a RequestID.
type Request struct {
	// Content is a checksum of what was asked for.
	Content [32]byte
	Result  Result
}

// Expiry names records that are forgotten after their retention: a job, a
// request, or a job together with the request that brought it about.
type Expiry struct {
	At      modeller.Millis
	Job     modeller.JobID
	Request RequestKey
}

// Account is what a client account has running and waiting.
type Account struct {
	Template *modeller.Template
	// Used and Live never exceed the template's limit when work is placed.
	Used    modeller.Resources
	Live    int64
	Waiting map[modeller.QueueName]uint32
}

const (
	maxShapes = 64
	// Retention is how long a finished job and a RequestID are remembered. The
	// RequestID of a submission is remembered for as long as its job.
	Retention modeller.Millis = 24 * 60 * 60 * 1000
	// longestSpan bounds run times and deadlines.
	longestSpan modeller.Millis = 10 * 366 * 24 * 60 * 60 * 1000
	// lastTime bounds the times that a leader may stamp, so that sums with
	// spans cannot overflow. It lies thousands of years ahead.
	lastTime modeller.Millis = 1 << 52
)

// New returns the empty state of a cell.
func New(cell modeller.CellName) *State {
	state := &State{Cell: cell}
	state.rebuild()
	return state
}

// Snapshot returns the encoded state.
func (state *State) Snapshot() ([]byte, error) {
	return encoder.Marshal(state)
}

// Restore returns the state that a snapshot holds.
func Restore(data []byte) (*State, error) {
	state := &State{}
	if err := encoder.Unmarshal(data, state); err != nil {
		return nil, err
	}
	state.rebuild()
	return state, nil
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum returns a checksum of the whole state. Replicas that have applied
// the same entries have the same one.
func (state *State) Checksum() (uint32, error) {
	data, err := state.Snapshot()
	if err != nil {
		return 0, err
	}
	return crc32.Checksum(data, castagnoli), nil
}

// Account returns the account's usage, or nil if no template describes it.
func (state *State) Account(name modeller.ClientAccountName) *Account {
	return state.accounts[name]
}

// rebuild makes the derived fields anew from the exported ones.
func (state *State) rebuild() {
	makeMaps(state)
	if state.Staged != nil {
		state.Staged.Rebuild()
	}
	state.accounts = make(map[modeller.ClientAccountName]*Account)
	for _, template := range state.Templates {
		state.account(template.ClientAccount).Template = template
	}
	for _, worker := range state.Workers {
		worker.used = modeller.Resources{}
		worker.live = make(map[modeller.TaskID]struct{})
	}
	for id, job := range state.Jobs {
		for index := range job.Tasks {
			state.recount(modeller.TaskID{Job: id, Index: uint32(index)}, job)
		}
		if job.Outcome != modeller.NoOutcome {
			state.keep(job)
		}
	}
}

func makeMaps(state *State) {
	if state.Templates == nil {
		state.Templates = make(map[modeller.TemplateName]*modeller.Template)
	}
	if state.Keys == nil {
		state.Keys = make(map[modeller.KeyHash]*Key)
	}
	if state.Workers == nil {
		state.Workers = make(map[modeller.WorkerName]*Worker)
	}
	if state.Jobs == nil {
		state.Jobs = make(map[modeller.JobID]*Job)
	}
	if state.Requests == nil {
		state.Requests = make(map[RequestKey]*Request)
	}
}

func (state *State) recount(id modeller.TaskID, job *Job) {
	task := &job.Tasks[id.Index]
	if task.State == modeller.TaskQueued {
		state.account(job.Spec.ClientAccount).Waiting[job.Spec.Queue]++
	}
	if task.State.Live() {
		state.hold(id, job)
	}
}

// account returns the usage of an account, made on first use.
func (state *State) account(name modeller.ClientAccountName) *Account {
	account := state.accounts[name]
	if account == nil {
		account = &Account{Waiting: make(map[modeller.QueueName]uint32)}
		state.accounts[name] = account
	}
	return account
}

// hold counts a live attempt against its worker and its account.
func (state *State) hold(id modeller.TaskID, job *Job) {
	task := &job.Tasks[id.Index]
	account := state.account(job.Spec.ClientAccount)
	account.Used = account.Used.Add(job.Spec.Size)
	account.Live++
	worker := state.Workers[task.Worker]
	worker.used = worker.used.Add(job.Spec.Size)
	worker.live[id] = struct{}{}
}

// release ends the counting that hold began.
func (state *State) release(id modeller.TaskID, job *Job) {
	task := &job.Tasks[id.Index]
	account := state.account(job.Spec.ClientAccount)
	account.Used = account.Used.Sub(job.Spec.Size)
	account.Live--
	worker := state.Workers[task.Worker]
	worker.used = worker.used.Sub(job.Spec.Size)
	delete(worker.live, id)
}
