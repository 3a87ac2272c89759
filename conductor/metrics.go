package conductor

import (
	"fmt"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/dotterelrill/dotterelrill/allotter"
	"github.com/dotterelrill/dotterelrill/modeller"
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
	// startsWithheld counts the attempts that were not started in an evacuated data
	// centre, and moves the tasks that were moved out of one.
	startsWithheld, moves *metrics.Counter
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

		startsWithheld: set.GetOrCreateCounter("dotterel_staged_starts_withheld_total"),
		moves:          set.GetOrCreateCounter("dotterel_staged_moves_total"),
		nearGained:     set.GetOrCreateFloatCounter("dotterel_staged_near_gained_seconds_total"),
		nearLost:       set.GetOrCreateFloatCounter("dotterel_staged_near_lost_seconds_total"),
	}
}

// countExcess counts a job that its client account handed in beyond its weight.
func (instruments *instruments) countExcess(job *stager.Job) {
	instruments.set.GetOrCreateCounter(fmt.Sprintf("dotterel_staged_excess_jobs_total{account=%q}", job.ClientAccount)).Inc()
}

// setWaiting sets how many steps the last placement pass left waiting, by what they wait
// for, and whether they needed more than what was free.
func (instruments *instruments) setWaiting(summary allotter.Summary, scarce bool) {
	for cause, count := range map[string]int{"answer": summary.Asking, "adviser": summary.NoAdviser, "room": summary.NoRoom, "limit": summary.AtLimit} {
		instruments.set.GetOrCreateGauge(fmt.Sprintf("dotterel_staged_waiting_steps{cause=%q}", cause), nil).Set(float64(count))
	}
	value := 0.0
	if scarce {
		value = 1
	}
	instruments.set.GetOrCreateGauge("dotterel_staged_scarce", nil).Set(value)
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

// countEvacuation counts an order about a data centre.
func (instruments *instruments) countEvacuation(evacuate *stager.Evacuate, repeated bool) {
	instruments.set.GetOrCreateCounter(fmt.Sprintf("dotterel_staged_evacuations_total{data_centre=%q,withdrawn=%q,repeated=%q}",
		evacuate.DataCentre, strconv.FormatBool(evacuate.Withdrawn), strconv.FormatBool(repeated))).Inc()
}

// setEvacuated shows whether a data centre is evacuated and how many attempts are live
// there.
func (instruments *instruments) setEvacuated(name modeller.DataCentreName, evacuated bool, live int) {
	value := 0.0
	if evacuated {
		value = 1
	}
	instruments.set.GetOrCreateGauge(fmt.Sprintf("dotterel_staged_evacuated{data_centre=%q}", name), nil).Set(value)
	instruments.set.GetOrCreateGauge(fmt.Sprintf("dotterel_staged_evacuated_live{data_centre=%q}", name), nil).Set(float64(live))
}
