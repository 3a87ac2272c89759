package stager

import (
	"slices"

	"github.com/dotterelrill/dotterelrill/modeller"
)

// Apply carries out a batch, or returns why it or one of its commands was
// refused; the commands before that one stand.
func (state *State) Apply(batch *Batch) error {
	if err := state.follows(batch); err != nil {
		return err
	}
	state.Term, state.Sequence = batch.Term, batch.Sequence
	state.Now = batch.Now
	for at := range batch.Commands {
		if err := state.Do(&batch.Commands[at]); err != nil {
			return err
		}
	}
	state.Forget()
	return nil
}

// follows refuses batches of leaders that were followed by another, and those
// that were made without knowing of one before.
func (state *State) follows(batch *Batch) error {
	if batch.Term < state.Term {
		return refuse("a leader of term %d has begun", state.Term)
	}
	first := len(batch.Commands) > 0 && batch.Commands[0].Begin != nil
	if batch.Term > state.Term {
		if !first {
			return refuse("term %d has not begun", batch.Term)
		}
		return nil
	}
	if first || batch.Sequence != state.Sequence+1 {
		return refuse("batch %d does not follow on %d", batch.Sequence, state.Sequence)
	}
	return nil
}

// Do carries out one command, or refuses it and changes nothing.
func (state *State) Do(command *Command) error {
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
	for at := range deployment.Queues {
		queue := deployment.Queues[at]
		state.Queues[queue.Name] = &queue
	}
	state.takeLimits()
	return nil
}

// Bounds of a job, far above what callers send.
const (
	maxSteps = 1000
	maxTasks = 100_000
	maxID    = 128
)

// CheckSteps returns why a job could not be taken, or nil.
func CheckSteps(steps []Step, schedule Schedule) error {
	if len(steps) == 0 || len(steps) > maxSteps {
		return refuse("a job has 1 to %d steps", maxSteps)
	}
	tasks := uint64(0)
	for at := range steps {
		step := &steps[at]
		if step.Tasks == 0 || step.Tasks > maxTasks {
			return refuse("step %d has %d tasks", at, step.Tasks)
		}
		for _, before := range step.After {
			if int(before) >= at {
				return refuse("step %d waits for step %d, which is not before it", at, before)
			}
		}
		size := step.Size
		if size.MilliProcessors < 0 || size.MemoryMiB < 0 || size.Accelerators < 0 ||
			size.MilliProcessors > modeller.MaxMilliProcessors || size.MemoryMiB > modeller.MaxMemoryMiB || size.Accelerators > modeller.MaxAccelerators {
			return refuse("step %d asks for %s", at, size)
		}
		tasks += uint64(step.Tasks)
	}
	if tasks*uint64(max(1, schedule.Occurrences)) > maxTasks {
		return refuse("a job has at most %d tasks", maxTasks)
	}
	return nil
}

// submit takes a job in. One that is known already is left as it is.
func (state *State) submit(submit *Submit) error {
	if state.Jobs[submit.ID] != nil {
		return nil
	}
	if len(submit.ID) == 0 || len(submit.ID) > maxID {
		return refuse("a job's identity has 1 to %d characters", maxID)
	}
	if err := CheckSteps(submit.Steps, submit.Schedule); err != nil {
		return err
	}
	if state.Queues[submit.Queue] == nil {
		return refuse("no queue %s", submit.Queue)
	}
	job := &Job{
		ID: submit.ID, ClientAccount: submit.ClientAccount, Queue: submit.Queue, Payload: submit.Payload,
		Steps: submit.Steps, Schedule: submit.Schedule, Accepted: state.Now,
	}
	tasks := uint32(0)
	for at := range job.Steps {
		tasks += job.Steps[at].Tasks
	}
	job.Tasks = make([]Task, tasks*job.Occurrences())
	job.index()
	state.Jobs[job.ID] = job
	state.open = append(state.open, job)
	state.pending[job.Queue]++
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

// finish ends a job; what still runs holds its room until its end is known.
func (state *State) finish(job *Job) {
	job.Ended = max(state.Now, 1)
	if !job.Started {
		state.pending[job.Queue]--
	}
	if at := slices.Index(state.open, job); at >= 0 {
		state.open = slices.Delete(state.open, at, at+1)
	}
	state.Over = append(state.Over, job.ID)
	job.shrink()
}

// shrink drops what nobody needs once a job is over and nothing of it runs.
func (job *Job) shrink() {
	if job.Over() && job.live == 0 {
		job.Tasks, job.Steps, job.Payload, job.undone, job.firsts = nil, nil, "", nil, nil
	}
}

// mostEnded bounds the jobs that are remembered after their end.
const mostEnded = 200_000

// Forget drops jobs that are over for long enough. Apply does so itself; whoever
// uses Do calls it after each batch.
func (state *State) Forget() {
	for len(state.Over) > 0 {
		job := state.Jobs[state.Over[0]]
		if job != nil && (job.live > 0 || len(state.Over) <= mostEnded && state.Now < job.Ended+state.KeepEnded) {
			return
		}
		delete(state.Jobs, state.Over[0])
		state.Over = state.Over[1:]
	}
}

func (state *State) admit(worker *Worker) error {
	known := state.Workers[worker.Name]
	made := *worker
	made.live = make(map[TaskID]struct{})
	if known != nil {
		if worker.Life < known.Life {
			return refuse("a later life of worker %s is known", worker.Name)
		}
		if worker.Life > known.Life && len(known.live) > 0 {
			return refuse("the life of worker %s before has live attempts", worker.Name)
		}
		made.used, made.live = known.used, known.live
	}
	state.Workers[worker.Name] = &made
	return nil
}

func (state *State) drop(drop *Drop) error {
	worker := state.Workers[drop.Worker]
	if worker == nil || worker.Life != drop.Life {
		return nil
	}
	if len(worker.live) > 0 {
		return refuse("worker %s has live attempts", drop.Worker)
	}
	delete(state.Workers, drop.Worker)
	return nil
}

// wave takes up a new upkeep wave, or what is done of a known one.
func (state *State) wave(wave *Wave) error {
	if known := state.Waves[wave.Number]; known != nil {
		for _, vm := range wave.Done {
			if !slices.Contains(known.Done, vm) {
				known.Done = append(known.Done, vm)
			}
		}
		return nil
	}
	made := *wave
	state.Waves[wave.Number] = &made
	return nil
}
