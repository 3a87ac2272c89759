package conductor_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/conductor"
	"github.com/dotterelrill/dotterelrill/stager"
)

// TestJobsThatHaveNotBegunArePending guards against jobs that callers see as begun while
// their starts are on the way to workers that are cut off or lost.
func TestJobsThatHaveNotBegunArePending(t *testing.T) {
	const jobs, cutFor = 10, livenessLease + time.Second
	for name, crash := range map[string]bool{"cut off": false, "crashed": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				rig := newLivenessRig(t, 1)
				var mutex sync.Mutex
				begun := make(map[stager.JobID]bool)
				rig.onRun = func(_ *livenessWorker, order *conductor.StartOrder) {
					mutex.Lock()
					defer mutex.Unlock()
					begun[order.Task.Job] = true
				}
				time.Sleep(livenessHeartbeat)
				for _, worker := range rig.workers {
					worker.mutex.Lock()
					worker.cutUntil = time.Now().Add(cutFor)
					if crash {
						worker.crash()
						worker.later(cutFor, worker.begin)
					}
					worker.mutex.Unlock()
				}
				class := livenessClassOf("pair-0")
				for number := range jobs {
					rig.submit(t.Context(), class, fmt.Sprint("pair-", number))
				}
				placed := false
				for span := time.Duration(0); span < 2*cutFor; span += 100 * time.Millisecond {
					time.Sleep(100 * time.Millisecond)
					leader := rig.currentLeader()
					rig.mutex.Lock()
					accepted := len(rig.state.Jobs)
					shown := rig.state.Pending("pair") + leader.conductor.Unbegun("pair")
					placed = placed || rig.state.Pending("pair") < accepted
					rig.mutex.Unlock()
					mutex.Lock()
					waiting := accepted - len(begun)
					mutex.Unlock()
					c.Check(shown >= waiting, qt.IsTrue, qt.Commentf("after %s: %d jobs are said to wait, %d do", span, shown, waiting))
				}
				c.Check(placed, qt.IsTrue)
				rig.mutex.Lock()
				defer rig.mutex.Unlock()
				c.Check(begun, qt.HasLen, len(rig.state.Jobs))
				c.Check(rig.state.Pending("pair")+rig.leader.conductor.Unbegun("pair"), qt.Equals, 0)
			})
		})
	}
}
