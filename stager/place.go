package stager

import (
	"slices"

	"github.com/dotterelrill/dotterelrill/modeller"
)

// place places tasks of one step on workers, all of them or none.
func (state *State) place(place *Place) error {
	job := state.Jobs[place.Step.Job]
	if err := state.checkPlacement(job, place); err != nil {
		return err
	}
	previous := make([]Task, len(place.Tasks))
	for index := range place.Tasks {
		if task := job.Task(TaskID{place.Step, place.Tasks[index].Index}); task != nil {
			previous[index] = *task
		}
		if err := state.placeTask(job, place.Step, &place.Tasks[index]); err != nil {
			state.rollBack(job, place, previous[:index])
			return err
		}
	}
	if !job.Started {
		job.Started = true
		state.pendingJobs[job.Queue]--
	}
	return nil
}

func (state *State) checkPlacement(job *Job, place *Place) error {
	if job == nil || job.Over() {
		return refuse("job %s is over or unknown", place.Step.Job)
	}
	if int(place.Step.Step) >= len(job.Steps) || place.Step.Occurrence >= job.Occurrences() {
		return refuse("no step %s", place.Step)
	}
	if !job.Ready(place.Step.Occurrence, place.Step.Step) {
		return refuse("step %s waits for another", place.Step)
	}
	if state.Now < job.Schedule.Due(place.Step.Occurrence) {
		return refuse("step %s is not due", place.Step)
	}
	if !job.Steps[place.Step.Step].Gang {
		return nil
	}
	tasks := job.StepTasks(place.Step.Occurrence, place.Step.Step)
	if len(place.Tasks) != len(tasks) {
		return refuse("gang %s is placed with %d of %d tasks", place.Step, len(place.Tasks), len(tasks))
	}
	for index := range place.Tasks {
		if place.Tasks[index].Attempt != place.Tasks[0].Attempt {
			return refuse("gang %s is placed under different attempts", place.Step)
		}
	}
	return nil
}

func (state *State) placeTask(job *Job, step StepID, taskPlacement *TaskPlacement) error {
	id := TaskID{step, taskPlacement.Index}
	task := job.Task(id)
	if task == nil || task.Done || task.Live {
		return refuse("task %s does not wait", id)
	}
	if taskPlacement.Attempt <= task.Attempt {
		return refuse("attempt %d of task %s is not new", taskPlacement.Attempt, id)
	}
	if err := state.checkWorker(job, id, taskPlacement); err != nil {
		return err
	}
	size := job.Steps[step.Step].Size
	if !size.Fits(state.Room(job.ClientAccount)) && !size.IsZero() {
		return refuse("client account %s would pass its limit", job.ClientAccount)
	}
	task.Attempt, task.Live, task.Worker, task.Life, task.Ticket = taskPlacement.Attempt, true, taskPlacement.Worker, taskPlacement.Life, taskPlacement.Ticket
	job.liveAttempts++
	state.addUsage(job, id, task)
	return nil
}

func (state *State) checkWorker(job *Job, id TaskID, taskPlacement *TaskPlacement) error {
	step := &job.Steps[id.Step]
	worker := state.Workers[taskPlacement.Worker]
	switch {
	case worker == nil || worker.Life != taskPlacement.Life:
		return refuse("worker %s has another life", taskPlacement.Worker)
	case worker.Leaving:
		return refuse("worker %s is leaving", taskPlacement.Worker)
	case state.Evacuated(worker):
		return refuse("data centre %s of worker %s is evacuated", worker.DataCentre, taskPlacement.Worker)
	case worker.Pool != state.Queues[job.Queue].Pool:
		return refuse("worker %s belongs to pool %s", taskPlacement.Worker, worker.Pool)
	case !worker.HasLabel(step.Label):
		return refuse("worker %s lacks the label %s", taskPlacement.Worker, step.Label)
	case !worker.used.Add(step.Demand()).Fits(worker.Capacity):
		return refuse("worker %s has no room", taskPlacement.Worker)
	}
	if step.MostPerWorker > 0 && worker.AttemptsOf(id.StepID) >= int(step.MostPerWorker) {
		return refuse("worker %s has its share of step %s", taskPlacement.Worker, id.StepID)
	}
	return nil
}

// HasLabel reports whether the worker has a label. The empty label matches
// every worker.
func (worker *Worker) HasLabel(label string) bool {
	return label == "" || slices.Contains(worker.Labels, label)
}

// AttemptsOf returns how many live attempts of a step the worker has.
func (worker *Worker) AttemptsOf(step StepID) int {
	count := 0
	for id := range worker.liveTasks {
		if id.StepID == step {
			count++
		}
	}
	return count
}

// rollBack restores the tasks that were placed before a later one of the same
// placement was refused.
func (state *State) rollBack(job *Job, place *Place, previous []Task) {
	for index := range previous {
		id := TaskID{place.Step, place.Tasks[index].Index}
		task := job.Task(id)
		state.removeUsage(job, id, task)
		job.liveAttempts--
		*task = previous[index]
	}
}

// end records that an attempt has ended.
func (state *State) end(end *End) error {
	job := state.Jobs[end.Task.Job]
	if job == nil {
		return refuse("no job %s", end.Task.Job)
	}
	task := job.Task(end.Task)
	if task == nil || !task.Live || task.Attempt != end.Attempt {
		return refuse("attempt %d of task %s is not live", end.Attempt, end.Task)
	}
	address := ""
	if worker := state.Workers[task.Worker]; worker != nil {
		address = worker.Address
	}
	state.removeUsage(job, end.Task, task)
	job.liveAttempts--
	task.Live = false
	state.saveCheckpoint(job, end)
	state.countCrash(job, end, address)
	state.revokeStart(job, end)
	switch end.How {
	case Succeeding:
		state.succeed(job, end)
	case Failing:
		state.fail(job, end)
	}
	if !job.Over() && job.openTasks == 0 {
		state.finish(job)
	}
	job.shrink()
	return nil
}

// revokeStart makes a job pending again if none of its tasks is placed any more and none
// has begun.
func (state *State) revokeStart(job *Job, end *End) {
	job.Ran = job.Ran || !end.Unbegun
	if job.Started && !job.Ran && job.liveAttempts == 0 && !job.Over() {
		job.Started = false
		state.pendingJobs[job.Queue]++
	}
}

func (state *State) saveCheckpoint(job *Job, end *End) {
	if end.Saved == "" {
		return
	}
	state.aggregateTask(job, end.Task).Saved = end.Saved
}

// aggregateTask returns the task that holds the failure count and checkpoint
// for a task: the first of its gang, or the task itself.
func (state *State) aggregateTask(job *Job, id TaskID) *Task {
	if job.Steps[id.Step].Gang {
		id.Index = 0
	}
	return job.Task(id)
}

// Saved returns the checkpoint that the task's next attempt resumes from.
func (state *State) Saved(job *Job, id TaskID) Checkpoint { return state.aggregateTask(job, id).Saved }

// succeed marks a task as done; one success in a gang marks all its tasks of
// the same attempt. A task of a lasting step is never done.
func (state *State) succeed(job *Job, end *End) {
	step := &job.Steps[end.Task.Step]
	if step.Lasting {
		return
	}
	if !step.Gang {
		state.markDone(job, end.Task)
		return
	}
	for index := range step.Tasks {
		id := TaskID{end.Task.StepID, index}
		if job.Task(id).Attempt == end.Attempt {
			state.markDone(job, id)
		}
	}
}

func (state *State) markDone(job *Job, id TaskID) {
	task := job.Task(id)
	if task.Done {
		return
	}
	task.Done = true
	job.openTasks--
	job.undone[id.Occurrence*uint32(len(job.Steps))+id.Step]--
}

// fail counts a failure. Several tasks of a gang that fail in the same attempt
// count once.
func (state *State) fail(job *Job, end *End) {
	step := &job.Steps[end.Task.Step]
	task := state.aggregateTask(job, end.Task)
	if task.Done || step.Lasting || task.FailedAttempt >= end.Attempt {
		return
	}
	task.Failures++
	task.FailedAttempt = end.Attempt
	if task.Failures >= state.maxFailures(job) && !job.Over() {
		job.Failed = true
		state.finish(job)
	}
}

// maxFailures returns the queue's limit on failures per task, at least 1 even
// if the queue sets none.
func (state *State) maxFailures(job *Job) uint32 {
	return max(1, state.Queues[job.Queue].MostFailures)
}

// Waiting returns the indexes of a step's tasks that are not done and have no
// live attempt. For a gang it returns all of them or none.
func (job *Job) Waiting(occurrence, step uint32) []uint32 {
	tasks := job.StepTasks(occurrence, step)
	var waiting []uint32
	for index := range tasks {
		if !tasks[index].Done && !tasks[index].Live {
			waiting = append(waiting, uint32(index))
		}
	}
	if job.Steps[step].Gang && len(waiting) < len(tasks) {
		return nil
	}
	return waiting
}

// NextAttempt returns the number of a task's next attempt; all tasks of a gang
// share it.
func (job *Job) NextAttempt(id TaskID) modeller.Attempt {
	if !job.Steps[id.Step].Gang {
		return job.Task(id).Attempt + 1
	}
	latest := modeller.Attempt(0)
	for _, task := range job.StepTasks(id.Occurrence, id.Step) {
		latest = max(latest, task.Attempt)
	}
	return latest + 1
}
