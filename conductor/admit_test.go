package conductor_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/conductor"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

func newAdmittingFleet(t *testing.T, state *stager.State) *fleet {
	return newConfiguredFleet(t, state, nil, conductor.Settings{Lease: lease, StaleAfter: time.Minute, GangWait: time.Second, Admission: true, AdmissionAtEntries: true})
}

// offer submits a job and returns its refusal.
func (fleet *fleet) offer(id string, schedule stager.Schedule, steps ...stager.Step) *coder.Refusal {
	return fleet.conductor.Submit(context.Background(), &stager.Submit{ID: stager.JobID(id), ClientAccount: "a", Queue: queue, Steps: steps, Schedule: schedule})
}

// wideStep takes a worker of 4 cores for a second.
func wideStep() stager.Step {
	step := singleCoreStep(4)
	step.RunTime = 1000
	return step
}

// flood submits 40 jobs, which a worker of 4 cores takes 40 seconds for. It returns how
// many were accepted.
func (fleet *fleet) flood() int {
	for index := range 40 {
		if refusal := fleet.offer(fmt.Sprint("flood", index), stager.Schedule{}, wideStep()); refusal != nil {
			fleet.c.Assert(refusal.Code, qt.Equals, coder.ForecastTooLate)
			fleet.c.Assert(refusal.RetryAfter > 0 && refusal.RetryAfter <= 2*time.Second, qt.IsTrue, qt.Commentf("%s", refusal.RetryAfter))
			return index
		}
	}
	return 40
}

// checkNeverRefused checks that under overload the jobs that were accepted before are
// acknowledged again, and that scheduled and lasting jobs are accepted.
func (fleet *fleet) checkNeverRefused(accepted int) {
	lasting := singleCoreStep(1)
	lasting.Lasting = true
	for _, id := range []string{"lost", "flood0", fmt.Sprint("flood", accepted-1)} {
		fleet.c.Check(fleet.offer(id, stager.Schedule{}, wideStep()) == nil, qt.IsTrue, qt.Commentf("%s", id))
	}
	fleet.c.Check(fleet.offer("scheduled", stager.Schedule{Occurrences: 2, First: 1, Period: 1000}, wideStep()) == nil, qt.IsTrue)
	fleet.c.Check(fleet.offer("lasting", stager.Schedule{}, lasting) == nil, qt.IsTrue)
}

// TestNoJobIsRefusedWhileThereIsRoom guards against refusals without overload.
func TestNoJobIsRefusedWhileThereIsRoom(t *testing.T) {
	fleet := newAdmittingFleet(t, nil)
	for index := range 11 {
		fleet.announce(fmt.Sprint("w", index), 4)
	}
	for index := range 11 {
		fleet.submit(fmt.Sprint("j", index), wideStep())
	}
	fleet.await("all starts", func() bool { return len(fleet.starts) == 44 })
}

// TestOnlyNewJobsAreRefused guards against a refusal of a job that was accepted before,
// also by an earlier leader or with an answer that was lost; against refusals of
// scheduled and lasting jobs; and against refusals while the setting is off.
func TestOnlyNewJobsAreRefused(t *testing.T) {
	fleet := newAdmittingFleet(t, nil)
	fleet.announce("w", 4)
	fleet.mutex.Lock()
	gate := make(chan struct{})
	fleet.commitGate = gate
	fleet.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	lost := fleet.conductor.Submit(ctx, &stager.Submit{ID: "lost", ClientAccount: "a", Queue: queue, Steps: []stager.Step{wideStep()}})
	fleet.c.Assert(lost.Code, qt.Equals, coder.Unknown)
	fleet.mutex.Lock()
	fleet.commitGate = nil
	fleet.mutex.Unlock()
	close(gate)
	accepted := fleet.flood()
	fleet.c.Check(accepted > 8 && accepted < 40, qt.IsTrue, qt.Commentf("%d accepted", accepted))
	fleet.checkNeverRefused(accepted)
	fleet.mutex.Lock()
	state := fleet.state.Clone()
	fleet.mutex.Unlock()
	fleet.c.Assert(state.Apply(&stager.Batch{Term: state.Term + 1, Now: state.Now, Commands: []stager.Command{{Begin: &stager.Begin{KeepEnded: 100_000}}}}), qt.IsNil)
	off := newFleet(t, state.Clone())
	next := newAdmittingFleet(t, state)
	next.c.Check(next.offer("new", stager.Schedule{}, wideStep()) != nil, qt.IsTrue)
	next.checkNeverRefused(accepted)
	off.c.Check(off.offer("new", stager.Schedule{}, wideStep()) == nil, qt.IsTrue)
}

// TestAnAbsurdRunTimeRefusesNobodyElse guards against a client that shuts out the others
// by one small job with a run time of centuries.
func TestAnAbsurdRunTimeRefusesNobodyElse(t *testing.T) {
	fleet := newRankedFleet(t)
	for index := range 10 {
		fleet.announce(fmt.Sprint("w", index), 4)
	}
	for index := range 60 {
		fleet.submitFirst(fmt.Sprint("small", index), singleCoreStep(4))
	}
	absurd := singleCoreStep(1)
	for index, runTime := range []modeller.Millis{1 << 62, 1 << 50, -1 << 62} {
		absurd.RunTime = runTime
		fleet.submitFirst(fmt.Sprint("absurd", index), absurd)
	}
	fleet.c.Check(fleet.offer("other", stager.Schedule{}, wideStep()) == nil, qt.IsTrue)
	time.Sleep(300 * time.Millisecond)
	fleet.c.Check(fleet.offer("later", stager.Schedule{}, wideStep()) == nil, qt.IsTrue)
}

// TestAcceptedJobsAreServedAfterAFlood guards against an accepted job that is dropped,
// and against refusals that go on after the backlog is gone.
func TestAcceptedJobsAreServedAfterAFlood(t *testing.T) {
	fleet := newAdmittingFleet(t, nil)
	fleet.announce("w", 4)
	accepted := fleet.flood()
	served := 0
	fleet.await("all accepted jobs", func() bool {
		for _, order := range fleet.running["w"] {
			fleet.finish("w", order.Task.String(), stager.Succeeding)
		}
		served = 0
		for index := range accepted {
			if job := fleet.state.Jobs[stager.JobID(fmt.Sprint("flood", index))]; job != nil && job.Status() == stager.Completed {
				served++
			}
		}
		return served == accepted
	})
	time.Sleep(300 * time.Millisecond)
	fleet.submit("after", wideStep())
}

// TestGangsThatNeverFitAreRefusedAtOnce guards against a gang that waits for ever for
// more than its account's limit or the workers hold, and against the refusal of one
// whose workers are still being announced.
func TestGangsThatNeverFitAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// All goroutines of the fleet must have ended when the simulated time ends.
		t.Cleanup(func() { time.Sleep(time.Minute) })
		state := stager.New()
		limited := deployment()
		limited.Accounts[0].Limit = modeller.Resources{MilliProcessors: 10_000}
		qt.Assert(t, state.Apply(&stager.Batch{Term: 1, Sequence: 1, Now: 1, Commands: []stager.Command{{Begin: &stager.Begin{KeepEnded: 100_000}}, {Deploy: limited}}}), qt.IsNil)
		fleet := newAdmittingFleet(t, state)
		fleet.announce("w", 4)
		gang := func(tasks uint32) stager.Step {
			step := singleCoreStep(tasks)
			step.Gang = true
			return step
		}
		fleet.c.Check(fleet.offer("limit", stager.Schedule{}, gang(11)).Code, qt.Equals, coder.CanNeverRun)
		fleet.c.Check(fleet.offer("early", stager.Schedule{}, gang(5)) == nil, qt.IsTrue)
		time.Sleep(11 * time.Second)
		refusal := fleet.offer("workers", stager.Schedule{}, gang(5))
		fleet.c.Check(refusal != nil && refusal.Code == coder.ForecastTooLate && refusal.RetryAfter > 0, qt.IsTrue, qt.Commentf("%v", refusal))
		fleet.announce("w2", 4)
		fleet.c.Check(fleet.offer("workers", stager.Schedule{}, gang(5)) == nil, qt.IsTrue)
	})
}
