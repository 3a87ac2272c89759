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
)

// ensureHold keeps one hold, a long poll, in flight to a worker that runs
// attempts or still keeps endings that it may forget. An unresponsive worker is
// probed first.
func (conductor *Conductor) ensureHold(link *link) {
	now := conductor.config.Clock()
	if link.holding || now < link.holdAt {
		return
	}
	if link.silent {
		conductor.probe(link)
		return
	}
	if len(link.attempts) == 0 && link.told >= link.observed {
		return
	}
	wanted := len(link.attempts) == 0
	for _, attempt := range link.attempts {
		wanted = wanted || attempt.adopted || attempt.state == running || attempt.stopped != 0 || attempt.unsure
	}
	if !wanted {
		return
	}
	order := &HoldOrder{Fence: conductor.state.Term, Observed: link.observed, Wait: conductor.holdWait(link)}
	if len(link.attempts) > 0 {
		order.Expires = conductor.nextLeaseEnd(link)
	}
	link.holding = true
	target, ctx := link.target(), link.calls
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, order.Wait+holdTimeout)
		defer cancel()
		holding := conductor.config.Hold(callCtx, target, order)
		conductor.post(func() { conductor.handleHoldAnswer(link, order, now, holding) })
	}()
}

// holdWait returns how long the next hold waits for an ending: until the first
// attempt is expected to end, or zero while the state of an attempt is needed
// at once.
func (conductor *Conductor) holdWait(link *link) time.Duration {
	if len(link.attempts) == 0 {
		return 0
	}
	wait := maxHoldWait
	for id, attempt := range link.attempts {
		if attempt.adopted || attempt.stopped != 0 && attempt.state != running {
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
func (conductor *Conductor) handleHoldAnswer(link *link, order *HoldOrder, sentAt time.Duration, holding Holding) {
	link.holding = false
	conductor.measures.called("hold", holding.Answer)
	if !conductor.checkIncarnation(link, holding) {
		return
	}
	if holding.Outcome != Obeyed {
		link.holdAt = conductor.config.Clock() + holdRetryDelay
		conductor.markUnresponsive(link, "hold", holding.Answer)
		return
	}
	link.told = max(link.told, order.Observed)
	conductor.markResponsive(link, holding.Clock)
	listed := conductor.applyRunning(link, holding.Running)
	conductor.applyEnded(link, listed, holding.Ended)
	if len(holding.Ended) < maxEndedPerAnswer {
		conductor.handleMissing(link, listed, sentAt)
	}
	conductor.resumeHold(link)
}

// checkIncarnation reports whether an answer came from the incarnation that was
// called. An answer from another one ends the link or begins its succession.
func (conductor *Conductor) checkIncarnation(link *link, holding Holding) bool {
	if conductor.links[link.name] != link {
		return false
	}
	if holding.Outcome == Replaced {
		conductor.dropIncarnation(link, "another worker answers at its address")
		return false
	}
	current := max(link.life, link.heir)
	if holding.Outcome == Obeyed && holding.Life != 0 && holding.Life != current {
		if holding.Life > current {
			conductor.handleSuccessor(link, holding.Life)
		}
		return false
	}
	return true
}

// probe asks an unresponsive worker for its incarnation, with a hold that
// acknowledges no endings and renews no lease. A new incarnation that is not
// known yet may be at the address; it would forget its own endings, and run on
// under the old one's lease.
func (conductor *Conductor) probe(link *link) {
	now := conductor.config.Clock()
	if link.probing || now < link.probeAt {
		return
	}
	link.probing = true
	target, ctx, order := link.target(), link.calls, &HoldOrder{Fence: conductor.state.Term}
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, holdTimeout)
		defer cancel()
		holding := conductor.config.Hold(callCtx, target, order)
		conductor.post(func() { conductor.handleProbeAnswer(link, holding) })
	}()
}

func (conductor *Conductor) handleProbeAnswer(link *link, holding Holding) {
	link.probing = false
	conductor.measures.called("probe", holding.Answer)
	if !conductor.checkIncarnation(link, holding) {
		return
	}
	if holding.Outcome != Obeyed {
		link.probeAt = conductor.config.Clock() + holdRetryDelay
		if len(link.attempts) == 0 {
			link.probeAt += idleProbeDelay - holdRetryDelay
		}
		return
	}
	conductor.markResponsive(link, holding.Clock)
	for _, attempt := range link.attempts {
		conductor.reconcile(link, attempt)
	}
	conductor.ensureHold(link)
}

// resumeHold sends the next hold once the changes from this one are committed,
// so that it acknowledges their endings to the worker.
func (conductor *Conductor) resumeHold(link *link) {
	conductor.afterCommit(func(err error) {
		if err == nil && conductor.links[link.name] == link {
			conductor.ensureHold(link)
		}
	})
}

// applyRunning updates the attempts that the worker reports as running, and
// stops those that should not run. It returns the tasks that were reported.
func (conductor *Conductor) applyRunning(link *link, attempts []RunningAttempt) map[stager.TaskID]bool {
	listed := make(map[stager.TaskID]bool, len(attempts))
	now := conductor.config.Clock()
	for at := range attempts {
		reported := &attempts[at]
		attempt := link.attempts[reported.Task]
		if attempt == nil || attempt.number != reported.Attempt {
			conductor.stopOrphaned(link, reported)
			continue
		}
		listed[reported.Task] = true
		if attempt.state != running {
			attempt.state, attempt.acknowledged, attempt.progressed = running, now, now
		}
		if reported.Percent != attempt.percent {
			attempt.percent, attempt.progressed = reported.Percent, now
		}
		attempt.saved = reported.Saved
		if attempt.adopted {
			attempt.adopted = false
			conductor.reconcile(link, attempt)
		}
		conductor.checkProgress(link, attempt, now)
	}
	return listed
}

// checkProgress stops a stalled task, so that it is started elsewhere.
func (conductor *Conductor) checkProgress(link *link, attempt *attempt, now time.Duration) {
	job := conductor.state.Jobs[attempt.id.Job]
	if job == nil || job.Over() || !attempt.stalled(&job.Steps[attempt.id.Step], conductor.config.Terms.GangWait, now) {
		return
	}
	logger.Warn(conductor.config.Logger, "task stands still", "Task", attempt.id.String(), "Attempt", attempt.number, "Worker", link.name,
		"Percent", attempt.percent, "ForMillis", (now - attempt.progressed).Milliseconds(), "EstimateMillis", int64(job.Steps[attempt.id.Step].RunTime))
	conductor.recordFailure(link, "a task stalled")
	conductor.stopAttempt(link, attempt, "it stalled")
}

// stopOrphaned stops an attempt that is not live in the state: its start was
// carried out late, or another leader gave it up.
func (conductor *Conductor) stopOrphaned(link *link, reported *RunningAttempt) {
	logger.Warn(conductor.config.Logger, "orphaned task stopped", "Task", reported.Task.String(), "Attempt", reported.Attempt, "Worker", link.name)
	order := &StopOrder{Task: reported.Task, Attempt: reported.Attempt, Fence: conductor.state.Term}
	target, ctx := link.target(), link.calls
	go func() { conductor.config.Stop(ctx, target, order) }()
}

// applyEnded records the endings that the worker reports. They are acknowledged
// to the worker once they are committed.
func (conductor *Conductor) applyEnded(link *link, listed map[stager.TaskID]bool, ended []EndedAttempt) {
	newest := link.observed
	for at := range ended {
		reported := &ended[at]
		newest = max(newest, reported.Number)
		attempt := link.attempts[reported.Task]
		if attempt == nil || attempt.number != reported.Attempt {
			continue
		}
		listed[reported.Task] = true
		conductor.endAttempt(link, attempt, reported.How, reported.Saved)
	}
	if newest == link.observed {
		return
	}
	conductor.afterCommit(func(err error) {
		if err == nil {
			link.observed = max(link.observed, newest)
		}
	})
}

// handleMissing handles attempts that the worker reports neither as running nor
// as ended.
func (conductor *Conductor) handleMissing(link *link, listed map[stager.TaskID]bool, sentAt time.Duration) {
	for id, attempt := range link.attempts {
		switch {
		case listed[id]:
		case attempt.stopped != 0 && attempt.stopped < sentAt:
			conductor.endAttempt(link, attempt, stager.Refusing, attempt.saved)
		case attempt.state == running && attempt.acknowledged != 0 && attempt.acknowledged < sentAt && !attempt.stopping:
			conductor.stopAttempt(link, attempt, "its worker does not report it")
		case attempt.adopted:
			attempt.adopted = false
			conductor.reconcile(link, attempt)
		}
	}
}
