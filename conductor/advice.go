package conductor

import (
	"slices"
	"time"

	"github.com/dotterelrill/dotterelrill/allotter"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// approval holds the adviser's decisions about a step, and when the inquiry in
// flight about it was sent.
type approval struct {
	allotter.Approval
	askedAt time.Duration
	// retryAt is the earliest time to ask again after a failed inquiry.
	retryAt time.Duration
}

const (
	// ticketMargin is subtracted from a ticket's validity for the commit and the
	// call to the worker.
	ticketMargin      = 200 * time.Millisecond
	inquiryRetryDelay = 200 * time.Millisecond
)

func (conductor *Conductor) approval(step stager.StepID) *approval {
	known := conductor.approvals[step]
	if known == nil {
		known = &approval{Approval: allotter.Approval{
			Tickets: make(map[modeller.WorkerName]allotter.Ticket),
			Refused: make(map[modeller.WorkerName]stager.Incarnation),
		}}
		conductor.approvals[step] = known
	}
	return known
}

// ask passes a question to the adviser of the job's queue, unless it has to
// wait for a retry.
func (conductor *Conductor) ask(question allotter.Question) {
	approval := conductor.approval(question.Step)
	job := conductor.state.Jobs[question.Step.Job]
	adviserTiming := conductor.state.Queues[job.Queue].Advised
	now := conductor.config.Clock()
	if adviserTiming == nil || now < approval.retryAt {
		return
	}
	answerTime := adviserTiming.AnswerTime(len(question.Workers))
	if !conductor.config.Ask(stager.Inquiry{Step: question.Step, Workers: question.Workers, Takes: answerTime, Urgency: question.Urgency, Latest: question.Latest}) {
		approval.retryAt = now + inquiryRetryDelay
		return
	}
	approval.Asking, approval.askedAt = true, now
}

// handleAdvice records an adviser's answer.
func (conductor *Conductor) handleAdvice(advice *stager.Advice) {
	conductor.config.Answered(advice.Step)
	approval := conductor.approvals[advice.Step]
	if approval == nil {
		return
	}
	approval.ClearQuestion()
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
	until := millis(now + conductor.state.Queues[job.Queue].Advised.Validity - ticketMargin)
	for _, ticket := range advice.Tickets {
		if worker := conductor.state.Workers[ticket.Worker]; worker != nil {
			approval.Tickets[ticket.Worker] = allotter.Ticket{Ticket: ticket.Ticket, Life: worker.Life, Until: until}
		}
	}
	for _, name := range advice.Asked {
		approved := slices.ContainsFunc(advice.Tickets, func(ticket stager.WorkerTicket) bool { return ticket.Worker == name })
		if worker := conductor.state.Workers[name]; worker != nil && !approved {
			approval.Refused[name] = worker.Life
		}
	}
	logger.Info(conductor.config.Logger, "advice", "Step", advice.Step.String(), "Asked", len(advice.Asked), "Approved", len(advice.Tickets),
		"TookMillis", (now - approval.askedAt).Milliseconds())
}

// expireInquiries drops inquiries that will get no answer, and the approvals of
// steps that no longer need advice.
func (conductor *Conductor) expireInquiries() {
	for _, step := range conductor.config.Lost() {
		if approval := conductor.approvals[step]; approval != nil && approval.Asking {
			approval.ClearQuestion()
			logger.Warn(conductor.config.Logger, "advice did not come", "Step", step.String(), "AskedMillisAgo", (conductor.config.Clock() - approval.askedAt).Milliseconds())
		}
	}
	for step := range conductor.approvals {
		job := conductor.state.Jobs[step.Job]
		if job == nil || job.Over() || job.Undone(step.Occurrence, step.Step) == 0 {
			delete(conductor.approvals, step)
		}
	}
}
