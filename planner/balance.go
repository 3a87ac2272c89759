package planner

import (
	"fmt"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/modeller"
)

const (
	// balanceAfter is how long searches for work of an account below its share
	// fail before attempts of an account above its share are stopped for it.
	balanceAfter modeller.Millis = 100
	// balanceInterval is the time between two balancing decisions for one account.
	balanceInterval modeller.Millis = 100
	// maxBalancedTasks is the maximum number of tasks that one balancing decision
	// makes room for.
	maxBalancedTasks = 4
	// minBalanceGap is the minimum difference between the weighted shares of the
	// donor and the receiver, as a fraction of the donor's.
	minBalanceGap = 0.10
)

// balance stops preemptible work of the account that is furthest above its
// share for a job whose account is below its own. Without it an account that
// submits to a full fleet gets its share only as fast as other accounts' tasks
// end.
func (view *View) balance(job *job, now modeller.Millis) {
	if view.config.Without.Balancing || now < job.firstNoRoomAt+balanceAfter || now < job.account.nextBalanceAt || job.spec.Kind != modeller.Batch {
		return
	}
	job.account.nextBalanceAt = now + balanceInterval
	for range min(maxBalancedTasks, job.waitingTasks) {
		donor := view.donor(job)
		if donor == nil {
			return
		}
		stopped := view.cheapestVictims(donor.victims, job.spec.Size, now)
		for _, task := range stopped {
			view.stopForShare(task, job, now)
		}
		if len(stopped) == 0 {
			return
		}
	}
}

// donor returns the account whose attempts are stopped for the job, or nil. It
// is the account furthest above its share, or the job's own account if the job
// is ordinary work, which then replaces the account's deferrable work.
func (view *View) donor(job *job) *account {
	highest := view.furthestAboveShare()
	if highest != nil && view.worthBalancing(highest, job) {
		return highest
	}
	if job.spec.Urgency == modeller.Ordinary {
		return job.account
	}
	return nil
}

// stopForShare stops an attempt to balance the shares of its account and the
// job's.
func (view *View) stopForShare(task *task, job *job, now modeller.Millis) {
	donor, receiver := task.job.account, job.account
	detail := fmt.Sprintf("makes room for job %d of %s, weighted share %.4f against %.4f; loses %d ms of work",
		job.spec.ID, receiver.Name, receiver.WeightedShare(), donor.WeightedShare(), now-task.placedAt)
	view.proposeStop(task, applier.StopPreempt, detail)
	task.stoppedFor = receiver
	donor.releasing = donor.releasing.Add(task.job.spec.Size)
	receiver.incoming = receiver.incoming.Add(task.job.spec.Size)
}

// endBalanceAccounting removes a balancing stop from both accounts once the
// attempt has ended or the stop was reverted.
func (task *task) endBalanceAccounting() {
	if task.stoppedFor == nil {
		return
	}
	size := task.job.spec.Size
	task.job.account.releasing = task.job.account.releasing.Sub(size)
	task.stoppedFor.incoming = task.stoppedFor.incoming.Sub(size)
	task.stoppedFor = nil
}

// furthestAboveShare returns the account with the highest weighted share after
// all stops in flight, of those with preemptible work, or nil.
func (view *View) furthestAboveShare() *account {
	var highest *account
	for _, account := range view.accounts {
		if account.victims.tree.Len() == 0 {
			continue
		}
		if highest == nil || view.shareAfterStops(account) > view.shareAfterStops(highest) ||
			view.shareAfterStops(account) == view.shareAfterStops(highest) && account.Name < highest.Name {
			highest = account
		}
	}
	return highest
}

// shareAfterStops returns the weighted share that the account will have once all
// stops in flight are done and it uses the capacity that they release for it.
func (view *View) shareAfterStops(account *account) float64 {
	used := account.Used.Sub(account.releasing).Add(account.incoming)
	return used.DominantShare(view.fleetCapacity) / float64(account.Weight)
}

func (view *View) worthBalancing(donor *account, job *job) bool {
	step := job.spec.Size.DominantShare(view.fleetCapacity)
	donorShare := view.shareAfterStops(donor)
	receiverShare := view.shareAfterStops(job.account) + step/float64(job.account.Weight)
	return donor != job.account && donorShare-step/float64(donor.Weight) > receiverShare && receiverShare < donorShare*(1-minBalanceGap)
}
