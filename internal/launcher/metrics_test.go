package launcher_test

import (
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/internal/launcher"
	"github.com/dotterelrill/dotterelrill/messenger"
)

func TestProgramsExportMetrics(t *testing.T) {
	path := startPath(t, launcher.Worker{Name: "w1", DataCentre: "dc1", Rack: "r1"})
	path.c.Assert(path.awaitOutcome(path.submit("one", 2, 10*time.Millisecond)).Outcome, qt.Equals, "Succeeded")
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	leader, err := path.fleet.Leader(ctx)
	path.c.Assert(err, qt.IsNil)
	cell := path.fleet.MetricsAddress(leader)
	entry := path.fleet.MetricsAddress(path.fleet.Entries[0])
	for _, name := range []string{"dotterel_cell_tasks_waiting", "dotterel_cell_tasks_running"} {
		path.c.Check(launcher.Metric(ctx, cell, name), qt.Equals, "0", qt.Commentf(name))
	}
	path.c.Check(launcher.Metric(ctx, cell, "dotterel_cell_workers"), qt.Equals, "1")
	path.c.Check(launcher.Metric(ctx, cell, "dotterel_cell_placements_total"), qt.Equals, "2")
	path.c.Check(launcher.Metric(ctx, entry, "dotterel_entry_configuration_revision"), qt.Equals, "1")
	for address, names := range map[string][]string{
		cell: {`dotterel_cell_proposals_total{code="OK"}`, "dotterel_cell_beats_total"},
		entry: {
			`dotterel_entry_requests_total{route="/v1/jobs",code="OK"}`,
			`dotterel_entry_request_seconds_count{route="/v1/jobs"}`,
		},
	} {
		for _, name := range names {
			value := launcher.Metric(ctx, address, name)
			path.c.Check(value != "" && !strings.HasPrefix(value, "0"), qt.IsTrue, qt.Commentf("%s %q", name, value))
		}
	}
	beats, delivered := 0, 0
	for _, process := range path.fleet.Entries {
		address := path.fleet.MetricsAddress(process)
		beats += len(strings.Trim(launcher.Metric(ctx, address, "dotterel_entry_beats_total"), "0"))
		delivered += len(strings.Trim(launcher.Metric(ctx, address, `dotterel_entry_orders_total{result="delivered"}`), "0"))
		path.c.Check(launcher.Metric(ctx, address, `dotterel_entry_orders_total{result="failed"}`), qt.Equals, "0")
	}
	path.c.Check(beats > 0, qt.IsTrue)
	path.c.Check(delivered > 0, qt.IsTrue)
}

// TestEntriesReceiveNewReplicas adds a replica without any other change of the
// configuration. A client that follows the leader as an entry does must receive
// the new member's address.
func TestEntriesReceiveNewReplicas(t *testing.T) {
	path := startPath(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	leader, err := path.fleet.Leader(ctx)
	path.c.Assert(err, qt.IsNil)
	leaderIndex := 0
	for path.fleet.Cells[leaderIndex] != leader {
		leaderIndex++
	}
	connection, err := messenger.Dial(path.fleet.CellAddress[leaderIndex], nil)
	path.c.Assert(err, qt.IsNil)
	defer func() { _ = connection.Close() }()
	addresses, err := launcher.FreeAddresses(1)
	path.c.Assert(err, qt.IsNil)
	added, err := path.fleet.StartCell("cell4", addresses[0])
	path.c.Assert(err, qt.IsNil)
	t.Cleanup(added.Kill)
	_ = messenger.CellClient{Connection: connection}.Follow(ctx, &messenger.FollowRequest{Cell: "demo", Entry: "test"}, func(update *messenger.Configuration) error {
		for _, member := range update.Members {
			if member.Address == addresses[0] {
				cancel()
			}
		}
		return ctx.Err()
	})
	path.c.Check(ctx.Err(), qt.Equals, context.Canceled)
}
