// Package forecaster owns the forecast of when a job could finish, and the
// decision whether to refuse a job that is certain to finish after its callers
// have stopped waiting.
//
// It addresses a load beyond capacity: if every job is accepted then, all jobs
// wait and hardly any finishes in time. A forecast is a pure function of counts
// and sizes. It holds processors only, because an unaccounted limit, such as
// memory, a label or a rack, can only delay a job further: the forecast stays
// optimistic. For the same reason it leaves out what later arrivals do.
//
// The package has no clock and no network. Times are relative to the moment at
// which the capacity was observed.
package forecaster

import (
	"math"

	"github.com/dotterelrill/dotterelrill/modeller"
)

type (
	// Processors is an amount of processor capacity in thousandths of a core.
	Processors int64
	// Work is processor capacity times milliseconds. Sums of declared sizes may exceed an
	// integer.
	Work float64
)

// Backlog is work that waits for room.
type Backlog struct {
	Work Work
	// Demand is what the waiting tasks take together while they run.
	Demand Processors
	Tasks  int
}

// Add returns the sum of two backlogs.
func (backlog Backlog) Add(other Backlog) Backlog {
	return Backlog{Work: backlog.Work + other.Work, Demand: backlog.Demand + other.Demand, Tasks: backlog.Tasks + other.Tasks}
}

// meanRunTime returns the run time of the waiting tasks, weighted by their size.
func (backlog Backlog) meanRunTime() float64 {
	if backlog.Demand <= 0 {
		return 0
	}
	return float64(backlog.Work) / float64(backlog.Demand)
}

// Ahead is the work that is served before a job: OnTime while the job can still be on
// time, and Late in addition once it is late itself.
type Ahead struct {
	OnTime, Late Backlog
}

func (ahead Ahead) add(other Ahead) Ahead {
	return Ahead{OnTime: ahead.OnTime.Add(other.OnTime), Late: ahead.Late.Add(other.Late)}
}

// Question describes a job and what it competes with.
type Question struct {
	// Now is the time since Room and the backlogs were observed.
	Now  modeller.Millis
	Room *Room
	// Fleet is the work of all client accounts ahead of the job, Account the part of the
	// job's own account.
	Fleet, Account Ahead
	// AccountShare is the part of the capacity that the account gets at least while
	// others wait, from 0 to 1.
	AccountShare float64
	// LateShare is the largest part of the capacity that may be expected to be left for
	// late work, above 0 and up to 1.
	LateShare float64
	// ApprovedShare is the largest part of the workers that may be expected to be
	// approved for the job, from 0 to 1.
	ApprovedShare float64
	// Need is what the job needs at once to start: a gang as a whole, one task of any
	// other step.
	Need Processors
	// Path is the run time of the job's longest chain of steps, Objective the time in
	// which it is on time.
	Path, Objective modeller.Millis
	// Waited is the time since the job was first refused, zero for a new one.
	Waited modeller.Millis
}

// ServedObjectives is how many objectives after its submission a job still has a value
// for its callers.
const ServedObjectives = 3

// Deadline returns the time after which the job's callers are no longer served.
func (question *Question) Deadline() modeller.Millis { return ServedObjectives * question.Objective }

// Forecast is when a job could finish, counted from its submission.
type Forecast struct {
	// Earliest is optimistic: a finish before it is not expected. Expected assumes that
	// run times are as estimated. Both leave out work that is submitted later.
	Earliest, Expected modeller.Millis
}

// Never is the finish of a job for which there is no room in sight.
const Never = modeller.Millis(math.MaxInt64 / 4)

const (
	// baseUncertainty is the part by which estimated run times may be too long in the
	// mean, after correction by those observed.
	baseUncertainty = 0.15
	// maxUncertainty bounds the uncertainty of a forecast about few tasks.
	maxUncertainty = 0.6
)

// uncertainty returns the part by which a backlog's work may be smaller than
// estimated. The run times of single tasks vary by about their mean, which averages
// out over many.
func uncertainty(tasks int) float64 {
	return min(maxUncertainty, baseUncertainty+1/math.Sqrt(float64(max(1, tasks))))
}

// Finish forecasts when the job could finish.
func Finish(question *Question) Forecast {
	return Forecast{
		Earliest: question.finish(true, modeller.Millis((1-baseUncertainty)*float64(question.Path))),
		Expected: question.finish(false, question.Path),
	}
}

// finish returns the job's finish. While the job can be on time it passes all late
// work.
func (question *Question) finish(optimistic bool, path modeller.Millis) modeller.Millis {
	if onTime := question.wait(question.Fleet.OnTime, question.Account.OnTime, 1, optimistic) + path; onTime <= question.Objective {
		return onTime
	}
	return question.wait(question.Fleet.OnTime.Add(question.Fleet.Late), question.Account.OnTime.Add(question.Account.Late), question.LateShare, optimistic) + path
}

// wait returns how long the job waits for its start on a part of the capacity. Its account is served by its share
// or, if others leave more, in the order of all work: the earlier of both counts.
func (question *Question) wait(fleet, account Backlog, part float64, optimistic bool) modeller.Millis {
	if fleet.Tasks == 0 {
		return 0
	}
	start := question.start(fleet, part, optimistic)
	if question.AccountShare > 0 && account.Tasks < fleet.Tasks {
		start = min(start, question.start(account, part*question.AccountShare, optimistic))
	}
	return min(Never, max(0, start-question.Now))
}

// start returns when all of a backlog has been started on a share of the room and the
// job's need is free. What still runs of the backlog at that time is at most what fits
// the room for a mean run time.
func (question *Question) start(backlog Backlog, share float64, optimistic bool) modeller.Millis {
	work := float64(backlog.Work)
	if optimistic {
		work *= 1 - uncertainty(backlog.Tasks)
	}
	return question.Room.start(work/share, backlog.meanRunTime(), float64(question.Need)/max(question.ApprovedShare, minApprovedShare))
}

// minApprovedShare bounds the approved share from below, since it is estimated.
const minApprovedShare = 0.05

// Decision is the outcome of admission control for a job.
type Decision uint8

// The decisions.
const (
	// Accepted jobs may still be served.
	Accepted Decision = iota
	// TooLate jobs would finish after their callers have stopped waiting.
	TooLate
	// GivesWay is decided for jobs that would be late, and useless if the jobs that
	// were refused earlier and are about to return are served first.
	GivesWay
)

// A job gives way only if its own forecast is beyond this part of the deadline. Not all
// refused callers return: in the package's model of the load, giving way from one
// objective on lost one in a thousand of what callers get, and this part lost less.
const givesWayBeyond = 5.0 / 6

// Decide decides about a job. Returning is the work of refused jobs that have waited
// longer than it and are still expected to return. It refuses no job that can be on
// time, and none without a backlog.
func Decide(question *Question, returning Returning) (Decision, Forecast) {
	forecast := Finish(question)
	switch {
	case question.Fleet.OnTime.Tasks+question.Fleet.Late.Tasks == 0 || forecast.Earliest <= question.Objective:
		return Accepted, forecast
	case forecast.Earliest+question.Waited > question.Deadline():
		return TooLate, forecast
	case returning.Fleet.Tasks == 0 || float64(forecast.Earliest+question.Waited) <= givesWayBeyond*float64(question.Deadline()):
		return Accepted, forecast
	}
	behind := *question
	behind.Fleet.OnTime = behind.Fleet.OnTime.Add(returning.Fleet)
	behind.Account.OnTime = behind.Account.OnTime.Add(returning.Account)
	if late := Finish(&behind); late.Earliest+question.Waited > question.Deadline() {
		return GivesWay, late
	}
	return Accepted, forecast
}
