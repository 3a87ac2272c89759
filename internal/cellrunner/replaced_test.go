package cellrunner_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/locator"
	"github.com/dotterelrill/dotterelrill/messenger"
)

// startReplica starts one replica of the cell. The returned function stops it.
func (cell *diskCell) startReplica(at int) func() {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		cell.replicas[at].supervise(ctx)
		close(ended)
	}()
	return func() {
		cancel()
		<-ended
	}
}

// leader returns the index of the replica that leads, or -1.
func (cell *diskCell) leader() int {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	reply, refusal := locator.Ask(ctx, cell.locator, messenger.CellClient.Query, func(reply *messenger.QueryReply) *coder.Refusal { return reply.Refusal },
		&messenger.QueryRequest{Cell: "c", Members: true})
	if refusal == nil {
		for _, row := range reply.Members {
			for at, replica := range cell.replicas {
				if row.Leader && row.Member.Address == replica.address {
					return at
				}
			}
		}
	}
	return -1
}

// TestAReplicaJoinsALeaderThatIsYoungerThanTheSnapshot guards against a replica with an
// empty disk that never votes again, because its leader has replaced a member of the
// snapshot that it was sent.
func TestAReplicaJoinsALeaderThatIsYoungerThanTheSnapshot(t *testing.T) {
	const snapshotEvery = 100
	c := qt.New(t)
	cell := newDiskCell(c, 3, 3)
	stop := make([]func(), len(cell.replicas))
	for at, replica := range cell.replicas {
		replica.settings.SnapshotEvery = snapshotEvery
		stop[at] = cell.startReplica(at)
	}
	defer func() {
		for _, stop := range stop {
			stop()
		}
	}()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go cell.relayer.Run(ctx)
	replace := func(at int) {
		stop[at]()
		replica := cell.replicas[at]
		replica.settings.DataFolder, replica.settings.Form = c.TempDir(), false
		stop[at] = cell.startReplica(at)
		cell.awaitWhole(quorumTimeout)
	}
	cell.awaitWhole(quorumTimeout)
	for range snapshotEvery {
		_, acknowledged := cell.change(quorumTimeout)
		c.Assert(acknowledged, qt.IsTrue)
	}
	const younger = 2
	replace(younger)
	for until := time.Now().Add(quorumTimeout); cell.leader() != younger; {
		c.Assert(time.Now().Before(until), qt.IsTrue)
		if leader := cell.leader(); leader >= 0 && leader != younger {
			stop[leader]()
			stop[leader] = cell.startReplica(leader)
			cell.awaitWhole(quorumTimeout)
		}
	}
	replace(0)
}
