package cellrunner

import (
	"maps"
	"slices"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// checkEvacuation refuses an operator's order about a data centre that is not known, and
// every one in a cell that serves staged jobs: their conductor decides about starts, and
// takes such orders from the platform.
func (runner *Runner) checkEvacuation(evacuate *stager.Evacuate) *coder.Refusal {
	if evacuate == nil {
		return nil
	}
	if runner.workerCalls != nil {
		return coder.Refuse(coder.WrongState, "data centres of this cell are evacuated through the platform's interface")
	}
	known := slices.Contains(runner.settings.Staged.DataCentres, string(evacuate.DataCentre))
	runner.stateMachine.read(func(state *applier.State) {
		if _, found := state.DataCentres[evacuate.DataCentre]; found {
			known = true
		}
	})
	if !known {
		return coder.Refuse(coder.UnknownDataCentre, "no data centre %s", evacuate.DataCentre)
	}
	return nil
}

// dataCentreRows returns the known data centres with what is live there.
func dataCentreRows(state *applier.State) []messenger.DataCentreRow {
	rows := make(map[modeller.DataCentreName]*messenger.DataCentreRow)
	add := func(dataCentres stager.DataCentres) {
		for name, dataCentre := range dataCentres {
			row := rows[name]
			if row == nil {
				row = &messenger.DataCentreRow{Name: name}
				rows[name] = row
			}
			row.Evacuated, row.Restored = max(row.Evacuated, dataCentre.Evacuated), max(row.Restored, dataCentre.Restored)
		}
	}
	count := func(name modeller.DataCentreName, live int) {
		if row := rows[name]; row != nil {
			row.Workers++
			row.Live += live
		}
	}
	add(state.DataCentres)
	for _, worker := range state.Workers {
		count(worker.Description.DataCentre, worker.Live())
	}
	if state.Staged != nil {
		add(state.Staged.DataCentres)
		for _, worker := range state.Staged.Workers {
			count(worker.DataCentre, worker.LiveCount())
		}
	}
	sorted := make([]messenger.DataCentreRow, 0, len(rows))
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		sorted = append(sorted, *rows[name])
	}
	return sorted
}
