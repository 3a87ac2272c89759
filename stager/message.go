package stager

import (
	"time"

	"github.com/dotterelrill/dotterelrill/modeller"
)

// Announcement is what a worker reports about itself.
type Announcement struct {
	Worker Worker
	// Clock is the worker's time of day, zero if it reports none.
	Clock modeller.Millis
	// Number increases with each announcement of an incarnation.
	Number uint64
	// Remaining is the minimum time for which a leaving worker keeps running.
	Remaining modeller.Millis
	// ColdLeft is how long the worker remains slow after its beginning or a pause; zero
	// means that it is not.
	ColdLeft modeller.Millis `cbor:",omitzero"`
	// Gone is true if the worker process has ended.
	Gone bool `cbor:",omitzero"`
}

// InquiryID identifies an inquiry.
type InquiryID struct {
	Step StepID
	// Part counts the inquiries about the step.
	Part uint32
}

// Inquiry is a question to an adviser, with the time that its answer should
// take.
type Inquiry struct {
	Step    StepID
	Part    uint32 `cbor:",omitzero"`
	Workers []modeller.WorkerName
	Takes   time.Duration
	// Urgency and Latest order the inquiries in the same way as the waiting
	// steps.
	Urgency int
	Latest  modeller.Millis
}

// ID returns the identity of the inquiry.
func (inquiry *Inquiry) ID() InquiryID { return InquiryID{Step: inquiry.Step, Part: inquiry.Part} }

// Advice is an adviser's answer. Failed is true if the inquiry got no answer.
type Advice struct {
	Step    StepID
	Part    uint32 `cbor:",omitzero"`
	Asked   []modeller.WorkerName
	Tickets []WorkerTicket
	Failed  bool
}

// ID returns the identity of the inquiry that was answered.
func (advice *Advice) ID() InquiryID { return InquiryID{Step: advice.Step, Part: advice.Part} }

// WorkerTicket is an adviser's permission to run a step on the named worker.
type WorkerTicket struct {
	Worker modeller.WorkerName
	Ticket Ticket
}
