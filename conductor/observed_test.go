package conductor_test

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/conductor"
	"github.com/dotterelrill/dotterelrill/stager"
)

// forgetObserved makes the workers forget the endings that a hold acknowledges, as real
// ones do. The mutex must be held.
func (fleet *fleet) forgetObserved() {
	fleet.onHold = func(target conductor.Target, order *conductor.HoldOrder) *conductor.HoldAnswer {
		fleet.endings[target.Worker] = slices.DeleteFunc(fleet.endings[target.Worker], func(ended conductor.EndedAttempt) bool { return ended.Number <= order.Observed })
		return nil
	}
}

// TestAnIdleWorkersNewIncarnationKeepsItsEndings guards against a failure that is
// acknowledged unread, so that its task is tried once too often.
func TestAnIdleWorkersNewIncarnationKeepsItsEndings(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(t, nil)
	fleet.mutex.Lock()
	fleet.forgetObserved()
	fleet.mutex.Unlock()
	fleet.announce("w", 4)
	fleet.submit("before", singleCoreStep(1))
	fleet.await("the start", func() bool { return len(fleet.running["w"]) == 1 })
	fleet.mutex.Lock()
	fleet.finish("w", "before.0.0.0", stager.Succeeding)
	fleet.mutex.Unlock()
	fleet.await("the acknowledgement", func() bool { return fleet.acknowledged["w"] == 1 })

	fleet.mutex.Lock()
	fleet.incarnations["w"], fleet.starts = 2, nil
	fleet.onStart = func(target conductor.Target, order *conductor.StartOrder) conductor.Answer {
		fleet.running[target.Worker] = map[string]conductor.StartOrder{order.Task.String(): *order}
		fleet.finish(target.Worker, order.Task.String(), stager.Failing)
		return conductor.Answer{Outcome: conductor.Obeyed, Clock: workerClock()}
	}
	fleet.mutex.Unlock()
	fleet.submit("j", singleCoreStep(1))
	fleet.await("the new incarnation's endings are asked for", func() bool {
		job := fleet.state.Jobs["j"]
		return job != nil && len(fleet.starts) == 1 && job.Live() == 0
	})
	fleet.announceIncarnation("w", 4, 2)
	fleet.await("the job's failure", func() bool { return fleet.status() == stager.Failed })
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	c.Check(fleet.starts, qt.DeepEquals, []string{"j.0.0.0", "j.0.0.0"})
}
