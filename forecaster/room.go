package forecaster

import (
	"math"

	"github.com/dotterelrill/dotterelrill/modeller"
)

// Releases of the near future are kept in fine steps and later ones in coarse steps, so
// that the cost of a forecast does not grow with the number of running tasks. Each
// release counts from the beginning of its step, which is optimistic.
const (
	fineSteps    = 40
	fineMillis   = 100
	coarseSteps  = 56
	coarseMillis = 1000
	fineSpan     = fineSteps * fineMillis
	steps        = fineSteps + coarseSteps + 1
)

// Room is the processor capacity that is free for waiting work, now and as running work
// ends. The zero value has none.
type Room struct {
	// added is the capacity that becomes free at the beginning of each step.
	added [steps]Processors
}

// stepBegin returns when a step begins.
func stepBegin(step int) modeller.Millis {
	if step <= fineSteps {
		return modeller.Millis(step * fineMillis)
	}
	return modeller.Millis(fineSpan + (step-fineSteps)*coarseMillis)
}

// Release adds capacity that becomes free at a time.
func (room *Room) Release(at modeller.Millis, size Processors) {
	step := 0
	if at > fineSpan {
		step = min(fineSteps+int((at-fineSpan)/coarseMillis), steps-1)
	} else if at > 0 {
		step = int(at / fineMillis)
	}
	room.added[step] += size
}

// Total returns the capacity that is free once all running work has ended.
func (room *Room) Total() Processors {
	total := Processors(0)
	for _, added := range room.added {
		total += added
	}
	return total
}

// Free returns the capacity that is free at the beginning.
func (room *Room) Free() Processors { return room.added[0] }

// start returns the first time at which the capacity so far, plus what still runs for
// the run time then, has covered the work, and need is free beside nothing else. A need
// above the total is treated as the total: workers that are missing now may return.
func (room *Room) start(work, runTime, need float64) modeller.Millis {
	need = min(need, float64(room.Total()))
	free, covered := 0.0, 0.0
	for step, added := range room.added {
		free += float64(added)
		length := math.Inf(1)
		if step+1 < steps {
			length = float64(stepBegin(step+1) - stepBegin(step))
		}
		if free <= 0 {
			continue
		}
		if remaining := (work - free*runTime - covered) / free; free >= need && remaining < length {
			return min(Never, stepBegin(step)+modeller.Millis(math.Min(float64(Never), max(0, remaining))))
		}
		covered += free * length
	}
	return Never
}
