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
	fixture := startFixture(t, launcher.Worker{Name: "w1", DataCentre: "dc1", Rack: "r1"})
	fixture.c.Assert(fixture.awaitOutcome(fixture.submit("one", 2, 10*time.Millisecond)).Outcome, qt.Equals, "Succeeded")
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	leader, err := fixture.fleet.Leader(ctx)
	fixture.c.Assert(err, qt.IsNil)
	cell := fixture.fleet.MetricsAddress(leader)
	entry := fixture.fleet.MetricsAddress(fixture.fleet.Entries[0])
	for _, name := range []string{"dotterel_cell_tasks_waiting", "dotterel_cell_tasks_running"} {
		fixture.c.Check(launcher.Metric(ctx, cell, name), qt.Equals, "0", qt.Commentf(name))
	}
	fixture.c.Check(launcher.Metric(ctx, cell, "dotterel_cell_workers"), qt.Equals, "1")
	fixture.c.Check(launcher.Metric(ctx, cell, "dotterel_cell_placements_total"), qt.Equals, "2")
	fixture.c.Check(launcher.Metric(ctx, entry, "dotterel_entry_configuration_revision"), qt.Equals, "1")
	for address, names := range map[string][]string{
		cell: {`dotterel_cell_proposals_total{code="OK"}`, "dotterel_cell_beats_total"},
		entry: {
			`dotterel_entry_requests_total{route="/v1/jobs",code="OK"}`,
			`dotterel_entry_request_seconds_count{route="/v1/jobs"}`,
		},
	} {
		for _, name := range names {
			value := launcher.Metric(ctx, address, name)
			fixture.c.Check(value != "" && !strings.HasPrefix(value, "0"), qt.IsTrue, qt.Commentf("%s %q", name, value))
		}
	}
	beats, delivered := 0, 0
	for _, process := range fixture.fleet.Entries {
		address := fixture.fleet.MetricsAddress(process)
		beats += len(strings.Trim(launcher.Metric(ctx, address, "dotterel_entry_beats_total"), "0"))
		delivered += len(strings.Trim(launcher.Metric(ctx, address, `dotterel_entry_orders_total{result="delivered"}`), "0"))
		fixture.c.Check(launcher.Metric(ctx, address, `dotterel_entry_orders_total{result="failed"}`), qt.Equals, "0")
	}
	fixture.c.Check(beats > 0, qt.IsTrue)
	fixture.c.Check(delivered > 0, qt.IsTrue)
}

// TestEntriesReceiveNewReplicas adds a replica without any other change of the
// configuration. A client that follows the leader as an entry does must receive
// the new member's address.
func TestEntriesReceiveNewReplicas(t *testing.T) {
	fixture := startFixture(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	leader, err := fixture.fleet.Leader(ctx)
	fixture.c.Assert(err, qt.IsNil)
	leaderIndex := 0
	for fixture.fleet.Cells[leaderIndex] != leader {
		leaderIndex++
	}
	connection, err := messenger.Dial(fixture.fleet.CellAddress[leaderIndex], nil)
	fixture.c.Assert(err, qt.IsNil)
	defer func() { _ = connection.Close() }()
	addresses, err := launcher.FreeAddresses(1)
	fixture.c.Assert(err, qt.IsNil)
	added, err := fixture.fleet.StartCell("cell4", addresses[0])
	fixture.c.Assert(err, qt.IsNil)
	t.Cleanup(added.Kill)
	_ = messenger.CellClient{Connection: connection}.Follow(ctx, &messenger.FollowRequest{Cell: "demo", Entry: "test"}, func(update *messenger.Configuration) error {
		for _, member := range update.Members {
			if member.Address == addresses[0] {
				cancel()
			}
		}
		return ctx.Err()
	})
	fixture.c.Check(ctx.Err(), qt.Equals, context.Canceled)
}
