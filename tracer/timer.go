package tracer

import (
	"container/heap"

	"github.com/dotterelrill/dotterelrill/modeller"
)

type attemptKey struct {
	task    modeller.TaskID
	attempt modeller.Attempt
}

// timer is a scheduled report about an attempt. The state ignores it if the attempt
// is no longer the task's current one when it is due.
type timer struct {
	at    modeller.Millis
	key   attemptKey
	phase modeller.Phase
}

// timers is a heap of timers, ordered by time, then task, then phase, so that a
// replay is deterministic.
type timers []timer

func (timers *timers) add(added timer) { heap.Push(timers, added) }

// Len implements heap.Interface.
func (timers timers) Len() int { return len(timers) }

// Less implements heap.Interface.
func (timers timers) Less(left, right int) bool {
	if timers[left].at != timers[right].at {
		return timers[left].at < timers[right].at
	}
	if timers[left].key.task != timers[right].key.task {
		return timers[left].key.task.Job < timers[right].key.task.Job ||
			timers[left].key.task.Job == timers[right].key.task.Job && timers[left].key.task.Index < timers[right].key.task.Index
	}
	return timers[left].phase < timers[right].phase
}

// Swap implements heap.Interface.
func (timers timers) Swap(left, right int) {
	timers[left], timers[right] = timers[right], timers[left]
}

// Push implements heap.Interface.
func (timers *timers) Push(added any) { *timers = append(*timers, added.(timer)) }

// Pop implements heap.Interface.
func (timers *timers) Pop() any {
	last := (*timers)[len(*timers)-1]
	*timers = (*timers)[:len(*timers)-1]
	return last
}
