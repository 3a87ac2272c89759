// Package verifier checks the cell's invariants over a history. It derives the
// state of workers, accounts, tasks and keys from the events, independently of
// package applier, so that it also detects faults in the applier's own checks.
package verifier

import (
	"fmt"
	"strings"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// Violation is a violated invariant, with the index of the log entry.
type Violation struct {
	Index   uint64
	Promise string
	Detail  string
}

// String formats the violation as one line.
func (violation Violation) String() string {
	return fmt.Sprintf("entry %d: %s: %s", violation.Index, violation.Promise, violation.Detail)
}

// Verifier checks the records of a history one by one. It is not safe for
// concurrent use.
type Verifier struct {
	violations []Violation
	index      uint64
	workers    map[modeller.WorkerName]*workerState
	accounts   map[modeller.ClientAccountName]*accountState
	tasks      map[modeller.TaskID]*taskState
	jobs       map[modeller.JobID]jobState
	keys       map[modeller.KeyHash]keyState
	requests   map[requestKey]modeller.JobID
	revision   modeller.Revision
	now        modeller.Millis
}

type jobState struct {
	outcome modeller.Outcome
	ended   modeller.Millis
}

type keyState struct {
	account   modeller.ClientAccountName
	withdrawn bool
}

// requestKey identifies a request. A RequestID is unique within a client
// account, separately for submissions with and without a key.
type requestKey struct {
	account modeller.ClientAccountName
	keyed   bool
	request modeller.RequestID
}

type workerState struct {
	description modeller.WorkerDescription
	used        modeller.Resources
	live        int64
}

type accountState struct {
	limit modeller.Limit
	used  modeller.Resources
	live  int64
}

type taskState struct {
	spec    *applier.Spec
	attempt modeller.Attempt
	live    bool
	// started is true if the current attempt was reported as started.
	started bool
	worker  modeller.WorkerName
	// possibleRuns counts the attempts that may have run.
	possibleRuns int
	done         bool
}

// New returns a Verifier for a history that begins with the given state, or
// with an empty one if state is nil.
func New(state *applier.State) *Verifier {
	verifier := &Verifier{
		workers:  make(map[modeller.WorkerName]*workerState),
		accounts: make(map[modeller.ClientAccountName]*accountState),
		tasks:    make(map[modeller.TaskID]*taskState),
		jobs:     make(map[modeller.JobID]jobState),
		keys:     make(map[modeller.KeyHash]keyState),
		requests: make(map[requestKey]modeller.JobID),
	}
	if state != nil {
		verifier.loadState(state)
	}
	return verifier
}

func (verifier *Verifier) loadState(state *applier.State) {
	verifier.revision = state.Revision
	verifier.now = state.Now
	for hash, key := range state.Keys {
		verifier.keys[hash] = keyState{account: key.ClientAccount, withdrawn: key.Withdrawn != 0}
	}
	events := state.InitialEvents()
	for at := range events {
		verifier.applyEvent(&events[at])
	}
}

// Violations returns the violations found so far.
func (verifier *Verifier) Violations() []Violation { return verifier.violations }

// Record checks the next record of the history.
func (verifier *Verifier) Record(record *messenger.HistoryRecord) {
	verifier.index = record.Entry.Index
	if record.Command != nil && record.Result.Code == coder.OK {
		verifier.checkCommand(record)
	}
	for at := range record.Events {
		verifier.applyEvent(&record.Events[at])
	}
}

func (verifier *Verifier) addViolation(invariant, format string, args ...any) {
	verifier.violations = append(verifier.violations, Violation{Index: verifier.index, Promise: invariant, Detail: fmt.Sprintf(format, args...)})
}

// checkCommand checks the keys and the RequestID of an accepted command.
func (verifier *Verifier) checkCommand(record *messenger.HistoryRecord) {
	command := record.Command
	switch {
	case command.ApplyTemplate != nil:
		for _, hash := range command.ApplyTemplate.Template.Keys {
			verifier.recordGrant(hash, command.ApplyTemplate.Template.ClientAccount)
		}
	case command.GrantKey != nil:
		verifier.recordGrant(command.GrantKey.Key, command.GrantKey.ClientAccount)
	case command.WithdrawKey != nil:
		verifier.recordWithdrawal(command.WithdrawKey.Key)
	case command.Submit != nil:
		verifier.recordSubmission(command, record.Result.Job, appliedAt(record))
	}
}

// appliedAt returns the state's time when an accepted command was applied, which
// may be later than the leader's time stamp in the command.
func appliedAt(record *messenger.HistoryRecord) modeller.Millis {
	if len(record.Events) == 0 {
		return record.Command.Time
	}
	return record.Events[0].Time
}

func (verifier *Verifier) recordGrant(hash modeller.KeyHash, account modeller.ClientAccountName) {
	if key, exists := verifier.keys[hash]; exists && (key.withdrawn || key.account != account) {
		verifier.addViolation("a key has one account and never returns", "key %s for %s", hash.Fingerprint(), account)
	}
	verifier.keys[hash] = keyState{account: account}
}

// recordWithdrawal marks the keys whose hashes begin with the prefix, which may
// be a whole hash, as withdrawn.
func (verifier *Verifier) recordWithdrawal(prefix modeller.KeyHash) {
	for hash, key := range verifier.keys {
		if strings.HasPrefix(string(hash), string(prefix)) {
			key.withdrawn = true
			verifier.keys[hash] = key
		}
	}
}

func (verifier *Verifier) recordSubmission(command *applier.Command, job modeller.JobID, now modeller.Millis) {
	submit := command.Submit
	key := verifier.keys[submit.Key]
	if key.withdrawn {
		verifier.addViolation("a withdrawn key does not work", "job %d came under key %s", job, submit.Key.Fingerprint())
	}
	if submit.Key != "" && key.account != submit.ClientAccount {
		verifier.addViolation("work is taken only under the account's key", "job %d came under key %s", job, submit.Key.Fingerprint())
	}
	request := requestKey{account: submit.ClientAccount, keyed: submit.Key != "", request: command.RequestID}
	if first, seen := verifier.requests[request]; seen && !verifier.requestExpired(first, now) {
		verifier.addViolation("a RequestID has one answer", "jobs %d and %d", first, job)
	}
	verifier.requests[request] = job
}

// requestExpired reports whether a job ended so long ago that its RequestID may
// be reused.
func (verifier *Verifier) requestExpired(job modeller.JobID, now modeller.Millis) bool {
	ending, done := verifier.jobs[job]
	return done && now >= ending.ended+applier.Retention
}

func (verifier *Verifier) applyEvent(event *applier.Event) {
	if event.Time < verifier.now {
		verifier.addViolation("time never goes back", "%d after %d", event.Time, verifier.now)
	}
	verifier.now = event.Time
	switch event.Kind {
	case applier.EventConfigured:
		verifier.recordConfiguration(event)
	case applier.EventWorkerJoined:
		verifier.recordWorker(event)
	case applier.EventWorkerLost:
		delete(verifier.workers, event.Worker)
	case applier.EventTaskPlaced:
		verifier.recordPlacement(event)
	case applier.EventTaskStarted:
		verifier.task(event).started = true
	case applier.EventTaskRequeued:
		verifier.endAttempt(event, event.Phase != modeller.PhaseRefused)
	case applier.EventTaskDone:
		verifier.endTask(event)
	case applier.EventJobDone:
		verifier.endJob(event)
	}
}

func (verifier *Verifier) recordConfiguration(event *applier.Event) {
	if event.Revision < verifier.revision {
		verifier.addViolation("a configuration never reverts", "revision %d after %d", event.Revision, verifier.revision)
	}
	verifier.revision = event.Revision
	if event.Template != nil {
		verifier.account(event.Template.ClientAccount).limit = event.Template.Limit
	}
}

func (verifier *Verifier) account(name modeller.ClientAccountName) *accountState {
	if verifier.accounts[name] == nil {
		verifier.accounts[name] = &accountState{}
	}
	return verifier.accounts[name]
}

func (verifier *Verifier) recordWorker(event *applier.Event) {
	worker := verifier.workers[event.Worker]
	if worker == nil {
		worker = &workerState{}
		verifier.workers[event.Worker] = worker
	}
	worker.description = event.Description
}

func (verifier *Verifier) task(event *applier.Event) *taskState {
	task := verifier.tasks[event.Task]
	if task == nil {
		task = &taskState{spec: event.Spec}
		verifier.tasks[event.Task] = task
	}
	return task
}

func (verifier *Verifier) recordPlacement(event *applier.Event) {
	task := verifier.task(event)
	if task.live {
		verifier.addViolation("no task runs in two places", "task %s, attempts %d and %d", event.Task, task.attempt, event.Attempt)
	}
	if task.done {
		verifier.addViolation("a task has one outcome", "task %s was placed after its end", event.Task)
	}
	if !event.Spec.Idempotent && task.possibleRuns > 0 {
		verifier.addViolation("work that is not idempotent runs at most once", "task %s, attempt %d", event.Task, event.Attempt)
	}
	if event.Attempt <= task.attempt {
		verifier.addViolation("attempt numbers grow", "task %s, attempt %d after %d", event.Task, event.Attempt, task.attempt)
	}
	task.live, task.started, task.attempt, task.worker = true, false, event.Attempt, event.Worker
	verifier.chargeWorker(event)
	verifier.chargeAccount(event)
}

func (verifier *Verifier) chargeWorker(event *applier.Event) {
	worker := verifier.workers[event.Worker]
	if worker == nil || worker.description.Incarnation != event.Incarnation {
		verifier.addViolation("work goes to workers that are there", "task %s to %s", event.Task, event.Worker)
		return
	}
	worker.used = worker.used.Add(event.Spec.Size)
	worker.live++
	if !worker.used.Fits(worker.description.Capacity) || worker.live > worker.description.Slots {
		verifier.addViolation("no VM is committed beyond its capacity", "%s: %s in %d tasks of %s in %d slots",
			event.Worker, worker.used, worker.live, worker.description.Capacity, worker.description.Slots)
	}
}

func (verifier *Verifier) chargeAccount(event *applier.Event) {
	account := verifier.account(event.Spec.ClientAccount)
	account.used = account.used.Add(event.Spec.Size)
	account.live++
	if !account.used.Fits(account.limit.Resources) || account.live > account.limit.Tasks {
		verifier.addViolation("no team has more running than its upper limit", "%s: %s in %d tasks", event.Spec.ClientAccount, account.used, account.live)
	}
}

// endAttempt ends a live attempt and releases its resources.
func (verifier *Verifier) endAttempt(event *applier.Event, mayHaveRun bool) {
	task := verifier.task(event)
	if !task.live {
		return
	}
	task.live = false
	if mayHaveRun || task.started {
		task.possibleRuns++
	}
	account := verifier.account(event.Spec.ClientAccount)
	account.used = account.used.Sub(event.Spec.Size)
	account.live--
	if worker := verifier.workers[task.worker]; worker != nil {
		worker.used = worker.used.Sub(event.Spec.Size)
		worker.live--
	}
}

func (verifier *Verifier) endTask(event *applier.Event) {
	task := verifier.task(event)
	if task.done {
		verifier.addViolation("a task has one outcome", "task %s ended twice", event.Task)
	}
	if event.Outcome == modeller.NotRun && (task.possibleRuns > 0 || task.live && task.started) {
		verifier.addViolation("NotRun is true", "task %s had attempts", event.Task)
	}
	verifier.endAttempt(event, event.Outcome != modeller.NotRun)
	task.done = true
}

func (verifier *Verifier) endJob(event *applier.Event) {
	if first, seen := verifier.jobs[event.Spec.ID]; seen {
		verifier.addViolation("a job has one outcome", "job %d: %s and %s", event.Spec.ID, first.outcome, event.Outcome)
	}
	verifier.jobs[event.Spec.ID] = jobState{outcome: event.Outcome, ended: event.Time}
}
