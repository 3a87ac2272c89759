package allotter

import (
	"cmp"
	"slices"

	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// reservePending reserves the room that a step's last question was about, and records
// whether that question has been answered.
func (allotter *Allotter) reservePending(step *readyStep) {
	if step.queue.Advised == nil {
		return
	}
	approval := allotter.config.Approval(step.id)
	pending := step.pending(approval)
	step.answered = len(pending) > 0 && !approval.Asking
	allotter.reserve(step, pending)
}

// pending returns the workers of PendingPlacement that were reserved for these tasks.
// Suspects outside a gang keep no room for an answer, but share the approval with the other
// tasks of their step, which may.
func (step *readyStep) pending(approval *Approval) []modeller.WorkerName {
	if step.isolated && !step.spec.Gang {
		return nil
	}
	return approval.PendingPlacement
}

// reserve reserves room for one task of the step for each entry of workers: the room
// of a step that waits for an adviser's answer, or that which becomes free first for a
// waiting gang. Workers that are no candidates are passed over.
func (allotter *Allotter) reserve(step *readyStep, workers []modeller.WorkerName) {
	allotter.trials += step.trials(workers)
	for _, name := range workers {
		if candidate := allotter.candidate(name); candidate != nil {
			candidate.free = candidate.free.Sub(step.held(candidate))
		}
	}
}

// trials returns how many of the workers suspects of the step take for themselves.
func (step *readyStep) trials(workers []modeller.WorkerName) int {
	if !step.isolated {
		return 0
	}
	return len(slices.Compact(slices.Sorted(slices.Values(workers))))
}

// held returns the room that one task of the step takes on a worker: all of it if the
// task must be the only one to begin there.
func (step *readyStep) held(candidate *Candidate) modeller.Resources {
	if step.isolated {
		return candidate.Worker.Capacity
	}
	return step.spec.Demand()
}

// release undoes reserve.
func (allotter *Allotter) release(step *readyStep, workers []modeller.WorkerName) {
	allotter.trials -= step.trials(workers)
	for _, name := range workers {
		if candidate := allotter.candidate(name); candidate != nil {
			candidate.free = candidate.free.Add(step.held(candidate))
		}
	}
}

// askForGang asks for the tickets of all workers that a gang is to be placed
// on, also those that are still valid: a gang needs all its tickets at the same
// time, so none may expire while others are asked for. The room stays reserved
// until the answer. Others are workers to be asked about in addition. It always returns
// true, as the gang waits for an answer.
func (allotter *Allotter) askForGang(step *readyStep, approval *Approval, workers []modeller.WorkerName, others ...modeller.WorkerName) bool {
	question := Question{Step: step.id, Urgency: step.urgency, Latest: step.latestStart}
	for _, name := range slices.Concat(workers, others) {
		if !slices.Contains(question.Workers, name) {
			question.Workers = append(question.Workers, name)
		}
	}
	question.Workers = question.Workers[:min(len(question.Workers), maxQuestionWorkers)]
	allotter.config.Ask(question)
	if approval.Asking {
		approval.PendingPlacement = workers
	}
	return true
}

// gangRetryMillis is how long a gang that found no room is skipped unless its
// reserved room becomes free; a few short tasks end in that time.
const gangRetryMillis = 100

// maxGangSearches bounds the gangs that one pass searches room for a second time. Such a
// search looks at the whole fleet; while many gangs wait, they take turns, so that a pass
// stays short for the other steps.
const maxGangSearches = 16

// backsOff reports whether a gang is skipped in this pass. If so, the room that
// it has reserved stays reserved.
func (allotter *Allotter) backsOff(step *readyStep, approval *Approval) bool {
	if allotter.config.Elapsed >= approval.GangRetryAt && (approval.GangRetryAt == 0 || allotter.gangSearches < maxGangSearches) {
		allotter.gangSearches++
		approval.Reserved = nil
		return false
	}
	if len(approval.Reserved) > 0 {
		allotter.reserve(step, approval.Reserved)
		allotter.lateReserved = allotter.lateReserved || step.late
		if allotter.allFree(approval.Reserved) {
			allotter.release(step, approval.Reserved)
			approval.Reserved = nil
			return false
		}
	}
	return true
}

// allFree reports whether the workers are candidates and all reserved room on them is
// free.
func (allotter *Allotter) allFree(workers []modeller.WorkerName) bool {
	return !slices.ContainsFunc(workers, func(name modeller.WorkerName) bool {
		candidate := allotter.candidate(name)
		return candidate == nil || !(modeller.Resources{}).Fits(candidate.free)
	})
}

const (
	// approvedRoomFactor is how many times the room that a step needs its approved
	// workers should have between them, so that it does not depend on any
	// single worker.
	approvedRoomFactor = 2
	// initialApprovalRate is the assumed fraction of workers that an adviser
	// approves, until there are answers about the step.
	initialApprovalRate = 0.5
	// A gang that waits for its approved workers asks about others if these are expected
	// to hold one in worthwhileSlotsDivisor of its missing tasks. With a divisor of 1, a
	// gang of two waited for 4 s beside four empty workers that it had not asked about,
	// since the adviser had approved only 3 of 13 before.
	worthwhileSlotsDivisor = 2
)

// prepareGang brings forward the start of a gang that does not fit now: it
// reserves the room that becomes free first on approved workers, asks for their
// tickets when that time is near, and asks about more workers if few are
// approved or others already have room. It reports whether an answer is
// awaited.
func (allotter *Allotter) prepareGang(step *readyStep, approval *Approval) bool {
	approved := slices.Concat(allotter.approved(step, approval, freeWhenEmpty))
	approvedSlots := step.emptySlots(approved)
	if approvedSlots < len(step.tasks) && approvedSlots+step.emptySlots(allotter.unknown(step, approval, freeWhenEmpty)) < len(step.tasks) {
		return false
	}
	reserved, freeAt := allotter.reserveEarliest(step, approved)
	approval.Reserved = reserved
	if approval.Asking {
		return true
	}
	answerTime := modeller.Millis(step.queue.Advised.AnswerTime(len(reserved)).Milliseconds())
	switch {
	case len(reserved) > 0 && freeAt <= allotter.config.Elapsed+answerTime:
		if !allotter.anyTicketExpires(approval, reserved, freeAt) {
			return false
		}
		return allotter.askForGang(step, approval, reserved, allotter.alternatives(step, approval, approved)...)
	case approvedSlots < approvedRoomFactor*len(step.tasks) || allotter.moreWorkersWouldFit(step, approval, approved):
		if unknown := allotter.unknown(step, approval, freeWhenEmpty); len(unknown) > 0 {
			allotter.config.Ask(Question{Step: step.id, Workers: workerNames(unknown, step.questionWorkers(approval, len(step.tasks))), Urgency: step.urgency, Latest: step.latestStart})
		}
	}
	return approval.Asking
}

// alternatives returns the unknown workers that a gang would probably fit now. It asks about
// them when it asks again for the tickets of workers that run tasks longer than expected:
// otherwise it might await their room again and again.
func (allotter *Allotter) alternatives(step *readyStep, approval *Approval, approved []*Candidate) []modeller.WorkerName {
	if !allotter.moreWorkersWouldFit(step, approval, approved) {
		return nil
	}
	return workerNames(allotter.unknown(step, approval, freeNow), step.questionWorkers(approval, len(step.tasks)))
}

// awaitsTicketedRoom reports whether a gang waits for room that becomes free on workers whose
// tickets are valid until then, and reserves that room. Asking again about others would
// keep room idle for the time of an answer, so it is done only if the gang would probably
// start sooner by it.
func (allotter *Allotter) awaitsTicketedRoom(step *readyStep, approval *Approval) bool {
	if !allotter.scarce {
		return false
	}
	ticketed, _ := allotter.approved(step, approval, freeWhenEmpty)
	if len(ticketed) == 0 {
		return false
	}
	expires := approval.Tickets[ticketed[0].Worker.Name].Until
	for _, candidate := range ticketed {
		expires = min(expires, approval.Tickets[candidate.Worker.Name].Until)
	}
	slots := allotter.earliestSlots(step, ticketed)
	if slots == nil || slots[len(slots)-1].freeAt >= expires || allotter.startsSoonerElsewhere(step, approval, ticketed, slots[len(slots)-1].freeAt) {
		return false
	}
	allotter.reserve(step, slotWorkers(slots))
	allotter.lateReserved = allotter.lateReserved || step.late
	return true
}

// startsSoonerElsewhere reports whether a gang that could start at a time on workers with
// tickets would probably start sooner if an adviser was asked about unknown workers now.
func (allotter *Allotter) startsSoonerElsewhere(step *readyStep, approval *Approval, ticketed []*Candidate, startsAt modeller.Millis) bool {
	return startsAt > allotter.answerAt(step, step.questionWorkers(approval, len(step.tasks))) &&
		allotter.moreWorkersWouldFit(step, approval, ticketed) && (approval.Asking || allotter.adviserFree(step))
}

// anyTicketExpires reports whether any of the workers' tickets has expired or
// will expire by the given time.
func (allotter *Allotter) anyTicketExpires(approval *Approval, workers []modeller.WorkerName, at modeller.Millis) bool {
	return slices.ContainsFunc(workers, func(name modeller.WorkerName) bool {
		return approval.Tickets[name].Until <= max(at, allotter.config.Elapsed)
	})
}

// moreWorkersWouldFit reports whether a gang has a fair chance to fit now if it asked about
// the unknown workers, given the fraction approved so far.
func (allotter *Allotter) moreWorkersWouldFit(step *readyStep, approval *Approval, approved []*Candidate) bool {
	missing := len(step.tasks) - len(allotter.assign(step, approved).Tasks)
	return worthwhileSlotsDivisor*approval.rate()*float64(allotter.unknownSlots(step, approval)) >= float64(missing)
}

// unknownSlots counts the step's tasks that the unknown workers have room for now. On a
// full fleet such workers are few, so they are not ranked.
func (allotter *Allotter) unknownSlots(step *readyStep, approval *Approval) int {
	count := 0
	demand := step.spec.Demand()
	for index := range allotter.config.Candidates {
		candidate := &allotter.config.Candidates[index]
		if demand.Fits(candidate.free) && allotter.eligible(step, candidate.Worker) && approval.unknown(candidate) {
			count += step.slotsIn(candidate.free)
		}
	}
	return count
}

// emptySlots counts the tasks of a step that the workers could hold if they
// were empty.
func (step *readyStep) emptySlots(workers []*Candidate) int {
	count := 0
	for _, candidate := range workers {
		count += step.slotsOn(candidate.Worker)
	}
	return count
}

// slotsOn counts the tasks of a step that a worker could hold if it were empty.
func (step *readyStep) slotsOn(worker *stager.Worker) int { return step.slotsIn(worker.Capacity) }

// slotsIn counts the tasks of a step that a worker with this much free room could take.
func (step *readyStep) slotsIn(free modeller.Resources) int {
	count := 0
	for step.canAddTask(count) && step.spec.Demand().Fits(free) {
		free = free.Sub(step.spec.Demand())
		count++
	}
	return count
}

// canAddTask reports whether a worker that holds the given number of the step's
// tasks may take another.
func (step *readyStep) canAddTask(placed int) bool {
	return placed < len(step.tasks) && (step.spec.MostPerWorker == 0 || placed < int(step.spec.MostPerWorker))
}

// slot is room for one task on a worker from a point in time on.
type slot struct {
	worker modeller.WorkerName
	freeAt modeller.Millis
}

// reserveEarliest reserves the room that becomes free first for a gang that has
// to wait, so that less urgent steps do not take it piece by piece. Of the late
// gangs only the first gets such a reservation, which bounds both how long late
// gangs starve and how much capacity is idle for them. It returns where room is
// reserved, one entry per task, and when all of it is free.
func (allotter *Allotter) reserveEarliest(step *readyStep, workers []*Candidate) ([]modeller.WorkerName, modeller.Millis) {
	if !step.spec.Gang || step.late && allotter.lateReserved {
		return nil, 0
	}
	slots := allotter.earliestSlots(step, workers)
	if slots == nil {
		return nil, 0
	}
	reserved := slotWorkers(slots)
	allotter.reserve(step, reserved)
	allotter.lateReserved = allotter.lateReserved || step.late
	return reserved, slots[len(slots)-1].freeAt
}

// earliestSlots returns room for each of the step's tasks on the workers, that which is free
// first, earliest first; it returns nil if they cannot hold them all.
func (allotter *Allotter) earliestSlots(step *readyStep, workers []*Candidate) []slot {
	var slots []slot
	for _, candidate := range workers {
		slots = allotter.appendSlots(slots, step, candidate)
	}
	if len(slots) < len(step.tasks) {
		return nil
	}
	slices.SortStableFunc(slots, func(left, right slot) int { return cmp.Compare(left.freeAt, right.freeAt) })
	return slots[:len(step.tasks)]
}

// slotWorkers returns the worker of each slot.
func slotWorkers(slots []slot) []modeller.WorkerName {
	workers := make([]modeller.WorkerName, 0, len(slots))
	for _, slot := range slots {
		workers = append(workers, slot.worker)
	}
	return workers
}

// appendSlots appends a slot for each of the step's tasks that the worker can
// hold, now or after the expected endings of its attempts.
func (allotter *Allotter) appendSlots(slots []slot, step *readyStep, candidate *Candidate) []slot {
	if allotter.config.ExpectedReleases == nil {
		return slots
	}
	held := step.spec.Demand()
	free := candidate.free
	onWorker := 0
	addSlots := func(at modeller.Millis) {
		for step.canAddTask(onWorker) && held.Fits(free) {
			slots = append(slots, slot{worker: candidate.Worker.Name, freeAt: at})
			free = free.Sub(held)
			onWorker++
		}
	}
	addSlots(0)
	if !candidate.releasesKnown {
		candidate.releases, candidate.releasesKnown = allotter.config.ExpectedReleases(candidate.Worker.Name), true
	}
	for _, expectedRelease := range candidate.releases {
		if !step.canAddTask(onWorker) {
			break
		}
		free = free.Add(expectedRelease.Size)
		addSlots(expectedRelease.At)
	}
	return slots
}
