package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// shedSpan is how long the worker of playPendingUndercount rejects starts: the longest
	// time for which huon-roster's workers fail their requests while they hang.
	shedSpan = 5500 * time.Millisecond
	// pendingAge is visible_ms and 2 s more: the age from which a submission that has not
	// begun has to be among those shown as pending.
	pendingAge = 5 * time.Second
	// waiting is how many submissions playPendingUndercount hands in.
	waiting = 6
)

// playPendingUndercount hands in submissions for a worker that rejects starts for a while,
// and asks how many are pending.
func playPendingUndercount(ctx context.Context, stage *stage) error {
	err := stage.begin(ctx, append(plain(9), "b"), func(int, string, int) behaviour {
		return behaviour{endsAfter: 700 * time.Millisecond, how: "done"}
	})
	if err != nil {
		return err
	}
	if worker := stage.workers[9]; stage.trouble {
		worker.mutex.Lock()
		worker.shedUntil = time.Now().Add(shedSpan)
		worker.mutex.Unlock()
		stage.record.printf("worker %s is unhealthy for %s", worker.id, shedSpan)
	}
	acceptedAt := make(map[string]time.Time)
	for range waiting {
		id := newID()
		if err := stage.submitUntilAccepted(ctx, id, step{Count: 1, CPU: 2800, MemMb: 2900, EstimateMs: 640, Constraints: "b"}); err != nil {
			return err
		}
		acceptedAt[id] = time.Now()
	}
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); {
		askedAt := time.Now()
		shown := stage.pending(ctx, 1)
		notBegun := 0
		for id, at := range acceptedAt {
			if len(stage.history.of(id+".0.0.0")) == 0 && askedAt.Sub(at) > pendingAge {
				notBegun++
			}
		}
		stage.record.printf("client: pending is shown as %d; %d submissions that were accepted over %s before have not begun", shown, notBegun, pendingAge)
		if shown >= 0 && 2*shown < notBegun {
			return fmt.Errorf("MIXED: pending is given as %d, under half of the %d submissions that have not begun: %w", shown, notBegun, errBroken)
		}
		if !sleep(ctx, 500*time.Millisecond) {
			return ctx.Err()
		}
	}
	return stage.checkAlive()
}
