package planner

import (
	"cmp"
	"slices"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/placer"
)

func (view *View) workerJoined(event *applier.Event) {
	joined := view.workers[event.Worker]
	if joined == nil {
		joined = &worker{}
		view.workers[event.Worker] = joined
		view.sortedWorkers = append(view.sortedWorkers, joined)
	} else {
		view.fleetCapacity = view.fleetCapacity.Sub(joined.description.Capacity)
		view.countCapacity(joined.description.Capacity, -1)
	}
	used := joined.description.Capacity.Sub(joined.free)
	joined.freeSlots += event.Description.Slots - joined.description.Slots
	joined.free = event.Description.Capacity.Sub(used)
	joined.description = event.Description
	joined.state, joined.evacuated = event.WorkerState, event.Evacuated
	view.countCapacity(event.Description.Capacity, 1)
	view.setFleetCapacity(view.fleetCapacity.Add(event.Description.Capacity))
}

func (view *View) countCapacity(capacity modeller.Resources, change int) {
	view.capacityCounts[capacity] += change
	if view.capacityCounts[capacity] == 0 {
		delete(view.capacityCounts, capacity)
	}
}

// setFleetCapacity records a change of the fleet's total capacity.
func (view *View) setFleetCapacity(total modeller.Resources) {
	view.fleetCapacity = total
	view.orderStale = true
	view.markReleased()
}

func (view *View) workerChanged(event *applier.Event) {
	worker := view.workers[event.Worker]
	if worker == nil {
		return
	}
	worker.state, worker.evacuated = event.WorkerState, event.Evacuated
	view.reindex(worker)
	view.markReleased()
}

func (view *View) workerLost(name modeller.WorkerName) {
	lost := view.workers[name]
	if lost == nil {
		return
	}
	for _, task := range lost.live {
		task.worker = nil
		view.removeVictim(task)
	}
	delete(view.workers, name)
	view.sortedWorkers = slices.DeleteFunc(view.sortedWorkers, func(worker *worker) bool { return worker == lost })
	view.countCapacity(lost.description.Capacity, -1)
	view.setFleetCapacity(view.fleetCapacity.Sub(lost.description.Capacity))
	if view.reservation != nil {
		view.endReservation(0)
	}
}

// rebuildIndex sorts the workers and rebuilds the index after workers joined or
// were lost.
func (view *View) rebuildIndex() {
	if !view.orderStale {
		return
	}
	view.orderStale = false
	view.queue.SetFleetCapacity(view.fleetCapacity)
	slices.SortFunc(view.sortedWorkers, compareWorkers)
	view.index = placer.New(len(view.sortedWorkers))
	for position, worker := range view.sortedWorkers {
		worker.position = position
		view.reindex(worker)
	}
}

func compareWorkers(left, right *worker) int {
	return cmp.Or(
		cmp.Compare(left.description.DataCentre, right.description.DataCentre),
		cmp.Compare(left.description.Rack, right.description.Rack),
		cmp.Compare(left.description.Name, right.description.Name),
	)
}

// reindex updates the worker's free capacity in the index.
func (view *View) reindex(worker *worker) {
	if view.orderStale {
		return
	}
	if worker.schedulable() && !worker.reserved {
		view.index.SetFree(worker.position, worker.free)
	} else {
		view.index.Exclude(worker.position)
	}
}

// schedulable reports whether the worker's state and slots allow one more task.
func (worker *worker) schedulable() bool {
	if worker.evacuated {
		return false
	}
	switch worker.state {
	case modeller.WorkerUp:
		return worker.freeSlots > 0
	case modeller.WorkerProbation:
		return worker.freeSlots == worker.description.Slots
	}
	return false
}

// fitsAnyWorker reports whether the size fits the capacity of at least one
// current worker.
func (view *View) fitsAnyWorker(size modeller.Resources) bool {
	for capacity := range view.capacityCounts {
		if size.Fits(capacity) {
			return true
		}
	}
	return false
}
