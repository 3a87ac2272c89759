package allotter

import (
	"cmp"
	"slices"

	"github.com/dotterelrill/dotterelrill/modeller"
)

// keepForGang keeps the room that a gang has asked leave for.
func (allotter *Allotter) keepForGang(step *waiting) {
	if step.queue.Advised == nil || !step.step.Gang {
		return
	}
	approval := allotter.config.Approval(step.id)
	step.answered = len(approval.Kept) > 0 && !approval.Asking
	allotter.keep(step, approval.Kept)
}

// keep keeps room for a task of the step on each of the workers named.
func (allotter *Allotter) keep(step *waiting, workers []modeller.WorkerName) {
	held := step.step.Held()
	for _, name := range workers {
		allotter.kept[name] = allotter.kept[name].Add(held)
	}
}

// unkeep ends what keep began.
func (allotter *Allotter) unkeep(step *waiting, workers []modeller.WorkerName) {
	held := step.step.Held()
	for _, name := range workers {
		allotter.kept[name] = allotter.kept[name].Sub(held)
	}
}

// askAll asks for the tickets of all workers that a gang is to be placed on: it
// needs them at once, so none may lapse while others are asked for. The room is
// kept until the answer. It returns whether an answer is waited for.
func (allotter *Allotter) askAll(step *waiting, approval *Approval, keeping []modeller.WorkerName) bool {
	question := Question{Step: step.id, Urgency: step.urgency, Latest: step.latest}
	for _, name := range keeping {
		if !slices.Contains(question.Workers, name) {
			question.Workers = append(question.Workers, name)
		}
	}
	question.Workers = question.Workers[:min(len(question.Workers), namedMost)]
	allotter.config.Ask(question)
	if approval.Asking {
		approval.Kept = keeping
	}
	return true
}

// restFor is how long, in milliseconds, a gang that found no room is not looked at
// again unless its room is free: a few short tasks end meanwhile.
const restFor = 100

// rests reports whether nothing is to be done for a gang now. Its room stays kept.
func (allotter *Allotter) rests(step *waiting, approval *Approval) bool {
	if allotter.config.Elapsed >= approval.RestUntil {
		approval.Reserved = nil
		return false
	}
	if len(approval.Reserved) > 0 {
		allotter.keep(step, approval.Reserved)
		allotter.lateKept = allotter.lateKept || step.urgency > 0
		if allotter.free(approval.Reserved) {
			allotter.unkeep(step, approval.Reserved)
			approval.Reserved = nil
			return false
		}
	}
	return true
}

// free reports whether no more is kept on the workers than they have left.
func (allotter *Allotter) free(workers []modeller.WorkerName) bool {
	return !slices.ContainsFunc(workers, func(name modeller.WorkerName) bool {
		worker := allotter.config.State.Workers[name]
		return worker == nil || !(modeller.Resources{}).Fits(allotter.left(worker))
	})
}

const (
	// roomTimes is how many times the room of a gang its approved workers should
	// have between them, so that it need not wait for one certain worker.
	roomTimes = 2
	// approvedPart is the part of the workers that an adviser approves of, until it
	// is known better.
	approvedPart = 0.5
)

// prepare does for a gang that does not fit now what brings its start nearer: it
// keeps the room that will be free first on the workers that are approved, asks
// for their tickets when that time is near, and asks about more workers if few
// are approved or others have room already. It returns whether an answer is
// waited for.
func (allotter *Allotter) prepare(step *waiting, approval *Approval) bool {
	ticketed, known, unknown := allotter.split(approval, allotter.possible(step))
	approved := slices.Concat(ticketed, known)
	held := step.slots(approved)
	if held+step.slots(unknown) < len(step.tasks) {
		return false
	}
	kept, at := allotter.reserve(step, approved)
	approval.Reserved = kept
	if approval.Asking {
		return true
	}
	takes := modeller.Millis(step.queue.Advised.Takes(len(kept)).Milliseconds())
	switch {
	case len(kept) > 0 && at <= allotter.config.Elapsed+takes:
		if !allotter.lapsed(approval, kept, at) {
			return false
		}
		return allotter.askAll(step, approval, kept)
	case len(unknown) > 0 && (held < roomTimes*len(step.tasks) || allotter.roomier(step, approval, approved, unknown)):
		allotter.config.Ask(Question{Step: step.id, Workers: names(unknown, step.most()), Urgency: step.urgency, Latest: step.latest})
	}
	return approval.Asking
}

// lapsed reports whether any of the tickets will no longer hold at a time.
func (allotter *Allotter) lapsed(approval *Approval, workers []modeller.WorkerName, at modeller.Millis) bool {
	return slices.ContainsFunc(workers, func(name modeller.WorkerName) bool {
		return approval.Tickets[name].Until <= max(at, allotter.config.Elapsed)
	})
}

// roomier reports whether a gang would probably fit now if more workers were asked
// about.
func (allotter *Allotter) roomier(step *waiting, approval *Approval, approved, unknown []*Candidate) bool {
	part := approvedPart
	if all := len(approval.Tickets) + len(approval.Refused); all > 0 {
		part = float64(len(approval.Tickets)) / float64(all)
	}
	missing := len(step.tasks) - len(allotter.assign(step, approved).Tasks)
	return part*float64(len(allotter.fitting(step, unknown))) >= float64(missing)
}

// fitting returns the options that have room for a task now.
func (allotter *Allotter) fitting(step *waiting, options []*Candidate) []*Candidate {
	var found []*Candidate
	for _, option := range options {
		if step.step.Held().Fits(allotter.left(option.Worker)) {
			found = append(found, option)
		}
	}
	return found
}

// slots counts the tasks of a step that workers could hold if they were empty.
func (step *waiting) slots(workers []*Candidate) int {
	count := 0
	for _, candidate := range workers {
		left := candidate.Worker.Capacity
		for here := 0; step.mayHold(here) && step.step.Held().Fits(left); here++ {
			left = left.Sub(step.step.Held())
			count++
		}
	}
	return count
}

// mayHold reports whether one worker may take one more task than so many.
func (step *waiting) mayHold(tasks int) bool {
	return tasks < len(step.tasks) && (step.step.MostPerWorker == 0 || tasks < int(step.step.MostPerWorker))
}

// slot is room for one task from some time on.
type slot struct {
	worker modeller.WorkerName
	at     modeller.Millis
}

// reserve keeps the room that will be free first for a gang that has to wait, so
// that no less urgent step takes it piece by piece. Of the gangs that are late
// only the first is given room this way, which bounds how long they starve and
// what lies idle for them. It returns where the room is kept, and when all of it
// will be free.
func (allotter *Allotter) reserve(step *waiting, workers []*Candidate) ([]modeller.WorkerName, modeller.Millis) {
	if !step.step.Gang || step.urgency > 0 && allotter.lateKept {
		return nil, 0
	}
	var slots []slot
	for _, candidate := range workers {
		slots = allotter.appendSlots(slots, step, candidate)
	}
	if len(slots) < len(step.tasks) {
		return nil, 0
	}
	slices.SortStableFunc(slots, func(left, right slot) int { return cmp.Compare(left.at, right.at) })
	slots = slots[:len(step.tasks)]
	kept := make([]modeller.WorkerName, 0, len(slots))
	for _, slot := range slots {
		kept = append(kept, slot.worker)
	}
	allotter.keep(step, kept)
	allotter.lateKept = allotter.lateKept || step.urgency > 0
	return kept, slots[len(slots)-1].at
}

// appendSlots appends when a worker will have room for each of a step's tasks.
func (allotter *Allotter) appendSlots(slots []slot, step *waiting, candidate *Candidate) []slot {
	if allotter.config.Endings == nil {
		return slots
	}
	held := step.step.Held()
	left := allotter.left(candidate.Worker)
	here := 0
	take := func(at modeller.Millis) {
		for step.mayHold(here) && held.Fits(left) {
			slots = append(slots, slot{worker: candidate.Worker.Name, at: at})
			left = left.Sub(held)
			here++
		}
	}
	take(0)
	for _, ending := range allotter.config.Endings(candidate.Worker.Name) {
		if !step.mayHold(here) {
			break
		}
		left = left.Add(ending.Size)
		take(ending.At)
	}
	return slots
}
