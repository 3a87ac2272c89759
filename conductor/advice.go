package conductor

import (
	"slices"
	"time"

	"github.com/dotterelrill/dotterelrill/allotter"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// approval is what is known of a step, and since when it is being asked for.
type approval struct {
	allotter.Approval
	asked time.Duration
	// retryAt is when to ask again after a question that failed.
	retryAt time.Duration
}

const (
	// ticketMargin is left of a ticket's validity for the commit and the way to
	// the worker.
	ticketMargin = 200 * time.Millisecond
	inquiryPause = 200 * time.Millisecond
)

func (conductor *Conductor) approval(step stager.StepID) *approval {
	known := conductor.approvals[step]
	if known == nil {
		known = &approval{Approval: allotter.Approval{
			Tickets: make(map[modeller.WorkerName]allotter.Ticket),
			Refused: make(map[modeller.WorkerName]stager.Life),
		}}
		conductor.approvals[step] = known
	}
	return known
}

// ask passes a question on, with what the queue says of its adviser.
func (conductor *Conductor) ask(question allotter.Question) {
	known := conductor.approval(question.Step)
	job := conductor.state.Jobs[question.Step.Job]
	terms := conductor.state.Queues[job.Queue].Advised
	now := conductor.config.Clock()
	if terms == nil || now < known.retryAt {
		return
	}
	takes := terms.Takes(len(question.Workers))
	if !conductor.config.Ask(stager.Inquiry{Step: question.Step, Workers: question.Workers, Takes: takes, Urgency: question.Urgency, Latest: question.Latest}) {
		known.retryAt = now + inquiryPause
		return
	}
	known.Asking, known.asked = true, now
}

// advised takes up an adviser's answer.
func (conductor *Conductor) advised(advice *stager.Advice) {
	conductor.config.Answered(advice.Step)
	known := conductor.approvals[advice.Step]
	if known == nil {
		return
	}
	known.Answered()
	conductor.dirty = true
	now := conductor.config.Clock()
	if advice.Failed {
		known.retryAt = now + inquiryPause
		logger.Warn(conductor.config.Logger, "no advice", "Step", advice.Step.String(), "Asked", len(advice.Asked))
		return
	}
	job := conductor.state.Jobs[advice.Step.Job]
	if job == nil || job.Over() || conductor.state.Queues[job.Queue].Advised == nil {
		delete(conductor.approvals, advice.Step)
		return
	}
	conductor.measures.advice.Update((now - known.asked).Seconds())
	until := millis(now + conductor.state.Queues[job.Queue].Advised.Validity - ticketMargin)
	for _, ticket := range advice.Tickets {
		if worker := conductor.state.Workers[ticket.Worker]; worker != nil {
			known.Tickets[ticket.Worker] = allotter.Ticket{Ticket: ticket.Ticket, Life: worker.Life, Until: until}
		}
	}
	for _, name := range advice.Asked {
		approved := slices.ContainsFunc(advice.Tickets, func(ticket stager.WorkerTicket) bool { return ticket.Worker == name })
		if worker := conductor.state.Workers[name]; worker != nil && !approved {
			known.Refused[name] = worker.Life
		}
	}
	logger.Info(conductor.config.Logger, "advice", "Step", advice.Step.String(), "Asked", len(advice.Asked), "Approved", len(advice.Tickets),
		"TookMillis", (now - known.asked).Milliseconds())
}

// expireInquiries gives up questions whose answer does not come, and forgets
// what is known of steps that need no advice any more.
func (conductor *Conductor) expireInquiries() {
	for _, step := range conductor.config.Lost() {
		if known := conductor.approvals[step]; known != nil && known.Asking {
			known.Answered()
			logger.Warn(conductor.config.Logger, "advice did not come", "Step", step.String(), "AskedMillisAgo", (conductor.config.Clock() - known.asked).Milliseconds())
		}
	}
	for step := range conductor.approvals {
		job := conductor.state.Jobs[step.Job]
		if job == nil || job.Over() || job.Undone(step.Occurrence, step.Step) == 0 {
			delete(conductor.approvals, step)
		}
	}
}
