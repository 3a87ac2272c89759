package leaser_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dotterelrill/dotterelrill/leaser"
	"github.com/dotterelrill/dotterelrill/modeller"
)

const (
	term        = 1000 * time.Millisecond
	maxDelay    = 300 * time.Millisecond
	incarnation = modeller.Incarnation(1)
)

// simulation runs one task, two workers and successive leaders in simulated real
// time. Only the committed state is shared; everything else is carried by
// messages that may be lost, delayed, duplicated and reordered.
type simulation struct {
	t       *rapid.T
	now     time.Duration
	workers []*simulatedWorker
	leaders []*simulatedLeader
	// messages holds the messages in flight to workers.
	messages []message
	// heartbeats holds heartbeats received and not yet answered, each with the
	// replica that was the leader when it arrived.
	heartbeats []heartbeat
	// losses holds the losses that the current leader has proposed.
	losses  []proposedLoss
	entries int
	task    taskState
}

// taskState is the committed state of the task.
type taskState struct {
	live    bool
	attempt int
	worker  int
}

// simulatedWorker is a worker process.
type simulatedWorker struct {
	clockless       bool
	holder          *leaser.Holder
	paused          bool
	running         map[int]bool
	startedAttempts map[int]bool
	// entry numbers the worker's committed registration, zero if there is none.
	entry int
}

// simulatedLeader is a leader, current or deposed.
type simulatedLeader struct {
	leaser *leaser.Leaser
	// staleTask is the task state that a deposed leader last saw, nil for the
	// current leader.
	staleTask *taskState
}

// message is sent by a leader to a worker. It renews the lease and, if
// startAttempt is not zero, starts that attempt.
type message struct {
	worker  int
	sent    time.Duration
	renewal modeller.Millis
	// isDuration is true if renewal is a duration instead of a deadline, for a
	// worker that does not report its clock.
	isDuration   bool
	startAttempt int
}

// heartbeat is a heartbeat that the leader with that index has received.
type heartbeat struct {
	leader, worker int
	stamp          modeller.Millis
}

// proposedLoss is a proposed, uncommitted loss of a worker's registration.
type proposedLoss struct{ worker, entry int }

// driftingClock returns a clock with an offset whose rate is off by up to 2%.
func (simulation *simulation) driftingClock(label string) func() time.Duration {
	rate := 1 + rapid.Float64Range(-0.02, 0.02).Draw(simulation.t, label)
	offset := time.Duration(rapid.IntRange(0, 100_000).Draw(simulation.t, label+"Offset")) * time.Millisecond
	return func() time.Duration { return offset + time.Duration(math.Round(float64(simulation.now)*rate)) }
}

func newSimulation(t *rapid.T) *simulation {
	simulation := &simulation{t: t}
	for range 2 {
		clock := simulation.driftingClock("worker")
		simulation.workers = append(simulation.workers, &simulatedWorker{
			clockless: rapid.IntRange(0, 3).Draw(t, "clockless") == 0,
			holder:    &leaser.Holder{Clock: func() modeller.Millis { return modeller.Millis(clock().Milliseconds()) }},
			running:   map[int]bool{}, startedAttempts: map[int]bool{},
		})
	}
	simulation.elect()
	return simulation
}

func (simulation *simulation) currentLeader() *simulatedLeader {
	return simulation.leaders[len(simulation.leaders)-1]
}

func (simulation *simulation) elect() {
	if len(simulation.leaders) > 0 {
		staleTask := simulation.task
		simulation.currentLeader().staleTask = &staleTask
		simulation.losses = nil
	}
	simulation.leaders = append(simulation.leaders, &simulatedLeader{leaser: leaser.New(leaser.Config{
		Term: term, DriftDivisor: 20, Fresh: term / 2, MaxDelay: maxDelay, Clock: simulation.driftingClock("leader"),
	})})
}

func workerName(worker int) modeller.WorkerName { return modeller.WorkerName(rune('a' + worker)) }

// sendHeartbeat delivers a worker's heartbeat to the current leader.
func (simulation *simulation) sendHeartbeat(index int) {
	if !simulation.workers[index].paused {
		simulation.heartbeats = append(simulation.heartbeats, heartbeat{leader: len(simulation.leaders) - 1, worker: index, stamp: simulation.workers[index].holder.Clock()})
	}
}

// answerHeartbeat answers a received heartbeat, possibly after its replica was
// paused and deposed.
func (simulation *simulation) answerHeartbeat(index int) {
	heartbeat := simulation.heartbeats[index]
	simulation.heartbeats = slices.Delete(simulation.heartbeats, index, index+1)
	leader, worker := simulation.leaders[heartbeat.leader], simulation.workers[heartbeat.worker]
	knownTask := leader.staleTask
	if knownTask == nil {
		knownTask = &simulation.task
		if worker.entry == 0 {
			leader.leaser.Register(workerName(heartbeat.worker), incarnation)
			simulation.entries++
			worker.entry = simulation.entries
		}
	}
	message := message{worker: heartbeat.worker, sent: simulation.now, isDuration: worker.clockless}
	ok := false
	if worker.clockless {
		message.renewal, ok = leader.leaser.RenewClockless(workerName(heartbeat.worker), incarnation)
	} else {
		message.renewal, ok = leader.leaser.Renew(workerName(heartbeat.worker), incarnation, heartbeat.stamp)
	}
	if !ok || worker.clockless && leader.staleTask != nil {
		// MaxDelay also bounds how long a leader may delay a renewal by a
		// duration, so a deposed leader sends none.
		return
	}
	if knownTask.live && knownTask.worker == heartbeat.worker {
		message.startAttempt = knownTask.attempt
	}
	simulation.messages = append(simulation.messages, message)
}

// deliver delivers a message, and in some draws keeps it to be delivered again.
func (simulation *simulation) deliver(index int) {
	message := simulation.messages[index]
	if rapid.IntRange(0, 3).Draw(simulation.t, "again") > 0 {
		simulation.messages = slices.Delete(simulation.messages, index, index+1)
	}
	worker := simulation.workers[message.worker]
	if worker.paused || message.isDuration && simulation.now > message.sent+maxDelay {
		return
	}
	deadline := message.renewal
	if message.isDuration {
		deadline += worker.holder.Clock()
	}
	if !worker.holder.Admits(deadline) {
		return
	}
	if !worker.holder.Renew(deadline) {
		clear(worker.running)
	}
	if message.startAttempt > 0 && !worker.startedAttempts[message.startAttempt] {
		worker.startedAttempts[message.startAttempt], worker.running[message.startAttempt] = true, true
	}
}

// place commits an attempt on the worker and sends its start.
func (simulation *simulation) place(index int) {
	worker, leases := simulation.workers[index], simulation.currentLeader().leaser
	if simulation.task.live || worker.entry == 0 || !leases.Fresh(workerName(index), incarnation) {
		return
	}
	simulation.task = taskState{live: true, attempt: simulation.task.attempt + 1, worker: index}
	deadline, ok := leases.Deadline(workerName(index), incarnation)
	if worker.clockless {
		deadline, ok = leases.Remaining(workerName(index), incarnation)
	}
	if ok {
		simulation.messages = append(simulation.messages, message{worker: index, sent: simulation.now, isDuration: worker.clockless, renewal: deadline, startAttempt: simulation.task.attempt})
	}
}

func (simulation *simulation) proposeLosses() {
	for index, worker := range simulation.workers {
		if worker.entry > 0 && simulation.currentLeader().leaser.Expire(workerName(index), incarnation) {
			simulation.losses = append(simulation.losses, proposedLoss{worker: index, entry: worker.entry})
		}
	}
}

func (simulation *simulation) commitLoss(index int) {
	lost := simulation.losses[index]
	simulation.losses = slices.Delete(simulation.losses, index, index+1)
	worker := simulation.workers[lost.worker]
	if worker.entry != lost.entry {
		return
	}
	worker.entry = 0
	simulation.currentLeader().leaser.Remove(workerName(lost.worker), incarnation)
	if simulation.task.live && simulation.task.worker == lost.worker {
		simulation.task.live = false
	}
}

// roundTrip sends a heartbeat and delivers its answer immediately.
func (simulation *simulation) roundTrip(index int) {
	simulation.sendHeartbeat(index)
	if len(simulation.heartbeats) == 0 {
		return
	}
	before := len(simulation.messages)
	simulation.answerHeartbeat(len(simulation.heartbeats) - 1)
	if len(simulation.messages) > before {
		simulation.deliver(before)
	}
}

// awaitLoss advances time until the leader finds a lease expired, then commits
// the losses and places the task on this worker without delay, which makes an
// overlap of two attempts most likely.
func (simulation *simulation) awaitLoss(index int) {
	for range 300 {
		simulation.now += 10 * time.Millisecond
		simulation.checkSingleAttempt()
		if rapid.IntRange(0, 30).Draw(simulation.t, "beats") == 0 {
			simulation.roundTrip(index)
		}
		simulation.proposeLosses()
		if len(simulation.losses) > 0 {
			break
		}
	}
	for len(simulation.losses) > 0 {
		simulation.commitLoss(0)
	}
	simulation.roundTrip(index)
	before := len(simulation.messages)
	simulation.place(index)
	if len(simulation.messages) > before {
		simulation.deliver(before)
	}
}

func (simulation *simulation) checkSingleAttempt() {
	if live := simulation.liveAttempts(); live > 1 {
		simulation.t.Fatalf("%d attempts are live at %s", live, simulation.now)
	}
}

// liveAttempts returns the number of attempts that are running now.
func (simulation *simulation) liveAttempts() int {
	live := 0
	for _, worker := range simulation.workers {
		if !worker.paused && worker.holder.Valid() {
			live += len(worker.running)
		}
	}
	return live
}

func (simulation *simulation) step() {
	t := simulation.t
	index := rapid.IntRange(0, len(simulation.workers)-1).Draw(t, "worker")
	pick := func(length int) int { return rapid.IntRange(0, length-1).Draw(t, "which") }
	switch action := rapid.IntRange(0, 24).Draw(t, "action"); {
	case action < 4:
		simulation.now += time.Duration(rapid.SampledFrom([]int{1, 20, 100, 400}).Draw(t, "pass")) * time.Millisecond
	case action < 8:
		simulation.sendHeartbeat(index)
	case action < 11 && len(simulation.heartbeats) > 0:
		simulation.answerHeartbeat(pick(len(simulation.heartbeats)))
	case action < 14 && len(simulation.messages) > 0:
		simulation.deliver(pick(len(simulation.messages)))
	case action < 16:
		simulation.place(index)
	case action == 16:
		simulation.proposeLosses()
	case action < 19 && len(simulation.losses) > 0:
		simulation.commitLoss(pick(len(simulation.losses)))
	case action == 19:
		simulation.workers[index].paused = !simulation.workers[index].paused
	case action == 20:
		simulation.elect()
	case action < 23:
		simulation.roundTrip(index)
	case action > 22:
		simulation.awaitLoss(index)
	}
}

func TestNoTaskIsLiveTwiceInRealTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(t)
		for index := range simulation.workers {
			simulation.roundTrip(index)
		}
		simulation.place(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			simulation.step()
			simulation.checkSingleAttempt()
		}
	})
}
