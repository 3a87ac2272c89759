package main

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// drain is drainMs of huon-roster.
const drain = 2 * time.Second

const clientKey, otherKey = "6x73d3zji9n73hh2b9wu", "3fexd9dnn2ctnfzs989a"

// roomyTenant returns a tenant with the keys and with a limit far above what a case runs.
func roomyTenant(keys ...string) tenant {
	return tenant{Name: "kaje80", APIKeys: keys, Priority: 1, Weight: 31, UpperBound: resources{CPU: 400_000, MemMb: 1_300_000}}
}

// warmUpTasks is fewer than the system needs to learn run times from.
const warmUpTasks = 4

// begin starts the system and its workers, and waits until a submission has run.
func (stage *stage) begin(ctx context.Context, labels []string, behave func(worker int, task string, attempt int) behaviour) error {
	if err := stage.startSystem(); err != nil {
		return err
	}
	warmUp := newID()
	for at, label := range labels {
		err := stage.addWorker(label, func(task string, attempt int) behaviour {
			if task[:len(warmUp)] == warmUp {
				return behaviour{endsAfter: 100 * time.Millisecond, how: "done"}
			}
			return behave(at, task, attempt)
		})
		if err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	if err := stage.putConfig(ctx, roomyTenant(clientKey, otherKey)); err != nil {
		return err
	}
	if err := stage.submitUntilAccepted(ctx, warmUp, step{Count: warmUpTasks, CPU: 1000, MemMb: 256, EstimateMs: 100}); err != nil {
		return err
	}
	for stage.state(ctx, 0, clientKey, warmUp) != "completed" {
		if !sleep(ctx, 100*time.Millisecond) {
			return fmt.Errorf("the first submission does not complete: %w", ctx.Err())
		}
	}
	stage.record.printf("the system serves")
	return nil
}

// plain returns the labels of workers of the usual kind.
func plain(count int) []string { return slices.Repeat([]string{"a"}, count) }
