package forecaster

import (
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

const (
	// ReturnSpan is how long callers retry a refused job.
	ReturnSpan modeller.Millis = 3000
	// maxRefused bounds the table. It is the refusals of ReturnSpan at 1,300 a second,
	// more than the leader answers.
	maxRefused = 4096
	// Times to return are at least minReturn, and at most maxReturn before they are
	// rounded up to whole seconds.
	minReturn, maxReturn modeller.Millis = 100, 2000
	second               modeller.Millis = 1000
)

// RefusedJob is a job that was refused and may return.
type RefusedJob struct {
	ID            stager.JobID
	Pool          stager.PoolName
	ClientAccount modeller.ClientAccountName
	Rank          int
	Work          Backlog
	// First is when the job was first refused.
	First modeller.Millis
}

// Refused remembers refused jobs for as long as their callers retry. It belongs to one
// leader: the next one begins with an empty table.
type Refused struct {
	// jobs is sorted by First. The ID of a job that was accepted is empty.
	jobs  []RefusedJob
	first map[stager.JobID]modeller.Millis
}

// NewRefused returns an empty table.
func NewRefused() *Refused { return &Refused{first: make(map[stager.JobID]modeller.Millis)} }

// Forget drops the jobs whose callers no longer retry.
func (refused *Refused) Forget(now modeller.Millis) {
	dropped := 0
	for dropped < len(refused.jobs) && refused.jobs[dropped].First+ReturnSpan < now {
		delete(refused.first, refused.jobs[dropped].ID)
		dropped++
	}
	refused.jobs = append(refused.jobs[:0], refused.jobs[dropped:]...)
}

// Since returns when a job was first refused, or now if it is not known.
func (refused *Refused) Since(id stager.JobID, now modeller.Millis) modeller.Millis {
	if first, known := refused.first[id]; known {
		return first
	}
	return now
}

// Remember records a refused job. A full table keeps the jobs that have waited longest.
func (refused *Refused) Remember(job RefusedJob) {
	if _, known := refused.first[job.ID]; known || len(refused.jobs) >= maxRefused {
		return
	}
	refused.first[job.ID] = job.First
	refused.jobs = append(refused.jobs, job)
}

// Accept drops a job that was accepted.
func (refused *Refused) Accept(id stager.JobID) {
	if _, known := refused.first[id]; !known {
		return
	}
	delete(refused.first, id)
	for index := range refused.jobs {
		if refused.jobs[index].ID == id {
			refused.jobs[index] = RefusedJob{First: refused.jobs[index].First}
			return
		}
	}
}

// Returning is the work of refused jobs that may return: of all client accounts, and the
// part of one.
type Returning struct {
	Fleet, Account Backlog
}

// Returning returns the work that may return before a job: that of its pool, up to its
// rank, that was first refused before it was. The job's First is now if it is new.
func (refused *Refused) Returning(asked *RefusedJob, now modeller.Millis) Returning {
	var sum Returning
	for index := range refused.jobs {
		job := &refused.jobs[index]
		if job.First >= asked.First {
			break
		}
		if job.ID == "" || job.Pool != asked.Pool || job.Rank > asked.Rank || job.First+ReturnSpan < now {
			continue
		}
		sum.Fleet = sum.Fleet.Add(job.Work)
		if job.ClientAccount == asked.ClientAccount {
			sum.Account = sum.Account.Add(job.Work)
		}
	}
	return sum
}

// ReturnAfter returns when a job that has waited for a time may return, spread by a
// random number from 0 to below 1. A caller may be told whole seconds only, so that the
// range is chosen to leave its last try within ReturnSpan; those that have waited longer
// return sooner.
func ReturnAfter(waited modeller.Millis, random float64) modeller.Millis {
	longest := min(maxReturn, max(second, (ReturnSpan-second/2-waited)/second*second))
	return minReturn + modeller.Millis(random*float64(longest-minReturn))
}
