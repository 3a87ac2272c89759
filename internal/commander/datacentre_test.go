package commander_test

import (
	"testing"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// TestDataCentreCommands guards against an order that needs a RequestID by hand, one that
// is sent again and takes effect again, and a list that does not show the state.
func TestDataCentreCommands(t *testing.T) {
	fakeEntry := startFakeEntry(t)
	worker := modeller.WorkerDescription{Name: "w", Incarnation: 1, Slots: 1, DataCentre: "north", Capacity: modeller.Resources{MilliProcessors: 1000, MemoryMiB: 1000}}
	_, _ = fakeEntry.propose(t.Context(), &applier.Command{JoinWorker: &applier.JoinWorker{Worker: worker}})
	fakeEntry.runSteps(t, []step{
		{[]string{"data-centre", "list"}, 0, []string{`north +InService +- +1 +0`}},
		{[]string{"data-centre", "evacuate", "-request", "first", "north"}, 0, []string{"OK"}},
		{[]string{"data-centre", "list"}, 0, []string{`north +Evacuated +19`}},
		{[]string{"data-centre", "restore", "north"}, 0, []string{"OK"}},
		{[]string{"data-centre", "evacuate", "-request", "first", "north"}, 0, []string{"Duplicate"}},
		{[]string{"data-centre", "list"}, 0, []string{`north +Restored`}},
		{[]string{"data-centre", "evacuate"}, 1, []string{"name one data centre"}},
		{[]string{"history", "-kind", "Evacuate"}, 0, []string{"evacuated data centre north, request first", "restored data centre north"}},
	})
}
