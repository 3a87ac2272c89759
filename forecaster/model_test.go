package forecaster_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/dotterelrill/dotterelrill/forecaster"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// kind is a kind of job of the load that admission control addresses.
type kind struct {
	rank      int
	perSecond float64
	tasks     int
	size      forecaster.Processors
	runTime   float64
	gang      bool
	slack     float64
	allowance modeller.Millis
	steps     float64
}

// kinds are the jobs of the load; capacity is that of its workers.
var kinds = []kind{
	{rank: 0, perSecond: 4.72, tasks: 20, size: 4500, runTime: 5000, gang: true, slack: 2.2, allowance: 1000, steps: 1.2},
	{rank: 1, perSecond: 9.85, tasks: 25, size: 1700, runTime: 2700, slack: 4, allowance: 3000, steps: 1.5},
	{rank: 2, perSecond: 137, tasks: 3, size: 2500, runTime: 640, slack: 1.5, allowance: 250, steps: 1},
}

const capacity forecaster.Processors = 350 * 16000

// job is a job of the model.
type job struct {
	id                        string
	kind                      *kind
	account                   modeller.ClientAccountName
	accepted                  modeller.Millis
	admitted                  bool
	path, objective, estimate modeller.Millis
	steps, waiting, running   int
	finished                  modeller.Millis
	// random draws the run times, the same ones however the job is served.
	random *rand.Rand
}

func (job *job) need() forecaster.Processors {
	if job.kind.gang {
		return job.kind.size * forecaster.Processors(job.kind.tasks)
	}
	return job.kind.size
}

func (job *job) backlog() forecaster.Backlog {
	demand := job.kind.size * forecaster.Processors(job.waiting)
	return forecaster.Backlog{Work: forecaster.Work(demand) * forecaster.Work(job.estimate), Demand: demand, Tasks: job.waiting}
}

// urgency is the place of a job in the order of service.
func (job *job) urgency(now modeller.Millis) int {
	switch {
	case now > job.accepted+forecaster.ServedObjectives*job.objective:
		return 2
	case now > job.accepted+job.objective-job.path:
		return 1
	}
	return 0
}

// event is the end of a task or the submission of a job.
type event struct {
	at        modeller.Millis
	ended     *job
	expected  modeller.Millis
	submitted *job
	first     modeller.Millis
	tries     int
}

type events []event

func (events events) Len() int                  { return len(events) }
func (events events) Less(left, right int) bool { return events[left].at < events[right].at }
func (events events) Swap(left, right int)      { events[left], events[right] = events[right], events[left] }
func (events *events) Push(value any)           { *events = append(*events, value.(event)) }
func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

// model serves jobs on one pool of processors, in the order of urgency, rank, size and
// latest start.
type model struct {
	random   *rand.Rand
	now      modeller.Millis
	free     forecaster.Processors
	events   events
	jobs     []*job
	refused  *forecaster.Refused
	view     *view
	admits   bool
	served   []*job
	refusals int
	passAt   modeller.Millis
	unranked bool
	onTime   forecaster.Served
}

func newModel(seed uint64) *model {
	return &model{random: rand.New(rand.NewPCG(seed, 1)), free: capacity, refused: forecaster.NewRefused()}
}

func (model *model) rank(job *job) int {
	if model.unranked {
		return 0
	}
	return job.kind.rank
}

// newJob returns a job of a kind whose run times vary and are estimated roughly.
func (model *model) newJob(kind *kind, account int) *job {
	steps := 1
	if model.random.Float64() < kind.steps-1 {
		steps = 2
	}
	estimate := modeller.Millis(kind.runTime * (0.6 + 0.8*model.random.Float64()))
	path := estimate * modeller.Millis(steps)
	seed := model.random.Uint64()
	return &job{
		id: fmt.Sprint(seed), random: rand.New(rand.NewPCG(seed, 2)), kind: kind, account: modeller.ClientAccountName(fmt.Sprint("a", account)), path: path,
		objective: modeller.Millis(kind.slack*float64(path)) + kind.allowance, estimate: estimate, steps: steps, waiting: kind.tasks,
	}
}

// view is what the leader reads from its state a few times a second.
type view struct {
	at       modeller.Millis
	room     forecaster.Room
	fleet    forecaster.Waiting
	accounts map[modeller.ClientAccountName]*forecaster.Waiting
	rank     func(*job) int
}

func (view *view) add(job *job, ahead forecaster.Ahead) {
	if view.accounts[job.account] == nil {
		view.accounts[job.account] = &forecaster.Waiting{}
	}
	place := forecaster.Place{Rank: view.rank(job), Need: job.need(), LatestStart: job.accepted + job.objective - job.path - view.at}
	view.accounts[job.account].Add(place, ahead)
	view.fleet.Add(place, ahead)
}

// accept adds a job.
func (model *model) accept(job *job) {
	job.accepted, job.admitted = model.now, true
	model.jobs = append(model.jobs, job)
	if model.view != nil {
		model.view.add(job, forecaster.Ahead{OnTime: job.backlog()})
	}
}

// refresh reads the view if it is old.
func (model *model) refresh() *view {
	if model.view != nil && model.now < model.view.at+250 {
		return model.view
	}
	model.view = &view{at: model.now, rank: model.rank, accounts: make(map[modeller.ClientAccountName]*forecaster.Waiting)}
	model.view.room.Release(0, model.free)
	for _, event := range model.events {
		if event.ended != nil {
			model.view.room.Release(max(event.expected-model.now, 0), event.ended.kind.size)
		}
	}
	for _, job := range model.jobs {
		if job.waiting == 0 {
			continue
		}
		switch job.urgency(model.now) {
		case 0:
			model.view.add(job, forecaster.Ahead{OnTime: job.backlog()})
		case 1:
			model.view.add(job, forecaster.Ahead{Late: job.backlog()})
		}
	}
	model.refused.Forget(model.now)
	return model.view
}

func (model *model) refusedJob(job *job, first modeller.Millis) *forecaster.RefusedJob {
	return &forecaster.RefusedJob{ID: stager.JobID(job.id), ClientAccount: job.account, Rank: model.rank(job), Work: job.backlog(), First: first}
}

// question returns what the leader asks about a job, and the work of refused jobs.
func (model *model) question(asked *job, since modeller.Millis) (*forecaster.Question, forecaster.Returning) {
	view := model.refresh()
	sharing := len(view.accounts)
	if view.accounts[asked.account] == nil {
		sharing++
	}
	place := forecaster.Place{Rank: model.rank(asked), Need: asked.need(), LatestStart: model.now + asked.objective - asked.path - view.at}
	question := &forecaster.Question{
		Now: model.now - view.at, Room: &view.room, Fleet: view.fleet.Before(place), Account: view.accounts[asked.account].Before(place),
		AccountShare: 1 / float64(sharing), LateShare: model.onTime.LateShare(model.now, capacity), ApprovedShare: 1, Need: asked.need(), Path: asked.path, Objective: asked.objective, Waited: model.now - since,
	}
	return question, model.refused.Returning(model.refusedJob(asked, since), model.now)
}

// place starts what fits, in order. A gang starts as a whole.
func (model *model) place() {
	model.jobs = slices.DeleteFunc(model.jobs, func(job *job) bool { return job.finished > 0 })
	waiting := slices.DeleteFunc(slices.Clone(model.jobs), func(job *job) bool { return job.waiting == 0 })
	slices.SortStableFunc(waiting, func(left, right *job) int {
		return cmp.Or(cmp.Compare(left.urgency(model.now), right.urgency(model.now)), cmp.Compare(model.rank(left), model.rank(right)),
			cmp.Compare(left.accepted+left.objective, right.accepted+right.objective))
	})
	for _, job := range waiting {
		if model.free < job.need() {
			if job.kind.gang {
				break
			}
			continue
		}
		for job.waiting > 0 && model.free >= job.kind.size {
			model.start(job)
		}
	}
}

// start starts a task. Its run time varies by a third, and one task in 33 takes 7 times
// as long.
func (model *model) start(job *job) {
	actual := float64(job.estimate) * (0.7 + 0.6*job.random.Float64())
	if job.random.IntN(33) == 0 && !job.kind.gang {
		actual *= 7
	}
	job.waiting--
	job.running++
	model.free -= job.kind.size
	if job.urgency(model.now) == 0 {
		model.onTime.Add(model.now, forecaster.Work(job.kind.size)*forecaster.Work(job.estimate))
	}
	heap.Push(&model.events, event{at: model.now + modeller.Millis(actual), ended: job, expected: model.now + job.estimate})
}

// submit decides about a job. A refused caller returns up to 3 times within 3 seconds.
func (model *model) submit(submission event) {
	since := min(submission.first, model.now)
	if model.admits {
		question, returning := model.question(submission.submitted, since)
		if decision, _ := forecaster.Decide(question, returning); decision != forecaster.Accepted {
			model.refusals++
			asked := submission.submitted
			model.refused.Remember(*model.refusedJob(asked, model.now))
			wait := (forecaster.ReturnAfter(model.now-since, model.random.Float64()) + 999) / 1000 * 1000
			if submission.tries < 3 && model.now+wait-since <= forecaster.ReturnSpan {
				submission.at, submission.tries = model.now+wait, submission.tries+1
				heap.Push(&model.events, submission)
			}
			return
		}
		model.refused.Accept(stager.JobID(submission.submitted.id))
	}
	model.accept(submission.submitted)
	model.served = append(model.served, submission.submitted)
}

// step handles the next event. Work is placed at most every 20 ms, as by a leader.
func (model *model) step() {
	next := heap.Pop(&model.events).(event)
	model.now = next.at
	if next.submitted != nil {
		model.submit(next)
	} else if next.ended != nil {
		job := next.ended
		job.running--
		model.free += job.kind.size
		if job.running == 0 && job.waiting == 0 {
			if job.steps--; job.steps > 0 {
				job.waiting = job.kind.tasks
			} else {
				job.finished = model.now
			}
		}
	}
	if model.now >= model.passAt {
		model.place()
		model.passAt = model.now + 20
	}
}
