package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"
)

// The course of the case, from the first crash on.
const (
	workerDown      = 1500 * time.Millisecond
	secondCrashWait = 1300 * time.Millisecond
)

// runRestartingWorkers crashes two of 48 workers, one 1.3 s after the other, for 1.5 s
// each, and submits a job right after the first crash. No worker ever begins the job's task
// before it crashes, so that the job may not be shown as failed.
func runRestartingWorkers(ctx context.Context, rig *rig, trouble bool) ([]string, error) {
	if err := rig.configure(ctx); err != nil {
		return nil, err
	}
	if err := rig.addWorkers(ctx, 48); err != nil {
		return nil, err
	}
	if err := rig.warmUp(ctx); err != nil {
		return nil, err
	}
	if trouble {
		rig.workers[0].loseContact()
		time.AfterFunc(workerDown, func() { rig.restart(ctx, rig.workers[0]) })
		time.AfterFunc(secondCrashWait, rig.workers[1].loseContact)
		time.AfterFunc(secondCrashWait+workerDown, func() { rig.restart(ctx, rig.workers[1]) })
	}
	id := "00000000000000b0"
	if !rig.submit(ctx, id, job(800, 1, 2000)).accepted() {
		return nil, errors.New("the job is not accepted")
	}
	state := rig.awaitState(ctx, id, 30*time.Second, "completed", "failed")
	switch {
	case state == "failed":
		return []string{fmt.Sprintf("LOST: %s is shown as failed; %d runs of its task have begun", shortID(id), len(rig.begun(id)))}, nil
	case !strings.HasPrefix(state, "completed"):
		return []string{fmt.Sprintf("LOST: %s is shown as %q after 30 s", shortID(id), state)}, nil
	}
	return nil, nil
}

func (rig *rig) restart(ctx context.Context, worker *worker) {
	worker.crash()
	if err := worker.begin(ctx); err != nil {
		rig.add("worker %s does not begin again: %v", worker.id, err)
	}
}

// job returns a job of one step, whose tasks work for some milliseconds.
func job(workMs, tasks, cpu int) body {
	return body{"spec": fmt.Sprint(workMs), "steps": []body{{"count": tasks, "cpu": cpu, "memMb": 256, "estimateMs": workMs}}}
}
