package forecaster

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// NoticeValidity is the age up to which entries use a Notice: three heartbeats of the
// leader.
const NoticeValidity = 750 * time.Millisecond

// Notice is the part of the leader's forecast that is beyond doubt. The leader accepts no
// job that a closure covers until the notice has expired at every entry, so that an entry
// never refuses a job that was accepted meanwhile.
type Notice struct {
	Closures []Closure
}

// Closure is a set of jobs of one queue and client account that the leader refuses.
type Closure struct {
	// Host and Prefix are those of the queue, of which no other queue's prefix is an
	// extension. Keys are the account's.
	Host, Prefix string
	Keys         []modeller.KeyHash
	Shapes       Shapes
}

// Covers reports whether a submission is in the set.
func (closure *Closure) Covers(host, path string, key modeller.KeyHash, steps []stager.Step, schedule stager.Schedule) bool {
	return host == closure.Host && strings.HasPrefix(path, closure.Prefix) && slices.Contains(closure.Keys, key) && closure.Shapes.Cover(steps, schedule)
}

// Shapes is a range of jobs. The zero value is empty.
type Shapes struct {
	MostSteps               int
	ShortestRun, LongestRun modeller.Millis
	// LeastNeed is the least that a job of the range needs at once to start.
	LeastNeed Processors
}

// Cover reports whether a job is in the range. Scheduled and lasting jobs never are.
func (shapes *Shapes) Cover(steps []stager.Step, schedule stager.Schedule) bool {
	if len(steps) == 0 || len(steps) > shapes.MostSteps || schedule.Occurrences > 0 || StartNeed(steps) < shapes.LeastNeed {
		return false
	}
	return !slices.ContainsFunc(steps, func(step stager.Step) bool {
		return step.Lasting || step.RunTime < shapes.ShortestRun || step.RunTime > shapes.LongestRun
	})
}

// Extend extends the range by a job.
func (shapes *Shapes) Extend(steps []stager.Step) {
	if shapes.MostSteps == 0 {
		*shapes = Shapes{ShortestRun: math.MaxInt64, LeastNeed: math.MaxInt64}
	}
	shapes.MostSteps, shapes.LeastNeed = max(shapes.MostSteps, len(steps)), min(shapes.LeastNeed, StartNeed(steps))
	for index := range steps {
		shapes.ShortestRun, shapes.LongestRun = min(shapes.ShortestRun, steps[index].RunTime), max(shapes.LongestRun, steps[index].RunTime)
	}
}

// Include reports whether every job of another range is in the range.
func (shapes *Shapes) Include(other *Shapes) bool {
	return other.MostSteps == 0 || other.MostSteps <= shapes.MostSteps && other.LeastNeed >= shapes.LeastNeed &&
		other.ShortestRun >= shapes.ShortestRun && other.LongestRun <= shapes.LongestRun
}

// Need returns what some tasks of a step need at once: a gang as a whole, one task of any
// other step.
func Need(step *stager.Step, tasks uint32) Processors {
	need := Processors(step.Demand().MilliProcessors)
	if step.Gang {
		need *= Processors(tasks)
	}
	return need
}

// StartNeed returns the least that one of a job's first steps needs at once.
func StartNeed(steps []stager.Step) Processors {
	need, found := Processors(0), false
	for index := range steps {
		if step := &steps[index]; len(step.After) == 0 && (!found || Need(step, step.Tasks) < need) {
			need, found = Need(step, step.Tasks), true
		}
	}
	return need
}
