package stager

import (
	"slices"

	"github.com/dotterelrill/dotterelrill/modeller"
)

// Apply carries out a batch. It returns the reason if the batch or one of its
// commands is refused; the commands before that one remain applied and those
// after it are skipped.
func (state *State) Apply(batch *Batch) error {
	if err := state.checkOrder(batch); err != nil {
		return err
	}
	state.Term, state.Sequence = batch.Term, batch.Sequence
	state.Now = batch.Now
	for index := range batch.Commands {
		if err := state.ApplyCommand(&batch.Commands[index]); err != nil {
			return err
		}
	}
	state.PruneEnded()
	return nil
}

// checkOrder refuses batches of superseded leaders, batches of a term that has
// not begun, and batches that do not directly follow the last applied one.
func (state *State) checkOrder(batch *Batch) error {
	if batch.Term < state.Term {
		return refuse("a leader of term %d has begun", state.Term)
	}
	begins := len(batch.Commands) > 0 && batch.Commands[0].Begin != nil
	if batch.Term > state.Term {
		if !begins {
			return refuse("term %d has not begun", batch.Term)
		}
		return nil
	}
	if begins || batch.Sequence != state.Sequence+1 {
		return refuse("batch %d does not follow on %d", batch.Sequence, state.Sequence)
	}
	return nil
}

// ApplyCommand carries out one command, or refuses it and changes nothing.
func (state *State) ApplyCommand(command *Command) error {
	switch {
	case command.Begin != nil:
		state.KeepEnded = command.Begin.KeepEnded
		return nil
	case command.Deploy != nil:
		return state.deploy(command.Deploy)
	case command.Submit != nil:
		return state.submit(command.Submit)
	case command.Cancel != nil:
		return state.cancel(command.Cancel)
	case command.Admit != nil:
		return state.admit(command.Admit)
	case command.Drop != nil:
		return state.drop(command.Drop)
	case command.Place != nil:
		return state.place(command.Place)
	case command.End != nil:
		return state.end(command.End)
	case command.Wave != nil:
		return state.wave(command.Wave)
	case command.Evacuate != nil:
		return state.evacuate(command.Evacuate)
	}
	return refuse("the command is empty")
}

func (state *State) deploy(deployment *Deployment) error {
	if state.Deployment != nil && deployment.Version <= state.Deployment.Version {
		return refuse("version %d is in force", state.Deployment.Version)
	}
	if faults := deployment.Check(); len(faults) > 0 {
		return refuse("%s", faults[0])
	}
	state.Deployment = deployment
	for index := range deployment.Queues {
		queue := deployment.Queues[index]
		state.Queues[queue.Name] = &queue
	}
	state.loadLimits()
	return nil
}

// Limits of a job, far above what callers submit.
const (
	maxSteps    = 1000
	maxTasks    = 100_000
	maxIDLength = 128
)

// CheckSteps returns why a job with these steps would be refused, or nil.
func CheckSteps(steps []Step, schedule Schedule) error {
	if len(steps) == 0 || len(steps) > maxSteps {
		return refuse("a job has 1 to %d steps", maxSteps)
	}
	tasks := uint64(0)
	for index := range steps {
		step := &steps[index]
		if step.Tasks == 0 || step.Tasks > maxTasks {
			return refuse("step %d has %d tasks", index, step.Tasks)
		}
		for _, predecessor := range step.After {
			if int(predecessor) >= index {
				return refuse("step %d waits for step %d, which is not before it", index, predecessor)
			}
		}
		size := step.Size
		if size.MilliProcessors < 0 || size.MemoryMiB < 0 || size.Accelerators < 0 ||
			size.MilliProcessors > modeller.MaxMilliProcessors || size.MemoryMiB > modeller.MaxMemoryMiB || size.Accelerators > modeller.MaxAccelerators {
			return refuse("step %d asks for %s", index, size)
		}
		tasks += uint64(step.Tasks)
	}
	if tasks*uint64(max(1, schedule.Occurrences)) > maxTasks {
		return refuse("a job has at most %d tasks", maxTasks)
	}
	return nil
}

// submit adds a job. A job with a known identity is left unchanged, so that a
// repeated submission has no effect.
func (state *State) submit(submit *Submit) error {
	if state.Jobs[submit.ID] != nil {
		return nil
	}
	if len(submit.ID) == 0 || len(submit.ID) > maxIDLength {
		return refuse("a job's identity has 1 to %d characters", maxIDLength)
	}
	if err := CheckSteps(submit.Steps, submit.Schedule); err != nil {
		return err
	}
	if state.Queues[submit.Queue] == nil {
		return refuse("no queue %s", submit.Queue)
	}
	job := &Job{
		ID: submit.ID, ClientAccount: submit.ClientAccount, Queue: submit.Queue, Payload: submit.Payload,
		Steps: submit.Steps, Schedule: submit.Schedule, Accepted: state.Now, Excess: state.takeIn(submit.ClientAccount),
	}
	tasks := uint32(0)
	for index := range job.Steps {
		tasks += job.Steps[index].Tasks
	}
	job.Tasks = make([]Task, tasks*job.Occurrences())
	job.rebuildIndex()
	state.Jobs[job.ID] = job
	state.openJobs = append(state.openJobs, job)
	state.pendingJobs[job.Queue]++
	return nil
}

func (state *State) cancel(cancel *Cancel) error {
	job := state.Jobs[cancel.Job]
	if job == nil {
		return refuse("no job %s", cancel.Job)
	}
	if job.Over() {
		return nil
	}
	job.Cancelled = true
	state.finish(job)
	return nil
}

// finish ends a job. Its live attempts occupy their room until their ends are
// recorded.
func (state *State) finish(job *Job) {
	job.Ended = max(state.Now, 1)
	if !job.Started {
		state.pendingJobs[job.Queue]--
	}
	if index := slices.Index(state.openJobs, job); index >= 0 {
		state.openJobs = slices.Delete(state.openJobs, index, index+1)
	}
	state.Over = append(state.Over, job.ID)
	job.shrink()
}

// shrink drops the fields that are no longer needed once a job is over and has
// no live attempts.
func (job *Job) shrink() {
	if job.Over() && job.liveAttempts == 0 {
		job.Tasks, job.Crashes, job.Steps, job.Payload, job.undone, job.taskOffsets = nil, nil, nil, "", nil, nil
	}
}

// maxEnded limits how many jobs are retained after their end.
const maxEnded = 200_000

// PruneEnded drops jobs whose retention after their end has passed. Apply calls
// it; a caller of ApplyCommand calls it after each batch.
func (state *State) PruneEnded() {
	for len(state.Over) > 0 {
		job := state.Jobs[state.Over[0]]
		if job != nil && (job.liveAttempts > 0 || len(state.Over) <= maxEnded && state.Now < job.Ended+state.KeepEnded) {
			return
		}
		delete(state.Jobs, state.Over[0])
		state.Over = state.Over[1:]
	}
}

func (state *State) admit(worker *Worker) error {
	existing := state.Workers[worker.Name]
	admitted := *worker
	admitted.liveTasks = make(map[TaskID]struct{})
	if existing != nil {
		if worker.Life < existing.Life {
			return refuse("a later life of worker %s is known", worker.Name)
		}
		if worker.Life > existing.Life && len(existing.liveTasks) > 0 {
			return refuse("the life of worker %s before has live attempts", worker.Name)
		}
		admitted.used, admitted.liveTasks = existing.used, existing.liveTasks
	}
	state.Workers[worker.Name] = &admitted
	state.DataCentres.Learn(worker.DataCentre)
	state.settleLosses(&admitted)
	return nil
}

func (state *State) drop(drop *Drop) error {
	worker := state.Workers[drop.Worker]
	if worker == nil || worker.Life != drop.Life {
		return nil
	}
	if len(worker.liveTasks) > 0 {
		return refuse("worker %s has live attempts", drop.Worker)
	}
	delete(state.Workers, drop.Worker)
	return nil
}

// wave adds a maintenance wave, or records the progress of a known one.
func (state *State) wave(wave *Wave) error {
	if existing := state.Waves[wave.Number]; existing != nil {
		for _, vm := range wave.Done {
			if !slices.Contains(existing.Done, vm) {
				existing.Done = append(existing.Done, vm)
			}
		}
		return nil
	}
	added := *wave
	state.Waves[wave.Number] = &added
	return nil
}
