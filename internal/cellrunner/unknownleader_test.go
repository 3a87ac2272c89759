package cellrunner_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// steadyElectionTimeout keeps a leader on a busy machine.
const steadyElectionTimeout = 2 * time.Second

// TestAReplicaThatMissedALeadersJoinCatchesUp keeps a founder's disk full until a replica
// that joined meanwhile leads.
func TestAReplicaThatMissedALeadersJoinCatchesUp(t *testing.T) {
	const missed, joined, last = 0, 3, 4
	c := qt.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	cell := newDiskCell(c, 5, 3)
	go cell.relayer.Run(ctx)
	for _, replica := range cell.replicas {
		// Another leader, which it knows, would let the founder catch up.
		replica.settings.ElectionTimeout = steadyElectionTimeout
	}
	full := cell.replicas[missed]
	full.fault.Store(fullFor(".segment"))
	for at := range last {
		cell.run(ctx, cell.replicas[at])
	}
	deadline := time.Now().Add(2 * quorumTimeout)
	for !cell.hasVote(cell.replicas[joined]) && time.Now().Before(deadline) {
		time.Sleep(restartDelay)
	}
	for cell.leaderOr(missed) != joined && time.Now().Before(deadline) {
		(*cell.replicas[cell.leaderOr(missed)].stop.Load())()
		_, acknowledged := cell.change(quorumTimeout)
		c.Assert(acknowledged, qt.IsTrue)
	}
	c.Assert(cell.leaderOr(missed), qt.Equals, joined)
	cell.run(ctx, cell.replicas[last])
	full.fault.Store(nil)
	cell.awaitWhole(quorumTimeout)
}

// hasVote reports whether the leader knows the replica as a voter.
func (cell *diskCell) hasVote(replica *diskReplica) bool {
	for _, row := range cell.members() {
		if row.Member.Address == replica.address {
			return row.Member.Voter
		}
	}
	return false
}
