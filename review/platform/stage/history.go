package main

import (
	"slices"
	"sync"
	"time"
)

// start is a start as a worker saw it.
type start struct {
	worker  string
	task    string
	attempt int
	at      time.Time
	endedAt time.Time
	how     string
}

// history holds all starts, in the order in which the workers saw them.
type history struct {
	record *record

	mutex  sync.Mutex
	starts []*start
}

func (history *history) started(worker *worker, run *taskRun) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	history.starts = append(history.starts, &start{worker: worker.id, task: run.task, attempt: run.attempt, at: run.startedAt})
	history.record.printf("worker %s starts %s, attempt %d", worker.id, run.task, run.attempt)
}

func (history *history) ended(worker *worker, run *taskRun, how string) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	for _, start := range history.starts {
		if start.task == run.task && start.attempt == run.attempt && start.worker == worker.id && start.endedAt.IsZero() {
			start.endedAt, start.how = time.Now(), how
		}
	}
	history.record.printf("worker %s ends %s, attempt %d: %s", worker.id, run.task, run.attempt, how)
}

// all returns copies of the starts so far.
func (history *history) all() []start {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	starts := make([]start, len(history.starts))
	for at, each := range history.starts {
		starts[at] = *each
	}
	return starts
}

// byTask returns the starts so far by their task.
func (history *history) byTask() map[string][]start {
	starts := make(map[string][]start)
	for _, each := range history.all() {
		starts[each.task] = append(starts[each.task], each)
	}
	return starts
}

// of returns the starts of one task.
func (history *history) of(task string) []start {
	return slices.DeleteFunc(history.all(), func(each start) bool { return each.task != task })
}
