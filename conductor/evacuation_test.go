package conductor_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/conductor"
	"github.com/dotterelrill/dotterelrill/encoder"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// announceIn announces a worker of a data centre.
func (fleet *fleet) announceIn(name string, cores int64, dataCentre modeller.DataCentreName, coldLeft time.Duration) {
	fleet.mutex.Lock()
	fleet.incarnations[modeller.WorkerName(name)] = 1
	fleet.mutex.Unlock()
	worker := stager.Worker{
		Name: modeller.WorkerName(name), Life: 1, Pool: "p", Address: name, DataCentre: dataCentre,
		Capacity: modeller.Resources{MilliProcessors: 1000 * cores, MemoryMiB: 1000},
	}
	fleet.announceWorker(context.Background(), &stager.Announcement{Worker: worker, Clock: workerClock(), ColdLeft: modeller.Millis(coldLeft.Milliseconds())})
}

// evacuate sends an order, and sends it again with the change to name if it is asked to, as
// operators do.
func (fleet *fleet) evacuate(ctx context.Context, dataCentre modeller.DataCentreName, withdrawn bool) *coder.Refusal {
	order := &stager.Evacuate{DataCentre: dataCentre, Withdrawn: withdrawn}
	refusal := fleet.conductor.Evacuate(ctx, order)
	if refusal != nil && refusal.Code == coder.ChangeUnnamed {
		order.After = modeller.Millis(refusal.Name)
		refusal = fleet.conductor.Evacuate(ctx, order)
	}
	return refusal
}

// mustEvacuate sends an order, which must be acknowledged.
func (fleet *fleet) mustEvacuate(dataCentre modeller.DataCentreName, withdrawn bool) {
	refusal := fleet.evacuate(context.Background(), dataCentre, withdrawn)
	fleet.c.Assert(refusal == nil, qt.IsTrue, qt.Commentf("%v", refusal))
}

// recordStarts returns a list to which the worker of each start is added.
func (fleet *fleet) recordStarts() *[]modeller.WorkerName {
	starts := &[]modeller.WorkerName{}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.onStart = func(target conductor.Target, _ *conductor.StartOrder) conductor.Answer {
		*starts = append(*starts, target.Worker)
		return conductor.Answer{}
	}
	return starts
}

// TestAPlacementThatIsNotCommittedIsNotStartedAfterAnEvacuation guards against starts of
// placements that were decided before the evacuation, of single tasks and of a gang that
// is partly placed elsewhere. Their tasks are to run elsewhere.
func TestAPlacementThatIsNotCommittedIsNotStartedAfterAnEvacuation(t *testing.T) {
	for _, gang := range []bool{false, true} {
		fleet := newFleet(t, nil)
		starts := fleet.recordStarts()
		fleet.announceIn("north", 1, "n", 0)
		fleet.announceIn("south", 1, "s", 0)
		fleet.await("both workers", func() bool { return len(fleet.holdOrder) >= 2 })
		time.Sleep(50 * time.Millisecond)
		fleet.mutex.Lock()
		fleet.commitGate, fleet.lastBatch = make(chan struct{}), nil
		fleet.mutex.Unlock()
		tasks := singleCoreStep(2)
		tasks.Gang = gang
		answers := make(chan *coder.Refusal, 1)
		go fleet.submit("j", tasks)
		fleet.await("the placement's proposal", func() bool { return fleet.lastBatch != nil })
		go func() { answers <- fleet.evacuate(context.Background(), "n", false) }()
		time.Sleep(200 * time.Millisecond)
		fleet.decideCommits(false)
		refusal := <-answers
		fleet.c.Assert(refusal == nil, qt.IsTrue, qt.Commentf("%v", refusal))
		fleet.announceIn("later", 2, "s", 0)
		fleet.await("the tasks in the other data centre", func() bool { return len(fleet.running["south"])+len(fleet.running["later"]) == 2 })
		fleet.mutex.Lock()
		fleet.c.Check(slices.Contains(*starts, "north"), qt.IsFalse, qt.Commentf("gang %v: %v", gang, *starts))
		fleet.mutex.Unlock()
	}
}

// TestAnUnansweredStartIsNotSentAgainAfterAnEvacuation guards against a start that is sent
// again, and against its task running twice: it may only run elsewhere after its stop.
func TestAnUnansweredStartIsNotSentAgainAfterAnEvacuation(t *testing.T) {
	fleet := newFleet(t, nil)
	starts := fleet.recordStarts()
	fleet.announceIn("north", 1, "n", 0)
	blocked := make(chan struct{})
	fleet.mutex.Lock()
	fleet.blockedStart = blocked
	fleet.mutex.Unlock()
	fleet.submit("j", singleCoreStep(1))
	<-blocked
	fleet.mustEvacuate("n", false)
	fleet.announceIn("south", 1, "s", 0)
	fleet.await("the task in the other data centre", func() bool { return len(fleet.running["south"]) == 1 })
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.c.Check(*starts, qt.DeepEquals, []modeller.WorkerName{"south"})
	fleet.c.Check(fleet.stops, qt.DeepEquals, []string{"j.0.0.0"})
}

// newAdvisedFleet starts a conductor whose queue has an adviser.
func newAdvisedFleet(t *testing.T) *fleet {
	advised := deployment()
	advised.Queues[0].Advised = &stager.AdviserTiming{Validity: time.Minute}
	state := stager.New()
	qt.Assert(t, state.Apply(&stager.Batch{Term: 1, Sequence: 1, Now: 1, Commands: []stager.Command{{Begin: &stager.Begin{KeepEnded: 100_000}}, {Deploy: advised}}}), qt.IsNil)
	return newFleet(t, state)
}

// TestAdviceThatArrivesAfterAnEvacuationStartsNothingThere guards against placements that
// an inquiry to the adviser has prepared.
func TestAdviceThatArrivesAfterAnEvacuationStartsNothingThere(t *testing.T) {
	for _, gang := range []bool{false, true} {
		fleet := newAdvisedFleet(t)
		starts := fleet.recordStarts()
		inquiries := make(chan stager.Inquiry, 100)
		fleet.mutex.Lock()
		fleet.onAsk = func(inquiry stager.Inquiry) { inquiries <- inquiry }
		fleet.mutex.Unlock()
		fleet.announceIn("north", 2, "n", 0)
		tasks := singleCoreStep(2)
		tasks.Gang = gang
		fleet.submit("j", tasks)
		inquiry := <-inquiries
		fleet.mustEvacuate("n", false)
		fleet.announceIn("south", 2, "s", 0)
		answer := func(inquiry stager.Inquiry) {
			advice := &stager.Advice{Step: inquiry.Step, Part: inquiry.Part, Asked: inquiry.Workers}
			for _, worker := range inquiry.Workers {
				advice.Tickets = append(advice.Tickets, stager.WorkerTicket{Worker: worker, Ticket: "t"})
			}
			fleet.conductor.Advise(advice)
		}
		answer(inquiry)
		answer(<-inquiries)
		fleet.await("the tasks in the other data centre", func() bool { return len(fleet.running["south"]) == 2 })
		fleet.mutex.Lock()
		fleet.c.Check(*starts, qt.DeepEquals, []modeller.WorkerName{"south", "south"})
		fleet.mutex.Unlock()
	}
}

// evacuatedState returns a committed state, as read back after a loss of power
// everywhere, in which a task is placed in a data centre that was evacuated after it. An
// earlier leader may have sent its start.
func evacuatedState(c *qt.C, step stager.Step) *stager.State {
	written := stager.New()
	north := &stager.Worker{Name: "north", Life: 1, Pool: "p", Address: "north", DataCentre: "n", Capacity: modeller.Resources{MilliProcessors: 1000, MemoryMiB: 1000}}
	c.Assert(written.Apply(&stager.Batch{Term: 1, Sequence: 1, Now: 1, Commands: []stager.Command{
		{Begin: &stager.Begin{KeepEnded: 100_000}}, {Deploy: deployment()}, {Admit: north},
		{Submit: &stager.Submit{ID: "j", ClientAccount: "a", Queue: queue, Steps: []stager.Step{step}}},
		{Place: &stager.Place{Step: stager.StepID{Job: "j"}, Tasks: []stager.TaskPlacement{{Attempt: 1, Worker: "north", Life: 1}}}},
		{Evacuate: &stager.Evacuate{DataCentre: "n"}},
	}}), qt.IsNil)
	data, err := encoder.Marshal(written)
	c.Assert(err, qt.IsNil)
	state := &stager.State{}
	c.Assert(encoder.Unmarshal(data, state), qt.IsNil)
	state.Rebuild()
	return state
}

// TestALaterLeaderKeepsAnEvacuation guards against a leader that is lost between the ack
// and its first pass, and against the loss of power everywhere just after the ack.
func TestALaterLeaderKeepsAnEvacuation(t *testing.T) {
	fleet := newFleet(t, evacuatedState(qt.New(t), singleCoreStep(2)))
	starts := fleet.recordStarts()
	fleet.announceIn("north", 1, "n", 0)
	fleet.announceIn("south", 2, "s", 0)
	fleet.await("the tasks in the other data centre", func() bool { return len(fleet.running["south"]) == 2 })
	fleet.mutex.Lock()
	fleet.c.Check(*starts, qt.DeepEquals, []modeller.WorkerName{"south", "south"})
	fleet.mutex.Unlock()
	fleet.mustEvacuate("n", false)
}

// TestALastingTaskThatRunsIsNotStoppedByALaterLeader guards against the stop of a task
// that a later leader does not know to run. One that does not run is placed elsewhere.
func TestALastingTaskThatRunsIsNotStoppedByALaterLeader(t *testing.T) {
	for _, runs := range []bool{false, true} {
		gate := make(chan struct{})
		fleet := newGatedFleet(t, evacuatedState(qt.New(t), lastingStep(1, 0)), gate)
		if runs {
			fleet.mutex.Lock()
			task := stager.TaskID{StepID: stager.StepID{Job: "j"}}
			fleet.running["north"] = map[string]conductor.StartOrder{task.String(): {Task: task, Attempt: 1}}
			fleet.mutex.Unlock()
		}
		close(gate)
		fleet.announceIn("north", 1, "n", 0)
		fleet.announceIn("south", 1, "s", 0)
		if !runs {
			fleet.await("the task in the other data centre", func() bool { return len(fleet.running["south"]) == 1 })
			continue
		}
		time.Sleep(500 * time.Millisecond)
		fleet.mutex.Lock()
		fleet.c.Check(fleet.stops, qt.HasLen, 0)
		fleet.c.Check(fleet.starts, qt.HasLen, 0)
		fleet.mutex.Unlock()
	}
}

// TestAnOrderIsNotAcknowledgedBeforeItIsCommitted guards against the ack of a replica that
// is cut off from the others, also of an order that is in force by its own state, which
// a later leader may have withdrawn.
func TestAnOrderIsNotAcknowledgedBeforeItIsCommitted(t *testing.T) {
	for _, before := range []bool{false, true} {
		fleet := newFleet(t, nil)
		fleet.announceIn("north", 1, "n", 0)
		if before {
			fleet.mustEvacuate("n", false)
		}
		fleet.mutex.Lock()
		fleet.commitGate = make(chan struct{})
		fleet.mutex.Unlock()
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		refusal := fleet.evacuate(ctx, "n", false)
		cancel()
		fleet.c.Assert(refusal, qt.IsNotNil)
		fleet.c.Check(refusal.Code, qt.Equals, coder.Unknown)
		answers := make(chan *coder.Refusal, 1)
		go func() { answers <- fleet.evacuate(context.Background(), "n", false) }()
		time.Sleep(50 * time.Millisecond)
		fleet.decideCommits(true)
		fleet.c.Check((<-answers).Code, qt.Equals, coder.Unknown)
	}
}

// TestOrdersAboutADataCentre guards against an accepted order that is refused when it is
// sent again, an unknown data centre that is accepted, one of the settings that is not,
// and an old order whose sender has left that takes effect late.
func TestOrdersAboutADataCentre(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.announceIn("north", 1, "n", 0)
	for _, withdrawn := range []bool{false, false, true, true} {
		fleet.mustEvacuate("n", withdrawn)
		fleet.mustEvacuate("listed", withdrawn)
	}
	refusal := fleet.evacuate(t.Context(), "unknown", false)
	fleet.c.Assert(refusal, qt.IsNotNil)
	fleet.c.Check(refusal.Code, qt.Equals, coder.UnknownDataCentre)
	left, cancel := context.WithCancel(t.Context())
	cancel()
	fleet.c.Check(fleet.evacuate(left, "n", false), qt.IsNotNil)
	fleet.submit("j", singleCoreStep(1))
	fleet.await("the task", func() bool { return len(fleet.running["north"]) == 1 })
}

// lastingStep returns a step of tasks that run until they are cancelled, of which
// mostAway may be unavailable.
func lastingStep(tasks, mostAway uint32) stager.Step {
	step := singleCoreStep(tasks)
	step.Lasting, step.MostAway = true, mostAway
	return step
}

// TestLastingTasksMoveWithinTheirBudget guards against stops of more tasks at once than
// the disruption budget allows, also when the data centre is restored meanwhile.
func TestLastingTasksMoveWithinTheirBudget(t *testing.T) {
	for _, restore := range []bool{false, true} {
		fleet := newFleet(t, nil)
		fleet.announceIn("north", 4, "n", 0)
		fleet.submit("j", lastingStep(4, 1))
		fleet.await("the tasks", func() bool { return len(fleet.running["north"]) == 4 })
		fleet.announceIn("south", 8, "s", 0)
		fleet.mustEvacuate("n", false)
		fleet.await("the first move", func() bool { return len(fleet.stops) > 0 })
		if restore {
			fleet.mustEvacuate("n", true)
			fleet.await("all tasks", func() bool { return len(fleet.running["north"])+len(fleet.running["south"]) == 4 })
		} else {
			fleet.await("the empty data centre", func() bool { return len(fleet.running["north"]) == 0 && len(fleet.running["south"]) == 4 })
		}
		fleet.mutex.Lock()
		for _, running := range fleet.runningAtStops {
			fleet.c.Check(running, qt.Equals, 4, qt.Commentf("%v", fleet.runningAtStops))
		}
		fleet.mutex.Unlock()
	}
}

// TestWorkThatCannotMoveStays guards against a stop while all other data centres are
// full, and against stops of tasks that have no disruption budget, short tasks and tasks
// without a checkpoint.
func TestWorkThatCannotMoveStays(t *testing.T) {
	long := singleCoreStep(1)
	long.RunTime = 100_000
	short := singleCoreStep(1)
	short.Checkpoints = true
	for _, each := range []struct {
		name  string
		step  stager.Step
		cores int64
	}{{"no room elsewhere", lastingStep(1, 1), 0}, {"no budget", lastingStep(1, 0), 4}, {"no checkpoint", long, 4}, {"short", short, 4}} {
		fleet := newFleet(t, nil)
		fleet.announceIn("north", 1, "n", 0)
		fleet.submit("j", each.step)
		fleet.await("the task", func() bool { return len(fleet.running["north"]) == 1 })
		fleet.announceIn("south", each.cores, "s", 0)
		fleet.mustEvacuate("n", false)
		time.Sleep(500 * time.Millisecond)
		fleet.mutex.Lock()
		fleet.c.Check(fleet.stops, qt.HasLen, 0, qt.Commentf("%s", each.name))
		fleet.c.Check(fleet.running["north"], qt.HasLen, 1)
		fleet.mutex.Unlock()
	}
}

// TestALongTaskMovesWithItsCheckpoint guards against a long task that keeps the data
// centre from being emptied although it would lose little.
func TestALongTaskMovesWithItsCheckpoint(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.mutex.Lock()
	fleet.onHold = func(target conductor.Target, _ *conductor.HoldOrder) *conductor.HoldAnswer {
		if target.Worker != "north" || len(fleet.running["north"]) == 0 {
			return nil
		}
		order := fleet.running["north"]["j.0.0.0"]
		return &conductor.HoldAnswer{
			Answer: conductor.Answer{Outcome: conductor.Obeyed, Clock: workerClock()}, Life: 1,
			Running: []conductor.RunningAttempt{{Task: order.Task, Attempt: order.Attempt, Saved: "half"}},
		}
	}
	fleet.mutex.Unlock()
	fleet.announceIn("north", 1, "n", 0)
	step := singleCoreStep(1)
	step.RunTime, step.Checkpoints = 100_000, true
	fleet.submit("j", step)
	fleet.await("the task", func() bool { return len(fleet.running["north"]) == 1 })
	fleet.announceIn("south", 1, "s", 0)
	fleet.mustEvacuate("n", false)
	fleet.await("the move", func() bool { return len(fleet.running["south"]) == 1 && len(fleet.running["north"]) == 0 })
}

// TestColdWorkersReturnOneAfterTheOther guards against work that begins on all workers of
// a restored data centre at once while they are cold. Where nothing was evacuated, cold
// workers are used as others.
func TestColdWorkersReturnOneAfterTheOther(t *testing.T) {
	const workers, cold = 30, 2 * time.Second
	// The tasks last long enough not to be taken for stalled and started again.
	tasks := singleCoreStep(workers)
	tasks.RunTime = 100_000
	for _, evacuated := range []bool{false, true} {
		fleet := newFleet(t, nil)
		announce := func() {
			for index := range workers {
				fleet.announceIn(fmt.Sprint("w", index), 1, "n", cold)
			}
		}
		announce()
		if evacuated {
			fleet.mustEvacuate("n", false)
			fleet.mustEvacuate("n", true)
			announce()
		}
		fleet.submit("j", tasks)
		var counts []int
		fleet.await("all tasks", func() bool {
			count := len(fleet.starts)
			if len(counts) == 0 || counts[len(counts)-1] != count {
				counts = append(counts, count)
			}
			return count == workers
		})
		part := slices.ContainsFunc(counts, func(count int) bool { return count > workers/4 && count < workers*3/4 })
		if evacuated {
			fleet.c.Check(part, qt.IsTrue, qt.Commentf("%v", counts))
		}
	}
}

// TestRoomForAMoveIsReserved guards against a new job that takes the room which was found
// for a lasting task while that task is being stopped.
func TestRoomForAMoveIsReserved(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.announceIn("north", 1, "n", 0)
	fleet.submit("j", lastingStep(1, 1))
	fleet.await("the task", func() bool { return len(fleet.running["north"]) == 1 })
	fleet.announceIn("south", 1, "s", 0)
	gate := make(chan struct{})
	fleet.mutex.Lock()
	fleet.onStop = func() { <-gate }
	fleet.mutex.Unlock()
	fleet.mustEvacuate("n", false)
	fleet.await("the stop", func() bool { return fleet.stopsBegun > 0 })
	fleet.submit("later", singleCoreStep(1))
	time.Sleep(300 * time.Millisecond)
	fleet.mutex.Lock()
	fleet.c.Check(fleet.running["south"], qt.HasLen, 0)
	fleet.mutex.Unlock()
	close(gate)
	fleet.await("the move", func() bool { _, moved := fleet.running["south"]["j.0.0.0"]; return moved })
}

// TestATaskMovesOnlyWhereTheAdviserApproves guards against a stop before there is a worker
// that the adviser approves of, and against a task that never moves because nobody asks.
func TestATaskMovesOnlyWhereTheAdviserApproves(t *testing.T) {
	fleet := newAdvisedFleet(t)
	inquiries := make(chan stager.Inquiry, 100)
	fleet.mutex.Lock()
	fleet.onAsk = func(inquiry stager.Inquiry) { inquiries <- inquiry }
	fleet.mutex.Unlock()
	answer := func(approved modeller.WorkerName) {
		inquiry := <-inquiries
		advice := &stager.Advice{Step: inquiry.Step, Part: inquiry.Part, Asked: inquiry.Workers}
		if slices.Contains(inquiry.Workers, approved) {
			advice.Tickets = []stager.WorkerTicket{{Worker: approved, Ticket: "t"}}
		}
		fleet.conductor.Advise(advice)
	}
	fleet.announceIn("north", 1, "n", 0)
	fleet.submit("j", lastingStep(1, 1))
	answer("north")
	fleet.await("the task", func() bool { return len(fleet.running["north"]) == 1 })
	fleet.announceIn("refused", 1, "s", 0)
	fleet.mustEvacuate("n", false)
	answer("none")
	time.Sleep(200 * time.Millisecond)
	fleet.mutex.Lock()
	fleet.c.Check(fleet.stops, qt.HasLen, 0)
	fleet.mutex.Unlock()
	fleet.announceIn("south", 1, "s", 0)
	answer("south")
	fleet.await("the move", func() bool { return len(fleet.running["south"]) == 1 && len(fleet.running["north"]) == 0 })
}

// TestALateOrderUndoesNoChange guards against a data centre that is put back into service, or
// taken out of it, by an order that a replica passed on late, after other orders.
func TestALateOrderUndoesNoChange(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.announceIn("south", 1, "s", 0)
	fleet.mustEvacuate("s", false)
	evacuated := fleet.mustBeUnnamed(true, 0)
	fleet.mustEvacuate("s", true)
	// Both orders have got an ack by other ways, and arrive once more.
	restored := fleet.mustBeUnnamed(false, 0)
	fleet.mustEvacuate("s", true)
	time.Sleep(2 * time.Millisecond)
	fleet.mustEvacuate("s", false)
	fleet.mustBeUnnamed(true, 0)
	fleet.mustBeUnnamed(true, evacuated)
	fleet.mustBeUnnamed(true, restored)
	fleet.mustEvacuate("s", false)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.c.Check(fleet.state.DataCentres.Evacuated("s"), qt.IsTrue)
}

// mustBeUnnamed checks that an order about data centre s which names a change, or none, is refused with the last
// change to name, and returns that.
func (fleet *fleet) mustBeUnnamed(withdrawn bool, after modeller.Millis) modeller.Millis {
	refusal := fleet.conductor.Evacuate(context.Background(), &stager.Evacuate{DataCentre: "s", Withdrawn: withdrawn, After: after})
	fleet.c.Assert(refusal != nil, qt.IsTrue, qt.Commentf("the order was acknowledged"))
	fleet.c.Check(refusal.Code, qt.Equals, coder.ChangeUnnamed)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.c.Check(modeller.Millis(refusal.Name), qt.Equals, fleet.state.DataCentres["s"].Changed())
	return modeller.Millis(refusal.Name)
}
