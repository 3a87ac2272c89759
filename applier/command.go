package applier

import (
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// Command is the body of one log entry. Exactly one of its pointers is set.
type Command struct {
	// Cell names the cell whose log the command was proposed to.
	Cell modeller.CellName
	// Time is the leader's clock when the command was proposed. A time that is
	// earlier than the state's, as from a new leader whose clock is behind, does
	// not set the state's time back.
	Time modeller.Millis
	// Actor identifies who caused the command, for auditing: an operator, a
	// key's fingerprint, a worker or a background loop of the leader.
	Actor string
	// RequestID makes a request of a caller or operator idempotent. It is empty
	// for commands that the leader proposes itself.
	RequestID modeller.RequestID

	ApplyTemplate *ApplyTemplate `cbor:",omitempty"`
	GrantKey      *GrantKey      `cbor:",omitempty"`
	WithdrawKey   *WithdrawKey   `cbor:",omitempty"`
	Submit        *Submit        `cbor:",omitempty"`
	Cancel        *Cancel        `cbor:",omitempty"`
	JoinWorker    *JoinWorker    `cbor:",omitempty"`
	LoseWorker    *LoseWorker    `cbor:",omitempty"`
	SetWorker     *SetWorker     `cbor:",omitempty"`
	Place         *Place         `cbor:",omitempty"`
	Stop          *Stop          `cbor:",omitempty"`
	Report        *Report        `cbor:",omitempty"`
	Refuse        *Refuse        `cbor:",omitempty"`
	Tick          *Tick          `cbor:",omitempty"`
	// Evacuate takes a data centre out of service or puts it back.
	Evacuate *stager.Evacuate `json:",omitempty" cbor:",omitempty"`
	// Staged is a batch of the leader's commands for staged jobs.
	Staged *stager.Batch `json:",omitempty" cbor:",omitempty"`
}

// ApplyTemplate creates or replaces one template.
type ApplyTemplate struct {
	// Expected is the template's revision that the operator's change is based
	// on, zero to create the template. A different current revision refuses the
	// command with RevisionConflict.
	Expected modeller.Revision
	Template modeller.Template
}

// GrantKey authorises a key to submit and cancel jobs of a client account.
type GrantKey struct {
	ClientAccount modeller.ClientAccountName
	Key           modeller.KeyHash
}

// WithdrawKey revokes a key permanently: no later template or grant can make it
// valid again. Key is a hash or a prefix of one, at least as long as a
// fingerprint.
type WithdrawKey struct {
	Key modeller.KeyHash
}

// Submit submits a job.
type Submit struct {
	ClientAccount modeller.ClientAccountName
	Queue         modeller.QueueName
	// Key is the hash of the key in the request, empty if it had none.
	Key  modeller.KeyHash
	Work modeller.Work
}

// Cancel requests the cancellation of a job.
type Cancel struct {
	Job modeller.JobID
	// Key is the hash of the caller's key. It is empty for an operator.
	Key modeller.KeyHash
	// Operator is true if the request came from an operator, who may cancel any
	// job.
	Operator bool
}

// JoinWorker registers a worker or updates its description.
type JoinWorker struct {
	Worker modeller.WorkerDescription
}

// LoseWorker removes a worker whose lease has expired, so that none of its
// attempts can still be running.
type LoseWorker struct {
	Worker      modeller.WorkerName
	Incarnation modeller.Incarnation
	// Entry is the index of the log entry by which the worker joined, so that a
	// late LoseWorker does not remove a later registration of the same
	// incarnation. Zero matches any registration.
	Entry  uint64
	Reason string
}

// SetWorker changes a worker's state, for example to drain it.
type SetWorker struct {
	Worker      modeller.WorkerName
	Incarnation modeller.Incarnation
	State       modeller.WorkerState
	Reason      string
}

// Placement assigns one attempt at a task to a worker.
type Placement struct {
	Index       uint32
	Attempt     modeller.Attempt
	Worker      modeller.WorkerName
	Incarnation modeller.Incarnation
}

// RunnerUp is a worker that the policy scored and did not choose.
type RunnerUp struct {
	Worker modeller.WorkerName
	Score  float64
}

// Place assigns tasks of one job to workers, either all of the listed tasks or
// none.
type Place struct {
	Job       modeller.JobID
	Tasks     []Placement
	Reason    string
	Score     float64
	RunnersUp []RunnerUp
	// Revision is the configuration revision that the decision was based on.
	Revision modeller.Revision
}

// StopReason is why an attempt is stopped before it finishes.
type StopReason uint8

// The reasons to stop an attempt.
const (
	StopCancel StopReason = iota + 1
	StopPreempt
	StopLimit
	StopGang
	StopDrain
)

var stopReasonNames = []string{"", "Cancel", "Preempt", "Limit", "Gang", "Drain"}

// String returns the reason's name.
func (reason StopReason) String() string {
	if int(reason) >= len(stopReasonNames) {
		return "Invalid"
	}
	return stopReasonNames[reason]
}

// Stop requests that an attempt be stopped so that its task can be placed
// again.
type Stop struct {
	Task    modeller.TaskID
	Attempt modeller.Attempt
	Reason  StopReason
	// Detail describes what the attempt's resources are needed for.
	Detail string
}

// Report is a worker's report about an attempt.
type Report struct {
	Task        modeller.TaskID
	Attempt     modeller.Attempt
	Worker      modeller.WorkerName
	Incarnation modeller.Incarnation
	Phase       modeller.Phase
	Detail      string
	Answer      *modeller.Answer `cbor:",omitempty"`
	// Used is the attempt's observed peak usage.
	Used modeller.Resources
}

// Refuse ends a queued job none of whose tasks may have run.
type Refuse struct {
	Job    modeller.JobID
	Code   coder.Code
	Reason string
}

// Tick advances the state's time when no other command does.
type Tick struct{}

// Result is the result of applying one command. It is the same on every
// replica.
type Result struct {
	Code   coder.Code
	Detail string
	// Job is the job that the command concerned or created, zero if none.
	Job modeller.JobID
	// Revision is the configuration revision after the command; for a
	// RevisionConflict it is the template's current revision.
	Revision modeller.Revision
}
