package stager

import (
	"time"

	"github.com/dotterelrill/dotterelrill/modeller"
)

// Announcement is what a worker says of itself.
type Announcement struct {
	Worker Worker
	// Clock is the worker's own, zero if it states none.
	Clock modeller.Millis
	// Number grows with each announcement of a life.
	Number uint64
	// Remaining is the least time that a leaving worker stays.
	Remaining modeller.Millis
}

// Inquiry is a question to an adviser, with the time that it should take.
type Inquiry struct {
	Step    StepID
	Workers []modeller.WorkerName
	Takes   time.Duration
	// Urgency and Latest order the questions as the waiting steps are ordered.
	Urgency int
	Latest  modeller.Millis
}

// Advice is an adviser's answer. Failed is true if there was none.
type Advice struct {
	Step    StepID
	Asked   []modeller.WorkerName
	Tickets []WorkerTicket
	Failed  bool
}

// WorkerTicket is leave to run a step on a worker.
type WorkerTicket struct {
	Worker modeller.WorkerName
	Ticket Ticket
}
