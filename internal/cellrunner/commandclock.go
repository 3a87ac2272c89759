package cellrunner

import (
	"time"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// stamps is the clock of one leadership. It starts at this replica's wall
// clock, or at the time of the state if an earlier leader's wall clock was
// ahead of that. From there it advances with the monotonic clock and ignores
// steps of the wall clock, so that a delay measured with it always ends.
type stamps struct {
	base  modeller.Millis
	since time.Duration
}

func (runner *Runner) startCommandClock() {
	begun := &stamps{base: modeller.Millis(runner.Wall().UnixMilli()), since: runner.clock()}
	runner.machine.read(func(state *applier.State) { begun.base = max(begun.base, state.Now) })
	runner.stamps.Store(begun)
}

// now returns the leader's time. Commands carry it, and delays are measured
// with it.
func (runner *Runner) now() modeller.Millis {
	begun := runner.stamps.Load()
	return begun.base + modeller.Millis((runner.clock() - begun.since).Milliseconds())
}
