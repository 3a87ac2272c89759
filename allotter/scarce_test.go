package allotter_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelrill/dotterelrill/allotter"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// setRanks gives the queue of short jobs a lower rank than that of the gangs.
func (fixture *fixture) setRanks() {
	fixture.state.Queues["swap"].Rank, fixture.state.Queues["draw"].Rank = 0, 1
}

// TestRankDecidesOnlyWhileRoomIsScarce guards against a rank that changes the order while
// all steps have room, and against patient work that takes the room of urgent work which
// has a later latest start.
func TestRankDecidesOnlyWhileRoomIsScarce(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		workers int
		want    []string
	}{
		{workers: 2, want: []string{"patient", "urgent"}},
		{workers: 1, want: []string{"urgent"}},
	} {
		fixture := newFixture(t, test.workers, false)
		fixture.setRanks()
		fixture.submit("patient", "draw", step(1, 8, 100))
		fixture.submit("urgent", "swap", step(1, 8, 5000))
		fixture.run()
		c.Check(fixture.placed, qt.DeepEquals, test.want, qt.Commentf("%d workers", test.workers))
	}
}

// TestWorkThatNoRoomHelpsIsNotScarcity guards against a fleet that counts as full for a step
// at its account's limit, or for a gang that no fleet of this size holds.
func TestWorkThatNoRoomHelpsIsNotScarcity(t *testing.T) {
	fixture := newFixture(t, 2, false)
	fixture.setRanks()
	fixture.apply(stager.Command{Submit: &stager.Submit{ID: "limited", ClientAccount: "small", Queue: "draw", Steps: []stager.Step{step(9, 8, 100)}}})
	wide := step(9, 8, 100)
	wide.Gang = true
	fixture.submit("wide", "draw", wide)
	fixture.submit("patient", "draw", step(1, 8, 100))
	fixture.submit("urgent", "swap", step(1, 8, 5000))
	fixture.run()
	fixture.c.Check(fixture.placed, qt.DeepEquals, []string{"patient", "urgent"})
}

// TestLateWorkGivesWayToWorkOfALowerRankThatIsOnTime guards against a rank that lets late
// work make other work late too.
func TestLateWorkGivesWayToWorkOfALowerRankThatIsOnTime(t *testing.T) {
	fixture := newFixture(t, 1, false)
	fixture.setRanks()
	fixture.submit("late", "swap", step(1, 8, 1000))
	fixture.now += 1500
	fixture.submit("on time", "draw", step(1, 8, 5000))
	fixture.run()
	fixture.c.Check(fixture.placed, qt.DeepEquals, []string{"on time"})
}

// TestWorkBeyondAnAccountsWeightGoesLastWhileRoomIsScarce lets one account flood the fleet.
// The other account's jobs must go before all that the flood has beyond its weight, and
// nothing changes while there is room for all.
func TestWorkBeyondAnAccountsWeightGoesLastWhileRoomIsScarce(t *testing.T) {
	const burst = 2*stager.IntakeSeconds + stager.IntakeSlack
	for _, workers := range []int{1, 2 * burst} {
		fixture := newFixture(t, workers, false)
		deployment := *fixture.state.Deployment
		deployment.Version, deployment.Accounts = 2, []stager.Account{{Name: "a", Weight: 2}, {Name: "other", Weight: 2}}
		fixture.apply(stager.Command{Deploy: &deployment})
		for index := range burst + 10 {
			fixture.submit(fmt.Sprint("flood", index), "swap", step(1, 8, 1000))
		}
		fixture.apply(stager.Command{Submit: &stager.Submit{ID: "other", ClientAccount: "other", Queue: "swap", Steps: []stager.Step{step(1, 8, 1100)}}})
		if workers == 1 {
			// The jobs within the account's weight are older.
			for index := range burst {
				fixture.apply(stager.Command{Cancel: &stager.Cancel{Job: stager.JobID(fmt.Sprint("flood", index))}})
			}
			fixture.run()
			fixture.c.Check(fixture.placed, qt.DeepEquals, []string{"other"})
			continue
		}
		fixture.run()
		fixture.c.Check(fixture.placed, qt.HasLen, burst+11)
	}
}

// TestGivenUpJobsStart guards against a job that starves: once the room is not needed by
// others, jobs whose callers have left and those beyond a weight are served.
func TestGivenUpJobsStart(t *testing.T) {
	fixture := newFixture(t, 1, false)
	fixture.setRanks()
	fixture.submit("old", "draw", step(1, 8, 100))
	fixture.now += 60_000
	fixture.submit("new", "swap", step(1, 8, 100))
	fixture.run()
	fixture.c.Check(fixture.placed, qt.DeepEquals, []string{"new"})
	fixture.apply(stager.Command{End: &stager.End{Task: stager.TaskID{StepID: stager.StepID{Job: "new"}}, Attempt: 1, How: stager.Succeeding}})
	fixture.run()
	fixture.c.Check(fixture.placed, qt.DeepEquals, []string{"old"})
}

// TestNoQuestionWaitsForAnAdviser guards against room that is kept idle for a step whose
// question waits behind others: no more are asked than can be answered, most urgent first,
// and a step that is not asked keeps no room.
func TestNoQuestionWaitsForAnAdviser(t *testing.T) {
	fixture := newFixture(t, 4, true)
	fixture.setRanks()
	for _, queue := range fixture.state.Queues {
		queue.Advised.Decide = 500 * time.Millisecond
	}
	free := 2
	fixture.adviserFree = func(time.Duration) bool { return len(fixture.questions) < free }
	for index := range 6 {
		gang := step(4, 8, modeller.Millis(5000-index))
		gang.Gang = true
		fixture.submit(fmt.Sprint("gang", index), "draw", gang)
	}
	fixture.submit("urgent", "swap", step(1, 2, 9000))
	summary := fixture.run()
	asked := []string{}
	for _, question := range fixture.questions {
		asked = append(asked, string(question.Step.Job))
	}
	fixture.c.Check(asked, qt.DeepEquals, []string{"urgent", "gang5"})
	fixture.c.Check(summary, qt.Equals, allotter.Summary{Asking: 2, NoAdviser: 5})
	for id, approval := range fixture.approvals {
		fixture.c.Check(len(approval.PendingPlacement) == 0 || approval.Asking, qt.IsTrue, qt.Commentf("%s keeps room without a question", id))
	}
}

// TestUrgentStepsKeepRoomForTheirAnswer guards against questions that are asked in vain on a
// full fleet: the room that a short question was about goes to patient work before the
// answer comes.
func TestUrgentStepsKeepRoomForTheirAnswer(t *testing.T) {
	fixture := newFixture(t, 1, true)
	fixture.setRanks()
	fixture.submit("patient", "draw", step(2, 8, 5000))
	fixture.approval(stager.StepID{Job: "patient"}).Tickets["w00"] = allotter.Ticket{Ticket: "t", Life: 1, Until: fixture.now + 1000}
	fixture.submit("urgent", "swap", step(1, 2, 100))
	for range 2 {
		fixture.run()
		fixture.c.Check(fixture.placed, qt.HasLen, 0, qt.Commentf("the room is kept while the question is on its way"))
	}
	fixture.answer(allotter.Question{Step: stager.StepID{Job: "urgent"}, Workers: []modeller.WorkerName{"w00"}}, func(modeller.WorkerName) bool { return true })
	fixture.run()
	fixture.c.Check(fixture.placed, qt.DeepEquals, []string{"urgent"})
}

// TestAGangAwaitsRoomWhileItsTicketsAreValid guards against a gang that asks again and again:
// the room of its approved workers becomes free a little later than forecast, so it asks
// about others that are free now, and keeps their room idle for the time of the answer.
func TestAGangAwaitsRoomWhileItsTicketsAreValid(t *testing.T) {
	fixture := newFixture(t, 4, true)
	fixture.submit("running", "swap", step(1, 8, 100))
	fixture.approval(stager.StepID{Job: "running"}).Tickets["w00"] = allotter.Ticket{Ticket: "t", Life: 1, Until: fixture.now + 1000}
	fixture.run()
	gang := step(2, 8, 1000)
	gang.Gang = true
	fixture.submit("gang", "draw", gang)
	approval := fixture.approval(stager.StepID{Job: "gang"})
	for index, until := range []modeller.Millis{900, 900, -1, -1} {
		approval.Tickets[modeller.WorkerName(fmt.Sprintf("w%02d", index))] = allotter.Ticket{Ticket: "t", Life: 1, Until: fixture.now + until}
	}
	fixture.submit("filler", "draw", step(4, 8, 9000))
	fixture.endings = map[modeller.WorkerName][]allotter.ExpectedRelease{"w00": {{At: fixture.now + 300, Size: modeller.Resources{MilliProcessors: 8000, MemoryMiB: 100}}}}
	fixture.run()
	for _, question := range fixture.questions {
		fixture.c.Check(question.Step.Job, qt.Equals, stager.JobID("filler"))
	}
	fixture.now += 300
	fixture.apply(stager.Command{End: &stager.End{Task: stager.TaskID{StepID: stager.StepID{Job: "running"}}, Attempt: 1, How: stager.Succeeding}})
	fixture.endings = nil
	fixture.run()
	fixture.c.Check(fixture.placed, qt.DeepEquals, []string{"gang", "gang"})
}

// TestRoomIsNeverPromisedTwice draws loads and answers of advisers. What is kept for
// questions on their way must fit beside what runs.
func TestRoomIsNeverPromisedTwice(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		fixture := newFixture(t, rapid.IntRange(1, 6).Draw(r, "workers"), true)
		fixture.setRanks()
		free := rapid.IntRange(0, 4).Draw(r, "advisers")
		fixture.adviserFree = func(time.Duration) bool { return len(fixture.questions) < free }
		for pass := range rapid.IntRange(1, 8).Draw(r, "passes") {
			for index := range rapid.IntRange(0, 4).Draw(r, "jobs") {
				submitted := step(rapid.Uint32Range(1, 5).Draw(r, "tasks"), rapid.Int64Range(1, 8).Draw(r, "cores"), rapid.SampledFrom([]modeller.Millis{50, 500, 5000}).Draw(r, "time"))
				queue := rapid.SampledFrom([]string{"swap", "draw"}).Draw(r, "queue")
				submitted.Gang = queue == "draw" && rapid.Bool().Draw(r, "gang")
				fixture.submit(fmt.Sprintf("%d-%d", pass, index), queue, submitted)
			}
			fixture.run()
			fixture.checkPromises(r)
			for _, question := range slices.Clone(fixture.questions) {
				if rapid.Bool().Draw(r, "answered") {
					fixture.answer(question, func(modeller.WorkerName) bool { return rapid.Bool().Draw(r, "approved") })
				}
			}
			fixture.now += rapid.SampledFrom([]modeller.Millis{10, 100, 1200}).Draw(r, "later")
		}
	})
}

// checkPromises fails if the room that is kept for questions on their way does not fit beside
// what runs.
func (fixture *fixture) checkPromises(r *rapid.T) {
	pending := make(map[modeller.WorkerName]int64)
	for id, approval := range fixture.approvals {
		for _, name := range approval.PendingPlacement {
			if approval.Asking {
				pending[name] += fixture.state.Jobs[id.Job].Steps[id.Step].Size.MilliProcessors
			}
		}
	}
	for name, kept := range pending {
		worker := fixture.state.Workers[name]
		if kept+worker.Used().MilliProcessors > worker.Capacity.MilliProcessors {
			r.Fatalf("%s: %d kept beside %d of %d", name, kept, worker.Used().MilliProcessors, worker.Capacity.MilliProcessors)
		}
	}
}
