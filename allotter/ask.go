package allotter

import (
	"slices"

	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// split tells apart the workers with a ticket, those that were approved but
// whose ticket has lapsed, and those that were never asked about. The slices are
// used again for the next step.
func (allotter *Allotter) split(approval *Approval, options []*Candidate) (ticketed, known, unknown []*Candidate) {
	scratch := &allotter.scratch
	ticketed, known, unknown = scratch.ticketed[:0], scratch.known[:0], scratch.unknown[:0]
	for _, option := range options {
		worker := option.Worker
		ticket, approved := approval.Tickets[worker.Name]
		switch {
		case approved && ticket.Life == worker.Life && allotter.config.Elapsed < ticket.Until:
			ticketed = append(ticketed, option)
		case approved && ticket.Life == worker.Life:
			known = append(known, option)
		case approval.Refused[worker.Name] != worker.Life:
			unknown = append(unknown, option)
		}
	}
	scratch.ticketed, scratch.known, scratch.unknown = ticketed, known, unknown
	return ticketed, known, unknown
}

const (
	// askMost is how many workers a question names. An adviser approves of a part
	// of them only, and takes far longer for a second question than for more
	// workers in the first; jobs are given the time for this many.
	askMost = 30
	// askPerTask is how many workers are asked about for each task of a gang, if
	// that is more: with a third of them approved, and each with room for a task,
	// the gang has twice the room that it needs.
	askPerTask = 6
)

// most is how many workers a question about the step names.
func (step *waiting) most() int {
	if step.step.Gang {
		return min(max(askMost, askPerTask*len(step.tasks)), namedMost)
	}
	return askMost
}

// namedMost is how many workers an adviser takes in one question.
const namedMost = 100

// ask asks about the workers that the step would be placed on if its tickets
// held, and about new ones if those do not suffice. The room is kept from less
// urgent steps meanwhile. It returns whether an answer is waited for.
func (allotter *Allotter) ask(step *waiting, approval *Approval, approved, unknown []*Candidate) bool {
	wanted := allotter.assign(step, approved)
	missing := len(step.tasks) - len(wanted.Tasks)
	if missing > 0 {
		if step.step.Gang {
			return false
		}
		whole := allotter.assign(step, append(approved, unknown...))
		if len(whole.Tasks) == 0 {
			return false
		}
		missing = len(whole.Tasks) - len(wanted.Tasks)
	}
	keeping := workersOf(wanted)
	allotter.keep(step, keeping)
	if approval.Asking {
		return true
	}
	if step.step.Gang {
		return allotter.askAll(step, approval, keeping)
	}
	question := Question{Step: step.id, Urgency: step.urgency, Latest: step.latest}
	for _, name := range keeping {
		if !slices.Contains(question.Workers, name) && allotter.config.Elapsed >= approval.Tickets[name].Until {
			question.Workers = append(question.Workers, name)
		}
	}
	if missing > 0 {
		question.Workers = append(question.Workers, names(unknown, max(0, askMost-len(question.Workers)))...)
	}
	if len(question.Workers) == 0 {
		return false
	}
	question.Workers = question.Workers[:min(len(question.Workers), namedMost)]
	allotter.config.Ask(question)
	return true
}

func workersOf(place *stager.Place) []modeller.WorkerName {
	found := make([]modeller.WorkerName, 0, len(place.Tasks))
	for at := range place.Tasks {
		found = append(found, place.Tasks[at].Worker)
	}
	return found
}

func names(candidates []*Candidate, most int) []modeller.WorkerName {
	var found []modeller.WorkerName
	for _, candidate := range candidates[:min(most, len(candidates))] {
		found = append(found, candidate.Worker.Name)
	}
	return found
}
