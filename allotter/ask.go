package allotter

import (
	"slices"

	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// classify divides the workers into those with a valid ticket, those that were
// approved but whose ticket has expired, and those that were never asked about;
// refused ones are left out. The returned slices are reused for the next step.
func (allotter *Allotter) classify(approval *Approval, candidates []*Candidate) (ticketed, expired, unknown []*Candidate) {
	scratch := &allotter.scratch
	ticketed, expired, unknown = scratch.ticketed[:0], scratch.expired[:0], scratch.unknown[:0]
	for _, candidate := range candidates {
		worker := candidate.Worker
		ticket, approved := approval.Tickets[worker.Name]
		switch {
		case approved && ticket.Life == worker.Life && allotter.config.Elapsed < ticket.Until:
			ticketed = append(ticketed, candidate)
		case approved && ticket.Life == worker.Life:
			expired = append(expired, candidate)
		case approval.Refused[worker.Name] != worker.Life:
			unknown = append(unknown, candidate)
		}
	}
	scratch.ticketed, scratch.expired, scratch.unknown = ticketed, expired, unknown
	return ticketed, expired, unknown
}

const (
	// defaultQuestionWorkers is how many workers a question names. An adviser
	// approves only some of them, and a second question takes far longer than
	// more workers in the first; jobs' time limits allow for a question of this
	// size.
	defaultQuestionWorkers = 30
	// questionWorkersPerTask is how many workers a question names for each task
	// of a gang, if that is more: with a third of them approved, and room for
	// one task on each, the gang has twice the room that it needs.
	questionWorkersPerTask = 6
)

// questionWorkers returns how many workers a question about the step names.
func (step *readyStep) questionWorkers() int {
	if step.spec.Gang {
		return min(max(defaultQuestionWorkers, questionWorkersPerTask*len(step.tasks)), maxQuestionWorkers)
	}
	return defaultQuestionWorkers
}

// maxQuestionWorkers bounds the workers of a question, which the owner may divide.
const maxQuestionWorkers = 300

// ask asks for new tickets of the approved workers that the step would be
// placed on, and about unknown workers if those do not suffice. Until the answer
// the room is reserved against less urgent steps. It reports whether an answer
// is awaited.
func (allotter *Allotter) ask(step *readyStep, approval *Approval, approved, unknown []*Candidate) bool {
	placement := allotter.assign(step, approved)
	missing := len(step.tasks) - len(placement.Tasks)
	if missing > 0 {
		if step.spec.Gang {
			return false
		}
		extended := allotter.assign(step, append(approved, unknown...))
		if len(extended.Tasks) == 0 {
			return false
		}
		missing = len(extended.Tasks) - len(placement.Tasks)
	}
	workers := workersOf(placement)
	allotter.reserve(step, workers)
	if approval.Asking {
		return true
	}
	if step.spec.Gang {
		return allotter.askForGang(step, approval, workers)
	}
	question := Question{Step: step.id, Urgency: step.urgency, Latest: step.latestStart}
	for _, name := range workers {
		if !slices.Contains(question.Workers, name) && allotter.config.Elapsed >= approval.Tickets[name].Until {
			question.Workers = append(question.Workers, name)
		}
	}
	if missing > 0 {
		question.Workers = append(question.Workers, workerNames(unknown, max(0, defaultQuestionWorkers-len(question.Workers)))...)
	}
	if len(question.Workers) == 0 {
		return false
	}
	question.Workers = question.Workers[:min(len(question.Workers), maxQuestionWorkers)]
	allotter.config.Ask(question)
	return true
}

func workersOf(place *stager.Place) []modeller.WorkerName {
	workers := make([]modeller.WorkerName, 0, len(place.Tasks))
	for i := range place.Tasks {
		workers = append(workers, place.Tasks[i].Worker)
	}
	return workers
}

func workerNames(candidates []*Candidate, limit int) []modeller.WorkerName {
	var workers []modeller.WorkerName
	for _, candidate := range candidates[:min(limit, len(candidates))] {
		workers = append(workers, candidate.Worker.Name)
	}
	return workers
}
