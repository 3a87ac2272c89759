package stager_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/encoder"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// loseWorker places the only task of job j on a worker, which is lost and may be cut off.
func loseWorker(c *qt.C, state *stager.State, index int, attempt modeller.Attempt, crash stager.Evidence) {
	lost := endCommand("j", 0, 0, attempt, stager.Losing)
	lost.End.Crash, lost.End.Unsettled = crash, true
	name := worker(index, 1).Name
	mustApply(c, state, placeCommand("j", 0, placedOn(0, attempt, name)), lost, stager.Command{Drop: &stager.Drop{Worker: name, Life: 1}})
}

// TestLossesOfWorkersThatComeBackAreNoCrashes guards against sound jobs that are suspected
// or given up because their workers were cut off.
func TestLossesOfWorkersThatComeBackAreNoCrashes(t *testing.T) {
	c := qt.New(t)
	const losses = 20
	state := newState(c, losses)
	mustApply(c, state, submitCommand("j", step(1, 1)))
	job := state.Jobs["j"]
	task := stager.TaskID{StepID: stager.StepID{Job: "j"}}
	for index := range losses {
		loseWorker(c, state, index, modeller.Attempt(index+1), stager.WeakEvidence)
		c.Assert(job.Over(), qt.IsFalse)
		c.Assert(job.Suspect(task), qt.IsFalse)
	}
	for index := range losses {
		mustApply(c, state, stager.Command{Admit: worker(index, 1)})
	}
	c.Check(job.Over(), qt.IsFalse)
	c.Check(job.Crashes, qt.HasLen, 0)
	for index := range losses {
		c.Check(state.UnsettledBy(worker(index, 2)), qt.HasLen, 0)
	}
}

// TestLossesOfWorkersThatAreReplacedAreCrashes guards against a task that crashes worker
// after worker, all of which return only after their leases.
func TestLossesOfWorkersThatAreReplacedAreCrashes(t *testing.T) {
	for name, successor := range map[string]func(index int) *stager.Worker{
		"a new life": func(index int) *stager.Worker { return worker(index, 2) },
		"another worker at the address": func(index int) *stager.Worker {
			other := worker(index, 2)
			other.Name, other.Address = "other"+other.Name, address(index)
			return other
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			const crashes = 4
			state := newState(c, 0)
			for index := range crashes {
				admitted := worker(index, 1)
				admitted.Address = address(index)
				mustApply(c, state, stager.Command{Admit: admitted})
			}
			mustApply(c, state, submitCommand("j", step(1, 1)))
			for index := range crashes {
				loseWorker(c, state, index, modeller.Attempt(index+1), stager.WeakEvidence)
			}
			data, err := encoder.Marshal(state)
			c.Assert(err, qt.IsNil)
			restored := stager.New()
			c.Assert(encoder.Unmarshal(data, restored), qt.IsNil)
			restored.Rebuild()
			for _, each := range []*stager.State{state, state.Clone(), restored} {
				for index := range crashes {
					c.Check(each.Jobs["j"].Over(), qt.IsFalse)
					c.Check(each.UnsettledBy(successor(index)), qt.HasLen, 1)
					mustApply(c, each, stager.Command{Admit: successor(index)})
				}
				c.Check(each.Jobs["j"].Status(), qt.Equals, stager.Failed)
			}
		})
	}
}

// TestAJobThatIsOverIsNotSettled guards against a job that ends twice: once when it is
// cancelled and again when a worker that it had crashed comes back.
func TestAJobThatIsOverIsNotSettled(t *testing.T) {
	c := qt.New(t)
	state := newState(c, 2)
	mustApply(c, state, submitCommand("j", step(2, 1)), placeCommand("j", 0, placedOn(0, 1, "w0"), placedOn(1, 1, "w1")))
	lost := endCommand("j", 0, 0, 1, stager.Losing)
	lost.End.Crash, lost.End.Unsettled = stager.WeakEvidence, true
	mustApply(c, state, lost, stager.Command{Drop: &stager.Drop{Worker: "w0", Life: 1}}, stager.Command{Cancel: &stager.Cancel{Job: "j"}})
	c.Check(state.UnsettledBy(worker(0, 2)), qt.HasLen, 0)
	mustApply(c, state, stager.Command{Admit: worker(0, 2)})
	c.Check(state.Jobs["j"].Status(), qt.Equals, stager.Cancelled)
}

// TestALateAnnouncementSettlesNoLoss guards against the announcement of a worker that was at
// an address before the lost one.
func TestALateAnnouncementSettlesNoLoss(t *testing.T) {
	c := qt.New(t)
	state := newState(c, 0)
	lost, earlier := worker(0, 1), worker(1, 0)
	lost.Address, earlier.Address = address(0), address(0)
	mustApply(c, state, stager.Command{Admit: lost}, submitCommand("j", step(1, 1)))
	loseWorker(c, state, 0, 1, stager.StrongEvidence)
	c.Check(state.UnsettledBy(earlier), qt.HasLen, 0)
	mustApply(c, state, stager.Command{Admit: earlier})
	c.Check(state.Jobs["j"].Crashes[0].Total, qt.Equals, uint32(0))
	c.Check(state.Jobs["j"].Crashes[0].Unsettled, qt.HasLen, 1)
}

func address(index int) string { return fmt.Sprint("host:", index) }
