package conductor

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/dotterelrill/dotterelrill/stager"
	"github.com/dotterelrill/dotterelrill/waiter"
)

// instruments are the metrics of a Conductor. Durations are in seconds.
type instruments struct {
	set *metrics.Set
	// jobsAccepted and tasksPlaced count jobs and tasks.
	jobsAccepted, tasksPlaced *metrics.Counter
	// commit is the time from a batch's proposal to its commit, advice from an
	// inquiry to its answer.
	commit, advice *metrics.Histogram
	// plan is the duration of a placement pass.
	plan *metrics.Histogram
	// start is the time from a placement to the worker's ack, run from the ack to
	// the end.
	start, run *metrics.Histogram
	// wait is the time from a job's acceptance to its first placement.
	wait *metrics.Histogram
	// nearGained and nearLost are by how much steps end sooner, or later, since they waited
	// for near room.
	nearGained, nearLost *metrics.FloatCounter
}

func newInstruments(set *metrics.Set) *instruments {
	if set == nil {
		set = metrics.NewSet()
	}
	return &instruments{
		set:          set,
		jobsAccepted: set.GetOrCreateCounter("dotterel_staged_jobs_accepted_total"),
		tasksPlaced:  set.GetOrCreateCounter("dotterel_staged_tasks_placed_total"),
		commit:       set.GetOrCreateHistogram("dotterel_staged_commit_seconds"),
		plan:         set.GetOrCreateHistogram("dotterel_staged_plan_seconds"),
		advice:       set.GetOrCreateHistogram("dotterel_staged_advice_seconds"),
		start:        set.GetOrCreateHistogram("dotterel_staged_start_seconds"),
		run:          set.GetOrCreateHistogram("dotterel_staged_run_seconds"),
		wait:         set.GetOrCreateHistogram("dotterel_staged_wait_seconds"),
		nearGained:   set.GetOrCreateFloatCounter("dotterel_staged_near_gained_seconds_total"),
		nearLost:     set.GetOrCreateFloatCounter("dotterel_staged_near_lost_seconds_total"),
	}
}

// countCall counts a worker's answer to a call by outcome and reason.
func (instruments *instruments) countCall(call string, answer Answer) {
	instruments.set.GetOrCreateCounter(fmt.Sprintf("dotterel_staged_calls_total{call=%q,outcome=%q,reason=%q}", call, answer.Outcome, answer.Reason)).Inc()
}

// countEnd counts the end of an attempt, and observes its run time if that is
// known.
func (instruments *instruments) countEnd(ending stager.Ending, runTime time.Duration) {
	instruments.set.GetOrCreateCounter(fmt.Sprintf("dotterel_staged_ends_total{how=%q}", ending)).Inc()
	if runTime > 0 {
		instruments.run.Update(runTime.Seconds())
	}
}

// countWait counts the beginning or end of a wait for near room.
func (instruments *instruments) countWait(event waiter.Event) {
	instruments.set.GetOrCreateCounter(fmt.Sprintf("dotterel_staged_near_waits_total{result=%q}", event.Result)).Inc()
	instruments.nearGained.Add(max(0, float64(event.Gained)/1000))
	instruments.nearLost.Add(max(0, -float64(event.Gained)/1000))
}

// countJobEnd observes the time from a job's acceptance to its end.
func (instruments *instruments) countJobEnd(job *stager.Job) {
	instruments.set.GetOrCreateHistogram(fmt.Sprintf("dotterel_staged_job_seconds{status=%q}", job.Status())).Update(float64(job.Ended-job.Accepted) / 1000)
}
