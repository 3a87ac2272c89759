package conductor_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// sharedFleet is a fifth of a deployment whose callers compete for too little room at times:
// 20 client accounts on 350 workers of 16 cores, of which the work takes 0.88 on average. Its
// steps are at most twice as wide as the mean gang, since a fifth of the fleet holds no more.
var sharedFleet = loadFleet{
	classes: []loadClass{
		{queue: "reindex", perSecond: 4.72 / 5, steps: 1, meanTasks: 20, cores: 4.5, memoryMiB: 17000, runTime: 5 * time.Second, gang: true, decide: 572 * time.Millisecond, perWorker: 8060 * time.Microsecond, good: 0.35, slack: 2.2, allowance: 1000, rank: 1},
		{queue: "transcribe", perSecond: 9.85 / 5, steps: 2, meanTasks: 25, cores: 1.7, memoryMiB: 6400, runTime: 2700 * time.Millisecond, decide: 130 * time.Millisecond, perWorker: 1820 * time.Microsecond, good: 0.45, slack: 4, allowance: 3000, rank: 2},
		{queue: "lookup", perSecond: 137.0 / 5, steps: 1, meanTasks: 3, cores: 2.5, memoryMiB: 5100, runTime: 640 * time.Millisecond, decide: 9360 * time.Microsecond, perWorker: 130 * time.Microsecond, good: 0.7, slack: 1.5, allowance: 250},
	},
	workers: 70, capacity: modeller.Resources{MilliProcessors: 16000, MemoryMiB: 65536}, advisers: 8, accounts: 20, widest: 40,
}

// playShared plays the shared fleet's load at a factor and returns, by class, the share of
// jobs on time.
func playShared(t *testing.T, unordered bool, factor float64, span time.Duration) (onTime []float64) {
	synctest.Test(t, func(t *testing.T) {
		fleet := sharedFleet
		fleet.unordered = unordered
		rig := newLoadRig(t, fleet)
		rig.play(t.Context(), span, factor)
		for at := range fleet.classes {
			onTime = append(onTime, rig.onTime(&fleet.classes[at]))
		}
		t.Logf("unordered %t, %.1f times the load\n%s", unordered, factor, rig.report())
	})
	return onTime
}

// TestBeyondCapacityUrgentJobsStayOnTime compares the order by ranks and shares, with
// questions that do not wait, with the order by latest start alone. Below capacity it must
// cost nobody anything; beyond it, urgent lookups must stay on time, as their rank says, and
// the jobs on time of all classes together must not become fewer.
func TestBeyondCapacityUrgentJobsStayOnTime(t *testing.T) {
	// A backlog is played for a shorter time, since it takes longer to compute.
	for factor, span := range map[float64]time.Duration{0.8: 90 * time.Second, 1: 90 * time.Second, 1.3: time.Minute, 2: 45 * time.Second} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			c := qt.New(t)
			before, after := playShared(t, true, factor, span), playShared(t, false, factor, span)
			t.Logf("on time before %.3f, now %.3f", before, after)
			total := func(shares []float64) (sum float64) {
				for at, share := range shares {
					sum += share * sharedFleet.classes[at].perSecond
				}
				return sum
			}
			c.Check(after[2] >= 0.95, qt.IsTrue, qt.Commentf("lookups: %.3f", after[2]))
			c.Check(total(after) >= 0.98*total(before), qt.IsTrue, qt.Commentf("jobs on time: %.1f, %.1f before", total(after), total(before)))
			if factor <= 1 {
				for at := range after {
					c.Check(after[at] >= before[at]-0.05, qt.IsTrue, qt.Commentf("%s: %.3f, %.3f before", sharedFleet.classes[at].queue, after[at], before[at]))
				}
			}
		})
	}
}

// TestAFloodOfOneAccountHardlyMovesOthers lets one account hand in lookups at four times the
// rate of all others together, which is beyond what the fleet can run. The times of the
// others' jobs must grow by at most a tenth, the users' target.
func TestAFloodOfOneAccountHardlyMovesOthers(t *testing.T) {
	calm, flooded := playFlood(t, false), playFlood(t, true)
	for _, queue := range []modeller.QueueName{"lookup", "transcribe"} {
		t.Run(string(queue), func(t *testing.T) {
			for _, share := range []int{50, 95} {
				before, after := percentile(calm[queue], share), percentile(flooded[queue], share)
				qt.Check(t, after <= before*11/10, qt.IsTrue, qt.Commentf("%d of 100 within %s, %s without the flood", share, after, before))
			}
		})
	}
}

// playFlood plays the shared fleet's load below its capacity, with or without the flood, and
// returns the times of the jobs that are not of the flood.
func playFlood(t *testing.T, flooded bool) (times map[modeller.QueueName][]time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		rig := newLoadRig(t, sharedFleet)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		if flooded {
			go rig.flood(ctx, 4*137/5)
		}
		rig.play(t.Context(), 40*time.Second, 0.8)
		cancel()
		t.Logf("flooded %t\n%s", flooded, rig.report())
		rig.mutex.Lock()
		defer rig.mutex.Unlock()
		times = rig.times
	})
	return times
}

// percentile returns within what time a share, in percent, of the jobs ended.
func percentile(times []time.Duration, share int) time.Duration {
	sorted := slices.Sorted(slices.Values(times))
	return sorted[len(sorted)*share/100]
}

// flood submits lookups of the first account until the context ends. They are not counted.
func (rig *loadRig) flood(ctx context.Context, perSecond float64) {
	class := &rig.fleet.classes[2]
	for number := 0; ctx.Err() == nil; number++ {
		id := stager.JobID(fmt.Sprintf("%s-flood-%d", class.queue, number))
		submit := &stager.Submit{ID: id, ClientAccount: accountName(0), Queue: class.queue, Payload: fmt.Sprint(class.runTime.Milliseconds()), Steps: []stager.Step{{
			Tasks: 3, Size: modeller.Resources{MilliProcessors: int64(1000 * class.cores), MemoryMiB: class.memoryMiB}, RunTime: modeller.Millis(class.runTime.Milliseconds()),
		}}}
		go func() { _ = rig.conductor.Submit(ctx, submit) }()
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
	}
}
