package conductor

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/dotterelrill/dotterelrill/allotter"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/estimator"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// connection is the state that the conductor keeps for one incarnation of a
// worker.
type connection struct {
	// callContext is cancelled when the incarnation ends, so that no call meant
	// for it reaches the next one, which may have the same name and address.
	callContext context.Context
	cancelCalls context.CancelFunc
	name        modeller.WorkerName
	incarnation stager.Incarnation
	// successor is a later incarnation at the same address that may have accepted
	// starts meant for this one, or zero if none is known. All attempts are
	// stopped there before the connection is dropped. successorSeenAt is when it
	// was first seen; successorAnnouncement is its announcement, which is handled
	// after that.
	successor             stager.Incarnation
	successorSeenAt       time.Duration
	successorAnnouncement *stager.Announcement
	address               string
	// announcedAt is when the worker last announced itself, and coldUntil until when it
	// remains slow by what it announced.
	announcedAt, coldUntil time.Duration
	// announcementNumber is that of the newest announcement.
	announcementNumber uint64
	// lastContact is when the worker last announced itself or answered.
	// uncontacted is true while a new leader knows the worker only from the log.
	lastContact time.Duration
	uncontacted bool
	// unresponsive is true from the beginning, or from an unanswered call, until a
	// call is answered. The worker may be unreachable although its announcements
	// arrive, so it gets no new work.
	unresponsive bool
	// unresponsiveSince is when a responsive worker last stopped answering calls,
	// or zero.
	unresponsiveSince time.Duration

	// workerClock is a lower bound of the worker's clock at workerClockAt, or zero
	// if the worker's clock is not known.
	workerClock   modeller.Millis
	workerClockAt time.Duration
	// leaseExpires is the latest lease expiry that this conductor has sent,
	// answered or not, on the worker's clock.
	leaseExpires modeller.Millis

	attempts map[stager.TaskID]*attempt
	// releases are the expected releases of the attempts until releasesUntil; nil if they
	// are not known.
	releases      []allotter.ExpectedRelease
	releasesUntil time.Duration
	// suspect is the last attempt here whose task may have crashed a worker before.
	suspect *attempt
	// holdInFlight and probeInFlight are true while a hold or a probe is in
	// flight; nextHoldAt and nextProbeAt are the earliest times of the next ones.
	holdInFlight  bool
	probeInFlight bool
	// probeQueued is true while a probe waits in queuedProbes.
	probeQueued bool
	nextProbeAt time.Duration
	nextHoldAt  time.Duration
	// committedEnding is the number of the last ending that is committed;
	// acknowledgedEnding is the last such number that was acknowledged to the
	// worker.
	committedEnding, acknowledgedEnding uint64
	// reportedEnding is the number of the last ending that the worker has reported.
	reportedEnding uint64

	// pace is estimated from the tasks that succeed here.
	pace estimator.Pace
	// failureStreak counts consecutive failures attributed to the worker; until
	// avoidUntil it gets no new work because of them.
	failureStreak int
	// startFailedAt is when an unanswered start was last counted as a failure.
	startFailedAt time.Duration
	avoidUntil    time.Duration
}

const (
	// clockDriftDivisor is the fraction by which a worker's clock may run slow:
	// 2%.
	clockDriftDivisor = 50
	// leaseMargin is added before a lease counts as expired.
	leaseMargin = 200 * time.Millisecond
	// maxDeposedLeaderDelay is how long after the start of a new leader the
	// previous one may still have sent orders.
	maxDeposedLeaderDelay = time.Second
)

// takeOverState takes over the workers and attempts in the committed state. The
// workers are asked for the state of the attempts.
func (conductor *Conductor) takeOverState() {
	for _, worker := range conductor.workersInTakeoverOrder() {
		name := worker.Name
		connection := conductor.connect(worker)
		connection.uncontacted = true
		for _, id := range conductor.state.LiveOn(name) {
			job := conductor.state.Jobs[id.Job]
			task := job.Task(id)
			attempt := &attempt{id: id, number: task.Attempt, ticket: task.Ticket, state: sent, startUnconfirmed: true, awaitingReport: true, resumed: true, stopping: job.Over(), trial: probation}
			connection.attempts[id] = attempt
			if !job.Ran && !job.Over() {
				conductor.unbegun.add(job)
			}
		}
		conductor.ensureHold(connection)
	}
	if len(conductor.state.Workers) > 0 {
		logger.Info(conductor.config.Logger, "workers taken over from the previous leader", "Epoch", conductor.state.Term, "Workers", len(conductor.state.Workers), "Open", len(conductor.state.Open()))
	}
}

// workersInTakeoverOrder returns the workers by name, those with attempts first: they
// have to be reached before their leases expire.
func (conductor *Conductor) workersInTakeoverOrder() []*stager.Worker {
	return slices.SortedFunc(maps.Values(conductor.state.Workers), func(left, right *stager.Worker) int {
		if leftBusy := left.LiveCount() > 0; leftBusy != (right.LiveCount() > 0) {
			if leftBusy {
				return -1
			}
			return 1
		}
		return cmp.Compare(left.Name, right.Name)
	})
}

func (conductor *Conductor) connect(worker *stager.Worker) *connection {
	ctx, cancel := context.WithCancel(conductor.callContext)
	connection := &connection{callContext: ctx, cancelCalls: cancel, name: worker.Name, incarnation: worker.Life, address: worker.Address, announcementNumber: worker.Number, lastContact: conductor.config.Clock(), unresponsive: true, attempts: make(map[stager.TaskID]*attempt)}
	conductor.connections[worker.Name] = connection
	at, _ := conductor.connectionIndex(worker.Name)
	conductor.sortedConnections = slices.Insert(conductor.sortedConnections, at, connection)
	return connection
}

// disconnect removes the connection of an incarnation of a worker and cancels its
// calls.
func (conductor *Conductor) disconnect(connection *connection) {
	connection.cancelCalls()
	delete(conductor.connections, connection.name)
	if at, found := conductor.connectionIndex(connection.name); found {
		conductor.sortedConnections = slices.Delete(conductor.sortedConnections, at, at+1)
	}
}

// connectionIndex returns the index of a worker in sortedConnections, or where
// to insert it.
func (conductor *Conductor) connectionIndex(name modeller.WorkerName) (int, bool) {
	return slices.BinarySearchFunc(conductor.sortedConnections, name, func(connection *connection, name modeller.WorkerName) int { return cmp.Compare(connection.name, name) })
}

func (connection *connection) target() Target {
	return Target{Worker: connection.name, Life: max(connection.incarnation, connection.successor), Address: connection.address}
}

// handleAnnouncement admits or updates a worker from its announcement.
func (conductor *Conductor) handleAnnouncement(announcement *stager.Announcement) *coder.Refusal {
	worker := announcement.Worker
	worker.Number = announcement.Number
	connection := conductor.connections[worker.Name]
	if connection != nil && worker.Life < connection.target().Life {
		return coder.Refuse(coder.StaleIncarnation, "a later incarnation of the worker is known")
	}
	if connection != nil && worker.Life > connection.incarnation {
		if conductor.handleSuccessor(connection, worker.Life) {
			connection.keepSuccessorAnnouncement(announcement)
			return nil
		}
		connection = nil
	}
	if connection != nil && announcement.Number <= connection.announcementNumber && announcement.Number != 0 {
		return nil
	}
	stored := conductor.state.Workers[worker.Name]
	if stored == nil || workerChanged(stored, &worker) {
		unsettled := conductor.state.UnsettledBy(&worker)
		if err := conductor.applyCommand(&stager.Command{Admit: &worker}); err != nil {
			return toRefusal(coder.StaleIncarnation, err)
		}
		logger.Info(conductor.config.Logger, "worker announced", "Worker", worker.Name, "Life", int64(worker.Life), "Pool", worker.Pool,
			"Rack", worker.Rack, "Leaving", worker.Leaving, "RemainingMillis", int64(announcement.Remaining))
		conductor.concludeSettled(&worker, unsettled)
	}
	if connection == nil {
		connection = conductor.connect(&worker)
	}
	connection.announcementNumber = announcement.Number
	connection.address = worker.Address
	conductor.recordContact(connection, announcement.Clock)
	connection.announcedAt = connection.lastContact
	connection.coldUntil = connection.lastContact + time.Duration(announcement.ColdLeft)*time.Millisecond
	conductor.ensureHold(connection)
	conductor.placementPending = true
	if worker.Leaving {
		conductor.drain(connection, announcement.Remaining)
	}
	return nil
}

// workerChanged reports whether an announcement differs from the stored worker.
func workerChanged(stored, worker *stager.Worker) bool {
	return stored.Life != worker.Life || stored.Leaving != worker.Leaving || stored.Address != worker.Address || stored.Pool != worker.Pool ||
		stored.Capacity != worker.Capacity || stored.DataCentre != worker.DataCentre
}

// recordContact records contact with a worker, and its clock if it reported
// one.
func (conductor *Conductor) recordContact(connection *connection, clock modeller.Millis) {
	connection.lastContact = conductor.config.Clock()
	connection.uncontacted = false
	if clock > connection.workerClock {
		connection.workerClock, connection.workerClockAt = clock, connection.lastContact
	}
}

// markResponsive records that a worker answered a call, which makes it usable
// for new work.
func (conductor *Conductor) markResponsive(connection *connection, clock modeller.Millis) {
	conductor.recordContact(connection, clock)
	if connection.unresponsive {
		connection.unresponsive = false
		conductor.placementPending = true
		if connection.unresponsiveSince != 0 {
			logger.Info(conductor.config.Logger, "worker answers again", "Worker", connection.name, "AfterMillis", (connection.lastContact - connection.unresponsiveSince).Milliseconds())
		}
	}
}

// markUnresponsive records that a worker did not answer a call.
func (conductor *Conductor) markUnresponsive(connection *connection, call string, answer Answer) {
	conductor.load.unanswered++
	if connection.unresponsive {
		return
	}
	connection.unresponsive, connection.unresponsiveSince = true, conductor.config.Clock()
	logger.Warn(conductor.config.Logger, "worker does not answer", "Worker", connection.name, "Call", call, "Outcome", answer.Outcome.String(),
		"Reason", answer.Reason.String(), "Detail", answer.Detail, "Live", len(connection.attempts), "HeardMillisAgo", (conductor.config.Clock() - connection.lastContact).Milliseconds())
}

// workerClockLowerBound returns a time that the worker's clock has certainly
// reached.
func (conductor *Conductor) workerClockLowerBound(connection *connection) modeller.Millis {
	passed := millis(conductor.config.Clock() - connection.workerClockAt)
	return connection.workerClock + passed - passed/clockDriftDivisor
}

// nextLeaseEnd returns the expiry of the lease to send now, on the worker's
// clock, or zero if no lease may be granted. An unresponsive worker gets no
// extension, so that its lease expires.
func (conductor *Conductor) nextLeaseEnd(connection *connection) modeller.Millis {
	if connection.workerClock == 0 || connection.successor != 0 || !conductor.config.Leads() {
		return 0
	}
	if connection.leaseExpires > 0 && connection.unresponsive {
		return connection.leaseExpires
	}
	end := conductor.workerClockLowerBound(connection) + millis(conductor.config.Settings.Lease)
	connection.leaseExpires = max(connection.leaseExpires, end)
	return end
}

// leaseExpired reports whether every lease that this or an earlier leader
// granted to an unresponsive worker has expired, so that nothing runs there any
// more.
func (conductor *Conductor) leaseExpired(connection *connection) bool {
	leaseDuration := conductor.config.Settings.Lease
	now := conductor.config.Clock()
	if now < conductor.startedAt+leaseDuration+2*leaseDuration/clockDriftDivisor+maxDeposedLeaderDelay {
		return false
	}
	if connection.successor != 0 {
		return now > connection.successorSeenAt+leaseDuration+2*leaseDuration/clockDriftDivisor+maxDeposedLeaderDelay
	}
	if connection.leaseExpires == 0 {
		return true
	}
	return conductor.workerClockLowerBound(connection) > connection.leaseExpires+millis(leaseMargin)
}

// usable reports whether a worker may get new work.
func (conductor *Conductor) usable(connection *connection, now time.Duration) bool {
	return connection.successor == 0 && !connection.uncontacted && !connection.unresponsive && connection.workerClock != 0 && now-connection.lastContact < conductor.config.Settings.StaleAfter && now >= connection.avoidUntil
}

// checkWorker does the periodic work of one worker.
func (conductor *Conductor) checkWorker(connection *connection) {
	if len(connection.attempts) > 0 && connection.unresponsive && conductor.leaseExpired(connection) {
		conductor.dropIncarnation(connection, lapsed, "the worker is unresponsive and its lease has expired")
		return
	}
	if connection.successor != 0 && len(connection.attempts) == 0 {
		conductor.dropIncarnation(connection, replaced, "a new incarnation of the worker has begun")
		conductor.admitSuccessor(connection)
		return
	}
	for _, attempt := range connection.dueAttempts(conductor.config.Clock()) {
		conductor.reconcile(connection, attempt)
	}
	conductor.ensureHold(connection)
}

// sortedAttempts returns the worker's attempts in the order of their tasks. Commands
// that follow from several attempts are applied in this order, so that the same
// input leads to the same log.
func (connection *connection) sortedAttempts() []*attempt {
	return slices.SortedFunc(maps.Values(connection.attempts), compareAttempts)
}

// dueAttempts returns the attempts for which reconcile may have something to do,
// in the order of their tasks.
func (connection *connection) dueAttempts(now time.Duration) []*attempt {
	var due []*attempt
	for _, attempt := range connection.attempts {
		if attempt.due(now) {
			due = append(due, attempt)
		}
	}
	slices.SortFunc(due, compareAttempts)
	return due
}

func compareAttempts(left, right *attempt) int { return left.id.Compare(right.id) }

// dropIncarnation ends all attempts of an incarnation that is over.
func (conductor *Conductor) dropIncarnation(connection *connection, cause lossCause, reason string) {
	logger.Warn(conductor.config.Logger, "worker lost", "Worker", connection.name, "Life", int64(connection.incarnation), "Reason", reason, "Live", len(connection.attempts),
		"HeardMillisAgo", (conductor.config.Clock() - connection.lastContact).Milliseconds())
	connection.cancelCalls()
	if connection.successor == 0 {
		conductor.assessLoss(connection, cause)
	}
	for _, attempt := range connection.sortedAttempts() {
		if attempt.startUnconfirmed || attempt.callInFlight {
			conductor.preventLateStart(connection, attempt)
		}
		conductor.endAttempt(connection, attempt, stager.Losing, attempt.saved)
	}
	conductor.applyOrLog(&stager.Command{Drop: &stager.Drop{Worker: connection.name, Life: connection.incarnation}}, "drop a worker")
	conductor.disconnect(connection)
	conductor.placementPending = true
}

// handleSuccessor records that a new incarnation of a worker has begun. It may
// have accepted starts meant for the old one: both have the same name, and the
// new one starts with a new clock. Attempts whose start was sent are therefore
// stopped on the new incarnation, and count as lost only once it reports that
// it does not run them. handleSuccessor returns true while such reports are
// awaited.
func (conductor *Conductor) handleSuccessor(connection *connection, successor stager.Incarnation) bool {
	if connection.successor != successor {
		logger.Warn(conductor.config.Logger, "new life of a worker", "Worker", connection.name, "Life", int64(connection.incarnation), "NewLife", int64(successor), "Live", len(connection.attempts))
		if connection.successor == 0 {
			conductor.assessLoss(connection, replaced)
		}
		connection.successor, connection.successorSeenAt = successor, conductor.config.Clock()
		connection.workerClock, connection.leaseExpires = 0, 0
		connection.committedEnding, connection.acknowledgedEnding, connection.reportedEnding = 0, 0, 0
		connection.cancelCalls()
		connection.callContext, connection.cancelCalls = context.WithCancel(conductor.callContext)
		for _, attempt := range connection.sortedAttempts() {
			if attempt.state <= committed && !attempt.callInFlight {
				conductor.endAttempt(connection, attempt, stager.Losing, attempt.saved)
				continue
			}
			attempt.stopping, attempt.stopAcknowledgedAt, attempt.awaitingReport, attempt.nextCallAt = true, 0, false, 0
			conductor.reconcile(connection, attempt)
		}
	}
	if len(connection.attempts) == 0 {
		conductor.dropIncarnation(connection, replaced, "a new incarnation of the worker has begun")
		return false
	}
	return true
}

// keepSuccessorAnnouncement keeps the announcement of the worker's successor for
// admitSuccessor, unless a newer one is kept.
func (connection *connection) keepSuccessorAnnouncement(announcement *stager.Announcement) {
	kept := connection.successorAnnouncement
	if kept != nil && kept.Worker.Life == announcement.Worker.Life && announcement.Number != 0 && announcement.Number <= kept.Number {
		return
	}
	connection.successorAnnouncement = announcement
}

// admitSuccessor handles the announcement of the worker's successor, if there
// was one.
func (conductor *Conductor) admitSuccessor(connection *connection) {
	if connection.successorAnnouncement == nil {
		return
	}
	if refusal := conductor.handleAnnouncement(connection.successorAnnouncement); refusal != nil {
		logger.Warn(conductor.config.Logger, "new incarnation not admitted", "Worker", connection.name, "Life", int64(connection.successor), "Error", refusal.Error())
	}
}

// preventLateStart stops an attempt whose start may still be in flight to a
// lost worker. A new incarnation at that address has no state of the old one
// and starts with a new clock, so it would accept the start's lease as valid.
func (conductor *Conductor) preventLateStart(connection *connection, attempt *attempt) {
	order := &StopOrder{Task: attempt.id, Attempt: attempt.number, Fence: conductor.state.Term}
	target := connection.target()
	go func() { conductor.config.Stop(conductor.callContext, target, order) }()
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
func (conductor *Conductor) drain(connection *connection, remaining modeller.Millis) {
	for _, attempt := range connection.sortedAttempts() {
		job := conductor.state.Jobs[attempt.id.Job]
		step := &job.Steps[attempt.id.Step]
		if attempt.state == running && !attempt.stopping && step.Checkpoints && !step.Gang &&
			millis(attempt.remainingTime(conductor.runTime(job.Queue, step.RunTime), conductor.config.Clock())) > remaining {
			conductor.stopAttempt(connection, attempt, "its worker is leaving")
		}
	}
}
