package conductor

import (
	"context"
	"time"

	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/stager"
)

const (
	// maxHoldWait is the longest wait that workers allow; minHoldWait is added to
	// the time after which an ending is expected. If the answer to a hold is lost,
	// its endings stay unknown for the whole wait; a shorter wait costs more
	// calls.
	maxHoldWait = 2 * time.Second
	minHoldWait = 500 * time.Millisecond
	// holdTimeout is how much longer than its wait a hold may take: as long as the
	// answer to a first start.
	holdTimeout = startTimeout
	// holdRetryDelay is the delay after an unanswered hold.
	holdRetryDelay = 100 * time.Millisecond
	// idleProbeDelay is the delay after an unanswered probe of a worker that runs
	// nothing.
	idleProbeDelay = 500 * time.Millisecond
	// maxProbesInFlight bounds the probes in flight. A new leader probes every worker:
	// the connections of a thousand workers, opened at once, take longer than a probe
	// may.
	maxProbesInFlight = 100
)

// ensureHold keeps one hold, a long poll, in flight to a worker that runs
// attempts or still stores endings that it may discard. While reported endings are not
// committed there is none: the worker would report them again at once. An unresponsive
// worker is probed first.
func (conductor *Conductor) ensureHold(connection *connection) {
	now := conductor.config.Clock()
	if connection.holdInFlight || now < connection.nextHoldAt {
		return
	}
	if connection.unresponsive {
		conductor.probe(connection)
		return
	}
	if len(connection.attempts) == 0 && connection.acknowledgedEnding >= connection.committedEnding {
		return
	}
	if connection.reportedEnding > connection.committedEnding {
		return
	}
	wanted := len(connection.attempts) == 0
	for _, attempt := range connection.attempts {
		wanted = wanted || attempt.awaitingReport || attempt.state == running || attempt.stopAcknowledgedAt != 0 || attempt.startUnconfirmed
	}
	if !wanted {
		return
	}
	order := &HoldOrder{Fence: conductor.state.Term, Wait: conductor.holdWait(connection)}
	if connection.committedEnding > connection.acknowledgedEnding {
		// Endings are acknowledged once: a new incarnation that is not known yet would
		// discard its own.
		order.Observed = connection.committedEnding
	}
	if len(connection.attempts) > 0 {
		order.Expires = conductor.nextLeaseEnd(connection)
	}
	connection.holdInFlight = true
	conductor.load.holds++
	target, ctx := connection.target(), connection.callContext
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, order.Wait+holdTimeout)
		defer cancel()
		holdAnswer := conductor.config.Hold(callCtx, target, order)
		conductor.post(func() { conductor.handleHoldAnswer(connection, order, now, holdAnswer) })
	}()
}

// holdWait returns how long the next hold waits for an ending: until the first
// attempt is expected to end, or zero while the state of an attempt is needed
// immediately.
func (conductor *Conductor) holdWait(connection *connection) time.Duration {
	if len(connection.attempts) == 0 {
		return 0
	}
	wait := maxHoldWait
	for id, attempt := range connection.attempts {
		if attempt.awaitingReport || attempt.stopAcknowledgedAt != 0 && attempt.state != running {
			return 0
		}
		if job := conductor.state.Jobs[id.Job]; job != nil {
			remaining := attempt.remainingTime(conductor.runTime(job.Queue, job.Steps[id.Step].RunTime), conductor.config.Clock())
			wait = min(wait, remaining+minHoldWait)
		}
	}
	return wait
}

// handleHoldAnswer applies the attempts that a worker reports. What the worker
// acknowledged before sentAt, when the hold was sent, must be in the answer.
func (conductor *Conductor) handleHoldAnswer(connection *connection, order *HoldOrder, sentAt time.Duration, holdAnswer HoldAnswer) {
	connection.holdInFlight = false
	conductor.instruments.countCall("hold", holdAnswer.Answer)
	if !conductor.checkIncarnation(connection, holdAnswer) {
		return
	}
	if holdAnswer.Outcome != Obeyed {
		connection.nextHoldAt = conductor.config.Clock() + holdRetryDelay
		conductor.markUnresponsive(connection, "hold", holdAnswer.Answer)
		return
	}
	connection.acknowledgedEnding = max(connection.acknowledgedEnding, order.Observed)
	conductor.markResponsive(connection, holdAnswer.Clock)
	listed := conductor.applyRunning(connection, holdAnswer.Running)
	conductor.applyEnded(connection, listed, holdAnswer.Ended)
	if len(holdAnswer.Ended) < maxEndedPerAnswer {
		conductor.handleMissing(connection, listed, sentAt)
	}
	conductor.resumeHold(connection)
}

// checkIncarnation reports whether an answer came from the incarnation that was
// called. If another worker is at the address, the connection is dropped;
// a later incarnation becomes the connection's successor.
func (conductor *Conductor) checkIncarnation(connection *connection, holdAnswer HoldAnswer) bool {
	if conductor.connections[connection.name] != connection {
		return false
	}
	if holdAnswer.Outcome == Replaced {
		conductor.dropIncarnation(connection, replaced, "another worker answers at its address")
		return false
	}
	current := max(connection.incarnation, connection.successor)
	if holdAnswer.Outcome == Obeyed && holdAnswer.Life != 0 && holdAnswer.Life != current {
		if holdAnswer.Life > current {
			conductor.handleSuccessor(connection, holdAnswer.Life)
		}
		return false
	}
	return true
}

// probe asks an unresponsive worker for its incarnation, with a hold that
// acknowledges no endings and renews no lease. A new incarnation that is not
// known yet may be at the address: an acknowledgement would make it discard its
// own endings, and a renewal would let it run on under the old one's lease.
func (conductor *Conductor) probe(connection *connection) {
	if connection.probeInFlight || connection.probeQueued || conductor.config.Clock() < connection.nextProbeAt {
		return
	}
	if conductor.probesInFlight >= maxProbesInFlight {
		connection.probeQueued = true
		conductor.queuedProbes = append(conductor.queuedProbes, connection)
		return
	}
	connection.probeInFlight = true
	conductor.probesInFlight++
	conductor.load.probes++
	target, ctx, order := connection.target(), connection.callContext, &HoldOrder{Fence: conductor.state.Term}
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, holdTimeout)
		defer cancel()
		holdAnswer := conductor.config.Hold(callCtx, target, order)
		conductor.post(func() { conductor.handleProbeAnswer(connection, holdAnswer) })
	}()
}

// sendQueuedProbe sends the next probe that had to wait, unless it is not needed any
// more.
func (conductor *Conductor) sendQueuedProbe() {
	for len(conductor.queuedProbes) > 0 && conductor.probesInFlight < maxProbesInFlight {
		connection := conductor.queuedProbes[0]
		conductor.queuedProbes = conductor.queuedProbes[1:]
		connection.probeQueued = false
		if conductor.connections[connection.name] == connection && connection.unresponsive {
			conductor.probe(connection)
		}
	}
}

func (conductor *Conductor) handleProbeAnswer(connection *connection, holdAnswer HoldAnswer) {
	connection.probeInFlight = false
	conductor.probesInFlight--
	conductor.sendQueuedProbe()
	conductor.instruments.countCall("probe", holdAnswer.Answer)
	if !conductor.checkIncarnation(connection, holdAnswer) {
		return
	}
	if holdAnswer.Outcome != Obeyed {
		connection.nextProbeAt = conductor.config.Clock() + holdRetryDelay
		if len(connection.attempts) == 0 {
			connection.nextProbeAt += idleProbeDelay - holdRetryDelay
		}
		return
	}
	conductor.markResponsive(connection, holdAnswer.Clock)
	for _, attempt := range connection.dueAttempts(conductor.config.Clock()) {
		conductor.reconcile(connection, attempt)
	}
	conductor.ensureHold(connection)
}

// resumeHold sends the next hold once the changes from this one are committed,
// so that it acknowledges their endings to the worker.
func (conductor *Conductor) resumeHold(connection *connection) {
	conductor.afterCommit(func(err error) {
		if err == nil && conductor.connections[connection.name] == connection {
			conductor.ensureHold(connection)
		}
	})
}

// applyRunning updates the attempts that the worker reports as running, and
// stops those that should not run. It returns the tasks that were reported.
func (conductor *Conductor) applyRunning(connection *connection, attempts []RunningAttempt) map[stager.TaskID]bool {
	listed := make(map[stager.TaskID]bool, len(attempts))
	now := conductor.config.Clock()
	for at := range attempts {
		reported := &attempts[at]
		attempt := connection.attempts[reported.Task]
		if attempt == nil || attempt.number != reported.Attempt {
			conductor.stopOrphaned(connection, reported)
			continue
		}
		listed[reported.Task] = true
		if attempt.state != running {
			attempt.state, attempt.startAcknowledgedAt, attempt.lastProgressAt = running, now, now
			conductor.unbegun.remove(attempt.id.Job)
		}
		if reported.Percent != attempt.percent {
			attempt.percent, attempt.lastProgressAt = reported.Percent, now
		}
		attempt.saved = reported.Saved
		if attempt.awaitingReport {
			attempt.awaitingReport = false
			conductor.reconcile(connection, attempt)
		}
		conductor.checkProgress(connection, attempt, now)
	}
	return listed
}

// checkProgress stops a stalled task, so that it is started elsewhere.
func (conductor *Conductor) checkProgress(connection *connection, attempt *attempt, now time.Duration) {
	job := conductor.state.Jobs[attempt.id.Job]
	if job == nil || job.Over() || !attempt.stalled(&job.Steps[attempt.id.Step], conductor.config.Settings.GangWait, now) {
		return
	}
	logger.Warn(conductor.config.Logger, "task stands still", "Task", attempt.id.String(), "Attempt", attempt.number, "Worker", connection.name,
		"Percent", attempt.percent, "ForMillis", (now - attempt.lastProgressAt).Milliseconds(), "EstimateMillis", int64(job.Steps[attempt.id.Step].RunTime))
	conductor.recordFailure(connection, "a task stalled")
	conductor.stopAttempt(connection, attempt, "it stalled")
}

// stopOrphaned stops an attempt that is not live in the state: its start was
// carried out late, or another leader has ended it.
func (conductor *Conductor) stopOrphaned(connection *connection, reported *RunningAttempt) {
	logger.Warn(conductor.config.Logger, "orphaned task stopped", "Task", reported.Task.String(), "Attempt", reported.Attempt, "Worker", connection.name)
	order := &StopOrder{Task: reported.Task, Attempt: reported.Attempt, Fence: conductor.state.Term}
	target, ctx := connection.target(), connection.callContext
	go func() { conductor.config.Stop(ctx, target, order) }()
}

// applyEnded records the endings that the worker reports. They are acknowledged
// to the worker once they are committed.
func (conductor *Conductor) applyEnded(connection *connection, listed map[stager.TaskID]bool, ended []EndedAttempt) {
	newest := connection.committedEnding
	for at := range ended {
		reported := &ended[at]
		newest = max(newest, reported.Number)
		attempt := connection.attempts[reported.Task]
		if attempt == nil || attempt.number != reported.Attempt {
			continue
		}
		listed[reported.Task] = true
		conductor.endAttempt(connection, attempt, reported.How, reported.Saved)
	}
	if newest == connection.committedEnding {
		return
	}
	connection.reportedEnding = newest
	successor := connection.successor
	conductor.afterCommit(func(err error) {
		// A successor counts its own endings from 1.
		if err == nil && connection.successor == successor {
			connection.committedEnding = max(connection.committedEnding, newest)
		}
	})
}

// handleMissing handles attempts that the worker reports neither as running nor
// as ended.
func (conductor *Conductor) handleMissing(connection *connection, listed map[stager.TaskID]bool, sentAt time.Duration) {
	for _, attempt := range connection.sortedAttempts() {
		switch {
		case listed[attempt.id]:
		case attempt.stopAcknowledgedAt != 0 && attempt.stopAcknowledgedAt < sentAt:
			conductor.endAttempt(connection, attempt, stager.Refusing, attempt.saved)
		case attempt.state == running && attempt.startAcknowledgedAt != 0 && attempt.startAcknowledgedAt < sentAt && !attempt.stopping:
			conductor.stopAttempt(connection, attempt, "its worker does not report it")
		case attempt.awaitingReport:
			attempt.awaitingReport = false
			conductor.reconcile(connection, attempt)
		}
	}
}
