package stager_test

import (
	"fmt"
	"sync"
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
// most its weight a second, and its burst once, within its weight; and while it
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
				if allowed := stager.IntakeSeconds*weight + stager.IntakeSlack + weight*int64(within[last]-within[first])/1000 + 1; int64(last-first+1) > allowed {
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

// burst is what an account of weight 2 may hand in at once.
const burst = 2*stager.IntakeSeconds + stager.IntakeSlack

// handIn submits jobs at a time, none of which must be beyond the account's weight.
func handIn(c *qt.C, state *stager.State, now modeller.Millis, jobs int) {
	for number := range jobs {
		c.Assert(submitAt(c, state, now, 1000+number), qt.IsFalse)
	}
}

// TestIntakeSurvivesASnapshotAndAClockThatStepsBack guards against a flood that becomes
// ordinary work with a new leader.
func TestIntakeSurvivesASnapshotAndAClockThatStepsBack(t *testing.T) {
	c := qt.New(t)
	state := newIntakeState(c, 2)
	handIn(c, state, 5000, burst)
	state = state.Clone()
	c.Check(submitAt(c, state, 5000, 3), qt.IsTrue)
	c.Check(submitAt(c, state, 1000, 4), qt.IsTrue, qt.Commentf("the clock stepped back"))
	c.Check(submitAt(c, state, 1500, 5), qt.IsFalse, qt.Commentf("half a second later"))
}

// TestAnAccountThatIsNotListedIsNotMarked guards jobs of queues that are open to all.
func TestAnAccountThatIsNotListedIsNotMarked(t *testing.T) {
	c := qt.New(t)
	state := newIntakeState(c, 1)
	for number := range 2 * burst {
		id := stager.JobID(fmt.Sprint("open", number))
		submit := &stager.Submit{ID: id, Queue: "q", Steps: []stager.Step{{Tasks: 1, Size: modeller.Resources{MilliProcessors: 1}}}}
		c.Assert(state.ApplyCommand(&stager.Command{Submit: submit}), qt.IsNil)
		c.Check(state.Jobs[id].Excess, qt.IsFalse)
	}
}

// TestTheIntakeThatIsLeftIsShown guards against an account that is shown as exhausted long
// after its last job, one that is shown less than it may hand in, and an intake that
// changes when it is read.
func TestTheIntakeThatIsLeftIsShown(t *testing.T) {
	c := qt.New(t)
	state := newIntakeState(c, 2)
	c.Check(state.IntakeLeft("a", 5000), qt.Equals, int64(1000*burst), qt.Commentf("nothing handed in"))
	handIn(c, state, 5000, burst-1)
	c.Check(state.IntakeLeft("a", 5000), qt.Equals, int64(1000))
	c.Check(state.IntakeLeft("a", 4000), qt.Equals, int64(1000), qt.Commentf("the clock stepped back"))
	c.Check(submitAt(c, state, 5000, 2), qt.IsFalse)
	c.Check(state.IntakeLeft("a", 5000), qt.Equals, int64(0))
	c.Check(state.IntakeLeft("a", 5250), qt.Equals, int64(500))
	c.Check(state.IntakeLeft("a", 60_000), qt.Equals, int64(1000*burst))
	c.Check(state.IntakeLeft("unlisted", 5000), qt.Equals, int64(0))
	c.Check(submitAt(c, state, 5000, 3), qt.IsTrue, qt.Commentf("a look at the intake filled it"))
}

// TestAnAccountIsReadConcurrently guards against a query that changes the state while
// another one reads it; the race detector or the map itself reports that.
func TestAnAccountIsReadConcurrently(t *testing.T) {
	state := newIntakeState(qt.New(t), 2)
	var readers sync.WaitGroup
	for reader := range 4 {
		readers.Go(func() {
			for number := range 1000 {
				name := modeller.ClientAccountName(fmt.Sprint(reader, number))
				_, _, _, _ = state.Weight(name), state.Used(name), state.Room(name), state.IntakeLeft(name, 1)
			}
		})
	}
	readers.Wait()
}
