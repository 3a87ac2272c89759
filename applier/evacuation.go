package applier

import (
	"maps"
	"slices"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// evacuate takes a data centre out of service, or puts it back. A task that is placed
// there and that no worker has reported is stopped, so that it never begins there; what
// runs goes on. Work that is not idempotent is not stopped, as it may have begun.
//
// A data centre that is not known is refused by the leader before the command is
// proposed: replicas that have read the snapshots of different releases may know
// different ones.
func (state *State) evacuate(evacuate *stager.Evacuate) Result {
	if evacuate.DataCentre == "" {
		return refuse(coder.Malformed, "an evacuation names no data centre")
	}
	state.DataCentres.Order(evacuate, state.Now)
	for _, name := range slices.Sorted(maps.Keys(state.Workers)) {
		worker := state.Workers[name]
		if worker.Description.DataCentre != evacuate.DataCentre {
			continue
		}
		state.emit(state.workerEvent(EventWorkerChanged, worker))
		if !evacuate.Withdrawn {
			state.stopUnstarted(name, evacuate.DataCentre)
		}
	}
	return Result{}
}

// stopUnstarted stops the idempotent tasks that are placed on a worker and were not
// reported by it.
func (state *State) stopUnstarted(name modeller.WorkerName, dataCentre modeller.DataCentreName) {
	for _, id := range state.LiveOn(name) {
		job := state.Jobs[id.Job]
		if job.Tasks[id.Index].State == modeller.TaskPlaced && job.Spec.Idempotent {
			state.beginStop(id, job, StopDrain, truncate("data centre "+string(dataCentre)+" is evacuated"))
		}
	}
}

// Evacuated reports whether nothing may be started on a worker because its data centre is
// evacuated.
func (state *State) Evacuated(worker *Worker) bool {
	return state.DataCentres.Evacuated(worker.Description.DataCentre)
}
