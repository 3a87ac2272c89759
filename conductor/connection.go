package conductor

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/estimator"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// link is the state that the conductor keeps for one incarnation of a worker.
type link struct {
	// calls is cancelled when the incarnation ends, so that no call meant for it
	// reaches the next one, which may have the same name and address.
	calls context.Context
	end   context.CancelFunc
	name  modeller.WorkerName
	life  stager.Life
	// heir is a later incarnation at the same address that may have accepted
	// starts meant for this one, or zero if none is known. All attempts are
	// stopped there before the link ends. heirAt is when it was first seen; next
	// is its announcement, which is handled after that.
	heir    stager.Life
	heirAt  time.Duration
	next    *stager.Announcement
	address string
	// number is that of the newest announcement.
	number uint64
	// heard is when the worker last announced itself or answered. unheard is true
	// while a new leader knows the worker only from the log.
	heard   time.Duration
	unheard bool
	// silent is true from the beginning, or from an unanswered call, until a call
	// is answered. The worker may be unreachable although its announcements
	// arrive, so it gets no new work.
	silent bool
	// silentAt is when a responsive worker last stopped answering calls, or zero.
	silentAt time.Duration

	// clock is a lower bound of the worker's clock at clockAt, or zero if the
	// worker's clock is not known.
	clock   modeller.Millis
	clockAt time.Duration
	// expires is the latest lease expiry that this conductor has sent, answered or
	// not, on the worker's clock.
	expires modeller.Millis

	attempts map[stager.TaskID]*attempt
	// holding and probing are true while a hold or a probe is in flight; holdAt
	// and probeAt are the earliest times of the next ones.
	holding bool
	probing bool
	probeAt time.Duration
	holdAt  time.Duration
	// observed is the number of the last ending that is committed; told is the
	// last such number that was acknowledged to the worker.
	observed, told uint64

	// pace is estimated from the tasks that succeed here.
	pace estimator.Pace
	// streak counts consecutive failures attributed to the worker; until
	// avoidUntil it gets no new work because of them.
	streak     int
	avoidUntil time.Duration
}

const (
	// clockDriftDivisor is the fraction by which a worker's clock may run slow:
	// 2%.
	clockDriftDivisor = 50
	// leaseMargin is added before a lease counts as expired.
	leaseMargin = 200 * time.Millisecond
	// maxDeposedLeaderDelay is how long after a new leader began the previous one
	// may still have sent orders.
	maxDeposedLeaderDelay = time.Second
)

// adopt takes over the workers and attempts in the committed state. The workers
// are asked what became of the attempts.
func (conductor *Conductor) adopt() {
	for name, worker := range conductor.state.Workers {
		link := conductor.connect(worker)
		link.unheard = true
		for _, id := range conductor.state.LiveOn(name) {
			job := conductor.state.Jobs[id.Job]
			task := job.Task(id)
			attempt := &attempt{id: id, number: task.Attempt, ticket: task.Ticket, state: sent, unsure: true, adopted: true, resumed: true, stopping: job.Over()}
			link.attempts[id] = attempt
		}
		conductor.ensureHold(link)
	}
	if len(conductor.state.Workers) > 0 {
		logger.Info(conductor.config.Logger, "workers taken over from the previous leader", "Epoch", conductor.state.Term, "Workers", len(conductor.state.Workers), "Open", len(conductor.state.Open()))
	}
}

func (conductor *Conductor) connect(worker *stager.Worker) *link {
	ctx, cancel := context.WithCancel(conductor.calls)
	link := &link{calls: ctx, end: cancel, name: worker.Name, life: worker.Life, address: worker.Address, heard: conductor.config.Clock(), silent: true, attempts: make(map[stager.TaskID]*attempt)}
	conductor.links[worker.Name] = link
	at, _ := conductor.connectionIndex(worker.Name)
	conductor.ordered = slices.Insert(conductor.ordered, at, link)
	return link
}

// disconnect forgets an incarnation of a worker.
func (conductor *Conductor) disconnect(link *link) {
	link.end()
	delete(conductor.links, link.name)
	if at, found := conductor.connectionIndex(link.name); found {
		conductor.ordered = slices.Delete(conductor.ordered, at, at+1)
	}
}

// connectionIndex returns the index of a worker in ordered, or where to insert
// it.
func (conductor *Conductor) connectionIndex(name modeller.WorkerName) (int, bool) {
	return slices.BinarySearchFunc(conductor.ordered, name, func(link *link, name modeller.WorkerName) int { return cmp.Compare(link.name, name) })
}

func (link *link) target() Target {
	return Target{Worker: link.name, Life: max(link.life, link.heir), Address: link.address}
}

// handleAnnouncement admits or updates a worker from its announcement.
func (conductor *Conductor) handleAnnouncement(announcement *stager.Announcement) *coder.Refusal {
	worker := announcement.Worker
	link := conductor.links[worker.Name]
	if link != nil && worker.Life < link.life {
		return coder.Refuse(coder.StaleIncarnation, "a later incarnation of the worker is known")
	}
	if link != nil && worker.Life > link.life {
		if conductor.handleSuccessor(link, worker.Life) {
			link.next = announcement
			return nil
		}
		link = nil
	}
	if link != nil && announcement.Number <= link.number && announcement.Number != 0 {
		return nil
	}
	stored := conductor.state.Workers[worker.Name]
	if stored == nil || workerChanged(stored, &worker) {
		if err := conductor.applyCommand(&stager.Command{Admit: &worker}); err != nil {
			return toRefusal(coder.StaleIncarnation, err)
		}
		logger.Info(conductor.config.Logger, "worker announced", "Worker", worker.Name, "Life", int64(worker.Life), "Pool", worker.Pool,
			"Rack", worker.Rack, "Leaving", worker.Leaving, "RemainingMillis", int64(announcement.Remaining))
	}
	if link == nil {
		link = conductor.connect(&worker)
	}
	link.number = announcement.Number
	link.address = worker.Address
	conductor.recordContact(link, announcement.Clock)
	conductor.ensureHold(link)
	conductor.dirty = true
	if worker.Leaving {
		conductor.drain(link, announcement.Remaining)
	}
	return nil
}

// workerChanged reports whether an announcement differs from the stored worker.
func workerChanged(stored, worker *stager.Worker) bool {
	return stored.Life != worker.Life || stored.Leaving != worker.Leaving || stored.Address != worker.Address || stored.Pool != worker.Pool ||
		stored.Capacity != worker.Capacity
}

// recordContact records contact with a worker, and its clock if it reported
// one.
func (conductor *Conductor) recordContact(link *link, clock modeller.Millis) {
	link.heard = conductor.config.Clock()
	link.unheard = false
	if clock > link.clock {
		link.clock, link.clockAt = clock, link.heard
	}
}

// markResponsive records that a worker answered a call, which makes it usable
// for new work.
func (conductor *Conductor) markResponsive(link *link, clock modeller.Millis) {
	conductor.recordContact(link, clock)
	if link.silent {
		link.silent = false
		conductor.dirty = true
		if link.silentAt != 0 {
			logger.Info(conductor.config.Logger, "worker answers again", "Worker", link.name, "AfterMillis", (link.heard - link.silentAt).Milliseconds())
		}
	}
}

// markUnresponsive records that a worker did not answer a call.
func (conductor *Conductor) markUnresponsive(link *link, call string, answer Answer) {
	if link.silent {
		return
	}
	link.silent, link.silentAt = true, conductor.config.Clock()
	logger.Warn(conductor.config.Logger, "worker does not answer", "Worker", link.name, "Call", call, "Outcome", answer.Outcome.String(),
		"Reason", answer.Reason.String(), "Detail", answer.Detail, "Live", len(link.attempts), "HeardMillisAgo", (conductor.config.Clock() - link.heard).Milliseconds())
}

// workerClockLowerBound returns a time that the worker's clock has certainly
// reached.
func (conductor *Conductor) workerClockLowerBound(link *link) modeller.Millis {
	passed := millis(conductor.config.Clock() - link.clockAt)
	return link.clock + passed - passed/clockDriftDivisor
}

// nextLeaseEnd returns the expiry of the lease to send now, on the worker's
// clock, or zero if no lease may be granted. An unresponsive worker gets no
// extension, so that its lease expires.
func (conductor *Conductor) nextLeaseEnd(link *link) modeller.Millis {
	if link.clock == 0 || link.heir != 0 || !conductor.config.Leads() {
		return 0
	}
	if link.expires > 0 && link.silent {
		return link.expires
	}
	end := conductor.workerClockLowerBound(link) + millis(conductor.config.Terms.Lease)
	link.expires = max(link.expires, end)
	return end
}

// leaseExpired reports whether every lease that this or an earlier leader
// granted to an unresponsive worker has expired, so that nothing runs there any
// more.
func (conductor *Conductor) leaseExpired(link *link) bool {
	leaseDuration := conductor.config.Terms.Lease
	now := conductor.config.Clock()
	if now < conductor.begun+leaseDuration+2*leaseDuration/clockDriftDivisor+maxDeposedLeaderDelay {
		return false
	}
	if link.heir != 0 {
		return now > link.heirAt+leaseDuration+2*leaseDuration/clockDriftDivisor+maxDeposedLeaderDelay
	}
	if link.expires == 0 {
		return true
	}
	return conductor.workerClockLowerBound(link) > link.expires+millis(leaseMargin)
}

// usable reports whether a worker may get new work.
func (conductor *Conductor) usable(link *link, now time.Duration) bool {
	return link.heir == 0 && !link.unheard && !link.silent && link.clock != 0 && now-link.heard < conductor.config.Terms.StaleAfter && now >= link.avoidUntil
}

// checkWorker does the periodic work of one worker.
func (conductor *Conductor) checkWorker(link *link) {
	if len(link.attempts) > 0 && link.silent && conductor.leaseExpired(link) {
		conductor.dropIncarnation(link, "the worker is unresponsive and its lease has expired")
		return
	}
	if link.heir != 0 && len(link.attempts) == 0 {
		conductor.dropIncarnation(link, "a new incarnation of the worker has begun")
		conductor.admitSuccessor(link)
		return
	}
	for _, attempt := range link.attempts {
		conductor.reconcile(link, attempt)
	}
	conductor.ensureHold(link)
}

// dropIncarnation ends all attempts of an incarnation that is over.
func (conductor *Conductor) dropIncarnation(link *link, reason string) {
	logger.Warn(conductor.config.Logger, "worker lost", "Worker", link.name, "Life", int64(link.life), "Reason", reason, "Live", len(link.attempts),
		"HeardMillisAgo", (conductor.config.Clock() - link.heard).Milliseconds())
	link.end()
	for _, attempt := range link.attempts {
		if attempt.unsure || attempt.calling {
			conductor.preventLateStart(link, attempt)
		}
		conductor.endAttempt(link, attempt, stager.Losing, attempt.saved)
	}
	conductor.applyOrLog(&stager.Command{Drop: &stager.Drop{Worker: link.name, Life: link.life}}, "drop a worker")
	conductor.disconnect(link)
	conductor.dirty = true
}

// handleSuccessor records that a new incarnation of a worker has begun. It may
// have accepted starts meant for the old one: both have the same name, and the
// new one starts with a new clock. Attempts whose start was sent are therefore
// stopped on the new incarnation, and count as lost only once it reports that
// it does not run them. handleSuccessor returns true while such reports are
// awaited.
func (conductor *Conductor) handleSuccessor(link *link, successor stager.Life) bool {
	if link.heir != successor {
		logger.Warn(conductor.config.Logger, "new life of a worker", "Worker", link.name, "Life", int64(link.life), "NewLife", int64(successor), "Live", len(link.attempts))
		link.heir, link.heirAt = successor, conductor.config.Clock()
		link.clock, link.expires, link.observed, link.told = 0, 0, 0, 0
		link.end()
		link.calls, link.end = context.WithCancel(conductor.calls)
		for _, attempt := range link.attempts {
			if attempt.state <= committed && !attempt.calling {
				conductor.endAttempt(link, attempt, stager.Losing, attempt.saved)
				continue
			}
			attempt.stopping, attempt.stopped, attempt.adopted, attempt.callAt = true, 0, false, 0
			conductor.reconcile(link, attempt)
		}
	}
	if len(link.attempts) == 0 {
		conductor.dropIncarnation(link, "a new incarnation of the worker has begun")
		return false
	}
	return true
}

// admitSuccessor handles the announcement of the link's successor, if there was
// one.
func (conductor *Conductor) admitSuccessor(link *link) {
	if link.next == nil {
		return
	}
	if refusal := conductor.handleAnnouncement(link.next); refusal != nil {
		logger.Warn(conductor.config.Logger, "new incarnation not admitted", "Worker", link.name, "Life", int64(link.heir), "Error", refusal.Error())
	}
}

// preventLateStart stops an attempt whose start may still be in flight to a
// lost worker. A new incarnation at that address knows nothing of the old one
// and starts with a new clock, so it would accept the start's lease as valid.
func (conductor *Conductor) preventLateStart(link *link, attempt *attempt) {
	order := &StopOrder{Task: attempt.id, Attempt: attempt.number, Fence: conductor.state.Term}
	target := link.target()
	go func() { conductor.config.Stop(conductor.calls, target, order) }()
}

// applyOrLog applies a command that the state is expected to accept, and logs
// an error if it is refused.
func (conductor *Conductor) applyOrLog(command *stager.Command, description string) bool {
	if err := conductor.applyCommand(command); err != nil {
		logger.Error(conductor.config.Logger, "command refused", "Command", description, "Error", err.Error())
		return false
	}
	return true
}

// drain stops the attempts of a leaving worker that would not end in time and
// can resume elsewhere from a checkpoint.
func (conductor *Conductor) drain(link *link, remaining modeller.Millis) {
	for id, attempt := range link.attempts {
		job := conductor.state.Jobs[id.Job]
		step := &job.Steps[id.Step]
		if attempt.state == running && !attempt.stopping && step.Checkpoints && !step.Gang &&
			millis(attempt.remainingTime(conductor.runTime(job.Queue, step.RunTime), conductor.config.Clock())) > remaining {
			conductor.stopAttempt(link, attempt, "its worker is leaving")
		}
	}
}
