package gatherer_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/gatherer"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

const testTimeout = 20 * time.Second

// sendHeartbeats sends the heartbeats of count workers concurrently and returns
// the answers and refusals in the order of the workers.
func sendHeartbeats(t *testing.T, count int, config gatherer.Config[messenger.Heartbeat, messenger.HeartbeatAnswer]) ([]*messenger.HeartbeatAnswer, []*coder.Refusal) {
	config.Wait = 20 * time.Millisecond
	config.Timeout = testTimeout
	gatherer := gatherer.New(config)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	go gatherer.Run(ctx)
	answers := make([]*messenger.HeartbeatAnswer, count)
	refusals := make([]*coder.Refusal, count)
	var group sync.WaitGroup
	for index := range count {
		heartbeat := &messenger.Heartbeat{Worker: modeller.WorkerDescription{Name: workerName(index)}}
		group.Go(func() { answers[index], refusals[index] = gatherer.Beat(ctx, heartbeat) })
	}
	group.Wait()
	return answers, refusals
}

func workerName(index int) modeller.WorkerName {
	return modeller.WorkerName(fmt.Sprintf("worker-%d", index))
}

func TestEachHeartbeatGetsItsOwnAnswer(t *testing.T) {
	c := quicktest.New(t)
	const count, maxBatch = 200, 16
	var mutex sync.Mutex
	requests, largest := 0, 0
	answers, _ := sendHeartbeats(t, count, gatherer.Config[messenger.Heartbeat, messenger.HeartbeatAnswer]{MaxBatch: maxBatch, Send: func(_ context.Context, heartbeats []messenger.Heartbeat) ([]messenger.HeartbeatAnswer, *coder.Refusal) {
		mutex.Lock()
		defer mutex.Unlock()
		requests++
		largest = max(largest, len(heartbeats))
		replies := make([]messenger.HeartbeatAnswer, len(heartbeats))
		for index := range heartbeats {
			replies[index].Worker = heartbeats[index].Worker.Name
		}
		return replies, nil
	}})
	for index, answer := range answers {
		c.Assert(answer, quicktest.IsNotNil)
		c.Assert(answer.Worker, quicktest.Equals, workerName(index))
	}
	c.Assert(largest <= maxBatch, quicktest.IsTrue)
	c.Assert(requests < count, quicktest.IsTrue)
}

func TestEachHeartbeatGetsTheRefusal(t *testing.T) {
	c := quicktest.New(t)
	_, refusals := sendHeartbeats(t, 5, gatherer.Config[messenger.Heartbeat, messenger.HeartbeatAnswer]{MaxBatch: 8, Send: func(context.Context, []messenger.Heartbeat) ([]messenger.HeartbeatAnswer, *coder.Refusal) {
		return nil, coder.Refuse(coder.NoQuorum, "no quorum")
	}})
	for _, refusal := range refusals {
		c.Assert(refusal, quicktest.IsNotNil)
		c.Assert(refusal.Code, quicktest.Equals, coder.NoQuorum)
	}
}

func TestMissingAnswersAreRefused(t *testing.T) {
	c := quicktest.New(t)
	answers, refusals := sendHeartbeats(t, 3, gatherer.Config[messenger.Heartbeat, messenger.HeartbeatAnswer]{MaxBatch: 8, Send: func(context.Context, []messenger.Heartbeat) ([]messenger.HeartbeatAnswer, *coder.Refusal) {
		return nil, nil
	}})
	for index := range answers {
		c.Assert(answers[index], quicktest.IsNil)
		c.Assert(refusals[index], quicktest.IsNotNil)
		c.Assert(refusals[index].Code, quicktest.Equals, coder.Internal)
	}
}
