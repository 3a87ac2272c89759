package stager_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/stager"
)

// TestAJobWhosePlacementsCameToNothingIsPendingAgain guards against a number of pending jobs
// that leaves out those of which every start was rejected or lost.
func TestAJobWhosePlacementsCameToNothingIsPendingAgain(t *testing.T) {
	unbegun := func(index uint32, how stager.Ending) stager.Command {
		end := endCommand("j", 0, index, 1, how)
		end.End.Unbegun = true
		return end
	}
	for name, test := range map[string]struct {
		ends    []stager.Command
		pending int
	}{
		"rejected":              {[]stager.Command{unbegun(0, stager.Refusing), unbegun(1, stager.Refusing)}, 1},
		"lost":                  {[]stager.Command{unbegun(0, stager.Refusing), unbegun(1, stager.Losing)}, 1},
		"one is placed still":   {[]stager.Command{unbegun(0, stager.Refusing)}, 0},
		"one has begun":         {[]stager.Command{endCommand("j", 0, 0, 1, stager.Losing), unbegun(1, stager.Losing)}, 0},
		"one has begun at last": {[]stager.Command{unbegun(0, stager.Losing), endCommand("j", 0, 1, 1, stager.Failing)}, 0},
		"cancelled":             {[]stager.Command{{Cancel: &stager.Cancel{Job: "j"}}, unbegun(0, stager.Refusing), unbegun(1, stager.Refusing)}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			state := newState(c, 2)
			mustApply(c, state, submitCommand("j", step(2, 1)), placeCommand("j", 0, placedOn(0, 1, "w0"), placedOn(1, 1, "w1")))
			c.Check(state.Pending(queueName), qt.Equals, 0)
			mustApply(c, state, test.ends...)
			c.Check(state.Pending(queueName), qt.Equals, test.pending)
			c.Check(state.Clone().Pending(queueName), qt.Equals, test.pending)
			if test.pending > 0 {
				mustApply(c, state, placeCommand("j", 0, placedOn(0, 2, "w0")))
				c.Check(state.Pending(queueName), qt.Equals, 0)
			}
		})
	}
}
