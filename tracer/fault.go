package tracer

import "github.com/dotterelrill/dotterelrill/modeller"

// Overtaken returns a trace of one hour in which ordinary work alone fills a small
// fleet throughout, while deferrable work with deadlines is waiting.
func Overtaken(seed uint64) *Trace {
	fleet := fleet{workers: 8, perRack: 4, slots: 8, dataCentres: []modeller.DataCentreName{"d1", "d2"}, capacity: resources(8, 32)}
	trace := &Trace{Name: "Overtaken", Horizon: hour, Workers: fleet.describe()}
	generator := newGenerator(seed, trace)
	limit := modeller.Limit{Resources: resources(64, 256), Tasks: 64}
	trace.Templates = []modeller.Template{template("desk", 1, limit,
		modeller.Queue{Name: "page", Kind: modeller.Batch, Urgency: modeller.Ordinary, Size: resources(1, 2), RunTime: 10 * second},
		modeller.Queue{Name: "report", Kind: modeller.Batch, Urgency: modeller.Deferrable, Idempotent: true, Size: resources(1, 2), RunTime: 4 * minute, DeadlineAfter: 14 * minute},
	)}
	generator.arrivals(0, trace.Horizon, 6, func(at modeller.Millis) {
		generator.submit(at, Submission{ClientAccount: "desk", Queue: "page", Tasks: 1, Size: resources(1, 2), RunTime: generator.duration(8*second, 14*second)})
	})
	generator.arrivals(0, trace.Horizon-16*minute, 1.0/120, func(at modeller.Millis) {
		generator.submit(at, Submission{ClientAccount: "desk", Queue: "report", Tasks: 4, Size: resources(1, 2), RunTime: generator.duration(220*second, 260*second)})
	})
	return generator.sortedTrace()
}

// Outsized returns a trace in which the only large worker is lost and jobs that
// would fit no other worker are submitted afterwards.
func Outsized(seed uint64) *Trace {
	fleet := fleet{workers: 4, perRack: 2, slots: 8, dataCentres: []modeller.DataCentreName{"d1", "d2"}, capacity: resources(8, 32)}
	trace := &Trace{Name: "Outsized", Horizon: 10 * minute, Workers: fleet.describe()}
	trace.Workers[0].Capacity = resources(32, 128)
	generator := newGenerator(seed, trace)
	limit := modeller.Limit{Resources: resources(64, 256), Tasks: 64}
	trace.Templates = []modeller.Template{template("desk", 1, limit,
		modeller.Queue{Name: "page", Kind: modeller.Batch, Urgency: modeller.Ordinary, Size: resources(1, 2), RunTime: 10 * second},
	)}
	trace.Inputs = append(trace.Inputs, Input{At: minute, Lose: &trace.Workers[0].Name})
	for job := range 20 {
		at := 2*minute + modeller.Millis(job)*second
		generator.submit(at, Submission{ClientAccount: "desk", Queue: "page", Tasks: 1, Size: resources(16, 64), RunTime: 10 * second})
		generator.submit(at, Submission{ClientAccount: "desk", Queue: "page", Tasks: 1, Size: resources(1, 2), RunTime: 10 * second})
	}
	return generator.sortedTrace()
}
