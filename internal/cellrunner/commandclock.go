package cellrunner

import (
	"time"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// stamps is where a leader's time begins. It goes on from the state's if this
// replica's wall clock is behind that of an earlier leader, and does not follow
// steps of the wall clock, so that no delay counted in it can be stuck.
type stamps struct {
	base  modeller.Millis
	since time.Duration
}

func (runner *Runner) beginStamps() {
	begun := &stamps{base: modeller.Millis(runner.Wall().UnixMilli()), since: runner.clock()}
	runner.machine.read(func(state *applier.State) { begun.base = max(begun.base, state.Now) })
	runner.stamps.Store(begun)
}

// now is the time that a leader stamps its commands with and counts by.
func (runner *Runner) now() modeller.Millis {
	begun := runner.stamps.Load()
	return begun.base + modeller.Millis((runner.clock() - begun.since).Milliseconds())
}
