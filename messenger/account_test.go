package messenger_test

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// burst is what an account of weight 2 may hand in at once.
const burst = 2*stager.IntakeSeconds + stager.IntakeSlack

// stagedState returns a state with client accounts a and idle, and a worker. Account a has
// handed in one job more at once than it may within its weight, and one was placed; a job
// without a key is open.
func stagedState(c *quicktest.C) *stager.State {
	size := modeller.Resources{MilliProcessors: 1000, MemoryMiB: 100}
	submit := func(account modeller.ClientAccountName, number int) stager.Command {
		return stager.Command{Submit: &stager.Submit{
			ID: stager.JobID(fmt.Sprint(account, number)), ClientAccount: account, Queue: "q", Steps: []stager.Step{{Tasks: 2, Size: size}},
		}}
	}
	commands := []stager.Command{
		{Begin: &stager.Begin{KeepEnded: 60_000}},
		{Deploy: &stager.Deployment{
			Version: 1, Pools: []stager.Pool{{Name: "p"}}, Queues: []stager.Queue{{Name: "q", Pool: "p", Timeout: 1, OpenToAll: true}},
			Accounts: []stager.Account{{Name: "idle", Weight: 4}, {Name: "a", Weight: 2, Limit: modeller.Resources{MilliProcessors: 6000}}},
		}},
		{Admit: &stager.Worker{Name: "w", Life: 1, Pool: "p", Capacity: modeller.Resources{MilliProcessors: 4000, MemoryMiB: 4000}}},
		submit("", 1),
	}
	for number := range burst + 1 {
		commands = append(commands, submit("a", number))
	}
	commands = append(commands, stager.Command{Place: &stager.Place{Step: stager.StepID{Job: "a1"}, Tasks: []stager.TaskPlacement{{Index: 0, Attempt: 1, Worker: "w", Life: 1}}}})
	state := stager.New()
	c.Assert(state.Apply(&stager.Batch{Term: 1, Sequence: 1, Now: 1000, Commands: commands}), quicktest.IsNil)
	return state
}

// Guards against an account that is missing because it has no jobs or because the deployment
// does not list it, and against jobs that are counted for another account or as started.
func TestStagedAccountRows(t *testing.T) {
	c := quicktest.New(t)
	state := stagedState(c)
	expected := []messenger.StagedAccountRow{
		{Name: "", Open: 1, Waiting: 1},
		{
			Name: "a", Weight: 2, Limit: modeller.Resources{MilliProcessors: 6000}, Used: modeller.Resources{MilliProcessors: 1000, MemoryMiB: 100},
			Open: burst + 1, Waiting: burst, Excess: 1, IntakeThousandths: 500,
		},
		{Name: "idle", Weight: 4, IntakeThousandths: 1000 * (4*stager.IntakeSeconds + stager.IntakeSlack)},
	}
	c.Check(messenger.NewStagedAccountRows(state, 1250), quicktest.DeepEquals, expected)
	c.Check(messenger.NewStagedAccountRows(state.Clone(), 1250), quicktest.DeepEquals, expected, quicktest.Commentf("from a snapshot"))
}

// Guards against an account whose tasks occupy room unseen: its job was cancelled and is no
// longer open, and a later deployment does not list it.
func TestAnAccountThatOccupiesRoomIsShown(t *testing.T) {
	c := quicktest.New(t)
	state := stagedState(c)
	for _, command := range []stager.Command{
		{Deploy: &stager.Deployment{Version: 2, Pools: []stager.Pool{{Name: "p"}}, Queues: []stager.Queue{{Name: "q", Pool: "p", Timeout: 1}}}},
		{Cancel: &stager.Cancel{Job: "1"}},
	} {
		c.Assert(state.ApplyCommand(&command), quicktest.IsNil)
	}
	for number := range burst + 1 {
		c.Assert(state.ApplyCommand(&stager.Command{Cancel: &stager.Cancel{Job: stager.JobID(fmt.Sprint("a", number))}}), quicktest.IsNil)
	}
	c.Check(messenger.NewStagedAccountRows(state, 1250), quicktest.DeepEquals, []messenger.StagedAccountRow{
		{Name: "a", Used: modeller.Resources{MilliProcessors: 1000, MemoryMiB: 100}},
	})
	end := stager.Command{End: &stager.End{Task: stager.TaskID{StepID: stager.StepID{Job: "a1"}}, Attempt: 1, How: stager.Stopping}}
	c.Assert(state.ApplyCommand(&end), quicktest.IsNil)
	c.Check(messenger.NewStagedAccountRows(state, 1250), quicktest.HasLen, 0)
}

// Guards against a state without a deployment, as a replica has it before the first one.
func TestAStateWithoutADeploymentHasNoAccounts(t *testing.T) {
	quicktest.Check(t, messenger.NewStagedAccountRows(stager.New(), 1000), quicktest.HasLen, 0)
}
