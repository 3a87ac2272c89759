package conductor

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/dotterelrill/dotterelrill/stager"
)

// measures are what a conductor counts. Durations are in seconds.
type measures struct {
	set *metrics.Set
	// accepted counts jobs, placed tasks.
	accepted, placed *metrics.Counter
	// commit is from a batch's proposal to its commit, advice from a question to
	// its answer.
	commit, advice *metrics.Histogram
	// start is from a placement to the worker's ack, run from there to the end.
	start, run *metrics.Histogram
	// wait is from a job's acceptance to its first placement.
	wait *metrics.Histogram
}

func newMeasures(set *metrics.Set) *measures {
	if set == nil {
		set = metrics.NewSet()
	}
	return &measures{
		set:      set,
		accepted: set.GetOrCreateCounter("dotterel_staged_jobs_accepted_total"),
		placed:   set.GetOrCreateCounter("dotterel_staged_tasks_placed_total"),
		commit:   set.GetOrCreateHistogram("dotterel_staged_commit_seconds"),
		advice:   set.GetOrCreateHistogram("dotterel_staged_advice_seconds"),
		start:    set.GetOrCreateHistogram("dotterel_staged_start_seconds"),
		run:      set.GetOrCreateHistogram("dotterel_staged_run_seconds"),
		wait:     set.GetOrCreateHistogram("dotterel_staged_wait_seconds"),
	}
}

// called counts a worker's answer to a call.
func (measures *measures) called(call string, answer Answer) {
	measures.set.GetOrCreateCounter(fmt.Sprintf("dotterel_staged_calls_total{call=%q,outcome=%q,reason=%q}", call, answer.Outcome, answer.Reason)).Inc()
}

// ended counts how an attempt ended, and how long it ran if that is known.
func (measures *measures) ended(how stager.Ending, ran time.Duration) {
	measures.set.GetOrCreateCounter(fmt.Sprintf("dotterel_staged_ends_total{how=%q}", how)).Inc()
	if ran > 0 {
		measures.run.Update(ran.Seconds())
	}
}

// jobEnded counts how a job ended and how long it took.
func (measures *measures) jobEnded(job *stager.Job) {
	measures.set.GetOrCreateHistogram(fmt.Sprintf("dotterel_staged_job_seconds{status=%q}", job.Status())).Update(float64(job.Ended-job.Accepted) / 1000)
}
