package allotter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/allotter"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// These are the validity of tickets, the time of an answer and the time between passes.
const validity, answerTime, passTime modeller.Millis = 3000, 450, 100

// TestAGangStartsBesideWorkersThatOverrun guards against a gang that asks again and again for
// the workers that it was approved for, on which tasks run longer than expected, beside
// others that have room. It allows for the validity of its tickets and two answers.
func TestAGangStartsBesideWorkersThatOverrun(t *testing.T) {
	for _, scarce := range []bool{true, false} {
		fixture := newFixture(t, 8, true)
		for _, queue := range fixture.state.Queues {
			queue.Advised.Decide = 400 * time.Millisecond
		}
		fixture.approve("running", "w00", "w01")
		fixture.submit("running", "swap", step(2, 8, 100))
		fixture.run()
		gang := step(2, 8, 1000)
		gang.Gang = true
		fixture.submit("gang", "draw", gang)
		fixture.approve("gang", "w00", "w01")
		if scarce {
			fixture.submit("wide", "draw", step(20, 8, 60_000))
			fixture.approval(stager.StepID{Job: "wide"}).Asking = true
		}
		fixture.passesWithOverrun(validity + 2*answerTime + 2*passTime)
		fixture.c.Check(fixture.state.Jobs["gang"].Live(), qt.Equals, uint32(2), qt.Commentf("scarce: %v", scarce))
	}
}

// approve gives a job's step valid tickets for workers.
func (fixture *fixture) approve(job stager.JobID, workers ...modeller.WorkerName) {
	for _, name := range workers {
		fixture.approval(stager.StepID{Job: job}).Tickets[name] = allotter.Ticket{Ticket: "t", Life: 1, Until: fixture.now + validity}
	}
}

// passesWithOverrun makes passes for a time, in which the tasks on two workers are always
// expected to end soon, and answers the gang's questions with approvals.
func (fixture *fixture) passesWithOverrun(span modeller.Millis) {
	var asked []modeller.WorkerName
	var due modeller.Millis
	for until := fixture.now + span; fixture.now < until; fixture.now += passTime {
		release := allotter.ExpectedRelease{At: fixture.now + 300, Size: modeller.Resources{MilliProcessors: 8000, MemoryMiB: 100}}
		fixture.endings = map[modeller.WorkerName][]allotter.ExpectedRelease{"w00": {release}, "w01": {release}}
		if len(asked) > 0 && fixture.now >= due {
			fixture.approval(stager.StepID{Job: "gang"}).ClearQuestion()
			fixture.approve("gang", asked...)
			asked = nil
		}
		fixture.run()
		for _, question := range fixture.questions {
			if question.Step.Job == "gang" {
				asked, due = question.Workers, fixture.now+answerTime
			}
		}
	}
}
