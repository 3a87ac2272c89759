package cellrunner

import (
	"context"
	"time"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

const (
	leaseCheckInterval = 200 * time.Millisecond
	driftDivisor       = 20
)

// expireLeases declares workers lost when their leases have expired.
func (leadership *leadership) expireLeases() {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-leadership.ctx.Done():
			return
		case <-ticker.C:
		}
		for _, loss := range leadership.expiredWorkers() {
			leadership.loseWorker(loss)
		}
	}
}

func (leadership *leadership) expiredWorkers() []*applier.LoseWorker {
	var losses []*applier.LoseWorker
	leadership.runner.stateMachine.read(func(state *applier.State) {
		for name, worker := range state.Workers {
			incarnation := worker.Description.Incarnation
			if leadership.leaser.Expire(name, incarnation) {
				losses = append(losses, &applier.LoseWorker{
					Worker: name, Incarnation: incarnation, Entry: worker.Entry, Reason: "no beat was answered for a whole term",
				})
			}
		}
	})
	return losses
}

// loseDepartedWorker declares a worker lost that reported that it has stopped.
func (leadership *leadership) loseDepartedWorker(worker modeller.WorkerDescription) {
	loss := &applier.LoseWorker{Worker: worker.Name, Incarnation: worker.Incarnation, Reason: "the worker left"}
	leadership.runner.stateMachine.read(func(state *applier.State) {
		if known := state.Workers[worker.Name]; known != nil {
			loss.Entry = known.Entry
		}
	})
	leadership.loseWorker(loss)
}

func (leadership *leadership) loseWorker(loss *applier.LoseWorker) {
	ctx, cancel := context.WithTimeout(leadership.ctx, proposeTimeout)
	defer cancel()
	result, err := leadership.propose(ctx, "leaser", &applier.Command{LoseWorker: loss})
	if err != nil {
		logger.Warn(leadership.runner.logger, "proposal to declare a worker lost failed", "Worker", loss.Worker, "Error", err.Error())
		return
	}
	if result.Code == coder.OK {
		leadership.leaser.Remove(loss.Worker, loss.Incarnation)
	}
	logger.Info(leadership.runner.logger, "worker lost", "Worker", loss.Worker, "Incarnation", loss.Incarnation, "Reason", loss.Reason, "Code", result.Code)
}
