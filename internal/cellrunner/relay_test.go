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

// TestALeaderIsFoundThroughARelay gives the locator the address of a relay
// only. It must find the replica that announced itself to the relay, whether or
// not that replica leads.
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

	placeholder := listen()
	address := placeholder.Addr().String()
	c.Assert(placeholder.Close(), qt.IsNil)
	relay := &cellrunner.Relay{Settings: &cellrunner.Settings{Address: address}, Leader: func() string { return "" }}
	go func() { _ = relay.Run(ctx) }()

	connection, err := messenger.Dial(address, nil)
	c.Assert(err, qt.IsNil)
	defer func() { _ = connection.Close() }()
	var reply *messenger.IdentifyReply
	for deadline := time.Now().Add(5 * time.Second); reply == nil && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		reply, _ = messenger.ReplicaClient{Connection: connection}.Identify(ctx, &messenger.IdentifyRequest{Address: replica.Addr().String()})
	}
	c.Assert(reply, qt.IsNotNil)
	c.Check(reply.Relay, qt.IsTrue)

	locator := locator.New(locator.Config{Addresses: []string{address}})
	defer locator.Close()
	findCtx, done := context.WithTimeout(ctx, 3*time.Second)
	defer done()
	_, err = locator.Leader(findCtx, "main")
	c.Assert(err, qt.IsNil)
	c.Check(locator.LeaderAddress(), qt.Equals, replica.Addr().String())
}
