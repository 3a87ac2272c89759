package main

import (
	"context"
	"fmt"
	"time"
)

// The deadly task of playDeadlyTask, and the rule on such tasks.
const (
	// crashAfter is when the task crashes its worker, and deadlyDown how long that is down:
	// the longest time for which huon-roster's workers are down after a crash.
	crashAfter = 1900 * time.Millisecond
	deadlyDown = 4900 * time.Millisecond
	// countedCrashes is after how many crashes further starts count, and maxStarts how many
	// of these break the rule.
	countedCrashes, maxStarts = 3, 3
)

// playDeadlyTask runs a task that crashes each worker that starts it.
func playDeadlyTask(ctx context.Context, stage *stage) error {
	err := stage.begin(ctx, plain(8), func(int, string, int) behaviour {
		if stage.trouble {
			return behaviour{endsAfter: crashAfter, how: crash}
		}
		return behaviour{endsAfter: crashAfter, how: "done"}
	})
	if err != nil {
		return err
	}
	for _, worker := range stage.workers {
		worker.downFor = deadlyDown
	}
	id := newID()
	if err := stage.submitUntilAccepted(ctx, id, step{Count: 1, CPU: 9000, MemMb: 17000, EstimateMs: 6200}); err != nil {
		return err
	}
	for until := time.Now().Add(75 * time.Second); time.Now().Before(until); {
		if !sleep(ctx, 50*time.Millisecond) {
			return ctx.Err()
		}
		if err := stage.checkAlive(); err != nil {
			return err
		}
		if later := startsAfterCrashes(stage.history.of(id + ".0.0.0")); later >= maxStarts {
			return fmt.Errorf("BUDGET: task %s.0.0.0 was started %d times more after %d workers had crashed under it; it is shown as %q: %w",
				id, later, countedCrashes, stage.state(ctx, 0, clientKey, id), errBroken)
		}
		if state := stage.state(ctx, 0, clientKey, id); state == "completed" || state == "failed" {
			stage.record.printf("the submission is shown as %q", state)
			return nil
		}
	}
	return fmt.Errorf("the submission did not end")
}

// startsAfterCrashes returns how many starts came after countedCrashes workers had crashed.
func startsAfterCrashes(starts []start) int {
	crashes, later := 0, 0
	for _, each := range starts {
		if crashes >= countedCrashes {
			later++
		}
		if each.how == crash {
			crashes++
		}
	}
	return later
}
