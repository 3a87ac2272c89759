package conductor

import (
	"maps"
	"time"

	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

const (
	// probation is how long a task that crashes its worker takes to do so, with the time
	// until the leader notices.
	probation = 500 * time.Millisecond
	// maxCrashAge is the age from which an attempt is taken not to have crashed its
	// worker: its task has shown that it can run.
	maxCrashAge = 10 * time.Second
	// commonLossSpan is within what time the workers of a rack are lost that lose power
	// together.
	commonLossSpan = time.Second
	// lossMemory is how long losses are remembered: until all workers of a rack that
	// lost power are found to be lost.
	lossMemory = 30 * time.Second
)

// lossCause is how an incarnation of a worker was lost.
type lossCause uint8

const (
	// departed means that the worker ended as it had announced.
	departed lossCause = iota
	// lapsed means that its lease has expired while it did not answer. It may have crashed
	// or be cut off, which is known once it or another is admitted in its place.
	lapsed
	// replaced means that another incarnation or worker is at its address.
	replaced
)

// loss is the loss of a worker's incarnation.
type loss struct {
	worker modeller.WorkerName
	rack   modeller.RackName
	// The worker was lost after its last contact, and at the latest when a call was not
	// answered.
	after, until time.Duration
	// explained is true if a task has probably crashed the worker.
	explained bool
}

// lossOf returns the loss of a worker that has not answered since its last contact.
func (conductor *Conductor) lossOf(connection *connection) loss {
	lost := loss{worker: connection.name, after: connection.lastContact, until: conductor.config.Clock()}
	if worker := conductor.state.Workers[connection.name]; worker != nil {
		lost.rack = worker.Rack
	}
	if connection.unresponsive && connection.unresponsiveSince >= connection.lastContact {
		lost.until = connection.unresponsiveSince
	}
	return lost
}

// together reports whether two losses of workers in one rack may have one cause.
func (lost *loss) together(other *loss) bool {
	return lost.worker != other.worker && lost.rack == other.rack && lost.rack != "" &&
		other.after <= lost.until+commonLossSpan && lost.after <= other.until+commonLossSpan
}

// began returns when an attempt began, or zero if an earlier leader placed it and it was
// not reported since, and whether it may have begun at all.
func (attempt *attempt) began() (time.Duration, bool) {
	if attempt.startSentAt != 0 {
		return attempt.startSentAt, attempt.state >= sent || attempt.callInFlight
	}
	return attempt.startAcknowledgedAt, attempt.state >= sent
}

// assessLoss records with each attempt on a lost incarnation how surely its task has
// crashed the worker. Those that had not been at work for their trial at the last contact
// are the likely causes. The evidence is strong if they belong to one job and no other
// worker of the rack was lost at the same time.
func (conductor *Conductor) assessLoss(connection *connection, cause lossCause) {
	worker := conductor.state.Workers[connection.name]
	if cause == departed || worker == nil || worker.Leaving {
		return
	}
	lost := conductor.lossOf(connection)
	young := make(map[stager.JobID]struct{})
	for id, attempt := range connection.attempts {
		if attempt.young(&lost) {
			young[id.Job] = struct{}{}
		}
	}
	strong := cause == replaced && len(young) == 1 && !conductor.lostTogether(&lost)
	for _, attempt := range connection.sortedAttempts() {
		conductor.assessAttempt(attempt, &lost, cause, strong)
		lost.explained = lost.explained || attempt.crash == stager.StrongEvidence
		attempt.unsettled = cause == lapsed
		if attempt.crash != stager.NoEvidence {
			logger.Warn(conductor.config.Logger, "worker lost under a task", "Task", attempt.id.String(), "Attempt", attempt.number, "Worker", connection.name,
				"Evidence", attempt.crash.String(), "Unsettled", attempt.unsettled, "RanMillis", attempt.ran.Milliseconds(), "YoungJobs", len(young))
		}
	}
	conductor.losses = append(conductor.losses, lost)
	if !lost.explained {
		conductor.lostAddresses[connection.address] = lost.until
	}
}

// assessAttempt records how surely an attempt's task has crashed its worker; strong is
// true if that is sure of a young attempt.
func (conductor *Conductor) assessAttempt(attempt *attempt, lost *loss, cause lossCause, strong bool) {
	began, known := attempt.began()
	if !known || began > lost.until {
		return
	}
	if began == 0 {
		// How long it had run before this leader began is not known.
		attempt.crash = stager.SlightEvidence
		if conductor.state.Jobs[attempt.id.Job].Suspect(attempt.id) {
			attempt.crash = stager.WeakEvidence
		}
		return
	}
	attempt.ran = lost.until - began
	switch young := attempt.young(lost); {
	case lost.after-began > maxCrashAge:
		attempt.ranLong = true
	case young && strong:
		attempt.crash = stager.StrongEvidence
	case young:
		attempt.crash = stager.WeakEvidence
	case cause == replaced:
		attempt.crash = stager.SlightEvidence
	}
}

// young reports whether an attempt may have begun before its worker was lost, and had not
// been at work for its trial at the last contact.
func (attempt *attempt) young(lost *loss) bool {
	began, known := attempt.began()
	return known && began <= lost.until && (began == 0 || began+attempt.trial >= lost.after)
}

// lostTogether reports whether another worker of the rack was lost at the same time, or
// has not answered since then, and no task explains it.
func (conductor *Conductor) lostTogether(lost *loss) bool {
	for at := range conductor.losses {
		if !conductor.losses[at].explained && lost.together(&conductor.losses[at]) {
			return true
		}
	}
	for _, connection := range conductor.sortedConnections {
		if !connection.unresponsive || connection.unresponsiveSince == 0 {
			continue
		}
		if other := conductor.lossOf(connection); lost.together(&other) {
			return true
		}
	}
	return false
}

// concludeSettled concludes those of the jobs that were given up when the admission of a
// worker settled their losses.
func (conductor *Conductor) concludeSettled(worker *stager.Worker, jobs []*stager.Job) {
	if len(jobs) == 0 {
		return
	}
	logger.Info(conductor.config.Logger, "lost worker settled", "Worker", worker.Name, "Life", int64(worker.Life), "Address", worker.Address, "Jobs", len(jobs))
	for _, job := range jobs {
		if job.Over() {
			conductor.concludeJob(job)
		}
	}
}

// forgetLosses drops the losses that have been remembered for long enough.
func (conductor *Conductor) forgetLosses() {
	kept := conductor.losses[:0]
	for _, lost := range conductor.losses {
		if conductor.config.Clock() < lost.until+lossMemory {
			kept = append(kept, lost)
		}
	}
	conductor.losses = kept
	maps.DeleteFunc(conductor.lostAddresses, func(_ string, at time.Duration) bool { return conductor.config.Clock() >= at+lossMemory })
}

// lostRecently reports whether a worker at the address was lost not long ago, and no task
// explains it: it may be lost again, whatever it runs.
func (conductor *Conductor) lostRecently(address string) bool {
	_, lost := conductor.lostAddresses[address]
	return lost
}

// onTrial reports whether the worker runs a suspect that has not shown yet that it does
// not crash its worker. It gets no other work meanwhile, which a crash would hit and which
// would be suspected too.
func (connection *connection) onTrial(now time.Duration) bool {
	suspect := connection.suspect
	if suspect == nil || connection.attempts[suspect.id] != suspect {
		return false
	}
	return !suspect.passed(now)
}

// countTrials returns how many workers run a suspect on trial.
func (conductor *Conductor) countTrials() int {
	count, now := 0, conductor.config.Clock()
	for _, connection := range conductor.sortedConnections {
		if connection.onTrial(now) {
			count++
		}
	}
	return count
}

// taskOnTrial reports whether the task is a suspect that runs and has not passed its trial.
func (conductor *Conductor) taskOnTrial(id stager.TaskID) bool {
	task := conductor.state.Jobs[id.Job].Task(id)
	connection := conductor.connections[task.Worker]
	if !task.Live || connection == nil {
		return false
	}
	attempt := connection.attempts[id]
	return attempt != nil && !attempt.passed(conductor.config.Clock())
}

// passed reports whether an attempt has run for its trial.
func (attempt *attempt) passed(now time.Duration) bool {
	return attempt.startAcknowledgedAt != 0 && now >= attempt.startAcknowledgedAt+attempt.trial
}

// trialOf returns how long a suspect has to run until it has shown that its task does not
// crash its worker: twice as long as it had run when a worker crashed under it.
func trialOf(crashes stager.Crashes) time.Duration {
	return min(max(probation, 2*time.Duration(crashes.Longest)*time.Millisecond), maxCrashAge)
}

// quiet reports whether nothing has just begun on a worker, so that a crash would tell
// about the next task that begins there.
func (conductor *Conductor) quiet(name modeller.WorkerName) bool {
	connection := conductor.connections[name]
	if connection == nil {
		return false
	}
	now := conductor.config.Clock()
	for _, attempt := range connection.attempts {
		if attempt.state < sent || attempt.callInFlight || attempt.awaitingReport {
			return false
		}
		if began, _ := attempt.began(); now < began+probation {
			return false
		}
	}
	return true
}
