// Package gatherer batches the heartbeats that reach a process within a short
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
)

// Config describes a Gatherer.
type Config[Heartbeat, Answer any] struct {
	// Wait is how long the first heartbeat of a batch waits for others.
	Wait time.Duration
	// MaxBatch is the maximum number of heartbeats in one request.
	MaxBatch int
	// Timeout is the deadline of one request.
	Timeout time.Duration
	// Send sends heartbeats to the leader and returns one answer for each, in
	// the same order.
	Send func(ctx context.Context, heartbeats []Heartbeat) ([]Answer, *coder.Refusal)
}

// Gatherer batches heartbeats. It is safe for concurrent use.
type Gatherer[Heartbeat, Answer any] struct {
	config Config[Heartbeat, Answer]
	queue  chan *pendingHeartbeat[Heartbeat, Answer]
}

// pendingHeartbeat is a heartbeat that waits for its answer.
type pendingHeartbeat[Heartbeat, Answer any] struct {
	heartbeat *Heartbeat
	result    chan heartbeatResult[Answer]
}

type heartbeatResult[Answer any] struct {
	answer  *Answer
	refusal *coder.Refusal
}

// New returns a gatherer. Heartbeats are answered only while Run is running.
func New[Heartbeat, Answer any](config Config[Heartbeat, Answer]) *Gatherer[Heartbeat, Answer] {
	return &Gatherer[Heartbeat, Answer]{config: config, queue: make(chan *pendingHeartbeat[Heartbeat, Answer], config.MaxBatch)}
}

// Beat sends a heartbeat to the leader in the next batch and returns its answer.
// When the context ends, the refusal is Overloaded if the heartbeat was not
// queued yet, and Unknown if it was.
func (gatherer *Gatherer[Heartbeat, Answer]) Beat(ctx context.Context, heartbeat *Heartbeat) (*Answer, *coder.Refusal) {
	queued := &pendingHeartbeat[Heartbeat, Answer]{heartbeat: heartbeat, result: make(chan heartbeatResult[Answer], 1)}
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
func (gatherer *Gatherer[Heartbeat, Answer]) Run(ctx context.Context) {
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
func (gatherer *Gatherer[Heartbeat, Answer]) collect(ctx context.Context, first *pendingHeartbeat[Heartbeat, Answer]) []*pendingHeartbeat[Heartbeat, Answer] {
	batch := []*pendingHeartbeat[Heartbeat, Answer]{first}
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

func (gatherer *Gatherer[Heartbeat, Answer]) send(ctx context.Context, batch []*pendingHeartbeat[Heartbeat, Answer]) {
	ctx, cancel := context.WithTimeout(ctx, gatherer.config.Timeout)
	defer cancel()
	heartbeats := make([]Heartbeat, len(batch))
	for index := range batch {
		heartbeats[index] = *batch[index].heartbeat
	}
	answers, refusal := gatherer.config.Send(ctx, heartbeats)
	if refusal == nil && len(answers) != len(heartbeats) {
		refusal = coder.Refuse(coder.Internal, "%d heartbeats got %d answers", len(heartbeats), len(answers))
	}
	for index := range batch {
		if refusal != nil {
			batch[index].result <- heartbeatResult[Answer]{refusal: refusal}
			continue
		}
		batch[index].result <- heartbeatResult[Answer]{answer: &answers[index]}
	}
}
