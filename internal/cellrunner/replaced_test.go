package cellrunner_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/internal/launcher"
	"github.com/dotterelrill/dotterelrill/journaler"
)

const (
	// leadTimeout bounds the time until a certain replica leads.
	leadTimeout = time.Minute
	// patientTimeout is the election timeout of the replicas that are not to lead.
	patientTimeout = 2 * time.Second
)

// makeLead fills the disk of each other replica that leads: it ends without handing over
// its leadership, and the given one campaigns first.
func (cell *diskCell) makeLead(wanted int) {
	for until := time.Now().Add(leadTimeout); ; time.Sleep(50 * time.Millisecond) {
		cell.c.Assert(time.Now().Before(until), qt.IsTrue)
		leader := cell.leader()
		if leader == wanted {
			return
		}
		if leader >= 0 {
			cell.replicas[leader].full.Store(true)
			_, _ = cell.change(quorumTimeout)
			cell.replicas[leader].full.Store(false)
			// The replica starts again and follows.
			time.Sleep(2 * patientTimeout)
		}
	}
}

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

// voterAt returns the ID of the voter at the address, or "".
func (cell *diskCell) voterAt(address string) journaler.ReplicaID {
	for _, row := range cell.members() {
		if row.Member.Address == address && row.Member.Voter {
			return row.Member.ID
		}
	}
	return ""
}

// leader returns the index of the replica that leads, or -1.
func (cell *diskCell) leader() int {
	for _, row := range cell.members() {
		for at, replica := range cell.replicas {
			if row.Leader && row.Member.Address == replica.address {
				return at
			}
		}
	}
	return -1
}

// commitIndex returns the index that the replica knows to be committed, or 0.
func (diskReplica *diskReplica) commitIndex() int {
	index, _ := strconv.Atoi(launcher.Metric(context.Background(), diskReplica.metricsAddress, "dotterel_cell_commit_index"))
	return index
}

// TestAReplicaFollowsALeaderThatJoinedWhileItWasDown guards against a voter that stays
// behind for good, because its membership lacks its leader.
func TestAReplicaFollowsALeaderThatJoinedWhileItWasDown(t *testing.T) {
	const younger, down = 2, 4
	c := qt.New(t)
	cell := newDiskCell(c, 5, 5)
	stop := make([]func(), len(cell.replicas))
	for at, replica := range cell.replicas {
		replica.settings.SnapshotEvery = 100_000
		if at != younger {
			replica.settings.ElectionTimeout = patientTimeout
		}
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
	cell.awaitWhole(quorumTimeout)
	stop[down]()
	stop[down] = func() {}
	var lost journaler.ReplicaID
	for until := time.Now().Add(leadTimeout); lost == ""; lost = cell.voterAt(cell.replicas[younger].address) {
		c.Assert(time.Now().Before(until), qt.IsTrue)
	}
	stop[younger]()
	cell.replicas[younger].settings.DataFolder, cell.replicas[younger].settings.Form = c.TempDir(), false
	stop[younger] = cell.startReplica(younger)
	for until := time.Now().Add(leadTimeout); ; time.Sleep(50 * time.Millisecond) {
		c.Assert(time.Now().Before(until), qt.IsTrue)
		if voter := cell.voterAt(cell.replicas[younger].address); voter != "" && voter != lost {
			break
		}
	}
	cell.makeLead(younger)
	stop[down] = cell.startReplica(down)
	_, acknowledged := cell.change(quorumTimeout)
	c.Assert(acknowledged, qt.IsTrue)
	index := cell.replicas[younger].commitIndex()
	for until := time.Now().Add(ackTimeout); cell.replicas[down].commitIndex() < index; time.Sleep(50 * time.Millisecond) {
		c.Assert(time.Now().Before(until), qt.IsTrue, qt.Commentf("at index %v, the leader (%d) at %v", cell.replicas[down].commitIndex(), cell.leader(), index))
	}
}

// TestAReplicaJoinsALeaderThatIsYoungerThanTheSnapshot guards against a replica with an
// empty disk that never votes again, because its leader has replaced a member of the
// snapshot that it was sent.
func TestAReplicaJoinsALeaderThatIsYoungerThanTheSnapshot(t *testing.T) {
	const snapshotEvery, younger = 100, 2
	c := qt.New(t)
	cell := newDiskCell(c, 3, 3)
	stop := make([]func(), len(cell.replicas))
	for at, replica := range cell.replicas {
		replica.settings.SnapshotEvery = snapshotEvery
		if at != younger {
			replica.settings.ElectionTimeout = patientTimeout
		}
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
	replace(younger)
	cell.makeLead(younger)
	replace(0)
}
