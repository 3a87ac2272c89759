// Package applier owns the deterministic state machine to which every replica
// of a cell applies the same log: configuration, keys, workers, jobs, tasks and
// attempts.
//
// Each command is validated in full when it is applied, against the state left
// by all earlier entries, and is either carried out or refused with a numbered
// code; the result is the same on every replica. A proposer, such as the
// placement policy, may therefore act on stale or wrong information: that can
// make a placement worse but cannot violate an invariant. The invariants
// enforced here are: no worker is committed beyond its capacity or slots, no
// task has two live attempts, no client account has more running than its upper
// limit, work is accepted without a granted key only by queues that are open to
// all, a withdrawn key is never valid again, revisions only increase, a
// RequestID has one answer, and a task that is not idempotent is never placed
// again once an attempt may have run.
//
// The package leaves lease expiry to the leaser, the choice of commands to the
// planner, and their order to the replicator. State is not safe for concurrent
// use; callers must synchronise access.
package applier

import (
	"hash/crc32"
	"maps"
	"slices"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/encoder"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// State is the replicated state of a cell. Its exported fields are encoded in
// snapshots; the unexported ones are derived from them.
type State struct {
	Cell modeller.CellName
	// Index is the log index of the last applied entry.
	Index uint64
	// Now is the latest time stamped on an applied command, in milliseconds since
	// the Unix epoch; it never decreases.
	Now modeller.Millis
	// Revision grows by one with each accepted configuration change.
	Revision  modeller.Revision
	Templates map[modeller.TemplateName]*modeller.Template
	// Keys holds every key ever granted, withdrawn ones included.
	Keys    map[modeller.KeyHash]*Key
	Workers map[modeller.WorkerName]*Worker
	Jobs    map[modeller.JobID]*Job
	// LastJob is the highest JobID assigned so far.
	LastJob  modeller.JobID
	Requests map[RequestKey]*Request
	// Shapes holds the distinct capacities that workers have announced, newest
	// last, at most maxShapes of them. A capacity is left out if another one is
	// at least as large in every dimension.
	Shapes []modeller.Resources
	// Lost holds the incarnations that were removed and have not joined again, the last one
	// at the end, at most maxLost of them.
	Lost []modeller.Incarnation `json:",omitempty" cbor:",omitempty"`
	// Finished lists the finished jobs and the answered requests in order of
	// their expiry.
	Finished []Expiry
	// Staged is the state of staged jobs (jobs with steps); it is nil until the
	// first batch about them is applied.
	Staged *stager.State `json:",omitempty" cbor:",omitempty"`

	// DataCentres is empty in the snapshots of releases that knew no evacuations; it is
	// then filled from Workers.
	DataCentres stager.DataCentres `json:",omitempty" cbor:",omitempty"`

	accounts       map[modeller.ClientAccountName]*Account
	finishedTotals finishedTotals
	events         []Event
}

// Key is an API key granted to a client account.
type Key struct {
	ClientAccount modeller.ClientAccountName
	Granted       modeller.Revision
	// Withdrawn is the revision that withdrew the key, zero while it is valid.
	Withdrawn modeller.Revision
}

// Worker is a registered worker.
type Worker struct {
	Description modeller.WorkerDescription
	State       modeller.WorkerState
	Joined      modeller.Millis
	// Entry is the index of the log entry by which the worker joined. It
	// distinguishes successive registrations of the same incarnation.
	Entry  uint64
	Reason string

	// used is the sum of the sizes of all live attempts; it never exceeds the
	// capacity.
	used modeller.Resources
	live map[modeller.TaskID]struct{}
}

// Used returns the resources committed to the worker's live attempts.
func (worker *Worker) Used() modeller.Resources { return worker.used }

// Live returns the number of live attempts on the worker.
func (worker *Worker) Live() int { return len(worker.live) }

// Spec is the immutable part of an accepted job. Since it never changes, it may
// be shared with concurrent readers.
type Spec struct {
	ID            modeller.JobID
	ClientAccount modeller.ClientAccountName
	Queue         modeller.QueueName
	Kind          modeller.Kind
	Urgency       modeller.Urgency
	Idempotent    bool
	Size          modeller.Resources
	RunTime       modeller.Millis
	// Deadline is the time by which the job should be done, zero if there is
	// none.
	Deadline   modeller.Millis
	MaxRetries uint32
	Tasks      uint32
	Submitted  modeller.Millis
	// Key is the fingerprint of the key that the job was submitted with, empty
	// if it was submitted without one.
	Key       string
	RequestID modeller.RequestID
	Revision  modeller.Revision
	Payload   []byte
}

// Job is an accepted job.
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

// Task is one task of a job.
type Task struct {
	State modeller.TaskState
	// Attempt numbers the latest attempt; zero before the first.
	Attempt modeller.Attempt
	// Worker and Incarnation identify where the latest attempt was placed.
	Worker      modeller.WorkerName
	Incarnation modeller.Incarnation
	// Ran is true once an attempt was reported as started, or ended and may have
	// run. A task that is not idempotent is never placed once Ran is true.
	Ran bool
	// Retries counts the failed attempts.
	Retries uint32
	// BadAnswers counts the corrupt or oversized answers reported for the latest
	// attempt.
	BadAnswers uint32
	StopReason StopReason
	Outcome    modeller.Outcome
	Detail     string
	Placed     modeller.Millis
	Started    modeller.Millis
	Ended      modeller.Millis
	Answer     *modeller.Answer `cbor:",omitempty"`
}

// RequestKey is a RequestID qualified by the scope of its sender, so that the
// RequestIDs of two client accounts cannot collide.
type RequestKey string

// Request records the result of the first command with a RequestID.
type Request struct {
	// Content is the SHA-256 digest of the command's body.
	Content [32]byte
	Result  Result
}

// Expiry identifies records that are deleted at the end of their retention: a
// job, a request, or a job together with the request that submitted it.
type Expiry struct {
	At      modeller.Millis
	Job     modeller.JobID
	Request RequestKey
}

// Account is the usage of a client account.
type Account struct {
	Template *modeller.Template
	// Used and Live total the account's live attempts. No placement makes them
	// exceed the template's limit; a later template may lower the limit below
	// them.
	Used    modeller.Resources
	Live    int64
	Waiting map[modeller.QueueName]uint32
}

const (
	maxShapes = 64
	// maxLost is more than the workers of a fleet that all restart within the time for which
	// a message may be delayed.
	maxLost = 4096
	// Retention is how long a finished job and a RequestID are kept, in
	// milliseconds. The RequestID of a submission is kept until the retention of
	// its job ends.
	Retention modeller.Millis = 24 * 60 * 60 * 1000
	// maxSpan bounds declared run times and relative deadlines, in milliseconds.
	maxSpan modeller.Millis = 10 * 366 * 24 * 60 * 60 * 1000
	// maxTime bounds the times that a leader may stamp, so that adding a span
	// cannot overflow. It lies thousands of years ahead.
	maxTime modeller.Millis = 1 << 52
)

// New returns an empty state for a cell.
func New(cell modeller.CellName) *State {
	state := &State{Cell: cell}
	state.rebuild()
	return state
}

// Snapshot returns the state's encoding, which Restore decodes.
func (state *State) Snapshot() ([]byte, error) {
	return encoder.Marshal(state)
}

// Restore decodes a snapshot and rebuilds the derived fields.
func Restore(data []byte) (*State, error) {
	state := &State{}
	if err := encoder.Unmarshal(data, state); err != nil {
		return nil, err
	}
	state.rebuild()
	return state, nil
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum returns the CRC-32C of the encoded state. Replicas that have applied
// the same entries have equal checksums.
func (state *State) Checksum() (uint32, error) {
	data, err := state.Snapshot()
	if err != nil {
		return 0, err
	}
	return crc32.Checksum(data, castagnoli), nil
}

// Account returns the account's usage, or nil if no template defines the
// account.
func (state *State) Account(name modeller.ClientAccountName) *Account {
	return state.accounts[name]
}

// rebuild recomputes the derived fields from the exported ones.
func (state *State) rebuild() {
	initMaps(state)
	if state.Staged != nil {
		state.Staged.Rebuild()
	}
	state.accounts = make(map[modeller.ClientAccountName]*Account)
	for _, template := range state.Templates {
		state.ensureAccount(template.ClientAccount).Template = template
	}
	for _, name := range slices.Sorted(maps.Keys(state.Workers)) {
		state.DataCentres.Learn(state.Workers[name].Description.DataCentre)
	}
	for _, worker := range state.Workers {
		worker.used = modeller.Resources{}
		worker.live = make(map[modeller.TaskID]struct{})
	}
	for id, job := range state.Jobs {
		for index := range job.Tasks {
			state.rebuildTaskUsage(modeller.TaskID{Job: id, Index: uint32(index)}, job)
		}
		if job.Outcome != modeller.NoOutcome {
			state.countFinished(job)
		}
	}
}

func initMaps(state *State) {
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
	if state.DataCentres == nil {
		state.DataCentres = make(stager.DataCentres)
	}
}

func (state *State) rebuildTaskUsage(id modeller.TaskID, job *Job) {
	task := &job.Tasks[id.Index]
	if task.State == modeller.TaskQueued {
		state.ensureAccount(job.Spec.ClientAccount).Waiting[job.Spec.Queue]++
	}
	if task.State.Live() {
		state.addUsage(id, job)
	}
}

// ensureAccount returns the usage of an account, creating it on first use.
func (state *State) ensureAccount(name modeller.ClientAccountName) *Account {
	account := state.accounts[name]
	if account == nil {
		account = &Account{Waiting: make(map[modeller.QueueName]uint32)}
		state.accounts[name] = account
	}
	return account
}

// addUsage adds a live attempt to the usage of its worker and its account.
func (state *State) addUsage(id modeller.TaskID, job *Job) {
	task := &job.Tasks[id.Index]
	account := state.ensureAccount(job.Spec.ClientAccount)
	account.Used = account.Used.Add(job.Spec.Size)
	account.Live++
	worker := state.Workers[task.Worker]
	worker.used = worker.used.Add(job.Spec.Size)
	worker.live[id] = struct{}{}
}

// removeUsage undoes addUsage when the attempt ends.
func (state *State) removeUsage(id modeller.TaskID, job *Job) {
	task := &job.Tasks[id.Index]
	account := state.ensureAccount(job.Spec.ClientAccount)
	account.Used = account.Used.Sub(job.Spec.Size)
	account.Live--
	worker := state.Workers[task.Worker]
	worker.used = worker.used.Sub(job.Spec.Size)
	delete(worker.live, id)
}
