package baseliner

import (
	"fmt"
	"slices"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// lookAheadJobs is the number of jobs at the head of a list that are tried, so that
// a job that doesn't fit doesn't block the ones behind it.
const lookAheadJobs = 16

// Plan returns the commands to propose now, in order of preference. The View treats
// them as applied; Undo reverts one that was rejected.
func (view *View) Plan(now modeller.Millis) []*applier.Command {
	var places []*applier.Place
	if view.config.FirstFit {
		places = view.planFirstFit(now)
	}
	for urgency := modeller.Urgent; urgency <= modeller.Deferrable; urgency++ {
		places = view.planUrgency(urgency, now, places)
	}
	commands := make([]*applier.Command, len(places))
	for index, place := range places {
		commands[index] = &applier.Command{Place: place}
	}
	return commands
}

// firstFitLookAheadJobs is lookAheadJobs for the first-come, first-served policy,
// which has a single list for the whole cell.
const firstFitLookAheadJobs = 256

func (view *View) planFirstFit(now modeller.Millis) []*applier.Place {
	var places []*applier.Place
	view.firstFitQueue = slices.DeleteFunc(view.firstFitQueue, dequeueIfIdle)
	index := 0
	for index < min(len(view.firstFitQueue), firstFitLookAheadJobs) && len(places) < view.config.MostPlacements {
		job := view.firstFitQueue[index]
		place := view.placeJob(view.account(job.spec.ClientAccount), job, now)
		if place == nil {
			index++
			continue
		}
		places = append(places, place)
		view.notifyDecided()
	}
	return places
}

func (view *View) notifyDecided() {
	if view.config.Decided != nil {
		view.config.Decided()
	}
}

func (view *View) planUrgency(urgency modeller.Urgency, now modeller.Millis, places []*applier.Place) []*applier.Place {
	blocked := make(map[modeller.ClientAccountName]bool)
	for len(places) < view.config.MostPlacements {
		account := view.nextAccount(urgency, blocked)
		if account == nil {
			break
		}
		place := view.placeFirstFitting(account, urgency, now)
		if place == nil {
			blocked[account.name] = true
			continue
		}
		places = append(places, place)
		view.notifyDecided()
	}
	return places
}

// nextAccount returns the account with the lowest dominant share of the fleet in use,
// divided by its configured share, among the accounts that have waiting jobs of the
// urgency and aren't blocked. It returns nil if there is none.
func (view *View) nextAccount(urgency modeller.Urgency, blocked map[modeller.ClientAccountName]bool) *account {
	var best *account
	var lowestShare float64
	for _, name := range view.accountNames {
		account := view.accounts[name]
		if blocked[name] || len(account.waiting[urgency]) == 0 {
			continue
		}
		share := account.used.DominantShare(view.capacity) / float64(account.share)
		if best == nil || share < lowestShare {
			best, lowestShare = account, share
		}
	}
	return best
}

// placeFirstFitting places a task, or a whole gang, of the first job in the account's
// list that fits. It returns nil if none fits.
func (view *View) placeFirstFitting(account *account, urgency modeller.Urgency, now modeller.Millis) *applier.Place {
	list := account.waiting[urgency]
	list = slices.DeleteFunc(list, dequeueIfIdle)
	account.waiting[urgency] = list
	for index := range min(len(list), lookAheadJobs) {
		if place := view.placeJob(account, list[index], now); place != nil {
			return place
		}
	}
	return nil
}

// dequeueIfIdle reports whether the job has no waiting tasks and should be deleted
// from its list, and marks it as no longer queued if so.
func dequeueIfIdle(job *job) bool {
	if job.waiting > 0 {
		return false
	}
	job.queued = false
	return true
}

func (view *View) placeJob(account *account, job *job, now modeller.Millis) *applier.Place {
	needed := 1
	if job.spec.Kind == modeller.Gang {
		needed = job.unfinished
	}
	if job.waiting < needed || !account.withinLimit(job.spec.Size, int64(needed)) {
		return nil
	}
	place := &applier.Place{Job: job.spec.ID, Revision: view.revision}
	for index := range job.tasks {
		if len(place.Tasks) == needed {
			break
		}
		task := &job.tasks[index]
		if task.state == taskWaiting && task.notBefore <= now {
			view.placeTask(place, job, uint32(index))
		}
	}
	if len(place.Tasks) == needed {
		return place
	}
	view.undoPlace(place, 0)
	return nil
}

func (account *account) withinLimit(size modeller.Resources, tasks int64) bool {
	return account.live+tasks <= account.limit.Tasks &&
		account.used.Add(size.Times(tasks)).Fits(account.limit.Resources)
}

func (view *View) placeTask(place *applier.Place, job *job, index uint32) {
	best, runnersUp := view.pick(job)
	if best.worker == nil {
		return
	}
	task := &job.tasks[index]
	attempt := task.attempt + 1
	view.assign(job, task, best.worker, attempt, taskAssumed)
	place.Tasks = append(place.Tasks, applier.Placement{
		Index:       index,
		Attempt:     attempt,
		Worker:      best.worker.description.Name,
		Incarnation: best.worker.description.Incarnation,
	})
	place.Score = best.score
	place.RunnersUp = runnersUp
	place.Reason = fmt.Sprintf("%s %s: best of the workers with room", job.spec.Urgency, job.spec.Kind)
}

// Undo reverts a proposal that was rejected. Its tasks aren't placed again before
// notBefore.
func (view *View) Undo(command *applier.Command, notBefore modeller.Millis) {
	if command.Place != nil {
		view.undoPlace(command.Place, notBefore)
	}
}

func (view *View) undoPlace(place *applier.Place, notBefore modeller.Millis) {
	job := view.jobs[place.Job]
	if job == nil {
		return
	}
	for _, placement := range place.Tasks {
		task := &job.tasks[placement.Index]
		if task.state != taskAssumed || task.attempt != placement.Attempt {
			continue
		}
		view.release(job, task)
		task.attempt--
		task.notBefore = max(task.notBefore, notBefore)
	}
	view.enqueue(job)
}
