package conductor

import (
	"slices"
	"time"

	"github.com/dotterelrill/dotterelrill/allotter"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// approval holds the adviser's decisions about a step, and the inquiries in flight
// about it.
type approval struct {
	allotter.Approval
	// parts are the inquiries in flight; lastPart numbers the latest one.
	parts    map[uint32]struct{}
	lastPart uint32
	askedAt  time.Duration
	// retryAt is the earliest time to ask again after a failed inquiry.
	retryAt time.Duration
}

const (
	// ticketMargin is subtracted from a ticket's validity for the commit and the
	// call to the worker.
	ticketMargin      = 200 * time.Millisecond
	inquiryRetryDelay = 200 * time.Millisecond
	// maxInquiryWorkers is how many workers an adviser accepts in one inquiry.
	maxInquiryWorkers = 100
	// partWorkers is how many workers each part of a question names if enough
	// processes are idle: an adviser's time grows with them, but has a fixed part
	// too.
	partWorkers = 40
	// One question may take one in idlePartDivisor of the idle processes.
	idlePartDivisor = 4
)

func (conductor *Conductor) approval(step stager.StepID) *approval {
	known := conductor.approvals[step]
	if known == nil {
		known = &approval{Approval: allotter.Approval{
			Tickets: make(map[modeller.WorkerName]allotter.Ticket),
			Refused: make(map[modeller.WorkerName]stager.Incarnation),
		}, parts: make(map[uint32]struct{})}
		conductor.approvals[step] = known
	}
	return known
}

// ask passes a question to the adviser of the job's queue, unless it has to wait for a
// retry. A question about many workers is divided into parts, which several processes
// ask at the same time.
func (conductor *Conductor) ask(question allotter.Question) {
	approval := conductor.approval(question.Step)
	job := conductor.state.Jobs[question.Step.Job]
	adviserTiming := conductor.state.Queues[job.Queue].Advised
	now := conductor.config.Clock()
	if adviserTiming == nil || now < approval.retryAt {
		return
	}
	for workers := range slices.Chunk(question.Workers, conductor.partSize(len(question.Workers))) {
		approval.lastPart++
		inquiry := stager.Inquiry{
			Step: question.Step, Part: approval.lastPart, Workers: workers, Takes: adviserTiming.AnswerTime(len(workers)), Urgency: question.Urgency, Latest: question.Latest,
		}
		if !conductor.config.Ask(inquiry) {
			approval.retryAt = now + inquiryRetryDelay
			return
		}
		approval.parts[inquiry.Part] = struct{}{}
		approval.Asking, approval.askedAt = true, now
	}
}

// partSize returns how many workers each inquiry of a question names.
func (conductor *Conductor) partSize(workers int) int {
	parts := ceilDivide(workers, maxInquiryWorkers)
	if conductor.config.IdleAdvisers != nil {
		parts = max(parts, min(ceilDivide(workers, partWorkers), conductor.config.IdleAdvisers()/idlePartDivisor))
	}
	return max(1, ceilDivide(workers, max(1, parts)))
}

func ceilDivide(dividend, divisor int) int { return (dividend + divisor - 1) / divisor }

// endPart records that an inquiry was answered or lost. The step is considered again
// with what is known by then.
func (approval *approval) endPart(part uint32) {
	delete(approval.parts, part)
	approval.ClearQuestion()
	approval.Asking = len(approval.parts) > 0
}

// handleAdvice records an adviser's answer.
func (conductor *Conductor) handleAdvice(advice *stager.Advice) {
	conductor.config.Answered(advice.ID())
	conductor.load.advices++
	approval := conductor.approvals[advice.Step]
	if approval == nil {
		return
	}
	approval.endPart(advice.Part)
	conductor.placementPending = true
	now := conductor.config.Clock()
	if advice.Failed {
		approval.retryAt = now + inquiryRetryDelay
		logger.Warn(conductor.config.Logger, "no advice", "Step", advice.Step.String(), "Asked", len(advice.Asked))
		return
	}
	job := conductor.state.Jobs[advice.Step.Job]
	if job == nil || job.Over() || conductor.state.Queues[job.Queue].Advised == nil {
		delete(conductor.approvals, advice.Step)
		return
	}
	conductor.instruments.advice.Update((now - approval.askedAt).Seconds())
	conductor.observeAdvice(job.Queue, len(advice.Asked), len(advice.Tickets))
	until := millis(now + conductor.state.Queues[job.Queue].Advised.Validity - ticketMargin)
	for _, ticket := range advice.Tickets {
		if worker := conductor.state.Workers[ticket.Worker]; worker != nil {
			approval.Tickets[ticket.Worker] = allotter.Ticket{Ticket: ticket.Ticket, Life: worker.Life, Until: until}
		}
	}
	for _, name := range advice.Asked {
		// A ticket of an earlier answer has an earlier expiry.
		worker := conductor.state.Workers[name]
		if worker != nil && (approval.Tickets[name].Life != worker.Life || approval.Tickets[name].Until < until) {
			approval.Refused[name] = worker.Life
		}
	}
	logger.Info(conductor.config.Logger, "advice", "Step", advice.Step.String(), "Asked", len(advice.Asked), "Approved", len(advice.Tickets),
		"TookMillis", (now - approval.askedAt).Milliseconds())
}

// expireInquiries drops inquiries that will get no answer, and the approvals of
// steps that no longer need advice.
func (conductor *Conductor) expireInquiries() {
	for _, id := range conductor.config.Lost() {
		approval := conductor.approvals[id.Step]
		if approval == nil {
			continue
		}
		if _, inFlight := approval.parts[id.Part]; inFlight {
			approval.endPart(id.Part)
			logger.Warn(conductor.config.Logger, "advice did not come", "Step", id.Step.String(), "AskedMillisAgo", (conductor.config.Clock() - approval.askedAt).Milliseconds())
		}
	}
	for step := range conductor.approvals {
		job := conductor.state.Jobs[step.Job]
		if job == nil || job.Over() || job.Undone(step.Occurrence, step.Step) == 0 {
			delete(conductor.approvals, step)
			conductor.config.Withdraw(step)
		}
	}
}
