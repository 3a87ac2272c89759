// Package stager owns the deterministic state of staged jobs: jobs whose steps
// depend on one another, the deployment that configures queues and client
// accounts, and the workers that run the tasks.
//
// It validates staged work in the same way as package applier, whose state
// contains it, validates everything else: each command is checked in full when
// it is applied and is either carried out or refused, with the same result on
// every replica. It guarantees that no worker is committed beyond its capacity,
// no task has two live attempts, no step starts before the steps that it
// depends on are done, no task is placed again after its last allowed failure, a
// gang is placed as a whole or not at all, a client account stays within its
// limit, nothing is placed in an evacuated data centre, and the deployment's version never decreases.
//
// It leaves tracking and calling the workers to the conductor, what to propose
// to the allotter, and the order of batches to the replicator. A State is not
// safe for concurrent use; its owner serialises access.
package stager

import (
	"cmp"
	"fmt"

	"github.com/dotterelrill/dotterelrill/modeller"
)

type (
	// JobID identifies a job and is chosen by its submitter.
	JobID string
	// PoolName names a set of workers that serve the same queues.
	PoolName string
	// VMName names the VM that a worker runs on, which stays the same across
	// the worker's incarnations.
	VMName string
	// Incarnation identifies one process lifetime of a worker: the Unix time in
	// milliseconds at which it began.
	Incarnation int64
	// Checkpoint is the data from which a worker resumes an attempt; it is
	// empty if there is none.
	Checkpoint string
	// Ticket is an adviser's permission to run a step on a worker.
	Ticket string
)

// StepID identifies a step of one occurrence of a job. Occurrences and steps
// count from 0.
type StepID struct {
	Job        JobID
	Occurrence uint32
	Step       uint32
}

// String returns the identity in the form job.occurrence.step.
func (id StepID) String() string { return fmt.Sprintf("%s.%d.%d", id.Job, id.Occurrence, id.Step) }

// TaskID identifies a task of a step. Tasks count from 0.
type TaskID struct {
	StepID
	Index uint32
}

// String returns the identity in the form job.occurrence.step.index.
func (id TaskID) String() string { return fmt.Sprintf("%s.%d", id.StepID, id.Index) }

// Compare orders tasks by job, occurrence, step and index.
func (id TaskID) Compare(other TaskID) int {
	return cmp.Or(cmp.Compare(id.Job, other.Job), cmp.Compare(id.Occurrence, other.Occurrence), cmp.Compare(id.Step, other.Step), cmp.Compare(id.Index, other.Index))
}

// Step is a set of identical tasks.
type Step struct {
	// Tasks is the number of tasks, at least 1.
	Tasks uint32
	Size  modeller.Resources
	// RunTime is the submitter's rough estimate for one task.
	RunTime modeller.Millis `cbor:",omitzero"`
	// After lists earlier steps of which all tasks must be done first.
	After []uint32 `cbor:",omitempty"`
	// Checkpoints is true if the tasks save their progress.
	Checkpoints bool `cbor:",omitzero"`
	// Gang is true if the tasks must run at the same time, and end together.
	Gang bool `cbor:",omitzero"`
	// OneRack is true if the tasks are slower when spread over several racks.
	OneRack bool `cbor:",omitzero"`
	// Label is the label that a worker must have, unless it is empty.
	Label string `cbor:",omitzero"`
	// DataRack is the rack that holds the tasks' data; they are slower
	// elsewhere.
	DataRack modeller.RackName `cbor:",omitzero"`
	// MostPerWorker limits the tasks of one occurrence on one worker; zero
	// means no limit.
	MostPerWorker uint32 `cbor:",omitzero"`
	// Speculative is true if copies of a task may run at the same time.
	Speculative bool `cbor:",omitzero"`
	// Lasting is true if the tasks run until the job is cancelled, and are
	// restarted however they end.
	Lasting bool `cbor:",omitzero"`
	// Image names the program image that the tasks run.
	Image string `cbor:",omitzero"`
	// LatencyObjective is the upper bound for the tail latency of a serving
	// task; zero means that the tasks are not serving.
	LatencyObjective modeller.Millis `cbor:",omitzero"`
	// Filler is true if the tasks use only processor time that others leave
	// idle; their processors do not count against a worker's capacity.
	Filler bool `cbor:",omitzero"`
	// MostAway is the disruption budget: how many tasks of a lasting step may
	// be down at the same time because of the scheduler's own actions.
	MostAway uint32 `cbor:",omitzero"`
}

// Demand returns what an attempt at a task of the step takes of a worker's
// capacity.
func (step *Step) Demand() modeller.Resources {
	demand := step.Size
	if step.Filler {
		demand.MilliProcessors = 0
	}
	return demand
}

// Schedule makes a job run its steps several times.
type Schedule struct {
	// Occurrences is how often the steps run; 0 means once, without delay.
	Occurrences uint32
	// First is when the first occurrence is due, in Unix milliseconds, and
	// Period the time from one occurrence to the next.
	First, Period modeller.Millis
}

// Due returns when an occurrence may begin, in Unix milliseconds.
func (schedule Schedule) Due(occurrence uint32) modeller.Millis {
	if schedule.Occurrences == 0 {
		return 0
	}
	return schedule.First + modeller.Millis(occurrence)*schedule.Period
}

// Status is a job's state as it is shown to the job's submitter.
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

// Task is one unit of a step, with its latest attempt.
type Task struct {
	_ struct{} `cbor:",toarray"`
	// Done is set once, when an attempt has succeeded.
	Done bool
	// Attempt is the number of the latest attempt; zero before the first.
	Attempt modeller.Attempt
	// Failures counts the failed attempts. For a gang the count of all its
	// tasks is kept in the first task.
	Failures uint32
	// FailedAttempt is the latest attempt included in Failures.
	FailedAttempt modeller.Attempt
	// Live is true while the attempt occupies room on Worker. It may do so for
	// some time after the task is done or the job cancelled.
	Live   bool
	Worker modeller.WorkerName
	Life   Incarnation
	Ticket Ticket
	// Saved is the latest checkpoint. For a gang it is kept in the first task.
	Saved Checkpoint
}

// Job is an accepted job.
type Job struct {
	ID            JobID
	ClientAccount modeller.ClientAccountName
	Queue         modeller.QueueName
	// Payload is passed to the workers unchanged.
	Payload  string
	Steps    []Step
	Schedule Schedule
	// Accepted is the time of the batch that submitted the job.
	Accepted modeller.Millis
	// Excess is true if the client account handed the job in beyond its weight a second.
	Excess bool `cbor:",omitempty"`
	// Tasks holds the tasks of all steps of the first occurrence, then those of
	// the next. It is dropped when the job is over and has no live attempts.
	Tasks []Task
	// Crashes holds the suspects among the tasks, by their index in Tasks.
	Crashes map[uint32]Crashes `cbor:",omitempty"`
	// Started is true while a task is placed, and once one has begun. Ran is true once an
	// attempt has ended that had begun.
	Started   bool
	Ran       bool `cbor:",omitzero"`
	Cancelled bool
	Failed    bool
	// Ended is when the job was completed, failed or cancelled; zero before
	// that.
	Ended modeller.Millis

	// taskOffsets holds the index of each step's first task within an
	// occurrence, and as its last element the number of tasks of an occurrence.
	taskOffsets []uint32
	// undone counts the tasks that are not done, by occurrence and step.
	undone []uint32
	// openTasks counts all tasks that are not done, and liveAttempts the live
	// attempts.
	openTasks, liveAttempts uint32
}

// Occurrences returns how often the steps run, at least once.
func (job *Job) Occurrences() uint32 { return max(1, job.Schedule.Occurrences) }

// Status returns the job's state as it is shown to its submitter.
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

// Over reports whether the job has ended, so that none of its tasks is started
// any more.
func (job *Job) Over() bool { return job.Ended != 0 }

// Live returns how many attempts of the job occupy room on workers.
func (job *Job) Live() uint32 { return job.liveAttempts }

// StepTasks returns the tasks of a step. The slice belongs to the job.
func (job *Job) StepTasks(occurrence, step uint32) []Task {
	first := occurrence * job.taskOffsets[len(job.Steps)]
	return job.Tasks[first+job.taskOffsets[step] : first+job.taskOffsets[step+1]]
}

// Task returns the task with an identity, or nil if there is none.
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

// Ready reports whether all steps that a step depends on are done.
func (job *Job) Ready(occurrence, step uint32) bool {
	for _, predecessor := range job.Steps[step].After {
		if job.Undone(occurrence, predecessor) > 0 {
			return false
		}
	}
	return true
}

// rebuildIndex recomputes the derived fields.
func (job *Job) rebuildIndex() {
	job.taskOffsets = make([]uint32, len(job.Steps)+1)
	for index := range job.Steps {
		job.taskOffsets[index+1] = job.taskOffsets[index] + job.Steps[index].Tasks
	}
	if len(job.Tasks) == 0 {
		return
	}
	job.undone = make([]uint32, int(job.Occurrences())*len(job.Steps))
	job.openTasks, job.liveAttempts = 0, 0
	for occurrence := range job.Occurrences() {
		for step := range uint32(len(job.Steps)) {
			job.recountStep(occurrence, step)
		}
	}
}

func (job *Job) recountStep(occurrence, step uint32) {
	tasks := job.StepTasks(occurrence, step)
	for index := range tasks {
		if !tasks[index].Done {
			job.undone[occurrence*uint32(len(job.Steps))+step]++
			job.openTasks++
		}
		if tasks[index].Live {
			job.liveAttempts++
		}
	}
}

// CriticalPaths returns, by step, the total run time of the longest chain of
// dependent steps that begins with it. Each declared run time is corrected by
// runTime.
func (job *Job) CriticalPaths(runTime func(modeller.Millis) modeller.Millis) []modeller.Millis {
	paths := make([]modeller.Millis, len(job.Steps))
	for index := len(job.Steps) - 1; index >= 0; index-- {
		paths[index] += runTime(job.Steps[index].RunTime)
		for _, predecessor := range job.Steps[index].After {
			paths[predecessor] = max(paths[predecessor], paths[index])
		}
	}
	return paths
}
