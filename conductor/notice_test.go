package conductor_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/encoder"
	"github.com/dotterelrill/dotterelrill/forecaster"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// newRankedFleet returns a fleet without workers, with a queue of rank 0 and the queue
// "draw" of rank 1.
func newRankedFleet(t *testing.T) *fleet {
	ranked := deployment()
	ranked.Queues[0].Rank = 1
	ranked.Queues = append(ranked.Queues, stager.Queue{Name: "first", Host: "h", Prefix: "/f/", Pool: "p", MostFailures: 2, Slack: 20, Allowance: 1000, Timeout: 3000})
	ranked.Accounts[0].Keys = []modeller.KeyHash{"key"}
	state := stager.New()
	qt.Assert(t, state.Apply(&stager.Batch{Term: 1, Sequence: 1, Now: 1, Commands: []stager.Command{{Begin: &stager.Begin{KeepEnded: 100_000}}, {Deploy: ranked}}}), qt.IsNil)
	return newAdmittingFleet(t, state)
}

// submitFirst submits a job to the queue of rank 0, which must be accepted.
func (fleet *fleet) submitFirst(id string, step stager.Step) {
	submit := &stager.Submit{ID: stager.JobID(id), ClientAccount: "a", Queue: "first", Steps: []stager.Step{step}}
	fleet.c.Assert(fleet.conductor.Submit(context.Background(), submit) == nil, qt.IsTrue)
}

// newStarvedFleet returns a ranked fleet with a worker of 4 cores, for which 30 seconds of
// work wait in the queue of rank 0.
func newStarvedFleet(t *testing.T) *fleet {
	fleet := newRankedFleet(t)
	fleet.announce("w", 4)
	for index := range 30 {
		fleet.submitFirst(fmt.Sprint("first", index), wideStep())
	}
	return fleet
}

// noticeCovers reports whether entries may refuse a step of the queue "draw".
func (fleet *fleet) noticeCovers(step stager.Step) bool {
	published := fleet.conductor.Notice()
	if published == nil {
		return false
	}
	var notice forecaster.Notice
	fleet.c.Assert(encoder.Unmarshal(published.Data, &notice), qt.IsNil)
	for index := range notice.Closures {
		if notice.Closures[index].Covers("h", "/q/new", "key", []stager.Step{step}, stager.Schedule{}) {
			return true
		}
	}
	return false
}

// refuseFor offers new jobs for a time, which must be refused.
func (fleet *fleet) refuseFor(span time.Duration) {
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		refusal := fleet.offer(fmt.Sprint("new", time.Now().UnixNano()), stager.Schedule{}, wideStep())
		fleet.c.Assert(refusal != nil && refusal.Code == coder.ForecastTooLate, qt.IsTrue, qt.Commentf("%v", refusal))
	}
}

// TestEntriesRefuseOnlyBeyondDoubt guards against a refusal at an entry of a job that
// was accepted: by the leader before its notice, while its caller may still retry, or
// while an entry may still use the notice.
func TestEntriesRefuseOnlyBeyondDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// All goroutines of the fleet must have ended when the simulated time ends.
		t.Cleanup(func() { time.Sleep(time.Minute) })
		fleet := newStarvedFleet(t)
		fleet.refuseFor(3400 * time.Millisecond)
		fleet.c.Check(fleet.noticeCovers(wideStep()), qt.IsFalse, qt.Commentf("a retry of a job that the previous leader accepted may come"))
		fleet.refuseFor(500 * time.Millisecond)
		fleet.c.Check(fleet.noticeCovers(wideStep()), qt.IsTrue)
		longer := wideStep()
		longer.RunTime = 60_000
		fleet.c.Check(fleet.noticeCovers(longer), qt.IsFalse)
		for index := range 40 {
			fleet.announce(fmt.Sprint("w", index), 4)
		}
		withdrawn := time.Now()
		for fleet.noticeCovers(wideStep()) {
			time.Sleep(10 * time.Millisecond)
		}
		fleet.c.Check(time.Since(withdrawn) < time.Second, qt.IsTrue)
		fleet.refuseFor(forecaster.NoticeValidity)
		time.Sleep(300 * time.Millisecond)
		fleet.c.Assert(fleet.offer("accepted", stager.Schedule{}, wideStep()) == nil, qt.IsTrue)
	})
}

// TestANewLeaderWaitsForTheNoticeOfThePreviousOne guards against a job that a new leader
// accepts while an entry still refuses its retry by the notice of the previous leader.
func TestANewLeaderWaitsForTheNoticeOfThePreviousOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(time.Minute) })
		fleet := newStarvedFleet(t)
		time.Sleep(3500 * time.Millisecond)
		fleet.mutex.Lock()
		state := fleet.state.Clone()
		fleet.mutex.Unlock()
		fleet.c.Assert(state.Apply(&stager.Batch{Term: 2, Now: state.Now, Commands: []stager.Command{{Begin: &stager.Begin{KeepEnded: 100_000}}}}), qt.IsNil)
		began := time.Now()
		next := newAdmittingFleet(t, state)
		next.c.Check(next.offer("new", stager.Schedule{}, singleCoreStep(1)), qt.Not(qt.Equals), (*coder.Refusal)(nil))
		next.c.Check(time.Since(began) > forecaster.NoticeValidity, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
	})
}

// TestANewLeaderWaitsBehindAYoungBacklog guards against a job that a new leader accepts
// while an entry still refuses its retry: what a notice rests on may have been accepted just
// before, in another queue.
func TestANewLeaderWaitsBehindAYoungBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(time.Minute) })
		fleet := newRankedFleet(t)
		fleet.announce("w", 4)
		time.Sleep(4 * time.Second)
		for index := range 30 {
			fleet.submitFirst(fmt.Sprint("first", index), wideStep())
		}
		fleet.refuseFor(500 * time.Millisecond)
		fleet.c.Assert(fleet.noticeCovers(wideStep()), qt.IsTrue)
		fleet.mutex.Lock()
		state := fleet.state.Clone()
		fleet.mutex.Unlock()
		fleet.c.Assert(state.Apply(&stager.Batch{Term: 2, Now: state.Now, Commands: []stager.Command{{Begin: &stager.Begin{KeepEnded: 100_000}}}}), qt.IsNil)
		began := time.Now()
		next := newAdmittingFleet(t, state)
		for index := range 40 {
			next.announce(fmt.Sprint("w", index), 4)
		}
		next.c.Check(next.offer("new", stager.Schedule{}, wideStep()) == nil, qt.IsTrue)
		next.c.Check(time.Since(began) > forecaster.NoticeValidity, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
	})
}

// TestAReplicaThatMayBeSupersededRefusesNothing guards against the answer that a job has not
// run from a leader that was paused while the next one accepted the job.
func TestAReplicaThatMayBeSupersededRefusesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(time.Minute) })
		fleet := newStarvedFleet(t)
		fleet.refuseFor(500 * time.Millisecond)
		fleet.mutex.Lock()
		fleet.lead = false
		fleet.mutex.Unlock()
		refusal := fleet.offer("new", stager.Schedule{}, wideStep())
		fleet.c.Assert(refusal, qt.IsNotNil)
		fleet.c.Check(refusal.Code, qt.Equals, coder.NotLeader)
	})
}
