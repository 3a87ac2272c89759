package conductor

import (
	"time"

	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// Target is the incarnation of a worker that a call is meant for.
type Target struct {
	Worker  modeller.WorkerName
	Life    stager.Incarnation
	Address string
}

// StartOrder tells a worker to run an attempt. It is idempotent.
type StartOrder struct {
	Task    stager.TaskID
	Attempt modeller.Attempt
	Payload string
	// Expires is the expiry of the worker's lease on its own clock.
	Expires modeller.Millis
	// Fence is the term of the leader that sent the order, used as a fencing
	// token.
	Fence  uint64
	Saved  stager.Checkpoint
	Ticket stager.Ticket
}

// StopOrder tells a worker to end an attempt, or never to begin it.
type StopOrder struct {
	Task    stager.TaskID
	Attempt modeller.Attempt
	Fence   uint64
}

// HoldOrder is a long poll that renews a worker's lease and asks what it runs.
type HoldOrder struct {
	Fence uint64
	// Observed is the number of the last ending that is committed, which the
	// worker may discard.
	Observed uint64
	// Expires is the expiry of the lease on the worker's clock; zero renews no
	// lease.
	Expires modeller.Millis
	// Wait is how long the answer may wait for an attempt to end.
	Wait time.Duration
}

// Outcome is the result of a call to a worker.
type Outcome uint8

// The outcomes of a call.
const (
	// Obeyed means that the worker carried out the order, now or before.
	Obeyed Outcome = iota + 1
	// Rejected means that the worker did nothing.
	Rejected
	// Unanswered means that the worker may still carry out the order.
	Unanswered
	// Replaced means that another incarnation or another worker is at the address.
	Replaced
	// NotSent means that the order never left this process, for example because the
	// worker accepted no connection in time. The worker cannot carry it out.
	NotSent
)

var outcomeNames = []string{"", "Obeyed", "Rejected", "Unanswered", "Replaced", "NotSent"}

// String returns the outcome's name.
func (outcome Outcome) String() string {
	if int(outcome) >= len(outcomeNames) {
		return "Invalid"
	}
	return outcomeNames[outcome]
}

// Rejection is the reason why a worker rejected an order.
type Rejection uint8

// The reasons for rejecting a start.
const (
	// NoReason means that no reason is known.
	NoReason Rejection = iota
	// LowFence means that the worker has seen a higher fencing token, of a later
	// leader.
	LowFence
	// OldAttempt means that this attempt or a later one has ended or was stopped
	// on the worker.
	OldAttempt
	// TooLate means that the start's lease had expired.
	TooLate
	// NoRoom means that the worker lacks the resources.
	NoRoom
	// BadTicket means that the adviser's ticket is not valid.
	BadTicket
	// Unhealthy means that the worker accepts no work now.
	Unhealthy
)

var rejectionNames = []string{"NoReason", "LowFence", "OldAttempt", "TooLate", "NoRoom", "BadTicket", "Unhealthy"}

// String returns the rejection's name.
func (rejection Rejection) String() string {
	if int(rejection) >= len(rejectionNames) {
		return "Invalid"
	}
	return rejectionNames[rejection]
}

// Answer is a worker's answer to a start or stop.
type Answer struct {
	Outcome Outcome
	Reason  Rejection
	// Clock is the worker's clock, or zero if the answer did not report it.
	Clock modeller.Millis
	// Detail is a message for the log.
	Detail string
}

// HoldAnswer is a worker's answer to a hold.
type HoldAnswer struct {
	Answer
	// Life is the worker's incarnation, or zero if the answer did not report it.
	Life    stager.Incarnation
	Running []RunningAttempt
	Ended   []EndedAttempt
}

// RunningAttempt is a worker's report of an attempt that runs.
type RunningAttempt struct {
	Task    stager.TaskID
	Attempt modeller.Attempt
	Saved   stager.Checkpoint
	// Percent is how much of the work is done, or for a long-running task how much
	// of it is in service.
	Percent int
	// Load is the tail latency of a serving task in milliseconds, or for another
	// task its processor use in thousandths of a processor; approximate.
	Load int64
}

// EndedAttempt is a worker's report of an attempt that ended.
type EndedAttempt struct {
	// Number counts the endings of a worker's incarnation from 1.
	Number  uint64
	Task    stager.TaskID
	Attempt modeller.Attempt
	How     stager.Ending
	Saved   stager.Checkpoint
}

// maxEndedPerAnswer is the most endings that one answer lists.
const maxEndedPerAnswer = 500
