package replicator_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/encoder"
	"github.com/dotterelrill/dotterelrill/journaler"
	"github.com/dotterelrill/dotterelrill/replicator"
)

// FuzzMessage passes decoded messages to a follower and to a leader. Neither may
// panic, whatever another process sends.
func FuzzMessage(f *testing.F) {
	c := qt.New(f)
	entry := journaler.Entry{Index: 1, Term: 1, Kind: journaler.EntryMembers, Data: []byte{0x80}}
	entry.Chain = entry.ChainAfter(journaler.Chain{})
	for _, message := range []replicator.Message{
		{Kind: replicator.KindAppend, Term: 1, Entries: []journaler.Entry{entry}, Commit: 1},
		{Kind: replicator.KindAppend, Term: 2, Index: 1, LogTerm: 1, Entries: []journaler.Entry{{Index: 2, Term: 2}}},
		{Kind: replicator.KindAppendReply, Term: 1, Index: 1, Reject: true},
		{Kind: replicator.KindVote, Term: 3, Transfer: true},
		{Kind: replicator.KindSnapshotPiece, Term: 1, Piece: &replicator.Piece{Index: 5, Term: 1, Total: 3, Data: []byte("abc")}},
		{Kind: replicator.KindSnapshotPieceReply, Term: 1, Index: 9},
		{Kind: replicator.KindTimeoutNow, Term: 1},
	} {
		data, err := encoder.Marshal(message)
		c.Assert(err, qt.IsNil)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var message replicator.Message
		if encoder.Unmarshal(data, &message) != nil {
			return
		}
		c := qt.New(t)
		for _, leads := range []bool{false, true} {
			members := []journaler.Member{{ID: "a", Voter: true}, {ID: "b", Voter: !leads}}
			core := newCore(c, members...)
			if leads {
				core.Tick(electionTimeout)
				core.TakeReady()
				core.MarkSaved()
				c.Assert(core.Role(), qt.Equals, replicator.Leader)
			}
			message.Cell, message.From, message.To = cellName, "b", "a"
			for range 2 {
				core.Step(message)
				core.Tick(core.LeaseUntil() + electionTimeout)
				if core.Err() != nil {
					break
				}
				core.TakeReady()
				core.MarkSaved()
			}
		}
	})
}
