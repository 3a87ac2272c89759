package allotter

import (
	"cmp"
	"slices"

	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// lateAfter is how many objectives after its submission nobody waits for a job
// any more.
const lateAfter = 3

// waiting is a step that could start if it had room.
type waiting struct {
	job   *stager.Job
	queue *stager.Queue
	id    stager.StepID
	step  *stager.Step
	tasks []uint32
	// attempt is the next one of a gang, zero while it is not worked out.
	attempt modeller.Attempt
	// urgency is 0 while the job can be on time, 1 if it is late and 2 if
	// nobody waits for it any more.
	urgency int
	// hurried is true if the job would be late on a worker that takes twice the
	// usual time.
	hurried bool
	// answered is true for a gang whose question has been answered, so that it
	// gets the room that was kept for it.
	answered bool
	// latest is when the step has to start for its job to be on time.
	latest modeller.Millis
}

// order returns the steps that wait for nothing but room.
func (allotter *Allotter) order() []*waiting {
	var steps []*waiting
	for _, job := range allotter.config.State.Open() {
		steps = allotter.readySteps(steps, job)
	}
	slices.SortStableFunc(steps, func(left, right *waiting) int {
		if left.answered != right.answered {
			return first(left.answered)
		}
		return cmp.Or(cmp.Compare(left.urgency, right.urgency), cmp.Compare(left.latest, right.latest))
	})
	return steps
}

// first is the comparison of two of which only one goes first.
func first(left bool) int {
	if left {
		return -1
	}
	return 1
}

func (allotter *Allotter) readySteps(steps []*waiting, job *stager.Job) []*waiting {
	queue := allotter.config.State.Queues[job.Queue]
	for occurrence := range job.Occurrences() {
		due := job.Schedule.Due(occurrence)
		if due > allotter.config.Now {
			return steps
		}
		for at := range uint32(len(job.Steps)) {
			if job.Undone(occurrence, at) == 0 || !job.Ready(occurrence, at) {
				continue
			}
			if tasks := job.Waiting(occurrence, at); len(tasks) > 0 {
				made := &waiting{job: job, queue: queue, id: stager.StepID{Job: job.ID, Occurrence: occurrence, Step: at}, step: &job.Steps[at], tasks: tasks}
				allotter.rate(made, max(due, job.Accepted))
				allotter.keepForGang(made)
				steps = append(steps, made)
			}
		}
	}
	return steps
}

// rate works out how urgent a step is.
func (allotter *Allotter) rate(step *waiting, begun modeller.Millis) {
	chains := step.job.Chains(func(declared modeller.Millis) modeller.Millis { return allotter.runTime(step.queue.Name, declared) })
	objective := modeller.Millis(step.queue.Slack*float64(slices.Max(chains))) + step.queue.Allowance
	step.latest = begun + objective - chains[step.id.Step]
	step.hurried = step.latest-allotter.config.Now < chains[step.id.Step]
	switch {
	case allotter.config.Now > begun+lateAfter*objective:
		step.urgency = 2
	case allotter.config.Now > step.latest:
		step.urgency = 1
	}
}

// runTime corrects a declared run time.
func (allotter *Allotter) runTime(queue modeller.QueueName, declared modeller.Millis) modeller.Millis {
	if allotter.config.RunTime == nil {
		return declared
	}
	return allotter.config.RunTime(queue, declared)
}
