package planner

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/google/btree"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/modeller"
)

const (
	// preemptAfter is how long urgent work waits before it preempts.
	preemptAfter modeller.Millis = 0
	// preemptInterval is the time between two preemptions for one job.
	preemptInterval modeller.Millis = 400
	// maxVictims is how many victims are considered for one decision.
	maxVictims = 64
)

// preemptible reports whether attempts of the job may be stopped for other jobs.
func preemptible(spec *applier.Spec) bool {
	return spec.Idempotent && spec.Urgency == modeller.Deferrable && spec.Kind == modeller.Batch
}

// victims holds attempts that may be preempted, the youngest first, because they
// lose the least work.
type victims struct {
	tree *btree.BTreeG[*task]
}

const victimTreeDegree = 16

// newVictims returns an empty set whose tree takes its nodes from the free list.
func newVictims(nodes *btree.FreeListG[*task]) *victims {
	return &victims{tree: btree.NewWithFreeListG(victimTreeDegree, younger, nodes)}
}

func younger(left, right *task) bool {
	return cmp.Or(
		cmp.Compare(right.placedAt, left.placedAt),
		cmp.Compare(right.id.Job, left.id.Job),
		cmp.Compare(right.id.Index, left.id.Index),
	) < 0
}

func (view *View) addVictim(task *task) {
	if preemptible(task.job.spec) {
		view.victims.tree.ReplaceOrInsert(task)
		task.job.account.victims.tree.ReplaceOrInsert(task)
	}
}

func (view *View) removeVictim(task *task) {
	if preemptible(task.job.spec) {
		view.victims.tree.Delete(task)
		task.job.account.victims.tree.Delete(task)
	}
}

// preemptForUrgent stops preemptible work for an urgent job that fits no worker
// now.
func (view *View) preemptForUrgent(job *job, now modeller.Millis) {
	if view.config.Without.Preemption || job.spec.Urgency != modeller.Urgent {
		return
	}
	if now < job.firstNoRoomAt+preemptAfter || job.preemptedAt > 0 && now < job.preemptedAt+preemptInterval {
		return
	}
	job.preemptedAt = now
	for range min(job.waitingTasks, maxVictims) {
		stopped := view.cheapestVictims(view.victims, job.spec.Size, now)
		if len(stopped) == 0 {
			return
		}
		for _, task := range stopped {
			view.proposeStop(task, applier.StopPreempt, fmt.Sprintf("makes room for urgent job %d, loses %d ms of work", job.spec.ID, now-task.placedAt))
		}
	}
}

// cheapestVictims returns the attempts on one worker whose stop makes room for a
// task of the size at the least loss of work, or nil.
func (view *View) cheapestVictims(victims *victims, size modeller.Resources, now modeller.Millis) []*task {
	var best []*task
	var leastLoss int64
	considered := 0
	victims.tree.Ascend(func(victim *task) bool {
		considered++
		group := victimGroup(victim, size)
		loss := workLost(group, now)
		if len(group) > 0 && (best == nil || loss < leastLoss) {
			best, leastLoss = group, loss
		}
		return considered < maxVictims
	})
	return best
}

func isStopping(task *task) bool { return task.stopping }

// victimGroup returns the victim, and if necessary other preemptible attempts on
// its worker, such that a task of the size fits once they have ended, or nil. It
// skips workers with an attempt that is already stopping, because that capacity
// is meant for another job.
func victimGroup(victim *task, size modeller.Resources) []*task {
	worker := victim.worker
	if worker == nil || worker.state != modeller.WorkerUp || worker.evacuated || slices.ContainsFunc(worker.live, isStopping) {
		return nil
	}
	free := worker.free.Add(victim.job.spec.Size)
	group := []*task{victim}
	if size.Fits(free) {
		return group
	}
	for _, other := range worker.live {
		if other == victim || other.stopping || !preemptible(other.job.spec) {
			continue
		}
		free = free.Add(other.job.spec.Size)
		group = append(group, other)
		if size.Fits(free) {
			return group
		}
	}
	return nil
}

// workLost returns the work lost by stopping the group, in milliprocessor
// milliseconds.
func workLost(group []*task, now modeller.Millis) int64 {
	var loss int64
	for _, task := range group {
		loss += int64(now-task.placedAt) * task.job.spec.Size.MilliProcessors
	}
	return loss
}

// proposeStop proposes to stop an attempt.
func (view *View) proposeStop(task *task, reason applier.StopReason, detail string) {
	task.stopping = true
	view.removeVictim(task)
	view.propose(&applier.Command{Stop: &applier.Stop{Task: task.id, Attempt: task.attempt, Reason: reason, Detail: detail}})
}

func (view *View) undoStop(stop *applier.Stop) {
	job := view.jobs[stop.Task.Job]
	if job == nil {
		return
	}
	task := &job.tasks[stop.Task.Index]
	if task.attempt != stop.Attempt || task.worker == nil {
		return
	}
	task.endBalanceAccounting()
	task.stopping = false
	view.addVictim(task)
}
