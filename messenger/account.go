package messenger

import (
	"maps"
	"slices"

	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// NewStagedAccountRows returns the client accounts of staged jobs by name. Their intake is
// that at the leader's time now, since the time of the state stands still while nothing is
// committed. It changes nothing, so that several queries may read one state.
func NewStagedAccountRows(state *stager.State, now modeller.Millis) []StagedAccountRow {
	rows := make(map[modeller.ClientAccountName]*StagedAccountRow)
	rowOf := func(name modeller.ClientAccountName) *StagedAccountRow {
		row := rows[name]
		if row == nil {
			row = &StagedAccountRow{
				Name: name, Weight: state.Weight(name), Used: state.Used(name), IntakeThousandths: state.IntakeLeft(name, now),
			}
			rows[name] = row
		}
		return row
	}
	if state.Deployment != nil {
		for _, account := range state.Deployment.Accounts {
			rowOf(account.Name).Limit = account.Limit
		}
	}
	for _, job := range state.Open() {
		row := rowOf(job.ClientAccount)
		row.Open++
		if !job.Started {
			row.Waiting++
		}
		if job.Excess {
			row.Excess++
		}
	}
	for _, name := range state.Using() {
		rowOf(name)
	}
	sorted := make([]StagedAccountRow, 0, len(rows))
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		sorted = append(sorted, *rows[name])
	}
	return sorted
}
