package conductor

import (
	"cmp"
	"slices"
	"time"

	"github.com/dotterelrill/dotterelrill/allotter"
	"github.com/dotterelrill/dotterelrill/estimator"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
	"github.com/dotterelrill/dotterelrill/waiter"
)

// runTime returns the expected run time of a queue's task from its declared
// one.
func (conductor *Conductor) runTime(queue modeller.QueueName, declared modeller.Millis) modeller.Millis {
	return conductor.trends[queue].RunTime(declared)
}

// observeRunTime updates the queue's trend and the worker's pace from an
// attempt that ran near its data as a whole. A gang counts once, through its first task, and
// not for the worker's pace, because its tasks may have waited for each other.
func (conductor *Conductor) observeRunTime(connection *connection, job *stager.Job, ended *attempt, step *stager.Step) {
	actual := millis(ended.runDuration(conductor.config.Clock()))
	if actual == 0 || ended.resumed || step.Lasting || step.Gang && ended.id.Index > 0 {
		return
	}
	near := conductor.near(job, ended.id, step, connection.name)
	conductor.observeLocality(connection, job, step, near, actual)
	if !near {
		return
	}
	trend := conductor.trends[job.Queue]
	if trend == nil {
		trend = &estimator.Trend{}
		conductor.trends[job.Queue] = trend
	}
	if !step.Gang {
		connection.pace.Observe(trend.RunTime(step.RunTime), actual)
		// The trend is for a worker of the usual pace, so this one's is divided out.
		actual = modeller.Millis(float64(actual) / connection.pace.Factor())
	}
	trend.Observe(step.RunTime, actual)
}

// near reports whether a task on a worker runs near its data and, where steps may wait for
// near room, whether a gang that needs one rack is in one.
func (conductor *Conductor) near(job *stager.Job, id stager.TaskID, step *stager.Step, name modeller.WorkerName) bool {
	rack := conductor.rack(name)
	if step.DataRack != "" && rack != step.DataRack {
		return false
	}
	if conductor.waiter == nil || !step.Gang || !hasLocality(step) {
		return true
	}
	for _, task := range job.StepTasks(id.Occurrence, id.Step) {
		if conductor.rack(task.Worker) != rack {
			return false
		}
	}
	return true
}

// hasLocality reports whether a step's tasks run faster in some racks than in others.
func hasLocality(step *stager.Step) bool {
	return step.DataRack != "" || step.Gang && step.OneRack
}

// rack returns the rack of a worker, empty if the worker is not known any more.
func (conductor *Conductor) rack(name modeller.WorkerName) modeller.RackName {
	if worker := conductor.state.Workers[name]; worker != nil {
		return worker.Rack
	}
	return ""
}

// observeLocality feeds a run time of a step with locality to the penalty of its queue.
func (conductor *Conductor) observeLocality(connection *connection, job *stager.Job, step *stager.Step, near bool, actual modeller.Millis) {
	if conductor.waiter == nil || !hasLocality(step) {
		return
	}
	if !step.Gang {
		actual = modeller.Millis(float64(actual) / connection.pace.Factor())
	}
	conductor.waiter.Observe(job.Queue, near, conductor.runTime(job.Queue, step.RunTime), actual)
}

// penalty returns how many times as long as near its data an attempt takes on a worker.
func (conductor *Conductor) penalty(job *stager.Job, id stager.TaskID, step *stager.Step, name modeller.WorkerName) float64 {
	if conductor.waiter == nil || conductor.near(job, id, step, name) {
		return 1
	}
	return conductor.waiter.Penalty(job.Queue)
}

// reportWait logs and counts the beginning or end of a step's wait for near room.
func (conductor *Conductor) reportWait(event waiter.Event) {
	conductor.instruments.countWait(event)
	logger.Info(conductor.config.Logger, "near wait", "Step", event.Step.String(), "Queue", event.Queue, "Rack", event.Rack, "Result", event.Result.String(),
		"Penalty", conductor.waiter.Penalty(event.Queue), "ExpectedMillis", int64(event.Expected), "WaitedMillis", int64(event.Waited), "GainedMillis", int64(event.Gained))
}

// expireWaits drops the waits of steps of which no task waits any more.
func (conductor *Conductor) expireWaits() {
	if conductor.waiter == nil {
		return
	}
	conductor.waiter.Retain(func(step stager.StepID) bool {
		job := conductor.state.Jobs[step.Job]
		return job != nil && !job.Over() && len(job.Waiting(step.Occurrence, step.Step)) > 0
	})
}

// expectedReleases returns when a worker's attempts are expected to end and what
// they free, earliest first. The slice belongs to the connection.
func (conductor *Conductor) expectedReleases(name modeller.WorkerName) []allotter.ExpectedRelease {
	connection := conductor.connections[name]
	if connection == nil {
		return nil
	}
	now := conductor.config.Clock()
	if connection.releases != nil && now < connection.releasesUntil {
		return connection.releases
	}
	found := make([]allotter.ExpectedRelease, 0, len(connection.attempts))
	for id, attempt := range connection.attempts {
		job := conductor.state.Jobs[id.Job]
		if job == nil || job.Over() {
			continue
		}
		step := &job.Steps[id.Step]
		expected := modeller.Millis(float64(conductor.runTime(job.Queue, step.RunTime)) * conductor.penalty(job, id, step, name))
		remaining := attempt.remainingTime(expected, now)
		found = append(found, allotter.ExpectedRelease{At: millis(now + remaining), Size: step.Demand()})
	}
	slices.SortFunc(found, func(left, right allotter.ExpectedRelease) int {
		return cmp.Or(cmp.Compare(left.At, right.At), cmp.Compare(left.Size.MilliProcessors, right.Size.MilliProcessors), cmp.Compare(left.Size.MemoryMiB, right.Size.MemoryMiB))
	})
	connection.releases, connection.releasesUntil = found, now+releasesValidity
	return found
}

// releasesValidity is how long the expected releases of a worker are kept while none of
// its attempts begins or ends: they change with the progress of its tasks alone.
const releasesValidity = 100 * time.Millisecond

// overdueDivisor gives the least time that an attempt is expected to still run,
// as a fraction of its time so far. It applies once the attempt is overdue.
const overdueDivisor = 10

// remainingTime estimates how long the attempt will still run, from its
// progress if it has reported any.
func (attempt *attempt) remainingTime(expected modeller.Millis, now time.Duration) time.Duration {
	total := time.Duration(expected) * time.Millisecond
	if attempt.resumed {
		return total * time.Duration(maxPercent-attempt.percent) / maxPercent
	}
	if progressTime := attempt.lastProgressAt - attempt.startAcknowledgedAt; attempt.percent > 0 && progressTime > 0 {
		total = progressTime * maxPercent / time.Duration(attempt.percent)
	}
	return max(total-attempt.runDuration(now), attempt.runDuration(now)/overdueDivisor)
}
