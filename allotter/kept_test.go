package allotter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/allotter"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// TestAnAnsweredGangAtItsAccountsLimitKeepsNoRoom guards against room that stays idle for as
// long as another job of the account runs: the gang can't use it before that.
func TestAnAnsweredGangAtItsAccountsLimitKeepsNoRoom(t *testing.T) {
	fixture := newFixture(t, 1, true)
	allow := func(job string) {
		fixture.approval(stager.StepID{Job: stager.JobID(job)}).Tickets["w00"] = allotter.Ticket{Ticket: "t", Life: 1, Until: fixture.now + 10_000}
	}
	submit := func(id, account string, submitted stager.Step) {
		fixture.apply(stager.Command{Submit: &stager.Submit{ID: stager.JobID(id), ClientAccount: modeller.ClientAccountName(account), Queue: "draw", Steps: []stager.Step{submitted}}})
	}
	gang := step(1, 1, 1000)
	gang.Gang = true
	submit("gang", "small", gang)
	fixture.approval(stager.StepID{Job: "gang"}).Tickets["w00"] = allotter.Ticket{Ticket: "t", Life: 1, Until: fixture.now - 1}
	fixture.run()
	fixture.c.Assert(fixture.questions, qt.HasLen, 1)
	question := fixture.questions[0]
	fixture.c.Assert(fixture.approval(question.Step).PendingPlacement, qt.DeepEquals, []modeller.WorkerName{"w00"})
	submit("same", "small", step(1, 1, 60_000))
	allow("same")
	fixture.run()
	fixture.c.Assert(fixture.placed, qt.DeepEquals, []string{"same"})
	fixture.answer(question, func(modeller.WorkerName) bool { return true })
	submit("other", "a", step(1, 7, 1000))
	allow("other")
	summary := fixture.run()
	fixture.c.Check(summary.AtLimit, qt.Equals, 1)
	fixture.c.Check(fixture.placed, qt.DeepEquals, []string{"other"})
}

// TestAGangDoesNotAwaitRoomWhileOthersHaveIt guards against a gang that waits for its
// approved workers, up to the validity of their tickets, beside idle workers that an answer
// would open to it much sooner.
func TestAGangDoesNotAwaitRoomWhileOthersHaveIt(t *testing.T) {
	fixture := newFixture(t, 8, true)
	for _, queue := range fixture.state.Queues {
		queue.Advised.Decide = 100 * time.Millisecond
	}
	valid := allotter.Ticket{Ticket: "t", Life: 1, Until: fixture.now + 10_000}
	fixture.submit("running", "swap", step(2, 8, 100))
	approval := fixture.approval(stager.StepID{Job: "running"})
	approval.Tickets["w00"], approval.Tickets["w01"] = valid, valid
	fixture.run()
	fixture.c.Assert(fixture.placed, qt.HasLen, 2)
	gang := step(2, 8, 1000)
	gang.Gang = true
	fixture.submit("gang", "draw", gang)
	approval = fixture.approval(stager.StepID{Job: "gang"})
	approval.Tickets["w00"], approval.Tickets["w01"] = valid, valid
	// Work that the fleet can not hold makes room scarce.
	fixture.submit("wide", "draw", step(20, 8, 60_000))
	fixture.approval(stager.StepID{Job: "wide"}).Asking = true
	release := allotter.ExpectedRelease{At: fixture.now + 8000, Size: modeller.Resources{MilliProcessors: 8000, MemoryMiB: 100}}
	fixture.endings = map[modeller.WorkerName][]allotter.ExpectedRelease{"w00": {release}, "w01": {release}}
	fixture.run()
	fixture.c.Assert(fixture.questions, qt.HasLen, 1)
	fixture.c.Check(fixture.questions[0].Step.Job, qt.Equals, stager.JobID("gang"))
}
