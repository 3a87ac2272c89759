package relayer_test

import (
	"context"
	"net"
	"sync"
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
	// delay is how long the replica takes to reply to a submission, in nanoseconds;
	// submissions and queries count the calls.
	delay, submissions, queries atomic.Int64
	// follower is true while the replica does not lead.
	follower atomic.Bool
	// answer, if set, is the refusal of submissions; resent counts those that were marked
	// as sent before.
	answer atomic.Pointer[coder.Refusal]
	resent atomic.Int64
	// inquiries are sent to the relayer that follows the leader.
	inquiries chan *messenger.InquiryMessage
	advice    chan stager.Advice
	// announced holds the requests with announcements.
	announced chan []stager.Announcement
	server    *grpc.Server
}

func startReplica(ctx context.Context, c *qt.C) *replica {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	replica := &replica{address: listener.Addr().String(), inquiries: make(chan *messenger.InquiryMessage, 1), advice: make(chan stager.Advice, 1), announced: make(chan []stager.Announcement, 10)}
	server := messenger.NewServer(nil)
	replica.server = server
	(&messenger.CellServer{
		Query: func(ctx context.Context, _ *messenger.QueryRequest) (*messenger.QueryReply, error) {
			replica.queries.Add(1)
			return &messenger.QueryReply{Refusal: replica.refusal()}, replica.waitIfUnresponsive(ctx)
		},
		Staged: messenger.StagedServer{
			Submit: func(ctx context.Context, request *messenger.StagedSubmitRequest) (*messenger.StagedReply, error) {
				replica.submissions.Add(1)
				if request.Resent {
					replica.resent.Add(1)
				}
				time.Sleep(time.Duration(replica.delay.Load()))
				refusal := replica.refusal()
				if refusal == nil {
					refusal = replica.answer.Load()
				}
				return &messenger.StagedReply{Refusal: refusal}, replica.waitIfUnresponsive(ctx)
			},
			Advise: func(_ context.Context, request *messenger.AdviseRequest) (*messenger.StagedReply, error) {
				replica.advice <- request.Advice
				return &messenger.StagedReply{}, nil
			},
			AnnounceAll: func(_ context.Context, request *messenger.AnnounceAllRequest) (*messenger.AnnounceAllReply, error) {
				replica.announced <- request.Announcements
				return &messenger.AnnounceAllReply{Refusals: make([]*coder.Refusal, len(request.Announcements))}, nil
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
	leaderLocator := locator.New(locator.Config{Addresses: []string{address}})
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

// awaitServed submits jobs until one is served.
func awaitServed(c *qt.C, relayer *relayer.Relayer) {
	served := false
	for until := time.Now().Add(5 * time.Second); !served && time.Now().Before(until); {
		refusal, _ := submit(relayer)
		served = refusal == nil
	}
	c.Assert(served, qt.IsTrue)
}

// TestUnresponsiveLeaderIsAbandoned freezes the leader, with its connections open.
// Requests must not wait for it until their deadline. One that was sent to it may
// have been accepted; one that comes later is sent to nobody.
func TestUnresponsiveLeaderIsAbandoned(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	leader := startReplica(ctx, c)
	relayer := startRelayer(ctx, c, leader.address)
	awaitServed(c, relayer)
	leader.unresponsive.Store(true)
	refusal, elapsed := submit(relayer)
	c.Assert(refusal != nil, qt.IsTrue)
	c.Check(refusal.Code, qt.Equals, coder.Unknown, qt.Commentf("the leader may have accepted the request"))
	c.Check(elapsed < 2500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", elapsed))
	refusal, elapsed = submit(relayer)
	c.Assert(refusal != nil, qt.IsTrue)
	c.Check(refusal.Code, qt.Equals, coder.NotServing, qt.Commentf("no replica received the request"))
	c.Check(elapsed < time.Second, qt.IsTrue, qt.Commentf("%s", elapsed))
}

// TestALeaderThatFellSilentEarlierIsAbandoned submits the first request 1.5 s after the
// leader froze. It must not be told that nobody received it if the leader did.
func TestALeaderThatFellSilentEarlierIsAbandoned(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	leader := startReplica(ctx, c)
	relayer := startRelayer(ctx, c, leader.address)
	awaitServed(c, relayer)
	leader.unresponsive.Store(true)
	time.Sleep(1500 * time.Millisecond)
	leader.submissions.Store(0)
	refusal, elapsed := submit(relayer)
	c.Assert(refusal != nil, qt.IsTrue)
	want := coder.NotServing
	if leader.submissions.Load() > 0 {
		want = coder.Unknown
	}
	c.Check(refusal.Code, qt.Equals, want, qt.Commentf("%d submissions reached the leader", leader.submissions.Load()))
	c.Check(elapsed < time.Second, qt.IsTrue, qt.Commentf("%s", elapsed))
}

// TestARefusalAfterALostTryIsNotFinal guards against a rejection of a job that runs: the
// leader receives a submission and falls silent, a key or queue is removed meanwhile, and
// the leader refuses the second try for that. What follows from the content of the
// request held for the first try too.
func TestARefusalAfterALostTryIsNotFinal(t *testing.T) {
	for code, want := range map[coder.Code]coder.Code{
		coder.WrongKey: coder.Unknown, coder.MissingKey: coder.Unknown, coder.UnknownQueue: coder.Unknown, coder.Overloaded: coder.Unknown,
		coder.Malformed: coder.Malformed,
	} {
		t.Run(code.String(), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			refusal, leader := submitTwice(c, coder.Refuse(code, "refused"))
			c.Assert(refusal != nil, qt.IsTrue)
			c.Check(refusal.Code, qt.Equals, want)
			c.Check(leader.resent.Load(), qt.Equals, int64(1))
		})
	}
}

// TestALostAnswerIsGivenByTheSecondTry guards against Unknown where the leader knows that
// the first try was accepted.
func TestALostAnswerIsGivenByTheSecondTry(t *testing.T) {
	c := qt.New(t)
	refusal, leader := submitTwice(c, nil)
	c.Check(refusal == nil, qt.IsTrue, qt.Commentf("%v", refusal))
	c.Check(leader.resent.Load(), qt.Equals, int64(1))
}

// submitTwice submits a job whose first try gets no answer and whose second gets the given
// one. It returns the refusal that the caller gets.
func submitTwice(c *qt.C, answer *coder.Refusal) (*coder.Refusal, *replica) {
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	leader := startReplica(ctx, c)
	relayer := startRelayer(ctx, c, leader.address)
	awaitServed(c, relayer)
	leader.submissions.Store(0)
	leader.unresponsive.Store(true)
	submitCtx, cancelSubmit := context.WithTimeout(ctx, 20*time.Second)
	defer cancelSubmit()
	refusals := make(chan *coder.Refusal, 1)
	go func() { refusals <- relayer.Submit(submitCtx, &messenger.StagedSubmitRequest{}) }()
	// Queries are made by the search for a leader, which begins when the first try is lost.
	queries := leader.queries.Load()
	for submitCtx.Err() == nil && (leader.submissions.Load() == 0 || leader.queries.Load() == queries) {
		time.Sleep(time.Millisecond)
	}
	leader.answer.Store(answer)
	leader.unresponsive.Store(false)
	return <-refusals, leader
}

// TestASlowLeaderGetsARequestOnce has a leader that takes longer than its heartbeat
// timeout to decide. A request that came again meanwhile would add to the load that
// makes the leader slow.
func TestASlowLeaderGetsARequestOnce(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	leader := startReplica(ctx, c)
	relayer := startRelayer(ctx, c, leader.address)
	awaitServed(c, relayer)
	leader.submissions.Store(0)
	leader.delay.Store(int64(1500 * time.Millisecond))
	refusal, _ := submit(relayer)
	c.Check(refusal == nil, qt.IsTrue, qt.Commentf("%v", refusal))
	c.Check(leader.submissions.Load(), qt.Equals, int64(1))
}

// TestWaitingRequestsShareOneSearch lets 300 requests wait while no replica leads.
// They must cost the replicas no more calls than the one search, which asks at most
// every 15 ms, whatever their number.
func TestWaitingRequestsShareOneSearch(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	follower := startReplica(ctx, c)
	follower.follower.Store(true)
	relayer := startRelayer(ctx, c, follower.address)
	startedAt := time.Now()
	var group sync.WaitGroup
	for range 300 {
		group.Go(func() { _, _ = submit(relayer) })
	}
	group.Wait()
	c.Check(follower.submissions.Load(), qt.Equals, int64(0))
	c.Check(follower.queries.Load() <= int64(time.Since(startedAt)/(15*time.Millisecond))+1, qt.IsTrue, qt.Commentf("%d queries", follower.queries.Load()))
}

// TestASilentConnectionIsReplaced makes the open connection to the leader silent for
// good, as a lost path does, while new connections work.
func TestASilentConnectionIsReplaced(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	leader := startReplica(ctx, c)
	path := startPath(ctx, c, leader.address)
	relayer := startRelayer(ctx, c, path.address)
	awaitServed(c, relayer)
	path.silence()
	startedAt := time.Now()
	awaitServed(c, relayer)
	c.Check(time.Since(startedAt) < 4*time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(startedAt)))
}

// path forwards TCP connections to a replica until they are made silent.
type path struct {
	address string
	mutex   sync.Mutex
	// silent holds, for each open connection, whether its bytes are dropped.
	silent []*atomic.Bool
}

func startPath(ctx context.Context, c *qt.C, target string) *path {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	path := &path{address: listener.Addr().String()}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := (&net.Dialer{}).DialContext(ctx, "tcp", target)
			if err != nil {
				_ = near.Close()
				continue
			}
			silent := new(atomic.Bool)
			path.mutex.Lock()
			path.silent = append(path.silent, silent)
			path.mutex.Unlock()
			go forwardBytes(near, far, silent)
			go forwardBytes(far, near, silent)
		}
	}()
	return path
}

// silence drops all further bytes of the connections that are open now.
func (path *path) silence() {
	path.mutex.Lock()
	defer path.mutex.Unlock()
	for _, silent := range path.silent {
		silent.Store(true)
	}
}

func forwardBytes(from, to net.Conn, silent *atomic.Bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 4096)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		if silent.Load() {
			continue
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
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
	awaitServed(c, relayer)
	// A leader sends the addresses of the replicas to the relayers that follow it.
	first.inquiries <- &messenger.InquiryMessage{Replicas: []string{second.address}}
	time.Sleep(50 * time.Millisecond)
	first.server.Stop()
	time.AfterFunc(800*time.Millisecond, func() { second.follower.Store(false) })
	time.Sleep(50 * time.Millisecond)
	refusal, elapsed := submit(relayer)
	c.Check(refusal == nil, qt.IsTrue, qt.Commentf("%v after %s", refusal, elapsed))
}

// TestAnEndIsNotHeldForABatch guards against tasks of an ended worker that wait until the
// heartbeats of other workers have been gathered.
func TestAnEndIsNotHeldForABatch(t *testing.T) {
	c := qt.New(t)
	leader := startReplica(t.Context(), c)
	relayer := startRelayer(t.Context(), c, leader.address)
	awaitServed(c, relayer)
	heartbeatDone := make(chan struct{})
	go func() {
		defer close(heartbeatDone)
		c.Check(relayer.Announce(t.Context(), &stager.Announcement{Worker: stager.Worker{Name: "w1"}, Number: 1}) == nil, qt.IsTrue)
	}()
	time.Sleep(5 * time.Millisecond)
	c.Check(relayer.Announce(t.Context(), &stager.Announcement{Worker: stager.Worker{Name: "w0", Life: 1}, Gone: true}) == nil, qt.IsTrue)
	<-heartbeatDone
	c.Assert(leader.announced, qt.HasLen, 2)
	c.Check(<-leader.announced, qt.HasLen, 1)
	c.Check(<-leader.announced, qt.HasLen, 1)
}
