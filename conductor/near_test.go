package conductor_test

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/dotterelrill/dotterelrill/conductor"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

func rackSettings(penalty float64) conductor.Settings {
	return conductor.Settings{Lease: lease, StaleAfter: time.Minute, GangWait: time.Second, RemotePenalty: penalty}
}

// newRackFleet returns a fleet of worker w1 in rack r1 and w2 in rack r2, of 8 cores each,
// which also have their names as labels.
func newRackFleet(t *testing.T, penalty float64) *fleet {
	fleet := newConfiguredFleet(t, nil, nil, rackSettings(penalty))
	for _, number := range []string{"1", "2"} {
		fleet.mutex.Lock()
		fleet.incarnations[modeller.WorkerName("w"+number)] = 1
		fleet.mutex.Unlock()
		fleet.announceWorker(context.Background(), &stager.Announcement{Clock: workerClock(), Number: 1, Worker: stager.Worker{
			Name: modeller.WorkerName("w" + number), Life: 1, Pool: "p", Address: "w" + number, Rack: modeller.RackName("r" + number), Labels: []string{"w" + number},
			Capacity: modeller.Resources{MilliProcessors: 8000, MemoryMiB: 1000},
		}})
	}
	return fleet
}

// rackStep returns a step whose data is in rack r1.
func rackStep(tasks uint32, runTime modeller.Millis) stager.Step {
	step := singleCoreStep(tasks)
	step.DataRack, step.RunTime = "r1", runTime
	return step
}

// fill runs a job whose data is in rack r1 on all cores of a worker.
func (fleet *fleet) fill(worker modeller.WorkerName, job string, runTime modeller.Millis) {
	step := rackStep(8, runTime)
	step.Label = string(worker)
	fleet.submit(job, step)
	fleet.await(job, func() bool { return len(fleet.running[worker]) == 8 })
}

// finishAll ends all tasks of a job's first step on a worker.
func (fleet *fleet) finishAll(worker modeller.WorkerName, job string, tasks int) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for index := range tasks {
		fleet.finish(worker, fmt.Sprintf("%s.0.0.%d", job, index), stager.Succeeding)
	}
}

// runsOn reports whether a worker runs the task of job j. The mutex must be held.
func (fleet *fleet) runsOn(worker modeller.WorkerName) bool {
	_, found := fleet.running[worker]["j.0.0.0"]
	return found
}

// waits returns the number of waits with a result.
func (fleet *fleet) waits(result string) uint64 {
	return fleet.metrics.GetOrCreateCounter(fmt.Sprintf("dotterel_staged_near_waits_total{result=%q}", result)).Get()
}

// TestAStepWaitsForItsRack guards against a step that runs elsewhere although its rack has
// room soon, and against one that waits where the setting is off.
func TestAStepWaitsForItsRack(t *testing.T) {
	for _, penalty := range []float64{0, 3} {
		t.Run(fmt.Sprint(penalty), func(t *testing.T) {
			fleet := newRackFleet(t, penalty)
			fleet.fill("w1", "old", 1000)
			fleet.submit("j", rackStep(1, 4000))
			if penalty == 0 {
				fleet.await("the start elsewhere", func() bool { return fleet.runsOn("w2") })
				return
			}
			fleet.await("the wait", func() bool { return fleet.waits("Begun") == 1 })
			fleet.finishAll("w1", "old", 8)
			fleet.await("the start near", func() bool { return fleet.runsOn("w1") && fleet.waits("PaidOff") == 1 })
		})
	}
}

// TestAWaitEndsWithoutNews guards against a step that waits on for a rack that reports no
// ends, since nothing else causes a pass.
func TestAWaitEndsWithoutNews(t *testing.T) {
	fleet := newRackFleet(t, 3)
	fleet.fill("w1", "old", 100)
	fleet.submit("j", rackStep(1, 600))
	fleet.await("the start elsewhere", func() bool { return fleet.runsOn("w2") })
}

// TestThePenaltyIsLearnedFromRunTimes has a queue whose tasks run six times as long
// elsewhere, which the setting does not tell, and expects the next step to wait.
func TestThePenaltyIsLearnedFromRunTimes(t *testing.T) {
	fleet := newRackFleet(t, 1.01)
	for worker, takes := range map[modeller.WorkerName]time.Duration{"w1": 200 * time.Millisecond, "w2": 1200 * time.Millisecond} {
		job := "on-" + string(worker)
		fleet.fill(worker, job, 200)
		time.Sleep(takes)
		fleet.finishAll(worker, job, 8)
		fleet.await("the end", func() bool { return fleet.state.Jobs[stager.JobID(job)].Status() == stager.Completed })
	}
	fleet.mutex.Lock()
	fleet.percent["w1"] = 90
	fleet.mutex.Unlock()
	fleet.fill("w1", "old", 200)
	time.Sleep(200 * time.Millisecond)
	fleet.submit("j", rackStep(1, 200))
	fleet.await("the wait", func() bool { return fleet.waits("Begun") > 0 })
}

// TestANewLeaderTakesUpAWait loses the leader of a step that waits. It guards against a new
// leader that starts the step elsewhere at once, and against one that never starts it.
func TestANewLeaderTakesUpAWait(t *testing.T) {
	for _, ends := range []bool{true, false} {
		t.Run(fmt.Sprint("near room ", ends), func(t *testing.T) {
			first := newRackFleet(t, 3)
			first.fill("w1", "old", 300)
			first.submit("j", rackStep(1, 1500))
			first.await("the wait", func() bool { return first.waits("Begun") == 1 })
			first.mutex.Lock()
			first.lead = false
			state, running := first.state.Clone(), maps.Clone(first.running["w1"])
			first.mutex.Unlock()

			second := newConfiguredFleet(t, state, nil, rackSettings(3))
			second.mutex.Lock()
			second.running["w1"] = running
			// The new leader reaches w1 first: a rack of which no worker was reached is not
			// waited for.
			asked := false
			second.onHold = func(target conductor.Target, _ *conductor.HoldOrder) *conductor.HoldAnswer {
				if target.Worker == "w1" || asked {
					return nil
				}
				asked = true
				return &conductor.HoldAnswer{Answer: conductor.Answer{Outcome: conductor.Unanswered}}
			}
			second.incarnations["w1"], second.incarnations["w2"] = 1, 1
			second.mutex.Unlock()
			if !ends {
				second.await("the start elsewhere", func() bool { return second.runsOn("w2") })
				return
			}
			second.await("the wait", func() bool { return second.waits("Begun") > 0 })
			second.finishAll("w1", "old", 8)
			second.await("the start near", func() bool { return second.runsOn("w1") && second.waits("PaidOff") == 1 })
		})
	}
}
