package applier

import (
	"fmt"

	"github.com/dotterelrill/dotterelrill/modeller"
)

// Change is one allowed transition of a task's state. From is zero for a new
// task.
type Change struct {
	From, To modeller.TaskState
	// Cause describes what triggers the transition, for docs/LIFECYCLE.md.
	Cause string
}

var lifecycle = []Change{
	{0, modeller.TaskQueued, "the job is accepted"},
	{modeller.TaskQueued, modeller.TaskPlaced, "a placement is committed"},
	{modeller.TaskQueued, modeller.TaskDone, "the job is cancelled, or refused before any attempt may have run"},
	{modeller.TaskPlaced, modeller.TaskRunning, "the worker reports Started"},
	{modeller.TaskPlaced, modeller.TaskStopping, "the job is cancelled, or the attempt is stopped"},
	{modeller.TaskPlaced, modeller.TaskQueued, "the worker reports Refused, Failed or Stopped, or is lost, and the task may run again"},
	{modeller.TaskPlaced, modeller.TaskDone, "the worker reports the attempt's end, or is lost, and the task may not run again"},
	{modeller.TaskRunning, modeller.TaskStopping, "the job is cancelled, or the attempt is stopped"},
	{modeller.TaskRunning, modeller.TaskQueued, "the worker reports Refused, Failed or Stopped, or is lost, and the task may run again"},
	{modeller.TaskRunning, modeller.TaskDone, "the worker reports the attempt's end, or is lost, and the task may not run again"},
	{modeller.TaskStopping, modeller.TaskQueued, "the worker reports Refused, Failed or Stopped, or is lost, and the task may run again"},
	{modeller.TaskStopping, modeller.TaskDone, "the worker reports the attempt's end, or is lost, and the task may not run again"},
}

// Lifecycle returns the table of all allowed transitions of a task's state.
func Lifecycle() []Change {
	return append([]Change(nil), lifecycle...)
}

func transitionAllowed(from, to modeller.TaskState) bool {
	for _, change := range lifecycle {
		if change.From == from && change.To == to {
			return true
		}
	}
	return false
}

// transition changes a task's state and updates the usage of its worker and
// account. Every state change goes through it. A transition that the table does
// not allow is a bug in this package; the replica panics rather than violate an
// invariant.
func (state *State) transition(id modeller.TaskID, job *Job, to modeller.TaskState) {
	task := &job.Tasks[id.Index]
	from := task.State
	if !transitionAllowed(from, to) {
		panic(fmt.Sprintf("task %s may not change from %s to %s", id, from, to))
	}
	waiting := state.ensureAccount(job.Spec.ClientAccount).Waiting
	if from == modeller.TaskQueued {
		waiting[job.Spec.Queue]--
	}
	if from.Live() && !to.Live() {
		state.removeUsage(id, job)
	}
	task.State = to
	if to == modeller.TaskQueued {
		waiting[job.Spec.Queue]++
	}
	if to.Live() && !from.Live() {
		state.addUsage(id, job)
	}
}
