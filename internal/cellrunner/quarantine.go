package cellrunner

import (
	"context"
	"time"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/quarantiner"
)

const quarantineInterval = 250 * time.Millisecond

// runQuarantine puts workers into quarantine and releases them.
func (leadership *leadership) runQuarantine() {
	var quarantiner *quarantiner.Quarantiner
	leadership.runLoop(controlLoop{
		interval: quarantineInterval,
		reset:    func() { quarantiner = leadership.newQuarantiner() },
		observe:  func(event *applier.Event) { quarantiner.Observe(event) },
		caughtUp: func() {},
		tick: func() {
			for _, change := range quarantiner.Decide(leadership.runner.now()) {
				leadership.proposeWorkerState(quarantiner, change)
			}
		},
	})
}

func (leadership *leadership) newQuarantiner() *quarantiner.Quarantiner {
	settings := leadership.runner.settings
	return quarantiner.New(quarantiner.Config{
		Threshold: int(settings.QuarantineThreshold),
		Window:    millis(settings.QuarantineWindow),
		FirstStay: millis(settings.QuarantineFirstStay),
		MostStay:  millis(settings.QuarantineMostStay),
		MostShare: float64(settings.QuarantinePercent) / 100,
	})
}

func millis(duration time.Duration) modeller.Millis {
	return modeller.Millis(duration.Milliseconds())
}

func (leadership *leadership) proposeWorkerState(quarantiner *quarantiner.Quarantiner, change *applier.SetWorker) {
	ctx, cancel := context.WithTimeout(leadership.ctx, proposeTimeout)
	defer cancel()
	result, err := leadership.propose(ctx, "quarantiner", &applier.Command{SetWorker: change})
	if err != nil {
		logger.Warn(leadership.runner.logger, "proposal to change a worker's state failed", "Worker", change.Worker, "Error", err.Error())
		quarantiner.Undo(change)
		return
	}
	if result.Code != coder.OK {
		quarantiner.Undo(change)
	}
	logger.Info(leadership.runner.logger, "worker changed", "Worker", change.Worker, "State", change.State, "Reason", change.Reason, "Code", result.Code)
}
