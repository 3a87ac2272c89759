package applier

import (
	"maps"
	"slices"

	"github.com/dotterelrill/dotterelrill/modeller"
)

// EventKind is the kind of a state change.
type EventKind uint8

// The kinds of events.
const (
	EventJobAccepted EventKind = iota + 1
	EventTaskPlaced
	EventTaskStarted
	EventTaskStopping
	EventTaskRequeued
	EventTaskDone
	EventJobDone
	EventWorkerJoined
	EventWorkerChanged
	EventWorkerLost
	EventConfigured
)

// Event describes one change of the state, for the leader's background loops
// and for observers. The values that it points to are immutable.
type Event struct {
	Kind EventKind
	Time modeller.Millis
	// Spec is set for events about jobs and tasks.
	Spec *Spec
	Task modeller.TaskID
	// Attempt, Worker and Incarnation identify the attempt of a task event.
	Attempt     modeller.Attempt
	Worker      modeller.WorkerName
	Incarnation modeller.Incarnation
	Outcome     modeller.Outcome
	// Phase is set for EventTaskRequeued if a worker's report caused it.
	Phase  modeller.Phase
	Reason StopReason
	Used   modeller.Resources
	// Description and WorkerState are set for events about workers.
	Description modeller.WorkerDescription
	WorkerState modeller.WorkerState
	// Evacuated is true for events about workers whose data centre is evacuated.
	Evacuated bool `json:",omitempty" cbor:",omitempty"`
	Revision  modeller.Revision
	// Template is set for EventConfigured, if a template was applied.
	Template *modeller.Template
}

func (state *State) emit(event Event) {
	event.Time = state.Now
	state.events = append(state.events, event)
}

func (state *State) emitTask(kind EventKind, id modeller.TaskID, job *Job) {
	state.emit(taskEvent(kind, id, job))
}

func taskEvent(kind EventKind, id modeller.TaskID, job *Job) Event {
	task := &job.Tasks[id.Index]
	return Event{
		Kind:        kind,
		Spec:        job.Spec,
		Task:        id,
		Attempt:     task.Attempt,
		Worker:      task.Worker,
		Incarnation: task.Incarnation,
		Outcome:     task.Outcome,
		Reason:      task.StopReason,
	}
}

// Events returns the events since the previous call and clears them.
func (state *State) Events() []Event {
	events := state.events
	state.events = nil
	return events
}

// InitialEvents returns a sequence of events from which an observer that starts
// empty can build the current configuration, workers and open jobs.
func (state *State) InitialEvents() []Event {
	var events []Event
	for _, name := range slices.Sorted(maps.Keys(state.Templates)) {
		template := state.Templates[name]
		events = append(events, Event{Kind: EventConfigured, Template: template, Revision: state.Revision})
	}
	for _, name := range slices.Sorted(maps.Keys(state.Workers)) {
		events = append(events, state.workerEvent(EventWorkerJoined, state.Workers[name]))
	}
	for _, id := range state.openJobs() {
		events = append(events, jobEvents(id, state.Jobs[id])...)
	}
	for index := range events {
		events[index].Time = state.Now
	}
	return events
}

func jobEvents(id modeller.JobID, job *Job) []Event {
	events := []Event{{Kind: EventJobAccepted, Spec: job.Spec, Task: modeller.TaskID{Job: id}}}
	for index := range job.Tasks {
		task := modeller.TaskID{Job: id, Index: uint32(index)}
		switch job.Tasks[index].State {
		case modeller.TaskQueued:
			if job.Tasks[index].Attempt > 0 {
				events = append(events, taskEvent(EventTaskRequeued, task, job))
			}
		case modeller.TaskPlaced:
			events = append(events, taskEvent(EventTaskPlaced, task, job))
		case modeller.TaskRunning:
			events = append(events, taskEvent(EventTaskPlaced, task, job), taskEvent(EventTaskStarted, task, job))
		case modeller.TaskStopping:
			events = append(events, taskEvent(EventTaskPlaced, task, job), taskEvent(EventTaskStopping, task, job))
		case modeller.TaskDone:
			events = append(events, taskEvent(EventTaskDone, task, job))
		}
	}
	return events
}

func (state *State) workerEvent(kind EventKind, worker *Worker) Event {
	return Event{
		Kind:        kind,
		Worker:      worker.Description.Name,
		Incarnation: worker.Description.Incarnation,
		Description: worker.Description,
		WorkerState: worker.State,
		Evacuated:   state.Evacuated(worker),
	}
}
