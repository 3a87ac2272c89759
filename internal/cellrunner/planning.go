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
	planInterval    = 20 * time.Millisecond
	proposalsAtOnce = 1024
	// refusedPause is how long what was refused waits.
	refusedPause modeller.Millis = 50
)

// plan is the duty of deciding what runs where.
func (held *leadership) plan() {
	var view *planner.View
	decide := func() {
		held.takeBack(view)
		for _, command := range view.Plan(held.runner.now()) {
			held.proposeDecision(command)
		}
	}
	held.perform(duty{
		interval: planInterval,
		begin:    func() { view = held.newView() },
		observe:  func(event *applier.Event) { view.Observe(event) },
		settled:  decide,
		tick:     decide,
	})
}

func (held *leadership) newView() *planner.View {
	seed := uint64(time.Now().UnixNano())
	return planner.New(planner.Config{
		Fresh:          held.leaser.Fresh,
		Random:         rand.New(rand.NewPCG(seed, held.term)),
		MostPlacements: proposalsAtOnce / 4,
	})
}

// takeBack undoes all proposals that came to nothing. Leaving some for later
// could fill the ring, and whoever waits for its place holds a slot that the
// planner may be waiting for.
func (held *leadership) takeBack(view *planner.View) {
	for {
		select {
		case command := <-held.refused:
			view.Undo(command, held.runner.now()+refusedPause)
		default:
			return
		}
	}
}

// proposeDecision proposes what the policy decided without waiting for the
// result.
func (held *leadership) proposeDecision(command *applier.Command) {
	select {
	case held.slots <- struct{}{}:
	case <-held.ctx.Done():
		return
	}
	go func() {
		defer func() { <-held.slots }()
		ctx, cancel := context.WithTimeout(held.ctx, proposeMost)
		defer cancel()
		result, err := held.propose(ctx, "planner", command)
		held.logDecision(command, result, err)
		if err == nil && result.Code == coder.OK {
			return
		}
		select {
		case held.refused <- command:
		case <-held.ctx.Done():
		}
	}()
}

// jobOf returns the job that one of the leader's own proposals is about.
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

// logDecision writes a line for each placement, stop and refusal.
func (held *leadership) logDecision(command *applier.Command, result applier.Result, err error) {
	log := held.runner.logger
	if err != nil {
		logger.Warn(log, "decision came to nothing", "Job", jobOf(command), "Error", err.Error())
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
