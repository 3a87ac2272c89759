package applier_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/encoder"
	"github.com/dotterelrill/dotterelrill/modeller"
)

const fuzzCell = "test"

// FuzzCommand applies decoded commands to a state with a running job. Apply must
// not panic, and a restored snapshot must have the same checksum.
func FuzzCommand(f *testing.F) {
	c := qt.New(f)
	for _, command := range fuzzSeeds() {
		command.Cell = fuzzCell
		data, err := encoder.Marshal(command)
		c.Assert(err, qt.IsNil)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var command applier.Command
		if encoder.Unmarshal(data, &command) != nil {
			return
		}
		c := qt.New(t)
		state := applier.New(fuzzCell)
		index := uint64(0)
		for _, seed := range fuzzSeeds() {
			index++
			seed.Cell = fuzzCell
			state.Apply(index, &seed)
		}
		for range 2 {
			index++
			command.Cell = fuzzCell
			state.Apply(index, &command)
			state.Events()
		}
		saved, err := state.Snapshot()
		c.Assert(err, qt.IsNil)
		restored, err := applier.Restore(saved)
		c.Assert(err, qt.IsNil)
		want, err := state.Checksum()
		c.Assert(err, qt.IsNil)
		got, err := restored.Checksum()
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.Equals, want)
	})
}

// fuzzSeeds returns commands of most kinds, beginning with those that set up a
// client account, a worker and a running task.
func fuzzSeeds() []applier.Command {
	size := modeller.Resources{MilliProcessors: 1000, MemoryMiB: 100}
	task := modeller.TaskID{Job: 1}
	return []applier.Command{
		{RequestID: "t", ApplyTemplate: &applier.ApplyTemplate{Template: modeller.Template{
			Name: "a", ClientAccount: "a", Share: 1, Limit: modeller.Limit{Resources: modeller.Resources{MilliProcessors: 9000, MemoryMiB: 9000}},
			Queues: []modeller.Queue{{Name: "q", Kind: modeller.Batch, Urgency: modeller.Ordinary, OpenToAll: true, Size: size, MaxWaiting: 9}},
		}}},
		{JoinWorker: &applier.JoinWorker{Worker: modeller.WorkerDescription{Name: "w", Incarnation: 1, Capacity: modeller.Resources{MilliProcessors: 4000, MemoryMiB: 4000}, Slots: 4, Address: "127.0.0.1:1"}}},
		{RequestID: "s", Submit: &applier.Submit{ClientAccount: "a", Queue: "q", Work: modeller.Work{Tasks: 2}}},
		{Place: &applier.Place{Job: 1, Tasks: []applier.Placement{{Index: 0, Attempt: 1, Worker: "w", Incarnation: 1}}}},
		{Report: &applier.Report{Task: task, Attempt: 1, Worker: "w", Incarnation: 1, Phase: modeller.PhaseStarted}},
		{RequestID: "c", Cancel: &applier.Cancel{Job: 1}},
		{LoseWorker: &applier.LoseWorker{Worker: "w", Incarnation: 1, Reason: "r"}},
		{RequestID: "g", GrantKey: &applier.GrantKey{ClientAccount: "a", Key: "k"}},
		{RequestID: "w", WithdrawKey: &applier.WithdrawKey{Key: "k"}},
		{Tick: &applier.Tick{}},
	}
}
