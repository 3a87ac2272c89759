package conductor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/conductor"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// end announces the end of worker w and returns the refusal. It names the incarnation
// unless that is zero.
func (fleet *fleet) end(t *testing.T, incarnation stager.Incarnation) *coder.Refusal {
	refusals, refusal := fleet.conductor.AnnounceAll(t.Context(), []stager.Announcement{{Worker: stager.Worker{Name: "w", Life: incarnation}, Gone: true}})
	fleet.c.Assert(refusal == nil, qt.IsTrue, qt.Commentf("%v", refusal))
	return refusals[0]
}

// mustAskForSecond checks that an end that names no incarnation is refused and asked to name
// the second one.
func (fleet *fleet) mustAskForSecond(t *testing.T) {
	refusal := fleet.end(t, 0)
	if !fleet.c.Check(refusal != nil, qt.IsTrue, qt.Commentf("the end was accepted")) {
		return
	}
	fleet.c.Check(refusal.Code, qt.Equals, coder.IncarnationUnnamed)
	fleet.c.Check(refusal.Name, qt.Equals, int64(2))
}

// runOnLeavingWorker lets the second incarnation of worker w run a task and announce that it
// is leaving, beside another worker with room for the task.
func (fleet *fleet) runOnLeavingWorker(t *testing.T) {
	fleet.announceIncarnation("w", 1, 2)
	fleet.submit("j", singleCoreStep(1))
	fleet.await("the start", func() bool { return len(fleet.running["w"]) == 1 })
	fleet.announce("spare", 1)
	leaving := stager.Worker{Name: "w", Life: 2, Pool: "p", Address: "w", Leaving: true, Capacity: modeller.Resources{MilliProcessors: 1000, MemoryMiB: 1000}}
	fleet.announceWorker(t.Context(), &stager.Announcement{Worker: leaving, Clock: workerClock(), Number: 2, Remaining: 60_000})
}

// TestALateEndIsNotTakenForThatOfALeavingIncarnation guards against a task that runs twice:
// the end of an earlier incarnation arrives while the next one runs a task and drains too. It
// must not be believed while that one does not answer either, as it may be cut off.
func TestALateEndIsNotTakenForThatOfALeavingIncarnation(t *testing.T) {
	for name, cutOff := range map[string]time.Duration{"reachable": 0, "cut off": lease / 2} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			fleet := newFleet(t, nil)
			fleet.runOnLeavingWorker(t)
			reachableAt := time.Now().Add(cutOff)
			fleet.mutex.Lock()
			fleet.onHold = func(target conductor.Target, _ *conductor.HoldOrder) *conductor.HoldAnswer {
				if target.Worker == "w" && time.Now().Before(reachableAt) {
					return &conductor.HoldAnswer{Answer: conductor.Answer{Outcome: conductor.NotSent}}
				}
				return nil
			}
			fleet.mutex.Unlock()
			fleet.mustAskForSecond(t)
			c.Check(fleet.end(t, 1) == nil, qt.IsTrue)
			time.Sleep(2 * lease)
			fleet.mutex.Lock()
			c.Check(fleet.starts, qt.HasLen, 1)
			fleet.finish("w", "j.0.0.0", stager.Succeeding)
			fleet.mutex.Unlock()
			fleet.await("the job's end", func() bool { return fleet.status() == stager.Completed })
			c.Check(fleet.starts, qt.HasLen, 1)
		})
	}
}

// TestWorkOfAnEndedWorkerStartsElsewhereAtOnce guards against work that waits for the lease
// of a worker whose end is proved. The stand-in answers on, so its lease never expires.
func TestWorkOfAnEndedWorkerStartsElsewhereAtOnce(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(t, nil)
	fleet.runOnLeavingWorker(t)
	fleet.mustAskForSecond(t)
	c.Check(fleet.end(t, 2) == nil, qt.IsTrue)
	fleet.await("the start elsewhere", func() bool { return len(fleet.running["spare"]) == 1 })
}

// TestWorkOfAnEndedWorkerWaitsForItsLease guards against work that is never started again,
// or is before nothing can run it any more, because a worker ended and did not name its
// incarnation.
func TestWorkOfAnEndedWorkerWaitsForItsLease(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(t, nil)
	fleet.runOnLeavingWorker(t)
	fleet.mutex.Lock()
	fleet.onHold = func(target conductor.Target, _ *conductor.HoldOrder) *conductor.HoldAnswer {
		if target.Worker == "w" {
			return &conductor.HoldAnswer{Answer: conductor.Answer{Outcome: conductor.NotSent}}
		}
		return nil
	}
	leaseEnd := modeller.Millis(0)
	for _, order := range fleet.running["w"] {
		leaseEnd = order.Expires
	}
	fleet.mutex.Unlock()
	fleet.mustAskForSecond(t)
	fleet.await("the start elsewhere", func() bool { return len(fleet.running["spare"]) == 1 })
	c.Check(workerClock() >= leaseEnd, qt.IsTrue)
}
