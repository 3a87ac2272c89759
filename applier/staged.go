package applier

import (
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/stager"
)

// applyStaged applies a batch to the state of staged jobs, creating that state
// on first use.
func (state *State) applyStaged(batch *stager.Batch) Result {
	if state.Staged == nil {
		state.Staged = stager.New()
	}
	if err := state.Staged.Apply(batch); err != nil {
		return refuse(coder.WrongState, err.Error())
	}
	return Result{}
}
