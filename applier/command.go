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
	// Time is stamped by the leader. The state's time never goes back, even if
	// a new leader's clock is behind.
	Time modeller.Millis
	// Actor says who asked, for the reviews: an operator, a key's fingerprint,
	// a worker or a duty of the leader.
	Actor string
	// RequestID makes a request of a caller or operator idempotent. It is empty
	// for what the leader itself proposes.
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
	// Staged is a leader's batch about staged jobs.
	Staged *stager.Batch `json:",omitempty" cbor:",omitempty"`
}

// ApplyTemplate replaces or creates one template.
type ApplyTemplate struct {
	// Expected is the revision that the template has in the operator's eyes;
	// zero stands for a template that does not exist yet.
	Expected modeller.Revision
	Template modeller.Template
}

// GrantKey lets a key submit work for a client account.
type GrantKey struct {
	ClientAccount modeller.ClientAccountName
	Key           modeller.KeyHash
}

// WithdrawKey ends a key for good: no later template or grant brings it back.
// The key is named by its whole hash or by its fingerprint.
type WithdrawKey struct {
	Key modeller.KeyHash
}

// Submit asks for work to be accepted.
type Submit struct {
	ClientAccount modeller.ClientAccountName
	Queue         modeller.QueueName
	// Key is the hash of the key that came with the request; it is empty if
	// none came.
	Key  modeller.KeyHash
	Work modeller.Work
}

// Cancel asks for a job to be ended.
type Cancel struct {
	Job modeller.JobID
	// Key is the hash of the caller's key. It is empty for an operator.
	Key modeller.KeyHash
	// Operator is true if an operator asked, who may cancel any job.
	Operator bool
}

// JoinWorker makes a worker known or renews what is known of it.
type JoinWorker struct {
	Worker modeller.WorkerDescription
}

// LoseWorker records that an incarnation's lease is over, so that none of its
// attempts runs any more.
type LoseWorker struct {
	Worker      modeller.WorkerName
	Incarnation modeller.Incarnation
	// Entry is the log entry by which the worker joined, so that a loss that
	// comes late does not end a later stay. Zero stands for any.
	Entry  uint64
	Reason string
}

// SetWorker changes how far a worker takes part.
type SetWorker struct {
	Worker      modeller.WorkerName
	Incarnation modeller.Incarnation
	State       modeller.WorkerState
	Reason      string
}

// Placement gives one task to one worker.
type Placement struct {
	Index       uint32
	Attempt     modeller.Attempt
	Worker      modeller.WorkerName
	Incarnation modeller.Incarnation
}

// RunnerUp is a worker that was weighed and not chosen.
type RunnerUp struct {
	Worker modeller.WorkerName
	Score  float64
}

// Place commits tasks of one job to workers: all of the listed or none.
type Place struct {
	Job       modeller.JobID
	Tasks     []Placement
	Reason    string
	Score     float64
	RunnersUp []RunnerUp
	// Revision is the configuration that the decision was made under.
	Revision modeller.Revision
}

// StopReason says why an attempt is ended before it finishes.
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

// Stop asks for an attempt to be ended so that the task can be placed again.
type Stop struct {
	Task    modeller.TaskID
	Attempt modeller.Attempt
	Reason  StopReason
	// Detail says for whom or for what the attempt makes room.
	Detail string
}

// Report is what a worker says about an attempt.
type Report struct {
	Task        modeller.TaskID
	Attempt     modeller.Attempt
	Worker      modeller.WorkerName
	Incarnation modeller.Incarnation
	Phase       modeller.Phase
	Detail      string
	Answer      *modeller.Answer `cbor:",omitempty"`
	// Used is the most that the attempt was seen to use.
	Used modeller.Resources
}

// Refuse ends the tasks of a job that never had an attempt, with a reason.
type Refuse struct {
	Job    modeller.JobID
	Code   coder.Code
	Reason string
}

// Tick carries nothing but the leader's time.
type Tick struct{}

// Result is the decision about one command. It is the same on every replica.
type Result struct {
	Code   coder.Code
	Detail string
	// Job is the job that the command was about or brought about.
	Job modeller.JobID
	// Revision is the configuration's revision after the command; for a
	// RevisionConflict it is the template's current one.
	Revision modeller.Revision
}
