package locator_test

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/locator"
	"github.com/dotterelrill/dotterelrill/messenger"
)

// proposeUndecided makes a call that no replica decides and returns its refusal.
func proposeUndecided(addresses ...string) *coder.Refusal {
	locator := locator.New(locator.Config{Addresses: addresses})
	defer locator.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return locator.Call(ctx, func(ctx context.Context, client messenger.CellClient) (*coder.Refusal, error) {
		reply, err := client.Propose(ctx, &messenger.ProposeRequest{})
		if err != nil {
			return nil, err
		}
		return reply.Refusal, nil
	})
}

// Guards against NotRun for a request that a stopping replica has received: the
// replica begins a graceful stop with the call in flight, then closes the
// connection.
func TestRequestReceivedByStoppingReplicaIsUnknown(t *testing.T) {
	c := qt.New(t)
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := messenger.NewServer(nil)
	received := make(chan struct{}, 1)
	cell := &messenger.CellServer{Propose: func(ctx context.Context, _ *messenger.ProposeRequest) (*messenger.ProposeReply, error) {
		received <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	cell.Register(server)
	go func() { _ = server.Serve(listener) }()
	go func() {
		<-received
		go server.GracefulStop()
		time.Sleep(200 * time.Millisecond)
		server.Stop()
	}()
	refusal := proposeUndecided(listener.Addr().String())
	c.Check(refusal.Code, qt.Equals, coder.Unknown, qt.Commentf("%v", refusal))
	c.Check(refusal.Code.Row().NotRun, qt.IsFalse)
}

func TestUnsentRequestIsNotServing(t *testing.T) {
	c := qt.New(t)
	// Nothing listens at port 1, and the system assigns it to no outgoing
	// connection.
	refusal := proposeUndecided("127.0.0.1:1")
	c.Check(refusal.Code, qt.Equals, coder.NotServing, qt.Commentf("%v", refusal))
	// The same RequestID may have been accepted earlier, so NotRun is false.
	c.Check(refusal.Code.Row().NotRun, qt.IsFalse)
}
