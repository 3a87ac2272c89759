package conductor_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/conductor"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// livenessWorker is a simulated worker that may crash, come back under its name, be cut
// off, and lose orders or carry them out late. Its mutex guards the fields below it.
type livenessWorker struct {
	rig      *livenessRig
	name     modeller.WorkerName
	rack     modeller.RackName
	mutex    sync.Mutex
	life     stager.Incarnation
	bornAt   time.Time
	up       bool
	leaving  bool
	cutUntil time.Time
	// failing is true while everything that starts here fails.
	failing  bool
	number   uint64
	fence    uint64
	lease    modeller.Millis
	running  map[stager.TaskID]*livenessRun
	rejected map[stager.TaskID]modeller.Attempt
	ended    []conductor.EndedAttempt
	ends     uint64
	changed  chan struct{}
}

// livenessRun is an attempt that runs on a worker.
type livenessRun struct {
	attempt   modeller.Attempt
	startedAt time.Time
	runTime   time.Duration
	size      modeller.Resources
}

// begin starts an incarnation of the worker. The mutex must be held.
func (worker *livenessWorker) begin() {
	worker.life++
	worker.bornAt, worker.up, worker.leaving = time.Now(), true, false
	worker.number, worker.fence, worker.lease, worker.ends = 0, 0, 0, 0
	worker.running, worker.rejected, worker.ended = make(map[stager.TaskID]*livenessRun), make(map[stager.TaskID]modeller.Attempt), nil
	worker.changed = make(chan struct{})
}

// crash ends the incarnation. The mutex must be held.
func (worker *livenessWorker) crash() {
	for task := range worker.running {
		worker.rig.recordCrash(task)
	}
	worker.up, worker.running = false, nil
	close(worker.changed)
	worker.changed = make(chan struct{})
}

// leave ends the incarnation and announces that, and names it if it is asked to. The mutex
// must be held.
func (worker *livenessWorker) leave() {
	if !worker.up {
		return
	}
	worker.crash()
	announcement := stager.Announcement{Worker: stager.Worker{Name: worker.name}, Gone: true}
	go func() {
		leader := worker.rig.currentLeader()
		if leader == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		refusals, _ := leader.conductor.AnnounceAll(ctx, []stager.Announcement{announcement})
		if len(refusals) == 1 && refusals[0] != nil && refusals[0].Code == coder.IncarnationUnnamed {
			announcement.Worker.Life = stager.Incarnation(refusals[0].Name)
			_, _ = leader.conductor.AnnounceAll(ctx, []stager.Announcement{announcement})
		}
	}()
}

func (worker *livenessWorker) clock() modeller.Millis {
	return modeller.Millis(time.Since(worker.bornAt).Milliseconds()) + 1000
}

func (worker *livenessWorker) reachable() bool { return worker.up && time.Now().After(worker.cutUntil) }

func (worker *livenessWorker) free() modeller.Resources {
	free := livenessCapacity
	for _, run := range worker.running {
		free = free.Sub(run.size)
	}
	return free
}

// arrive waits for an order's way to the worker. It returns false, once the context
// ends, if the worker can't be reached. It locks the mutex.
func (worker *livenessWorker) arrive(ctx context.Context) bool {
	time.Sleep(callDelay)
	worker.mutex.Lock()
	if worker.reachable() {
		worker.expireLease()
		return true
	}
	worker.mutex.Unlock()
	<-ctx.Done()
	worker.mutex.Lock()
	return false
}

// expireLease kills everything once the lease is over. The mutex must be held.
func (worker *livenessWorker) expireLease() {
	if worker.lease == 0 || worker.clock() < worker.lease {
		return
	}
	for _, task := range slices.SortedFunc(maps.Keys(worker.running), stager.TaskID.Compare) {
		worker.end(task, worker.running[task].attempt, stager.Lapsing)
	}
	worker.lease = 0
}

// renew extends the lease, at most to livenessLease. The mutex must be held.
func (worker *livenessWorker) renew(expires modeller.Millis) {
	worker.lease = max(worker.lease, min(expires, worker.clock()+modeller.Millis(livenessLease.Milliseconds())))
}

// end ends a run. The mutex must be held.
func (worker *livenessWorker) end(task stager.TaskID, attempt modeller.Attempt, how stager.Ending) {
	worker.rejected[task] = max(worker.rejected[task], attempt)
	if run := worker.running[task]; run == nil || run.attempt != attempt {
		return
	}
	delete(worker.running, task)
	worker.ends++
	worker.ended = append(worker.ended, conductor.EndedAttempt{Number: worker.ends, Task: task, Attempt: attempt, How: how})
	close(worker.changed)
	worker.changed = make(chan struct{})
}

// endLater ends a run of the current incarnation after a time.
func (worker *livenessWorker) endLater(task stager.TaskID, attempt modeller.Attempt, how stager.Ending, after time.Duration) {
	life := worker.life
	time.AfterFunc(after, func() {
		worker.mutex.Lock()
		defer worker.mutex.Unlock()
		if worker.up && worker.life == life {
			worker.expireLease()
			worker.end(task, attempt, how)
		}
	})
}

// carryOut carries out a start. The mutex must be held.
func (worker *livenessWorker) carryOut(order *conductor.StartOrder) conductor.Answer {
	answer := conductor.Answer{Outcome: conductor.Rejected, Clock: worker.clock()}
	run := worker.running[order.Task]
	switch {
	case order.Fence < worker.fence:
		answer.Reason = conductor.LowFence
	case order.Expires <= worker.clock():
		answer.Reason = conductor.TooLate
	case !worker.validTicket(order):
		answer.Reason = conductor.BadTicket
	case order.Attempt <= worker.rejected[order.Task] || run != nil && order.Attempt < run.attempt:
		answer.Reason = conductor.OldAttempt
	default:
		answer.Outcome = conductor.Obeyed
		worker.fence = order.Fence
		worker.renew(order.Expires)
		if run == nil {
			worker.run(order)
		}
	}
	return answer
}

// run begins a run. The mutex must be held.
func (worker *livenessWorker) run(order *conductor.StartOrder) {
	class := livenessClassOf(order.Task.Job)
	run := &livenessRun{attempt: order.Attempt, startedAt: time.Now(), runTime: class.runTime, size: class.size()}
	worker.running[order.Task] = run
	worker.rig.recordStart(order.Task)
	if worker.rig.onRun != nil {
		worker.rig.onRun(worker, order)
	}
	switch {
	case strings.HasSuffix(string(order.Task.Job), livenessDeadly):
		worker.crashLater(order.Task, worker.rig.deadly.after)
	case worker.failing || strings.HasSuffix(string(order.Task.Job), livenessPoison):
		worker.endLater(order.Task, order.Attempt, stager.Failing, 50*time.Millisecond)
	default:
		worker.endLater(order.Task, order.Attempt, stager.Succeeding, class.runTime)
	}
}

// validTicket reports whether a start's ticket is one for this step and incarnation that
// has not expired.
func (worker *livenessWorker) validTicket(order *conductor.StartOrder) bool {
	var life stager.Incarnation
	var until int64
	step, rest, _ := strings.Cut(string(order.Ticket), " ")
	if _, err := fmt.Sscan(rest, &life, &until); err != nil {
		return false
	}
	return step == order.Task.StepID.String() && life == worker.life && time.Now().UnixMilli() <= until
}

func (worker *livenessWorker) start(ctx context.Context, order *conductor.StartOrder) conductor.Answer {
	if worker.rig.draw() < worker.rig.lateShare() {
		copied := *order
		time.AfterFunc(time.Duration(2+8*worker.rig.draw()*float64(time.Second))+2*time.Second, func() {
			worker.mutex.Lock()
			defer worker.mutex.Unlock()
			if worker.reachable() {
				worker.expireLease()
				worker.carryOut(&copied)
			}
		})
		<-ctx.Done()
		return conductor.Answer{Outcome: conductor.Unanswered}
	}
	if !worker.arrive(ctx) {
		defer worker.mutex.Unlock()
		if !worker.up {
			return conductor.Answer{Outcome: conductor.NotSent}
		}
		return conductor.Answer{Outcome: conductor.Unanswered}
	}
	defer worker.mutex.Unlock()
	return worker.carryOut(order)
}

func (worker *livenessWorker) stop(ctx context.Context, order *conductor.StopOrder) conductor.Answer {
	ctx, cancel := context.WithTimeout(ctx, 800*time.Millisecond)
	defer cancel()
	lost := worker.rig.draw() < worker.rig.lateShare()
	if !lost && worker.arrive(ctx) {
		defer worker.mutex.Unlock()
		if order.Fence < worker.fence {
			return conductor.Answer{Outcome: conductor.Rejected, Reason: conductor.LowFence, Clock: worker.clock()}
		}
		worker.end(order.Task, order.Attempt, stager.Stopping)
		return conductor.Answer{Outcome: conductor.Obeyed, Clock: worker.clock()}
	}
	if !lost {
		worker.mutex.Unlock()
	}
	<-ctx.Done()
	return conductor.Answer{Outcome: conductor.Unanswered}
}

func (worker *livenessWorker) hold(ctx context.Context, order *conductor.HoldOrder) conductor.HoldAnswer {
	unanswered := conductor.HoldAnswer{Answer: conductor.Answer{Outcome: conductor.Unanswered}}
	if worker.rig.draw() < worker.rig.lateShare() {
		<-ctx.Done()
		return unanswered
	}
	if !worker.arrive(ctx) {
		worker.mutex.Unlock()
		return unanswered
	}
	defer worker.mutex.Unlock()
	if order.Fence < worker.fence {
		return conductor.HoldAnswer{Answer: conductor.Answer{Outcome: conductor.Rejected, Reason: conductor.LowFence, Clock: worker.clock()}}
	}
	life := worker.life
	if order.Expires > 0 {
		worker.renew(order.Expires)
	}
	worker.ended = slices.DeleteFunc(worker.ended, func(ended conductor.EndedAttempt) bool { return ended.Number <= order.Observed })
	if changed := worker.changed; len(worker.ended) == 0 && order.Wait > 0 {
		worker.mutex.Unlock()
		timer := time.NewTimer(order.Wait)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
		worker.mutex.Lock()
	}
	if !worker.reachable() || worker.life != life || ctx.Err() != nil {
		worker.mutex.Unlock()
		if worker.rig.deadly.resets {
			worker.mutex.Lock()
			return unanswered
		}
		<-ctx.Done()
		worker.mutex.Lock()
		return unanswered
	}
	worker.expireLease()
	answer := conductor.HoldAnswer{Answer: conductor.Answer{Outcome: conductor.Obeyed, Clock: worker.clock()}, Life: worker.life, Ended: slices.Clone(worker.ended)}
	for task, run := range worker.running {
		answer.Running = append(answer.Running, conductor.RunningAttempt{Task: task, Attempt: run.attempt, Percent: min(99, int(100*time.Since(run.startedAt)/run.runTime))})
	}
	return answer
}

// announcement returns the worker's next announcement, or nil while it can't be heard.
func (worker *livenessWorker) announcement() *stager.Announcement {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	if !worker.reachable() {
		return nil
	}
	worker.number++
	return &stager.Announcement{Number: worker.number, Clock: worker.clock(), Remaining: 2000, Worker: stager.Worker{
		Name: worker.name, Life: worker.life, Pool: "p", Rack: worker.rack, Address: string(worker.name), Capacity: livenessCapacity, Leaving: worker.leaving,
	}}
}
