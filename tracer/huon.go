package tracer

import "github.com/dotterelrill/dotterelrill/modeller"

// huonAccounts are the client accounts of HuonSaturday with their shares. The
// first three are large accounts.
var huonAccounts = []struct {
	name  string
	share int64
	// backlogAt is the time at which the jobs of the weekly reshuffle are
	// submitted, and backlog is their number.
	backlogAt modeller.Millis
	backlog   int
}{
	{"hobart-football", 4, 0, 40},
	{"launceston-netball", 3, 0, 30},
	{"burnie-hockey", 3, 5 * minute, 28},
	{"derwent-juniors", 2, 10 * minute, 18},
	{"tamar-juniors", 2, 10 * minute, 18},
	{"coast-juniors", 2, 15 * minute, 16},
}

// HuonSaturday returns a trace of one hour of a Saturday morning of a sports
// roster service: swaps (ordinary), fixture draws (deferrable gangs) and late
// appointments (urgent), in addition to a weekly reshuffle (deferrable) that
// exceeds the capacity of the fleet.
func HuonSaturday(seed uint64) *Trace {
	fleet := fleet{
		workers: 50, perRack: 8, slots: 8,
		dataCentres: []modeller.DataCentreName{"Hobart", "Launceston", "Burnie"},
		capacity:    resources(32, 128),
	}
	trace := &Trace{Name: "HuonSaturday", Horizon: hour, Workers: fleet.describe()}
	generator := newGenerator(seed, trace)
	limit := modeller.Limit{Resources: resources(1400, 5600), Tasks: 380}
	for _, account := range huonAccounts {
		trace.Templates = append(trace.Templates, template(account.name, account.share, limit,
			modeller.Queue{Name: "desk", Kind: modeller.Service, Urgency: modeller.Ordinary, Idempotent: true, Size: resources(2, 8), RunTime: 24 * hour},
			modeller.Queue{Name: "appointment", Kind: modeller.Batch, Urgency: modeller.Urgent, Size: resources(2, 4), RunTime: 2 * second},
			modeller.Queue{Name: "swap", Kind: modeller.Batch, Urgency: modeller.Ordinary, Size: resources(4, 8), RunTime: 3 * second},
			modeller.Queue{Name: "draw", Kind: modeller.Gang, Urgency: modeller.Deferrable, Idempotent: true, Size: resources(4, 12), RunTime: 40 * second, DeadlineAfter: 45 * minute},
			modeller.Queue{Name: "reshuffle", Kind: modeller.Batch, Urgency: modeller.Deferrable, Idempotent: true, Size: resources(5, 16), RunTime: 45 * second, DeadlineAfter: 45 * minute},
		))
		generator.submitHuonAccount(modeller.ClientAccountName(account.name), float64(account.share), account.backlogAt, account.backlog)
	}
	return generator.sortedTrace()
}

func (generator *generator) submitHuonAccount(name modeller.ClientAccountName, share float64, backlogAt modeller.Millis, backlog int) {
	until := generator.trace.Horizon - minute
	generator.submit(0, Submission{ClientAccount: name, Queue: "desk", Tasks: 2, Size: resources(2, 8), RunTime: 24 * hour})
	generator.arrivals(minute, until, share/60, func(at modeller.Millis) {
		generator.submit(at, Submission{ClientAccount: name, Queue: "appointment", Tasks: 1, Size: resources(2, 4), RunTime: generator.duration(second, 3*second)})
	})
	generator.arrivals(minute, until, share/5, func(at modeller.Millis) {
		size := resources(generator.between(3, 5), generator.between(6, 12))
		generator.submit(at, Submission{ClientAccount: name, Queue: "swap", Tasks: 1, Size: size, RunTime: generator.duration(2*second, 5*second)})
	})
	generator.arrivals(backlogAt, until-20*minute, share/600, func(at modeller.Millis) {
		tasks := 4 + generator.random.Uint32N(9)
		generator.submit(at, Submission{ClientAccount: name, Queue: "draw", Tasks: tasks, Size: resources(4, 12), RunTime: generator.duration(20*second, minute)})
	})
	for range backlog {
		generator.submit(backlogAt, Submission{
			ClientAccount: name, Queue: "reshuffle",
			Tasks:   60 + generator.random.Uint32N(61),
			Size:    resources(generator.between(4, 7), generator.between(8, 24)),
			RunTime: generator.duration(20*second, 70*second),
		})
	}
}
