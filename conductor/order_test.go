package conductor_test

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/stager"
)

// TestEndsOfALostWorkerAreLoggedInOrder loses a worker that runs eight tasks. Their
// ends must be logged in the order of the tasks: of several checkpoints of a gang the
// last one in the log is kept, so another order would lead to another state.
func TestEndsOfALostWorkerAreLoggedInOrder(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(t, nil)
	var ends []stager.TaskID
	fleet.mutex.Lock()
	fleet.onBatch = func(batch *stager.Batch) {
		for _, command := range batch.Commands {
			if command.End != nil {
				ends = append(ends, command.End.Task)
			}
		}
	}
	fleet.mutex.Unlock()
	fleet.announce("w0", 8)
	fleet.submit("j", singleCoreStep(8))
	fleet.await("all tasks run", func() bool { return len(fleet.running["w0"]) == 8 })
	fleet.announceWorker(t.Context(), &stager.Announcement{Worker: stager.Worker{Name: "w0", Life: 1}, Gone: true})
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	c.Check(ends, qt.HasLen, 8)
	c.Check(slices.IsSortedFunc(ends, stager.TaskID.Compare), qt.IsTrue, qt.Commentf("%v", ends))
}
