// Package stager owns the deterministic state of staged jobs: jobs whose steps
// wait for one another, the deployment that says which queues and client
// accounts there are, and the workers that run the tasks.
//
// It is the guard for staged work, as package applier is for the rest of the
// state, which holds it: each command is checked in full when it is applied and
// is either carried out or refused, alike on every replica. The promises kept
// here are: no worker is committed beyond its capacity, no task has two live
// attempts, no step starts before those that it waits for are done, no task is
// placed again after its last allowed failure, a gang is placed whole or not at
// all, a client account stays within its limit, and the deployment's version
// never goes back.
//
// It leaves to the conductor to know what workers do, to the allotter what to
// propose, and to the replicator in which order batches come. State is not safe
// for concurrent use; its owner guards it.
package stager

import (
	"fmt"

	"github.com/dotterelrill/dotterelrill/modeller"
)

type (
	// JobID is chosen by whoever submits a job.
	JobID string
	// PoolName names a set of workers that serve the same queues.
	PoolName string
	// VMName names the VM that a worker runs on, over all its lives.
	VMName string
	// Life tells one life of a worker from the next: the Unix time in
	// milliseconds at which it began.
	Life int64
	// Checkpoint is what a worker needs to resume an attempt; it is empty if
	// there is none.
	Checkpoint string
	// Ticket is an adviser's leave to run a step on a worker.
	Ticket string
)

// StepID identifies a step of one occurrence of a job.
type StepID struct {
	Job        JobID
	Occurrence uint32
	Step       uint32
}

// String returns the identity in the form job.occurrence.step.
func (id StepID) String() string { return fmt.Sprintf("%s.%d.%d", id.Job, id.Occurrence, id.Step) }

// TaskID identifies a task of a step.
type TaskID struct {
	StepID
	Index uint32
}

// String returns the identity in the form job.occurrence.step.index.
func (id TaskID) String() string { return fmt.Sprintf("%s.%d", id.StepID, id.Index) }

// Step is a set of like tasks.
type Step struct {
	// Tasks is at least 1.
	Tasks uint32
	Size  modeller.Resources
	// RunTime is the caller's rough estimate of one task.
	RunTime modeller.Millis `cbor:",omitzero"`
	// After lists earlier steps whose tasks must all be done first.
	After []uint32 `cbor:",omitempty"`
	// Checkpoints is true if the tasks save their progress.
	Checkpoints bool `cbor:",omitzero"`
	// Gang is true if the tasks only work together, and end together.
	Gang bool `cbor:",omitzero"`
	// OneRack is true if the tasks are slower when spread over racks.
	OneRack bool `cbor:",omitzero"`
	// Label must be borne by the worker, unless it is empty.
	Label string `cbor:",omitzero"`
	// DataRack is where the tasks' data are; they are slower elsewhere.
	DataRack modeller.RackName `cbor:",omitzero"`
	// MostPerWorker bounds the tasks of one occurrence on one worker; zero
	// means no bound.
	MostPerWorker uint32 `cbor:",omitzero"`
	// Speculative is true if copies of a task may run beside each other.
	Speculative bool `cbor:",omitzero"`
	// Lasting is true if the tasks run until the job is cancelled, and are
	// started again however they end.
	Lasting bool `cbor:",omitzero"`
	// Image names what the tasks run.
	Image string `cbor:",omitzero"`
	// LatencyObjective is what the tail of a serving task has to stay below.
	LatencyObjective modeller.Millis `cbor:",omitzero"`
	// Filler is true if the tasks take only the processor time that others
	// leave; their processors are not counted against a worker's capacity.
	Filler bool `cbor:",omitzero"`
	// MostAway is the disruption budget: how many tasks of a lasting step may
	// be away at once through the system's doing.
	MostAway uint32 `cbor:",omitzero"`
}

// Held is what an attempt at a task of the step takes of a worker's capacity.
func (step *Step) Held() modeller.Resources {
	held := step.Size
	if step.Filler {
		held.MilliProcessors = 0
	}
	return held
}

// Schedule makes a job run its steps several times.
type Schedule struct {
	// Occurrences is how often the steps run; 0 means once, at once.
	Occurrences uint32
	// First is when the first occurrence is due, and Period the time between
	// two, in Unix milliseconds.
	First, Period modeller.Millis
}

// Due returns when an occurrence may begin.
func (schedule Schedule) Due(occurrence uint32) modeller.Millis {
	if schedule.Occurrences == 0 {
		return 0
	}
	return schedule.First + modeller.Millis(occurrence)*schedule.Period
}

// Status is how a job is shown to whoever submitted it.
type Status uint8

// The statuses of a job.
const (
	Queued Status = iota + 1
	Running
	Completed
	Failed
	Cancelled
)

var statusNames = []string{"", "Queued", "Running", "Completed", "Failed", "Cancelled"}

// String returns the status's name.
func (status Status) String() string {
	if int(status) >= len(statusNames) {
		return "Invalid"
	}
	return statusNames[status]
}

// Task is one unit of a step.
type Task struct {
	_ struct{} `cbor:",toarray"`
	// Done is set once, when an attempt has succeeded.
	Done bool
	// Attempt numbers the latest attempt; zero before the first.
	Attempt modeller.Attempt
	// Failures counts the attempts that failed; of a gang its first task counts
	// the failures of the whole.
	Failures uint32
	// FailedAttempt is the latest attempt that Failures has counted.
	FailedAttempt modeller.Attempt
	// Live is true while the attempt holds room on Worker, which it may do for
	// a while after the task is done or the job cancelled.
	Live   bool
	Worker modeller.WorkerName
	Life   Life
	Ticket Ticket
	// Saved is the newest checkpoint; of a gang its first task has it for all.
	Saved Checkpoint
}

// Job is accepted work.
type Job struct {
	ID            JobID
	ClientAccount modeller.ClientAccountName
	Queue         modeller.QueueName
	// Payload is handed to the workers as it is.
	Payload  string
	Steps    []Step
	Schedule Schedule
	// Accepted is when the job came into the log.
	Accepted modeller.Millis
	// Tasks holds the tasks of all steps of the first occurrence, then those of
	// the next; it is dropped some time after the job's end.
	Tasks []Task
	// Started is true once a task was placed.
	Started   bool
	Cancelled bool
	Failed    bool
	// Ended is when the job was completed, failed or cancelled; zero before.
	Ended modeller.Millis

	// firsts holds where each step's tasks begin in an occurrence, and in its
	// last place how many tasks an occurrence has.
	firsts []uint32
	// undone counts the tasks that are not done by occurrence and step.
	undone []uint32
	// open counts all tasks that are not done, and live the live attempts.
	open, live uint32
}

// Occurrences returns how often the steps run.
func (job *Job) Occurrences() uint32 { return max(1, job.Schedule.Occurrences) }

// Status returns how the job is shown.
func (job *Job) Status() Status {
	switch {
	case job.Cancelled:
		return Cancelled
	case job.Failed:
		return Failed
	case job.Ended != 0:
		return Completed
	case job.Started:
		return Running
	}
	return Queued
}

// Over reports whether nothing of the job is to be started any more.
func (job *Job) Over() bool { return job.Ended != 0 }

// Live returns how many attempts of the job hold room on workers.
func (job *Job) Live() uint32 { return job.live }

// StepTasks returns the tasks of a step, which belong to the job.
func (job *Job) StepTasks(occurrence, step uint32) []Task {
	from := occurrence * job.firsts[len(job.Steps)]
	return job.Tasks[from+job.firsts[step] : from+job.firsts[step+1]]
}

// Task returns a task, or nil if there is none of that identity.
func (job *Job) Task(id TaskID) *Task {
	if int(id.Step) >= len(job.Steps) || id.Occurrence >= job.Occurrences() || len(job.Tasks) == 0 {
		return nil
	}
	tasks := job.StepTasks(id.Occurrence, id.Step)
	if int(id.Index) >= len(tasks) {
		return nil
	}
	return &tasks[id.Index]
}

// Undone returns how many tasks of a step are not done.
func (job *Job) Undone(occurrence, step uint32) uint32 {
	return job.undone[occurrence*uint32(len(job.Steps))+step]
}

// Ready reports whether all that a step waits for is done.
func (job *Job) Ready(occurrence, step uint32) bool {
	for _, before := range job.Steps[step].After {
		if job.Undone(occurrence, before) > 0 {
			return false
		}
	}
	return true
}

// index makes the derived fields anew.
func (job *Job) index() {
	job.firsts = make([]uint32, len(job.Steps)+1)
	for at := range job.Steps {
		job.firsts[at+1] = job.firsts[at] + job.Steps[at].Tasks
	}
	if len(job.Tasks) == 0 {
		return
	}
	job.undone = make([]uint32, int(job.Occurrences())*len(job.Steps))
	job.open, job.live = 0, 0
	for occurrence := range job.Occurrences() {
		for step := range uint32(len(job.Steps)) {
			job.recount(occurrence, step)
		}
	}
}

func (job *Job) recount(occurrence, step uint32) {
	tasks := job.StepTasks(occurrence, step)
	for at := range tasks {
		if !tasks[at].Done {
			job.undone[occurrence*uint32(len(job.Steps))+step]++
			job.open++
		}
		if tasks[at].Live {
			job.live++
		}
	}
}

// Chains returns, by step, the run times of the longest chain that begins with
// it, each run time corrected by a function.
func (job *Job) Chains(runTime func(modeller.Millis) modeller.Millis) []modeller.Millis {
	chains := make([]modeller.Millis, len(job.Steps))
	for at := len(job.Steps) - 1; at >= 0; at-- {
		chains[at] += runTime(job.Steps[at].RunTime)
		for _, before := range job.Steps[at].After {
			chains[before] = max(chains[before], chains[at])
		}
	}
	return chains
}
