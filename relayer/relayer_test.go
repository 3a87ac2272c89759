package relayer_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"google.golang.org/grpc"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/locator"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/relayer"
	"github.com/dotterelrill/dotterelrill/stager"
)

// replica simulates a replica, which leads unless follower is set. While
// unresponsive is set it sends nothing, but its connections stay open.
type replica struct {
	address      string
	unresponsive atomic.Bool
	// follower is true while the replica does not lead.
	follower atomic.Bool
	// inquiries are sent to the relayer that follows the leader.
	inquiries chan *messenger.InquiryMessage
	advice    chan stager.Advice
	server    *grpc.Server
}

func startReplica(ctx context.Context, c *qt.C) *replica {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	replica := &replica{address: listener.Addr().String(), inquiries: make(chan *messenger.InquiryMessage, 1), advice: make(chan stager.Advice, 1)}
	server := messenger.NewServer(nil)
	replica.server = server
	(&messenger.CellServer{
		Query: func(ctx context.Context, _ *messenger.QueryRequest) (*messenger.QueryReply, error) {
			return &messenger.QueryReply{Refusal: replica.refusal()}, replica.waitIfUnresponsive(ctx)
		},
		Staged: messenger.StagedServer{
			Submit: func(ctx context.Context, _ *messenger.StagedSubmitRequest) (*messenger.StagedReply, error) {
				return &messenger.StagedReply{Refusal: replica.refusal()}, replica.waitIfUnresponsive(ctx)
			},
			Advise: func(_ context.Context, request *messenger.AdviseRequest) (*messenger.StagedReply, error) {
				replica.advice <- request.Advice
				return &messenger.StagedReply{}, nil
			},
			Inquiries: replica.serveInquiries,
		},
	}).Register(server)
	go func() { _ = server.Serve(listener) }()
	c.Cleanup(server.Stop)
	return replica
}

func (replica *replica) refusal() *coder.Refusal {
	if replica.follower.Load() {
		return coder.Refuse(coder.NotLeader, "another replica leads")
	}
	return nil
}

// waitIfUnresponsive blocks until the context ends if the replica is unresponsive.
// It then returns an error, so that no reply is sent in the moment in which the
// client's deadline passes.
func (replica *replica) waitIfUnresponsive(ctx context.Context) error {
	if replica.unresponsive.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (replica *replica) serveInquiries(ctx context.Context, _ *messenger.InquiriesRequest, send func(*messenger.InquiryMessage) error) error {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		message := &messenger.InquiryMessage{}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case message = <-replica.inquiries:
		}
		if err := replica.waitIfUnresponsive(ctx); err != nil {
			return err
		}
		if err := send(message); err != nil {
			return err
		}
	}
}

func startRelayer(ctx context.Context, c *qt.C, address string) *relayer.Relayer {
	leaderLocator := locator.New(locator.Config{Addresses: []string{address}, TryTimeout: relayer.TryTimeout, MaxBackoff: relayer.MaxBackoff})
	c.Cleanup(leaderLocator.Close)
	relayer := relayer.New(relayer.Config{
		Cell: "main", Locator: leaderLocator, Logger: log.NewNopLogger(),
		Ask: func(_ context.Context, inquiry *stager.Inquiry) stager.Advice {
			return stager.Advice{Step: inquiry.Step, Asked: inquiry.Workers}
		},
	})
	go relayer.Run(ctx)
	return relayer
}

// submit submits a job and returns the refusal, if any, and the elapsed time.
func submit(relayer *relayer.Relayer) (*coder.Refusal, time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	startedAt := time.Now()
	refusal := relayer.Submit(ctx, &messenger.StagedSubmitRequest{})
	return refusal, time.Since(startedAt)
}

func TestWithoutALeaderRequestsAreRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	relayer := startRelayer(ctx, c, "127.0.0.1:1")
	refusal, elapsed := submit(relayer)
	c.Assert(refusal != nil, qt.IsTrue)
	c.Check(refusal.Code, qt.Equals, coder.NotServing, qt.Commentf("no replica was reached, so nothing was accepted"))
	c.Check(refusal.RetryAfter > 0, qt.IsTrue)
	c.Check(elapsed < time.Second, qt.IsTrue, qt.Commentf("%s", elapsed))
}

// TestUnresponsiveLeaderIsAbandoned freezes the leader, with its connections open.
// Requests must not wait for it until their deadline.
func TestUnresponsiveLeaderIsAbandoned(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	leader := startReplica(ctx, c)
	relayer := startRelayer(ctx, c, leader.address)
	served := false
	for until := time.Now().Add(5 * time.Second); !served && time.Now().Before(until); {
		refusal, _ := submit(relayer)
		served = refusal == nil
	}
	c.Assert(served, qt.IsTrue)
	leader.unresponsive.Store(true)
	time.Sleep(1500 * time.Millisecond)
	refusal, elapsed := submit(relayer)
	c.Assert(refusal != nil, qt.IsTrue)
	c.Check(refusal.Code, qt.Equals, coder.Unknown, qt.Commentf("the leader may have accepted the request"))
	c.Check(elapsed < time.Second, qt.IsTrue, qt.Commentf("%s", elapsed))
}

func TestInquiriesAreAnsweredByTheAdviser(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	leader := startReplica(ctx, c)
	startRelayer(ctx, c, leader.address)
	step := stager.StepID{Job: "j"}
	leader.inquiries <- &messenger.InquiryMessage{Inquiry: stager.Inquiry{Step: step, Workers: []modeller.WorkerName{"w"}}}
	select {
	case advice := <-leader.advice:
		c.Check(advice.Step, qt.Equals, step)
	case <-time.After(5 * time.Second):
		c.Fatal("no advice was received")
	}
}

// TestRequestWaitsForAnElection stops the leader and lets another replica lead after
// 800 ms, less than an election may take. A request in between must be served: a
// client that is refused immediately retries later than the election ends.
func TestRequestWaitsForAnElection(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first, second := startReplica(ctx, c), startReplica(ctx, c)
	second.follower.Store(true)
	relayer := startRelayer(ctx, c, first.address)
	served := false
	for until := time.Now().Add(5 * time.Second); !served && time.Now().Before(until); {
		refusal, _ := submit(relayer)
		served = refusal == nil
	}
	c.Assert(served, qt.IsTrue)
	// A leader sends the addresses of the replicas to the relayers that follow it.
	first.inquiries <- &messenger.InquiryMessage{Replicas: []string{second.address}}
	time.Sleep(50 * time.Millisecond)
	first.server.Stop()
	time.AfterFunc(800*time.Millisecond, func() { second.follower.Store(false) })
	time.Sleep(50 * time.Millisecond)
	refusal, elapsed := submit(relayer)
	c.Check(refusal == nil, qt.IsTrue, qt.Commentf("%v after %s", refusal, elapsed))
}
