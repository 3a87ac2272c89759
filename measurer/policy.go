package measurer

import (
	"math/rand/v2"

	"github.com/dotterelrill/dotterelrill/internal/baseliner"
	"github.com/dotterelrill/dotterelrill/planner"
	"github.com/dotterelrill/dotterelrill/tracer"
)

// maxPlacements limits the placements of one planning round, as the leader of a
// cell does.
const maxPlacements = 256

// Present returns the placement policy that the cell daemon runs.
func Present() NamedPolicy {
	return Without("present", planner.Mechanisms{})
}

// Without returns the present policy with the mechanisms that are set in off
// disabled.
func Without(name string, off planner.Mechanisms) NamedPolicy {
	return NamedPolicy{Name: name, Make: func(random *rand.Rand, decided func()) tracer.Policy {
		view := planner.New(planner.Config{Random: random, MostPlacements: maxPlacements, Decided: decided, Without: off})
		return tracer.Policy{Observe: view.Observe, Plan: view.Plan, Undo: view.Undo}
	}}
}

// Ablations returns variants of the present policy, each with one mechanism
// disabled.
func Ablations() []NamedPolicy {
	return []NamedPolicy{
		Without("no-preemption", planner.Mechanisms{Preemption: true}),
		Without("no-rising", planner.Mechanisms{Promotion: true}),
		Without("no-reservation", planner.Mechanisms{Reservation: true}),
		Without("no-correction", planner.Mechanisms{Correction: true}),
		Without("no-limit-stops", planner.Mechanisms{LimitStops: true}),
		Without("no-balancing", planner.Mechanisms{Balancing: true}),
	}
}

// All returns every measurable policy: the baselines, the present policy and its
// ablations.
func All() []NamedPolicy {
	return append([]NamedPolicy{FirstFit(), Previous(), Present()}, Ablations()...)
}

// Previous returns the policy that package planner had before it indexed the
// workers.
func Previous() NamedPolicy {
	return baseline("previous", false)
}

// FirstFit returns the first-come, first-served policy that places each task on
// the first worker with enough free resources.
func FirstFit() NamedPolicy {
	return baseline("first-fit", true)
}

func baseline(name string, firstFit bool) NamedPolicy {
	return NamedPolicy{Name: name, Make: func(random *rand.Rand, decided func()) tracer.Policy {
		view := baseliner.New(baseliner.Config{Random: random, FirstFit: firstFit, MostPlacements: maxPlacements, Decided: decided})
		return tracer.Policy{Observe: view.Observe, Plan: view.Plan, Undo: view.Undo}
	}}
}
