package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// The rule on tasks that last: from 6 s after its last run, a task may not be idle for 3 s.
const (
	lastingRestart = 6 * time.Second
	maxIdle        = 3 * time.Second
)

// playCrashLoop runs a submission whose tasks last, and fail soon after each start.
func playCrashLoop(ctx context.Context, stage *stage) error {
	random := rand.New(rand.NewPCG(30, 1))
	err := stage.begin(ctx, plain(6), func(int, string, int) behaviour {
		lasting := behaviour{atWorkAfter: 300 * time.Millisecond}
		if stage.trouble {
			lasting.endsAfter, lasting.how = 600*time.Millisecond+time.Duration(random.Int64N(int64(400*time.Millisecond))), "failed"
		}
		return lasting
	})
	if err != nil {
		return err
	}
	id := newID()
	if err := stage.submitUntilAccepted(ctx, id, step{Count: 6, CPU: 2000, MemMb: 1024, EstimateMs: 400, LongRunning: true, Image: "desk-ui"}); err != nil {
		return err
	}
	for until := time.Now().Add(75 * time.Second); time.Now().Before(until); {
		if !sleep(ctx, 50*time.Millisecond) {
			return ctx.Err()
		}
		if err := stage.checkAlive(); err != nil {
			return err
		}
		for task, starts := range stage.history.byTask() {
			last := starts[len(starts)-1]
			if idle := time.Since(last.endedAt); task[:len(id)] == id && !last.endedAt.IsZero() && idle > lastingRestart+maxIdle {
				return fmt.Errorf("LOST: task %s has nothing running %.1f s after its last run: %w", task, idle.Seconds(), errBroken)
			}
		}
	}
	if len(stage.history.byTask()) == 0 {
		return fmt.Errorf("nothing has started")
	}
	return nil
}
