package cellrunner

import (
	"context"
	"slices"
	"sync"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// drainServices stops the services on a draining worker, so that they run on
// other workers before it leaves. Other tasks run to their end.
func (leadership *leadership) drainServices(ctx context.Context, worker modeller.WorkerName) {
	for _, stop := range leadership.servicesToMove(worker) {
		result, err := leadership.propose(ctx, "drain", &applier.Command{Stop: stop})
		if err != nil {
			logger.Warn(leadership.runner.logger, "proposal to stop a service on a draining worker failed", "Task", stop.Task, "Error", err.Error())
			return
		}
		if result.Code.Good() {
			leadership.handover.add(worker, stop.Task)
		}
		logger.Info(leadership.runner.logger, "stop", "Task", stop.Task, "Attempt", stop.Attempt, "Code", result.Code, "Reason", stop.Reason, "Detail", stop.Detail)
	}
}

func (leadership *leadership) servicesToMove(name modeller.WorkerName) []*applier.Stop {
	var stops []*applier.Stop
	leadership.runner.machine.read(func(state *applier.State) {
		worker := state.Workers[name]
		if worker == nil || worker.State != modeller.WorkerDraining {
			return
		}
		for _, id := range state.LiveOn(name) {
			job := state.Jobs[id.Job]
			task := &job.Tasks[id.Index]
			if job.Spec.Kind == modeller.Service && task.State != modeller.TaskStopping {
				stops = append(stops, &applier.Stop{Task: id, Attempt: task.Attempt, Reason: applier.StopDrain, Detail: "worker " + string(name) + " is draining"})
			}
		}
	})
	return stops
}

// runsElsewhere reports whether a task that was stopped on a draining worker
// runs on another worker, or no longer has to run.
func (leadership *leadership) runsElsewhere(id modeller.TaskID, from modeller.WorkerName) bool {
	elsewhere := true
	leadership.runner.machine.read(func(state *applier.State) {
		job := state.Jobs[id.Job]
		if job == nil || job.Cancelled {
			return
		}
		task := &job.Tasks[id.Index]
		elsewhere = task.State == modeller.TaskDone || task.State == modeller.TaskRunning && task.Worker != from
	})
	return elsewhere
}

// handover tracks the services that were stopped on draining workers until they
// run elsewhere. It is safe for concurrent use.
type handover struct {
	mutex sync.Mutex
	tasks map[modeller.WorkerName][]modeller.TaskID
}

func (handover *handover) add(worker modeller.WorkerName, task modeller.TaskID) {
	handover.mutex.Lock()
	defer handover.mutex.Unlock()
	if handover.tasks == nil {
		handover.tasks = make(map[modeller.WorkerName][]modeller.TaskID)
	}
	handover.tasks[worker] = append(handover.tasks[worker], task)
}

// pending reports whether a service stopped on the worker does not run
// elsewhere yet.
func (handover *handover) pending(worker modeller.WorkerName, runsElsewhere func(modeller.TaskID, modeller.WorkerName) bool) bool {
	handover.mutex.Lock()
	defer handover.mutex.Unlock()
	tasks := slices.DeleteFunc(handover.tasks[worker], func(task modeller.TaskID) bool { return runsElsewhere(task, worker) })
	if len(tasks) == 0 {
		delete(handover.tasks, worker)
		return false
	}
	handover.tasks[worker] = tasks
	return true
}
