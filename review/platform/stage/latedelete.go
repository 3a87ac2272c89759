package main

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

const (
	// frozenSpan is how long a machine is frozen: less than the 7.5 s of the longest freeze
	// in huon-roster's days.
	frozenSpan = 6 * time.Second
	// restartAfter is how long a worker that has left is away.
	restartAfter = 500 * time.Millisecond
	// drainSpan is how long the second incarnation keeps running while it drains.
	drainSpan = 9 * time.Second
)

// playLateDelete freezes a machine while it is told that a worker leaves. The worker comes
// back under its id, runs a task and drains again before the machine wakes.
func playLateDelete(ctx context.Context, stage *stage) error {
	err := stage.begin(ctx, append(plain(fleet-1), "b"), func(int, string, int) behaviour {
		return behaviour{endsAfter: 20 * time.Second, how: "done"}
	})
	if err != nil {
		return err
	}
	returning, frozen := stage.workers[fleet-1], stage.cells[machineCount-1]
	if err := returning.announceDrain(ctx); err != nil {
		return err
	}
	sleep(ctx, drain)
	wokenAt := time.Now().Add(frozenSpan)
	if stage.trouble {
		stage.record.printf("%s is frozen for %s", frozen.name, frozenSpan)
		_ = frozen.command.Process.Signal(syscall.SIGSTOP)
	}
	returning.leaveBy(ctx, append([]string{stage.controls[machineCount-1]}, stage.controls[:machineCount-1]...))
	sleep(ctx, restartAfter)
	returning.mutex.Lock()
	returning.draining, returning.drainAckedAt = false, time.Time{}
	returning.mutex.Unlock()
	if err := returning.start(stage.ctx); err != nil {
		return err
	}
	stage.record.printf("worker %s is back under its id", returning.id)
	id := newID()
	if err := stage.submitUntilAccepted(ctx, id, step{Count: 1, CPU: 9000, MemMb: 17000, EstimateMs: 20000, Constraints: "b"}); err != nil {
		return err
	}
	if err := stage.awaitStarts(ctx, id, 1); err != nil {
		return err
	}
	if err := stage.addWorker("b", returning.behave); err != nil {
		return err
	}
	if err := returning.announceDrain(ctx); err != nil {
		return err
	}
	if time.Now().After(wokenAt) {
		return fmt.Errorf("the second drain was acknowledged too late")
	}
	sleep(ctx, time.Until(wokenAt))
	if stage.trouble {
		_ = frozen.command.Process.Signal(syscall.SIGCONT)
		stage.record.printf("%s is awake", frozen.name)
	}
	return stage.watchTwice(ctx, id+".0.0.0", drainSpan-time.Since(returning.drainAck()))
}

// watchTwice watches whether a task runs twice at the same time.
func (stage *stage) watchTwice(ctx context.Context, task string, span time.Duration) error {
	for until := time.Now().Add(span); time.Now().Before(until); {
		running := ""
		for _, each := range stage.history.of(task) {
			switch {
			case !each.endedAt.IsZero():
			case running != "":
				sleep(ctx, time.Second)
				return fmt.Errorf("TWICE: task %s runs on workers %s and %s at the same time: %w", task, running, each.worker, errBroken)
			default:
				running = each.worker
			}
		}
		if !sleep(ctx, 10*time.Millisecond) {
			return ctx.Err()
		}
	}
	return stage.checkAlive()
}
