package main

import (
	"context"
	"fmt"
	"slices"
	"time"
)

const (
	// idleLimit is how long playFilledUp waits for a serving task to be restarted: the 6 s
	// and 3 s of the rule, and 7 s more, so that its end is calm.
	idleLimit = 16 * time.Second
	// fleet is so many that one of them is no more of them than huon-roster takes
	// away at once (scale_in, share 0.065).
	fleet = 16
	// leaveAfter is how long a worker keeps running after the ack that it drains: drainMs
	// and a little longer.
	leaveAfter = drain + time.Second
)

// playFilledUp takes the worker of a serving task away, while a task that fills runs on each
// of the others.
func playFilledUp(ctx context.Context, stage *stage) error {
	err := stage.begin(ctx, plain(fleet), func(int, string, int) behaviour {
		return behaviour{atWorkAfter: 300 * time.Millisecond}
	})
	if err != nil {
		return err
	}
	serving, filling := newID(), newID()
	if err := stage.submitUntilAccepted(ctx, serving, step{Count: 1, CPU: 2000, MemMb: 1024, EstimateMs: 400, LongRunning: true, TargetMs: 50, Image: "desk-ui"}); err != nil {
		return err
	}
	if err := stage.awaitStarts(ctx, serving, 1); err != nil {
		return err
	}
	fill := step{Count: fleet - 1, CPU: 4000, MemMb: 1024, EstimateMs: 400, AntiAffinity: 1, LongRunning: true, Fill: true, Image: "indexer"}
	if err := stage.submitUntilAccepted(ctx, filling, fill); err != nil {
		return err
	}
	if err := stage.awaitStarts(ctx, filling, fleet-1); err != nil {
		return err
	}
	sleep(ctx, 2*time.Second)
	task := serving + ".0.0.0"
	if stage.trouble {
		if err := stage.workerOf(stage.history.of(task)[0].worker).retire(ctx); err != nil {
			return err
		}
	}
	return stage.watchServing(ctx, task)
}

// watchServing watches whether a serving task is idle for idleLimit.
func (stage *stage) watchServing(ctx context.Context, task string) error {
	for until := time.Now().Add(idleLimit + 4*time.Second); time.Now().Before(until); {
		if !sleep(ctx, 50*time.Millisecond) {
			return ctx.Err()
		}
		starts := stage.history.of(task)
		last := starts[len(starts)-1]
		if idle := time.Since(last.endedAt); !last.endedAt.IsZero() && idle > idleLimit {
			return fmt.Errorf("LOST: the serving task %s has nothing running %.1f s after its last run, with %d workers of 16 cores that run one filling task each: %w",
				task, idle.Seconds(), fleet-1, errBroken)
		}
	}
	return stage.checkAlive()
}

// awaitStarts waits until tasks of a submission have started.
func (stage *stage) awaitStarts(ctx context.Context, id string, count int) error {
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); {
		started := 0
		for task := range stage.history.byTask() {
			if task[:len(id)] == id {
				started++
			}
		}
		if started >= count {
			return nil
		}
		if !sleep(ctx, 10*time.Millisecond) {
			return ctx.Err()
		}
	}
	return fmt.Errorf("submission %s does not start", id)
}

func (stage *stage) workerOf(id string) *worker {
	return stage.workers[slices.IndexFunc(stage.workers, func(worker *worker) bool { return worker.id == id })]
}
