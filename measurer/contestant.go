package measurer

import (
	"math/rand/v2"

	"github.com/dotterelrill/dotterelrill/internal/baseliner"
	"github.com/dotterelrill/dotterelrill/planner"
	"github.com/dotterelrill/dotterelrill/tracer"
)

// mostPlacements is as many as the leader lets a policy decide at once.
const mostPlacements = 256

// Present returns the policy that the daemons use.
func Present() Contestant {
	return Without("present", planner.Mechanisms{})
}

// Without returns the present policy with mechanisms switched off.
func Without(name string, off planner.Mechanisms) Contestant {
	return Contestant{Name: name, Make: func(random *rand.Rand, decided func()) tracer.Policy {
		view := planner.New(planner.Config{Random: random, MostPlacements: mostPlacements, Decided: decided, Without: off})
		return tracer.Policy{Observe: view.Observe, Plan: view.Plan, Undo: view.Undo}
	}}
}

// Ablations returns the present policy with each of its mechanisms off in turn.
func Ablations() []Contestant {
	return []Contestant{
		Without("no-preemption", planner.Mechanisms{Preemption: true}),
		Without("no-rising", planner.Mechanisms{Promotion: true}),
		Without("no-reservation", planner.Mechanisms{Reservation: true}),
		Without("no-correction", planner.Mechanisms{Correction: true}),
		Without("no-limit-stops", planner.Mechanisms{LimitStops: true}),
		Without("no-balancing", planner.Mechanisms{Balancing: true}),
	}
}

// All returns every contestant: the baselines, the present policy and its
// ablations.
func All() []Contestant {
	return append([]Contestant{FirstFit(), Previous(), Present()}, Ablations()...)
}

// Previous returns the policy that planner had before it got an index.
func Previous() Contestant {
	return baseline("previous", false)
}

// FirstFit returns first come, first served onto the first worker with room.
func FirstFit() Contestant {
	return baseline("first-fit", true)
}

func baseline(name string, firstFit bool) Contestant {
	return Contestant{Name: name, Make: func(random *rand.Rand, decided func()) tracer.Policy {
		view := baseliner.New(baseliner.Config{Random: random, FirstFit: firstFit, MostPlacements: mostPlacements, Decided: decided})
		return tracer.Policy{Observe: view.Observe, Plan: view.Plan, Undo: view.Undo}
	}}
}
