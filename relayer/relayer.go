// Package relayer owns how a process that is not the leader, or does not know
// whether it is, serves staged jobs: it passes requests on to the leader and
// asks advisers for it.
//
// It holds nothing. Each answer is the leader's own, so none is older than what
// the leader has committed, whichever process was asked.
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

// Config describes a Relayer.
type Config struct {
	Cell    modeller.CellName
	Name    string
	Locator *locator.Locator
	// Ask puts a question to an adviser. It is nil in a process that only
	// listens.
	Ask    func(context.Context, *stager.Inquiry) stager.Advice
	Logger log.Logger
}

// Relayer passes requests on. It is safe for concurrent use.
type Relayer struct {
	config  Config
	session atomic.Pointer[session]
}

// session is the time with one leader, or without any.
type session struct {
	// led ends when the leader is lost; nil while there is none.
	led context.Context
	// since is when the last leader was lost; zero if there was none yet.
	since time.Time
}

// New returns a relayer.
func New(config Config) *Relayer {
	relayer := &Relayer{config: config}
	relayer.session.Store(&session{})
	return relayer
}

const (
	// electionMost is how long after a lost leader a request waits for the next:
	// the longest silence after which a replica stands, 900 ms by the settings'
	// default, and the votes and the first commit behind it. A leader that is not
	// there by then may not come soon, so whoever asks is told to come back.
	electionMost = 1200 * time.Millisecond
	// leaderlessMost is how long a request waits at least: a leader may be there
	// that was not found yet.
	leaderlessMost = 300 * time.Millisecond
)

// bounded returns a context that ends some time after the leader is lost, so
// that a request waits out a usual election and is refused at once when the cell
// cannot elect.
func (relayer *Relayer) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	session := relayer.session.Load()
	if session.led == nil {
		return context.WithTimeout(ctx, max(leaderlessMost, time.Until(session.since.Add(electionMost))))
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(session.led, func() { time.AfterFunc(electionMost, cancel) })
	return ctx, func() {
		stop()
		cancel()
	}
}

func refusalOf(reply *messenger.StagedReply) *coder.Refusal { return reply.Refusal }

// Submit passes a job on.
func (relayer *Relayer) Submit(ctx context.Context, request *messenger.StagedSubmitRequest) *coder.Refusal {
	request.Cell = relayer.config.Cell
	ctx, cancel := relayer.bounded(ctx)
	defer cancel()
	_, refusal := locator.Ask(ctx, relayer.config.Locator, messenger.CellClient.StagedSubmit, refusalOf, request)
	return refusal
}

// Job passes a question about a job or queue on.
func (relayer *Relayer) Job(ctx context.Context, place messenger.Place, question messenger.JobQuestion) (*messenger.StagedReply, *coder.Refusal) {
	ctx, cancel := relayer.bounded(ctx)
	defer cancel()
	request := &messenger.StagedJobRequest{Cell: relayer.config.Cell, Place: place, Question: question}
	return locator.Ask(ctx, relayer.config.Locator, messenger.CellClient.StagedJob, refusalOf, request)
}

// Deploy passes a deployment on.
func (relayer *Relayer) Deploy(ctx context.Context, deployment *stager.Deployment) *coder.Refusal {
	request := &messenger.DeployRequest{Cell: relayer.config.Cell, Deployment: *deployment}
	_, refusal := locator.Ask(ctx, relayer.config.Locator, messenger.CellClient.Deploy, refusalOf, request)
	return refusal
}

// Deployed returns the newest deployment.
func (relayer *Relayer) Deployed(ctx context.Context) (*messenger.DeployedReply, *coder.Refusal) {
	return locator.Ask(ctx, relayer.config.Locator, messenger.CellClient.Deployed,
		func(reply *messenger.DeployedReply) *coder.Refusal { return reply.Refusal }, &messenger.DeployedRequest{Cell: relayer.config.Cell})
}

// Announce passes on what a worker says of itself, or that it has ended.
func (relayer *Relayer) Announce(ctx context.Context, announcement *stager.Announcement, gone bool) *coder.Refusal {
	request := &messenger.AnnounceRequest{Cell: relayer.config.Cell, Announcement: *announcement, Gone: gone}
	_, refusal := locator.Ask(ctx, relayer.config.Locator, messenger.CellClient.Announce, refusalOf, request)
	return refusal
}

// Wave starts an upkeep wave, or asks for one if it is nil.
func (relayer *Relayer) Wave(ctx context.Context, number uint64, wave *stager.Wave) (bool, *coder.Refusal) {
	request := &messenger.WaveRequest{Cell: relayer.config.Cell, Number: number, Start: wave}
	reply, refusal := locator.Ask(ctx, relayer.config.Locator, messenger.CellClient.Wave,
		func(reply *messenger.WaveReply) *coder.Refusal { return reply.Refusal }, request)
	if refusal != nil {
		return false, refusal
	}
	return reply.Completed, nil
}

// TryMost bounds one try at a replica, for the Locator of a Relayer: callers of
// staged jobs wait for about three seconds in all.
const TryMost = 700 * time.Millisecond

// PauseMost bounds the pause between two rounds over the replicas: a new leader is
// there within a second, and who finds it late refuses what could be served.
const PauseMost = 100 * time.Millisecond

const (
	// sessionPause is how long after a lost leader the next is looked for.
	sessionPause = 100 * time.Millisecond
	// silenceMost is how long a leader may say nothing: four of the intervals at
	// which it does.
	silenceMost = time.Second
	// adviseTimeout bounds the passing on of an adviser's answer.
	adviseTimeout = 2 * time.Second
)

// Run stays with the leader, whoever that is, and asks advisers for it, until
// the context ends.
func (relayer *Relayer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		client, err := relayer.config.Locator.Leader(ctx, relayer.config.Cell)
		if err == nil {
			logger.Info(relayer.config.Logger, "leader found")
			err = relayer.attend(ctx, client)
		}
		if err != nil && ctx.Err() == nil {
			logger.Warn(relayer.config.Logger, "leader lost", "Error", err.Error())
		}
		select {
		case <-ctx.Done():
		case <-time.After(sessionPause):
		}
	}
}

// attend takes the leader's questions until the way to it is lost. A leader that
// is silent is left, since a cut or a freeze breaks no connection.
func (relayer *Relayer) attend(ctx context.Context, client messenger.CellClient) error {
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	relayer.session.Store(&session{led: streamCtx})
	defer func() { relayer.session.Store(&session{since: time.Now()}) }()
	silence := time.AfterFunc(silenceMost, func() {
		relayer.config.Locator.Doubt(client)
		cancel()
	})
	defer silence.Stop()
	request := &messenger.InquiriesRequest{Cell: relayer.config.Cell, Entry: relayer.config.Name, Listens: relayer.config.Ask == nil}
	return client.Inquiries(streamCtx, request, func(message *messenger.Inquiring) error {
		silence.Reset(silenceMost)
		if len(message.Replicas) > 0 {
			relayer.config.Locator.SetAddresses(message.Replicas)
		}
		if len(message.Inquiry.Workers) > 0 && relayer.config.Ask != nil {
			go relayer.inquire(ctx, &message.Inquiry)
		}
		return nil
	})
}

func (relayer *Relayer) inquire(ctx context.Context, inquiry *stager.Inquiry) {
	advice := relayer.config.Ask(ctx, inquiry)
	ctx, cancel := context.WithTimeout(ctx, adviseTimeout)
	defer cancel()
	request := &messenger.AdviseRequest{Cell: relayer.config.Cell, Advice: advice}
	if _, refusal := locator.Ask(ctx, relayer.config.Locator, messenger.CellClient.Advise, refusalOf, request); refusal != nil {
		logger.Warn(relayer.config.Logger, "advice not passed on", "Step", inquiry.Step.String(), "Error", refusal.Error())
	}
}
