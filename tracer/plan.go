package tracer

import (
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/modeller"
)

// The fleet and the peak load that the users plan for.
const (
	plannedWorkers         = 2700
	plannedAccounts        = 190
	plannedRunningTasks    = 12_000
	plannedServiceTasks    = plannedRunningTasks / 5
	plannedStartsPerSecond = 740
	plannedTasksPerJob     = 20
)

// PlanPeak returns a trace of one minute of peak load on the fleet that the users
// plan for.
func PlanPeak(seed uint64) *Trace {
	return planTrace(seed, plannedWorkers, minute)
}

// PlanPart returns a trace with the same load per worker as PlanPeak for a fleet of
// the given number of workers, so that the cost of a decision can be compared
// between fleet sizes.
func PlanPart(seed uint64, workers int) *Trace {
	return planTrace(seed, workers, 2*minute)
}

func planTrace(seed uint64, workers int, horizon modeller.Millis) *Trace {
	scale := float64(workers) / plannedWorkers
	fleet := fleet{
		workers: workers, perRack: 20, slots: 8,
		dataCentres: []modeller.DataCentreName{"d1", "d2", "d3", "d4", "d5", "d6"},
		capacity:    resources(16, 64),
	}
	trace := &Trace{Name: "PlanPeak", Warm: 20 * second, Horizon: horizon, Workers: fleet.describe()}
	if workers != plannedWorkers {
		trace.Name = fmt.Sprintf("PlanPart%d", workers)
	}
	generator := newGenerator(seed, trace)
	limit := modeller.Limit{Resources: resources(16*float64(workers), 64*float64(workers)), Tasks: plannedRunningTasks}
	accounts := make([]modeller.ClientAccountName, plannedAccounts)
	for index := range accounts {
		accounts[index] = modeller.ClientAccountName(fmt.Sprintf("team-%03d", index))
		trace.Templates = append(trace.Templates, template(string(accounts[index]), int64(1+index%5), limit,
			modeller.Queue{Name: "service", Kind: modeller.Service, Urgency: modeller.Ordinary, Idempotent: true, Size: resources(2, 8), RunTime: 24 * hour},
			modeller.Queue{Name: "urgent", Kind: modeller.Batch, Urgency: modeller.Urgent, Size: resources(2, 4), RunTime: 5 * second},
			modeller.Queue{Name: "batch", Kind: modeller.Batch, Urgency: modeller.Ordinary, Size: resources(3, 12), RunTime: 13 * second},
			modeller.Queue{Name: "gang", Kind: modeller.Gang, Urgency: modeller.Ordinary, Size: resources(3, 12), RunTime: 13 * second},
			modeller.Queue{Name: "bulk", Kind: modeller.Batch, Urgency: modeller.Deferrable, Idempotent: true, Size: resources(3, 12), RunTime: 13 * second, DeadlineAfter: hour},
		))
	}
	for service := range int(plannedServiceTasks * scale / 4) {
		generator.submit(modeller.Millis(service), Submission{ClientAccount: accounts[service%plannedAccounts], Queue: "service", Tasks: 4, Size: resources(2, 8), RunTime: 24 * hour})
	}
	tasks := max(2, int(plannedTasksPerJob*scale))
	generator.arrivals(0, horizon, plannedStartsPerSecond*scale/float64(tasks), func(at modeller.Millis) {
		generator.submitPeakJob(at, accounts[generator.random.IntN(plannedAccounts)], uint32(tasks))
	})
	return generator.sortedTrace()
}

func (generator *generator) submitPeakJob(at modeller.Millis, account modeller.ClientAccountName, tasks uint32) {
	submission := Submission{
		ClientAccount: account, Queue: "batch",
		Tasks:   1 + generator.random.Uint32N(2*tasks-1),
		Size:    resources(generator.between(1, 5), generator.between(4, 20)),
		RunTime: generator.duration(3*second, 23*second),
	}
	switch choice := generator.random.IntN(10); {
	case choice == 0:
		submission.Queue = "urgent"
	case choice == 1:
		submission.Queue = "gang"
		submission.Tasks = min(submission.Tasks, 16)
	case choice < 5:
		submission.Queue = "bulk"
	}
	generator.submit(at, submission)
}

// Seed is the default seed, used for the traces of tests and measurements.
const Seed = 20261204

// smallFleetWorkers is the size of the fleet with which PlanPeak's cost of a
// decision is compared.
const smallFleetWorkers = 50

// Generate returns the trace with the given name, or an error if there is none.
func Generate(name string, seed uint64) (*Trace, error) {
	switch name {
	case "HuonSaturday":
		return HuonSaturday(seed), nil
	case "WissensstubeNight":
		return WissensstubeNight(seed), nil
	case "PlanPeak":
		return PlanPeak(seed), nil
	case "PlanPart50":
		return PlanPart(seed, smallFleetWorkers), nil
	}
	return nil, eris.Errorf("unknown trace %s", name)
}
