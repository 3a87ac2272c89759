package planner

import (
	"slices"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/modeller"
)

func (account *account) exceeds() bool {
	return account.live > account.limit.Tasks || !account.Used.Fits(account.limit.Resources)
}

// stopExcess stops idempotent attempts of accounts that exceed a lowered limit,
// the least urgent and then the youngest first. Other attempts above the limit
// end by themselves; nothing new of the account is placed meanwhile.
func (view *View) stopExcess() {
	if view.config.Without.LimitStops {
		return
	}
	for _, account := range view.aboveLimit {
		view.stopExcessOf(account)
	}
	view.aboveLimit = nil
}

func (view *View) stopExcessOf(account *account) {
	used, live := account.Used, account.live
	for _, task := range view.stopCandidates(account) {
		if live <= account.limit.Tasks && used.Fits(account.limit.Resources) {
			return
		}
		used = used.Sub(task.job.spec.Size)
		live--
		view.proposeStop(task, applier.StopLimit, "the client account exceeds its lowered limit")
	}
}

// stopCandidates returns the account's idempotent attempts in the order in which
// they are to be stopped.
func (view *View) stopCandidates(account *account) []*task {
	var tasks []*task
	for _, worker := range view.sortedWorkers {
		for _, task := range worker.live {
			if task.job.account == account && task.job.spec.Idempotent && task.state == taskConfirmed && !task.stopping {
				tasks = append(tasks, task)
			}
		}
	}
	slices.SortFunc(tasks, func(left, right *task) int {
		if left.job.spec.Urgency != right.job.spec.Urgency {
			return int(right.job.spec.Urgency) - int(left.job.spec.Urgency)
		}
		if younger(left, right) {
			return -1
		}
		return 1
	})
	return tasks
}

// refuseAfter is how long a job without any attempt may wait while it exceeds
// the capacity of every worker.
const refuseAfter modeller.Millis = 60 * 1000

// refuseUnplaceable reports whether the job exceeds the capacity of every
// worker, and refuses it after refuseAfter if none of its tasks had an attempt.
// The workers it fits may have left since it was accepted.
func (view *View) refuseUnplaceable(job *job, now modeller.Millis) bool {
	switch {
	case view.config.Without.Refusal || len(view.sortedWorkers) == 0 || view.fitsAnyWorker(job.spec.Size):
		job.unplaceableSince = 0
		return false
	case job.unplaceableSince == 0:
		job.unplaceableSince = now
	case now >= job.unplaceableSince+refuseAfter && job.neverAttempted():
		job.refused = true
		view.queue.Remove(job.item)
		reason := "no worker has had the capacity for " + job.spec.Size.String() + " for one minute"
		view.propose(&applier.Command{Refuse: &applier.Refuse{Job: job.spec.ID, Code: coder.CanNeverRun, Reason: reason}})
	}
	return true
}

func (job *job) neverAttempted() bool {
	for index := range job.tasks {
		if job.tasks[index].attempt > 0 {
			return false
		}
	}
	return true
}

func (view *View) undoRefuse(refuse *applier.Refuse) {
	if job := view.jobs[refuse.Job]; job != nil {
		job.refused = false
		job.unplaceableSince = 0
		view.enqueue(job)
	}
}
