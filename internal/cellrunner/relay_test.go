package cellrunner_test

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/internal/cellrunner"
	"github.com/dotterelrill/dotterelrill/locator"
	"github.com/dotterelrill/dotterelrill/messenger"
)

// TestALeaderIsFoundThroughARelay starts from settings that name only a process
// without a log. A replica that made itself known there must be found, also if
// it is not the leader.
func TestALeaderIsFoundThroughARelay(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	listen := func() net.Listener {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		return listener
	}
	replica := listen()
	server := messenger.NewServer(nil)
	(&messenger.CellServer{Query: func(context.Context, *messenger.QueryRequest) (*messenger.QueryReply, error) {
		return &messenger.QueryReply{}, nil
	}}).Register(server)
	go func() { _ = server.Serve(replica) }()
	defer server.Stop()

	free := listen()
	address := free.Addr().String()
	c.Assert(free.Close(), qt.IsNil)
	relay := &cellrunner.Relay{Settings: &cellrunner.Settings{Address: address}, Leader: func() string { return "" }}
	go func() { _ = relay.Run(ctx) }()

	connection, err := messenger.Dial(address, nil)
	c.Assert(err, qt.IsNil)
	defer func() { _ = connection.Close() }()
	var reply *messenger.IdentifyReply
	for until := time.Now().Add(5 * time.Second); reply == nil && time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		reply, _ = messenger.ReplicaClient{Connection: connection}.Identify(ctx, &messenger.IdentifyRequest{Address: replica.Addr().String()})
	}
	c.Assert(reply, qt.IsNotNil)
	c.Check(reply.Relay, qt.IsTrue)

	way := locator.New(locator.Config{Addresses: []string{address}})
	defer way.Close()
	findCtx, done := context.WithTimeout(ctx, 3*time.Second)
	defer done()
	_, err = way.Leader(findCtx, "main")
	c.Assert(err, qt.IsNil)
	c.Check(way.LeaderAddress(), qt.Equals, replica.Addr().String())
}
