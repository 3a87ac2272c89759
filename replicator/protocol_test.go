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

// leadLearner returns the Core of a sole voter a that leads the learner b, with 100
// entries of the data, of which b has none.
func leadLearner(c *qt.C, data []byte) *replicator.Core {
	core := newCore(c, journaler.Member{ID: "a", Voter: true}, journaler.Member{ID: "b"})
	core.Tick(electionTimeout)
	saveAll(core)
	for range 100 {
		_, _, ok := core.Propose(journaler.EntryCommand, data)
		c.Assert(ok, qt.IsTrue)
	}
	saveAll(core)
	return core
}

// saveAll returns the pending messages of the Core, whose state counts as saved.
func saveAll(core *replicator.Core) []replicator.Message {
	ready := core.TakeReady()
	core.MarkSaved()
	return append(ready.First, ready.Then...)
}

// TestLateRejectionsSendNothingAgain has a learner with an empty log reject messages that
// were on their way when the leader began to send it the log. Each of them would put one
// more copy of the log before what the learner lacks.
func TestLateRejectionsSendNothingAgain(t *testing.T) {
	c := qt.New(t)
	core := leadLearner(c, []byte("x"))
	var stamps []time.Duration
	for round := range 3 {
		core.Tick(electionTimeout + time.Duration(round+1)*heartbeatInterval)
		for _, message := range saveAll(core) {
			stamps = append(stamps, message.Stamp)
		}
	}
	c.Assert(stamps, qt.HasLen, 3)
	sent := 0
	for at, stamp := range stamps {
		core.ObserveTime(electionTimeout + 4*heartbeatInterval + time.Duration(at)*time.Millisecond)
		core.Step(replicator.Message{Cell: cellName, Kind: replicator.KindAppendReply, From: "b", To: "a", Term: 1, Reject: true, Stamp: stamp})
		for _, message := range saveAll(core) {
			sent += len(message.Entries)
		}
	}
	c.Check(sent, qt.Equals, 101)
}

// TestALostAppendIsSentAgain checks that a rejection of a later message restarts sending.
func TestALostAppendIsSentAgain(t *testing.T) {
	c := qt.New(t)
	core := leadLearner(c, []byte("x"))
	for round := range 2 {
		core.Tick(electionTimeout + time.Duration(round+1)*heartbeatInterval)
		heartbeat := saveAll(core)[0]
		core.Step(replicator.Message{Cell: cellName, Kind: replicator.KindAppendReply, From: "b", To: "a", Term: 1, Reject: true, Stamp: heartbeat.Stamp})
		sent := 0
		for _, message := range saveAll(core) {
			sent += len(message.Entries)
		}
		c.Check(sent, qt.Equals, 101, qt.Commentf("round %d", round))
	}
}

// TestAPieceOnItsWayIsNotSentAgain sends a snapshot over a link on which a piece takes
// several heartbeats. A copy of it with each heartbeat would leave the link no room for the
// next piece.
func TestAPieceOnItsWayIsNotSentAgain(t *testing.T) {
	c := qt.New(t)
	core := leadLearner(c, []byte("x"))
	const total = 4 << 20
	core.Compact(snapshotOf(core, total))
	now := electionTimeout
	heartbeat := func() []replicator.Message {
		now += heartbeatInterval
		core.Tick(now)
		return saveAll(core)
	}
	core.Step(replicator.Message{Cell: cellName, Kind: replicator.KindAppendReply, From: "b", To: "a", Term: 1, Reject: true, Stamp: heartbeat()[0].Stamp})
	sent := saveAll(core)
	for range 6 {
		sent = append(sent, heartbeat()...)
	}
	next := int64(0)
	for _, message := range sent {
		c.Assert(message.Piece, qt.IsNotNil)
		c.Check(message.Piece.Offset, qt.Equals, next)
		next += int64(len(message.Piece.Data))
	}
	c.Check(next > 0 && next < total, qt.IsTrue, qt.Commentf("%d bytes on their way", next))
	first := int64(len(sent[0].Piece.Data))

	reply := replicator.Message{Cell: cellName, Kind: replicator.KindSnapshotPieceReply, From: "b", To: "a", Term: 1}
	reply.Index, reply.Stamp = uint64(first), sent[0].Stamp
	core.Step(reply)
	following := saveAll(core)
	c.Assert(following, qt.HasLen, 1)
	c.Check(following[0].Piece.Offset, qt.Equals, next, qt.Commentf("a piece has arrived, the next ones may be on their way"))

	reply.Stamp = heartbeat()[0].Stamp
	core.Step(reply)
	again := saveAll(core)
	c.Assert(len(again) > 0, qt.IsTrue)
	c.Check(again[0].Piece.Offset, qt.Equals, first, qt.Commentf("a later message arrived without the second piece"))
	c.Check(again[0].Piece.Data, qt.HasLen, int(first))
}

// snapshotOf returns a snapshot of the Core's committed entries, with a state of the size.
func snapshotOf(core *replicator.Core, size int) *journaler.Snapshot {
	index := core.CommitIndex()
	return &journaler.Snapshot{Index: index, Term: core.EntryTerm(index), Chain: core.Chain(index), Members: core.MembersAt(index), Data: make([]byte, size)}
}

// sentTo returns how many entries, and how many bytes of snapshots, are in the messages.
func sentTo(messages []replicator.Message) (entries, bytes int) {
	for _, message := range messages {
		entries += len(message.Entries)
		if message.Piece != nil {
			bytes += len(message.Piece.Data)
		}
	}
	return entries, bytes
}

// TestALongLogIsNotSentInPlaceOfItsState adds a replica with an empty log to a leader that
// has never saved a snapshot. Its state is much smaller than the log that led there.
func TestALongLogIsNotSentInPlaceOfItsState(t *testing.T) {
	c := qt.New(t)
	for _, compacted := range []bool{false, true} {
		core := leadLearner(c, make([]byte, 64<<10))
		if compacted {
			core.Compact(&journaler.Snapshot{Index: 10, Term: 1, Chain: core.Chain(10), Members: core.Members(), Data: make([]byte, 1<<20)})
		}
		now := electionTimeout + heartbeatInterval
		core.Tick(now)
		core.Step(replicator.Message{Cell: cellName, Kind: replicator.KindAppendReply, From: "b", To: "a", Term: 1, Reject: true, Stamp: saveAll(core)[0].Stamp})
		ready := core.TakeReady()
		core.MarkSaved()
		c.Assert(ready.WantSnapshot, qt.IsTrue)
		now += heartbeatInterval
		core.Tick(now)
		entries, bytes := sentTo(append(ready.First, saveAll(core)...))
		c.Check(entries, qt.Equals, 0)
		c.Check(bytes, qt.Equals, 0)

		core.OfferSnapshot(snapshotOf(core, 100<<10))
		index := core.CommitIndex()
		_, _, ok := core.Propose(journaler.EntryCommand, []byte("x"))
		c.Assert(ok, qt.IsTrue)
		entries, bytes = sentTo(saveAll(core))
		c.Check(entries, qt.Equals, 0)
		c.Check(bytes, qt.Equals, 100<<10)
		core.Step(replicator.Message{Cell: cellName, Kind: replicator.KindAppendReply, From: "b", To: "a", Term: 1, Index: index, Stamp: now})
		entries, _ = sentTo(saveAll(core))
		c.Check(entries, qt.Equals, 1)
	}
}

// TestALogIsSentIfItsStateIsLargerOrNeverComes checks that entries aren't held back for good.
func TestALogIsSentIfItsStateIsLargerOrNeverComes(t *testing.T) {
	c := qt.New(t)
	for _, offered := range []bool{false, true} {
		core := leadLearner(c, make([]byte, 64<<10))
		core.Tick(electionTimeout + heartbeatInterval)
		core.Step(replicator.Message{Cell: cellName, Kind: replicator.KindAppendReply, From: "b", To: "a", Term: 1, Reject: true, Stamp: saveAll(core)[0].Stamp})
		saveAll(core)
		if offered {
			core.OfferSnapshot(snapshotOf(core, 8<<20))
		} else {
			core.Tick(electionTimeout + heartbeatInterval + time.Second)
		}
		entries, bytes := sentTo(saveAll(core))
		c.Check(entries, qt.Equals, 101)
		c.Check(bytes, qt.Equals, 0)
	}
}
