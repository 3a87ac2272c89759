// Package allotter owns the policy for staged jobs: which waiting step goes
// next, on which workers, and which workers an adviser is asked about.
//
// It answers a load of short urgent jobs beside wide gangs and long batch steps
// on a fleet that is nearly full. Steps that can still be on time go first, the
// one whose latest start is nearest before the others; then those that are late;
// then those that nobody waits for any more. It proposes and decides nothing:
// package stager checks each placement in full.
//
// An Allotter works on a view that its owner gives it and keeps no state, so it
// can be tested without a network and replayed.
package allotter

import (
	"cmp"
	"slices"

	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// Candidate is a worker that may get work now.
type Candidate struct {
	Worker *stager.Worker
	// Doubt counts recent failures that speak against the worker; those with
	// less are taken first.
	Doubt int
}

// Approval is what an adviser has said about a step.
type Approval struct {
	// Tickets holds the workers that may run the step.
	Tickets map[modeller.WorkerName]Ticket
	// Refused holds the lives of workers that may not.
	Refused map[modeller.WorkerName]stager.Life
	// Asking is true while a question is under way.
	Asking bool
	// Kept is where a gang is to be placed if the answer allows it. The room is
	// kept from all other steps until the gang was looked at again.
	Kept []modeller.WorkerName
}

// Ticket is leave to run a step on a worker.
type Ticket struct {
	Ticket stager.Ticket
	Life   stager.Life
	// Until is when the ticket is no longer to be used, on the clock of Now.
	Until modeller.Millis
}

// Question asks an adviser which workers may run a step.
type Question struct {
	Step    stager.StepID
	Workers []modeller.WorkerName
	// Urgency and Latest are those of the step.
	Urgency int
	Latest  modeller.Millis
}

// Config is the view that an Allotter works on.
type Config struct {
	State *stager.State
	// Now is the time of day, and Elapsed the clock that tickets run on.
	Now, Elapsed modeller.Millis
	Candidates   []Candidate
	// Approval returns what is known of a step, never nil.
	Approval func(stager.StepID) *Approval
	// Place carries a placement out on the State or refuses it.
	Place func(*stager.Place) error
	// Ask passes a question on.
	Ask func(Question)
}

// Allotter goes through the waiting steps once.
type Allotter struct {
	config Config
	// kept is the room that steps wait for an adviser's leave to use: that of
	// gangs, and that of more urgent steps.
	kept map[modeller.WorkerName]modeller.Resources
}

// New returns an allotter for one pass.
func New(config Config) *Allotter {
	return &Allotter{config: config, kept: make(map[modeller.WorkerName]modeller.Resources)}
}

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
	// urgency is 0 while the job can be on time, 1 if it is late and 2 if
	// nobody waits for it any more.
	urgency int
	// answered is true for a gang whose question has been answered, so that it
	// gets the room that was kept for it.
	answered bool
	// latest is when the step has to start for its job to be on time.
	latest modeller.Millis
}

// Summary counts the steps of one pass by what became of them.
type Summary struct {
	// Placed were placed whole, Asking wait for an adviser, NoRoom for workers
	// and AtLimit for their client account's other work.
	Placed, Asking, NoRoom, AtLimit int
}

// Run proposes placements and questions in the order of the waiting steps.
func (allotter *Allotter) Run() Summary {
	var summary Summary
	for _, step := range allotter.order() {
		*allotter.serve(step, &summary)++
	}
	return summary
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
	objective := modeller.Millis(step.queue.Slack*float64(step.job.LongestChain())) + step.queue.Allowance
	step.latest = begun + objective - step.job.Chain(step.id.Step)
	switch {
	case allotter.config.Now > begun+lateAfter*objective:
		step.urgency = 2
	case allotter.config.Now > step.latest:
		step.urgency = 1
	}
}

// keepForGang keeps the room that a gang has asked leave for.
func (allotter *Allotter) keepForGang(step *waiting) {
	if step.queue.Advised == nil || !step.step.Gang {
		return
	}
	approval := allotter.config.Approval(step.id)
	step.answered = len(approval.Kept) > 0 && !approval.Asking
	allotter.keep(step, approval.Kept)
}

// serve places what it can of a step, and asks about workers if that is what
// it lacks. It returns which count of the summary the step belongs to.
func (allotter *Allotter) serve(step *waiting, summary *Summary) *int {
	if !step.step.Size.Fits(allotter.config.State.Room(step.job.ClientAccount)) {
		return &summary.AtLimit
	}
	if step.queue.Advised == nil {
		options := allotter.options(step)
		if allotter.place(step, options) == len(step.tasks) {
			return &summary.Placed
		}
		return &summary.NoRoom
	}
	approval := allotter.config.Approval(step.id)
	if len(approval.Kept) > 0 && approval.Asking {
		return &summary.Asking
	}
	allotter.unkeep(step, approval.Kept)
	approval.Kept = nil
	ticketed, known, unknown := allotter.split(approval, allotter.options(step))
	if allotter.place(step, ticketed) == len(step.tasks) {
		return &summary.Placed
	}
	step.tasks = step.job.Waiting(step.id.Occurrence, step.id.Step)
	if allotter.ask(step, approval, append(ticketed, known...), unknown) {
		return &summary.Asking
	}
	return &summary.NoRoom
}

// options returns the workers that could take one task, best first.
func (allotter *Allotter) options(step *waiting) []Candidate {
	var fitting []Candidate
	held := step.step.Held()
	for _, candidate := range allotter.config.Candidates {
		worker := candidate.Worker
		if worker.Pool == step.queue.Pool && worker.Bears(step.step.Label) && held.Fits(allotter.left(worker)) && allotter.bearable(step.step, worker) {
			fitting = append(fitting, candidate)
		}
	}
	slices.SortStableFunc(fitting, func(left, right Candidate) int {
		return cmp.Or(cmp.Compare(left.Doubt, right.Doubt),
			cmp.Compare(farness(step.step, left.Worker), farness(step.step, right.Worker)),
			cmp.Compare(free(left.Worker), free(right.Worker)))
	})
	return fitting
}

// bearable keeps tasks that fill apart from tasks that serve: each disturbs the
// other by amounts that only a measurement tells.
func (allotter *Allotter) bearable(step *stager.Step, worker *stager.Worker) bool {
	if !step.Filler && step.LatencyObjective == 0 {
		return true
	}
	for _, id := range allotter.config.State.LiveOn(worker.Name) {
		other := &allotter.config.State.Jobs[id.Job].Steps[id.Step]
		if step.Filler && other.LatencyObjective > 0 || step.LatencyObjective > 0 && other.Filler {
			return false
		}
	}
	return true
}

// farness is 1 on workers that are far from a step's data.
func farness(step *stager.Step, worker *stager.Worker) int {
	if step.DataRack != "" && worker.Rack != step.DataRack {
		return 1
	}
	return 0
}

// free is what a worker has left, by its scarcer resource in thousandths.
func free(worker *stager.Worker) int64 {
	left := worker.Capacity.Sub(worker.Used())
	return min(left.MilliProcessors*1000/max(1, worker.Capacity.MilliProcessors), left.MemoryMiB*1000/max(1, worker.Capacity.MemoryMiB))
}

// split tells apart the workers with a ticket, those that were approved but
// whose ticket has lapsed, and those that were never asked about.
func (allotter *Allotter) split(approval *Approval, options []Candidate) (ticketed, known, unknown []Candidate) {
	for _, option := range options {
		worker := option.Worker
		ticket, approved := approval.Tickets[worker.Name]
		switch {
		case approved && ticket.Life == worker.Life && allotter.config.Elapsed < ticket.Until:
			ticketed = append(ticketed, option)
		case approved && ticket.Life == worker.Life:
			known = append(known, option)
		case approval.Refused[worker.Name] != worker.Life:
			unknown = append(unknown, option)
		}
	}
	return ticketed, known, unknown
}

// place puts as many tasks as fit on the options, a gang's only all together.
// It returns how many were placed.
func (allotter *Allotter) place(step *waiting, options []Candidate) int {
	if len(options) == 0 {
		return 0
	}
	if step.step.Gang && step.step.OneRack {
		options = allotter.oneRack(step, options)
	}
	proposed := allotter.assign(step, options)
	if len(proposed.Tasks) == 0 || step.step.Gang && len(proposed.Tasks) < len(step.tasks) {
		return 0
	}
	if allotter.config.Place(proposed) != nil {
		return 0
	}
	return len(proposed.Tasks)
}

// assign fills the options one after the other.
func (allotter *Allotter) assign(step *waiting, options []Candidate) *stager.Place {
	place := &stager.Place{Step: step.id}
	approval := allotter.config.Approval(step.id)
	room := allotter.config.State.Room(step.job.ClientAccount)
	held := step.step.Held()
	at := 0
	for _, option := range options {
		worker := option.Worker
		left := allotter.left(worker)
		here := worker.OfStep(step.id)
		for at < len(step.tasks) && held.Fits(left) && step.step.Size.Fits(room) {
			if step.step.MostPerWorker > 0 && here >= int(step.step.MostPerWorker) {
				break
			}
			id := stager.TaskID{StepID: step.id, Index: step.tasks[at]}
			place.Tasks = append(place.Tasks, stager.Placed{
				Index: id.Index, Attempt: step.job.NextAttempt(id),
				Worker: worker.Name, Life: worker.Life, Ticket: approval.Tickets[worker.Name].Ticket,
			})
			left = left.Sub(held)
			room = room.Sub(step.step.Size)
			at++
			here++
			if held.IsZero() {
				break
			}
		}
	}
	return place
}

// oneRack narrows the options to the rack with the most room, if one holds all
// of the step.
func (allotter *Allotter) oneRack(step *waiting, options []Candidate) []Candidate {
	racks := make(map[modeller.RackName][]Candidate)
	for _, option := range options {
		racks[option.Worker.Rack] = append(racks[option.Worker.Rack], option)
	}
	var best []Candidate
	for _, rack := range racks {
		if len(rack) > len(best) && len(allotter.assign(step, rack).Tasks) == len(step.tasks) {
			best = rack
		}
	}
	if best != nil {
		return best
	}
	return options
}

// askMost is how many workers a question names. An adviser approves of a part of
// them only, and takes far longer for a second question than for more workers
// in the first; jobs are given the time for this many.
const askMost = 30

// namedMost is how many workers an adviser takes in one question.
const namedMost = 100

// ask asks about the workers that the step would be placed on if its tickets
// held, and about new ones if those do not suffice. The room is kept from less
// urgent steps meanwhile. A gang that would not fit even so asks nothing. It
// returns whether an answer is waited for.
func (allotter *Allotter) ask(step *waiting, approval *Approval, approved, unknown []Candidate) bool {
	wanted := allotter.assign(step, approved)
	missing := len(step.tasks) - len(wanted.Tasks)
	if missing > 0 {
		whole := allotter.assign(step, append(approved, unknown...))
		if len(whole.Tasks) == 0 || step.step.Gang && len(whole.Tasks) < len(step.tasks) {
			return false
		}
		missing = len(whole.Tasks) - len(wanted.Tasks)
	}
	keeping := workersOf(wanted)
	allotter.keep(step, keeping)
	if approval.Asking {
		return true
	}
	question := Question{Step: step.id, Urgency: step.urgency, Latest: step.latest}
	for _, name := range keeping {
		// A gang needs all its tickets at once, so none may lapse while others are
		// asked for.
		if !slices.Contains(question.Workers, name) && (step.step.Gang || allotter.config.Elapsed >= approval.Tickets[name].Until) {
			question.Workers = append(question.Workers, name)
		}
	}
	if missing > 0 {
		question.Workers = append(question.Workers, names(unknown, max(0, askMost-len(question.Workers)))...)
	}
	if len(question.Workers) == 0 {
		return false
	}
	question.Workers = question.Workers[:min(len(question.Workers), namedMost)]
	allotter.config.Ask(question)
	if step.step.Gang && missing == 0 && approval.Asking {
		approval.Kept = keeping
	}
	return true
}

func workersOf(place *stager.Place) []modeller.WorkerName {
	found := make([]modeller.WorkerName, 0, len(place.Tasks))
	for at := range place.Tasks {
		found = append(found, place.Tasks[at].Worker)
	}
	return found
}

func names(candidates []Candidate, most int) []modeller.WorkerName {
	var found []modeller.WorkerName
	for _, candidate := range candidates[:min(most, len(candidates))] {
		found = append(found, candidate.Worker.Name)
	}
	return found
}

// keep keeps room for a task of the step on each of the workers named.
func (allotter *Allotter) keep(step *waiting, workers []modeller.WorkerName) {
	held := step.step.Held()
	for _, name := range workers {
		allotter.kept[name] = allotter.kept[name].Add(held)
	}
}

// unkeep ends what keep began.
func (allotter *Allotter) unkeep(step *waiting, workers []modeller.WorkerName) {
	held := step.step.Held()
	for _, name := range workers {
		allotter.kept[name] = allotter.kept[name].Sub(held)
	}
}

// left is what a worker has left for a step.
func (allotter *Allotter) left(worker *stager.Worker) modeller.Resources {
	return worker.Capacity.Sub(worker.Used()).Sub(allotter.kept[worker.Name])
}
