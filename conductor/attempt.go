package conductor

import (
	"context"
	"time"

	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// attemptState is how far an attempt is, as far as the conductor knows.
type attemptState uint8

const (
	// placed means that the placement is not committed; nothing was sent.
	placed attemptState = iota
	// committed means that the start may be sent.
	committed
	// sent means that a start is under way or was not answered.
	sent
	// running means that the worker has said that it runs.
	running
)

// attempt is a live attempt on a worker.
type attempt struct {
	id     stager.TaskID
	number modeller.Attempt
	ticket stager.Ticket
	state  attemptState
	// unsure is true if a start was sent whose answer never came, so that the
	// attempt may begin at any time until its lease is over.
	unsure bool
	// adopted is true until the worker has said what became of an attempt that
	// an earlier leader placed.
	adopted bool
	// calling is true while a start or stop is under way, and callAt is when
	// the next may be sent.
	calling bool
	callAt  time.Duration
	starts  int
	// stopping is true once the attempt is to end; stopped is when the worker
	// acknowledged that, zero before.
	stopping bool
	stopped  time.Duration
	// placedAt is when the attempt was placed, zero if an earlier leader did.
	placedAt time.Duration
	// acknowledged is when the worker acknowledged the start.
	acknowledged time.Duration
	saved        stager.Checkpoint
	// resumed is true if the attempt did not begin from nothing, or not under
	// this leader, so that its run tells no run time.
	resumed bool
	percent int
	// progressed is when the worker last showed more progress.
	progressed time.Duration
}

const (
	// retryPause is how long after an unanswered stop it is sent again.
	retryPause = 200 * time.Millisecond
	// startPatience is how long the answer to a first start may take: a hundred
	// times the way there and back, and longer than TCP takes to send one lost
	// packet again. A start that was sent before is waited for longer each time.
	startPatience = 300 * time.Millisecond
	// mostStarts bounds how often an unanswered start is sent, after which the
	// attempt is stopped and placed elsewhere.
	mostStarts = 3
	// stuckLeast and stuckDivisor, of the estimated run time, bound how long a task
	// may show no progress before it is started elsewhere. A tenth is what one
	// percent takes where the estimate is ten times too low.
	stuckLeast   = 2 * time.Second
	stuckDivisor = 10
	// stuckMargin is how much longer than for each other a gang's tasks may take
	// to begin.
	stuckMargin = time.Second
	percentAll  = 100
)

// stands reports whether an attempt has shown no progress for too long. A gang's
// task that has done its own work waits for the others.
func (attempt *attempt) stands(step *stager.Step, gangWait, now time.Duration) bool {
	if attempt.stopping || step.Lasting || step.Gang && attempt.percent >= percentAll {
		return false
	}
	most := max(stuckLeast, time.Duration(step.RunTime)*time.Millisecond/stuckDivisor)
	if step.Gang && attempt.percent == 0 {
		most = max(most, gangWait+stuckMargin)
	}
	return now-attempt.progressed >= most
}

// ran is how long the attempt has run, or zero if that is not known.
func (attempt *attempt) ran(now time.Duration) time.Duration {
	if attempt.acknowledged == 0 {
		return 0
	}
	return now - attempt.acknowledged
}

// launch makes the attempts of a placement that the state has taken, and sends
// their starts once it is committed.
func (conductor *Conductor) launch(place *stager.Place) {
	all := make([]live, len(place.Tasks))
	for at := range place.Tasks {
		task := &place.Tasks[at]
		link := conductor.links[task.Worker]
		made := &attempt{id: stager.TaskID{StepID: place.Step, Index: task.Index}, number: task.Attempt, ticket: task.Ticket, state: placed, placedAt: conductor.config.Clock()}
		link.attempts[made.id] = made
		all[at] = live{link, made}
		logger.Info(conductor.config.Logger, "task placed", "Task", made.id.String(), "Attempt", made.number, "Worker", task.Worker,
			"HeardMillisAgo", (conductor.config.Clock() - link.heard).Milliseconds())
	}
	conductor.after(func(err error) {
		if err != nil {
			return
		}
		for _, each := range all {
			if each.link.attempts[each.attempt.id] == each.attempt {
				each.attempt.state = committed
				conductor.pursue(each.link, each.attempt)
			}
		}
	})
}

// pursue sends what an attempt needs now.
func (conductor *Conductor) pursue(link *link, attempt *attempt) {
	now := conductor.config.Clock()
	if attempt.calling || attempt.adopted || now < attempt.callAt {
		return
	}
	switch {
	case attempt.stopping && attempt.state <= committed:
		conductor.endAttempt(link, attempt, stager.Refusing, "")
	case attempt.stopping && attempt.stopped == 0:
		conductor.sendStop(link, attempt)
	case !attempt.stopping && attempt.unsure && link.silent:
		// A new life may be there that would take the start.
		conductor.probe(link)
	case !attempt.stopping && (attempt.state == committed || attempt.state == sent):
		conductor.sendStart(link, attempt)
	}
}

func (conductor *Conductor) sendStart(link *link, attempt *attempt) {
	expires := conductor.leaseEnd(link)
	if expires == 0 {
		return
	}
	job := conductor.state.Jobs[attempt.id.Job]
	order := &StartOrder{
		Task: attempt.id, Attempt: attempt.number, Payload: job.Payload, Expires: expires, Fence: conductor.state.Term,
		Saved: conductor.state.Saved(job, attempt.id), Ticket: attempt.ticket,
	}
	attempt.state, attempt.calling, attempt.resumed = sent, true, order.Saved != ""
	attempt.starts++
	patience := startPatience * time.Duration(attempt.starts)
	target, calls := link.target(), link.calls
	go func() {
		callCtx, cancel := context.WithTimeout(calls, patience)
		defer cancel()
		answer := conductor.config.Start(callCtx, target, order)
		conductor.post(func() { conductor.startAnswered(link, attempt, answer) })
	}()
}

func (conductor *Conductor) startAnswered(link *link, attempt *attempt, answer Answer) {
	attempt.calling = false
	conductor.measures.called("start", answer)
	if conductor.links[link.name] != link || link.attempts[attempt.id] != attempt {
		return
	}
	now := conductor.config.Clock()
	if answer.Outcome == Obeyed || answer.Outcome == Rejected {
		conductor.answered(link, answer.Clock)
	}
	switch answer.Outcome {
	case Obeyed:
		if attempt.state == sent {
			attempt.state = running
		}
		attempt.acknowledged, attempt.progressed = now, now
		if attempt.placedAt != 0 {
			conductor.measures.start.Update((now - attempt.placedAt).Seconds())
		}
		conductor.hold(link)
		conductor.pursue(link, attempt)
	case Rejected:
		conductor.startRejected(link, attempt, answer)
	case Unanswered:
		attempt.unsure = true
		conductor.silence(link, "start", answer)
		conductor.doubt(link, "a start was not answered")
		if attempt.starts >= mostStarts {
			conductor.stop(link, attempt, "its start was not answered")
		} else {
			conductor.pursue(link, attempt)
		}
	case Replaced:
		conductor.bury(link, "another life answers at its address")
	}
}

// startRejected deals with a start that did nothing. If an earlier one was not
// answered, that one may still be carried out, so the attempt is stopped.
func (conductor *Conductor) startRejected(link *link, attempt *attempt, answer Answer) {
	logger.Warn(conductor.config.Logger, "start rejected", "Task", attempt.id.String(), "Attempt", attempt.number, "Worker", link.name,
		"Reason", answer.Reason.String(), "Detail", answer.Detail, "Unsure", attempt.unsure)
	switch answer.Reason {
	case BadTicket:
		if known := conductor.approvals[attempt.id.StepID]; known != nil {
			delete(known.Tickets, link.name)
		}
	case NoRoom, Unhealthy, NoReason:
		conductor.doubt(link, "it rejected a start")
	}
	if attempt.unsure || answer.Reason == OldAttempt {
		conductor.stop(link, attempt, "its start was rejected")
		return
	}
	conductor.endAttempt(link, attempt, stager.Refusing, "")
}

// stop wants an attempt to end, and sees to it until it is known to have.
func (conductor *Conductor) stop(link *link, attempt *attempt, why string) {
	if attempt.stopping {
		return
	}
	attempt.stopping = true
	attempt.callAt = 0
	logger.Info(conductor.config.Logger, "task stopped", "Task", attempt.id.String(), "Attempt", attempt.number, "Worker", link.name, "Reason", why)
	conductor.pursue(link, attempt)
}

func (conductor *Conductor) sendStop(link *link, attempt *attempt) {
	attempt.calling = true
	order := &StopOrder{Task: attempt.id, Attempt: attempt.number, Fence: conductor.state.Term}
	target, calls := link.target(), link.calls
	go func() {
		answer := conductor.config.Stop(calls, target, order)
		conductor.post(func() { conductor.stopAnswered(link, attempt, answer) })
	}()
}

func (conductor *Conductor) stopAnswered(link *link, attempt *attempt, answer Answer) {
	attempt.calling = false
	conductor.measures.called("stop", answer)
	if conductor.links[link.name] != link || link.attempts[attempt.id] != attempt {
		return
	}
	switch answer.Outcome {
	case Obeyed:
		conductor.answered(link, answer.Clock)
		attempt.stopped = conductor.config.Clock()
		conductor.hold(link)
	case Replaced:
		conductor.bury(link, "another life answers at its address")
	case Unanswered:
		conductor.silence(link, "stop", answer)
		attempt.callAt = conductor.config.Clock() + retryPause
	default:
		attempt.callAt = conductor.config.Clock() + retryPause
	}
}

// endAttempt records that an attempt holds its worker's room no more, and what
// follows for the rest of its gang and its job.
func (conductor *Conductor) endAttempt(link *link, ended *attempt, how stager.Ending, saved stager.Checkpoint) {
	delete(link.attempts, ended.id)
	job := conductor.state.Jobs[ended.id.Job]
	if job == nil || job.Task(ended.id) == nil {
		return
	}
	step := job.Steps[ended.id.Step]
	over := job.Over()
	if how == stager.Succeeding {
		conductor.learn(link, job, ended, &step)
	}
	if !conductor.try(&stager.Command{End: &stager.End{Task: ended.id, Attempt: ended.number, How: how, Saved: saved}}, "end an attempt") {
		return
	}
	conductor.dirty = true
	conductor.measures.ended(how, ended.ran(conductor.config.Clock()))
	logger.Info(conductor.config.Logger, "task ended", "Task", ended.id.String(), "Attempt", ended.number, "Worker", link.name, "How", how.String(), "Saved", string(saved))
	conductor.judge(link, job, ended, how)
	switch {
	case job.Over():
		if !over {
			conductor.measures.jobEnded(job)
			logger.Info(conductor.config.Logger, "job ended", "Job", job.ID, "Status", job.Status().String(), "TookMillis", int64(job.Ended-job.Accepted))
		}
		conductor.abandon(job)
	case step.Gang && how != stager.Succeeding:
		conductor.breakGang(job, ended)
	}
}

// live is an attempt together with its worker.
type live struct {
	link    *link
	attempt *attempt
}

// abandon stops whatever still runs of a job that is over.
func (conductor *Conductor) abandon(job *stager.Job) {
	if job.Live() == 0 || job.Status() == stager.Completed {
		return
	}
	var running []live
	for occurrence := range job.Occurrences() {
		for step := range uint32(len(job.Steps)) {
			running = conductor.appendLive(running, job, stager.StepID{Job: job.ID, Occurrence: occurrence, Step: step})
		}
	}
	conductor.stopAll(running, "its job is over")
}

// appendLive appends the live attempts of a step.
func (conductor *Conductor) appendLive(found []live, job *stager.Job, step stager.StepID) []live {
	tasks := job.StepTasks(step.Occurrence, step.Step)
	for at := range tasks {
		link := conductor.links[tasks[at].Worker]
		if !tasks[at].Live || link == nil {
			continue
		}
		if attempt := link.attempts[stager.TaskID{StepID: step, Index: uint32(at)}]; attempt != nil {
			found = append(found, live{link, attempt})
		}
	}
	return found
}

// stopAll stops attempts. The end of one may bring about that of others, so each
// is looked at anew.
func (conductor *Conductor) stopAll(attempts []live, why string) {
	for _, each := range attempts {
		if each.link.attempts[each.attempt.id] == each.attempt {
			conductor.stop(each.link, each.attempt, why)
		}
	}
}

// breakGang stops the others of a gang's attempt after one has ended early.
func (conductor *Conductor) breakGang(job *stager.Job, ended *attempt) {
	conductor.stopAll(conductor.appendLive(nil, job, ended.id.StepID), "another task of its gang has ended")
}

// Bounds of how long a worker that fails its work gets nothing.
const (
	doubtfulAfter = 3
	avoidFirst    = 2 * time.Second
	avoidMost     = 16 * time.Second
	// avoidDoublings is how often the first stay is doubled at most.
	avoidDoublings = 3
)

// judge learns from how an attempt ended. A failure speaks against the worker
// only if it is the task's first: one that fails anywhere is itself at fault.
func (conductor *Conductor) judge(link *link, job *stager.Job, ended *attempt, how stager.Ending) {
	switch how {
	case stager.Succeeding:
		link.streak = 0
	case stager.Failing:
		if task := job.Task(ended.id); task == nil || task.Failures <= 1 {
			conductor.doubt(link, "a task failed")
		}
	}
}

func (conductor *Conductor) doubt(link *link, why string) {
	link.streak++
	if link.streak < doubtfulAfter {
		return
	}
	stay := min(avoidMost, avoidFirst<<min(link.streak-doubtfulAfter, avoidDoublings))
	link.avoidUntil = conductor.config.Clock() + stay
	logger.Warn(conductor.config.Logger, "worker avoided", "Worker", link.name, "Streak", link.streak, "ForMillis", stay.Milliseconds(), "Reason", why)
}
