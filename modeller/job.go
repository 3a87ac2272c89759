package modeller

// TaskState is the state of a task. docs/LIFECYCLE.md lists the allowed
// transitions, which the applier enforces.
type TaskState uint8

// The states of a task.
const (
	TaskQueued TaskState = iota + 1
	TaskPlaced
	TaskRunning
	TaskStopping
	TaskDone
)

var taskStateNames = []string{"", "Queued", "Placed", "Running", "Stopping", "Done"}

// String returns the state's name.
func (state TaskState) String() string { return nameOf(taskStateNames, int(state)) }

// Live reports whether the task has a live attempt, which occupies resources of
// its worker.
func (state TaskState) Live() bool {
	return state == TaskPlaced || state == TaskRunning || state == TaskStopping
}

// Outcome is the final result of a task or job.
type Outcome uint8

// The outcomes. NotRun means that no attempt was started. MayHaveRun means that
// this is not known and that the work is not idempotent, so it is not run again.
const (
	NoOutcome Outcome = iota
	Succeeded
	Failed
	Cancelled
	NotRun
	MayHaveRun
)

var outcomeNames = []string{"", "Succeeded", "Failed", "Cancelled", "NotRun", "MayHaveRun"}

// String returns the outcome's name, empty for NoOutcome.
func (outcome Outcome) String() string {
	if outcome == NoOutcome {
		return ""
	}
	return nameOf(outcomeNames, int(outcome))
}

// Work describes the work of a submitted job.
type Work struct {
	// Tasks is the number of tasks of the job.
	Tasks uint32
	// Size is the resources that each task needs; zero selects the queue's size.
	Size Resources
	// RunTime is the caller's estimate of a task's run time; zero selects the
	// queue's.
	RunTime Millis
	// Payload is passed to the worker unchanged.
	Payload []byte
}

// Answer is the data that a finished task returns to its caller.
type Answer struct {
	Body []byte
	// Length and Checksum are the size in bytes and the CRC-32C of Body, as
	// computed by the worker.
	Length   uint32
	Checksum uint32
}

// Phase is the progress of an attempt, as reported by its worker.
type Phase uint8

// The phases. PhaseRefused means that the attempt was never started and never
// will be. PhaseStopped means that it was stopped on request or because the
// worker's lease expired.
const (
	PhaseStarted Phase = iota + 1
	PhaseSucceeded
	PhaseFailed
	PhaseRefused
	PhaseStopped
)

var phaseNames = []string{"", "Started", "Succeeded", "Failed", "Refused", "Stopped"}

// String returns the phase's name.
func (phase Phase) String() string { return nameOf(phaseNames, int(phase)) }

// Final reports whether the attempt is over.
func (phase Phase) Final() bool { return phase > PhaseStarted }
