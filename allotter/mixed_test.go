package allotter_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/allotter"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// TestAQuestionsRoomIsReservedOnceForAStepWithSuspects guards against room that is reserved
// a second time, as a whole worker, for the suspects of a step whose other tasks were asked
// about.
func TestAQuestionsRoomIsReservedOnceForAStepWithSuspects(t *testing.T) {
	fixture := newFixture(t, 2, true)
	fixture.submit("mixed", "swap", step(2, 1, 1000))
	job := fixture.state.Jobs["mixed"]
	job.Crashes = map[uint32]stager.Crashes{0: {Total: 1, JustBegun: 1}}
	fixture.c.Assert(job.Suspect(stager.TaskID{StepID: stager.StepID{Job: "mixed"}}), qt.IsTrue)
	approval := fixture.approval(stager.StepID{Job: "mixed"})
	approval.Asking, approval.PendingPlacement = true, []modeller.WorkerName{"w00"}
	fixture.submit("other", "draw", step(1, 7, 1000))
	fixture.approval(stager.StepID{Job: "other"}).Tickets["w00"] = allotter.Ticket{Ticket: "t", Life: 1, Until: fixture.now + 1000}
	fixture.run()
	fixture.c.Check(fixture.placed, qt.DeepEquals, []string{"other"})
}
