package stager

import (
	"cmp"
	"maps"
	"slices"

	"github.com/dotterelrill/dotterelrill/modeller"
)

// Evidence tells how surely a task is the cause of the crash of its worker.
type Evidence uint8

// The strengths of evidence.
const (
	// NoEvidence means that the worker has not crashed, or that the task had run for
	// too long to be the cause.
	NoEvidence Evidence = iota
	// SlightEvidence means that the task had run for a while before.
	SlightEvidence
	// WeakEvidence means that the task had just begun, but is one of several possible
	// causes.
	WeakEvidence
	// StrongEvidence means that the task was the only one that had just begun, and that
	// no other worker of the rack was lost at the same time.
	StrongEvidence
)

var evidenceNames = []string{"NoEvidence", "SlightEvidence", "WeakEvidence", "StrongEvidence"}

// String returns the evidence's name.
func (evidence Evidence) String() string {
	if int(evidence) >= len(evidenceNames) {
		return "Invalid"
	}
	return evidenceNames[evidence]
}

const (
	// maxProvenCrashes is at how many addresses a task may crash its worker by strong evidence
	// before its job is given up. One such crash may be chance.
	maxProvenCrashes = 2
	// maxJustBegun is how many workers in a row may crash under a task that has just begun,
	// and maxCrashes how many on any evidence. After countedCrashes each further attempt
	// that does not run to its end counts like a crash.
	maxJustBegun   = 4
	maxCrashes     = 5
	countedCrashes = 3
	// minSlightCrashes is how many crashes in a row make a task that had run for a while
	// each time a suspect: the first may be that of any worker.
	minSlightCrashes = 2
	// minLikelyCrashes is how many crashes in a row soon after the start make a task the
	// likely cause.
	minLikelyCrashes = 2
	// maxUnsettled is how many losses of a task's workers are kept of which it is not known
	// whether they were crashes.
	maxUnsettled = 16
)

// Loss is the loss of a task's worker that may have crashed or be cut off.
type Loss struct {
	_      struct{} `cbor:",toarray"`
	Worker modeller.WorkerName
	Life   Incarnation
	// Address is where the worker was, and Ran how long the task had run.
	Address string
	Ran     modeller.Millis
	// Crash is the evidence that the loss is if the worker has crashed.
	Crash Evidence
}

// Crashes counts the workers that crashed under a task, one attempt after the other.
type Crashes struct {
	// Total counts all crashes, JustBegun those soon after the start, and Proven those with
	// strong evidence on different workers' addresses.
	Total, JustBegun, Proven uint32
	// Stopped counts the attempts that were stopped or broken after countedCrashes.
	Stopped uint32
	// ProvenAt is the address of the last worker of Proven.
	ProvenAt string
	// Longest is the longest time that the task had run when a worker crashed under it.
	Longest modeller.Millis
	// Unsettled holds the losses that count only if the worker turns out to have crashed.
	// Copies of a state share it, so it is replaced and never changed.
	Unsettled []Loss `cbor:",omitempty"`
}

// suspect reports whether the task may be the cause, so that it should run where a
// further crash tells.
func (crashes *Crashes) suspect() bool {
	return crashes.JustBegun > 0 || crashes.Total >= minSlightCrashes
}

// likely reports whether the task is probably the cause.
func (crashes *Crashes) likely() bool {
	return crashes.Proven > 0 || crashes.JustBegun >= minLikelyCrashes
}

// LikelyCause returns the index in Tasks of the job's first task that probably crashes the
// workers that start it, and whether there is one.
func (job *Job) LikelyCause() (uint32, bool) {
	first, found := uint32(0), false
	for index, crashes := range job.Crashes {
		if crashes.likely() && (!found || index < first) {
			first, found = index, true
		}
	}
	return first, found
}

// Suspect reports whether the task is suspected to crash the workers that start it.
func (job *Job) Suspect(id TaskID) bool {
	crashes, crashed := job.Crashes[job.taskIndex(id)]
	return crashed && crashes.suspect()
}

// CrashesOf returns the crashes under a task.
func (job *Job) CrashesOf(id TaskID) Crashes { return job.Crashes[job.taskIndex(id)] }

// taskIndex returns the index of a task in Tasks. It must exist.
func (job *Job) taskIndex(id TaskID) uint32 {
	return id.Occurrence*job.taskOffsets[len(job.Steps)] + job.taskOffsets[id.Step] + id.Index
}

// TaskAt returns the identity of the task at an index of Tasks.
func (job *Job) TaskAt(index uint32) TaskID {
	perOccurrence := job.taskOffsets[len(job.Steps)]
	id := TaskID{StepID: StepID{Job: job.ID, Occurrence: index / perOccurrence}}
	index %= perOccurrence
	for int(id.Step)+1 < len(job.Steps) && job.taskOffsets[id.Step+1] <= index {
		id.Step++
	}
	id.Index = index - job.taskOffsets[id.Step]
	return id
}

// countCrash records how an attempt's end bears on the question whether its task crashes
// workers, and ends the job if it does. A task that has run for long or to its end on
// some worker is no suspect any more.
func (state *State) countCrash(job *Job, end *End, address string) {
	index := job.taskIndex(end.Task)
	if end.How == Succeeding || end.How == Failing || end.How == Lapsing || end.RanLong {
		delete(job.Crashes, index)
		return
	}
	crashes := job.Crashes[index]
	switch lost := end.How == Losing || end.How == Refusing; {
	case lost && end.Crash == NoEvidence || !lost && crashes.Total < countedCrashes:
		return
	case !lost:
		// It was stopped or broken on a worker that is up.
		crashes.Stopped++
	case end.Unsettled:
		task := job.Task(end.Task)
		crashes.addUnsettled(Loss{Worker: task.Worker, Life: task.Life, Address: address, Ran: end.Ran, Crash: end.Crash})
	default:
		crashes.count(&Loss{Address: address, Ran: end.Ran, Crash: end.Crash})
	}
	if job.Crashes == nil {
		job.Crashes = make(map[uint32]Crashes)
	}
	job.Crashes[index] = crashes
	state.crashedJobs[job.ID] = struct{}{}
	state.giveUpIfDeadly(job, end.Task, &crashes)
}

// count counts a crash.
func (crashes *Crashes) count(crash *Loss) {
	crashes.Total++
	crashes.Longest = max(crashes.Longest, crash.Ran)
	if crash.Crash >= WeakEvidence {
		crashes.JustBegun++
	}
	if crash.Crash == StrongEvidence && (crashes.Proven == 0 || crashes.ProvenAt != crash.Address) {
		crashes.Proven++
		crashes.ProvenAt = crash.Address
	}
}

// addUnsettled adds a loss of which it is not known whether it was a crash. The oldest is
// dropped if there are too many.
func (crashes *Crashes) addUnsettled(loss Loss) {
	kept := crashes.Unsettled[max(0, len(crashes.Unsettled)-maxUnsettled+1):]
	crashes.Unsettled = append(slices.Clip(kept), loss)
}

// settledBy reports whether the admission of a worker tells what became of the lost one:
// whether it has crashed, or is back.
func (loss *Loss) settledBy(worker *Worker) (settled, crashed bool) {
	switch {
	case loss.Worker == worker.Name:
		return worker.Life >= loss.Life, worker.Life > loss.Life
	case loss.Address == worker.Address && loss.Address != "":
		// A delayed announcement may be of a worker that was there before the lost one.
		return worker.Life >= loss.Life, true
	}
	return false, false
}

// UnsettledBy returns the open jobs with losses that the admission of a worker settles, in
// the order of their IDs.
func (state *State) UnsettledBy(worker *Worker) []*Job {
	var jobs []*Job
	for id := range state.crashedJobs {
		if job := state.Jobs[id]; job != nil && !job.Over() && job.unsettledBy(worker) {
			jobs = append(jobs, job)
		}
	}
	slices.SortFunc(jobs, func(left, right *Job) int { return cmp.Compare(left.ID, right.ID) })
	return jobs
}

func (job *Job) unsettledBy(worker *Worker) bool {
	for _, crashes := range job.Crashes {
		for at := range crashes.Unsettled {
			if settled, _ := crashes.Unsettled[at].settledBy(worker); settled {
				return true
			}
		}
	}
	return false
}

// settleLosses counts the losses that the admission of a worker shows to be crashes, and
// drops those that it shows to be none.
func (state *State) settleLosses(worker *Worker) {
	for _, job := range state.UnsettledBy(worker) {
		for _, index := range slices.Sorted(maps.Keys(job.Crashes)) {
			crashes := job.Crashes[index]
			crashes.settle(worker)
			job.Crashes[index] = crashes
			if crashes.Total == 0 && len(crashes.Unsettled) == 0 {
				delete(job.Crashes, index)
			}
			state.giveUpIfDeadly(job, job.TaskAt(index), &crashes)
			if job.Over() {
				break
			}
		}
	}
	maps.DeleteFunc(state.crashedJobs, func(id JobID, _ struct{}) bool {
		job := state.Jobs[id]
		return job == nil || job.Over() || len(job.Crashes) == 0
	})
}

func (crashes *Crashes) settle(worker *Worker) {
	var kept []Loss
	for at := range crashes.Unsettled {
		switch settled, crashed := crashes.Unsettled[at].settledBy(worker); {
		case !settled:
			kept = append(kept, crashes.Unsettled[at])
		case crashed:
			crashes.count(&crashes.Unsettled[at])
		}
	}
	crashes.Unsettled = kept
}

func (state *State) giveUpIfDeadly(job *Job, task TaskID, crashes *Crashes) {
	if crashes.deadly() && !job.Over() && !job.Task(task).Done {
		job.Failed = true
		state.finish(job)
	}
}

// deadly reports whether the task is taken to crash the workers that start it, so that its
// job is given up.
func (crashes *Crashes) deadly() bool {
	return crashes.Proven >= maxProvenCrashes || crashes.JustBegun >= maxJustBegun || crashes.Total+crashes.Stopped >= maxCrashes
}
