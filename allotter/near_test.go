package allotter_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelrill/dotterelrill/allotter"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
	"github.com/dotterelrill/dotterelrill/waiter"
)

// newNearFixture returns a fixture of three racks of two workers, of which those of rack r0
// run 6 of their 8 cores full until 200 and 300 ms from now. Tasks run half as
// long again elsewhere.
func newNearFixture(t *testing.T, advised bool) *fixture {
	fixture := newFixture(t, 6, advised)
	fixture.now = 20_000
	fixture.waiter = waiter.New(waiter.Config{Penalty: 1.5})
	fixture.endings = make(map[modeller.WorkerName][]allotter.ExpectedRelease)
	for index, left := range []modeller.Millis{200, 300} {
		fixture.occupy(fmt.Sprint("old", index), modeller.WorkerName(fmt.Sprintf("w%02d", index)), fixture.now+left)
	}
	return fixture
}

// occupy lets a task of 6 cores run on a worker, and be expected to end at a time.
func (fixture *fixture) occupy(job string, worker modeller.WorkerName, end modeller.Millis) {
	fixture.submit(job, "swap", step(1, 6, 1000))
	fixture.apply(stager.Command{Place: &stager.Place{Step: stager.StepID{Job: stager.JobID(job)}, Tasks: []stager.TaskPlacement{{Attempt: 1, Worker: worker, Life: 1}}}})
	fixture.endings[worker] = []allotter.ExpectedRelease{{At: end, Size: modeller.Resources{MilliProcessors: 6000, MemoryMiB: 100}}}
}

// vacate ends the task of occupy.
func (fixture *fixture) vacate(job string) {
	id := stager.TaskID{StepID: stager.StepID{Job: stager.JobID(job)}}
	delete(fixture.endings, fixture.state.Jobs[id.Job].Task(id).Worker)
	fixture.apply(stager.Command{End: &stager.End{Task: id, Attempt: 1, How: stager.Succeeding}})
}

// nearStep returns a step of whole workers whose data is in rack r0.
func nearStep(tasks uint32, runTime modeller.Millis) stager.Step {
	near := step(tasks, workerCores, runTime)
	near.DataRack = "r0"
	return near
}

// submitLate submits a job that is late already, so that all others go before it.
func (fixture *fixture) submitLate(id string, step stager.Step) {
	fixture.now -= 9000
	fixture.submit(id, "draw", step)
	fixture.now += 9000
}

// workersOf returns the workers on which a job's first step is placed.
func (fixture *fixture) workersOf(job stager.JobID) []modeller.WorkerName {
	var workers []modeller.WorkerName
	for _, task := range fixture.state.Jobs[job].StepTasks(0, 0) {
		if task.Live {
			workers = append(workers, task.Worker)
		}
	}
	return workers
}

// TestAStepWaitsForRoomNearItsData guards against a far worker that is taken at once, and
// against the room that the step waits for being taken by work that ends later, or not
// lent to work that ends before.
func TestAStepWaitsForRoomNearItsData(t *testing.T) {
	fixture := newNearFixture(t, false)
	fixture.submit("near", "draw", nearStep(1, 2000))
	fixture.submit("long", "draw", step(1, 2, 9000))
	fixture.run()
	fixture.c.Check(fixture.placed, qt.DeepEquals, []string{"long"})
	fixture.c.Check(fixture.workersOf("long"), qt.DeepEquals, []modeller.WorkerName{"w01"}, qt.Commentf("the fullest worker but the one that is waited for"))
	fixture.submitLate("short", step(1, 2, 100))
	fixture.run()
	fixture.c.Check(fixture.placed, qt.DeepEquals, []string{"short"})
	fixture.c.Check(fixture.workersOf("short"), qt.DeepEquals, []modeller.WorkerName{"w00"})
	fixture.apply(stager.Command{End: &stager.End{Task: stager.TaskID{StepID: stager.StepID{Job: "short"}}, Attempt: 1, How: stager.Succeeding}})
	fixture.now += 210
	fixture.vacate("old0")
	fixture.run()
	fixture.c.Check(fixture.workersOf("near"), qt.DeepEquals, []modeller.WorkerName{"w00"})
	_, waits := fixture.waiter.Wait(stager.StepID{Job: "near"})
	fixture.c.Check(waits, qt.IsFalse)
}

// TestAWaitEndsWhenNearRoomIsNoLongerExpected guards against a step that goes on waiting for
// a rack that has failed, or that a burst of more urgent work has filled.
func TestAWaitEndsWhenNearRoomIsNoLongerExpected(t *testing.T) {
	for name, happen := range map[string]func(*fixture){
		"rack fails": func(fixture *fixture) {
			for index := range 2 {
				fixture.apply(stager.Command{End: &stager.End{Task: stager.TaskID{StepID: stager.StepID{Job: stager.JobID(fmt.Sprint("old", index))}}, Attempt: 1, How: stager.Losing}})
			}
			fixture.gone = map[modeller.WorkerName]bool{"w00": true, "w01": true}
		},
		"burst": func(fixture *fixture) {
			for index := range 2 {
				fixture.vacate(fmt.Sprint("old", index))
				fixture.occupy(fmt.Sprint("burst", index), modeller.WorkerName(fmt.Sprintf("w%02d", index)), fixture.now+5000)
			}
		},
		"forecast slips": func(fixture *fixture) {
			for worker := range fixture.endings {
				fixture.endings[worker][0].At = fixture.now + 2500
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newNearFixture(t, false)
			fixture.submit("near", "draw", nearStep(2, 2000))
			fixture.run()
			fixture.c.Assert(fixture.placed, qt.HasLen, 0)
			fixture.now += 100
			happen(fixture)
			fixture.run()
			fixture.c.Check(fixture.workersOf("near"), qt.HasLen, 2)
		})
	}
}

// TestALateJobDoesNotWait guards against waits of jobs that are late already, and of those
// that are on time only if they start elsewhere at once.
func TestALateJobDoesNotWait(t *testing.T) {
	for _, passed := range []modeller.Millis{2180, 2600, 9000} {
		fixture := newNearFixture(t, false)
		fixture.submit("near", "draw", nearStep(1, 1000))
		fixture.now += passed
		for worker := range fixture.endings {
			fixture.endings[worker][0].At += passed
		}
		fixture.run()
		fixture.c.Check(slices.Contains(fixture.placed, "near"), qt.IsTrue, qt.Commentf("%d ms", passed))
	}
}

// TestNoQuestionAboutFarWorkersWhileAWaitPays guards against an adviser that is asked about
// workers that the step would not use, and against near room that stands idle until an
// answer comes.
func TestNoQuestionAboutFarWorkersWhileAWaitPays(t *testing.T) {
	fixture := newNearFixture(t, true)
	fixture.state.Queues["draw"].Advised.Decide = 50_000_000
	fixture.submit("near", "draw", nearStep(1, 2000))
	fixture.run()
	fixture.c.Check(fixture.questions, qt.HasLen, 0)
	fixture.now += 160
	fixture.run()
	fixture.c.Assert(fixture.questions, qt.HasLen, 1)
	fixture.c.Check(fixture.questions[0].Workers, qt.DeepEquals, []modeller.WorkerName{"w00", "w01"})
	fixture.answer(fixture.questions[0], func(modeller.WorkerName) bool { return true })
	fixture.now += 50
	fixture.vacate("old0")
	fixture.run()
	fixture.c.Check(fixture.workersOf("near"), qt.DeepEquals, []modeller.WorkerName{"w00"})
}

// TestFarWorkersAreAskedAboutWhenNearOnesAreRefused guards against a wait for workers that
// the adviser does not approve.
func TestFarWorkersAreAskedAboutWhenNearOnesAreRefused(t *testing.T) {
	fixture := newNearFixture(t, true)
	fixture.submit("near", "draw", nearStep(1, 2000))
	fixture.now += 200
	fixture.run()
	fixture.c.Assert(fixture.questions, qt.HasLen, 1)
	fixture.answer(fixture.questions[0], func(modeller.WorkerName) bool { return false })
	fixture.run()
	fixture.c.Assert(fixture.questions, qt.HasLen, 1)
	fixture.c.Check(fixture.questions[0].Workers, qt.DeepEquals, []modeller.WorkerName{"w02", "w03", "w04", "w05"})
}

// TestAGangWaitsForOneRack guards against a gang that starts over several racks although one
// can hold it soon, and against its room being kept from work that ends before.
func TestAGangWaitsForOneRack(t *testing.T) {
	for _, advised := range []bool{false, true} {
		t.Run(fmt.Sprint("advised ", advised), func(t *testing.T) {
			fixture := newNearFixture(t, advised)
			fixture.gone = map[modeller.WorkerName]bool{"w03": true, "w05": true}
			gang := step(2, 8, 3000)
			gang.Gang, gang.OneRack = true, true
			fixture.submit("gang", "draw", gang)
			if advised {
				approval := fixture.approval(stager.StepID{Job: "gang"})
				for name := range fixture.state.Workers {
					approval.Tickets[name] = allotter.Ticket{Ticket: "t", Life: 1, Until: 100_000}
				}
			}
			fixture.run()
			fixture.c.Check(fixture.placed, qt.HasLen, 0)
			wait, _ := fixture.waiter.Wait(stager.StepID{Job: "gang"})
			fixture.c.Check(wait.Rack, qt.Equals, modeller.RackName("r0"))
			fixture.now += 310
			fixture.vacate("old0")
			fixture.vacate("old1")
			fixture.run()
			fixture.c.Check(fixture.workersOf("gang"), qt.DeepEquals, []modeller.WorkerName{"w00", "w01"})
		})
	}
}

// TestARoomOfAWaitingGangIsLent guards against cores that stand idle while a gang waits for
// one rack.
func TestARoomOfAWaitingGangIsLent(t *testing.T) {
	fixture := newNearFixture(t, false)
	fixture.gone = map[modeller.WorkerName]bool{"w03": true, "w05": true}
	gang := step(2, 8, 3000)
	gang.Gang, gang.OneRack = true, true
	fixture.submit("gang", "draw", gang)
	fixture.submitLate("long", step(10, 2, 500))
	fixture.submitLate("short", step(2, 2, 150))
	fixture.run()
	fixture.c.Check(fixture.workersOf("short"), qt.DeepEquals, []modeller.WorkerName{"w00", "w01"})
	fixture.c.Check(slices.Contains(fixture.workersOf("long"), "w00"), qt.IsFalse)
}

// TestNothingChangesWithoutPenaltyOrRack replays the same views without a waiter, with one
// whose penalty is off, and with one that no step has a rack for. With waits, the same view
// still leads to the same decisions.
func TestNothingChangesWithoutPenaltyOrRack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(2, 12).Draw(t, "workers")
		advised := rapid.Bool().Draw(t, "advised")
		racks := rapid.Bool().Draw(t, "racks")
		original := newFixture(&testing.T{}, workers, advised)
		original.endings = make(map[modeller.WorkerName][]allotter.ExpectedRelease)
		for index := range rapid.IntRange(0, workers).Draw(t, "occupied") {
			original.occupy(fmt.Sprint("old", index), modeller.WorkerName(fmt.Sprintf("w%02d", index)), original.now+modeller.Millis(rapid.IntRange(1, 900).Draw(t, "left")))
		}
		for index := range rapid.IntRange(1, 8).Draw(t, "jobs") {
			drawn := drawStep(t)
			if drawn.OneRack = drawn.OneRack && racks; racks && rapid.Bool().Draw(t, "data") {
				drawn.DataRack = "r0"
			}
			original.submit(fmt.Sprint("job", index), rapid.SampledFrom([]string{"swap", "draw"}).Draw(t, "queue"), drawn)
		}
		decide := func(waiter *waiter.Waiter) []string {
			copied := newFixture(&testing.T{}, workers, advised)
			copied.state, copied.endings, copied.waiter = original.state.Clone(), original.endings, waiter
			return copied.decisions()
		}
		penalty := 1.0
		if !racks {
			penalty = 3
		}
		if before, after := decide(nil), decide(waiter.New(waiter.Config{Penalty: penalty})); !slices.Equal(before, after) {
			t.Fatalf("%v without a waiter, %v with one", before, after)
		}
		if first, second := decide(waiter.New(waiter.Config{Penalty: 3})), decide(waiter.New(waiter.Config{Penalty: 3})); !slices.Equal(first, second) {
			t.Fatalf("the same input led to %v and to %v", first, second)
		}
	})
}
