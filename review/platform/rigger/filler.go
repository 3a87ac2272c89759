package main

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	fillerWorkers = 8
	// finishTime is from when on after the end of the traffic no job may be without a run for
	// maxIdle, and fillerSpan how long the case goes on.
	finishTime = 14 * time.Second
	maxIdle    = 3 * time.Second
	fillerSpan = 30 * time.Second
)

// runFillerBesideServing runs a task that serves on each worker, which leaves most of its
// capacity free, and submits a job whose tasks fill.
func runFillerBesideServing(ctx context.Context, rig *rig, trouble bool) ([]string, error) {
	if err := rig.configure(ctx); err != nil {
		return nil, err
	}
	if err := rig.addWorkers(ctx, fillerWorkers); err != nil {
		return nil, err
	}
	if err := rig.warmUp(ctx); err != nil {
		return nil, err
	}
	serving := body{"count": fillerWorkers, "cpu": 2000, "memMb": 1024, "antiAffinity": 1, "longRunning": true, "image": "desk"}
	if trouble {
		serving["targetMs"] = 200
	}
	if !rig.submit(ctx, "00000000000000a1", body{"spec": "1000000", "steps": []body{serving}}).accepted() {
		return nil, errors.New("the job that serves is not accepted")
	}
	pause(ctx, 2*time.Second)
	if running := len(rig.begun("00000000000000a1")); running != fillerWorkers {
		return nil, fmt.Errorf("%d tasks serve", running)
	}
	id := "00000000000000a2"
	filler := body{"spec": "2000", "steps": []body{{"count": 4, "cpu": 8000, "memMb": 1024, "estimateMs": 2000, "fillCount": 1, "image": "index"}}}
	if !rig.submit(ctx, id, filler).accepted() {
		return nil, errors.New("the job that fills is not accepted")
	}
	submittedAt := time.Now()
	for time.Since(submittedAt) < fillerSpan && len(rig.begun(id)) == 0 {
		pause(ctx, 100*time.Millisecond)
	}
	if len(rig.begun(id)) == 0 {
		state, _ := rig.state(ctx, id)
		return []string{fmt.Sprintf("LOST: %s is shown as %q and has had nothing running for %.0f s, though each worker has 30 of its 32 cores free", shortID(id), state, time.Since(submittedAt).Seconds())}, nil
	}
	if waited := time.Since(submittedAt); waited > finishTime+maxIdle {
		return []string{fmt.Sprintf("LOST: %s had nothing running for %.0f s", shortID(id), waited.Seconds())}, nil
	}
	if state := rig.awaitState(ctx, id, 20*time.Second, "completed"); state != "completed" {
		return nil, fmt.Errorf("the job that fills is shown as %q", state)
	}
	return nil, nil
}
