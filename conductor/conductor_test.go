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

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/conductor"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// fleet is a conductor with a log whose commits the test controls, and
// simulated workers.
type fleet struct {
	c         *qt.C
	state     *stager.State
	conductor *conductor.Conductor
	runEnded  chan error

	mutex sync.Mutex
	// commitGate delays commits until it is closed; nil commits at once.
	commitGate  chan struct{}
	failCommits bool
	running     map[modeller.WorkerName]map[string]conductor.StartOrder
	endings     map[modeller.WorkerName][]conductor.EndedAttempt
	starts      []string
	stops       []string
	// acknowledged is the highest ending that was acknowledged to each worker.
	acknowledged map[modeller.WorkerName]uint64
	// onStart and onHold replace the workers' answers if they are set.
	onStart func(conductor.Target, *conductor.StartOrder) conductor.Answer
	onHold  func(conductor.Target, *conductor.HoldOrder) *conductor.HoldAnswer
	lead    bool
	// percent is the progress of everything that a worker runs.
	percent map[modeller.WorkerName]int
	// incarnations are those last announced.
	incarnations map[modeller.WorkerName]stager.Incarnation
	// blockedStart is closed by the next start, which then waits for its context
	// to end; startCancelled is true if that context was cancelled.
	blockedStart   chan struct{}
	startCancelled bool
	// holdOrder lists the workers of all holds in the order of their sending;
	// holdsInFlight and maxHolds are how many are on their way to a worker, now and at
	// most.
	holdOrder               []modeller.WorkerName
	holdsInFlight, maxHolds int
	// holdGate delays holds until it is closed; nil delays none.
	holdGate chan struct{}
	// lostHolds is how many of the next holds with a wait get no answer.
	lostHolds int
	// onAsk is called with each inquiry, if it is set; otherwise none can be sent.
	onAsk func(stager.Inquiry)
	// runningAtStops is how many tasks ran in all when each stop arrived.
	runningAtStops []int
	// onStop is called with each stop before it is carried out, if it is set; stopsBegun
	// counts the stops that have arrived.
	onStop     func()
	stopsBegun int
	// onBatch is called with each batch that is committed, if it is set.
	onBatch func(*stager.Batch)
	metrics *metrics.Set
	// lastBatch is closed once the previous batch is decided.
	lastBatch chan struct{}
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

// newFleet starts a conductor from a state, or from a new one with a
// deployment.
func newFleet(t *testing.T, state *stager.State) *fleet { return newGatedFleet(t, state, nil) }

// newGatedFleet is newFleet with a holdGate.
func newGatedFleet(t *testing.T, state *stager.State, holdGate chan struct{}) *fleet {
	return newConfiguredFleet(t, state, holdGate, conductor.Settings{Lease: lease, StaleAfter: time.Minute, GangWait: time.Second, DataCentres: []string{"listed"}})
}

// newConfiguredFleet is newGatedFleet with other settings.
func newConfiguredFleet(t *testing.T, state *stager.State, holdGate chan struct{}, settings conductor.Settings) *fleet {
	return newFleetWith(t, state, holdGate, settings)
}

// newFleetWith is newGatedFleet with settings.
func newFleetWith(t *testing.T, state *stager.State, holdGate chan struct{}, settings conductor.Settings) *fleet {
	c := qt.New(t)
	if state == nil {
		state = stager.New()
		c.Assert(state.Apply(&stager.Batch{Term: 1, Sequence: 1, Now: 1, Commands: []stager.Command{
			{Begin: &stager.Begin{KeepEnded: 100_000}}, {Deploy: deployment()},
		}}), qt.IsNil)
	}
	fleet := &fleet{
		c: c, state: state, runEnded: make(chan error, 1), lead: true, holdGate: holdGate,
		running: make(map[modeller.WorkerName]map[string]conductor.StartOrder), endings: make(map[modeller.WorkerName][]conductor.EndedAttempt),
		acknowledged: make(map[modeller.WorkerName]uint64),
		percent:      make(map[modeller.WorkerName]int),
		incarnations: make(map[modeller.WorkerName]stager.Incarnation),
		metrics:      metrics.NewSet(),
	}
	startedAt := time.Now()
	copied := state.Clone()
	fleet.conductor = conductor.New(conductor.Config{
		State:    copied,
		Clock:    func() time.Duration { return time.Since(startedAt) + time.Hour },
		Now:      func() modeller.Millis { return modeller.Millis(time.Now().UnixMilli()) },
		Leads:    func() bool { fleet.mutex.Lock(); defer fleet.mutex.Unlock(); return fleet.lead },
		Propose:  fleet.propose,
		Start:    fleet.start,
		Stop:     fleet.stop,
		Hold:     fleet.hold,
		Ask:      fleet.ask,
		Answered: func(stager.InquiryID) {},
		Lost:     func() []stager.InquiryID { return nil },
		Withdraw: func(stager.StepID) {},
		Settings: settings,
		Logger:   log.NewNopLogger(),
		Metrics:  fleet.metrics,
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { fleet.runEnded <- fleet.conductor.Run(ctx) }()
	t.Cleanup(cancel)
	return fleet
}

func (fleet *fleet) propose(_ context.Context, batch *stager.Batch) (func(context.Context) error, error) {
	fleet.mutex.Lock()
	gate, previous, done := fleet.commitGate, fleet.lastBatch, make(chan struct{})
	fleet.lastBatch = done
	fleet.mutex.Unlock()
	return func(context.Context) error {
		defer close(done)
		if gate != nil {
			<-gate
		}
		if previous != nil {
			<-previous
		}
		fleet.mutex.Lock()
		defer fleet.mutex.Unlock()
		if fleet.failCommits {
			return fmt.Errorf("lost")
		}
		if fleet.onBatch != nil {
			fleet.onBatch(batch)
		}
		return fleet.state.Apply(batch)
	}, nil
}

func (fleet *fleet) ask(inquiry stager.Inquiry) bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if fleet.onAsk == nil {
		return false
	}
	fleet.onAsk(inquiry)
	return true
}

func (fleet *fleet) start(ctx context.Context, target conductor.Target, order *conductor.StartOrder) conductor.Answer {
	fleet.mutex.Lock()
	if blocked := fleet.blockedStart; blocked != nil {
		fleet.blockedStart = nil
		fleet.mutex.Unlock()
		close(blocked)
		<-ctx.Done()
		fleet.mutex.Lock()
		defer fleet.mutex.Unlock()
		fleet.startCancelled = errors.Is(ctx.Err(), context.Canceled)
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
	return conductor.Answer{Outcome: conductor.Obeyed, Clock: workerClock()}
}

func (fleet *fleet) stop(ctx context.Context, target conductor.Target, order *conductor.StopOrder) conductor.Answer {
	time.Sleep(time.Millisecond)
	fleet.mutex.Lock()
	fleet.stopsBegun++
	if onStop := fleet.onStop; onStop != nil {
		fleet.mutex.Unlock()
		onStop()
		fleet.mutex.Lock()
	}
	defer fleet.mutex.Unlock()
	if ctx.Err() != nil {
		return conductor.Answer{Outcome: conductor.Unanswered}
	}
	count := 0
	for _, running := range fleet.running {
		count += len(running)
	}
	fleet.runningAtStops = append(fleet.runningAtStops, count)
	fleet.stops = append(fleet.stops, order.Task.String())
	fleet.finish(target.Worker, order.Task.String(), stager.Stopping)
	return conductor.Answer{Outcome: conductor.Obeyed, Clock: workerClock()}
}

// finish ends a task that a worker runs. The mutex must be held.
func (fleet *fleet) finish(worker modeller.WorkerName, task string, ending stager.Ending) {
	order, found := fleet.running[worker][task]
	if !found {
		return
	}
	delete(fleet.running[worker], task)
	fleet.endings[worker] = append(fleet.endings[worker], conductor.EndedAttempt{
		Number: uint64(len(fleet.endings[worker]) + 1), Task: order.Task, Attempt: order.Attempt, How: ending,
	})
}

func (fleet *fleet) hold(ctx context.Context, target conductor.Target, order *conductor.HoldOrder) conductor.HoldAnswer {
	fleet.mutex.Lock()
	fleet.holdOrder = append(fleet.holdOrder, target.Worker)
	fleet.holdsInFlight++
	fleet.maxHolds = max(fleet.maxHolds, fleet.holdsInFlight)
	gate := fleet.holdGate
	fleet.mutex.Unlock()
	if gate != nil {
		<-gate
	}
	time.Sleep(5 * time.Millisecond)
	fleet.mutex.Lock()
	fleet.holdsInFlight--
	if fleet.lostHolds > 0 && order.Wait > 0 {
		fleet.lostHolds--
		fleet.mutex.Unlock()
		<-ctx.Done()
		fleet.mutex.Lock()
		defer fleet.mutex.Unlock()
		return conductor.HoldAnswer{Answer: conductor.Answer{Outcome: conductor.Unanswered}}
	}
	defer fleet.mutex.Unlock()
	if ctx.Err() != nil {
		return conductor.HoldAnswer{Answer: conductor.Answer{Outcome: conductor.Unanswered}}
	}
	if fleet.onHold != nil {
		if holdAnswer := fleet.onHold(target, order); holdAnswer != nil {
			return *holdAnswer
		}
	}
	fleet.acknowledged[target.Worker] = max(fleet.acknowledged[target.Worker], order.Observed)
	holdAnswer := conductor.HoldAnswer{Answer: conductor.Answer{Outcome: conductor.Obeyed, Clock: workerClock()}, Life: fleet.incarnations[target.Worker]}
	for _, order := range fleet.running[target.Worker] {
		holdAnswer.Running = append(holdAnswer.Running, conductor.RunningAttempt{Task: order.Task, Attempt: order.Attempt, Percent: fleet.percent[target.Worker]})
	}
	for _, ended := range fleet.endings[target.Worker] {
		if ended.Number > order.Observed {
			holdAnswer.Ended = append(holdAnswer.Ended, ended)
		}
	}
	return holdAnswer
}

// workerClock is the clock of every worker.
func workerClock() modeller.Millis { return modeller.Millis(time.Now().UnixMilli()) }

func (fleet *fleet) announce(name string, cores int64) { fleet.announceIncarnation(name, cores, 1) }

func (fleet *fleet) announceIncarnation(name string, cores int64, incarnation stager.Incarnation) {
	fleet.mutex.Lock()
	fleet.incarnations[modeller.WorkerName(name)] = incarnation
	fleet.mutex.Unlock()
	worker := stager.Worker{
		Name: modeller.WorkerName(name), Life: incarnation, Pool: "p", Address: name,
		Capacity: modeller.Resources{MilliProcessors: 1000 * cores, MemoryMiB: 1000},
	}
	// The request's context is cancelled when the request returns.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fleet.announceWorker(ctx, &stager.Announcement{Worker: worker, Clock: workerClock(), Number: 1})
}

// announceWorker sends an announcement, which must be accepted.
func (fleet *fleet) announceWorker(ctx context.Context, announcement *stager.Announcement) {
	refusals, refusal := fleet.conductor.AnnounceAll(ctx, []stager.Announcement{*announcement})
	fleet.c.Assert(refusal == nil && refusals[0] == nil, qt.IsTrue, qt.Commentf("%v %v", refusal, refusals))
}

func (fleet *fleet) submit(id string, steps ...stager.Step) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	refusal := fleet.conductor.Submit(ctx, &stager.Submit{ID: stager.JobID(id), ClientAccount: "a", Queue: queue, Steps: steps})
	fleet.c.Assert(refusal == nil, qt.IsTrue, qt.Commentf("%v", refusal))
}

// await waits until a condition on the committed state and the workers holds.
func (fleet *fleet) await(description string, condition func() bool) {
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		fleet.mutex.Lock()
		done := condition()
		fleet.mutex.Unlock()
		if done {
			return
		}
	}
	fleet.c.Fatalf("timed out waiting for %s", description)
}

// status returns the status of job j.
func (fleet *fleet) status() stager.Status {
	job := fleet.state.Jobs["j"]
	if job == nil {
		return 0
	}
	return job.Status()
}

func singleCoreStep(tasks uint32) stager.Step {
	return stager.Step{Tasks: tasks, Size: modeller.Resources{MilliProcessors: 1000, MemoryMiB: 10}, RunTime: 100}
}

func TestStepsRunOneAfterTheOther(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.announce("w", 4)
	second := singleCoreStep(1)
	second.After = []uint32{0}
	fleet.submit("j", singleCoreStep(2), second)
	fleet.await("the first step", func() bool { return len(fleet.running["w"]) == 2 })
	fleet.mutex.Lock()
	fleet.finish("w", "j.0.0.0", stager.Succeeding)
	fleet.finish("w", "j.0.0.1", stager.Succeeding)
	fleet.mutex.Unlock()
	fleet.await("the second step", func() bool { _, runs := fleet.running["w"]["j.0.1.0"]; return runs })
	fleet.mutex.Lock()
	fleet.finish("w", "j.0.1.0", stager.Succeeding)
	fleet.mutex.Unlock()
	fleet.await("the job's end", func() bool { return fleet.status() == stager.Completed && fleet.acknowledged["w"] == 3 })
}

func TestNothingIsSentBeforeItIsCommitted(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.announce("w", 4)
	fleet.mutex.Lock()
	fleet.commitGate = make(chan struct{})
	fleet.mutex.Unlock()
	answered := make(chan struct{})
	go func() { fleet.submit("j", singleCoreStep(1)); close(answered) }()
	// This is longer than several ticks of the conductor.
	time.Sleep(450 * time.Millisecond)
	fleet.mutex.Lock()
	fleet.c.Check(fleet.starts, qt.HasLen, 0)
	gate := fleet.commitGate
	fleet.commitGate = nil
	fleet.mutex.Unlock()
	select {
	case <-answered:
		fleet.c.Fatal("acknowledged before it was committed")
	default:
	}
	close(gate)
	<-answered
	fleet.await("the start", func() bool { return len(fleet.starts) == 1 })
}

// TestCancelOfPlacementsThatAreNotCommitted guards against using a job's
// records after they are dropped: cancelling ends several attempts at once, and
// the last one drops the records.
func TestCancelOfPlacementsThatAreNotCommitted(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.announce("w", 8)
	fleet.submit("other", singleCoreStep(1))
	fleet.await("a start", func() bool { return len(fleet.starts) == 1 })
	fleet.mutex.Lock()
	fleet.commitGate = make(chan struct{})
	gate := fleet.commitGate
	fleet.mutex.Unlock()
	done := make(chan *coder.Refusal, 1)
	submitted := make(chan struct{})
	go func() { fleet.submit("j", singleCoreStep(5)); close(submitted) }()
	time.Sleep(50 * time.Millisecond)
	go func() { done <- fleet.conductor.Cancel(context.Background(), "j") }()
	time.Sleep(50 * time.Millisecond)
	fleet.mutex.Lock()
	fleet.commitGate = nil
	fleet.mutex.Unlock()
	close(gate)
	fleet.c.Check(<-done == nil, qt.IsTrue)
	<-submitted
	fleet.await("the cancellation", func() bool { return fleet.status() == stager.Cancelled })
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.c.Check(fleet.starts, qt.DeepEquals, []string{"other.0.0.0"})
}

func TestAFailedTaskIsTriedAgainAndThenItsJobFails(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.announce("w", 4)
	fleet.submit("j", singleCoreStep(1))
	for attempt := range 2 {
		fleet.await("an attempt", func() bool { return len(fleet.starts) == attempt+1 && len(fleet.running["w"]) == 1 })
		fleet.mutex.Lock()
		fleet.finish("w", "j.0.0.0", stager.Failing)
		fleet.mutex.Unlock()
	}
	fleet.await("the job's failure", func() bool { return fleet.status() == stager.Failed })
}

// TestAnUnansweredStartIsNotPlacedElsewhereBeforeItsStop guards against a task
// running twice: an unanswered start may still be carried out later.
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
	fleet.submit("j", singleCoreStep(1))
	fleet.await("a start", func() bool { return len(fleet.starts) > 0 })
	fleet.announce("w2", 4)
	fleet.await("the task on the other worker", func() bool { return len(fleet.running["w2"]) == 1 })
}

// TestTasksOfAnUnresponsiveWorkerWaitForItsLease guards against a task running
// twice: it may start elsewhere only after the lease that its worker was given
// has expired.
func TestTasksOfAnUnresponsiveWorkerWaitForItsLease(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.announce("w1", 4)
	fleet.submit("j", singleCoreStep(1))
	fleet.await("a start", func() bool { return len(fleet.running["w1"]) == 1 })
	var expires modeller.Millis
	fleet.mutex.Lock()
	fleet.onHold = func(target conductor.Target, order *conductor.HoldOrder) *conductor.HoldAnswer {
		if target.Worker != "w1" {
			return nil
		}
		expires = max(expires, order.Expires)
		return &conductor.HoldAnswer{Answer: conductor.Answer{Outcome: conductor.Unanswered}}
	}
	fleet.mutex.Unlock()
	time.Sleep(lease)
	fleet.mutex.Lock()
	fleet.lead = true
	fleet.mutex.Unlock()
	fleet.announce("w2", 4)
	fleet.await("the task on the other worker", func() bool { return len(fleet.running["w2"]) == 1 })
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.c.Check(expires > 0, qt.IsTrue)
	fleet.c.Check(workerClock() > expires, qt.IsTrue, qt.Commentf("%d ms before the lease's end", expires-workerClock()))
}

// TestALaterLeaderTakesOver starts a conductor from the state that another one
// committed.
func TestALaterLeaderTakesOver(t *testing.T) {
	first := newFleet(t, nil)
	first.announce("w", 4)
	first.submit("j", singleCoreStep(2))
	first.await("the starts", func() bool { return len(first.running["w"]) == 2 })
	first.mutex.Lock()
	first.failCommits = true
	state, running, starts := first.state, maps.Clone(first.running["w"]), len(first.starts)
	first.mutex.Unlock()
	_ = first.conductor.Deploy(context.Background(), &stager.Deployment{Version: 9})
	first.c.Assert(<-first.runEnded, qt.ErrorIs, conductor.ErrNotCommitted)
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
	fleet.failCommits = true
	fleet.mutex.Unlock()
	refusal := fleet.conductor.Submit(context.Background(), &stager.Submit{ID: "j", Queue: queue, Steps: []stager.Step{singleCoreStep(1)}})
	fleet.c.Assert(refusal != nil, qt.IsTrue)
	fleet.c.Check(refusal.Code, qt.Equals, coder.Unknown, qt.Commentf("another leader may still commit it"))
	fleet.c.Check(<-fleet.runEnded, qt.ErrorIs, conductor.ErrNotCommitted)
}

func TestDeployments(t *testing.T) {
	fleet := newFleet(t, nil)
	deploy := func(change func(*stager.Deployment)) coder.Code {
		deployed := deployment()
		change(deployed)
		if refusal := fleet.conductor.Deploy(context.Background(), deployed); refusal != nil {
			return refusal.Code
		}
		return coder.OK
	}
	fleet.c.Check(deploy(func(deployed *stager.Deployment) { deployed.Version = 3 }), qt.Equals, coder.OK)
	fleet.c.Check(deploy(func(deployed *stager.Deployment) { deployed.Version = 3 }), qt.Equals, coder.OK)
	fleet.c.Check(deploy(func(*stager.Deployment) {}), qt.Equals, coder.OK, qt.Commentf("an older one is acknowledged"))
	fleet.c.Check(deploy(func(deployed *stager.Deployment) { deployed.Version, deployed.Digest[0] = 3, 1 }), qt.Equals, coder.RevisionConflict)
	fleet.c.Check(deploy(func(deployed *stager.Deployment) { deployed.Version, deployed.Queues[0].Timeout = 4, 0 }), qt.Equals, coder.BadTemplate)
	fleet.c.Check(deploy(func(deployed *stager.Deployment) { deployed.Version, deployed.Queues[0].Pool = 4, "other" }), qt.Equals, coder.BadTemplate)
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
	gang := singleCoreStep(2)
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

// TestAnUnresponsiveWorkerGetsNoNewTasks guards against placing tasks on a
// worker that does not answer calls although its announcements arrive. Such
// tasks had to wait until its lease expired.
func TestAnUnresponsiveWorkerGetsNoNewTasks(t *testing.T) {
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
	fleet.onHold = func(target conductor.Target, _ *conductor.HoldOrder) *conductor.HoldAnswer {
		if target.Worker == "w1" {
			return &conductor.HoldAnswer{Answer: unanswered}
		}
		return nil
	}
	fleet.mutex.Unlock()
	fleet.announce("w1", 4)
	fleet.announce("w2", 4)
	fleet.submit("j", singleCoreStep(2))
	fleet.await("both tasks on the responsive worker", func() bool { return len(fleet.running["w2"]) == 2 })
	fleet.c.Check(sent, qt.Equals, 0)
}

// TestAnUnansweredStartIsSentAgainAtOnce loses one start. An urgent job must
// not wait until the outcome of the first start is certain.
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
	fleet.submit("j", singleCoreStep(1))
	sentAt := time.Now()
	fleet.await("the start", func() bool { return len(fleet.running["w1"]) == 1 })
	fleet.c.Check(time.Since(sentAt) < 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(sentAt)))
}

// TestALostHoldDelaysAnEndingByAboutASecond loses the answer to a hold that
// would have reported the end of a short task.
func TestALostHoldDelaysAnEndingByAboutASecond(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.announce("w", 4)
	fleet.mutex.Lock()
	fleet.lostHolds = 1
	fleet.mutex.Unlock()
	fleet.submit("j", singleCoreStep(1))
	fleet.await("the lost hold", func() bool { return fleet.lostHolds == 0 })
	fleet.mutex.Lock()
	fleet.finish("w", "j.0.0.0", stager.Succeeding)
	fleet.mutex.Unlock()
	endedAt := time.Now()
	fleet.await("the job's end", func() bool { return fleet.status() == stager.Completed })
	fleet.c.Check(time.Since(endedAt) < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(endedAt)))
}

// TestAGangTaskWaitingForTheOthersIsNotStalled runs a gang on a fast and a slow
// worker: the fast one's task is at 100 percent and reports no more progress,
// and must not be stopped. The task of a third worker is stalled and must be.
func TestAGangTaskWaitingForTheOthersIsNotStalled(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.announce("w1", 1)
	fleet.announce("w2", 1)
	fleet.mutex.Lock()
	fleet.percent["w1"] = 100
	fleet.mutex.Unlock()
	gang := singleCoreStep(2)
	gang.Gang = true
	fleet.submit("gang", gang)
	fleet.await("the gang's tasks", func() bool { return len(fleet.running["w1"])+len(fleet.running["w2"]) == 2 })
	fleet.announce("w3", 1)
	fleet.submit("j", singleCoreStep(1))
	fleet.await("the third task", func() bool { return len(fleet.running["w3"]) == 1 })
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

// TestANewIncarnationStopsStartsMeantForTheOldOne restarts a worker under the
// same name while a start is in flight to it, which the new incarnation would
// accept.
func TestANewIncarnationStopsStartsMeantForTheOldOne(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.announce("w1", 4)
	blocked := make(chan struct{})
	fleet.mutex.Lock()
	fleet.blockedStart = blocked
	fleet.mutex.Unlock()
	fleet.submit("j", singleCoreStep(1))
	<-blocked
	fleet.announceIncarnation("w1", 4, 2)
	fleet.await("the stop", func() bool { return len(fleet.stops) > 0 })
	fleet.await("the task on the new incarnation", func() bool { return fleet.running["w1"]["j.0.0.0"].Attempt == 2 })
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.c.Check(fleet.startCancelled, qt.IsTrue, qt.Commentf("the start's context was not cancelled"))
}

// TestAStartIsNotSentAgainToANewIncarnation restarts a worker under the same
// name while a start is in flight, before the new incarnation announces itself.
func TestAStartIsNotSentAgainToANewIncarnation(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.announce("w1", 4)
	incarnation := stager.Incarnation(1)
	fleet.mutex.Lock()
	fleet.onStart = func(conductor.Target, *conductor.StartOrder) conductor.Answer {
		if incarnation == 1 {
			incarnation = 2
			return conductor.Answer{Outcome: conductor.Unanswered}
		}
		return conductor.Answer{}
	}
	fleet.onHold = func(_ conductor.Target, order *conductor.HoldOrder) *conductor.HoldAnswer {
		fleet.c.Check(incarnation == 1 || order.Observed == 0 && order.Expires == 0, qt.IsTrue, qt.Commentf("%+v", order))
		return &conductor.HoldAnswer{Answer: conductor.Answer{Outcome: conductor.Obeyed, Clock: workerClock()}, Life: incarnation}
	}
	fleet.mutex.Unlock()
	fleet.submit("j", singleCoreStep(1))
	fleet.await("the stop", func() bool { return len(fleet.stops) > 0 })
	time.Sleep(300 * time.Millisecond)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.c.Check(fleet.starts, qt.HasLen, 1)
}

// TestAStartTakenByANewIncarnationIsStoppedBeforeItsTaskMoves restarts a worker
// under the same name at once, so that a first start reaches the new
// incarnation.
func TestAStartTakenByANewIncarnationIsStoppedBeforeItsTaskMoves(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.announce("w1", 4)
	fleet.submit("j", singleCoreStep(1))
	fleet.await("the start", func() bool { return len(fleet.running["w1"]) == 1 })
	fleet.announce("w2", 4)
	fleet.mutex.Lock()
	fleet.onStart = func(conductor.Target, *conductor.StartOrder) conductor.Answer {
		fleet.c.Check(fleet.stops, qt.DeepEquals, []string{"j.0.0.0"})
		fleet.c.Check(fleet.running["w1"], qt.HasLen, 0)
		return conductor.Answer{}
	}
	fleet.mutex.Unlock()
	fleet.announceIncarnation("w1", 4, 2)
	fleet.await("the second start of the task", func() bool { return len(fleet.starts) == 2 })
	fleet.await("the new incarnation's admission", func() bool { return fleet.state.Workers["w1"] != nil && fleet.state.Workers["w1"].Life == 2 })
}

// TestNoHoldIsSentWhileEndingsAreNotCommitted guards against holds that the worker answers
// at once with the same endings, the more of them the slower commits are.
func TestNoHoldIsSentWhileEndingsAreNotCommitted(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.announce("w", 4)
	fleet.submit("j", singleCoreStep(2))
	fleet.await("both starts", func() bool { return len(fleet.running["w"]) == 2 })
	fleet.mutex.Lock()
	fleet.commitGate = make(chan struct{})
	fleet.finish("w", "j.0.0.0", stager.Succeeding)
	fleet.mutex.Unlock()
	// The hold in flight reports the ending meanwhile.
	time.Sleep(100 * time.Millisecond)
	holds := func() int { fleet.mutex.Lock(); defer fleet.mutex.Unlock(); return len(fleet.holdOrder) }
	before := holds()
	// This is longer than several ticks of the conductor.
	time.Sleep(450 * time.Millisecond)
	fleet.c.Check(holds(), qt.Equals, before)
	fleet.mutex.Lock()
	gate := fleet.commitGate
	fleet.commitGate = nil
	fleet.mutex.Unlock()
	close(gate)
	fleet.await("the acknowledgement of the ending", func() bool { return fleet.acknowledged["w"] == 1 })
}

// TestASuccessorsEndingsAreNotAcknowledgedUnseen guards against an ending of the old
// incarnation, committed late, being acknowledged to the new one, which counts its own
// from 1: a task that ended there would be run again.
func TestASuccessorsEndingsAreNotAcknowledgedUnseen(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.announce("w", 4)
	fleet.submit("j", singleCoreStep(2))
	fleet.await("both starts", func() bool { return len(fleet.running["w"]) == 2 })
	var observed []uint64
	fleet.mutex.Lock()
	fleet.commitGate = make(chan struct{})
	gate := fleet.commitGate
	second := fleet.running["w"]["j.0.0.1"]
	fleet.finish("w", "j.0.0.0", stager.Succeeding)
	fleet.onHold = func(target conductor.Target, order *conductor.HoldOrder) *conductor.HoldAnswer {
		if target.Life != 2 {
			return nil
		}
		observed = append(observed, order.Observed)
		return &conductor.HoldAnswer{
			Answer: conductor.Answer{Outcome: conductor.Obeyed, Clock: workerClock()}, Life: 2,
			Running: []conductor.RunningAttempt{{Task: second.Task, Attempt: second.Attempt}},
		}
	}
	fleet.mutex.Unlock()
	// The hold in flight reports the ending meanwhile.
	time.Sleep(100 * time.Millisecond)
	announced := make(chan struct{})
	go func() { fleet.announceIncarnation("w", 4, 2); close(announced) }()
	time.Sleep(100 * time.Millisecond)
	fleet.mutex.Lock()
	fleet.commitGate = nil
	fleet.mutex.Unlock()
	close(gate)
	<-announced
	fleet.await("holds of the new incarnation", func() bool { return len(observed) >= 5 })
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, number := range observed {
		fleet.c.Check(number, qt.Equals, uint64(0))
	}
}
