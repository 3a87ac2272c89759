package cellrunner_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/locator"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// evacuate sends an order until it is acknowledged or refused for good.
func (cell *diskCell) evacuate(evacuate stager.Evacuate) *coder.Refusal {
	var refusal *coder.Refusal
	for until := time.Now().Add(quorumTimeout); time.Now().Before(until); {
		ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
		refusal = cell.relayer.Evacuate(ctx, &evacuate)
		cancel()
		if refusal == nil || !refusal.Code.Row().Retry {
			break
		}
	}
	return refusal
}

// dataCentres returns the data centres that the leader knows, or nil if there is no
// leader.
func (cell *diskCell) dataCentres() []messenger.DataCentreRow {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	reply, refusal := locator.Ask(ctx, cell.locator, messenger.CellClient.Query, func(reply *messenger.QueryReply) *coder.Refusal { return reply.Refusal },
		&messenger.QueryRequest{Cell: "c", DataCentres: true})
	if refusal != nil {
		return nil
	}
	return reply.DataCentres
}

// awaitEvacuated waits until a leader knows that data centre north is evacuated.
func (cell *diskCell) awaitEvacuated() {
	var rows []messenger.DataCentreRow
	for until := time.Now().Add(quorumTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if rows = cell.dataCentres(); rows != nil {
			break
		}
	}
	cell.c.Assert(rows, qt.HasLen, 1)
	cell.c.Check(rows[0].Name, qt.Equals, modeller.DataCentreName("north"))
	cell.c.Check(rows[0].Evacuated != 0, qt.IsTrue)
}

// TestAnAcknowledgedEvacuationSurvivesTheLossOfAllProcesses ends all replicas just after
// the ack, and has one of them find an empty disk. A replica that still knows an order
// only in memory would lose it.
func TestAnAcknowledgedEvacuationSurvivesTheLossOfAllProcesses(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	cell := newDiskCell(c, 3, 3)
	for _, replica := range cell.replicas {
		replica.settings.Staged.DataCentres = []string{"north"}
	}
	cell.start(ctx)
	cell.awaitWhole(quorumTimeout)
	refusal := cell.evacuate(stager.Evacuate{DataCentre: "unknown"})
	c.Assert(refusal, qt.IsNotNil)
	c.Check(refusal.Code, qt.Equals, coder.UnknownDataCentre)
	refusal = cell.evacuate(stager.Evacuate{DataCentre: "north"})
	c.Assert(refusal == nil, qt.IsTrue, qt.Commentf("%v", refusal))
	cell.replicas[2].wiped.Store(true)
	for _, replica := range cell.replicas {
		(*replica.stop.Load())()
	}
	time.Sleep(restartDelay)
	cell.awaitEvacuated()
	refusal = cell.evacuate(stager.Evacuate{DataCentre: "north"})
	c.Assert(refusal == nil, qt.IsTrue, qt.Commentf("an accepted order is refused: %v", refusal))
}

// TestAnOperatorsEvacuationStopsStarts guards against a start that a worker of an
// evacuated data centre gets in the answer to a heartbeat, a repeated order that takes
// effect after a later one, and an unknown data centre that is accepted.
func TestAnOperatorsEvacuationStopsStarts(t *testing.T) {
	c := qt.New(t)
	replica := startReplica(c, t.TempDir(), 0, "")
	defer replica.stop()
	template := modeller.Template{
		Name: "t", ClientAccount: "a", Share: 1, Limit: modeller.Limit{Resources: modeller.Resources{MilliProcessors: 1000, MemoryMiB: 1000}, Tasks: 10},
		Queues: []modeller.Queue{{
			Name: "q", Kind: modeller.Batch, Urgency: modeller.Ordinary, OpenToAll: true, Idempotent: true, MaxRetries: 1, MaxWaiting: 10,
			Size: modeller.Resources{MilliProcessors: 100, MemoryMiB: 100}, RunTime: 1000,
		}},
	}
	replica.propose(applier.Command{RequestID: "t", ApplyTemplate: &applier.ApplyTemplate{Template: template}})
	c.Assert(replica.heartbeatUntil(func(messenger.HeartbeatAnswer) bool { return true }), qt.IsTrue)
	replica.propose(applier.Command{RequestID: "e", Evacuate: &stager.Evacuate{DataCentre: "d"}})
	reply, err := replica.client.Propose(t.Context(), &messenger.ProposeRequest{Command: applier.Command{Cell: "c", RequestID: "u", Evacuate: &stager.Evacuate{DataCentre: "unknown"}}})
	c.Assert(err, qt.IsNil)
	c.Assert(reply.Refusal, qt.IsNotNil)
	c.Check(reply.Refusal.Code, qt.Equals, coder.UnknownDataCentre)
	replica.propose(applier.Command{RequestID: "s", Submit: &applier.Submit{ClientAccount: "a", Queue: "q", Work: modeller.Work{Tasks: 1}}})
	startedAt := time.Now()
	started := false
	replica.heartbeatUntil(func(answer messenger.HeartbeatAnswer) bool {
		started = started || len(answer.Starts) > 0
		return time.Since(startedAt) > time.Second
	})
	c.Check(started, qt.IsFalse)
	replica.propose(applier.Command{RequestID: "r", Evacuate: &stager.Evacuate{DataCentre: "d", Withdrawn: true}})
	replica.propose(applier.Command{RequestID: "e", Evacuate: &stager.Evacuate{DataCentre: "d"}})
	c.Check(replica.heartbeatUntil(func(answer messenger.HeartbeatAnswer) bool { return len(answer.Starts) > 0 }), qt.IsTrue)
}
