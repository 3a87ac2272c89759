package planner_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/planner"
	"github.com/dotterelrill/dotterelrill/stager"
)

// TestNothingIsPlannedInAnEvacuatedDataCentre guards against placements there, and against
// a data centre that gets none after it was restored.
func TestNothingIsPlannedInAnEvacuatedDataCentre(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(1, planner.Mechanisms{})
	fixture.template("a", 100)
	fixture.join("north", 4, "r1", "n")
	fixture.join("south", 4, "r2", "s")
	fixture.submit("a", "bulk", 2, 1)
	fixture.plan()
	order := func(id modeller.RequestID, withdrawn bool) {
		evacuate := &stager.Evacuate{DataCentre: "n", Withdrawn: withdrawn}
		c.Assert(fixture.apply(&applier.Command{RequestID: id, Evacuate: evacuate}).Code, qt.Equals, coder.OK)
	}
	order("e", false)
	before := len(fixture.state.LiveOn("north"))
	fixture.submit("a", "bulk", 8, 1)
	commands, results := fixture.plan()
	for index := range results {
		c.Check(results[index].Code, qt.Equals, coder.OK, qt.Commentf("%+v", commands[index]))
	}
	c.Check(fixture.state.LiveOn("north"), qt.HasLen, before)
	for _, id := range fixture.state.LiveOn("north") {
		c.Check(fixture.state.Jobs[id.Job].Tasks[id.Index].State, qt.Equals, modeller.TaskStopping, qt.Commentf("a task that was placed and not reported"))
	}
	c.Check(fixture.state.LiveOn("south"), qt.HasLen, 4)
	order("r", true)
	fixture.now += 1000
	fixture.plan()
	c.Check(len(fixture.state.LiveOn("north")) > before, qt.IsTrue)
}
