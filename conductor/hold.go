package conductor

import (
	"context"
	"time"

	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/stager"
)

const (
	// holdWaitMost and holdWaitLeast bound how long a hold waits for an attempt to
	// end. The longest is what workers allow; a hold whose answer is lost hides
	// the ends meanwhile, and each is a call that is paid for.
	holdWaitMost  = 2 * time.Second
	holdWaitLeast = 500 * time.Millisecond
	// holdPatience is how much longer than its wait a hold may take: as long as
	// the answer to a first start.
	holdPatience = startPatience
	// holdPause is how long after an unanswered hold the next is sent.
	holdPause = 100 * time.Millisecond
	// probePause is how long after an unanswered hold the next is sent to a
	// worker that runs nothing.
	probePause = 500 * time.Millisecond
)

// hold keeps one call open at a worker that runs something or has endings that
// it may forget. One that does not answer is probed first.
func (conductor *Conductor) hold(link *link) {
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
		order.Expires = conductor.leaseEnd(link)
	}
	link.holding = true
	target, calls := link.target(), link.calls
	go func() {
		callCtx, cancel := context.WithTimeout(calls, order.Wait+holdPatience)
		defer cancel()
		holding := conductor.config.Hold(callCtx, target, order)
		conductor.post(func() { conductor.held(link, order, now, holding) })
	}()
}

// holdWait is how long the next hold waits: until the first attempt should have
// ended, and not at all while something has to be learned soon.
func (conductor *Conductor) holdWait(link *link) time.Duration {
	if len(link.attempts) == 0 {
		return 0
	}
	wait := holdWaitMost
	for id, attempt := range link.attempts {
		if attempt.adopted || attempt.stopped != 0 && attempt.state != running {
			return 0
		}
		if job := conductor.state.Jobs[id.Job]; job != nil {
			left := attempt.remaining(conductor.runTime(job.Queue, job.Steps[id.Step].RunTime), conductor.config.Clock())
			wait = min(wait, left+holdWaitLeast)
		}
	}
	return wait
}

// held takes up what a worker says that it runs. The hold was sent at a time;
// what the worker acknowledged before that must be in its answer.
func (conductor *Conductor) held(link *link, order *HoldOrder, sentAt time.Duration, holding Holding) {
	link.holding = false
	conductor.measures.called("hold", holding.Answer)
	if !conductor.sameLife(link, holding) {
		return
	}
	if holding.Outcome != Obeyed {
		link.holdAt = conductor.config.Clock() + holdPause
		conductor.silence(link, "hold", holding.Answer)
		return
	}
	link.told = max(link.told, order.Observed)
	conductor.answered(link, holding.Clock)
	listed := conductor.takeRunning(link, holding.Running)
	conductor.takeEnded(link, listed, holding.Ended)
	if len(holding.Ended) < endedMost {
		conductor.takeMissing(link, listed, sentAt)
	}
	conductor.resumeHold(link)
}

// sameLife reports whether an answer came from the life that was asked. Another
// one ends the link.
func (conductor *Conductor) sameLife(link *link, holding Holding) bool {
	if conductor.links[link.name] != link {
		return false
	}
	if holding.Outcome == Replaced {
		conductor.bury(link, "another worker answers at its address")
		return false
	}
	current := max(link.life, link.heir)
	if holding.Outcome == Obeyed && holding.Life != 0 && holding.Life != current {
		if holding.Life > current {
			conductor.succeed(link, holding.Life)
		}
		return false
	}
	return true
}

// probe asks a silent worker for its life. It tells the worker to forget nothing
// and renews no lease: a new life may be there that nobody has heard of, which
// would forget endings of its own and run on under the old one's lease.
func (conductor *Conductor) probe(link *link) {
	now := conductor.config.Clock()
	if link.probing || now < link.probeAt {
		return
	}
	link.probing = true
	target, calls, order := link.target(), link.calls, &HoldOrder{Fence: conductor.state.Term}
	go func() {
		callCtx, cancel := context.WithTimeout(calls, holdPatience)
		defer cancel()
		holding := conductor.config.Hold(callCtx, target, order)
		conductor.post(func() { conductor.probed(link, holding) })
	}()
}

func (conductor *Conductor) probed(link *link, holding Holding) {
	link.probing = false
	conductor.measures.called("probe", holding.Answer)
	if !conductor.sameLife(link, holding) {
		return
	}
	if holding.Outcome != Obeyed {
		link.probeAt = conductor.config.Clock() + holdPause
		if len(link.attempts) == 0 {
			link.probeAt += probePause - holdPause
		}
		return
	}
	conductor.answered(link, holding.Clock)
	for _, attempt := range link.attempts {
		conductor.pursue(link, attempt)
	}
	conductor.hold(link)
}

// resumeHold sends the next hold once what this one brought is committed, so
// that it can tell the worker to forget it.
func (conductor *Conductor) resumeHold(link *link) {
	conductor.after(func(err error) {
		if err == nil && conductor.links[link.name] == link {
			conductor.hold(link)
		}
	})
}

// takeRunning takes up the attempts that run, and stops those that should not.
func (conductor *Conductor) takeRunning(link *link, attempts []RunningAttempt) map[stager.TaskID]bool {
	listed := make(map[stager.TaskID]bool, len(attempts))
	now := conductor.config.Clock()
	for at := range attempts {
		said := &attempts[at]
		known := link.attempts[said.Task]
		if known == nil || known.number != said.Attempt {
			conductor.stopStray(link, said)
			continue
		}
		listed[said.Task] = true
		if known.state != running {
			known.state, known.acknowledged, known.progressed = running, now, now
		}
		if said.Percent != known.percent {
			known.percent, known.progressed = said.Percent, now
		}
		known.saved = said.Saved
		if known.adopted {
			known.adopted = false
			conductor.pursue(link, known)
		}
		conductor.checkProgress(link, known, now)
	}
	return listed
}

// checkProgress has a task that stands still started elsewhere.
func (conductor *Conductor) checkProgress(link *link, known *attempt, now time.Duration) {
	job := conductor.state.Jobs[known.id.Job]
	if job == nil || job.Over() || !known.stands(&job.Steps[known.id.Step], conductor.config.Terms.GangWait, now) {
		return
	}
	logger.Warn(conductor.config.Logger, "task stands still", "Task", known.id.String(), "Attempt", known.number, "Worker", link.name,
		"Percent", known.percent, "ForMillis", (now - known.progressed).Milliseconds(), "EstimateMillis", int64(job.Steps[known.id.Step].RunTime))
	conductor.doubt(link, "a task stands still")
	conductor.stop(link, known, "it stands still")
}

// stopStray ends an attempt that the state does not know as live: its start was
// carried out late, or another leader gave it up.
func (conductor *Conductor) stopStray(link *link, said *RunningAttempt) {
	logger.Warn(conductor.config.Logger, "stray task stopped", "Task", said.Task.String(), "Attempt", said.Attempt, "Worker", link.name)
	order := &StopOrder{Task: said.Task, Attempt: said.Attempt, Fence: conductor.state.Term}
	target, calls := link.target(), link.calls
	go func() { conductor.config.Stop(calls, target, order) }()
}

// takeEnded records the endings. The worker is told that it may forget them
// after that is committed.
func (conductor *Conductor) takeEnded(link *link, listed map[stager.TaskID]bool, ended []EndedAttempt) {
	newest := link.observed
	for at := range ended {
		said := &ended[at]
		newest = max(newest, said.Number)
		known := link.attempts[said.Task]
		if known == nil || known.number != said.Attempt {
			continue
		}
		listed[said.Task] = true
		conductor.endAttempt(link, known, said.How, said.Saved)
	}
	if newest == link.observed {
		return
	}
	conductor.after(func(err error) {
		if err == nil {
			link.observed = max(link.observed, newest)
		}
	})
}

// takeMissing deals with attempts that the worker neither runs nor lists as
// ended.
func (conductor *Conductor) takeMissing(link *link, listed map[stager.TaskID]bool, sentAt time.Duration) {
	for id, known := range link.attempts {
		switch {
		case listed[id]:
		case known.stopped != 0 && known.stopped < sentAt:
			conductor.endAttempt(link, known, stager.Refusing, known.saved)
		case known.state == running && known.acknowledged != 0 && known.acknowledged < sentAt && !known.stopping:
			conductor.stop(link, known, "its worker does not know it")
		case known.adopted:
			known.adopted = false
			conductor.pursue(link, known)
		}
	}
}
