package conductor

import (
	"cmp"
	"context"
	"slices"

	"github.com/dotterelrill/dotterelrill/allotter"
	"github.com/dotterelrill/dotterelrill/stager"
)

// plan goes through the waiting steps if something has changed that may let one
// start.
func (conductor *Conductor) plan(ctx context.Context) {
	if !conductor.dirty || conductor.inFlight >= batchesInFlight || conductor.failed != nil || !conductor.config.Leads() {
		return
	}
	conductor.dirty = false
	allotter.New(allotter.Config{
		State:      conductor.state,
		Now:        conductor.config.Now(),
		Elapsed:    conductor.elapsed(),
		Candidates: conductor.candidates(),
		Approval:   func(step stager.StepID) *allotter.Approval { return &conductor.approval(step).Approval },
		Place: func(place *stager.Place) error {
			if err := conductor.do(&stager.Command{Place: place}); err != nil {
				return err
			}
			conductor.launch(ctx, place)
			return nil
		},
		Ask: conductor.ask,
	}).Run()
}

// candidates returns the workers that may get work now, in a stable order.
func (conductor *Conductor) candidates() []allotter.Candidate {
	now := conductor.config.Clock()
	made := make([]allotter.Candidate, 0, len(conductor.links))
	for name, link := range conductor.links {
		worker := conductor.state.Workers[name]
		if worker != nil && !worker.Leaving && conductor.usable(link, now) {
			made = append(made, allotter.Candidate{Worker: worker, Doubt: link.streak})
		}
	}
	slices.SortFunc(made, func(left, right allotter.Candidate) int { return cmp.Compare(left.Worker.Name, right.Worker.Name) })
	return made
}
