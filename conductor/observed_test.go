package conductor_test

import (
	"slices"
	"testing"
	"time"

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

// TestAnEndingCommittedAfterARestartIsNotAcknowledgedToTheNewIncarnation guards against
// the same loss when the commit of an old ending takes longer than the restart.
func TestAnEndingCommittedAfterARestartIsNotAcknowledgedToTheNewIncarnation(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(t, nil)
	fleet.mutex.Lock()
	fleet.forgetObserved()
	fleet.mutex.Unlock()
	fleet.announce("w", 4)
	fleet.submit("j", singleCoreStep(2))
	fleet.await("the starts", func() bool { return len(fleet.running["w"]) == 2 })

	commitGate, reportGate, holdGate := make(chan struct{}), make(chan struct{}), make(chan struct{})
	fleet.mutex.Lock()
	fleet.holdGate = reportGate
	holds := len(fleet.holdOrder)
	fleet.mutex.Unlock()
	fleet.await("a hold", func() bool { return len(fleet.holdOrder) > holds })
	fleet.mutex.Lock()
	fleet.commitGate = commitGate
	fleet.finish("w", "j.0.0.0", stager.Succeeding)
	fleet.mutex.Unlock()
	close(reportGate)
	// No other hold is sent before the commit.
	fleet.await("the ending's report", func() bool { return fleet.holdsInFlight == 0 })

	fleet.mutex.Lock()
	fleet.holdGate = holdGate
	order := fleet.running["w"]["j.0.0.1"]
	fleet.incarnations["w"], fleet.running["w"] = 2, nil
	fleet.endings["w"] = []conductor.EndedAttempt{{Number: 1, Task: order.Task, Attempt: order.Attempt, How: stager.Failing}}
	fleet.mutex.Unlock()
	go fleet.announceIncarnation("w", 4, 2)
	fleet.await("the stop on the new incarnation", func() bool { return slices.Contains(fleet.stops, "j.0.0.1") })
	fleet.mutex.Lock()
	fleet.commitGate, fleet.holdGate = nil, nil
	fleet.mutex.Unlock()
	close(commitGate)
	fleet.await("the commit", func() bool { return fleet.state.Jobs["j"].Live() == 1 })
	time.Sleep(50 * time.Millisecond)
	// The hold that was sent before the commit gets no answer.
	fleet.mutex.Lock()
	fleet.lostHolds = 1
	fleet.mutex.Unlock()
	close(holdGate)
	fleet.await("the next start", func() bool { return fleet.running["w"]["j.0.0.1"].Attempt == 2 })
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	task := fleet.state.Jobs["j"].Task(order.Task)
	c.Check(task.Failures, qt.Equals, uint32(1))
}
