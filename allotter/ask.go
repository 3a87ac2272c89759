package allotter

import (
	"math"
	"slices"
	"time"

	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// approved returns the workers that an adviser has approved for a step and whose room
// holds one of its tasks, best first: those with a valid ticket, and those whose ticket
// has expired. They are far fewer than the workers of a large fleet. The returned slices
// are reused for the next step.
func (allotter *Allotter) approved(step *readyStep, approval *Approval, room func(*Candidate) *modeller.Resources) (ticketed, expired []*Candidate) {
	ranks := allotter.scratch.ranks[:0]
	demand := step.spec.Demand()
	for name, ticket := range approval.Tickets {
		candidate := allotter.candidate(name)
		if candidate != nil && ticket.Life == candidate.Worker.Life && demand.Fits(*room(candidate)) && allotter.eligible(step, candidate.Worker) {
			ranks = append(ranks, step.rank(candidate)<<indexBits|int64(allotter.indexes[name]))
		}
	}
	ticketed, expired = allotter.scratch.ticketed[:0], allotter.scratch.expired[:0]
	for _, candidate := range allotter.sortRanks(ranks) {
		if allotter.config.Elapsed < approval.Tickets[candidate.Worker.Name].Until {
			ticketed = append(ticketed, candidate)
		} else {
			expired = append(expired, candidate)
		}
	}
	allotter.scratch.ticketed, allotter.scratch.expired = ticketed, expired
	return ticketed, expired
}

// unknown returns the eligible workers that no adviser was asked about for the step and
// whose room holds one of its tasks, best first. The slice is reused by the next call.
func (allotter *Allotter) unknown(step *readyStep, approval *Approval, room func(*Candidate) *modeller.Resources) []*Candidate {
	return allotter.ranked(step, room, approval.unknown)
}

// unknown reports whether no adviser was asked about the worker's incarnation.
func (approval *Approval) unknown(candidate *Candidate) bool {
	ticket, approved := approval.Tickets[candidate.Worker.Name]
	return (!approved || ticket.Life != candidate.Worker.Life) && approval.Refused[candidate.Worker.Name] != candidate.Worker.Life
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
	// maxQuestionWorkers bounds the workers of a question, which the owner may divide;
	// maxSingleTaskWorkers those of one about a step that is no gang.
	maxQuestionWorkers   = 300
	maxSingleTaskWorkers = 100
)

// questionWorkers returns how many workers a question about the step names: for single
// tasks about as many as it takes until there is one approved worker for each missing
// one.
func (step *readyStep) questionWorkers(approval *Approval, missing int) int {
	if step.spec.Gang {
		return min(max(defaultQuestionWorkers, questionWorkersPerTask*len(step.tasks)), maxQuestionWorkers)
	}
	wanted := float64(missing) / max(approval.rate(), 1.0/maxSingleTaskWorkers)
	return min(max(defaultQuestionWorkers, int(wanted)), maxSingleTaskWorkers)
}

// ask asks for new tickets of the approved workers that the step would be
// placed on, and about unknown workers if those do not suffice. Until the answer
// the room is reserved against less urgent steps. It reports whether an answer
// is awaited.
func (allotter *Allotter) ask(step *readyStep, approval *Approval, approved []*Candidate) bool {
	placement := allotter.assign(step, approved)
	missing := len(step.tasks) - len(placement.Tasks)
	if missing > 0 && step.spec.Gang {
		return false
	}
	workers := workersOf(placement)
	if approval.Asking {
		allotter.reserve(step, workers)
		return true
	}
	var unknown []*Candidate
	if missing > 0 {
		unknown = allotter.unknown(step, approval, freeNow)
		if !allotter.worthAsking(step, approval, unknown, missing) {
			unknown = nil
		}
		if len(placement.Tasks) == 0 && len(unknown) == 0 {
			return false
		}
	}
	allotter.reserve(step, workers)
	if step.spec.Gang {
		return allotter.askForGang(step, approval, workers)
	}
	question := Question{Step: step.id, Urgency: step.urgency, Latest: step.latestStart}
	for _, name := range workers {
		if !slices.Contains(question.Workers, name) && allotter.config.Elapsed >= approval.Tickets[name].Until {
			question.Workers = append(question.Workers, name)
		}
	}
	switch {
	case len(unknown) > 0:
		question.Workers = allotter.addUnknown(step, approval, question.Workers, unknown, missing)
	case len(question.Workers) > 0:
		question.Workers = allotter.addExpired(step, approval, question.Workers)
	}
	if len(question.Workers) == 0 {
		return false
	}
	question.Workers = question.Workers[:min(len(question.Workers), maxQuestionWorkers)]
	allotter.config.Ask(question)
	if allotter.keepsRoom(step, approval, len(question.Workers)) {
		approval.PendingPlacement = allotter.expectedPlacement(step, approval, workers, unknown, missing)
	}
	return true
}

// keepsRoom reports whether a step keeps room while a question about so many workers is on
// its way: one that goes before others by the rank of its queue, if the answer comes soon.
func (allotter *Allotter) keepsRoom(step *readyStep, approval *Approval, workers int) bool {
	return approval.Asking && step.queueRank < allotter.lastRank && !step.isolated && step.queue.Advised.AnswerTime(workers) < longQuestion
}

// expectedPlacement returns the workers that a step will probably be placed on once a
// question about it is answered: those of its placement, and as many of the unknown ones as
// it takes to expect the missing approvals. On a full fleet their room would be gone when
// a short question is answered, and the question had to be asked again.
func (allotter *Allotter) expectedPlacement(step *readyStep, approval *Approval, placed []modeller.WorkerName, unknown []*Candidate, missing int) []modeller.WorkerName {
	expected := slices.Clone(placed)
	wanted := int(math.Ceil(float64(missing) / max(approval.rate(), 1.0/maxSingleTaskWorkers)))
	for _, candidate := range unknown {
		for range min(step.slotsIn(candidate.free), wanted) {
			expected = append(expected, candidate.Worker.Name)
			wanted--
		}
		if wanted == 0 {
			break
		}
	}
	allotter.reserve(step, expected[len(placed):])
	return expected
}

// minUsefulStarts is how many starts a question about unknown workers should bring once
// a step has enough approved ones: an answer costs the leader about as much as two
// starts do.
const minUsefulStarts = 4

// worthAsking reports whether a step should ask about unknown workers that have room for
// some of its missing tasks. A step that runs, and whose approved workers could hold its
// missing tasks twice over when empty, waits for room there unless the question would
// start several tasks at once: it would ask about one worker after the other otherwise.
func (allotter *Allotter) worthAsking(step *readyStep, approval *Approval, unknown []*Candidate, missing int) bool {
	if len(unknown) == 0 || step.spec.Lasting || step.job.Live() == 0 {
		return len(unknown) > 0
	}
	starts := approval.rate() * float64(min(len(unknown), step.questionWorkers(approval, missing)))
	if starts >= float64(min(missing, minUsefulStarts)) {
		return true
	}
	return allotter.approvedSlots(step, approval) < approvedRoomFactor*missing
}

// approvedSlots counts the tasks of a step that its approved workers could hold if they
// were empty.
func (allotter *Allotter) approvedSlots(step *readyStep, approval *Approval) int {
	count := 0
	for name, ticket := range approval.Tickets {
		if candidate := allotter.candidate(name); candidate != nil && ticket.Life == candidate.Worker.Life && allotter.eligible(step, candidate.Worker) {
			count += step.slotsOn(candidate.Worker)
		}
	}
	return count
}

// rate returns the share of workers that the adviser has approved of those it was asked
// about.
func (approval *Approval) rate() float64 {
	if asked := len(approval.Tickets) + len(approval.Refused); asked > 0 {
		return float64(len(approval.Tickets)) / float64(asked)
	}
	return initialApprovalRate
}

// addExpired adds the approved workers whose tickets have expired to a question, so that
// one answer serves for all room that becomes free while its tickets are valid.
func (allotter *Allotter) addExpired(step *readyStep, approval *Approval, workers []modeller.WorkerName) []modeller.WorkerName {
	_, expired := allotter.approved(step, approval, freeWhenEmpty)
	for _, candidate := range expired {
		if len(workers) == defaultQuestionWorkers {
			break
		}
		if !slices.Contains(workers, candidate.Worker.Name) {
			workers = append(workers, candidate.Worker.Name)
		}
	}
	return workers
}

// addUnknown adds unknown workers to a question: those that have room now, and, if these
// are few, others that may have some soon. On a full fleet a step would otherwise ask
// again for each worker on which some room becomes free.
func (allotter *Allotter) addUnknown(step *readyStep, approval *Approval, workers []modeller.WorkerName, unknown []*Candidate, missing int) []modeller.WorkerName {
	limit := max(min(step.questionWorkers(approval, missing), len(workers)+len(unknown)), defaultQuestionWorkers, len(workers))
	workers = append(workers, workerNames(unknown, limit-len(workers))...)
	if len(workers) == limit {
		return workers
	}
	for _, candidate := range allotter.unknown(step, approval, freeWhenEmpty) {
		if len(workers) < limit && !slices.Contains(workers, candidate.Worker.Name) {
			workers = append(workers, candidate.Worker.Name)
		}
	}
	return workers
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

// adviserFree reports whether a question about the step would be answered next. While the
// advisers are the bottleneck, a question that waits for them keeps room idle, and by the
// time of its answer other steps may be more urgent. So only as many are asked as can be
// answered, in the order of the steps.
func (allotter *Allotter) adviserFree(step *readyStep) bool {
	if allotter.config.AdviserFree == nil {
		return true
	}
	takes := step.queue.Advised.AnswerTime(defaultQuestionWorkers)
	busy := &allotter.shortBusy
	if takes >= longQuestion {
		busy = &allotter.longBusy
	}
	if !*busy {
		*busy = !allotter.config.AdviserFree(takes)
	}
	return !*busy
}

// longQuestion is the time from which a question counts as long. Advisers keep some of
// their time free of long ones, so one kind may be answered while the other waits.
const longQuestion = 50 * time.Millisecond
