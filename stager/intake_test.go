package stager_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// newIntakeState returns a state with an account of the weight.
func newIntakeState(c *qt.C, weight int64) *stager.State {
	state := stager.New()
	deployment := &stager.Deployment{
		Version: 1, Pools: []stager.Pool{{Name: "p"}}, Accounts: []stager.Account{{Name: "a", Weight: weight}},
		Queues: []stager.Queue{{Name: "q", Host: "h", Prefix: "/", Pool: "p", Timeout: 1}},
	}
	c.Assert(state.ApplyCommand(&stager.Command{Deploy: deployment}), qt.IsNil)
	return state
}

// submitAt submits a job at a time and reports whether it is beyond the account's weight.
func submitAt(c *qt.C, state *stager.State, now modeller.Millis, number int) bool {
	state.Now = now
	id := stager.JobID(fmt.Sprint(number))
	submit := &stager.Submit{ID: id, ClientAccount: "a", Queue: "q", Steps: []stager.Step{{Tasks: 1, Size: modeller.Resources{MilliProcessors: 1}}}}
	c.Assert(state.ApplyCommand(&stager.Command{Submit: submit}), qt.IsNil)
	return state.Jobs[id].Excess
}

// TestJobsBeyondAnAccountsWeightAreMarked draws arrivals. In any span, an account has at
// most its weight a second, and that of one second more, within its weight; and while it
// stays below its weight, nothing is marked. A clock that steps back adds nothing.
func TestJobsBeyondAnAccountsWeightAreMarked(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := qt.New(t)
		weight := rapid.Int64Range(1, 40).Draw(r, "weight")
		state := newIntakeState(c, weight)
		now, within := modeller.Millis(1_000_000), []modeller.Millis{}
		for number := range rapid.IntRange(1, 200).Draw(r, "jobs") {
			now += modeller.Millis(rapid.SampledFrom([]int{0, 0, 1, 7, 50, 400}).Draw(r, "pause"))
			if !submitAt(c, state, now, number) {
				within = append(within, now)
			}
		}
		for first := range within {
			for last := first; last < len(within); last++ {
				if allowed := weight + weight*int64(within[last]-within[first])/1000 + 1; int64(last-first+1) > allowed {
					r.Fatalf("%d jobs within the weight in %d ms, %d allowed", last-first+1, within[last]-within[first], allowed)
				}
			}
		}
	})
}

func TestAnAccountBelowItsWeightIsNeverMarked(t *testing.T) {
	c := qt.New(t)
	state := newIntakeState(c, 4)
	for number := range 40 {
		c.Check(submitAt(c, state, modeller.Millis(1000+250*number), number), qt.IsFalse)
	}
}

// TestIntakeSurvivesASnapshotAndAClockThatStepsBack guards against a flood that becomes
// ordinary work with a new leader.
func TestIntakeSurvivesASnapshotAndAClockThatStepsBack(t *testing.T) {
	c := qt.New(t)
	state := newIntakeState(c, 2)
	c.Check(submitAt(c, state, 5000, 1), qt.IsFalse)
	c.Check(submitAt(c, state, 5000, 2), qt.IsFalse)
	state = state.Clone()
	c.Check(submitAt(c, state, 5000, 3), qt.IsTrue)
	c.Check(submitAt(c, state, 1000, 4), qt.IsTrue, qt.Commentf("the clock stepped back"))
	c.Check(submitAt(c, state, 1500, 5), qt.IsFalse, qt.Commentf("half a second later"))
}

// TestAnAccountThatIsNotListedIsNotMarked guards jobs of queues that are open to all.
func TestAnAccountThatIsNotListedIsNotMarked(t *testing.T) {
	c := qt.New(t)
	state := newIntakeState(c, 1)
	for number := range 5 {
		id := stager.JobID(fmt.Sprint("open", number))
		submit := &stager.Submit{ID: id, Queue: "q", Steps: []stager.Step{{Tasks: 1, Size: modeller.Resources{MilliProcessors: 1}}}}
		c.Assert(state.ApplyCommand(&stager.Command{Submit: submit}), qt.IsNil)
		c.Check(state.Jobs[id].Excess, qt.IsFalse)
	}
}
