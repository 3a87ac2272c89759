package planner

import (
	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/queuer"
)

const (
	// lookAhead is how many jobs of an account are tried from each end of its
	// queue.
	lookAhead = 8
	// promotedTurnInterval is the cycle of decisions in which one tries due work
	// first and another one aged work.
	promotedTurnInterval = 4
	// unblockInterval is how often blocked accounts are retried although no
	// capacity was released, because retry delays may have passed or stale
	// workers become fresh.
	unblockInterval modeller.Millis = 200
)

// Plan returns the proposals for the given time, those to be applied first at
// the front. The View assumes that they are applied; Undo reverts one that was
// refused.
func (view *View) Plan(now modeller.Millis) []*applier.Command {
	view.proposals = nil
	view.rebuildIndex()
	view.stopExcess()
	if !view.config.Without.Promotion {
		view.promote(now)
	}
	if view.capacityReleased || now >= view.unblockAt {
		view.capacityReleased = false
		view.unblockAt = now + unblockInterval
		view.lastUnplaceableSize = modeller.Resources{}
		view.queue.Unblock()
	}
	view.placeReserved(now)
	for len(view.proposals) < view.config.MostPlacements && view.placeNext(now) {
		view.decisionCount++
	}
	return view.proposals
}

func (view *View) propose(command *applier.Command) {
	view.proposals = append(view.proposals, command)
	if view.config.Decided != nil {
		view.config.Decided()
	}
}

// placeNext places the next task of one job, or one gang, and returns false if
// no waiting task can be placed.
func (view *View) placeNext(now modeller.Millis) bool {
	switch turn := view.decisionCount % promotedTurnInterval; {
	case turn == 0 && view.withinShare(queuer.Due) && view.placeClass(queuer.Due, now):
		return true
	case turn == promotedTurnInterval/2 && view.withinShare(queuer.Aged) && view.placeClass(queuer.Aged, now):
		return true
	}
	return view.placeClass(queuer.Urgent, now) || view.placeClass(queuer.Ordinary, now) || view.placeByShare(now)
}

// withinShare reports whether the weighted share of the first account with
// promoted work of the class is at most that of the first account with
// deferrable work. Otherwise an account could exceed its share by declaring
// early deadlines.
func (view *View) withinShare(class queuer.Class) bool {
	promoted, other := view.queue.Next(class), view.queue.Next(queuer.Deferrable)
	return promoted != nil && (other == nil || promoted.WeightedShare() <= other.WeightedShare())
}

func (view *View) placeClass(class queuer.Class, now modeller.Millis) bool {
	for {
		next := view.queue.Next(class)
		if next == nil {
			return false
		}
		if view.placeFromAccount(view.accounts[next.Name], class, now) {
			return true
		}
		view.queue.Block(next, class)
	}
}

// placeByShare places work of the classes Due, Aged and Deferrable. Between
// accounts the weighted share decides first; the class only orders the work of
// accounts with equal shares.
func (view *View) placeByShare(now modeller.Millis) bool {
	for {
		var lowest *queuer.Account
		var lowestClass queuer.Class
		for class := queuer.Due; class <= queuer.Deferrable; class++ {
			next := view.queue.Next(class)
			if next != nil && (lowest == nil || next.WeightedShare() < lowest.WeightedShare()) {
				lowest, lowestClass = next, class
			}
		}
		if lowest == nil {
			return false
		}
		if view.placeFromAccount(view.accounts[lowest.Name], lowestClass, now) {
			return true
		}
		view.queue.Block(lowest, lowestClass)
	}
}

// placeFromAccount places the first job of the account and class that fits.
func (view *View) placeFromAccount(account *account, class queuer.Class, now modeller.Millis) bool {
	var place *applier.Place
	var failed []*job
	account.Each(class, lookAhead, func(item *queuer.Item) bool {
		job := view.jobs[item.Job]
		place = view.placeJob(job, now)
		if place == nil {
			failed = append(failed, job)
		}
		return place == nil
	})
	for _, job := range failed {
		view.handleNoRoom(job, now)
	}
	if place == nil {
		return false
	}
	view.assume(view.jobs[place.Job], place, now)
	return true
}

// handleNoRoom refuses a job that could not be placed, or makes room for it by
// preemption, balancing or a reservation.
func (view *View) handleNoRoom(job *job, now modeller.Millis) {
	if job.firstNoRoomAt == 0 {
		job.firstNoRoomAt = now
	}
	if !view.refuseUnplaceable(job, now) && job.account.withinLimit(job.spec.Size, job.tasksPerPlacement()) {
		view.preemptForUrgent(job, now)
		view.balance(job, now)
		view.reserve(job, now)
	}
}

// tasksPerPlacement returns how many tasks of the job must be placed at once.
func (job *job) tasksPerPlacement() int64 {
	if job.spec.Kind == modeller.Gang {
		return int64(job.openTasks)
	}
	return 1
}

func (account *account) withinLimit(size modeller.Resources, tasks int64) bool {
	return account.live+tasks <= account.limit.Tasks &&
		account.Used.Add(size.Times(tasks)).Fits(account.limit.Resources)
}

// assignment is a task and the outcome of the search for its worker.
type assignment struct {
	task   *task
	choice choice
}

// placeJob returns a proposal for the job's next task or for all open tasks of a
// gang, or nil if they cannot be placed. It does not change the View.
func (view *View) placeJob(job *job, now modeller.Millis) *applier.Place {
	count := job.tasksPerPlacement()
	if int64(job.waitingTasks) < count || !job.account.withinLimit(job.spec.Size, count) {
		return nil
	}
	place := &applier.Place{Job: job.spec.ID, Revision: view.revision}
	unfitBefore := view.lastUnplaceableSize
	var near *worker
	var assignments []assignment
	for index := job.waitingFrom; index < len(job.tasks) && int64(len(assignments)) < count; index++ {
		task := &job.tasks[index]
		if task.state != taskWaiting {
			continue
		}
		if task.notBefore > now {
			continue
		}
		choice := view.pick(job, near, now)
		if choice.best.worker == nil {
			break
		}
		if count > 1 {
			near = choice.best.worker
			view.adjustFree(near, job.spec.Size, -1)
		}
		assignments = append(assignments, assignment{task: task, choice: choice})
	}
	if count > 1 {
		for _, assignment := range assignments {
			view.adjustFree(assignment.choice.best.worker, job.spec.Size, 1)
		}
		// A search that failed while the gang's tasks were deducted from the free
		// capacity may succeed now.
		view.lastUnplaceableSize = unfitBefore
	}
	if int64(len(assignments)) < count {
		return nil
	}
	fillPlace(place, job, assignments)
	return place
}

// adjustFree adds the size of one task to a worker's free capacity, or subtracts
// it if sign is -1. It accounts for a gang's tasks while the rest is placed.
func (view *View) adjustFree(worker *worker, size modeller.Resources, sign int64) {
	worker.free = worker.free.Add(size.Times(sign))
	worker.freeSlots += sign
	view.reindex(worker)
}

// fillPlace adds the assignments to the proposal. Its score, runners-up and
// reason are those of the first task.
func fillPlace(place *applier.Place, job *job, assignments []assignment) {
	for _, assignment := range assignments {
		description := &assignment.choice.best.worker.description
		place.Tasks = append(place.Tasks, applier.Placement{
			Index:       assignment.task.id.Index,
			Attempt:     assignment.task.attempt + 1,
			Worker:      description.Name,
			Incarnation: description.Incarnation,
		})
	}
	first := &assignments[0].choice
	place.Score = first.best.score
	place.RunnersUp = first.runnerUpList()
	place.Reason = first.reason(job)
}

// assume applies a placement to the View and adds it to the proposals.
func (view *View) assume(job *job, place *applier.Place, now modeller.Millis) {
	for _, placement := range place.Tasks {
		view.allocate(&job.tasks[placement.Index], view.workers[placement.Worker], placement.Attempt, now, taskAssumed)
	}
	job.advanceWaitingFrom()
	job.unplaceableSince = 0
	view.propose(&applier.Command{Place: place})
}

// advanceWaitingFrom moves the start of the search for waiting tasks past those
// that do not wait.
func (job *job) advanceWaitingFrom() {
	for job.waitingFrom < len(job.tasks) && job.tasks[job.waitingFrom].state != taskWaiting {
		job.waitingFrom++
	}
}

// Undo reverts a proposal that was refused. The tasks of a refused placement are
// not tried again before notBefore.
func (view *View) Undo(command *applier.Command, notBefore modeller.Millis) {
	switch {
	case command.Place != nil:
		view.undoPlace(command.Place, notBefore)
	case command.Stop != nil:
		view.undoStop(command.Stop)
	case command.Refuse != nil:
		view.undoRefuse(command.Refuse)
	}
}

func (view *View) undoPlace(place *applier.Place, notBefore modeller.Millis) {
	job := view.jobs[place.Job]
	if job == nil {
		return
	}
	for _, placement := range place.Tasks {
		task := &job.tasks[placement.Index]
		if task.state != taskAssumed || task.attempt != placement.Attempt {
			continue
		}
		view.release(task)
		task.attempt--
		task.notBefore = max(task.notBefore, notBefore)
	}
	view.enqueue(job)
}
