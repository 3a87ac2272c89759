package conductor_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/conductor"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// fleet is a conductor with a log that commits when it is told to, and workers
// that do as they are told.
type fleet struct {
	c         *qt.C
	state     *stager.State
	conductor *conductor.Conductor
	ended     chan error

	mutex sync.Mutex
	// held is closed to let batches be committed, nil if they are at once.
	held    chan struct{}
	failing bool
	running map[modeller.WorkerName]map[string]conductor.StartOrder
	done    map[modeller.WorkerName][]conductor.EndedAttempt
	starts  []string
	stops   []string
	// observed is the highest that each worker was told to forget.
	observed map[modeller.WorkerName]uint64
	// onStart and onHold replace the workers' answers if they are set.
	onStart func(conductor.Target, *conductor.StartOrder) conductor.Answer
	onHold  func(conductor.Target, *conductor.HoldOrder) *conductor.Holding
	lead    bool
	// percent is how far all that a worker runs is.
	percent map[modeller.WorkerName]int
	// lives are those announced last.
	lives map[modeller.WorkerName]stager.Life
	// blocked is closed by the next start, which waits for its context; cancelled
	// is true if that was called back.
	blocked   chan struct{}
	cancelled bool
	// lostHolds is how many of the next holds that wait get no answer.
	lostHolds int
	// last is closed once the batch before is decided.
	last chan struct{}
}

const (
	lease = 600 * time.Millisecond
	queue = "draw"
)

func deployment() *stager.Deployment {
	return &stager.Deployment{
		Version:  1,
		Queues:   []stager.Queue{{Name: queue, Host: "h", Prefix: "/q/", Pool: "p", MostFailures: 2, Slack: 2, Allowance: 1000, Timeout: 3000}},
		Pools:    []stager.Pool{{Name: "p"}},
		Accounts: []stager.Account{{Name: "a", Weight: 1}},
	}
}

// newFleet begins a conductor over a state, or over a new one with a deployment.
func newFleet(t *testing.T, state *stager.State) *fleet {
	c := qt.New(t)
	if state == nil {
		state = stager.New()
		c.Assert(state.Apply(&stager.Batch{Term: 1, Sequence: 1, Now: 1, Commands: []stager.Command{
			{Begin: &stager.Begin{KeepEnded: 100_000}}, {Deploy: deployment()},
		}}), qt.IsNil)
	}
	fleet := &fleet{
		c: c, state: state, ended: make(chan error, 1), lead: true,
		running: make(map[modeller.WorkerName]map[string]conductor.StartOrder), done: make(map[modeller.WorkerName][]conductor.EndedAttempt),
		observed: make(map[modeller.WorkerName]uint64),
		percent:  make(map[modeller.WorkerName]int),
		lives:    make(map[modeller.WorkerName]stager.Life),
	}
	begun := time.Now()
	copied, err := state.Clone()
	c.Assert(err, qt.IsNil)
	fleet.conductor = conductor.New(conductor.Config{
		State:    copied,
		Clock:    func() time.Duration { return time.Since(begun) + time.Hour },
		Now:      func() modeller.Millis { return modeller.Millis(time.Now().UnixMilli()) },
		Leads:    func() bool { fleet.mutex.Lock(); defer fleet.mutex.Unlock(); return fleet.lead },
		Propose:  fleet.propose,
		Start:    fleet.start,
		Stop:     fleet.stop,
		Hold:     fleet.hold,
		Ask:      func(stager.Inquiry) bool { return false },
		Answered: func(stager.StepID) {},
		Lost:     func() []stager.StepID { return nil },
		Terms:    conductor.Terms{Lease: lease, StaleAfter: time.Minute, GangWait: time.Second},
		Logger:   log.NewNopLogger(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { fleet.ended <- fleet.conductor.Run(ctx) }()
	t.Cleanup(cancel)
	return fleet
}

func (fleet *fleet) propose(_ context.Context, batch *stager.Batch) (func(context.Context) error, error) {
	fleet.mutex.Lock()
	held, before, done := fleet.held, fleet.last, make(chan struct{})
	fleet.last = done
	fleet.mutex.Unlock()
	return func(context.Context) error {
		defer close(done)
		if held != nil {
			<-held
		}
		if before != nil {
			<-before
		}
		fleet.mutex.Lock()
		defer fleet.mutex.Unlock()
		if fleet.failing {
			return fmt.Errorf("lost")
		}
		return fleet.state.Apply(batch)
	}, nil
}

func (fleet *fleet) start(ctx context.Context, target conductor.Target, order *conductor.StartOrder) conductor.Answer {
	fleet.mutex.Lock()
	if blocked := fleet.blocked; blocked != nil {
		fleet.blocked = nil
		fleet.mutex.Unlock()
		close(blocked)
		<-ctx.Done()
		fleet.mutex.Lock()
		defer fleet.mutex.Unlock()
		fleet.cancelled = errors.Is(ctx.Err(), context.Canceled)
		return conductor.Answer{Outcome: conductor.Unanswered}
	}
	defer fleet.mutex.Unlock()
	if ctx.Err() != nil {
		return conductor.Answer{Outcome: conductor.Unanswered}
	}
	fleet.starts = append(fleet.starts, order.Task.String())
	if fleet.onStart != nil {
		if answer := fleet.onStart(target, order); answer.Outcome != 0 {
			return answer
		}
	}
	if fleet.running[target.Worker] == nil {
		fleet.running[target.Worker] = make(map[string]conductor.StartOrder)
	}
	fleet.running[target.Worker][order.Task.String()] = *order
	return conductor.Answer{Outcome: conductor.Obeyed, Clock: clock()}
}

func (fleet *fleet) stop(ctx context.Context, target conductor.Target, order *conductor.StopOrder) conductor.Answer {
	time.Sleep(time.Millisecond)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if ctx.Err() != nil {
		return conductor.Answer{Outcome: conductor.Unanswered}
	}
	fleet.stops = append(fleet.stops, order.Task.String())
	fleet.finish(target.Worker, order.Task.String(), stager.Stopping)
	return conductor.Answer{Outcome: conductor.Obeyed, Clock: clock()}
}

// finish ends what a worker runs. The mutex is held.
func (fleet *fleet) finish(worker modeller.WorkerName, task string, how stager.Ending) {
	order, found := fleet.running[worker][task]
	if !found {
		return
	}
	delete(fleet.running[worker], task)
	fleet.done[worker] = append(fleet.done[worker], conductor.EndedAttempt{
		Number: uint64(len(fleet.done[worker]) + 1), Task: order.Task, Attempt: order.Attempt, How: how,
	})
}

func (fleet *fleet) hold(ctx context.Context, target conductor.Target, order *conductor.HoldOrder) conductor.Holding {
	time.Sleep(5 * time.Millisecond)
	fleet.mutex.Lock()
	if fleet.lostHolds > 0 && order.Wait > 0 {
		fleet.lostHolds--
		fleet.mutex.Unlock()
		<-ctx.Done()
		fleet.mutex.Lock()
		defer fleet.mutex.Unlock()
		return conductor.Holding{Answer: conductor.Answer{Outcome: conductor.Unanswered}}
	}
	defer fleet.mutex.Unlock()
	if ctx.Err() != nil {
		return conductor.Holding{Answer: conductor.Answer{Outcome: conductor.Unanswered}}
	}
	if fleet.onHold != nil {
		if holding := fleet.onHold(target, order); holding != nil {
			return *holding
		}
	}
	fleet.observed[target.Worker] = max(fleet.observed[target.Worker], order.Observed)
	holding := conductor.Holding{Answer: conductor.Answer{Outcome: conductor.Obeyed, Clock: clock()}, Life: fleet.lives[target.Worker]}
	for _, order := range fleet.running[target.Worker] {
		holding.Running = append(holding.Running, conductor.RunningAttempt{Task: order.Task, Attempt: order.Attempt, Percent: fleet.percent[target.Worker]})
	}
	for _, ended := range fleet.done[target.Worker] {
		if ended.Number > order.Observed {
			holding.Ended = append(holding.Ended, ended)
		}
	}
	return holding
}

// clock is every worker's.
func clock() modeller.Millis { return modeller.Millis(time.Now().UnixMilli()) }

func (fleet *fleet) announce(name string, cores int64) { fleet.announceLife(name, cores, 1) }

func (fleet *fleet) announceLife(name string, cores int64, life stager.Life) {
	fleet.mutex.Lock()
	fleet.lives[modeller.WorkerName(name)] = life
	fleet.mutex.Unlock()
	worker := stager.Worker{
		Name: modeller.WorkerName(name), Life: life, Pool: "p", Address: name,
		Capacity: modeller.Resources{MilliProcessors: 1000 * cores, MemoryMiB: 1000},
	}
	// A request's context ends with it.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	refusal := fleet.conductor.Announce(ctx, &stager.Announcement{Worker: worker, Clock: clock(), Number: 1})
	fleet.c.Assert(refusal == nil, qt.IsTrue, qt.Commentf("%v", refusal))
}

func (fleet *fleet) submit(id string, steps ...stager.Step) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	refusal := fleet.conductor.Submit(ctx, &stager.Submit{ID: stager.JobID(id), ClientAccount: "a", Queue: queue, Steps: steps})
	fleet.c.Assert(refusal == nil, qt.IsTrue, qt.Commentf("%v", refusal))
}

// await waits until a condition on the committed state and the workers holds.
func (fleet *fleet) await(what string, holds func() bool) {
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		fleet.mutex.Lock()
		done := holds()
		fleet.mutex.Unlock()
		if done {
			return
		}
	}
	fleet.c.Fatalf("%s did not come about", what)
}

// status returns that of the job j.
func (fleet *fleet) status() stager.Status {
	job := fleet.state.Jobs["j"]
	if job == nil {
		return 0
	}
	return job.Status()
}

func core(tasks uint32) stager.Step {
	return stager.Step{Tasks: tasks, Size: modeller.Resources{MilliProcessors: 1000, MemoryMiB: 10}, RunTime: 100}
}

func TestStepsRunOneAfterTheOther(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.announce("w", 4)
	second := core(1)
	second.After = []uint32{0}
	fleet.submit("j", core(2), second)
	fleet.await("the first step", func() bool { return len(fleet.running["w"]) == 2 })
	fleet.mutex.Lock()
	fleet.finish("w", "j.0.0.0", stager.Succeeding)
	fleet.finish("w", "j.0.0.1", stager.Succeeding)
	fleet.mutex.Unlock()
	fleet.await("the second step", func() bool { _, runs := fleet.running["w"]["j.0.1.0"]; return runs })
	fleet.mutex.Lock()
	fleet.finish("w", "j.0.1.0", stager.Succeeding)
	fleet.mutex.Unlock()
	fleet.await("the job's end", func() bool { return fleet.status() == stager.Completed && fleet.observed["w"] == 3 })
}

func TestNothingIsSentBeforeItIsCommitted(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.announce("w", 4)
	fleet.mutex.Lock()
	fleet.held = make(chan struct{})
	fleet.mutex.Unlock()
	answered := make(chan struct{})
	go func() { fleet.submit("j", core(1)); close(answered) }()
	// Longer than several ticks of the conductor.
	time.Sleep(450 * time.Millisecond)
	fleet.mutex.Lock()
	fleet.c.Check(fleet.starts, qt.HasLen, 0)
	held := fleet.held
	fleet.held = nil
	fleet.mutex.Unlock()
	select {
	case <-answered:
		fleet.c.Fatal("acknowledged before it was committed")
	default:
	}
	close(held)
	<-answered
	fleet.await("the start", func() bool { return len(fleet.starts) == 1 })
}

// TestCancelOfPlacementsThatAreNotCommitted ends several attempts of a job at
// once, the last of which ends the job's records too.
func TestCancelOfPlacementsThatAreNotCommitted(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.announce("w", 8)
	fleet.submit("other", core(1))
	fleet.await("a start", func() bool { return len(fleet.starts) == 1 })
	fleet.mutex.Lock()
	fleet.held = make(chan struct{})
	held := fleet.held
	fleet.mutex.Unlock()
	done := make(chan *coder.Refusal, 1)
	go func() { fleet.submit("j", core(5)) }()
	time.Sleep(50 * time.Millisecond)
	go func() { done <- fleet.conductor.Cancel(context.Background(), "j") }()
	time.Sleep(50 * time.Millisecond)
	fleet.mutex.Lock()
	fleet.held = nil
	fleet.mutex.Unlock()
	close(held)
	fleet.c.Check(<-done == nil, qt.IsTrue)
	fleet.await("the cancellation", func() bool { return fleet.status() == stager.Cancelled })
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.c.Check(fleet.starts, qt.DeepEquals, []string{"other.0.0.0"})
}

func TestAFailedTaskIsTriedAgainAndThenItsJobFails(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.announce("w", 4)
	fleet.submit("j", core(1))
	for attempt := range 2 {
		fleet.await("an attempt", func() bool { return len(fleet.starts) == attempt+1 && len(fleet.running["w"]) == 1 })
		fleet.mutex.Lock()
		fleet.finish("w", "j.0.0.0", stager.Failing)
		fleet.mutex.Unlock()
	}
	fleet.await("the job's failure", func() bool { return fleet.status() == stager.Failed })
}

// TestAnUnansweredStartIsNotPlacedElsewhereBeforeItsStop has starts that come
// without an answer and may be carried out later.
func TestAnUnansweredStartIsNotPlacedElsewhereBeforeItsStop(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.announce("w1", 4)
	fleet.mutex.Lock()
	fleet.onStart = func(target conductor.Target, _ *conductor.StartOrder) conductor.Answer {
		if target.Worker == "w1" {
			return conductor.Answer{Outcome: conductor.Unanswered}
		}
		fleet.c.Check(slices.Contains(fleet.stops, "j.0.0.0"), qt.IsTrue, qt.Commentf("placed again before the stop was acknowledged"))
		return conductor.Answer{}
	}
	fleet.mutex.Unlock()
	fleet.submit("j", core(1))
	fleet.await("a start", func() bool { return len(fleet.starts) > 0 })
	fleet.announce("w2", 4)
	fleet.await("the task elsewhere", func() bool { return len(fleet.running["w2"]) == 1 })
}

// TestASilentWorkersTasksWaitForItsLease expects a task elsewhere only after
// the lease that its worker was given is over.
func TestASilentWorkersTasksWaitForItsLease(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.announce("w1", 4)
	fleet.submit("j", core(1))
	fleet.await("a start", func() bool { return len(fleet.running["w1"]) == 1 })
	var expires modeller.Millis
	fleet.mutex.Lock()
	fleet.onHold = func(target conductor.Target, order *conductor.HoldOrder) *conductor.Holding {
		if target.Worker != "w1" {
			return nil
		}
		expires = max(expires, order.Expires)
		return &conductor.Holding{Answer: conductor.Answer{Outcome: conductor.Unanswered}}
	}
	fleet.mutex.Unlock()
	time.Sleep(lease)
	fleet.mutex.Lock()
	fleet.lead = true
	fleet.mutex.Unlock()
	fleet.announce("w2", 4)
	fleet.await("the task elsewhere", func() bool { return len(fleet.running["w2"]) == 1 })
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.c.Check(expires > 0, qt.IsTrue)
	fleet.c.Check(clock() > expires, qt.IsTrue, qt.Commentf("%d ms before the lease's end", expires-clock()))
}

// TestALaterLeaderTakesOver lets a conductor go on from what another committed.
func TestALaterLeaderTakesOver(t *testing.T) {
	first := newFleet(t, nil)
	first.announce("w", 4)
	first.submit("j", core(2))
	first.await("the starts", func() bool { return len(first.running["w"]) == 2 })
	first.mutex.Lock()
	first.failing = true
	state, running, starts := first.state, maps.Clone(first.running["w"]), len(first.starts)
	first.mutex.Unlock()
	_ = first.conductor.Deploy(context.Background(), &stager.Deployment{Version: 9})
	first.c.Assert(<-first.ended, qt.ErrorIs, conductor.ErrReplaced)
	first.c.Assert(state.Apply(&stager.Batch{Term: 2, Sequence: 1, Now: 1, Commands: []stager.Command{{Begin: &stager.Begin{KeepEnded: 1000}}}}), qt.IsNil)

	second := newFleet(t, state)
	second.mutex.Lock()
	second.running["w"] = running
	second.mutex.Unlock()
	second.mutex.Lock()
	second.finish("w", "j.0.0.0", stager.Succeeding)
	second.finish("w", "j.0.0.1", stager.Succeeding)
	second.mutex.Unlock()
	second.await("the job's end", func() bool { return second.status() == stager.Completed })
	second.c.Check(starts, qt.Equals, 2)
	second.c.Check(len(second.starts) <= 2, qt.IsTrue)
}

func TestAConductorEndsWhenABatchIsLost(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.mutex.Lock()
	fleet.failing = true
	fleet.mutex.Unlock()
	refusal := fleet.conductor.Submit(context.Background(), &stager.Submit{ID: "j", Queue: queue, Steps: []stager.Step{core(1)}})
	fleet.c.Assert(refusal != nil, qt.IsTrue)
	fleet.c.Check(refusal.Code, qt.Equals, coder.Unknown, qt.Commentf("another leader may still commit it"))
	fleet.c.Check(<-fleet.ended, qt.ErrorIs, conductor.ErrReplaced)
}

func TestDeployments(t *testing.T) {
	fleet := newFleet(t, nil)
	deploy := func(change func(*stager.Deployment)) coder.Code {
		made := deployment()
		change(made)
		if refusal := fleet.conductor.Deploy(context.Background(), made); refusal != nil {
			return refusal.Code
		}
		return coder.OK
	}
	fleet.c.Check(deploy(func(made *stager.Deployment) { made.Version = 3 }), qt.Equals, coder.OK)
	fleet.c.Check(deploy(func(made *stager.Deployment) { made.Version = 3 }), qt.Equals, coder.OK)
	fleet.c.Check(deploy(func(*stager.Deployment) {}), qt.Equals, coder.OK, qt.Commentf("an older one is acknowledged"))
	fleet.c.Check(deploy(func(made *stager.Deployment) { made.Version, made.Digest[0] = 3, 1 }), qt.Equals, coder.RevisionConflict)
	fleet.c.Check(deploy(func(made *stager.Deployment) { made.Version, made.Queues[0].Timeout = 4, 0 }), qt.Equals, coder.BadTemplate)
	fleet.c.Check(deploy(func(made *stager.Deployment) { made.Version, made.Queues[0].Pool = 4, "other" }), qt.Equals, coder.BadTemplate)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.c.Check(fleet.state.Deployment.Version, qt.Equals, uint64(3))
}

func TestAGangStopsWhenOneOfItCannotStart(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.announce("w1", 1)
	fleet.announce("w2", 1)
	refused := false
	fleet.mutex.Lock()
	fleet.onStart = func(target conductor.Target, _ *conductor.StartOrder) conductor.Answer {
		if target.Worker == "w2" && !refused {
			refused = true
			return conductor.Answer{Outcome: conductor.Rejected, Reason: conductor.Unhealthy}
		}
		return conductor.Answer{}
	}
	fleet.mutex.Unlock()
	gang := core(2)
	gang.Gang = true
	fleet.submit("j", gang)
	fleet.await("the whole gang", func() bool {
		return len(fleet.running["w1"]) == 1 && len(fleet.running["w2"]) == 1 &&
			fleet.running["w1"]["j.0.0.0"].Attempt+fleet.running["w1"]["j.0.0.1"].Attempt == 2
	})
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.c.Check(len(fleet.stops) >= 1, qt.IsTrue)
}

// TestAWorkerThatDoesNotAnswerGetsNothingNew has a worker that is cut off though
// its announcements come: what was placed there waited for its lease.
func TestAWorkerThatDoesNotAnswerGetsNothingNew(t *testing.T) {
	fleet := newFleet(t, nil)
	unanswered := conductor.Answer{Outcome: conductor.Unanswered}
	sent := 0
	fleet.mutex.Lock()
	fleet.onStart = func(target conductor.Target, _ *conductor.StartOrder) conductor.Answer {
		if target.Worker == "w1" {
			sent++
			return unanswered
		}
		return conductor.Answer{}
	}
	fleet.onHold = func(target conductor.Target, _ *conductor.HoldOrder) *conductor.Holding {
		if target.Worker == "w1" {
			return &conductor.Holding{Answer: unanswered}
		}
		return nil
	}
	fleet.mutex.Unlock()
	fleet.announce("w1", 4)
	fleet.announce("w2", 4)
	fleet.submit("j", core(2))
	fleet.await("both tasks where they can run", func() bool { return len(fleet.running["w2"]) == 2 })
	fleet.c.Check(sent, qt.Equals, 0)
}

// TestAnUnansweredStartIsSentAgainAtOnce loses one start on its way: the job is
// urgent, so it must not wait until nothing can be said of the first any more.
func TestAnUnansweredStartIsSentAgainAtOnce(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.announce("w1", 4)
	lost := false
	fleet.mutex.Lock()
	fleet.onStart = func(conductor.Target, *conductor.StartOrder) conductor.Answer {
		if !lost {
			lost = true
			return conductor.Answer{Outcome: conductor.Unanswered}
		}
		return conductor.Answer{}
	}
	fleet.mutex.Unlock()
	fleet.submit("j", core(1))
	sent := time.Now()
	fleet.await("the start", func() bool { return len(fleet.running["w1"]) == 1 })
	fleet.c.Check(time.Since(sent) < 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(sent)))
}

// TestALostHoldHidesAnEndForAboutASecond loses the answer that would have told of
// the end of a short task.
func TestALostHoldHidesAnEndForAboutASecond(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.announce("w", 4)
	fleet.mutex.Lock()
	fleet.lostHolds = 1
	fleet.mutex.Unlock()
	fleet.submit("j", core(1))
	fleet.await("the lost hold", func() bool { return fleet.lostHolds == 0 })
	fleet.mutex.Lock()
	fleet.finish("w", "j.0.0.0", stager.Succeeding)
	fleet.mutex.Unlock()
	ended := time.Now()
	fleet.await("the job's end", func() bool { return fleet.status() == stager.Completed })
	fleet.c.Check(time.Since(ended) < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(ended)))
}

// TestAGangsFirstToBeReadyWaitsForTheOthers has a gang on a fast and a slow
// worker: the fast one shows all its work done and no progress any more. A third
// worker's task stands still in earnest.
func TestAGangsFirstToBeReadyWaitsForTheOthers(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.announce("w1", 1)
	fleet.announce("w2", 1)
	fleet.mutex.Lock()
	fleet.percent["w1"] = 100
	fleet.mutex.Unlock()
	gang := core(2)
	gang.Gang = true
	fleet.submit("gang", gang)
	fleet.await("the gang", func() bool { return len(fleet.running["w1"])+len(fleet.running["w2"]) == 2 })
	fleet.announce("w3", 1)
	fleet.submit("j", core(1))
	fleet.await("the third", func() bool { return len(fleet.running["w3"]) == 1 })
	for until := time.Now().Add(4500 * time.Millisecond); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		fleet.mutex.Lock()
		fleet.percent["w2"]++
		fleet.mutex.Unlock()
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.c.Check(slices.Contains(fleet.stops, "j.0.0.0"), qt.IsTrue)
	fleet.c.Check(slices.ContainsFunc(fleet.stops, func(task string) bool { return task != "j.0.0.0" }), qt.IsFalse, qt.Commentf("%v", fleet.stops))
}

// TestANewLifeRefusesWhatWasMeantForTheOldOne has a worker crash and come back
// under its name while a start is on its way to it: the new life would take it.
func TestANewLifeRefusesWhatWasMeantForTheOldOne(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.announce("w1", 4)
	under := make(chan struct{})
	fleet.mutex.Lock()
	fleet.blocked = under
	fleet.mutex.Unlock()
	fleet.submit("j", core(1))
	<-under
	fleet.announceLife("w1", 4, 2)
	fleet.await("the stop", func() bool { return len(fleet.stops) > 0 })
	fleet.await("the task in the new life", func() bool { return fleet.running["w1"]["j.0.0.0"].Attempt == 2 })
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.c.Check(fleet.cancelled, qt.IsTrue, qt.Commentf("the start was not called back"))
}

// TestAStartIsNotSentAgainToANewLife has a worker crash with a start on its way and
// come back under its name before it announces itself.
func TestAStartIsNotSentAgainToANewLife(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.announce("w1", 4)
	life := stager.Life(1)
	fleet.mutex.Lock()
	fleet.onStart = func(conductor.Target, *conductor.StartOrder) conductor.Answer {
		if life == 1 {
			life = 2
			return conductor.Answer{Outcome: conductor.Unanswered}
		}
		return conductor.Answer{}
	}
	fleet.onHold = func(_ conductor.Target, order *conductor.HoldOrder) *conductor.Holding {
		fleet.c.Check(life == 1 || order.Observed == 0 && order.Expires == 0, qt.IsTrue, qt.Commentf("%+v", order))
		return &conductor.Holding{Answer: conductor.Answer{Outcome: conductor.Obeyed, Clock: clock()}, Life: life}
	}
	fleet.mutex.Unlock()
	fleet.submit("j", core(1))
	fleet.await("the stop", func() bool { return len(fleet.stops) > 0 })
	time.Sleep(300 * time.Millisecond)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.c.Check(fleet.starts, qt.HasLen, 1)
}

// TestAStartThatANewLifeTookIsStoppedBeforeItsTaskGoesElsewhere has a worker crash
// and come back under its name at once, so that a first start goes to the new life.
func TestAStartThatANewLifeTookIsStoppedBeforeItsTaskGoesElsewhere(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.announce("w1", 4)
	fleet.submit("j", core(1))
	fleet.await("the start", func() bool { return len(fleet.running["w1"]) == 1 })
	fleet.announce("w2", 4)
	fleet.mutex.Lock()
	fleet.onStart = func(conductor.Target, *conductor.StartOrder) conductor.Answer {
		fleet.c.Check(fleet.stops, qt.DeepEquals, []string{"j.0.0.0"})
		fleet.c.Check(fleet.running["w1"], qt.HasLen, 0)
		return conductor.Answer{}
	}
	fleet.mutex.Unlock()
	fleet.announceLife("w1", 4, 2)
	fleet.await("the task again", func() bool { return len(fleet.starts) == 2 })
	fleet.await("the new life's admission", func() bool { return fleet.state.Workers["w1"] != nil && fleet.state.Workers["w1"].Life == 2 })
}
