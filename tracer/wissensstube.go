package tracer

import (
	"fmt"

	"github.com/dotterelrill/dotterelrill/modeller"
)

// WissensstubeNight returns a trace of an hour and a half of a night of a wiki
// hosting service: large reindexing jobs, which aren't idempotent and so mustn't be
// repeated, and exports, both deferrable with deadlines, and urgent previews.
func WissensstubeNight(seed uint64) *Trace {
	fleet := fleet{
		workers: 50, perRack: 6, slots: 8,
		dataCentres: []modeller.DataCentreName{"Sendling", "Giesing", "Riem", "Pasing"},
		capacity:    resources(16, 64),
	}
	trace := &Trace{Name: "WissensstubeNight", Horizon: 90 * minute, Workers: fleet.describe()}
	generator := newGenerator(seed, trace)
	limit := modeller.Limit{Resources: resources(640, 2560), Tasks: 320}
	for account := range 6 {
		name := fmt.Sprintf("franchise-%d", account+1)
		share := int64(1)
		if account < 2 {
			share = 3
		}
		trace.Templates = append(trace.Templates, template(name, share, limit,
			modeller.Queue{Name: "wiki", Kind: modeller.Service, Urgency: modeller.Ordinary, Idempotent: true, Size: resources(1, 4), RunTime: 24 * hour},
			modeller.Queue{Name: "preview", Kind: modeller.Batch, Urgency: modeller.Urgent, Idempotent: true, Size: resources(1, 2), RunTime: 2 * second},
			modeller.Queue{Name: "reindex", Kind: modeller.Batch, Urgency: modeller.Deferrable, Size: resources(4, 20), RunTime: 2 * minute, DeadlineAfter: 70 * minute},
			modeller.Queue{Name: "export", Kind: modeller.Batch, Urgency: modeller.Deferrable, Idempotent: true, Size: resources(2, 6), RunTime: 90 * second, DeadlineAfter: 70 * minute},
		))
		generator.submitWissensstubeAccount(modeller.ClientAccountName(name), float64(share))
	}
	return generator.sortedTrace()
}

func (generator *generator) submitWissensstubeAccount(name modeller.ClientAccountName, share float64) {
	until := generator.trace.Horizon - minute
	generator.submit(0, Submission{ClientAccount: name, Queue: "wiki", Tasks: 4, Size: resources(1, 4), RunTime: 24 * hour})
	generator.arrivals(minute, until, share/4, func(at modeller.Millis) {
		generator.submit(at, Submission{ClientAccount: name, Queue: "preview", Tasks: 1, Size: resources(generator.between(0.5, 1.5), generator.between(1, 3)), RunTime: generator.duration(second, 3*second)})
	})
	for range int(share * 11) {
		generator.submit(generator.duration(0, 10*minute), Submission{
			ClientAccount: name, Queue: "reindex",
			Tasks:   10 + generator.random.Uint32N(31),
			Size:    resources(generator.between(3, 6), generator.between(10, 28)),
			RunTime: generator.duration(minute, 4*minute),
		})
	}
	for range int(share * 16) {
		generator.submit(generator.duration(0, 20*minute), Submission{
			ClientAccount: name, Queue: "export",
			Tasks:   10 + generator.random.Uint32N(41),
			Size:    resources(generator.between(1, 3.5), generator.between(2, 10)),
			RunTime: generator.duration(30*second, 2*minute),
		})
	}
}
