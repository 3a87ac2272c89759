// Package gatherer batches the heartbeats that reach an entry within a short
// time into one request to the leader.
//
// Each heartbeat waits at most Config.Wait for others, and gets its own answer
// or the refusal of its batch. A batch may hold two heartbeats of one worker;
// the leader decides how to handle them.
package gatherer

import (
	"context"
	"time"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/messenger"
)

// Config describes a Gatherer.
type Config struct {
	// Wait is how long the first heartbeat of a batch waits for others.
	Wait time.Duration
	// MaxBatch is the maximum number of heartbeats in one request.
	MaxBatch int
	// Timeout is the deadline of one request.
	Timeout time.Duration
	// Send sends heartbeats to the leader and returns one answer for each, in
	// the same order.
	Send func(ctx context.Context, heartbeats []messenger.Heartbeat) ([]messenger.HeartbeatAnswer, *coder.Refusal)
}

// Gatherer batches heartbeats. It is safe for concurrent use.
type Gatherer struct {
	config Config
	queue  chan *pendingHeartbeat
}

// pendingHeartbeat is a heartbeat that waits for its answer.
type pendingHeartbeat struct {
	heartbeat *messenger.Heartbeat
	result    chan heartbeatResult
}

type heartbeatResult struct {
	answer  *messenger.HeartbeatAnswer
	refusal *coder.Refusal
}

// New returns a gatherer. Heartbeats are answered only while Run is running.
func New(config Config) *Gatherer {
	return &Gatherer{config: config, queue: make(chan *pendingHeartbeat, config.MaxBatch)}
}

// Beat sends a heartbeat to the leader in the next batch and returns its answer.
// When the context ends, the refusal is Overloaded if the heartbeat was not
// queued yet, and Unknown if it was.
func (gatherer *Gatherer) Beat(ctx context.Context, heartbeat *messenger.Heartbeat) (*messenger.HeartbeatAnswer, *coder.Refusal) {
	queued := &pendingHeartbeat{heartbeat: heartbeat, result: make(chan heartbeatResult, 1)}
	select {
	case gatherer.queue <- queued:
	case <-ctx.Done():
		return nil, coder.Refuse(coder.Overloaded, "the heartbeat was not queued before the deadline")
	}
	select {
	case result := <-queued.result:
		return result.answer, result.refusal
	case <-ctx.Done():
		return nil, coder.Refuse(coder.Unknown, "the heartbeat was not answered before the deadline")
	}
}

// Run batches and sends heartbeats until the context ends.
func (gatherer *Gatherer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-gatherer.queue:
			go gatherer.send(ctx, gatherer.collect(ctx, first))
		}
	}
}

// collect returns a batch of the first heartbeat and those that arrive within
// the wait, up to the maximum.
func (gatherer *Gatherer) collect(ctx context.Context, first *pendingHeartbeat) []*pendingHeartbeat {
	batch := []*pendingHeartbeat{first}
	timer := time.NewTimer(gatherer.config.Wait)
	defer timer.Stop()
	for len(batch) < gatherer.config.MaxBatch {
		select {
		case <-ctx.Done():
			return batch
		case <-timer.C:
			return batch
		case next := <-gatherer.queue:
			batch = append(batch, next)
		}
	}
	return batch
}

func (gatherer *Gatherer) send(ctx context.Context, batch []*pendingHeartbeat) {
	ctx, cancel := context.WithTimeout(ctx, gatherer.config.Timeout)
	defer cancel()
	heartbeats := make([]messenger.Heartbeat, len(batch))
	for index := range batch {
		heartbeats[index] = *batch[index].heartbeat
	}
	answers, refusal := gatherer.config.Send(ctx, heartbeats)
	if refusal == nil && len(answers) != len(heartbeats) {
		refusal = coder.Refuse(coder.Internal, "%d heartbeats got %d answers", len(heartbeats), len(answers))
	}
	for index := range batch {
		if refusal != nil {
			batch[index].result <- heartbeatResult{refusal: refusal}
			continue
		}
		batch[index].result <- heartbeatResult{answer: &answers[index]}
	}
}
