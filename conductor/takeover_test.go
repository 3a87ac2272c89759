package conductor_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/conductor"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// TestANewLeaderProbesAFewWorkersAtATime lets a new leader take over 1,100 workers, of
// which the last 50 run a task. It must reach these first, and never have more probes
// on their way than it can connect within their timeout.
func TestANewLeaderProbesAFewWorkersAtATime(t *testing.T) {
	const workers, busy, maxProbes = 1100, 50, 100
	c := qt.New(t)
	state := stager.New()
	commands := []stager.Command{{Begin: &stager.Begin{KeepEnded: 100_000}}, {Deploy: deployment()}}
	place := &stager.Place{Step: stager.StepID{Job: "j"}}
	for index := range workers {
		name := modeller.WorkerName(fmt.Sprintf("w%04d", index))
		commands = append(commands, stager.Command{Admit: &stager.Worker{Name: name, Life: 1, Pool: "p", Address: string(name), Capacity: modeller.Resources{MilliProcessors: 1000, MemoryMiB: 1000}}})
		if index >= workers-busy {
			place.Tasks = append(place.Tasks, stager.TaskPlacement{Index: uint32(len(place.Tasks)), Attempt: 1, Worker: name, Life: 1})
		}
	}
	commands = append(commands, stager.Command{Submit: &stager.Submit{ID: "j", ClientAccount: "a", Queue: queue, Steps: []stager.Step{singleCoreStep(busy)}}}, stager.Command{Place: place})
	c.Assert(state.Apply(&stager.Batch{Term: 1, Sequence: 1, Now: 1, Commands: commands}), qt.IsNil)
	gate := make(chan struct{})
	fleet := newGatedFleet(t, state, gate)
	fleet.await("the first probes", func() bool { return len(fleet.holdOrder) == maxProbes })
	fleet.mutex.Lock()
	for at := range place.Tasks {
		c.Check(slices.Contains(fleet.holdOrder, place.Tasks[at].Worker), qt.IsTrue, qt.Commentf("%s", place.Tasks[at].Worker))
	}
	fleet.mutex.Unlock()
	close(gate)
	reached := make(map[modeller.WorkerName]bool)
	fleet.await("a probe of each worker", func() bool {
		for _, name := range fleet.holdOrder {
			reached[name] = true
		}
		return len(reached) == workers
	})
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	c.Check(fleet.maxHolds <= maxProbes+busy, qt.IsTrue, qt.Commentf("%d holds at once", fleet.maxHolds))
}

// TestALateEndOfAnEarlierIncarnationIsIgnored announces that a worker has ended, without
// naming the incarnation, while one that did not announce to leave runs a task. The
// announcement may be that of an earlier incarnation; a task that is taken for lost
// would be run twice.
func TestALateEndOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(t, nil)
	fleet.announceIncarnation("w", 4, 2)
	fleet.submit("j", singleCoreStep(1))
	fleet.await("the start", func() bool { return len(fleet.running["w"]) == 1 })
	fleet.mustAskForSecond(t)
	fleet.mutex.Lock()
	c.Check(fleet.state.Workers["w"], qt.IsNotNil)
	fleet.finish("w", "j.0.0.0", stager.Succeeding)
	fleet.mutex.Unlock()
	fleet.await("the job's end", func() bool { return fleet.status() == stager.Completed })
	fleet.mutex.Lock()
	c.Check(fleet.starts, qt.HasLen, 1)
	fleet.mutex.Unlock()

	worker := stager.Worker{Name: "w", Life: 2, Pool: "p", Address: "w", Leaving: true, Capacity: modeller.Resources{MilliProcessors: 4000, MemoryMiB: 1000}}
	fleet.announceWorker(t.Context(), &stager.Announcement{Worker: worker, Clock: workerClock(), Number: 2})
	fleet.announceWorker(t.Context(), &stager.Announcement{Worker: stager.Worker{Name: "w"}, Gone: true})
	fleet.await("the worker's end", func() bool { return fleet.state.Workers["w"] == nil })
}

// TestALateAnnouncementDoesNotUndoADrainAtTheNextLeader guards against work that is started
// on a draining worker: a late announcement that it is ready reaches a new leader, which
// knows the worker from the log alone, before the worker's next one.
func TestALateAnnouncementDoesNotUndoADrainAtTheNextLeader(t *testing.T) {
	c := qt.New(t)
	first := newFleet(t, nil)
	first.announceIncarnation("w", 4, 2)
	worker := stager.Worker{Name: "w", Life: 2, Pool: "p", Address: "w", Capacity: modeller.Resources{MilliProcessors: 4000, MemoryMiB: 1000}}
	leaving := worker
	leaving.Leaving = true
	first.announceWorker(t.Context(), &stager.Announcement{Worker: leaving, Clock: workerClock(), Number: 3})
	first.mutex.Lock()
	state := first.state.Clone()
	first.mutex.Unlock()
	fleet := newFleet(t, state)
	fleet.mutex.Lock()
	fleet.incarnations["w"] = 2
	fleet.mutex.Unlock()
	fleet.announceWorker(t.Context(), &stager.Announcement{Worker: worker, Clock: workerClock(), Number: 2})
	fleet.mutex.Lock()
	c.Check(fleet.state.Workers["w"].Leaving, qt.IsTrue)
	fleet.mutex.Unlock()
	fleet.announceWorker(t.Context(), &stager.Announcement{Worker: worker, Clock: workerClock(), Number: 4})
	fleet.mutex.Lock()
	c.Check(fleet.state.Workers["w"].Leaving, qt.IsFalse)
	fleet.mutex.Unlock()
}

// TestLateAnnouncementsDoNotReplaceThatOfASuccessor guards against work that is started on a
// draining worker: while tasks of its first incarnation are stopped on the third one, which
// has announced that it drains, an earlier announcement of that one and one of the second
// incarnation arrive.
func TestLateAnnouncementsDoNotReplaceThatOfASuccessor(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(t, nil)
	fleet.announce("w", 4)
	fleet.submit("j", singleCoreStep(1))
	fleet.await("the start", func() bool { return len(fleet.running["w"]) == 1 })
	fleet.mutex.Lock()
	order := fleet.running["w"]["j.0.0.0"]
	fleet.onHold = func(conductor.Target, *conductor.HoldOrder) *conductor.HoldAnswer {
		return &conductor.HoldAnswer{
			Answer: conductor.Answer{Outcome: conductor.Obeyed, Clock: workerClock()}, Life: 3,
			Running: []conductor.RunningAttempt{{Task: order.Task, Attempt: order.Attempt}},
		}
	}
	fleet.incarnations["w"] = 3
	fleet.mutex.Unlock()
	announce := func(incarnation stager.Incarnation, number uint64, leaving bool) *coder.Refusal {
		worker := stager.Worker{Name: "w", Life: incarnation, Pool: "p", Address: "w", Leaving: leaving, Capacity: modeller.Resources{MilliProcessors: 4000, MemoryMiB: 1000}}
		refusals, refusal := fleet.conductor.AnnounceAll(t.Context(), []stager.Announcement{{Worker: worker, Clock: workerClock(), Number: number}})
		c.Assert(refusal == nil, qt.IsTrue)
		return refusals[0]
	}
	c.Check(announce(3, 5, true) == nil, qt.IsTrue)
	c.Check(announce(3, 4, false) == nil, qt.IsTrue)
	if refusal := announce(2, 9, false); c.Check(refusal != nil, qt.IsTrue) {
		c.Check(refusal.Code, qt.Equals, coder.StaleIncarnation)
	}
	fleet.mutex.Lock()
	fleet.onHold = nil
	delete(fleet.running, "w")
	fleet.mutex.Unlock()
	fleet.await("the admission of the third incarnation", func() bool { return fleet.state.Workers["w"] != nil && fleet.state.Workers["w"].Life == 3 })
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	c.Check(fleet.state.Workers["w"].Leaving, qt.IsTrue)
	c.Check(fleet.starts, qt.HasLen, 1)
}
