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

const judgeInterval = 250 * time.Millisecond

// judgeWorkers is the duty of putting workers into quarantine and of letting
// them back.
func (held *leadership) judgeWorkers() {
	var judge *quarantiner.Quarantiner
	held.perform(duty{
		interval: judgeInterval,
		begin:    func() { judge = held.newQuarantiner() },
		observe:  func(event *applier.Event) { judge.Observe(event) },
		settled:  func() {},
		tick: func() {
			for _, change := range judge.Decide(held.runner.now()) {
				held.proposeChange(judge, change)
			}
		},
	})
}

func (held *leadership) newQuarantiner() *quarantiner.Quarantiner {
	settings := held.runner.settings
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

func (held *leadership) proposeChange(judge *quarantiner.Quarantiner, change *applier.SetWorker) {
	ctx, cancel := context.WithTimeout(held.ctx, proposeMost)
	defer cancel()
	result, err := held.propose(ctx, "quarantiner", &applier.Command{SetWorker: change})
	if err != nil {
		logger.Warn(held.runner.logger, "change of a worker not decided", "Worker", change.Worker, "Error", err.Error())
		judge.Undo(change)
		return
	}
	if result.Code != coder.OK {
		judge.Undo(change)
	}
	logger.Info(held.runner.logger, "worker changed", "Worker", change.Worker, "State", change.State, "Reason", change.Reason, "Code", result.Code)
}
