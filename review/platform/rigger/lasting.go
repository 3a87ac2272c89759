package main

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// lastingRunMs is how long each run of the lasting tasks works until it fails.
	lastingRunMs = 5000
	lastingTasks = 2
	lastingSpan  = 60 * time.Second
	// maxLastingGap is how long a lasting task may be without a run: 6 s after its last run,
	// and then 3 s.
	maxLastingGap = 9 * time.Second
)

// runLastingFailures runs a job whose tasks last and need the second kind of worker, of which
// there is one. Each run fails after some seconds.
func runLastingFailures(ctx context.Context, rig *rig, trouble bool) ([]string, error) {
	if err := rig.configure(ctx); err != nil {
		return nil, err
	}
	for index := range 4 {
		worker := rig.newWorker(index, body{"cpu": 32000, "memMb": 131072, "gpu": 0})
		if index == 0 {
			worker.kind = "b"
		}
		if err := worker.begin(ctx); err != nil {
			return nil, err
		}
	}
	id, spec := "00000000000000c0", fmt.Sprint(lastingRunMs, " failed")
	if !trouble {
		spec = "1000000"
	}
	lasting := body{"spec": spec, "steps": []body{{"count": lastingTasks, "cpu": 2000, "memMb": 1024, "longRunning": true, "constraints": "b"}}}
	if !rig.submit(ctx, id, lasting).accepted() {
		return nil, errors.New("the job is not accepted")
	}
	pause(ctx, 3*time.Second)
	var breaks []string
	broken := make(map[string]bool)
	for until := time.Now().Add(lastingSpan); time.Now().Before(until) && len(broken) < lastingTasks; pause(ctx, 50*time.Millisecond) {
		for index := range lastingTasks {
			task := fmt.Sprintf("%s.0.0.%d", id, index)
			gap := time.Since(rig.lastEnd(task))
			if !broken[task] && !rig.running(task) && gap > maxLastingGap {
				broken[task] = true
				breaks = append(breaks, fmt.Sprintf("LOST: task %s has had no run for %.1f s, though its worker runs nothing else", task, gap.Seconds()))
				rig.add("task %s has had no run for %.1f s", task, gap.Seconds())
			}
		}
	}
	return breaks, nil
}
