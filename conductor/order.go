package conductor

import (
	"time"

	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// Target is the life of a worker that a call is meant for.
type Target struct {
	Worker  modeller.WorkerName
	Life    stager.Life
	Address string
}

// StartOrder tells a worker to run an attempt. Sent again, it changes nothing.
type StartOrder struct {
	Task    stager.TaskID
	Attempt modeller.Attempt
	Payload string
	// Expires is the end of the worker's lease on its own clock.
	Expires modeller.Millis
	// Fence is the epoch of the leader that orders.
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

// HoldOrder renews a worker's lease and asks what it runs.
type HoldOrder struct {
	Fence uint64
	// Observed is the number of the last ending that is committed, so that the
	// worker may forget it.
	Observed uint64
	// Expires is the end of the lease on the worker's clock; zero renews
	// nothing.
	Expires modeller.Millis
	// Wait is how long the answer may wait for an attempt to end.
	Wait time.Duration
}

// Outcome is what became of a call to a worker.
type Outcome uint8

// The outcomes of a call.
const (
	// Obeyed means that the worker did what it was told, or had before.
	Obeyed Outcome = iota + 1
	// Rejected means that it did nothing.
	Rejected
	// Unanswered means that it may do it yet.
	Unanswered
	// Replaced means that another life, or another worker, is at the address.
	Replaced
)

var outcomeNames = []string{"", "Obeyed", "Rejected", "Unanswered", "Replaced"}

// String returns the outcome's name.
func (outcome Outcome) String() string {
	if int(outcome) >= len(outcomeNames) {
		return "Invalid"
	}
	return outcomeNames[outcome]
}

// Rejection is why a worker did nothing.
type Rejection uint8

// The rejections of a start.
const (
	// NoReason stands for none that is known.
	NoReason Rejection = iota
	// LowFence means that the worker has seen a later leader.
	LowFence
	// OldAttempt means that this attempt or a later one ended or was stopped
	// there.
	OldAttempt
	// TooLate means that the lease that came with the start was over.
	TooLate
	// NoRoom means that it does not fit.
	NoRoom
	// BadTicket means that the adviser's ticket does not hold.
	BadTicket
	// Unhealthy means that the worker takes nothing now.
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
	// Clock is the worker's, zero if the answer did not state it.
	Clock modeller.Millis
	// Detail is for the log.
	Detail string
}

// Holding is a worker's answer to a hold.
type Holding struct {
	Answer
	// Life is zero if the answer did not state it.
	Life    stager.Life
	Running []RunningAttempt
	Ended   []EndedAttempt
}

// RunningAttempt is what a worker says of an attempt that runs.
type RunningAttempt struct {
	Task    stager.TaskID
	Attempt modeller.Attempt
	Saved   stager.Checkpoint
	// Percent is how much of the work is done, or how much of a lasting task is
	// at work.
	Percent int
	// Load is the tail of a serving task's response times in milliseconds, or
	// the thousandths of a processor that another task uses; rough.
	Load int64
}

// EndedAttempt is what a worker says of an attempt that ended.
type EndedAttempt struct {
	// Number counts the ends in a worker's life from 1.
	Number  uint64
	Task    stager.TaskID
	Attempt modeller.Attempt
	How     stager.Ending
	Saved   stager.Checkpoint
}

// endedMost is how many endings one answer lists at most.
const endedMost = 500
