package cellrunner_test

import (
	"cmp"
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/internal/cellrunner"
	"github.com/dotterelrill/dotterelrill/internal/launcher"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// replica is a cell of one replica that runs in the test's process.
type replica struct {
	c         *qt.C
	address   string
	client    messenger.CellClient
	stop      func()
	startedAt time.Time
}

// startReplica starts a replica whose wall clock is ahead by clockError. It forms a cell
// of its own, unless bootstrap names another process to join a cell through.
func startReplica(c *qt.C, folder string, clockError time.Duration, bootstrap string) *replica {
	addresses, err := launcher.FreeAddresses(2)
	c.Assert(err, qt.IsNil)
	settings := &cellrunner.Settings{}
	text := fmt.Sprintf("[Cell]\nName = c\nAddress = %s\nBootstrap = %s\nForm = %t\nDataFolder = %s\nMetricsAddress = %s\n",
		addresses[0], cmp.Or(bootstrap, addresses[0]), bootstrap == "", folder, addresses[1])
	c.Assert(settings.Set().Parse("cell.ini", []byte(text)), qt.HasLen, 0)
	runner := cellrunner.New(settings, log.NewNopLogger())
	runner.Wall = func() time.Time { return time.Now().Add(clockError) }
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- runner.Run(ctx) }()
	connection, err := messenger.Dial(addresses[0], nil)
	c.Assert(err, qt.IsNil)
	return &replica{c: c, address: addresses[0], client: messenger.CellClient{Connection: connection}, startedAt: time.Now(), stop: func() {
		cancel()
		c.Check(<-ended, qt.IsNil)
		_ = connection.Close()
	}}
}

// propose retries a command until the replica leads and has applied it.
func (replica *replica) propose(command applier.Command) {
	command.Cell = "c"
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		reply, err := replica.client.Propose(context.Background(), &messenger.ProposeRequest{Command: command})
		if err == nil && reply.Refusal == nil {
			replica.c.Assert(reply.Result.Code.Successful(), qt.IsTrue, qt.Commentf("%+v", reply.Result))
			return
		}
	}
	replica.c.Fatal("the command was not applied within 10 s")
}

// heartbeatUntil sends heartbeats for a worker that gets its orders only in the
// answers, until done returns true for an answer. It returns false after 10 s.
func (replica *replica) heartbeatUntil(done func(answer messenger.HeartbeatAnswer) bool) bool {
	worker := modeller.WorkerDescription{
		Name: "w", Incarnation: 1, DataCentre: "d", Rack: "r", Slots: 1, Address: "127.0.0.1:1",
		Capacity: modeller.Resources{MilliProcessors: 1000, MemoryMiB: 1000},
	}
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		heartbeat := messenger.Heartbeat{Worker: worker, Clock: modeller.Millis(time.Since(replica.startedAt).Milliseconds())}
		reply, err := replica.client.Beat(context.Background(), &messenger.HeartbeatRequest{Cell: "c", Entry: "e", Beats: []messenger.Heartbeat{heartbeat}})
		if err == nil && reply.Refusal == nil && done(reply.Answers[0]) {
			return true
		}
	}
	return false
}

// TestCommandTimeAdvancesAfterALeaderWhoseClockWasAhead restarts a replica with
// a wall clock an hour behind the one of its last leadership. If the leader's
// time did not advance until the wall clock caught up, a lost start would not be
// repeated.
func TestCommandTimeAdvancesAfterALeaderWhoseClockWasAhead(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	ahead := startReplica(c, folder, time.Hour, "")
	template := modeller.Template{
		Name: "t", ClientAccount: "a", Share: 1, Limit: modeller.Limit{Resources: modeller.Resources{MilliProcessors: 1000, MemoryMiB: 1000}, Tasks: 10},
		Queues: []modeller.Queue{{
			Name: "q", Kind: modeller.Batch, Urgency: modeller.Ordinary, OpenToAll: true, Idempotent: true, MaxRetries: 1, MaxWaiting: 10,
			Size: modeller.Resources{MilliProcessors: 100, MemoryMiB: 100}, RunTime: 1000,
		}},
	}
	ahead.propose(applier.Command{RequestID: "t", ApplyTemplate: &applier.ApplyTemplate{Template: template}})
	ahead.propose(applier.Command{RequestID: "s", Submit: &applier.Submit{ClientAccount: "a", Queue: "q", Work: modeller.Work{Tasks: 1}}})
	placed := ahead.heartbeatUntil(func(messenger.HeartbeatAnswer) bool {
		reply, err := ahead.client.Job(context.Background(), &messenger.JobRequest{Cell: "c", Job: 1, Operator: true})
		return err == nil && reply.Job != nil && reply.Job.Tasks[0].State == modeller.TaskPlaced
	})
	ahead.stop()
	c.Assert(placed, qt.IsTrue)

	behind := startReplica(c, folder, 0, "")
	defer behind.stop()
	repeated := behind.heartbeatUntil(func(answer messenger.HeartbeatAnswer) bool { return len(answer.Starts) > 0 })
	c.Check(repeated, qt.IsTrue)
}
