package conductor

import (
	"context"
	"time"

	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// attemptState is what the conductor knows of an attempt's progress.
type attemptState uint8

const (
	// placed means that the placement is not committed yet and nothing was sent.
	placed attemptState = iota
	// committed means that the start may be sent.
	committed
	// sent means that a start is in flight or was not answered.
	sent
	// running means that the worker has reported that the attempt runs.
	running
)

// attempt is a live attempt on a worker.
type attempt struct {
	id     stager.TaskID
	number modeller.Attempt
	ticket stager.Ticket
	state  attemptState
	// startUnconfirmed is true if a start was sent that was never answered, so
	// that the attempt may begin at any time until its lease expires.
	startUnconfirmed bool
	// awaitingReport is true until the worker has reported the state of an
	// attempt that an earlier leader placed.
	awaitingReport bool
	// callInFlight is true while a start or stop is in flight; nextCallAt is the
	// earliest time of the next one.
	callInFlight bool
	nextCallAt   time.Duration
	// asked is true once a worker of an evacuated data centre was asked whether it runs
	// the attempt, so that it is not asked again.
	asked      bool
	startsSent int
	// startSentAt is when the last start was sent.
	startSentAt time.Duration
	// stopping is true once the attempt is to be stopped; stopAcknowledgedAt is
	// when the worker acknowledged the stop, or zero.
	stopping           bool
	stopAcknowledgedAt time.Duration
	// placedAt is when the attempt was placed, or zero if an earlier leader placed
	// it.
	placedAt time.Duration
	// startAcknowledgedAt is when the worker acknowledged the start or first
	// reported the attempt as running.
	startAcknowledgedAt time.Duration
	saved               stager.Checkpoint
	// resumed is true if the attempt began from a checkpoint or under an earlier
	// leader. The duration of such an attempt is not the run time of a whole task.
	resumed bool
	percent int
	// lastProgressAt is when the worker last reported progress.
	lastProgressAt time.Duration
	// crash and ranLong are what the loss of the worker tells about the task; unsettled is
	// true if the worker may be cut off rather than crashed.
	crash     stager.Evidence
	unsettled bool
	ran       time.Duration
	ranLong   bool
	// trial is how long it has to run until it has shown that its task does not crash its
	// worker.
	trial time.Duration
}

const (
	// stopRetryDelay is the delay before a failed stop is sent again.
	stopRetryDelay = 200 * time.Millisecond
	// startTimeout bounds the wait for the answer to a first start: a hundred
	// round trips, and longer than TCP takes to retransmit one lost packet. Each
	// further start waits one startTimeout longer than the one before.
	startTimeout = 300 * time.Millisecond
	// maxStarts bounds how often an unanswered start is sent before the attempt is
	// stopped and placed elsewhere.
	maxStarts = 3
	// A task is started elsewhere if it reports no progress for minStallTimeout or
	// for the estimated run time divided by stallTimeoutDivisor, whichever is
	// longer. A tenth of the estimate is the time of one percent of progress if
	// the estimate is ten times too low.
	minStallTimeout     = 2 * time.Second
	stallTimeoutDivisor = 10
	// gangStartMargin is added to GangWait for a gang's tasks that have not made
	// progress yet: it is the time that they may take to begin.
	gangStartMargin = time.Second
	maxPercent      = 100
)

// stalled reports whether an attempt has reported no progress for too long. A
// gang's task that has done all its own work is waiting for the others and is
// not stalled.
func (attempt *attempt) stalled(step *stager.Step, gangWait, now time.Duration) bool {
	if attempt.stopping || step.Lasting || step.Gang && attempt.percent >= maxPercent {
		return false
	}
	limit := max(minStallTimeout, time.Duration(step.RunTime)*time.Millisecond/stallTimeoutDivisor)
	if step.Gang && attempt.percent == 0 {
		limit = max(limit, gangWait+gangStartMargin)
	}
	return now-attempt.lastProgressAt >= limit
}

// runDuration returns how long the attempt has run, or zero if that is not
// known.
func (attempt *attempt) runDuration(now time.Duration) time.Duration {
	if attempt.startAcknowledgedAt == 0 {
		return 0
	}
	return now - attempt.startAcknowledgedAt
}

// startAttempts creates the attempts of a placement that the state has
// accepted, and sends their starts once it is committed.
func (conductor *Conductor) startAttempts(place *stager.Place) {
	started := make([]liveAttempt, len(place.Tasks))
	for at := range place.Tasks {
		task := &place.Tasks[at]
		connection := conductor.connections[task.Worker]
		attempt := &attempt{id: stager.TaskID{StepID: place.Step, Index: task.Index}, number: task.Attempt, ticket: task.Ticket, state: placed, placedAt: conductor.config.Clock()}
		connection.attempts[attempt.id], connection.releases = attempt, nil
		attempt.trial = probation
		if job := conductor.state.Jobs[place.Step.Job]; job.Suspect(attempt.id) {
			attempt.trial = trialOf(job.CrashesOf(attempt.id))
			connection.suspect = attempt
		}
		started[at] = liveAttempt{connection, attempt}
		logger.Info(conductor.config.Logger, "task placed", "Task", attempt.id.String(), "Attempt", attempt.number, "Worker", task.Worker,
			"HeardMillisAgo", (conductor.config.Clock() - connection.lastContact).Milliseconds())
	}
	conductor.afterCommit(func(err error) {
		if err != nil {
			return
		}
		for _, each := range started {
			if each.connection.attempts[each.attempt.id] == each.attempt {
				each.attempt.state = committed
				conductor.reconcile(each.connection, each.attempt)
			}
		}
	})
}

// due reports whether a call for the attempt may be sent now, if it needs one.
func (attempt *attempt) due(now time.Duration) bool {
	return !attempt.callInFlight && !attempt.awaitingReport && now >= attempt.nextCallAt && (attempt.stopping || attempt.state != running)
}

// reconcile sends the call that an attempt needs next, if any.
func (conductor *Conductor) reconcile(connection *connection, attempt *attempt) {
	if !attempt.due(conductor.config.Clock()) {
		return
	}
	switch {
	case attempt.stopping && attempt.state <= committed:
		conductor.endAttempt(connection, attempt, stager.Refusing, "")
	case attempt.stopping && attempt.stopAcknowledgedAt == 0:
		conductor.sendStop(connection, attempt)
	case !attempt.stopping && (attempt.state == committed || attempt.state == sent) && conductor.startForbidden(connection):
		conductor.withholdStart(connection, attempt)
	case !attempt.stopping && attempt.startUnconfirmed && connection.unresponsive:
		// The start is not repeated, since a new incarnation at the address would
		// accept it; the probe detects that.
		conductor.probe(connection)
	case !attempt.stopping && (attempt.state == committed || attempt.state == sent):
		conductor.sendStart(connection, attempt)
	}
}

func (conductor *Conductor) sendStart(connection *connection, attempt *attempt) {
	if attempt.startsSent == 0 && conductor.overCommitted(connection) {
		conductor.endAttempt(connection, attempt, stager.Refusing, "")
		return
	}
	expires := conductor.nextLeaseEnd(connection)
	if expires == 0 {
		return
	}
	job := conductor.state.Jobs[attempt.id.Job]
	order := &StartOrder{
		Task: attempt.id, Attempt: attempt.number, Payload: job.Payload, Expires: expires, Fence: conductor.state.Term,
		Saved: conductor.state.Saved(job, attempt.id), Ticket: attempt.ticket,
	}
	attempt.state, attempt.callInFlight, attempt.resumed = sent, true, order.Saved != ""
	conductor.load.starts++
	if attempt.startsSent > 0 {
		conductor.load.repeatedStarts++
	}
	attempt.startsSent++
	attempt.startSentAt = conductor.config.Clock()
	timeout := startTimeout * time.Duration(attempt.startsSent)
	target := connection.target()
	// The time runs from here, not from when the goroutine is scheduled, so that a process
	// that stood still does not send a start long after it was decided.
	callCtx, cancel := context.WithTimeout(connection.callContext, timeout)
	go func() {
		defer cancel()
		answer := conductor.config.Start(callCtx, target, order)
		conductor.post(func() { conductor.handleStartAnswer(connection, attempt, answer) })
	}()
}

// overCommitted reports whether a worker has shrunk below what is placed there.
func (conductor *Conductor) overCommitted(connection *connection) bool {
	worker := conductor.state.Workers[connection.name]
	return worker != nil && !worker.Used().Fits(worker.Capacity)
}

func (conductor *Conductor) handleStartAnswer(connection *connection, attempt *attempt, answer Answer) {
	attempt.callInFlight = false
	conductor.instruments.countCall("start", answer)
	if conductor.connections[connection.name] != connection || connection.attempts[attempt.id] != attempt {
		return
	}
	now := conductor.config.Clock()
	if answer.Outcome == Obeyed || answer.Outcome == Rejected {
		conductor.markResponsive(connection, answer.Clock)
	}
	switch answer.Outcome {
	case Obeyed:
		if attempt.state == sent {
			attempt.state = running
		}
		attempt.startAcknowledgedAt, attempt.lastProgressAt = now, now
		conductor.unbegun.remove(attempt.id.Job)
		if attempt.placedAt != 0 {
			conductor.instruments.start.Update((now - attempt.placedAt).Seconds())
		}
		conductor.ensureHold(connection)
		conductor.reconcile(connection, attempt)
	case Rejected:
		conductor.handleStartRejection(connection, attempt, answer)
	case Unanswered:
		attempt.startUnconfirmed = true
		conductor.handleUnansweredStart(connection, attempt, answer)
	case NotSent:
		if !attempt.startUnconfirmed {
			attempt.state = committed
		}
		conductor.handleUnansweredStart(connection, attempt, answer)
	case Replaced:
		conductor.dropIncarnation(connection, replaced, "another incarnation answers at its address")
	}
}

// handleUnansweredStart handles a start that the worker may carry out later, or one
// that could not be sent. It is sent again a few times; only a single task whose start
// never left this process is placed elsewhere at once. Starts that were on their way at
// the same time count as one failure of the worker: they may have waited for the same
// answer.
func (conductor *Conductor) handleUnansweredStart(connection *connection, attempt *attempt, answer Answer) {
	conductor.markUnresponsive(connection, "start", answer)
	if attempt.startSentAt >= connection.startFailedAt {
		connection.startFailedAt = conductor.config.Clock()
		conductor.recordFailure(connection, "a start was not answered")
	}
	job := conductor.state.Jobs[attempt.id.Job]
	switch {
	case attempt.state == committed && !job.Steps[attempt.id.Step].Gang:
		conductor.endAttempt(connection, attempt, stager.Refusing, "")
	case attempt.startsSent >= maxStarts:
		conductor.stopAttempt(connection, attempt, "its start was not answered")
	default:
		conductor.reconcile(connection, attempt)
	}
}

// handleStartRejection handles a start that the worker rejected. If an earlier
// start was not answered, that one may still be carried out, so the attempt is
// stopped.
func (conductor *Conductor) handleStartRejection(connection *connection, attempt *attempt, answer Answer) {
	logger.Warn(conductor.config.Logger, "start rejected", "Task", attempt.id.String(), "Attempt", attempt.number, "Worker", connection.name,
		"Reason", answer.Reason.String(), "Detail", answer.Detail, "Unsure", attempt.startUnconfirmed)
	switch answer.Reason {
	case BadTicket:
		if known := conductor.approvals[attempt.id.StepID]; known != nil {
			delete(known.Tickets, connection.name)
		}
	case NoRoom, Unhealthy, NoReason:
		conductor.recordFailure(connection, "it rejected a start")
	}
	if attempt.startUnconfirmed || answer.Reason == OldAttempt {
		conductor.stopAttempt(connection, attempt, "its start was rejected")
		return
	}
	conductor.endAttempt(connection, attempt, stager.Refusing, "")
}

// stopAttempt marks an attempt to be stopped; the stop is sent until the worker
// confirms that the attempt has ended.
func (conductor *Conductor) stopAttempt(connection *connection, attempt *attempt, reason string) {
	if attempt.stopping {
		return
	}
	attempt.stopping = true
	attempt.nextCallAt = 0
	logger.Info(conductor.config.Logger, "task stopped", "Task", attempt.id.String(), "Attempt", attempt.number, "Worker", connection.name, "Reason", reason)
	conductor.reconcile(connection, attempt)
}

func (conductor *Conductor) sendStop(connection *connection, attempt *attempt) {
	attempt.callInFlight = true
	order := &StopOrder{Task: attempt.id, Attempt: attempt.number, Fence: conductor.state.Term}
	target, ctx := connection.target(), connection.callContext
	go func() {
		answer := conductor.config.Stop(ctx, target, order)
		conductor.post(func() { conductor.handleStopAnswer(connection, attempt, answer) })
	}()
}

func (conductor *Conductor) handleStopAnswer(connection *connection, attempt *attempt, answer Answer) {
	attempt.callInFlight = false
	conductor.instruments.countCall("stop", answer)
	if conductor.connections[connection.name] != connection || connection.attempts[attempt.id] != attempt {
		return
	}
	switch answer.Outcome {
	case Obeyed:
		conductor.markResponsive(connection, answer.Clock)
		attempt.stopAcknowledgedAt = conductor.config.Clock()
		conductor.ensureHold(connection)
	case Replaced:
		conductor.dropIncarnation(connection, replaced, "another incarnation answers at its address")
	case Unanswered, NotSent:
		conductor.markUnresponsive(connection, "stop", answer)
		attempt.nextCallAt = conductor.config.Clock() + stopRetryDelay
	default:
		attempt.nextCallAt = conductor.config.Clock() + stopRetryDelay
	}
}

// endAttempt records that an attempt no longer uses its worker's resources, and
// handles the consequences for its gang and its job.
func (conductor *Conductor) endAttempt(connection *connection, ended *attempt, ending stager.Ending, saved stager.Checkpoint) {
	delete(connection.attempts, ended.id)
	connection.releases = nil
	job := conductor.state.Jobs[ended.id.Job]
	if job == nil || job.Task(ended.id) == nil {
		return
	}
	step := job.Steps[ended.id.Step]
	wasOver := job.Over()
	if ending == stager.Succeeding {
		conductor.observeRunTime(connection, job, ended, &step)
	}
	end := &stager.End{
		Task: ended.id, Attempt: ended.number, How: ending, Saved: saved, Unbegun: ended.unbegun(ending),
		Crash: ended.crash, Unsettled: ended.unsettled, Ran: millis(ended.ran), RanLong: ended.ranLong,
	}
	if !conductor.applyOrLog(&stager.Command{End: end}, "end an attempt") {
		return
	}
	conductor.recordBegun(job, end)
	conductor.placementPending = true
	conductor.instruments.countEnd(ending, ended.runDuration(conductor.config.Clock()))
	logger.Info(conductor.config.Logger, "task ended", "Task", ended.id.String(), "Attempt", ended.number, "Worker", connection.name, "How", ending.String(), "Saved", string(saved))
	conductor.updateFailureStreak(connection, job, ended, ending)
	switch {
	case job.Over() && !wasOver:
		conductor.concludeJob(job)
	case job.Over():
		conductor.stopJob(job)
	case step.Gang && ending != stager.Succeeding:
		conductor.stopGang(job, ended)
	}
}

// concludeJob handles the end of a job.
func (conductor *Conductor) concludeJob(job *stager.Job) {
	conductor.unbegun.remove(job.ID)
	conductor.instruments.countJobEnd(job)
	logger.Info(conductor.config.Logger, "job ended", "Job", job.ID, "Status", job.Status().String(), "TookMillis", int64(job.Ended-job.Accepted))
	conductor.stopJob(job)
}

// liveAttempt is an attempt and the connection to its worker.
type liveAttempt struct {
	connection *connection
	attempt    *attempt
}

// stopJob stops the live attempts of a job that is over.
func (conductor *Conductor) stopJob(job *stager.Job) {
	if job.Live() == 0 || job.Status() == stager.Completed {
		return
	}
	var attempts []liveAttempt
	for occurrence := range job.Occurrences() {
		for step := range uint32(len(job.Steps)) {
			attempts = conductor.appendLive(attempts, job, stager.StepID{Job: job.ID, Occurrence: occurrence, Step: step})
		}
	}
	conductor.stopAll(attempts, "its job has ended")
}

// appendLive appends the live attempts of a step.
func (conductor *Conductor) appendLive(found []liveAttempt, job *stager.Job, step stager.StepID) []liveAttempt {
	tasks := job.StepTasks(step.Occurrence, step.Step)
	for at := range tasks {
		connection := conductor.connections[tasks[at].Worker]
		if !tasks[at].Live || connection == nil {
			continue
		}
		if attempt := connection.attempts[stager.TaskID{StepID: step, Index: uint32(at)}]; attempt != nil {
			found = append(found, liveAttempt{connection, attempt})
		}
	}
	return found
}

// stopAll stops attempts. Stopping one may end others, so each is checked again
// before it is stopped.
func (conductor *Conductor) stopAll(attempts []liveAttempt, reason string) {
	for _, each := range attempts {
		if each.connection.attempts[each.attempt.id] == each.attempt {
			conductor.stopAttempt(each.connection, each.attempt, reason)
		}
	}
}

// stopGang stops the remaining attempts of a gang after one has ended early.
func (conductor *Conductor) stopGang(job *stager.Job, ended *attempt) {
	conductor.stopAll(conductor.appendLive(nil, job, ended.id.StepID), "another task of its gang has ended")
}

// Limits of how long a worker gets no new work after consecutive failures.
const (
	avoidAfterFailures = 3
	initialAvoidance   = 2 * time.Second
	maxAvoidance       = 16 * time.Second
	// maxAvoidanceDoublings is how often initialAvoidance is doubled at most.
	maxAvoidanceDoublings = 3
)

// updateFailureStreak updates the worker's failure streak from how an attempt
// ended. A failure counts against the worker only if it is the task's first; a
// task that fails on any worker is itself at fault.
func (conductor *Conductor) updateFailureStreak(connection *connection, job *stager.Job, ended *attempt, ending stager.Ending) {
	switch ending {
	case stager.Succeeding:
		connection.failureStreak = 0
	case stager.Failing:
		if task := job.Task(ended.id); task == nil || task.Failures <= 1 {
			conductor.recordFailure(connection, "a task failed")
		}
	}
}

func (conductor *Conductor) recordFailure(connection *connection, reason string) {
	connection.failureStreak++
	if connection.failureStreak < avoidAfterFailures {
		return
	}
	avoidance := min(maxAvoidance, initialAvoidance<<min(connection.failureStreak-avoidAfterFailures, maxAvoidanceDoublings))
	connection.avoidUntil = conductor.config.Clock() + avoidance
	logger.Warn(conductor.config.Logger, "worker avoided", "Worker", connection.name, "Streak", connection.failureStreak, "ForMillis", avoidance.Milliseconds(), "Reason", reason)
}
