package allotter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/allotter"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// TestAGangStartsBesideWorkersThatOverrun guards against a gang that asks again and again for
// the workers that it was approved for, on which tasks run longer than expected, beside
// others that have room. It allows for the validity of its tickets and two answers.
func TestAGangStartsBesideWorkersThatOverrun(t *testing.T) {
	const validity, answerTime, pass = 3000, 450, 100
	for _, scarce := range []bool{true, false} {
		fixture := newFixture(t, 8, true)
		for _, queue := range fixture.state.Queues {
			queue.Advised.Decide = 400 * time.Millisecond
		}
		begin := fixture.now
		ticket := func() allotter.Ticket {
			return allotter.Ticket{Ticket: "t", Life: 1, Until: fixture.now + validity}
		}
		approval := fixture.approval(stager.StepID{Job: "running"})
		approval.Tickets["w00"], approval.Tickets["w01"] = ticket(), ticket()
		fixture.submit("running", "swap", step(2, 8, 100))
		fixture.run()
		gang := step(2, 8, 1000)
		gang.Gang = true
		fixture.submit("gang", "draw", gang)
		approval = fixture.approval(stager.StepID{Job: "gang"})
		approval.Tickets["w00"], approval.Tickets["w01"] = ticket(), ticket()
		if scarce {
			fixture.submit("wide", "draw", step(20, 8, 60_000))
			fixture.approval(stager.StepID{Job: "wide"}).Asking = true
		}
		var asked []modeller.WorkerName
		var due modeller.Millis
		for fixture.state.Jobs["gang"].Live() == 0 && fixture.now < begin+validity+2*answerTime+2*pass {
			release := allotter.ExpectedRelease{At: fixture.now + 300, Size: modeller.Resources{MilliProcessors: 8000, MemoryMiB: 100}}
			fixture.endings = map[modeller.WorkerName][]allotter.ExpectedRelease{"w00": {release}, "w01": {release}}
			if len(asked) > 0 && fixture.now >= due {
				approval.ClearQuestion()
				for _, name := range asked {
					approval.Tickets[name] = ticket()
				}
				asked = nil
			}
			fixture.run()
			for _, question := range fixture.questions {
				if question.Step.Job == "gang" {
					asked, due = question.Workers, fixture.now+answerTime
				}
			}
			fixture.now += pass
		}
		fixture.c.Check(fixture.state.Jobs["gang"].Live(), qt.Equals, uint32(2), qt.Commentf("scarce: %v", scarce))
	}
}
