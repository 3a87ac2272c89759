package stager_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/encoder"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// inDataCentre returns a command that admits worker w<index> in a data centre.
func inDataCentre(index int, name modeller.DataCentreName) stager.Command {
	admitted := worker(index, 1)
	admitted.DataCentre = name
	return stager.Command{Admit: admitted}
}

func evacuateCommand(name modeller.DataCentreName, withdrawn bool) stager.Command {
	return stager.Command{Evacuate: &stager.Evacuate{DataCentre: name, Withdrawn: withdrawn}}
}

// TestNothingIsPlacedInAnEvacuatedDataCentre guards against a placement that was decided
// before the evacuation and is applied after it, also as one task of a gang that is
// otherwise placed elsewhere.
func TestNothingIsPlacedInAnEvacuatedDataCentre(t *testing.T) {
	c := qt.New(t)
	state := newState(c, 0)
	gang := step(2, 1)
	gang.Gang = true
	mustApply(c, state, inDataCentre(0, "north"), inDataCentre(1, "south"), submitCommand("j", step(2, 1)), submitCommand("g", gang),
		placeCommand("j", 0, placedOn(0, 1, "w0")), evacuateCommand("north", false))
	mustRefuse(c, state, placeCommand("j", 0, placedOn(1, 1, "w0")), ".*evacuated.*")
	mustRefuse(c, state, placeCommand("g", 0, placedOn(0, 1, "w1"), placedOn(1, 1, "w0")), ".*evacuated.*")
	c.Check(state.Workers["w0"].LiveCount(), qt.Equals, 1, qt.Commentf("what runs there goes on"))
	mustApply(c, state, placeCommand("j", 0, placedOn(1, 1, "w1")), evacuateCommand("north", true),
		placeCommand("g", 0, placedOn(0, 1, "w1"), placedOn(1, 1, "w0")))
}

// TestAnEvacuationIsOrderedAgain guards against a repeated order that is refused, or that
// replaces the time of the first one.
func TestAnEvacuationIsOrderedAgain(t *testing.T) {
	c := qt.New(t)
	state := newState(c, 0)
	state.Now = 10
	mustApply(c, state, inDataCentre(0, "north"), evacuateCommand("north", false))
	state.Now = 20
	mustApply(c, state, evacuateCommand("north", false))
	c.Check(state.DataCentres["north"], qt.Equals, stager.DataCentre{Evacuated: 10})
	mustApply(c, state, evacuateCommand("north", true))
	state.Now = 30
	mustApply(c, state, evacuateCommand("north", true))
	c.Check(state.DataCentres["north"], qt.Equals, stager.DataCentre{Restored: 20})
	mustRefuse(c, state, evacuateCommand("", false), ".*no data centre.*")
}

// TestAnEvacuationSurvivesASnapshot guards against an acknowledged order that is lost
// when a replica restarts, and against a copy of the state that shares it.
func TestAnEvacuationSurvivesASnapshot(t *testing.T) {
	c := qt.New(t)
	state := newState(c, 0)
	mustApply(c, state, inDataCentre(0, "north"), submitCommand("j", step(1, 1)), evacuateCommand("north", false))
	data, err := encoder.Marshal(state)
	c.Assert(err, qt.IsNil)
	restored := &stager.State{}
	c.Assert(encoder.Unmarshal(data, restored), qt.IsNil)
	restored.Rebuild()
	mustApply(c, state.Clone(), evacuateCommand("north", true))
	for _, each := range []*stager.State{state, restored} {
		mustRefuse(c, each, placeCommand("j", 0, placedOn(0, 1, "w0")), ".*evacuated.*")
	}
}

// TestASnapshotWithoutDataCentresIsRead guards against an earlier release's snapshot
// after which the data centres of its workers are unknown, and its log entries.
func TestASnapshotWithoutDataCentresIsRead(t *testing.T) {
	c := qt.New(t)
	earlier := newState(c, 0)
	mustApply(c, earlier, inDataCentre(0, "north"), submitCommand("j", step(1, 1)))
	earlier.DataCentres = nil
	data, err := encoder.Marshal(earlier)
	c.Assert(err, qt.IsNil)
	var fields map[string]any
	c.Assert(encoder.Unmarshal(data, &fields), qt.IsNil)
	_, written := fields["DataCentres"]
	c.Assert(written, qt.IsFalse)
	state := &stager.State{}
	c.Assert(encoder.Unmarshal(data, state), qt.IsNil)
	state.Rebuild()
	_, known := state.DataCentres["north"]
	c.Check(known, qt.IsTrue)

	earlierCommand := struct{ Place *stager.Place }{placeCommand("j", 0, placedOn(0, 1, "w0")).Place}
	data, err = encoder.Marshal(earlierCommand)
	c.Assert(err, qt.IsNil)
	var command stager.Command
	c.Assert(encoder.Unmarshal(data, &command), qt.IsNil)
	mustApply(c, state, command)
}
