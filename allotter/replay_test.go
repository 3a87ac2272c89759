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
)

// TestAPassReplaysExactly draws a fleet and its waiting jobs, and runs the same
// passes on two copies of the state. Go iterates over each map in a new order, so
// a decision that depends on such an order differs between the copies.
func TestAPassReplaysExactly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(2, 12).Draw(t, "workers")
		advised := rapid.Bool().Draw(t, "advised")
		original := newFixture(&testing.T{}, workers, advised)
		for index := range rapid.IntRange(1, 8).Draw(t, "jobs") {
			original.submit(fmt.Sprint("job", index), rapid.SampledFrom([]string{"swap", "draw"}).Draw(t, "queue"), drawStep(t))
		}
		decide := func() []string {
			copied := newFixture(&testing.T{}, workers, advised)
			copied.state = original.state.Clone()
			return copied.decisions()
		}
		if first, second := decide(), decide(); !slices.Equal(first, second) {
			t.Fatalf("the same input led to %v and to %v", first, second)
		}
	})
}

// drawStep draws a step of few sizes, so that several workers and racks are
// equally good for it.
func drawStep(t *rapid.T) stager.Step {
	drawn := step(uint32(rapid.IntRange(1, 6).Draw(t, "tasks")), int64(rapid.IntRange(1, 4).Draw(t, "cores")), 1000)
	drawn.Gang = rapid.Bool().Draw(t, "gang")
	drawn.OneRack = rapid.Bool().Draw(t, "one rack")
	drawn.MostPerWorker = uint32(rapid.IntRange(0, 2).Draw(t, "most per worker"))
	return drawn
}

// decisions runs two passes, approves every second worker that the first one asks
// about, and returns the questions and the placements.
func (fixture *fixture) decisions() []string {
	fixture.run()
	found := slices.Clone(fixture.placed)
	for _, question := range fixture.questions {
		found = append(found, fmt.Sprint(question))
		fixture.answer(question, func(name modeller.WorkerName) bool { return name[len(name)-1]%2 == 0 })
	}
	fixture.run()
	for _, question := range fixture.questions {
		found = append(found, fmt.Sprint(question))
	}
	for _, job := range fixture.state.Open() {
		for index, task := range job.StepTasks(0, 0) {
			found = append(found, fmt.Sprint(job.ID, index, task.Worker, task.Attempt))
		}
	}
	return found
}

// TestOfEqualRacksTheFirstIsTaken places a gang that needs one rack where two are
// equally good, 50 times.
func TestOfEqualRacksTheFirstIsTaken(t *testing.T) {
	c := qt.New(t)
	for range 50 {
		fixture := newFixture(t, 8, false)
		gang := step(2, 4, 1000)
		gang.Gang, gang.OneRack = true, true
		fixture.submit("g", "draw", gang)
		c.Assert(fixture.run(), qt.Equals, allotter.Summary{Placed: 1})
		c.Assert(fixture.state.Jobs["g"].StepTasks(0, 0)[0].Worker, qt.Equals, modeller.WorkerName("w00"))
	}
}
