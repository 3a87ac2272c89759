package cellrunner

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/planner"
)

const (
	planInterval         = 20 * time.Millisecond
	maxProposalsInFlight = 1024
	// failedProposalDelay is the delay before the task of a failed proposal is
	// planned again.
	failedProposalDelay modeller.Millis = 50
)

// runPlanner proposes what the placement policy decides.
func (leadership *leadership) runPlanner() {
	var view *planner.View
	decide := func() {
		leadership.undoFailedProposals(view)
		for _, command := range view.Plan(leadership.runner.now()) {
			leadership.proposeDecision(command)
		}
	}
	leadership.runLoop(controlLoop{
		interval: planInterval,
		reset:    func() { view = leadership.newView() },
		observe:  func(event *applier.Event) { view.Observe(event) },
		caughtUp: decide,
		tick:     decide,
	})
}

func (leadership *leadership) newView() *planner.View {
	seed := uint64(time.Now().UnixNano())
	return planner.New(planner.Config{
		Fresh:          leadership.leaser.Fresh,
		Random:         rand.New(rand.NewPCG(seed, leadership.term)),
		MostPlacements: maxProposalsInFlight / 4,
	})
}

// undoFailedProposals undoes all failed proposals in the view. It leaves none for
// later: a full channel would block goroutines that hold a slot which the planner
// may be waiting for.
func (leadership *leadership) undoFailedProposals(view *planner.View) {
	for {
		select {
		case command := <-leadership.failedProposals:
			view.Undo(command, leadership.runner.now()+failedProposalDelay)
		default:
			return
		}
	}
}

// proposeDecision proposes a decision of the policy without waiting for the
// result.
func (leadership *leadership) proposeDecision(command *applier.Command) {
	select {
	case leadership.proposalSlots <- struct{}{}:
	case <-leadership.ctx.Done():
		return
	}
	go func() {
		defer func() { <-leadership.proposalSlots }()
		ctx, cancel := context.WithTimeout(leadership.ctx, proposeTimeout)
		defer cancel()
		result, err := leadership.propose(ctx, "planner", command)
		leadership.logDecision(command, result, err)
		if err == nil && result.Code == coder.OK {
			return
		}
		select {
		case leadership.failedProposals <- command:
		case <-leadership.ctx.Done():
		}
	}()
}

// jobOf returns the job that a proposal of the planner is about, or 0.
func jobOf(command *applier.Command) modeller.JobID {
	switch {
	case command.Place != nil:
		return command.Place.Job
	case command.Stop != nil:
		return command.Stop.Task.Job
	case command.Refuse != nil:
		return command.Refuse.Job
	}
	return 0
}

// logDecision logs the result of each placement, stop and refusal.
func (leadership *leadership) logDecision(command *applier.Command, result applier.Result, err error) {
	log := leadership.runner.logger
	if err != nil {
		logger.Warn(log, "proposal of the planner failed", "Job", jobOf(command), "Error", err.Error())
		return
	}
	if place := command.Place; place != nil {
		for _, task := range place.Tasks {
			logger.Info(log, "placement",
				"Job", place.Job, "Task", task.Index, "Attempt", task.Attempt, "Worker", task.Worker,
				"Code", result.Code, "Reason", place.Reason, "Revision", place.Revision)
		}
	}
	if stop := command.Stop; stop != nil {
		logger.Info(log, "stop", "Task", stop.Task, "Attempt", stop.Attempt, "Code", result.Code, "Reason", stop.Reason, "Detail", stop.Detail)
	}
	if refuse := command.Refuse; refuse != nil {
		logger.Info(log, "refusal", "Job", refuse.Job, "Code", result.Code, "Reason", refuse.Reason)
	}
}
