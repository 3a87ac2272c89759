package replicator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/journaler"
	"github.com/dotterelrill/dotterelrill/replicator"
)

// newCore returns the Core of the first of the given members, with an empty log.
func newCore(c *qt.C, members ...journaler.Member) *replicator.Core {
	core, err := replicator.NewCore(replicator.CoreConfig{
		Cell:              cellName,
		ID:                members[0].ID,
		Initial:           members,
		HeartbeatInterval: heartbeatInterval,
		ElectionTimeout:   electionTimeout,
		Jitter:            func(time.Duration) time.Duration { return 0 },
	}, &journaler.Recovered{})
	c.Assert(err, qt.IsNil)
	return core
}

func TestSoleVoterSendsNothingBeforeItsTermIsSaved(t *testing.T) {
	c := qt.New(t)
	core := newCore(c, journaler.Member{ID: "a", Voter: true}, journaler.Member{ID: "b"})
	core.Tick(electionTimeout)
	c.Assert(core.Role(), qt.Equals, replicator.Leader)
	_, _, ok := core.Propose(journaler.EntryCommand, []byte("x"))
	c.Assert(ok, qt.IsTrue)
	ready := core.TakeReady()
	c.Assert(ready.HardState.Term, qt.Equals, uint64(1))
	c.Check(ready.First, qt.HasLen, 0)
	c.Check(len(ready.Then) > 0, qt.IsTrue)
	core.MarkSaved()
	_, _, ok = core.Propose(journaler.EntryCommand, []byte("y"))
	c.Assert(ok, qt.IsTrue)
	c.Check(core.TakeReady().First, qt.HasLen, 1)
}

func TestConflictWithCommittedEntryStopsTheReplica(t *testing.T) {
	c := qt.New(t)
	core := newCore(c, journaler.Member{ID: "a", Voter: true}, journaler.Member{ID: "b", Voter: true}, journaler.Member{ID: "c", Voter: true})
	entry := journaler.Entry{Index: 1, Term: 1, Kind: journaler.EntryNoop}
	entry.Chain = entry.ChainAfter(journaler.Chain{})
	core.Step(replicator.Message{Cell: cellName, Kind: replicator.KindAppend, From: "b", To: "a", Term: 1, Entries: []journaler.Entry{entry}, Commit: 1})
	core.TakeReady()
	c.Assert(core.MarkSaved(), qt.HasLen, 1)
	conflicting := journaler.Entry{Index: 1, Term: 2, Kind: journaler.EntryNoop}
	conflicting.Chain = conflicting.ChainAfter(journaler.Chain{})
	core.Step(replicator.Message{Cell: cellName, Kind: replicator.KindAppend, From: "c", To: "a", Term: 2, Entries: []journaler.Entry{conflicting}})
	c.Check(core.Err(), qt.IsNotNil)
}

func TestMembershipNamesEachReplicaOnce(t *testing.T) {
	c := qt.New(t)
	soleVoter := journaler.Member{ID: "a", Voter: true}
	core := newCore(c, soleVoter)
	core.Tick(electionTimeout)
	core.TakeReady()
	core.MarkSaved()
	c.Assert(core.Settled(), qt.IsTrue)
	nonVoter := journaler.Member{ID: "b"}
	_, _, err := core.ProposeMembers([]journaler.Member{soleVoter, soleVoter, nonVoter})
	c.Check(err, qt.IsNotNil)
	_, _, err = core.ProposeMembers([]journaler.Member{soleVoter, nonVoter})
	c.Check(err, qt.IsNil)
}
