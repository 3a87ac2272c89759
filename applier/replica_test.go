package applier_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// newRunningState returns a state with one client account whose queue accepts
// work without a key, one worker, and one placed job with that many tasks.
func newRunningState(c *qt.C, queue modeller.Queue, tasks uint32) *applier.State {
	state := applier.New("c")
	queue.Name, queue.OpenToAll, queue.Urgency, queue.MaxWaiting = "q", true, modeller.Ordinary, 100
	queue.Size = modeller.Resources{MilliProcessors: 100, MemoryMiB: 10}
	template := modeller.Template{
		Name: "a", ClientAccount: "a", Share: 1, Queues: []modeller.Queue{queue},
		Limit: modeller.Limit{Tasks: 100, Resources: modeller.Resources{MilliProcessors: 100_000, MemoryMiB: 100_000}},
	}
	worker := modeller.WorkerDescription{Name: "w", Incarnation: 1, Slots: 16, Capacity: modeller.Resources{MilliProcessors: 100_000, MemoryMiB: 100_000}}
	place := &applier.Place{Job: 1}
	for index := range tasks {
		place.Tasks = append(place.Tasks, applier.Placement{Index: index, Attempt: 1, Worker: "w", Incarnation: 1})
	}
	for offset, command := range []*applier.Command{
		{RequestID: "t", ApplyTemplate: &applier.ApplyTemplate{Template: template}},
		{JoinWorker: &applier.JoinWorker{Worker: worker}},
		{RequestID: "s", Submit: &applier.Submit{ClientAccount: "a", Queue: "q", Work: modeller.Work{Tasks: tasks}}},
		{Place: place},
	} {
		command.Cell = "c"
		c.Assert(state.Apply(uint64(offset+1), command).Code, qt.Equals, coder.OK)
	}
	_ = state.Events()
	return state
}

// TestLostWorkerEventsAreInTaskOrder guards against events in map order, which
// would differ between replicas.
func TestLostWorkerEventsAreInTaskOrder(t *testing.T) {
	c := qt.New(t)
	for range 10 {
		state := newRunningState(c, modeller.Queue{Kind: modeller.Batch, Idempotent: true}, 8)
		state.Apply(9, &applier.Command{Cell: "c", LoseWorker: &applier.LoseWorker{Worker: "w", Incarnation: 1}})
		events := state.Events()
		c.Assert(events, qt.HasLen, 9)
		for index := range 8 {
			c.Assert(events[index].Task.Index, qt.Equals, uint32(index))
		}
	}
}

func reportSucceeded(state *applier.State, answer *modeller.Answer) applier.Result {
	report := &applier.Report{Task: modeller.TaskID{Job: 1}, Attempt: 1, Worker: "w", Incarnation: 1, Phase: modeller.PhaseSucceeded, Answer: answer}
	return state.Apply(state.Index+1, &applier.Command{Cell: "c", Report: report})
}

func TestOnlyIntactAnswersAreStored(t *testing.T) {
	c := qt.New(t)
	damaged := &modeller.Answer{Body: []byte("x"), Length: 1, Checksum: 1}
	intact := &modeller.Answer{Body: []byte("x"), Length: 1, Checksum: checksumOfX}
	state := newRunningState(c, modeller.Queue{Kind: modeller.Batch}, 1)
	c.Assert(reportSucceeded(state, damaged).Code, qt.Equals, coder.AnswerCorrupt)
	c.Assert(reportSucceeded(state, &modeller.Answer{Body: []byte("x"), Length: 2, Checksum: checksumOfX}).Code, qt.Equals, coder.AnswerCorrupt)
	c.Assert(reportSucceeded(state, intact).Code, qt.Equals, coder.OK)
	c.Assert(state.Jobs[1].Outcome, qt.Equals, modeller.Succeeded)
	c.Assert(reportSucceeded(state, intact).Code, qt.Equals, coder.StaleAttempt)

	state = newRunningState(c, modeller.Queue{Kind: modeller.Batch}, 1)
	for range 3 {
		reportSucceeded(state, damaged)
	}
	c.Assert(state.Jobs[1].Outcome, qt.Equals, modeller.Failed)
	c.Assert(state.Jobs[1].Code, qt.Equals, coder.AnswerCorrupt)
	c.Assert(state.Jobs[1].Tasks[0].Answer, qt.IsNil)

	state = newRunningState(c, modeller.Queue{Kind: modeller.Batch, Idempotent: true, MaxRetries: 5}, 1)
	reportSucceeded(state, &modeller.Answer{Body: make([]byte, applier.MaxAnswerBytes+1)})
	c.Assert(state.Jobs[1].Outcome, qt.Equals, modeller.Failed)
	c.Assert(state.Jobs[1].Code, qt.Equals, coder.AnswerTooLarge)
}
