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
		if result.Code.Successful() {
			leadership.drainedServices.add(worker, stop.Task)
		}
		logger.Info(leadership.runner.logger, "stop", "Task", stop.Task, "Attempt", stop.Attempt, "Code", result.Code, "Reason", stop.Reason, "Detail", stop.Detail)
	}
}

func (leadership *leadership) servicesToMove(name modeller.WorkerName) []*applier.Stop {
	var stops []*applier.Stop
	leadership.runner.stateMachine.read(func(state *applier.State) {
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
	leadership.runner.stateMachine.read(func(state *applier.State) {
		job := state.Jobs[id.Job]
		if job == nil || job.Cancelled {
			return
		}
		task := &job.Tasks[id.Index]
		elsewhere = task.State == modeller.TaskDone || task.State == modeller.TaskRunning && task.Worker != from
	})
	return elsewhere
}

// drainedServices tracks the services that were stopped on draining workers until
// they run elsewhere. It is safe for concurrent use.
type drainedServices struct {
	mutex sync.Mutex
	tasks map[modeller.WorkerName][]modeller.TaskID
}

func (drainedServices *drainedServices) add(worker modeller.WorkerName, task modeller.TaskID) {
	drainedServices.mutex.Lock()
	defer drainedServices.mutex.Unlock()
	if drainedServices.tasks == nil {
		drainedServices.tasks = make(map[modeller.WorkerName][]modeller.TaskID)
	}
	drainedServices.tasks[worker] = append(drainedServices.tasks[worker], task)
}

// pending reports whether a service stopped on the worker does not run
// elsewhere yet.
func (drainedServices *drainedServices) pending(worker modeller.WorkerName, runsElsewhere func(modeller.TaskID, modeller.WorkerName) bool) bool {
	drainedServices.mutex.Lock()
	defer drainedServices.mutex.Unlock()
	tasks := slices.DeleteFunc(drainedServices.tasks[worker], func(task modeller.TaskID) bool { return runsElsewhere(task, worker) })
	if len(tasks) == 0 {
		delete(drainedServices.tasks, worker)
		return false
	}
	drainedServices.tasks[worker] = tasks
	return true
}
