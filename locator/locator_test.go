package locator_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/locator"
	"github.com/dotterelrill/dotterelrill/messenger"
)

// replica is a fake replica that serves only Propose.
type replica struct {
	address string
	server  *grpc.Server
	calls   atomic.Int32
}

func serve(c *qt.C, propose func(replica *replica, try int) (*messenger.ProposeReply, error)) *replica {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	replica := &replica{address: listener.Addr().String(), server: messenger.NewServer(nil)}
	cell := &messenger.CellServer{Propose: func(context.Context, *messenger.ProposeRequest) (*messenger.ProposeReply, error) {
		return propose(replica, int(replica.calls.Add(1)))
	}}
	cell.Register(replica.server)
	go func() { _ = replica.server.Serve(listener) }()
	c.Cleanup(replica.server.Stop)
	return replica
}

// closedAddress returns an address at which nothing listens.
func closedAddress(c *qt.C) string {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func propose(timeout time.Duration, addresses ...string) *coder.Refusal {
	locator := locator.New(locator.Config{Addresses: addresses})
	defer locator.Close()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return locator.Call(ctx, func(ctx context.Context, client messenger.CellClient) (*coder.Refusal, error) {
		reply, err := client.Propose(ctx, &messenger.ProposeRequest{})
		if err != nil {
			return nil, err
		}
		return reply.Refusal, nil
	})
}

func TestUnreachableReplicasAreNotServing(t *testing.T) {
	c := qt.New(t)
	refusal := propose(400*time.Millisecond, closedAddress(c), closedAddress(c))
	c.Assert(refusal.Code, qt.Equals, coder.NotServing)
}

// TestCellWithoutLeaderIsNotServing ends the caller's wait right after a reply, while no try
// is under way: one that is under way when the wait ends may have been received, and is
// Unknown.
func TestCellWithoutLeaderIsNotServing(t *testing.T) {
	c := qt.New(t)
	follower := serve(c, func(*replica, int) (*messenger.ProposeReply, error) {
		return &messenger.ProposeReply{Refusal: coder.Refuse(coder.NotLeader, "no")}, nil
	})
	locator := locator.New(locator.Config{Addresses: []string{follower.address}})
	defer locator.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	refusal := locator.Call(ctx, func(ctx context.Context, client messenger.CellClient) (*coder.Refusal, error) {
		reply, err := client.Propose(ctx, &messenger.ProposeRequest{})
		if err != nil {
			return nil, err
		}
		if follower.calls.Load() >= 3 {
			cancel()
		}
		return reply.Refusal, nil
	})
	c.Assert(refusal.Code, qt.Equals, coder.NotServing)
}

// Guards against NotServing for a request that a replica has received: the
// replica crashes before it replies, and the transport's error reads like that of a
// connection that was never established.
func TestReplicaCrashBeforeReplyIsUnknown(t *testing.T) {
	c := qt.New(t)
	crashing := serve(c, func(replica *replica, _ int) (*messenger.ProposeReply, error) {
		go replica.server.Stop()
		time.Sleep(200 * time.Millisecond)
		return nil, context.Canceled
	})
	refusal := propose(time.Second, crashing.address)
	c.Assert(crashing.calls.Load(), qt.Equals, int32(1))
	c.Assert(refusal.Code, qt.Equals, coder.Unknown)
	c.Assert(refusal.Code.Row().NotRun, qt.IsFalse)
}

// Guards against reporting a transient refusal while an earlier try is
// unanswered: the first try may still be committed, so the outcome is unknown.
func TestTransientRefusalAfterLostTryIsUnknown(t *testing.T) {
	c := qt.New(t)
	slow := serve(c, func(_ *replica, try int) (*messenger.ProposeReply, error) {
		if try == 1 {
			time.Sleep(2500 * time.Millisecond)
		}
		return &messenger.ProposeReply{Refusal: coder.Refuse(coder.QueueFull, "full")}, nil
	})
	c.Assert(propose(5*time.Second, slow.address).Code, qt.Equals, coder.Unknown)
	c.Assert(propose(5*time.Second, slow.address).Code, qt.Equals, coder.QueueFull)
}

// Guards against a rejection of a request that was accepted: the answer to the first try
// is lost, and a key or queue is removed before the second one.
func TestProvisionalRefusalAfterLostTryIsUnknown(t *testing.T) {
	c := qt.New(t)
	for code, want := range map[coder.Code]coder.Code{
		coder.WrongKey: coder.Unknown, coder.MissingKey: coder.Unknown, coder.UnknownQueue: coder.Unknown, coder.UnknownAccount: coder.Unknown,
		coder.Malformed: coder.Malformed, coder.RevisionConflict: coder.RevisionConflict,
	} {
		losing := serve(c, func(_ *replica, try int) (*messenger.ProposeReply, error) {
			if try == 1 {
				return nil, context.DeadlineExceeded
			}
			return &messenger.ProposeReply{Refusal: coder.Refuse(code, "refused")}, nil
		})
		c.Check(propose(5*time.Second, losing.address).Code, qt.Equals, want, qt.Commentf("after a lost try"))
		c.Check(propose(5*time.Second, losing.address).Code, qt.Equals, code, qt.Commentf("without one"))
	}
}

func TestLostReplyIsRetried(t *testing.T) {
	c := qt.New(t)
	losing := serve(c, func(_ *replica, try int) (*messenger.ProposeReply, error) {
		if try == 1 {
			return nil, context.DeadlineExceeded
		}
		return &messenger.ProposeReply{Result: applier.Result{Code: coder.Duplicate}}, nil
	})
	c.Assert(propose(5*time.Second, closedAddress(c), losing.address) == nil, qt.IsTrue)
	c.Assert(losing.calls.Load(), qt.Equals, int32(2))
}
