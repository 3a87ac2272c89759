package applier

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/modeller"
)

func (state *State) joinWorker(join *JoinWorker) Result {
	description := join.Worker
	capacity := description.Capacity
	if description.Name == "" || description.Incarnation == 0 || !capacity.Valid() || description.Slots < 1 {
		return refuse(coder.BadSize, "a worker needs a name, an incarnation, a capacity and slots")
	}
	worker := state.Workers[description.Name]
	if worker != nil && int64(len(worker.live)) > description.Slots {
		return refuse(coder.NoSlots, "the worker is committed to more tasks than it announces slots now")
	}
	if worker != nil && worker.Description.Incarnation != description.Incarnation {
		return refuse(coder.StaleIncarnation, "another incarnation of the worker holds a lease")
	}
	if worker != nil && !worker.used.Fits(capacity) {
		return refuse(coder.NoCapacity, "the worker is committed to more than it announces now")
	}
	if worker == nil {
		worker = &Worker{State: modeller.WorkerUp, Joined: state.Now, Entry: state.Index, live: make(map[modeller.TaskID]struct{})}
		state.Workers[description.Name] = worker
	}
	worker.Description = description
	state.Lost = slices.DeleteFunc(state.Lost, func(lost modeller.Incarnation) bool { return lost == description.Incarnation })
	state.DataCentres.Learn(description.DataCentre)
	state.recordShape(capacity)
	state.emit(state.workerEvent(EventWorkerJoined, worker))
	return Result{}
}

// recordShape adds the capacity to Shapes unless one of them is at least as
// large in every dimension, and removes those that it covers. Beyond maxShapes
// the oldest is dropped.
func (state *State) recordShape(capacity modeller.Resources) {
	if slices.ContainsFunc(state.Shapes, capacity.Fits) {
		return
	}
	smaller := func(shape modeller.Resources) bool { return shape.Fits(capacity) }
	state.Shapes = append(slices.DeleteFunc(state.Shapes, smaller), capacity)
	if len(state.Shapes) > maxShapes {
		state.Shapes = state.Shapes[1:]
	}
}

// currentWorker returns the worker if the incarnation is its current one.
func (state *State) currentWorker(name modeller.WorkerName, incarnation modeller.Incarnation) (*Worker, coder.Code, string) {
	worker := state.Workers[name]
	if worker == nil {
		return nil, coder.UnknownWorker, "no worker " + string(name)
	}
	if worker.Description.Incarnation != incarnation {
		return nil, coder.StaleIncarnation, "the worker has another incarnation"
	}
	return worker, coder.OK, ""
}

func (state *State) loseWorker(lose *LoseWorker) Result {
	worker, code, detail := state.currentWorker(lose.Worker, lose.Incarnation)
	if code != coder.OK {
		return refuse(code, detail)
	}
	if lose.Entry != 0 && worker.Entry != lose.Entry {
		return refuse(coder.StaleIncarnation, "the worker has joined anew since")
	}
	event := state.workerEvent(EventWorkerLost, worker)
	for _, id := range sortedTaskIDs(worker.live) {
		state.loseAttempt(id, state.Jobs[id.Job], truncate("the lease of worker "+string(lose.Worker)+" is over: "+lose.Reason))
	}
	delete(state.Workers, lose.Worker)
	if state.Lost = append(state.Lost, lose.Incarnation); len(state.Lost) > maxLost {
		state.Lost = state.Lost[1:]
	}
	state.emit(event)
	return Result{}
}

func sortedTaskIDs(set map[modeller.TaskID]struct{}) []modeller.TaskID {
	ids := make([]modeller.TaskID, 0, len(set))
	for id := range set {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareTaskIDs)
	return ids
}

func compareTaskIDs(left, right modeller.TaskID) int {
	return cmp.Or(cmp.Compare(left.Job, right.Job), cmp.Compare(left.Index, right.Index))
}

func (state *State) setWorker(set *SetWorker) Result {
	worker, code, detail := state.currentWorker(set.Worker, set.Incarnation)
	if code != coder.OK {
		return refuse(code, detail)
	}
	if set.State.String() == "Invalid" || worker.State == modeller.WorkerDraining && set.State != modeller.WorkerDraining {
		return refuse(coder.WrongState, "a draining worker stays so until it is gone")
	}
	worker.State = set.State
	worker.Reason = truncate(set.Reason)
	state.emit(state.workerEvent(EventWorkerChanged, worker))
	return Result{}
}

// place applies either all of the placements or none.
func (state *State) place(place *Place) Result {
	job := state.Jobs[place.Job]
	if job == nil {
		return refuse(coder.UnknownJob, fmt.Sprintf("no job %d", place.Job))
	}
	if code, detail := state.checkPlace(place, job); code != coder.OK {
		return Result{Code: code, Detail: detail, Job: place.Job}
	}
	for _, placement := range place.Tasks {
		state.placeTask(placement, job)
	}
	return Result{Job: place.Job}
}

func (state *State) checkPlace(place *Place, job *Job) (coder.Code, string) {
	if len(place.Tasks) == 0 {
		return coder.Malformed, "nothing is placed"
	}
	if job.Cancelled {
		return coder.WrongState, "the job is cancelled"
	}
	if job.Spec.Kind == modeller.Gang && len(place.Tasks) != int(job.Open) {
		return coder.GangIncomplete, fmt.Sprintf("%d of %d tasks are placed", len(place.Tasks), job.Open)
	}
	if code, detail := state.checkLimit(job, int64(len(place.Tasks))); code != coder.OK {
		return code, detail
	}
	seen := make(map[uint32]bool, len(place.Tasks))
	addedTasks := make(map[modeller.WorkerName]int64, len(place.Tasks))
	for _, placement := range place.Tasks {
		if seen[placement.Index] {
			return coder.Malformed, "a task is placed twice"
		}
		seen[placement.Index] = true
		addedTasks[placement.Worker]++
		if code, detail := state.checkPlacement(placement, job, addedTasks[placement.Worker]); code != coder.OK {
			return code, detail
		}
	}
	return coder.OK, ""
}

func (state *State) checkLimit(job *Job, additional int64) (coder.Code, string) {
	account := state.ensureAccount(job.Spec.ClientAccount)
	if account.Template == nil {
		return coder.UnknownAccount, "no template describes the client account"
	}
	limit := account.Template.Limit
	if account.Live+additional > limit.Tasks || !account.Used.Add(job.Spec.Size.Times(additional)).Fits(limit.Resources) {
		return coder.UpperLimit, "the client account would have more running than its upper limit"
	}
	return coder.OK, ""
}

// checkPlacement checks one placement. Count is the number of placements on the
// same worker checked so far in this entry, this one included.
func (state *State) checkPlacement(placement Placement, job *Job, count int64) (coder.Code, string) {
	if int(placement.Index) >= len(job.Tasks) {
		return coder.Malformed, "the job has no such task"
	}
	task := &job.Tasks[placement.Index]
	switch {
	case task.State != modeller.TaskQueued:
		return coder.WrongState, "the task is " + task.State.String()
	case placement.Attempt != task.Attempt+1:
		return coder.StaleAttempt, fmt.Sprintf("the next attempt is %d", task.Attempt+1)
	case task.Ran && !job.Spec.Idempotent:
		return coder.WrongState, "the task is not idempotent and may have run"
	}
	worker, code, detail := state.currentWorker(placement.Worker, placement.Incarnation)
	if code != coder.OK {
		return code, detail
	}
	if state.Evacuated(worker) {
		return coder.WorkerLeaving, "the worker's data centre is evacuated"
	}
	return checkEligible(worker, job.Spec.Size, count)
}

func checkEligible(worker *Worker, size modeller.Resources, count int64) (coder.Code, string) {
	switch {
	case worker.State == modeller.WorkerDraining:
		return coder.WorkerLeaving, "the worker is leaving"
	case int64(len(worker.live))+count > worker.Description.Slots:
		return coder.NoSlots, "the worker has no free slot"
	case !worker.used.Add(size.Times(count)).Fits(worker.Description.Capacity):
		return coder.NoCapacity, "the worker would be over-committed"
	}
	return coder.OK, ""
}

func (state *State) placeTask(placement Placement, job *Job) {
	id := modeller.TaskID{Job: job.Spec.ID, Index: placement.Index}
	task := &job.Tasks[placement.Index]
	task.Attempt = placement.Attempt
	task.Worker = placement.Worker
	task.Incarnation = placement.Incarnation
	task.Placed = state.Now
	task.Started = 0
	task.StopReason = 0
	task.BadAnswers = 0
	state.transition(id, job, modeller.TaskPlaced)
	state.emitTask(EventTaskPlaced, id, job)
}

func (state *State) stop(stop *Stop) Result {
	job, task, code, detail := state.currentAttempt(stop.Task, stop.Attempt)
	if code != coder.OK {
		return refuse(code, detail)
	}
	if task.State != modeller.TaskPlaced && task.State != modeller.TaskRunning {
		return refuse(coder.WrongState, "the task is "+task.State.String())
	}
	if stop.Reason < StopCancel || stop.Reason > StopDrain {
		return refuse(coder.Malformed, "no such reason")
	}
	if !job.Spec.Idempotent || stop.Reason == StopCancel {
		return refuse(coder.WrongState, "only idempotent work is stopped to be run again")
	}
	state.beginStop(stop.Task, job, stop.Reason, truncate(stop.Detail))
	return Result{Job: stop.Task.Job}
}

func (state *State) beginStop(id modeller.TaskID, job *Job, reason StopReason, detail string) {
	task := &job.Tasks[id.Index]
	state.transition(id, job, modeller.TaskStopping)
	task.StopReason = reason
	task.Detail = detail
	state.emitTask(EventTaskStopping, id, job)
}

// LiveOn returns the tasks with a live attempt on the worker, in ascending
// order.
func (state *State) LiveOn(name modeller.WorkerName) []modeller.TaskID {
	worker := state.Workers[name]
	if worker == nil {
		return nil
	}
	return sortedTaskIDs(worker.live)
}
