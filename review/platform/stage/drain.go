package main

import (
	"context"
	"fmt"
	"time"
)

// playStartAfterDrain drains a worker that stalls.
func playStartAfterDrain(ctx context.Context, stage *stage) error {
	err := stage.begin(ctx, append([]string{"b"}, plain(fleet-1)...), func(int, string, int) behaviour {
		return behaviour{endsAfter: 2 * time.Second, how: "done"}
	})
	if err != nil {
		return err
	}
	id, drained := newID(), stage.workers[0]
	drained.mutex.Lock()
	drained.onStart = func(string) {
		drained.onStart = nil
		if stage.trouble {
			drained.stalledUntil = time.Now().Add(stallSpan)
			stage.record.printf("worker %s stalls for %s", drained.id, stallSpan)
		}
		drained.draining = true
		go drained.sendHeartbeat(ctx)
	}
	drained.mutex.Unlock()
	if err := stage.submitUntilAccepted(ctx, id, step{Count: 1, CPU: 2800, MemMb: 2900, EstimateMs: 2000, Constraints: "b"}); err != nil {
		return err
	}
	if !sleep(ctx, 8*time.Second) {
		return ctx.Err()
	}
	drained.leave(ctx)
	if err := stage.checkAlive(); err != nil {
		return err
	}
	ackedAt := drained.drainAck()
	if ackedAt.IsZero() {
		return fmt.Errorf("that the worker drains was not acknowledged")
	}
	for _, each := range stage.history.of(id + ".0.0.0") {
		if after := each.at.Sub(ackedAt); each.worker == drained.id && after > drain {
			return fmt.Errorf("DRAIN: task %s is started %.1f s after the ack that the worker drains: %w", each.task, after.Seconds(), errBroken)
		}
	}
	return nil
}

// stallSpan is how long the worker of playStartAfterDrain stalls.
const stallSpan = 4 * time.Second

// retire announces that the worker drains and, some time after the ack, ends it.
func (worker *worker) retire(ctx context.Context) error {
	if err := worker.announceDrain(ctx); err != nil {
		return err
	}
	if !sleep(ctx, leaveAfter) {
		return ctx.Err()
	}
	worker.leave(ctx)
	return nil
}

// announceDrain announces that the worker drains, and returns when that is acknowledged.
func (worker *worker) announceDrain(ctx context.Context) error {
	worker.mutex.Lock()
	worker.draining = true
	worker.mutex.Unlock()
	worker.sendHeartbeat(ctx)
	for until := time.Now().Add(5 * time.Second); worker.drainAck().IsZero(); {
		if time.Now().After(until) || !sleep(ctx, 10*time.Millisecond) {
			return fmt.Errorf("that worker %s drains was not acknowledged", worker.id)
		}
	}
	return nil
}
