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

// leader is a replica that leads until it is told to fall silent: it then
// answers nothing, and its connections stand.
type leader struct {
	address string
	silent  atomic.Bool
	// follows is true while it is a replica that does not lead.
	follows atomic.Bool
	// questions are sent to whoever attaches.
	questions chan *messenger.Inquiring
	advice    chan stager.Advice
	server    *grpc.Server
}

func startLeader(ctx context.Context, c *qt.C) *leader {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	made := &leader{address: listener.Addr().String(), questions: make(chan *messenger.Inquiring, 1), advice: make(chan stager.Advice, 1)}
	server := messenger.NewServer(nil)
	made.server = server
	(&messenger.CellServer{
		Query: func(ctx context.Context, _ *messenger.QueryRequest) (*messenger.QueryReply, error) {
			return &messenger.QueryReply{Refusal: made.refusal()}, made.hang(ctx)
		},
		Staged: messenger.StagedServer{
			Submit: func(ctx context.Context, _ *messenger.StagedSubmitRequest) (*messenger.StagedReply, error) {
				return &messenger.StagedReply{Refusal: made.refusal()}, made.hang(ctx)
			},
			Advise: func(_ context.Context, request *messenger.AdviseRequest) (*messenger.StagedReply, error) {
				made.advice <- request.Advice
				return &messenger.StagedReply{}, nil
			},
			Inquiries: made.inquiries,
		},
	}).Register(server)
	go func() { _ = server.Serve(listener) }()
	c.Cleanup(server.Stop)
	return made
}

func (leader *leader) refusal() *coder.Refusal {
	if leader.follows.Load() {
		return coder.Refuse(coder.NotLeader, "another replica leads")
	}
	return nil
}

// hang returns an error once the context is over if the leader is silent, so that
// nothing is answered in the moment in which the caller's deadline passes.
func (leader *leader) hang(ctx context.Context) error {
	if leader.silent.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (leader *leader) inquiries(ctx context.Context, _ *messenger.InquiriesRequest, send func(*messenger.Inquiring) error) error {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		message := &messenger.Inquiring{}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case message = <-leader.questions:
		}
		if err := leader.hang(ctx); err != nil {
			return err
		}
		if err := send(message); err != nil {
			return err
		}
	}
}

func start(ctx context.Context, c *qt.C, address string) *relayer.Relayer {
	way := locator.New(locator.Config{Addresses: []string{address}, TryMost: relayer.TryMost, PauseMost: relayer.PauseMost})
	c.Cleanup(way.Close)
	made := relayer.New(relayer.Config{
		Cell: "main", Locator: way, Logger: log.NewNopLogger(),
		Ask: func(_ context.Context, inquiry *stager.Inquiry) stager.Advice {
			return stager.Advice{Step: inquiry.Step, Asked: inquiry.Workers}
		},
	})
	go made.Run(ctx)
	return made
}

// submit returns how a job was answered and after how long.
func submit(relayer *relayer.Relayer) (*coder.Refusal, time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	begun := time.Now()
	refusal := relayer.Submit(ctx, &messenger.StagedSubmitRequest{})
	return refusal, time.Since(begun)
}

func TestWithoutALeaderRequestsAreRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	relayer := start(ctx, c, "127.0.0.1:1")
	refusal, took := submit(relayer)
	c.Assert(refusal != nil, qt.IsTrue)
	c.Check(refusal.Code, qt.Equals, coder.NotServing, qt.Commentf("nothing was reached, so nothing ran"))
	c.Check(refusal.RetryAfter > 0, qt.IsTrue)
	c.Check(took < time.Second, qt.IsTrue, qt.Commentf("%s", took))
}

// TestASilentLeaderIsLeft has a leader freeze: connections stand, and nothing
// comes. Requests must not wait for it until their deadline.
func TestASilentLeaderIsLeft(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	leader := startLeader(ctx, c)
	relayer := start(ctx, c, leader.address)
	served := false
	for until := time.Now().Add(5 * time.Second); !served && time.Now().Before(until); {
		refusal, _ := submit(relayer)
		served = refusal == nil
	}
	c.Assert(served, qt.IsTrue)
	leader.silent.Store(true)
	time.Sleep(1500 * time.Millisecond)
	refusal, took := submit(relayer)
	c.Assert(refusal != nil, qt.IsTrue)
	c.Check(refusal.Code, qt.Equals, coder.Unknown, qt.Commentf("it may have taken the request"))
	c.Check(took < time.Second, qt.IsTrue, qt.Commentf("%s", took))
}

func TestQuestionsAreAskedAndAnswered(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	leader := startLeader(ctx, c)
	start(ctx, c, leader.address)
	step := stager.StepID{Job: "j"}
	leader.questions <- &messenger.Inquiring{Inquiry: stager.Inquiry{Step: step, Workers: []modeller.WorkerName{"w"}}}
	select {
	case advice := <-leader.advice:
		c.Check(advice.Step, qt.Equals, step)
	case <-time.After(5 * time.Second):
		c.Fatal("no advice came")
	}
}

// TestARequestWaitsOutAnElection loses the leader's process and brings another up
// after less than an election takes: who was refused at once came back later than
// that.
func TestARequestWaitsOutAnElection(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first, second := startLeader(ctx, c), startLeader(ctx, c)
	second.follows.Store(true)
	relayer := start(ctx, c, first.address)
	served := false
	for until := time.Now().Add(5 * time.Second); !served && time.Now().Before(until); {
		refusal, _ := submit(relayer)
		served = refusal == nil
	}
	c.Assert(served, qt.IsTrue)
	// A leader names the replicas to whoever attends it.
	first.questions <- &messenger.Inquiring{Replicas: []string{second.address}}
	time.Sleep(50 * time.Millisecond)
	first.server.Stop()
	time.AfterFunc(800*time.Millisecond, func() { second.follows.Store(false) })
	time.Sleep(50 * time.Millisecond)
	refusal, took := submit(relayer)
	c.Check(refusal == nil, qt.IsTrue, qt.Commentf("%v after %s", refusal, took))
}
