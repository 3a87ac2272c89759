package cellrunner

import (
	"time"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// commandClock is the clock of one leadership. It starts at this replica's wall
// clock, or at the time of the state if an earlier leader's wall clock was
// ahead of that. From there it advances with the monotonic clock and ignores
// steps of the wall clock, so that a delay measured with it always ends.
type commandClock struct {
	baseTime  modeller.Millis
	startedAt time.Duration
}

func (runner *Runner) startCommandClock() {
	clock := &commandClock{baseTime: modeller.Millis(runner.Wall().UnixMilli()), startedAt: runner.clock()}
	runner.stateMachine.read(func(state *applier.State) { clock.baseTime = max(clock.baseTime, state.Now) })
	runner.commandClock.Store(clock)
}

// now returns the leader's time. Commands carry it, and delays are measured
// with it.
func (runner *Runner) now() modeller.Millis {
	clock := runner.commandClock.Load()
	return clock.baseTime + modeller.Millis((runner.clock() - clock.startedAt).Milliseconds())
}
