package cellrunner_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestARelayLeavesALeaderWhoseDiskStandsStill stalls the leader's disk: another replica
// leads, but the process with the stalled disk goes on sending to those that follow it.
func TestARelayLeavesALeaderWhoseDiskStandsStill(t *testing.T) {
	const stall = 15 * time.Second
	c := qt.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	cell := startDiskCell(ctx, c, 3, 3)
	cell.awaitWhole(quorumTimeout)
	_, acknowledged := cell.change(quorumTimeout)
	c.Assert(acknowledged, qt.IsTrue)
	leader := cell.replicas[cell.leaderOr(0)]
	released := make(chan struct{})
	defer close(released)
	leader.fault.Store(stalled(released))
	took, acknowledged := cell.change(stall)
	c.Check(acknowledged, qt.IsTrue)
	c.Check(took < ackTimeout, qt.IsTrue, qt.Commentf("acknowledged after %s", took))
	leader.fault.Store(nil)
	c.Logf("acknowledged after %s", took)
}

// TestASnapshotThatStandsStillDelaysNoChange stalls the leader's disk for snapshots alone,
// as a large file may take long while the log is written.
func TestASnapshotThatStandsStillDelaysNoChange(t *testing.T) {
	const snapshots = 3
	c := qt.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	cell := startDiskCell(ctx, c, 3, 3)
	cell.awaitWhole(quorumTimeout)
	_, acknowledged := cell.change(quorumTimeout)
	c.Assert(acknowledged, qt.IsTrue)
	leader := cell.replicas[cell.leaderOr(0)]
	released := make(chan struct{})
	defer close(released)
	leader.fault.Store(stalledFor(".snapshot", released))
	for range snapshots * int(leader.settings.SnapshotEvery) {
		took, acknowledged := cell.change(quorumTimeout)
		c.Assert(acknowledged && took < ackTimeout, qt.IsTrue, qt.Commentf("acknowledged: %t, after %s", acknowledged, took))
	}
	leader.fault.Store(nil)
}
