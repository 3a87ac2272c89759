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

// world simulates one task, two workers and successive leaders in real time.
// Only the committed state is shared; everything else is carried by messages
// that may be lost, delayed, duplicated and reordered.
type world struct {
	t       *rapid.T
	now     time.Duration
	workers []*process
	leaders []*chief
	// mail holds the messages in flight to workers.
	mail []letter
	// beats holds heartbeats received and not yet answered, each with the
	// replica that was the leader when it arrived.
	beats []beat
	// losses holds the proposed, uncommitted losses of workers.
	losses  []loss
	entries int
	task    placed
}

// placed is the committed placement of the task.
type placed struct {
	live    bool
	attempt int
	worker  int
}

// process is a worker process.
type process struct {
	clockless bool
	holder    *leaser.Holder
	paused    bool
	running   map[int]bool
	known     map[int]bool
	// entry numbers the worker's committed registration, zero if there is none.
	entry int
}

// chief is a leader, current or deposed.
type chief struct {
	leaser *leaser.Leaser
	// frozen is the task state that a deposed leader last saw, nil for the
	// current leader.
	frozen *placed
}

// letter is a message from a leader to a worker. It renews the lease and, if
// start is not zero, starts that attempt.
type letter struct {
	worker  int
	sent    time.Duration
	renewal modeller.Millis
	// span is true if renewal is a duration instead of a deadline, for a worker
	// that does not report its clock.
	span  bool
	start int
}

// beat is a heartbeat that the leader with that index has received.
type beat struct {
	leader, worker int
	stamp          modeller.Millis
}

// loss is a proposed loss of a worker's registration.
type loss struct{ worker, entry int }

// driftingClock returns a clock with an offset whose rate is off by up to 2%.
func (world *world) driftingClock(label string) func() time.Duration {
	rate := 1 + rapid.Float64Range(-0.02, 0.02).Draw(world.t, label)
	offset := time.Duration(rapid.IntRange(0, 100_000).Draw(world.t, label+"Offset")) * time.Millisecond
	return func() time.Duration { return offset + time.Duration(math.Round(float64(world.now)*rate)) }
}

func newWorld(t *rapid.T) *world {
	world := &world{t: t}
	for range 2 {
		clock := world.driftingClock("worker")
		world.workers = append(world.workers, &process{
			clockless: rapid.IntRange(0, 3).Draw(t, "clockless") == 0,
			holder:    &leaser.Holder{Clock: func() modeller.Millis { return modeller.Millis(clock().Milliseconds()) }},
			running:   map[int]bool{}, known: map[int]bool{},
		})
	}
	world.elect()
	return world
}

func (world *world) currentLeader() *chief { return world.leaders[len(world.leaders)-1] }

func (world *world) elect() {
	if len(world.leaders) > 0 {
		frozen := world.task
		world.currentLeader().frozen = &frozen
		world.losses = nil
	}
	world.leaders = append(world.leaders, &chief{leaser: leaser.New(leaser.Config{
		Term: term, DriftDivisor: 20, Fresh: term / 2, GreatestDelay: maxDelay, Clock: world.driftingClock("leader"),
	})})
}

func workerName(worker int) modeller.WorkerName { return modeller.WorkerName(rune('a' + worker)) }

// sendHeartbeat delivers a worker's heartbeat to the current leader.
func (world *world) sendHeartbeat(index int) {
	if !world.workers[index].paused {
		world.beats = append(world.beats, beat{leader: len(world.leaders) - 1, worker: index, stamp: world.workers[index].holder.Clock()})
	}
}

// answerHeartbeat answers a received heartbeat, possibly after its replica was
// paused and deposed.
func (world *world) answerHeartbeat(index int) {
	beat := world.beats[index]
	world.beats = slices.Delete(world.beats, index, index+1)
	leader, worker := world.leaders[beat.leader], world.workers[beat.worker]
	knownTask := leader.frozen
	if knownTask == nil {
		knownTask = &world.task
		if worker.entry == 0 {
			leader.leaser.Meet(workerName(beat.worker), incarnation)
			world.entries++
			worker.entry = world.entries
		}
	}
	message := letter{worker: beat.worker, sent: world.now, span: worker.clockless}
	ok := false
	if worker.clockless {
		message.renewal, ok = leader.leaser.Grant(workerName(beat.worker), incarnation)
	} else {
		message.renewal, ok = leader.leaser.Answer(workerName(beat.worker), incarnation, beat.stamp)
	}
	if !ok || worker.clockless && leader.frozen != nil {
		// GreatestDelay also bounds how long a leader may hold back a span,
		// so a deposed leader sends none.
		return
	}
	if knownTask.live && knownTask.worker == beat.worker {
		message.start = knownTask.attempt
	}
	world.mail = append(world.mail, message)
}

// deliver delivers a message, and in some draws keeps it to be delivered again.
func (world *world) deliver(index int) {
	message := world.mail[index]
	if rapid.IntRange(0, 3).Draw(world.t, "again") > 0 {
		world.mail = slices.Delete(world.mail, index, index+1)
	}
	worker := world.workers[message.worker]
	if worker.paused || message.span && world.now > message.sent+maxDelay {
		return
	}
	deadline := message.renewal
	if message.span {
		deadline += worker.holder.Clock()
	}
	if !worker.holder.Admits(deadline) {
		return
	}
	if !worker.holder.Renew(deadline) {
		clear(worker.running)
	}
	if message.start > 0 && !worker.known[message.start] {
		worker.known[message.start], worker.running[message.start] = true, true
	}
}

// place commits an attempt on the worker and sends its start.
func (world *world) place(index int) {
	worker, leases := world.workers[index], world.currentLeader().leaser
	if world.task.live || worker.entry == 0 || !leases.Fresh(workerName(index), incarnation) {
		return
	}
	world.task = placed{live: true, attempt: world.task.attempt + 1, worker: index}
	deadline, ok := leases.Deadline(workerName(index), incarnation)
	if worker.clockless {
		deadline, ok = leases.Rest(workerName(index), incarnation)
	}
	if ok {
		world.mail = append(world.mail, letter{worker: index, sent: world.now, span: worker.clockless, renewal: deadline, start: world.task.attempt})
	}
}

func (world *world) proposeLosses() {
	for index, worker := range world.workers {
		if worker.entry > 0 && world.currentLeader().leaser.End(workerName(index), incarnation) {
			world.losses = append(world.losses, loss{worker: index, entry: worker.entry})
		}
	}
}

func (world *world) commitLoss(index int) {
	lost := world.losses[index]
	world.losses = slices.Delete(world.losses, index, index+1)
	worker := world.workers[lost.worker]
	if worker.entry != lost.entry {
		return
	}
	worker.entry = 0
	world.currentLeader().leaser.Forget(workerName(lost.worker), incarnation)
	if world.task.live && world.task.worker == lost.worker {
		world.task.live = false
	}
}

// roundTrip sends a heartbeat and delivers its answer immediately.
func (world *world) roundTrip(index int) {
	world.sendHeartbeat(index)
	if len(world.beats) == 0 {
		return
	}
	before := len(world.mail)
	world.answerHeartbeat(len(world.beats) - 1)
	if len(world.mail) > before {
		world.deliver(before)
	}
}

// awaitLoss advances time until the leader finds a lease expired, then commits
// the losses and places the task on this worker without delay, which makes an
// overlap of two attempts most likely.
func (world *world) awaitLoss(index int) {
	for range 300 {
		world.now += 10 * time.Millisecond
		world.checkSingleAttempt()
		if rapid.IntRange(0, 30).Draw(world.t, "beats") == 0 {
			world.roundTrip(index)
		}
		world.proposeLosses()
		if len(world.losses) > 0 {
			break
		}
	}
	for len(world.losses) > 0 {
		world.commitLoss(0)
	}
	world.roundTrip(index)
	before := len(world.mail)
	world.place(index)
	if len(world.mail) > before {
		world.deliver(before)
	}
}

func (world *world) checkSingleAttempt() {
	if live := world.liveAttempts(); live > 1 {
		world.t.Fatalf("%d attempts are live at %s", live, world.now)
	}
}

// liveAttempts returns the number of attempts that are running now.
func (world *world) liveAttempts() int {
	live := 0
	for _, worker := range world.workers {
		if !worker.paused && worker.holder.Holds() {
			live += len(worker.running)
		}
	}
	return live
}

func (world *world) step() {
	t := world.t
	index := rapid.IntRange(0, len(world.workers)-1).Draw(t, "worker")
	pick := func(length int) int { return rapid.IntRange(0, length-1).Draw(t, "which") }
	switch action := rapid.IntRange(0, 24).Draw(t, "action"); {
	case action < 4:
		world.now += time.Duration(rapid.SampledFrom([]int{1, 20, 100, 400}).Draw(t, "pass")) * time.Millisecond
	case action < 8:
		world.sendHeartbeat(index)
	case action < 11 && len(world.beats) > 0:
		world.answerHeartbeat(pick(len(world.beats)))
	case action < 14 && len(world.mail) > 0:
		world.deliver(pick(len(world.mail)))
	case action < 16:
		world.place(index)
	case action == 16:
		world.proposeLosses()
	case action < 19 && len(world.losses) > 0:
		world.commitLoss(pick(len(world.losses)))
	case action == 19:
		world.workers[index].paused = !world.workers[index].paused
	case action == 20:
		world.elect()
	case action < 23:
		world.roundTrip(index)
	case action > 22:
		world.awaitLoss(index)
	}
}

func TestNoTaskIsLiveTwiceInRealTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(t)
		for index := range world.workers {
			world.roundTrip(index)
		}
		world.place(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			world.step()
			world.checkSingleAttempt()
		}
	})
}
