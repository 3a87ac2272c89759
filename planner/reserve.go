package planner

import (
	"cmp"
	"slices"

	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/queuer"
)

const (
	// reserveWait is how long searches for a job fail before workers are reserved
	// for it.
	reserveWait modeller.Millis = 300
	// reserveGrace is how long a reservation is kept after the time at which its
	// workers were expected to be free.
	reserveGrace modeller.Millis = 30_000
	// reserveInterval is the time between two attempts to reserve for one job.
	reserveInterval modeller.Millis = 500
	// minReserveGain is how much sooner a reservation must be ready to replace
	// another.
	minReserveGain modeller.Millis = 1000
	// reserveBackoff is how long a job waits for its next reservation after one
	// ended unused.
	reserveBackoff modeller.Millis = 30_000
)

// assumedStopTime is how long a stopped attempt is assumed to take to end.
const assumedStopTime modeller.Millis = 500

// reservation excludes other work from workers until one gang or large task
// fits. There is at most one reservation, and it covers all that its job needs,
// so that two jobs cannot deadlock.
type reservation struct {
	job     *job
	workers []*worker
	// ready is when the workers are expected to have room.
	readyAt modeller.Millis
}

// reserve reserves workers for a job that has waited for reserveWait, if there
// is no reservation or it may be replaced. Of jobs other than gangs, only due
// and aged ones get one.
func (view *View) reserve(job *job, now modeller.Millis) {
	if view.config.Without.Reservation || !view.mayReserve(job) || now < job.firstNoRoomAt+reserveWait || now < job.reserveAfter {
		return
	}
	if job.spec.Kind != modeller.Gang && job.item.Class != queuer.Due && job.item.Class != queuer.Aged {
		return
	}
	if job.account.WeightedShare() > view.lowestWaitingShare() {
		return
	}
	proposed := &reservation{job: job}
	fitting := int64(0)
	for _, availability := range view.availabilities(job, now) {
		count := tasksThatFit(availability.free, job.spec.Size, availability.freeSlots)
		if count == 0 {
			continue
		}
		proposed.workers = append(proposed.workers, availability.worker)
		proposed.readyAt = max(proposed.readyAt, availability.availableAt)
		fitting += count
		if fitting >= job.tasksPerPlacement() {
			view.replaceReservation(proposed, now)
			return
		}
	}
	job.reserveAfter = now + reserveInterval
}

// mayReserve reports whether there is no reservation, or one for another job
// whose account has a clearly higher weighted share.
func (view *View) mayReserve(job *job) bool {
	current := view.reservation
	return current == nil || current.job != job && job.account.WeightedShare() < current.job.account.WeightedShare()*(1-minBalanceGap)
}

// replaceReservation installs the proposed reservation, unless the current one
// is expected to be ready less than minReserveGain later.
func (view *View) replaceReservation(proposed *reservation, now modeller.Millis) {
	if current := view.reservation; current != nil {
		if proposed.readyAt+minReserveGain > current.readyAt {
			proposed.job.reserveAfter = now + reserveInterval
			return
		}
		view.endReservation(now)
	}
	view.installReservation(proposed)
	view.stopForReservation(proposed, now)
}

// stopForReservation stops preemptible work on the reserved workers that belongs
// to accounts above their share, if the job's account is below its own.
func (view *View) stopForReservation(proposed *reservation, now modeller.Millis) {
	for _, worker := range proposed.workers {
		for _, task := range slices.Clone(worker.live) {
			if !task.stopping && view.mayStopForReservation(task, proposed.job) {
				view.stopForShare(task, proposed.job, now)
			}
		}
	}
}

// mayStopForReservation reports whether the attempt may be stopped for a
// reservation of the job.
func (view *View) mayStopForReservation(task *task, job *job) bool {
	return !view.config.Without.Balancing && preemptible(task.job.spec) && view.worthBalancing(task.job.account, job)
}

// lowestWaitingShare returns the lowest weighted share of the accounts with
// deferrable work that is not blocked, or 1, so that no account ahead of its
// share gets a reservation.
func (view *View) lowestWaitingShare() float64 {
	if next := view.queue.Next(queuer.Deferrable); next != nil {
		return next.WeightedShare()
	}
	return 1
}

func (view *View) installReservation(proposed *reservation) {
	view.reservation = proposed
	for _, worker := range proposed.workers {
		worker.reserved = true
		view.reindex(worker)
	}
}

// availability is when a worker is expected to have finished its current
// attempts, and what is free then, if nothing new is placed on it. Services count
// as not ending.
type availability struct {
	worker      *worker
	availableAt modeller.Millis
	free        modeller.Resources
	freeSlots   int64
}

// availabilities returns the usable workers in the order in which their current
// attempts, except services, are expected to end.
func (view *View) availabilities(job *job, now modeller.Millis) []availability {
	found := make([]availability, 0, len(view.sortedWorkers))
	for _, worker := range view.sortedWorkers {
		if worker.state != modeller.WorkerUp || worker.evacuated || !view.fresh(worker) {
			continue
		}
		found = append(found, view.availabilityOf(worker, job, now))
	}
	slices.SortStableFunc(found, func(left, right availability) int { return cmp.Compare(left.availableAt, right.availableAt) })
	return found
}

func (view *View) availabilityOf(worker *worker, job *job, now modeller.Millis) availability {
	result := availability{worker: worker, availableAt: now, free: worker.free, freeSlots: worker.freeSlots}
	for _, task := range worker.live {
		if task.job.spec.Kind == modeller.Service {
			continue
		}
		if view.mayStopForReservation(task, job) {
			result.availableAt = max(result.availableAt, now+assumedStopTime)
		} else {
			result.availableAt = max(result.availableAt, task.placedAt+view.runTime(task.job.spec))
		}
		result.free = result.free.Add(task.job.spec.Size)
		result.freeSlots++
	}
	return result
}

// tasksThatFit returns how many tasks of the size fit into the free capacity and
// slots.
func tasksThatFit(room, size modeller.Resources, slots int64) int64 {
	count := min(slots, room.MilliProcessors/max(size.MilliProcessors, 1))
	count = min(count, room.MemoryMiB/max(size.MemoryMiB, 1))
	if size.Accelerators > 0 {
		count = min(count, room.Accelerators/size.Accelerators)
	}
	return max(count, 0)
}

// placeReserved places the job of the reservation, or ends the reservation if
// the job no longer waits or the grace period is over.
func (view *View) placeReserved(now modeller.Millis) {
	current := view.reservation
	if current == nil {
		return
	}
	if current.job.waitingTasks == 0 || view.jobs[current.job.spec.ID] != current.job || now > current.readyAt+reserveGrace {
		view.endReservation(now + reserveBackoff)
		return
	}
	view.setReserved(current, false)
	place := view.placeJob(current.job, now)
	if place == nil {
		view.setReserved(current, true)
		return
	}
	view.endReservation(0)
	place.Reason += "; on reserved workers"
	view.assume(current.job, place, now)
}

func (view *View) setReserved(reservation *reservation, reserved bool) {
	view.lastUnplaceableSize = modeller.Resources{}
	for _, worker := range reservation.workers {
		worker.reserved = reserved
		view.reindex(worker)
	}
}

// endReservation releases the reserved workers; the job gets no reservation
// before retryAt.
func (view *View) endReservation(retryAt modeller.Millis) {
	view.reservation.job.reserveAfter = retryAt
	view.setReserved(view.reservation, false)
	view.reservation = nil
	view.markReleased()
}

// backfill offers the reserved workers to a task that is expected to end before
// the reservation is ready.
func (view *View) backfill(found *choice, job *job, now modeller.Millis) {
	current := view.reservation
	if current == nil || current.job == job || now+view.runTime(job.spec) > current.readyAt {
		return
	}
	for _, worker := range current.workers {
		if worker.reserved && worker.schedulable() && job.spec.Size.Fits(worker.free) && view.fresh(worker) {
			found.add(candidate{worker: worker, score: packingScore(worker, job.spec.Size)})
			found.rule = "packed as backfill before a reservation"
		}
	}
}
