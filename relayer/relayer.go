// Package relayer serves staged jobs in a process that is not the leader or does
// not know whether it is: it forwards requests to the leader, and sends the leader's
// inquiries to an adviser.
//
// A Relayer caches no replies. Each reply is the leader's own, so that none is older
// than what the leader has committed, whichever process was asked. Finding the
// leader is left to package locator, batching of heartbeats to package gatherer.
//
// Methods return a refusal instead of an error. Its code states whether the request
// may have been accepted: with coder.Unknown it may, for example because the leader
// failed before it replied.
package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/gatherer"
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
	// Clock is a monotonic clock that also advances while the VM is suspended. If it is
	// nil, the kernel's is used.
	Clock func() time.Duration
	// Metrics counts the jobs that are refused without asking the leader; it may be nil.
	Metrics *metrics.Set
}

// Relayer forwards requests to the leader. It is safe for concurrent use.
type Relayer struct {
	config     Config
	heartbeats *gatherer.Gatherer[stager.Announcement, *coder.Refusal]

	mutex sync.Mutex
	// session is nil while no leader is known.
	session *session
	// sessionBegun is closed when the next session begins.
	sessionBegun chan struct{}
	// lostAt is when the last leader was lost; it is zero if none has been found yet.
	lostAt time.Time
}

// Limits of the requests that carry the heartbeats of several workers. Workers wait
// for their acknowledgements for a second.
const (
	heartbeatBatchWait    = 50 * time.Millisecond
	maxHeartbeatBatch     = 128
	heartbeatBatchTimeout = 900 * time.Millisecond
)

// New returns a Relayer that knows no leader until Run is called.
func New(config Config) *Relayer {
	if config.Clock == nil {
		config.Clock = bootTime
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewSet()
	}
	relayer := &Relayer{config: config, sessionBegun: make(chan struct{})}
	relayer.heartbeats = gatherer.New(gatherer.Config[stager.Announcement, *coder.Refusal]{
		Wait: heartbeatBatchWait, MaxBatch: maxHeartbeatBatch, Timeout: heartbeatBatchTimeout, Send: relayer.sendHeartbeats,
	})
	return relayer
}

func refusalOf(reply *messenger.StagedReply) *coder.Refusal { return reply.Refusal }

// Submit forwards a job, unless the leader's forecast refuses it beyond doubt. It sets
// the request's Cell.
func (relayer *Relayer) Submit(ctx context.Context, request *messenger.StagedSubmitRequest) *coder.Refusal {
	request.Cell = relayer.config.Cell
	if refusal := relayer.refuseByForecast(request); refusal != nil {
		return refusal
	}
	_, refusal := forward(ctx, relayer, true, messenger.CellClient.StagedSubmit, refusalOf, request,
		func(request *messenger.StagedSubmitRequest) { request.Resent = true })
	return refusal
}

// Job forwards an operation on a job or queue.
func (relayer *Relayer) Job(ctx context.Context, requestRoute messenger.RequestRoute, jobOperation messenger.JobOperation) (*messenger.StagedReply, *coder.Refusal) {
	request := &messenger.StagedJobRequest{Cell: relayer.config.Cell, Place: requestRoute, Question: jobOperation}
	return forward(ctx, relayer, true, messenger.CellClient.StagedJob, refusalOf, request, nil)
}

// Deploy forwards a deployment. It waits for a leader until the context ends.
func (relayer *Relayer) Deploy(ctx context.Context, deployment *stager.Deployment) *coder.Refusal {
	request := &messenger.DeployRequest{Cell: relayer.config.Cell, Deployment: *deployment}
	_, refusal := forward(ctx, relayer, false, messenger.CellClient.Deploy, refusalOf, request, nil)
	return refusal
}

// Deployed returns the newest deployment that the leader has committed.
func (relayer *Relayer) Deployed(ctx context.Context) (*messenger.DeployedReply, *coder.Refusal) {
	return forward(ctx, relayer, false, messenger.CellClient.Deployed,
		func(reply *messenger.DeployedReply) *coder.Refusal { return reply.Refusal }, &messenger.DeployedRequest{Cell: relayer.config.Cell}, nil)
}

// Announce forwards a worker's heartbeat, or that the worker has ended. Heartbeats that
// arrive within a short time share a request. An end is forwarded at once, since the
// worker's tasks wait for it.
func (relayer *Relayer) Announce(ctx context.Context, announcement *stager.Announcement) *coder.Refusal {
	if announcement.Gone {
		refusals, refusal := relayer.sendHeartbeats(ctx, []stager.Announcement{*announcement})
		if refusal == nil && len(refusals) != 1 {
			refusal = coder.Refuse(coder.Internal, "the end of a worker got %d answers", len(refusals))
		}
		if refusal != nil {
			return refusal
		}
		return refusals[0]
	}
	answer, refusal := relayer.heartbeats.Beat(ctx, announcement)
	if refusal != nil {
		return refusal
	}
	return *answer
}

// sendHeartbeats forwards announcements and returns the leader's refusal, or nil,
// for each.
func (relayer *Relayer) sendHeartbeats(ctx context.Context, announcements []stager.Announcement) ([]*coder.Refusal, *coder.Refusal) {
	request := &messenger.AnnounceAllRequest{Cell: relayer.config.Cell, Announcements: announcements}
	reply, refusal := forward(ctx, relayer, false, messenger.CellClient.AnnounceAll, func(reply *messenger.AnnounceAllReply) *coder.Refusal { return reply.Refusal }, request, nil)
	if refusal != nil {
		return nil, refusal
	}
	return reply.Refusals, nil
}

// Wave starts a maintenance wave, or queries the one with the number if wave is nil.
// It reports whether the wave is completed.
func (relayer *Relayer) Wave(ctx context.Context, number uint64, wave *stager.Wave) (bool, *coder.Refusal) {
	request := &messenger.WaveRequest{Cell: relayer.config.Cell, Number: number, Start: wave}
	reply, refusal := forward(ctx, relayer, false, messenger.CellClient.Wave,
		func(reply *messenger.WaveReply) *coder.Refusal { return reply.Refusal }, request, nil)
	if refusal != nil {
		return false, refusal
	}
	return reply.Completed, nil
}

// Evacuate takes a data centre out of service, or puts it back. It waits for a leader
// until the context ends.
func (relayer *Relayer) Evacuate(ctx context.Context, evacuate *stager.Evacuate) *coder.Refusal {
	request := &messenger.EvacuateRequest{Cell: relayer.config.Cell, Evacuate: *evacuate}
	_, refusal := forward(ctx, relayer, false, messenger.CellClient.Evacuate, refusalOf, request, nil)
	return refusal
}

// adviceTimeout bounds the forwarding of an adviser's answer to the leader.
const adviceTimeout = 2 * time.Second

// answerInquiry asks the adviser and forwards its advice to the leader.
func (relayer *Relayer) answerInquiry(ctx context.Context, inquiry *stager.Inquiry) {
	advice := relayer.config.Ask(ctx, inquiry)
	ctx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	request := &messenger.AdviseRequest{Cell: relayer.config.Cell, Advice: advice}
	if _, refusal := forward(ctx, relayer, false, messenger.CellClient.Advise, refusalOf, request, nil); refusal != nil {
		logger.Warn(relayer.config.Logger, "advice not forwarded to the leader", "Step", inquiry.Step.String(), "Error", refusal.Error())
	}
}
