package conductor

import (
	"cmp"
	"slices"
	"time"

	"github.com/dotterelrill/dotterelrill/allotter"
	"github.com/dotterelrill/dotterelrill/estimator"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// runTime is what a task of a queue takes that is declared to take so long.
func (conductor *Conductor) runTime(queue modeller.QueueName, declared modeller.Millis) modeller.Millis {
	return conductor.trends[queue].RunTime(declared)
}

// learn takes up how long a whole attempt took. A gang's first task stands for
// it, and says nothing of its worker, which may have waited for the others.
func (conductor *Conductor) learn(link *link, job *stager.Job, ended *attempt, step *stager.Step) {
	ran := millis(ended.ran(conductor.config.Clock()))
	if ran == 0 || ended.resumed || step.Lasting || step.Gang && ended.id.Index > 0 ||
		step.DataRack != "" && conductor.state.Workers[link.name].Rack != step.DataRack {
		return
	}
	trend := conductor.trends[job.Queue]
	if trend == nil {
		trend = &estimator.Trend{}
		conductor.trends[job.Queue] = trend
	}
	if !step.Gang {
		link.pace.Observe(trend.RunTime(step.RunTime), ran)
		// The trend is that of a worker of the usual pace.
		ran = modeller.Millis(float64(ran) / link.pace.Factor())
	}
	trend.Observe(step.RunTime, ran)
}

// endings returns when a worker's attempts are expected to end.
func (conductor *Conductor) endings(name modeller.WorkerName) []allotter.Ending {
	link := conductor.links[name]
	if link == nil {
		return nil
	}
	now := conductor.config.Clock()
	found := make([]allotter.Ending, 0, len(link.attempts))
	for id, attempt := range link.attempts {
		job := conductor.state.Jobs[id.Job]
		if job == nil || job.Over() {
			continue
		}
		step := &job.Steps[id.Step]
		left := attempt.remaining(conductor.runTime(job.Queue, step.RunTime), now)
		found = append(found, allotter.Ending{At: millis(now + left), Size: step.Held()})
	}
	slices.SortFunc(found, func(left, right allotter.Ending) int { return cmp.Compare(left.At, right.At) })
	return found
}

// overdueDivisor is the part of its time so far that an attempt is expected to
// take on when it has taken longer than expected.
const overdueDivisor = 10

// remaining estimates how long the attempt still runs, from its progress if it
// has shown any.
func (attempt *attempt) remaining(expected modeller.Millis, now time.Duration) time.Duration {
	whole := time.Duration(expected) * time.Millisecond
	if attempt.resumed {
		return whole * time.Duration(percentAll-attempt.percent) / percentAll
	}
	if shown := attempt.progressed - attempt.acknowledged; attempt.percent > 0 && shown > 0 {
		whole = shown * percentAll / time.Duration(attempt.percent)
	}
	return max(whole-attempt.ran(now), attempt.ran(now)/overdueDivisor)
}
