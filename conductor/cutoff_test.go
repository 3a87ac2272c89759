package conductor_test

import (
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/conductor"
	"github.com/dotterelrill/dotterelrill/stager"
)

// TestAJobWhoseWorkersAreCutOffIsNotGivenUp guards against sound jobs that fail because the
// workers of a task were out of reach for longer than a lease, time after time.
func TestAJobWhoseWorkersAreCutOffIsNotGivenUp(t *testing.T) {
	const cuts, cutAfter, cutFor = 6, 100 * time.Millisecond, livenessLease + 600*time.Millisecond
	const traffic, calm = 10 * time.Second, 90 * time.Second
	for seed := *deadlySeed; seed < *deadlySeed+*deadlySeeds; seed++ {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			rig := newLivenessRig(t, seed)
			var cutOff atomic.Int32
			rig.onRun = func(worker *livenessWorker, order *conductor.StartOrder) {
				if strings.HasPrefix(string(order.Task.Job), "swap-1") && order.Attempt <= cuts {
					cutOff.Add(1)
					worker.later(cutAfter, func() { worker.cutUntil = time.Now().Add(cutFor) })
				}
			}
			rig.submitJobs(t.Context(), traffic)
			time.Sleep(traffic + calm)
			rig.mutex.Lock()
			defer rig.mutex.Unlock()
			c.Check(cutOff.Load(), qt.Not(qt.Equals), int32(0))
			for id, job := range rig.state.Jobs {
				if !strings.HasSuffix(string(id), livenessPoison) {
					c.Check(job.Status(), qt.Equals, stager.Completed, qt.Commentf("seed %d: %s", seed, id))
				}
			}
		})
	}
}
