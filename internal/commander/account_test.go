package commander_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// startStagedEntry returns an entry of a cell in which account flood, of weight 1, has handed
// in two jobs more at once than it may, and a caller without a key one.
func startStagedEntry(t *testing.T) *fakeEntry {
	fakeEntry := startFakeEntry(t)
	commands := []stager.Command{
		{Begin: &stager.Begin{}},
		{Deploy: &stager.Deployment{
			Version: 1, Pools: []stager.Pool{{Name: "p"}}, Queues: []stager.Queue{{Name: "q", Pool: "p", Timeout: 1, OpenToAll: true}},
			Accounts: []stager.Account{{Name: "flood", Weight: 1, Limit: modeller.Resources{MilliProcessors: 64000}}, {Name: "quiet", Weight: 3}},
		}},
	}
	accounts := append(slices.Repeat([]modeller.ClientAccountName{"flood"}, stager.IntakeSeconds+stager.IntakeSlack+2), "")
	for number, account := range accounts {
		step := stager.Step{Tasks: 1, Size: modeller.Resources{MilliProcessors: 1000}}
		commands = append(commands, stager.Command{Submit: &stager.Submit{ID: stager.JobID(fmt.Sprint(number)), ClientAccount: account, Queue: "q", Steps: []stager.Step{step}}})
	}
	result, refusal := fakeEntry.propose(t.Context(), &applier.Command{Staged: &stager.Batch{Term: 1, Sequence: 1, Now: 1000, Commands: commands}})
	quicktest.Assert(t, refusal == nil, quicktest.IsTrue, quicktest.Commentf("%v", refusal))
	quicktest.Assert(t, result.Code.Successful(), quicktest.IsTrue, quicktest.Commentf("%+v", result))
	return fakeEntry
}

// TestAccountList guards against a list that does not ask for staged accounts, that shows a
// missing limit or weight as zero, or that leaves out an account.
func TestAccountList(t *testing.T) {
	fakeEntry := startStagedEntry(t)
	fakeEntry.runSteps(t, []step{
		{[]string{"account", "list"}, 0, []string{
			`CLIENT ACCOUNT +WEIGHT +UPPER LIMIT +USED +OPEN +WAITING +BEYOND +LEFT\n`,
			`\n- +- +- +0m/0MiB/0a +1 +1 +0 +-\n`,
			`\nflood +1 +64000m/-/- +0m/0MiB/0a +27 +27 +2 +0.000\n`,
			`\nquiet +3 +- +0m/0MiB/0a +0 +0 +0 +35.000\n`,
		}},
	})
	status, text := fakeEntry.runControl("account", "list", "-json")
	c := quicktest.New(t)
	c.Assert(status, quicktest.Equals, 0)
	var rows []messenger.StagedAccountRow
	c.Assert(json.Unmarshal([]byte(text), &rows), quicktest.IsNil, quicktest.Commentf("%s", text))
	c.Check(rows, quicktest.DeepEquals, messenger.NewStagedAccountRows(fakeEntry.state.Staged, 1000))
}
