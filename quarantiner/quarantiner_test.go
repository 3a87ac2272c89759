package quarantiner_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/quarantiner"
)

// fleet drives a Quarantiner and applies its proposals.
type fleet struct {
	quarantiner *quarantiner.Quarantiner
	now         modeller.Millis
	states      map[modeller.WorkerName]modeller.WorkerState
	lastJob     modeller.JobID
}

func newFleet(workers int) *fleet {
	fleet := &fleet{
		quarantiner: quarantiner.New(quarantiner.Config{Threshold: 3, Window: 600_000, FirstStay: 30_000, MostStay: 600_000, MostShare: 0.2}),
		states:      make(map[modeller.WorkerName]modeller.WorkerState),
		now:         1,
	}
	for index := range workers {
		name := modeller.WorkerName(fmt.Sprintf("w%d", index))
		fleet.quarantiner.Observe(&applier.Event{Kind: applier.EventWorkerJoined, Worker: name, Incarnation: 1, WorkerState: modeller.WorkerUp})
		fleet.states[name] = modeller.WorkerUp
	}
	return fleet
}

// endAttempt ends an attempt of a job of the queue and applies the proposals.
func (fleet *fleet) endAttempt(job modeller.JobID, queue modeller.QueueName, worker modeller.WorkerName, outcome modeller.Outcome) {
	fleet.now += 10
	fleet.quarantiner.Observe(&applier.Event{
		Kind: applier.EventTaskDone, Time: fleet.now, Worker: worker, Incarnation: 1, Outcome: outcome,
		Spec: &applier.Spec{ID: job, ClientAccount: "team", Queue: queue}, Task: modeller.TaskID{Job: job},
	})
	fleet.applyDecisions()
}

func (fleet *fleet) nextJob() modeller.JobID {
	fleet.lastJob++
	return fleet.lastJob
}

func (fleet *fleet) applyDecisions() {
	for _, change := range fleet.quarantiner.Decide(fleet.now) {
		fleet.states[change.Worker] = change.State
		fleet.quarantiner.Observe(&applier.Event{Kind: applier.EventWorkerChanged, Time: fleet.now, Worker: change.Worker, Incarnation: 1, WorkerState: change.State})
	}
}

func TestAWorkerThatFailsWhereOthersSucceedIsQuarantined(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(10)
	fleet.endAttempt(fleet.nextJob(), "q", "w1", modeller.Succeeded)
	fleet.endAttempt(fleet.nextJob(), "q", "w0", modeller.Failed)
	fleet.endAttempt(fleet.nextJob(), "q", "w0", modeller.Failed)
	c.Check(fleet.states["w0"], qt.Equals, modeller.WorkerUp)
	fleet.endAttempt(fleet.nextJob(), "q", "w0", modeller.Failed)
	c.Check(fleet.states["w0"], qt.Equals, modeller.WorkerQuarantined)
	c.Check(fleet.states["w1"], qt.Equals, modeller.WorkerUp)
}

func TestAJobThatFailsEverywhereIsNoWorkersFault(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(10)
	fleet.endAttempt(fleet.nextJob(), "q", "w9", modeller.Succeeded)
	for range 5 {
		job := fleet.nextJob()
		for index := range 4 {
			fleet.endAttempt(job, "q", modeller.WorkerName(fmt.Sprintf("w%d", index)), modeller.Failed)
		}
	}
	for name, state := range fleet.states {
		c.Check(state, qt.Equals, modeller.WorkerUp, qt.Commentf("%s", name))
	}
}

func TestAQueueInWhichNoOtherSucceedsIsNoWorkersFault(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(10)
	fleet.endAttempt(fleet.nextJob(), "other", "w1", modeller.Succeeded)
	fleet.endAttempt(fleet.nextJob(), "broken", "w0", modeller.Succeeded)
	for range 10 {
		fleet.endAttempt(fleet.nextJob(), "broken", "w0", modeller.Failed)
	}
	c.Check(fleet.states["w0"], qt.Equals, modeller.WorkerUp)
}

func TestAWorkerThatMostlySucceedsIsNotQuarantined(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(10)
	fleet.endAttempt(fleet.nextJob(), "q", "w1", modeller.Succeeded)
	for range 10 {
		fleet.endAttempt(fleet.nextJob(), "q", "w0", modeller.Succeeded)
		fleet.endAttempt(fleet.nextJob(), "q", "w0", modeller.Failed)
	}
	c.Check(fleet.states["w0"], qt.Equals, modeller.WorkerUp)
}

func TestReturnNeedsSuccessOnProbation(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(10)
	fleet.endAttempt(fleet.nextJob(), "q", "w1", modeller.Succeeded)
	for range 3 {
		fleet.endAttempt(fleet.nextJob(), "q", "w0", modeller.Failed)
	}
	c.Assert(fleet.states["w0"], qt.Equals, modeller.WorkerQuarantined)
	stay := modeller.Millis(30_000)
	for range 3 {
		fleet.now += stay - 1
		fleet.applyDecisions()
		c.Assert(fleet.states["w0"], qt.Equals, modeller.WorkerQuarantined)
		fleet.now++
		fleet.applyDecisions()
		c.Assert(fleet.states["w0"], qt.Equals, modeller.WorkerProbation)
		fleet.endAttempt(fleet.nextJob(), "q", "w0", modeller.Failed)
		c.Assert(fleet.states["w0"], qt.Equals, modeller.WorkerQuarantined)
		stay *= 2
	}
	fleet.now += stay
	fleet.applyDecisions()
	fleet.endAttempt(fleet.nextJob(), "q", "w0", modeller.Succeeded)
	c.Check(fleet.states["w0"], qt.Equals, modeller.WorkerUp)
}

// TestQuarantinedShareIsBounded checks, for random sequences of successes and
// failures, that no more than the configured share of the workers is in
// quarantine, and that no worker returns from quarantine to state Up without
// probation.
func TestQuarantinedShareIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(1, 12).Draw(t, "workers")
		fleet := newFleet(workers)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			before := make(map[modeller.WorkerName]modeller.WorkerState)
			for name, state := range fleet.states {
				before[name] = state
			}
			worker := modeller.WorkerName(fmt.Sprintf("w%d", rapid.IntRange(0, workers-1).Draw(t, "worker")))
			outcome := rapid.SampledFrom([]modeller.Outcome{modeller.Failed, modeller.Failed, modeller.Succeeded}).Draw(t, "outcome")
			fleet.now += modeller.Millis(rapid.IntRange(0, 5000).Draw(t, "millis"))
			fleet.endAttempt(modeller.JobID(rapid.IntRange(1, 60).Draw(t, "job")), "q", worker, outcome)
			quarantined := 0
			for name, state := range fleet.states {
				if state == modeller.WorkerQuarantined {
					quarantined++
				}
				if before[name] == modeller.WorkerQuarantined && state == modeller.WorkerUp {
					t.Fatalf("%s returned to Up without probation", name)
				}
			}
			if quarantined > max(1, workers/5) {
				t.Fatalf("%d of %d workers are in quarantine", quarantined, workers)
			}
		}
	})
}
