package cellrunner

import (
	"context"
	"slices"
	"sync"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// drain stops the services on a worker that is draining, so that they run
// elsewhere before it is gone. Other work ends by itself.
func (held *leadership) drain(ctx context.Context, worker modeller.WorkerName) {
	for _, stop := range held.servicesToMove(worker) {
		result, err := held.propose(ctx, "drain", &applier.Command{Stop: stop})
		if err != nil {
			logger.Warn(held.runner.logger, "drain not decided", "Task", stop.Task, "Error", err.Error())
			return
		}
		if result.Code.Good() {
			held.handover.add(worker, stop.Task)
		}
		logger.Info(held.runner.logger, "stop", "Task", stop.Task, "Attempt", stop.Attempt, "Code", result.Code, "Reason", stop.Reason, "Detail", stop.Detail)
	}
}

func (held *leadership) servicesToMove(name modeller.WorkerName) []*applier.Stop {
	var stops []*applier.Stop
	held.runner.machine.read(func(state *applier.State) {
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
// runs on another one, or need not run any more.
func (held *leadership) runsElsewhere(id modeller.TaskID, from modeller.WorkerName) bool {
	settled := true
	held.runner.machine.read(func(state *applier.State) {
		job := state.Jobs[id.Job]
		if job == nil || job.Cancelled {
			return
		}
		task := &job.Tasks[id.Index]
		settled = task.State == modeller.TaskDone || task.State == modeller.TaskRunning && task.Worker != from
	})
	return settled
}

// handover remembers which services draining workers handed on, until these run
// elsewhere. It is safe for concurrent use.
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

// pending reports whether a service of the worker does not run elsewhere yet.
func (handover *handover) pending(worker modeller.WorkerName, settled func(modeller.TaskID, modeller.WorkerName) bool) bool {
	handover.mutex.Lock()
	defer handover.mutex.Unlock()
	tasks := slices.DeleteFunc(handover.tasks[worker], func(task modeller.TaskID) bool { return settled(task, worker) })
	if len(tasks) == 0 {
		delete(handover.tasks, worker)
		return false
	}
	handover.tasks[worker] = tasks
	return true
}
