package allotter

import (
	"cmp"
	"slices"

	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
	"github.com/dotterelrill/dotterelrill/waiter"
)

// near is what a pass knows about racks and the steps that wait for one.
type near struct {
	// only is the rack that the step under consideration waits for, empty if it does not
	// wait.
	only modeller.RackName
	// racks holds the indexes of each rack's candidates, and names the racks in the order of
	// their first candidates. They are empty until they are needed.
	racks map[modeller.RackName][]int
	names []modeller.RackName
	// gangSearches counts the gangs for which all racks were searched.
	gangSearches int
	// kept is the room that is reserved for waiting steps, and latestNeed when the last of
	// it is needed.
	kept       []keptRoom
	latestNeed modeller.Millis
	// slots and freeBefore are reused from one step to the next. freeBefore holds what was
	// free on the candidates of a rack before a step was considered.
	slots      []slot
	freeBefore []modeller.Resources
}

// admits reports whether the step under consideration may use a worker.
func (allotter *Allotter) admits(worker *stager.Worker) bool {
	if allotter.near.only == "" {
		return true
	}
	if worker.Rack != allotter.near.only {
		return false
	}
	candidate := allotter.candidate(worker.Name)
	return candidate == nil || candidate.sound()
}

// sound reports whether a worker is neither slow nor has failed recently. A wait for one
// that is not gains nothing.
func (candidate *Candidate) sound() bool {
	return candidate.Pace < slowPace && candidate.RecentFailures == 0
}

// keptRoom is room on a worker that a waiting step is expected to need at a time. It is
// part of what is reserved on the candidate.
type keptRoom struct {
	candidate *Candidate
	size      modeller.Resources
	neededAt  modeller.Millis
}

const (
	// maxKeptRoom bounds the kept room that a pass lends, as each step that may borrow looks
	// at all of it.
	maxKeptRoom = 256
	// borrowedTimeFactor is how many times its expected run time a task must have until the
	// room that it borrows is needed: run times are off by a third.
	borrowedTimeFactor = 1.5
)

// nothing is what preferNear returns for a step without locality.
func nothing() {}

// preferNear decides whether a step waits for room near its data, or a gang for room in
// one rack. If so, only that rack's workers are eligible until the returned function is
// called, which keeps the room that becomes free first there. Otherwise the step may use
// the room that is kept for others until they need it.
func (allotter *Allotter) preferNear(step *readyStep) func() {
	if allotter.config.Waiter == nil || allotter.config.ExpectedReleases == nil {
		return nothing
	}
	forecast, waits := allotter.awaitedRack(step)
	takeBack := allotter.lend(step)
	if !waits {
		return takeBack
	}
	allotter.near.only = forecast.rack
	allotter.near.freeBefore = allotter.near.freeBefore[:0]
	for _, index := range allotter.near.racks[forecast.rack] {
		allotter.near.freeBefore = append(allotter.near.freeBefore, allotter.config.Candidates[index].free)
	}
	return func() {
		allotter.near.only = ""
		takeBack()
		allotter.keep(step, forecast)
	}
}

// forecast is what is expected of a rack, or of the whole fleet, for a step.
type forecast struct {
	rack modeller.RackName
	// slots are those that become free first, one for each waiting task that the client
	// account's limit allows. They hold the last task at the time at.
	slots []slot
	at    modeller.Millis
	// free is true if the slots are free already, with or without tickets.
	free bool
	// tickets is true if an adviser has to be asked about one of the workers first.
	tickets bool
}

// awaitedRack returns the rack that a step waits for, if it waits.
func (allotter *Allotter) awaitedRack(step *readyStep) (forecast, bool) {
	oneRack := step.spec.Gang && step.spec.OneRack
	if step.spec.DataRack == "" && !oneRack || step.isolated || step.spec.Lasting {
		return forecast{}, false
	}
	wait, known := allotter.config.Waiter.Wait(step.id)
	if step.late && !known {
		return forecast{}, false
	}
	approval := allotter.config.Approval(step.id)
	if len(approval.PendingPlacement) > 0 || approval.Asking && !known {
		// The room that the question is about is reserved already.
		return forecast{}, known
	}
	allotter.sortIntoRacks()
	found, chance, searched := allotter.chance(step, approval, wait, known)
	if !searched || !known && found.free {
		return forecast{}, false
	}
	return found, allotter.config.Waiter.Consider(step.id, step.queue.Name, found.rack, chance)
}

// chance returns the forecast of the rack that suits a step best, and what a wait for it
// would bring. It returns false if the step has no choice: no worker elsewhere has room.
func (allotter *Allotter) chance(step *readyStep, approval *Approval, wait waiter.Wait, known bool) (forecast, waiter.Chance, bool) {
	now := allotter.config.Elapsed
	run := allotter.runTime(step.queue.Name, step.spec.RunTime)
	chance := waiter.Chance{
		Now: now, Near: run, Far: modeller.Millis(float64(run) * allotter.config.Waiter.Penalty(step.queue.Name)),
		LatestStart: now + step.latestStart - allotter.config.Now,
		Size:        step.spec.Size.MilliProcessors * int64(len(step.tasks)),
	}
	if chance.Far <= chance.Near && !known {
		return forecast{}, chance, false
	}
	var found forecast
	var reachable bool
	switch {
	case known:
		found = allotter.forecast(step, approval, wait.Rack)
		chance.FarAt, reachable = max(now, wait.First.FarAt), true
	case step.spec.Gang:
		found, chance.FarAt, reachable = allotter.bestRack(step, approval)
	default:
		found = allotter.forecast(step, approval, step.spec.DataRack)
		if !found.free {
			chance.FarAt, reachable = allotter.farStart(step, approval)
		}
	}
	chance.NearAt = found.at
	chance.Idle = allotter.idle(step, found.slots)
	return found, chance, reachable
}

// sortIntoRacks fills in the candidates of each rack.
func (allotter *Allotter) sortIntoRacks() {
	if allotter.near.racks != nil {
		return
	}
	allotter.near.racks = make(map[modeller.RackName][]int)
	for index := range allotter.config.Candidates {
		rack := allotter.config.Candidates[index].Worker.Rack
		if len(allotter.near.racks[rack]) == 0 {
			allotter.near.names = append(allotter.near.names, rack)
		}
		allotter.near.racks[rack] = append(allotter.near.racks[rack], index)
	}
}

// forecast returns what is expected of a rack for a step.
func (allotter *Allotter) forecast(step *readyStep, approval *Approval, rack modeller.RackName) forecast {
	slots := allotter.appendRack(allotter.near.slots[:0], step, approval, rack)
	allotter.near.slots = slots
	return allotter.earliest(step, approval, rack, slots)
}

// appendRack appends the slots of a rack's workers for a step.
func (allotter *Allotter) appendRack(slots []slot, step *readyStep, approval *Approval, rack modeller.RackName) []slot {
	for _, index := range allotter.near.racks[rack] {
		candidate := &allotter.config.Candidates[index]
		if candidate.sound() && allotter.eligible(step, candidate.Worker) && !approval.refuses(step, candidate) {
			slots = allotter.appendSlots(slots, step, candidate)
		}
	}
	return slots
}

// refuses reports whether an adviser did not approve the worker for the step.
func (approval *Approval) refuses(step *readyStep, candidate *Candidate) bool {
	return step.queue.Advised != nil && !approval.unknown(candidate) && approval.Tickets[candidate.Worker.Name].Life != candidate.Worker.Life
}

// earliest returns the forecast for those slots that become free first. Where an adviser
// must be asked about a worker, its slot counts as much as workers were approved so far,
// and not before the answer.
func (allotter *Allotter) earliest(step *readyStep, approval *Approval, rack modeller.RackName, slots []slot) forecast {
	slices.SortStableFunc(slots, func(left, right slot) int { return cmp.Compare(left.freeAt, right.freeAt) })
	wanted := step.allowed(allotter.config.State.Room(step.job.ClientAccount))
	found := forecast{rack: rack, at: waiter.Never}
	expected := 0.0
	for index, slot := range slots {
		weight, ticket := 1.0, true
		if step.queue.Advised != nil {
			weight, ticket = allotter.ticket(approval, slot)
		}
		expected += weight
		found.tickets = found.tickets || !ticket
		if expected >= float64(wanted) {
			found.slots, found.at = slots[:min(wanted, index+1)], max(slot.freeAt, allotter.config.Elapsed)
			found.free = slot.freeAt <= allotter.config.Elapsed
			break
		}
	}
	if found.tickets {
		found.at = max(found.at, allotter.answerAt(step, len(found.slots)))
	}
	return found
}

// ticket returns the probability that a worker is approved for a step when the slot
// becomes free, and whether its ticket is valid then.
func (allotter *Allotter) ticket(approval *Approval, slot slot) (float64, bool) {
	ticket, approved := approval.Tickets[slot.worker]
	if candidate := allotter.candidate(slot.worker); !approved || candidate == nil || candidate.Worker.Life != ticket.Life {
		return approval.rate(), false
	}
	return 1, ticket.Until > max(slot.freeAt, allotter.config.Elapsed)
}

// answerAt returns when an adviser that is asked about a number of workers now answers.
func (allotter *Allotter) answerAt(step *readyStep, workers int) modeller.Millis {
	return allotter.config.Elapsed + modeller.Millis(step.queue.Advised.AnswerTime(workers).Milliseconds())
}

// allowed returns how many of the waiting tasks may run in the room that a client account
// has left.
func (step *readyStep) allowed(room modeller.Resources) int {
	count := 0
	for count < len(step.tasks) && step.spec.Size.Fits(room) {
		room = room.Sub(step.spec.Size)
		count++
	}
	return count
}

// farStart returns when a task of a step could start outside its data's rack, if a worker
// there has room now.
func (allotter *Allotter) farStart(step *readyStep, approval *Approval) (modeller.Millis, bool) {
	demand := step.spec.Demand()
	asks := false
	for index := range allotter.config.Candidates {
		candidate := &allotter.config.Candidates[index]
		if !demand.Fits(candidate.free) || candidate.Worker.Rack == step.spec.DataRack || !allotter.eligible(step, candidate.Worker) || approval.refuses(step, candidate) {
			continue
		}
		if step.queue.Advised == nil || approval.Tickets[candidate.Worker.Name].Until > allotter.config.Elapsed {
			return allotter.config.Elapsed, true
		}
		asks = true
	}
	if !asks {
		return 0, false
	}
	return allotter.answerAt(step, defaultQuestionWorkers), true
}

// bestRack returns the forecast of the rack that can hold a gang first, and when the gang
// could start on workers of any rack. It looks at the whole fleet, so that a pass does it
// for few gangs only; a gang that waits already does not need it.
func (allotter *Allotter) bestRack(step *readyStep, approval *Approval) (forecast, modeller.Millis, bool) {
	if allotter.near.gangSearches >= maxGangSearches {
		return forecast{}, 0, false
	}
	allotter.near.gangSearches++
	best := forecast{at: waiter.Never}
	var all []slot
	for _, rack := range allotter.near.names {
		first := len(all)
		all = allotter.appendRack(all, step, approval, rack)
		if step.spec.DataRack != "" && rack != step.spec.DataRack || len(all)-first < len(step.tasks) {
			continue
		}
		if found := allotter.earliest(step, approval, rack, slices.Clone(all[first:])); found.at < best.at {
			best = found
		}
	}
	anywhere := allotter.earliest(step, approval, "", all)
	return best, anywhere.at, best.at < waiter.Never && anywhere.at < waiter.Never
}

// idle returns the free processor capacity that would be kept for the slots that are not
// free yet.
func (allotter *Allotter) idle(step *readyStep, slots []slot) int64 {
	idle := int64(0)
	for _, slot := range slots {
		if candidate := allotter.candidate(slot.worker); slot.freeAt > allotter.config.Elapsed && candidate != nil {
			idle += min(max(0, candidate.free.MilliProcessors), step.spec.Demand().MilliProcessors)
		}
	}
	return idle
}

// keep ends the wait of a step that has been placed whole. Otherwise it reserves the room
// that the step waits for, to be lent until it is needed, and asks for the tickets.
func (allotter *Allotter) keep(step *readyStep, awaited forecast) {
	step.tasks = step.waiting()
	switch {
	case len(step.tasks) == 0:
		allotter.config.Waiter.Placed(step.id, allotter.config.Elapsed)
	case awaited.rack == "":
	case step.spec.Gang:
		// A gang has reserved its room itself.
		for at, index := range allotter.near.racks[awaited.rack] {
			candidate := &allotter.config.Candidates[index]
			if reserved := allotter.near.freeBefore[at].Sub(candidate.free); !reserved.IsZero() {
				allotter.addKept(candidate, reserved, awaited.at)
			}
		}
	default:
		for _, slot := range awaited.slots {
			if candidate := allotter.candidate(slot.worker); slot.freeAt > allotter.config.Elapsed && candidate != nil {
				allotter.reserve(step, []modeller.WorkerName{slot.worker})
				allotter.addKept(candidate, step.spec.Demand(), slot.freeAt)
			}
		}
		allotter.askAhead(step, allotter.config.Approval(step.id), awaited)
	}
}

// addKept records reserved room that may be lent.
func (allotter *Allotter) addKept(candidate *Candidate, size modeller.Resources, neededAt modeller.Millis) {
	if len(allotter.near.kept) < maxKeptRoom {
		allotter.near.kept = append(allotter.near.kept, keptRoom{candidate: candidate, size: size, neededAt: neededAt})
		allotter.near.latestNeed = max(allotter.near.latestNeed, neededAt)
	}
}

// askAhead asks about the workers of the rack that a step waits for when their room is
// expected to become free within the time of an answer.
func (allotter *Allotter) askAhead(step *readyStep, approval *Approval, awaited forecast) {
	if !awaited.tickets || approval.Asking || len(awaited.slots) == 0 || awaited.slots[0].freeAt > allotter.answerAt(step, len(awaited.slots)) {
		return
	}
	question := Question{Step: step.id, Urgency: step.urgency, Latest: step.latestStart}
	for _, index := range allotter.near.racks[awaited.rack] {
		candidate := &allotter.config.Candidates[index]
		name := candidate.Worker.Name
		if candidate.sound() && allotter.eligible(step, candidate.Worker) && !approval.refuses(step, candidate) && approval.Tickets[name].Until <= awaited.at && len(question.Workers) < defaultQuestionWorkers {
			question.Workers = append(question.Workers, name)
		}
	}
	if len(question.Workers) > 0 {
		allotter.config.Ask(question)
	}
}

// lend makes the kept room that a step is done with before it is needed available to it,
// until the returned function is called. Gangs do not borrow: they reserve room for a later
// time, when it is not available any more.
func (allotter *Allotter) lend(step *readyStep) func() {
	if len(allotter.near.kept) == 0 || step.spec.Gang || step.spec.Lasting || step.isolated {
		return nothing
	}
	runTime := modeller.Millis(borrowedTimeFactor * float64(allotter.runTime(step.queue.Name, step.spec.RunTime)))
	if step.spec.DataRack != "" {
		runTime = modeller.Millis(float64(runTime) * allotter.config.Waiter.Penalty(step.queue.Name))
	}
	endsAt := allotter.config.Elapsed + runTime
	if step.queue.Advised != nil {
		endsAt = allotter.answerAt(step, defaultQuestionWorkers) + runTime
	}
	if endsAt > allotter.near.latestNeed {
		return nothing
	}
	lent := allotter.near.kept
	for _, room := range lent {
		if endsAt <= room.neededAt {
			room.candidate.free = room.candidate.free.Add(room.size)
		}
	}
	return func() {
		for _, room := range lent {
			if endsAt <= room.neededAt {
				room.candidate.free = room.candidate.free.Sub(room.size)
			}
		}
	}
}
