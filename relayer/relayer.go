// Package relayer serves staged jobs in a process that is not the leader or does
// not know whether it is: it forwards requests to the leader, and sends the leader's
// inquiries to an adviser.
//
// A Relayer caches no replies. Each reply is the leader's own, so that none is older
// than what the leader has committed, whichever process was asked. Finding the
// leader and retrying other replicas is left to package locator.
//
// Methods return a refusal instead of an error. Its code states whether the request
// may have been accepted: with coder.Unknown it may, for example because the leader
// failed before it replied.
package relayer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/locator"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// Config configures a Relayer.
type Config struct {
	Cell    modeller.CellName
	Name    string
	Locator *locator.Locator
	// Ask sends an inquiry to an adviser. It is nil in a process without an
	// adviser, which only follows the leader and its list of replicas.
	Ask    func(context.Context, *stager.Inquiry) stager.Advice
	Logger log.Logger
}

// Relayer forwards requests to the leader. It is safe for concurrent use.
type Relayer struct {
	config  Config
	session atomic.Pointer[session]
}

// session describes a period with one leader or with none.
type session struct {
	// leaderCtx ends when the leader is lost; it is nil in a period without a leader.
	leaderCtx context.Context
	// lostAt is when the last leader was lost; it is zero if none has been found yet.
	lostAt time.Time
}

// New returns a Relayer that knows no leader until Run is called.
func New(config Config) *Relayer {
	relayer := &Relayer{config: config}
	relayer.session.Store(&session{})
	return relayer
}

const (
	// maxElectionWait is how long after the loss of a leader a request waits for
	// the next one. It covers the longest election timeout, 900 ms with default
	// settings, the votes and the new leader's first commit. After that an election
	// may take long, so the client is told to retry later.
	maxElectionWait = 1200 * time.Millisecond
	// minLeaderWait is how long a request waits at least, since there may be a
	// leader that this process has not found yet.
	minLeaderWait = 300 * time.Millisecond
)

// withLeaderTimeout returns a context that ends maxElectionWait after the loss of
// the leader. A request thus waits for the end of a usual election, but is refused
// soon while the cell cannot elect a leader.
func (relayer *Relayer) withLeaderTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	session := relayer.session.Load()
	if session.leaderCtx == nil {
		return context.WithTimeout(ctx, max(minLeaderWait, time.Until(session.lostAt.Add(maxElectionWait))))
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(session.leaderCtx, func() { time.AfterFunc(maxElectionWait, cancel) })
	return ctx, func() {
		stop()
		cancel()
	}
}

func refusalOf(reply *messenger.StagedReply) *coder.Refusal { return reply.Refusal }

// Submit forwards a job. It sets the request's Cell.
func (relayer *Relayer) Submit(ctx context.Context, request *messenger.StagedSubmitRequest) *coder.Refusal {
	request.Cell = relayer.config.Cell
	ctx, cancel := relayer.withLeaderTimeout(ctx)
	defer cancel()
	_, refusal := locator.Ask(ctx, relayer.config.Locator, messenger.CellClient.StagedSubmit, refusalOf, request)
	return refusal
}

// Job forwards an operation on a job or queue.
func (relayer *Relayer) Job(ctx context.Context, requestRoute messenger.RequestRoute, jobOperation messenger.JobOperation) (*messenger.StagedReply, *coder.Refusal) {
	ctx, cancel := relayer.withLeaderTimeout(ctx)
	defer cancel()
	request := &messenger.StagedJobRequest{Cell: relayer.config.Cell, Place: requestRoute, Question: jobOperation}
	return locator.Ask(ctx, relayer.config.Locator, messenger.CellClient.StagedJob, refusalOf, request)
}

// Deploy forwards a deployment. It waits for a leader until the context ends.
func (relayer *Relayer) Deploy(ctx context.Context, deployment *stager.Deployment) *coder.Refusal {
	request := &messenger.DeployRequest{Cell: relayer.config.Cell, Deployment: *deployment}
	_, refusal := locator.Ask(ctx, relayer.config.Locator, messenger.CellClient.Deploy, refusalOf, request)
	return refusal
}

// Deployed returns the newest deployment that the leader has committed.
func (relayer *Relayer) Deployed(ctx context.Context) (*messenger.DeployedReply, *coder.Refusal) {
	return locator.Ask(ctx, relayer.config.Locator, messenger.CellClient.Deployed,
		func(reply *messenger.DeployedReply) *coder.Refusal { return reply.Refusal }, &messenger.DeployedRequest{Cell: relayer.config.Cell})
}

// Announce forwards a worker's heartbeat, or, if gone is true, that the worker has
// ended.
func (relayer *Relayer) Announce(ctx context.Context, announcement *stager.Announcement, gone bool) *coder.Refusal {
	request := &messenger.AnnounceRequest{Cell: relayer.config.Cell, Announcement: *announcement, Gone: gone}
	_, refusal := locator.Ask(ctx, relayer.config.Locator, messenger.CellClient.Announce, refusalOf, request)
	return refusal
}

// Wave starts a maintenance wave, or queries the one with the number if wave is nil.
// It reports whether the wave is completed.
func (relayer *Relayer) Wave(ctx context.Context, number uint64, wave *stager.Wave) (bool, *coder.Refusal) {
	request := &messenger.WaveRequest{Cell: relayer.config.Cell, Number: number, Start: wave}
	reply, refusal := locator.Ask(ctx, relayer.config.Locator, messenger.CellClient.Wave,
		func(reply *messenger.WaveReply) *coder.Refusal { return reply.Refusal }, request)
	if refusal != nil {
		return false, refusal
	}
	return reply.Completed, nil
}

// TryTimeout bounds one call to a replica, for the Locator of a Relayer. It leaves
// time for other replicas: clients of staged jobs wait for about three seconds in
// all.
const TryTimeout = 700 * time.Millisecond

// MaxBackoff bounds the delay between two rounds over the replicas, for the Locator
// of a Relayer. A new leader is usually elected within a second, and a process that
// finds it late refuses requests that could be served.
const MaxBackoff = 100 * time.Millisecond

const (
	// leaderRetryDelay is the delay between the loss of a leader and the search for
	// the next.
	leaderRetryDelay = 100 * time.Millisecond
	// leaderTimeout is how long a leader may send no message: four of its heartbeat
	// intervals.
	leaderTimeout = time.Second
	// adviceTimeout bounds the forwarding of an adviser's answer to the leader.
	adviceTimeout = 2 * time.Second
)

// Run follows whichever replica leads and answers its inquiries, until the context
// ends.
func (relayer *Relayer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		client, err := relayer.config.Locator.Leader(ctx, relayer.config.Cell)
		if err == nil {
			logger.Info(relayer.config.Logger, "leader found")
			err = relayer.followLeader(ctx, client)
		}
		if err != nil && ctx.Err() == nil {
			logger.Warn(relayer.config.Logger, "leader lost", "Error", err.Error())
		}
		select {
		case <-ctx.Done():
		case <-time.After(leaderRetryDelay):
		}
	}
}

// followLeader receives the leader's messages until the stream ends: inquiries, and
// the addresses of the replicas. It abandons a leader that sends nothing for
// leaderTimeout, since a network cut or a frozen process breaks no connection.
func (relayer *Relayer) followLeader(ctx context.Context, client messenger.CellClient) error {
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	relayer.session.Store(&session{leaderCtx: streamCtx})
	defer func() { relayer.session.Store(&session{lostAt: time.Now()}) }()
	inactivityTimer := time.AfterFunc(leaderTimeout, func() {
		relayer.config.Locator.MarkUnresponsive(client)
		cancel()
	})
	defer inactivityTimer.Stop()
	request := &messenger.InquiriesRequest{Cell: relayer.config.Cell, Entry: relayer.config.Name, Listens: relayer.config.Ask == nil}
	return client.Inquiries(streamCtx, request, func(message *messenger.InquiryMessage) error {
		inactivityTimer.Reset(leaderTimeout)
		if len(message.Replicas) > 0 {
			relayer.config.Locator.SetAddresses(message.Replicas)
		}
		if len(message.Inquiry.Workers) > 0 && relayer.config.Ask != nil {
			go relayer.answerInquiry(ctx, &message.Inquiry)
		}
		return nil
	})
}

// answerInquiry asks the adviser and forwards its advice to the leader.
func (relayer *Relayer) answerInquiry(ctx context.Context, inquiry *stager.Inquiry) {
	advice := relayer.config.Ask(ctx, inquiry)
	ctx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	request := &messenger.AdviseRequest{Cell: relayer.config.Cell, Advice: advice}
	if _, refusal := locator.Ask(ctx, relayer.config.Locator, messenger.CellClient.Advise, refusalOf, request); refusal != nil {
		logger.Warn(relayer.config.Logger, "advice not forwarded to the leader", "Step", inquiry.Step.String(), "Error", refusal.Error())
	}
}
