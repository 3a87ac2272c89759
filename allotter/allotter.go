// Package allotter owns the policy for staged jobs: which waiting step goes
// next, on which workers, and which workers an adviser is asked about.
//
// It answers a load of short urgent jobs beside wide gangs and long batch steps
// on a fleet that is nearly full. Steps that can still be on time go first, the
// one whose latest start is nearest before the others; then those that are late;
// then those that nobody waits for any more. It proposes and decides nothing:
// package stager checks each placement in full.
//
// An Allotter works on a view that its owner gives it and keeps no state, so it
// can be tested without a network and replayed.
package allotter

import (
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// Candidate is a worker that may get work now.
type Candidate struct {
	Worker *stager.Worker
	// Doubt counts recent failures that speak against the worker; those with
	// less are taken first.
	Doubt int
	// Pace is how long the worker takes for its tasks as a part of what is usual;
	// zero stands for 1.
	Pace float64
}

// Ending is when a live attempt is expected to give room back, on the clock of
// Elapsed.
type Ending struct {
	At   modeller.Millis
	Size modeller.Resources
}

// Approval is what an adviser has said about a step.
type Approval struct {
	// Tickets holds the workers that may run the step.
	Tickets map[modeller.WorkerName]Ticket
	// Refused holds the lives of workers that may not.
	Refused map[modeller.WorkerName]stager.Life
	// Asking is true while a question is under way.
	Asking bool
	// Kept is where a gang is to be placed if the answer allows it. The room is
	// kept from all other steps until the gang was looked at again.
	Kept []modeller.WorkerName
	// Reserved is where the room that will be free first is kept for a gang, which
	// is looked at again when that is free, or at RestUntil.
	Reserved  []modeller.WorkerName
	RestUntil modeller.Millis
}

// Answered notes that the question under way was answered or came to nothing, so
// that the step is looked at anew.
func (approval *Approval) Answered() {
	approval.Asking, approval.Reserved, approval.RestUntil = false, nil, 0
}

// Ticket is leave to run a step on a worker.
type Ticket struct {
	Ticket stager.Ticket
	Life   stager.Life
	// Until is when the ticket is no longer to be used, on the clock of Elapsed.
	Until modeller.Millis
}

// Question asks an adviser which workers may run a step.
type Question struct {
	Step    stager.StepID
	Workers []modeller.WorkerName
	// Urgency and Latest are those of the step.
	Urgency int
	Latest  modeller.Millis
}

// Config is the view that an Allotter works on.
type Config struct {
	State *stager.State
	// Now is the time of day, and Elapsed the clock that tickets run on.
	Now, Elapsed modeller.Millis
	Candidates   []Candidate
	// Approval returns what is known of a step, never nil.
	Approval func(stager.StepID) *Approval
	// Place carries a placement out on the State or refuses it.
	Place func(*stager.Place) error
	// Ask passes a question on.
	Ask func(Question)
	// RunTime corrects a queue's declared run time; nil believes it.
	RunTime func(modeller.QueueName, modeller.Millis) modeller.Millis
	// Endings returns when a worker's attempts are expected to end, in that
	// order; nil expects nothing.
	Endings func(modeller.WorkerName) []Ending
}

// Allotter goes through the waiting steps once.
type Allotter struct {
	config Config
	// kept is the room that is not to be used now: what steps wait for an
	// adviser's leave to use, and what will be free first for gangs that wait.
	kept map[modeller.WorkerName]modeller.Resources
	// lateKept is true once room is kept for a gang that is late.
	lateKept bool
	scratch  scratch
}

// scratch holds slices that one step after the other uses.
type scratch struct {
	options                  []*Candidate
	ticketed, known, unknown []*Candidate
	ranks                    []int64
}

// New returns an allotter for one pass.
func New(config Config) *Allotter {
	return &Allotter{config: config, kept: make(map[modeller.WorkerName]modeller.Resources)}
}

// Summary counts the steps of one pass by what became of them.
type Summary struct {
	// Placed were placed whole, Asking wait for an adviser, NoRoom for workers
	// and AtLimit for their client account's other work.
	Placed, Asking, NoRoom, AtLimit int
}

// Run proposes placements and questions in the order of the waiting steps.
func (allotter *Allotter) Run() Summary {
	var summary Summary
	for _, step := range allotter.order() {
		*allotter.serve(step, &summary)++
	}
	return summary
}

// serve places what it can of a step, and asks about workers if that is what
// it lacks. It returns which count of the summary the step belongs to.
func (allotter *Allotter) serve(step *waiting, summary *Summary) *int {
	if !step.least().Fits(allotter.config.State.Room(step.job.ClientAccount)) {
		return &summary.AtLimit
	}
	if step.queue.Advised == nil {
		if allotter.place(step, allotter.options(step)) == len(step.tasks) {
			return &summary.Placed
		}
		allotter.reserve(step, allotter.possible(step))
		return &summary.NoRoom
	}
	approval := allotter.config.Approval(step.id)
	if approval.Asking && (len(approval.Kept) > 0 || len(approval.Tickets) == 0) {
		return &summary.Asking
	}
	if step.step.Gang && allotter.rests(step, approval) {
		return &summary.NoRoom
	}
	allotter.unkeep(step, approval.Kept)
	approval.Kept = nil
	ticketed, known, unknown := allotter.split(approval, allotter.options(step))
	if allotter.place(step, ticketed) == len(step.tasks) {
		return &summary.Placed
	}
	step.tasks = step.job.Waiting(step.id.Occurrence, step.id.Step)
	if allotter.ask(step, approval, append(ticketed, known...), unknown) {
		return &summary.Asking
	}
	if !step.step.Gang {
		return &summary.NoRoom
	}
	asking := allotter.prepare(step, approval)
	approval.RestUntil = allotter.config.Elapsed + restFor
	if asking {
		return &summary.Asking
	}
	return &summary.NoRoom
}

// least is the least that can be placed of a step: a gang whole, of others one
// task.
func (step *waiting) least() modeller.Resources {
	if step.step.Gang {
		return step.step.Size.Times(int64(len(step.tasks)))
	}
	return step.step.Size
}

// left is what a worker has left for a step.
func (allotter *Allotter) left(worker *stager.Worker) modeller.Resources {
	return worker.Capacity.Sub(worker.Used()).Sub(allotter.kept[worker.Name])
}
