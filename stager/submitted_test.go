package stager_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// TestAnAcceptedJobIsFoundWithoutItsQueue guards against a rejection of a job whose queue
// was removed between two tries of its submission.
func TestAnAcceptedJobIsFoundWithoutItsQueue(t *testing.T) {
	c := qt.New(t)
	state := stager.New()
	state.Queues["q"] = &stager.Queue{Name: "q", Host: "h", Prefix: "/p/"}
	submit := &stager.Submit{ID: "1", Queue: "q", Steps: []stager.Step{{Tasks: 1, Size: modeller.Resources{MilliProcessors: 1}}}}
	c.Assert(state.ApplyCommand(&stager.Command{Submit: submit}), qt.IsNil)
	c.Check(state.Accepted("h", "/p/1"), qt.IsTrue)
	for _, other := range [][2]string{{"h", "/p/2"}, {"g", "/p/1"}, {"h", "/o/1"}, {"h", "1"}, {"h", "/p/"}} {
		c.Check(state.Accepted(other[0], other[1]), qt.IsFalse, qt.Commentf("%v", other))
	}
}
