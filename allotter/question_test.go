package allotter_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/allotter"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// TestAWideStepAsksAboutAllWorkersItNeedsAtOnce guards against one question after the
// other about 30 workers each for a step of 40 tasks.
func TestAWideStepAsksAboutAllWorkersItNeedsAtOnce(t *testing.T) {
	fixture := newFixture(t, 100, true)
	fixture.submit("wide", "draw", step(40, 5, 3000))
	fixture.run()
	fixture.c.Assert(fixture.questions, qt.HasLen, 1)
	fixture.c.Check(len(fixture.questions[0].Workers), qt.Equals, 80, qt.Commentf("half of them are expected to be approved"))
}

// TestARunningStepDoesNotAskAboutEachWorkerThatBecomesFree guards against questions
// without end on a full fleet.
func TestARunningStepDoesNotAskAboutEachWorkerThatBecomesFree(t *testing.T) {
	const workers, approved, free = 60, 30, 20
	for name, test := range map[string]struct {
		running         bool
		free, questions int
	}{
		"it waits for its approved workers":    {running: true, free: 1, questions: 0},
		"a question would start several":       {running: true, free: free, questions: 1},
		"nothing of it runs, so it must begin": {running: false, free: 1, questions: 1},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t, workers, true)
			place := func(job string, task, worker int) {
				fixture.apply(stager.Command{Place: &stager.Place{Step: stager.StepID{Job: stager.JobID(job)}, Tasks: []stager.TaskPlacement{
					{Index: uint32(task), Attempt: 1, Worker: modeller.WorkerName(fmt.Sprintf("w%02d", worker)), Life: 1},
				}}})
			}
			fixture.submit("wide", "draw", step(11, 5, 3000))
			fixture.submit("old", "swap", step(workers, 5, 1000))
			if test.running {
				place("wide", 0, 0)
			} else {
				place("old", 0, 0)
			}
			for index := 1; index < workers-test.free; index++ {
				place("old", index, index)
			}
			approval := fixture.approval(stager.StepID{Job: "wide"})
			for index := range approved {
				approval.Tickets[modeller.WorkerName(fmt.Sprintf("w%02d", index))] = allotter.Ticket{Ticket: "t", Life: 1, Until: fixture.now + 1000}
			}
			fixture.approval(stager.StepID{Job: "old"}).Asking = true
			fixture.run()
			fixture.c.Check(fixture.questions, qt.HasLen, test.questions)
		})
	}
}

// TestAGangAsksAboutEmptyWorkersWhileTheApprovedOnesAreFull guards against a gang that waits
// beside empty workers because its adviser approved of few others. The four empty workers
// were on trial, and so no candidates, when the first question was asked.
func TestAGangAsksAboutEmptyWorkersWhileTheApprovedOnesAreFull(t *testing.T) {
	const workers, approved, asked = 17, 3, 13
	fixture := newFixture(t, workers, true)
	fixture.submit("old", "swap", step(approved, workerCores, 4000))
	fixture.endings = make(map[modeller.WorkerName][]allotter.ExpectedRelease)
	gang := step(2, 2, 3000)
	gang.Gang = true
	fixture.submit("gang", "draw", gang)
	approval := fixture.approval(stager.StepID{Job: "gang"})
	for index := range asked {
		name := modeller.WorkerName(fmt.Sprintf("w%02d", index))
		if index >= approved {
			approval.Refused[name] = 1
			continue
		}
		fixture.apply(stager.Command{Place: &stager.Place{Step: stager.StepID{Job: "old"}, Tasks: []stager.TaskPlacement{{Index: uint32(index), Attempt: 1, Worker: name, Life: 1}}}})
		fixture.endings[name] = []allotter.ExpectedRelease{{At: fixture.now + 4000, Size: fixture.state.Workers[name].Capacity}}
		approval.Tickets[name] = allotter.Ticket{Ticket: "t", Life: 1, Until: fixture.now + 1000}
	}
	fixture.run()
	fixture.c.Assert(fixture.questions, qt.HasLen, 1)
	fixture.c.Check(fixture.questions[0].Workers, qt.ContentEquals, []modeller.WorkerName{"w13", "w14", "w15", "w16"})
}
