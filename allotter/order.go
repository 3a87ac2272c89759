package allotter

import (
	"cmp"
	"slices"

	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// abandonedAfterObjectives is how many times its completion objective a job may
// take before its callers are assumed to have stopped waiting.
const abandonedAfterObjectives = 3

// readyStep is a step that could start if it had room.
type readyStep struct {
	job   *stager.Job
	queue *stager.Queue
	id    stager.StepID
	spec  *stager.Step
	tasks []uint32
	// isolated is true if the tasks are suspects: workers have crashed under them before.
	// Each of them, or a gang of them, begins on a worker on which nothing else begins at
	// that time, so that a further crash tells whether it is the cause.
	isolated bool
	// paused is true if the job waits for the trial of the task cause, the only one that may
	// begin. It goes last: its task is probably deadly, the more so the more workers have
	// crashed under it.
	paused  bool
	cause   stager.TaskID
	crashes uint32
	// gangAttempt is the number of a gang's next attempt, zero until it has
	// been computed.
	gangAttempt modeller.Attempt
	// urgency is 0 while the job can be on time, 1 if it is late, and 2 if
	// its callers are assumed to have stopped waiting. Lower values go first.
	// It is always 0 for a lasting step.
	urgency int
	// queueRank is the rank of the step's queue, or zero while there is room for all steps.
	queueRank int
	// late is true if the job can't be on time any more.
	late bool
	// needsFastWorker is true if the job would be late on a worker that takes
	// twice the usual time.
	needsFastWorker bool
	// answered is true for a gang whose question has been answered; it goes
	// first, to get the room that was reserved for it.
	answered bool
	// latestStart is when the step has to start for its job to be on time.
	latestStart modeller.Millis
}

// readySteps returns the steps that wait for nothing but room, most urgent
// first.
func (allotter *Allotter) readySteps() []*readyStep {
	var steps []*readyStep
	for _, job := range allotter.config.State.Open() {
		steps = allotter.appendReadySteps(steps, job)
	}
	allotter.scarce = allotter.exceedsRoom(steps)
	if allotter.scarce {
		allotter.rankShares(steps)
	}
	slices.SortStableFunc(steps, func(left, right *readyStep) int {
		if left.paused != right.paused {
			return compareFirst(right.paused)
		}
		if left.crashes != right.crashes {
			return cmp.Compare(left.crashes, right.crashes)
		}
		if left.answered != right.answered {
			return compareFirst(left.answered)
		}
		return cmp.Or(cmp.Compare(left.urgency, right.urgency), cmp.Compare(left.queueRank, right.queueRank), cmp.Compare(left.latestStart, right.latestStart), cmp.Compare(left.id.Job, right.id.Job))
	})
	return steps
}

// rankShares sets what the order depends on while not all steps have room: the rank of
// their queue, and whether their client account handed them in beyond its weight.
func (allotter *Allotter) rankShares(steps []*readyStep) {
	for _, step := range steps {
		step.queueRank = step.queue.Rank
		allotter.lastRank = max(allotter.lastRank, step.queueRank)
		if step.job.Excess && !step.spec.Lasting {
			step.urgency = givenUp
		}
	}
}

// exceedsRoom reports whether the steps of any pool need more than what is free there. Steps
// at their account's limit, and those that the whole pool could not hold, do not count: more
// room would not help them.
func (allotter *Allotter) exceedsRoom(steps []*readyStep) bool {
	free, capacity := make(map[stager.PoolName]modeller.Resources), make(map[stager.PoolName]modeller.Resources)
	for index := range allotter.config.Candidates {
		worker := allotter.config.Candidates[index].Worker
		capacity[worker.Pool] = capacity[worker.Pool].Add(worker.Capacity)
		free[worker.Pool] = free[worker.Pool].Add(worker.Capacity.Sub(worker.Used()))
	}
	needed := make(map[stager.PoolName]modeller.Resources)
	for _, step := range steps {
		pool := step.queue.Pool
		if step.minSize().Fits(allotter.config.State.Room(step.job.ClientAccount)) && step.minSize().Fits(capacity[pool]) {
			needed[pool] = needed[pool].Add(step.spec.Demand().Times(int64(len(step.tasks))))
		}
	}
	exceeds := false
	for pool, room := range free {
		allotter.free = allotter.free.Add(room)
		exceeds = exceeds || !needed[pool].Fits(room)
	}
	return exceeds
}

// Values of readyStep.urgency.
const (
	onTime = iota
	overdue
	givenUp
)

// compareFirst returns the comparison result of two elements of which exactly
// one goes first.
func compareFirst(leftFirst bool) int {
	if leftFirst {
		return -1
	}
	return 1
}

func (allotter *Allotter) appendReadySteps(steps []*readyStep, job *stager.Job) []*readyStep {
	queue := allotter.config.State.Queues[job.Queue]
	cause, paused := allotter.pausedBy(job)
	for occurrence := range job.Occurrences() {
		due := job.Schedule.Due(occurrence)
		if due > allotter.config.Now {
			return steps
		}
		for index := range uint32(len(job.Steps)) {
			if job.Undone(occurrence, index) == 0 || !job.Ready(occurrence, index) {
				continue
			}
			for _, isolated := range isolations(job) {
				step := &readyStep{
					job: job, queue: queue, id: stager.StepID{Job: job.ID, Occurrence: occurrence, Step: index}, spec: &job.Steps[index],
					isolated: isolated, paused: paused, cause: cause,
				}
				if allotter.prepare(step, max(due, job.Accepted)) {
					steps = append(steps, step)
				}
			}
		}
	}
	return steps
}

// prepare fills in a step's tasks and its place in the order, and reports whether any task
// waits.
func (allotter *Allotter) prepare(step *readyStep, releasedAt modeller.Millis) bool {
	if step.tasks = step.waiting(); len(step.tasks) == 0 {
		return false
	}
	if step.paused {
		step.crashes = step.job.CrashesOf(step.cause).Total
	}
	allotter.setUrgency(step, releasedAt)
	allotter.reservePending(step)
	return true
}

// pausedBy returns the task that has to show that it does not crash its worker before others
// of its job begin, and whether there is one: if it is the cause, they would crash as many
// workers more.
func (allotter *Allotter) pausedBy(job *stager.Job) (stager.TaskID, bool) {
	index, likely := job.LikelyCause()
	if !likely {
		return stager.TaskID{}, false
	}
	id := job.TaskAt(index)
	waits := !job.Task(id).Live && !job.Task(id).Done
	return id, waits || allotter.config.OnTrial != nil && allotter.config.OnTrial(id)
}

// isolations returns the values of isolated with which the steps of a job may wait.
func isolations(job *stager.Job) []bool {
	if len(job.Crashes) == 0 {
		return []bool{false}
	}
	return []bool{false, true}
}

// waiting returns the tasks of the step that wait: the suspects if it is isolated, or
// the others. A gang with a suspect is isolated as a whole.
func (step *readyStep) waiting() []uint32 {
	tasks := step.job.Waiting(step.id.Occurrence, step.id.Step)
	if len(step.job.Crashes) == 0 {
		return tasks
	}
	suspect := func(index uint32) bool { return step.job.Suspect(stager.TaskID{StepID: step.id, Index: index}) }
	if step.paused && (step.cause.StepID != step.id || !step.isolated) {
		return nil
	}
	if step.paused && !step.spec.Gang {
		return slices.DeleteFunc(tasks, func(index uint32) bool { return index != step.cause.Index })
	}
	if step.spec.Gang {
		if slices.ContainsFunc(tasks, suspect) != step.isolated {
			return nil
		}
		return tasks
	}
	return slices.DeleteFunc(tasks, func(index uint32) bool { return suspect(index) != step.isolated })
}

// setUrgency derives the step's latest start and urgency from its job's
// objective, which counts from releasedAt.
func (allotter *Allotter) setUrgency(step *readyStep, releasedAt modeller.Millis) {
	paths := step.job.CriticalPaths(func(declared modeller.Millis) modeller.Millis { return allotter.runTime(step.queue.Name, declared) })
	objective := modeller.Millis(step.queue.Slack*float64(slices.Max(paths))) + step.queue.Allowance
	step.latestStart = releasedAt + objective - paths[step.id.Step]
	step.late = allotter.config.Now > step.latestStart
	step.needsFastWorker = step.latestStart-allotter.config.Now < paths[step.id.Step]
	switch {
	case step.spec.Lasting:
		// How long its tasks have been down is not seen from when the job was accepted, and
		// a question that waits keeps its order when another task goes down.
	case allotter.config.Now > releasedAt+abandonedAfterObjectives*objective-paths[step.id.Step]:
		step.urgency = givenUp
	case step.late:
		step.urgency = overdue
	}
}

// runTime returns a declared run time as corrected by Config.RunTime.
func (allotter *Allotter) runTime(queue modeller.QueueName, declared modeller.Millis) modeller.Millis {
	if allotter.config.RunTime == nil {
		return declared
	}
	return allotter.config.RunTime(queue, declared)
}
