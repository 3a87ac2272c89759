package conductor_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/conductor"
	"github.com/dotterelrill/dotterelrill/stager"
)

// TestOneLostAnswerCountsOnce loses the answers to six starts that are on their way to a
// worker at the same time: they may have waited for one connection. The worker must get
// new work as soon as it answers again; six failures in a row would keep it from work for
// 16 seconds.
func TestOneLostAnswerCountsOnce(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(t, nil)
	lost := 6
	fleet.mutex.Lock()
	fleet.onStart = func(conductor.Target, *conductor.StartOrder) conductor.Answer {
		if lost > 0 {
			lost--
			fleet.running["w"] = map[string]conductor.StartOrder{}
			return conductor.Answer{Outcome: conductor.Unanswered}
		}
		return conductor.Answer{}
	}
	fleet.mutex.Unlock()
	fleet.announce("w", 8)
	startedAt := time.Now()
	fleet.submit("j", singleCoreStep(6))
	fleet.await("all tasks run", func() bool { return len(fleet.running["w"]) == 6 })
	fleet.submit("k", singleCoreStep(1))
	fleet.await("the next job", func() bool { _, runs := fleet.running["w"]["k.0.0.0"]; return runs })
	c.Check(time.Since(startedAt) < 2*time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(startedAt)))
}

// TestAnUnsentStartIsPlacedElsewhere has a worker that accepts no connection. Its task
// must not wait for a lease that the worker never got.
func TestAnUnsentStartIsPlacedElsewhere(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(t, nil)
	fleet.mutex.Lock()
	fleet.onStart = func(target conductor.Target, _ *conductor.StartOrder) conductor.Answer {
		if target.Worker == "full" {
			return conductor.Answer{Outcome: conductor.NotSent}
		}
		return conductor.Answer{}
	}
	fleet.mutex.Unlock()
	fleet.announce("full", 1)
	fleet.submit("j", singleCoreStep(1))
	fleet.await("the first start", func() bool { return len(fleet.starts) > 0 })
	fleet.announce("other", 8)
	startedAt := time.Now()
	fleet.await("the start elsewhere", func() bool { return len(fleet.running["other"]) == 1 })
	c.Check(time.Since(startedAt) < lease, qt.IsTrue, qt.Commentf("%s", time.Since(startedAt)))
}

// TestARequestWhoseCallerHasLeftIsDropped submits a job with a deadline that is over. The
// answer says that its outcome is unknown; no work may be spent on it.
func TestARequestWhoseCallerHasLeftIsDropped(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(t, nil)
	fleet.announce("w", 8)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	refusal := fleet.conductor.Submit(ctx, &stager.Submit{ID: "late", ClientAccount: "a", Queue: queue, Steps: []stager.Step{singleCoreStep(1)}})
	c.Assert(refusal != nil, qt.IsTrue)
	c.Check(refusal.Code, qt.Equals, coder.Unknown)
	fleet.submit("j", singleCoreStep(1))
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	c.Check(fleet.state.Jobs["j"], qt.IsNotNil)
	c.Check(fleet.state.Jobs["late"], qt.IsNil)
}
