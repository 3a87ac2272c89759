package main

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// deadlyAfter is how long the task runs until it crashes its worker, and deadlyDown how
	// long the worker is down.
	deadlyAfter = 3 * time.Second
	deadlyDown  = 8 * time.Second
	deadlySpan  = 90 * time.Second
	// ordinaryJobs are the jobs beside it.
	ordinaryJobs = 20
	// countedCrashes is how many workers have to crash under a task, and maxMoreStarts how
	// many more starts break the rule.
	countedCrashes = 3
	maxMoreStarts  = 3
)

// runDeadlyTask submits a job of a single task that crashes each worker that starts it.
func runDeadlyTask(ctx context.Context, rig *rig, trouble bool) ([]string, error) {
	if err := rig.configure(ctx); err != nil {
		return nil, err
	}
	if err := rig.addWorkers(ctx, 8); err != nil {
		return nil, err
	}
	if err := rig.warmUp(ctx); err != nil {
		return nil, err
	}
	for index := range ordinaryJobs {
		if !rig.submit(ctx, fmt.Sprintf("00000000000001%02x", index), job(500, 1, 2000)).accepted() {
			return nil, errors.New("an ordinary job is not accepted")
		}
	}
	id := "00000000000000b1"
	if !rig.submit(ctx, id, job(6000, 1, 2000)).accepted() {
		return nil, errors.New("the job is not accepted")
	}
	var crashes []time.Time
	for until := time.Now().Add(deadlySpan); time.Now().Before(until); pause(ctx, 20*time.Millisecond) {
		if state, _ := rig.state(ctx, id); state == "failed" || state == "completed" {
			rig.add("client: %s is shown as %s", shortID(id), state)
			return nil, nil
		}
		if worker := rig.runner(id, deadlyAfter); worker != nil && trouble {
			worker.loseContact()
			crashes = append(crashes, time.Now())
			time.AfterFunc(deadlyDown, func() { rig.restart(ctx, worker) })
		}
		if more := rig.startsAfter(id, crashes); more >= maxMoreStarts {
			return []string{fmt.Sprintf("BUDGET: the task is started %d more times after %d workers have crashed under it", more, countedCrashes)}, nil
		}
	}
	return nil, nil
}

// startsAfter returns how often a job's task was started after the crashes that count.
func (rig *rig) startsAfter(id string, crashes []time.Time) int {
	if len(crashes) < countedCrashes {
		return 0
	}
	starts := 0
	for _, begun := range rig.begun(id) {
		if begun.at.After(crashes[countedCrashes-1]) {
			starts++
		}
	}
	return starts
}

// runner returns the worker on which a task of the job has run for a time, or nil.
func (rig *rig) runner(id string, span time.Duration) *worker {
	for _, worker := range rig.workers {
		worker.mutex.Lock()
		var run *taskRun
		if worker.life != nil {
			run = worker.life.runs[id+".0.0.0"]
		}
		worker.mutex.Unlock()
		if run != nil && time.Since(run.begunAt) >= span {
			return worker
		}
	}
	return nil
}
