package applier

import (
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/stager"
)

// applyStaged hands a batch about staged jobs to the state that guards them.
func (state *State) applyStaged(batch *stager.Batch) Result {
	if state.Staged == nil {
		state.Staged = stager.New()
	}
	if err := state.Staged.Apply(batch); err != nil {
		return refuse(coder.WrongState, err.Error())
	}
	return Result{}
}
