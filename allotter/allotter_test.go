package allotter_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/allotter"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
	"github.com/dotterelrill/dotterelrill/waiter"
)

// fixture is a state with waiting jobs, and the placements and questions of the
// last pass over it.
type fixture struct {
	c         *qt.C
	state     *stager.State
	approvals map[stager.StepID]*allotter.Approval
	placed    []string
	questions []allotter.Question
	now       modeller.Millis
	endings   map[modeller.WorkerName][]allotter.ExpectedRelease
	pace      map[modeller.WorkerName]float64
	names     []modeller.WorkerName
	// candidates is reused by each pass.
	candidates []allotter.Candidate
	// quiet, lost and onTrial are what the owner reports of workers and of suspects that run.
	quiet   func(modeller.WorkerName) bool
	lost    map[modeller.WorkerName]bool
	onTrial bool
	// adviserFree is what the owner reports of advisers; nil means that questions wait.
	adviserFree func(time.Duration) bool
	// gone holds workers that are no candidates.
	gone map[modeller.WorkerName]bool
	// waiter decides how long steps wait for a rack; if it is nil, none waits.
	waiter *waiter.Waiter
	// onPlace is called with each placement, if it is set.
	onPlace func(*stager.Place)
}

const workerCores = 8

// newFixture returns a state with workers of 8 cores and two queues: swap for
// urgent short jobs, draw for long gangs. If advised is true, both queues need
// an adviser's approval.
func newFixture(t testing.TB, workers int, advised bool) *fixture {
	c := qt.New(t)
	fixture := &fixture{c: c, state: stager.New(), approvals: make(map[stager.StepID]*allotter.Approval), now: 1000}
	deployment := &stager.Deployment{
		Version:  1,
		Pools:    []stager.Pool{{Name: "p"}},
		Accounts: []stager.Account{{Name: "a"}, {Name: "small", Limit: modeller.Resources{MilliProcessors: 1000}}},
	}
	for name, slack := range map[modeller.QueueName]float64{"swap": 1.5, "draw": 2} {
		queue := stager.Queue{Name: name, Host: "h", Prefix: "/" + string(name) + "/", Pool: "p", MostFailures: 3, Slack: slack, Allowance: 200, Timeout: 3000}
		if advised {
			queue.Advised = &stager.AdviserTiming{}
		}
		deployment.Queues = append(deployment.Queues, queue)
	}
	fixture.apply(stager.Command{Deploy: deployment})
	for index := range workers {
		fixture.apply(stager.Command{Admit: &stager.Worker{
			Name: modeller.WorkerName(fmt.Sprintf("w%02d", index)), Life: 1, Pool: "p", Rack: modeller.RackName(fmt.Sprint("r", index/2)),
			Capacity: modeller.Resources{MilliProcessors: 1000 * workerCores, MemoryMiB: 8000},
		}})
	}
	return fixture
}

func (fixture *fixture) apply(command stager.Command) {
	fixture.state.Now = fixture.now
	fixture.c.Assert(fixture.state.ApplyCommand(&command), qt.IsNil)
}

func (fixture *fixture) submit(id, queue string, step stager.Step) {
	fixture.apply(stager.Command{Submit: &stager.Submit{ID: stager.JobID(id), ClientAccount: "a", Queue: modeller.QueueName(queue), Steps: []stager.Step{step}}})
}

func step(tasks uint32, cores int64, runTime modeller.Millis) stager.Step {
	return stager.Step{Tasks: tasks, Size: modeller.Resources{MilliProcessors: 1000 * cores, MemoryMiB: 100}, RunTime: runTime}
}

func (fixture *fixture) approval(step stager.StepID) *allotter.Approval {
	approval := fixture.approvals[step]
	if approval == nil {
		approval = &allotter.Approval{Tickets: make(map[modeller.WorkerName]allotter.Ticket), Refused: make(map[modeller.WorkerName]stager.Incarnation)}
		fixture.approvals[step] = approval
	}
	return approval
}

func (fixture *fixture) run() allotter.Summary {
	fixture.placed, fixture.questions = nil, nil
	config := allotter.Config{
		State: fixture.state, Now: fixture.now, Elapsed: fixture.now, Approval: fixture.approval,
		ExpectedReleases: func(name modeller.WorkerName) []allotter.ExpectedRelease { return fixture.endings[name] },
		AdviserFree:      fixture.adviserFree,
		Waiter:           fixture.waiter,
		Quiet:            fixture.quiet, OnTrial: func(stager.TaskID) bool { return fixture.onTrial },
		Place: func(place *stager.Place) error {
			fixture.state.Now = fixture.now
			if err := fixture.state.ApplyCommand(&stager.Command{Place: place}); err != nil {
				return err
			}
			if fixture.onPlace != nil {
				fixture.onPlace(place)
			}
			for range place.Tasks {
				fixture.placed = append(fixture.placed, string(place.Step.Job))
			}
			return nil
		},
		Ask: func(question allotter.Question) {
			fixture.questions = append(fixture.questions, question)
			fixture.approval(question.Step).Asking = true
		},
	}
	for index := len(fixture.names); index < len(fixture.state.Workers); index++ {
		fixture.names = append(fixture.names, modeller.WorkerName(fmt.Sprintf("w%02d", index)))
	}
	config.Candidates = fixture.candidates[:0]
	for _, name := range fixture.names {
		if fixture.gone[name] {
			continue
		}
		config.Candidates = append(config.Candidates, allotter.Candidate{Worker: fixture.state.Workers[name], Pace: fixture.pace[name], LostRecently: fixture.lost[name]})
	}
	fixture.candidates = config.Candidates
	return allotter.New(config).Run()
}

// answer records an adviser's answer that approves the workers for which
// approved returns true and refuses the others.
func (fixture *fixture) answer(question allotter.Question, approved func(modeller.WorkerName) bool) {
	approval := fixture.approval(question.Step)
	approval.ClearQuestion()
	for _, name := range question.Workers {
		if approved(name) {
			approval.Tickets[name] = allotter.Ticket{Ticket: "t", Life: 1, Until: fixture.now + 1000}
		} else {
			approval.Refused[name] = 1
		}
	}
}

// TestUrgentJobsGoFirstOnAFullFleet has more work waiting than fits: the jobs
// that must start earliest go first, and late jobs go after those that
// can still be on time.
func TestUrgentJobsGoFirstOnAFullFleet(t *testing.T) {
	fixture := newFixture(t, 1, false)
	fixture.submit("late", "swap", step(1, 4, 100))
	fixture.now = 2000
	fixture.submit("draw", "draw", step(1, 4, 9000))
	fixture.submit("swap", "swap", step(1, 4, 500))
	summary := fixture.run()
	fixture.c.Check(fixture.placed, qt.DeepEquals, []string{"swap", "draw"})
	fixture.c.Check(summary, qt.Equals, allotter.Summary{Placed: 2, NoRoom: 1})
}

// TestALastingTaskThatIsDownGoesBeforeNewJobs has a task of a job that was accepted long
// ago fail on a fleet without room for all.
func TestALastingTaskThatIsDownGoesBeforeNewJobs(t *testing.T) {
	fixture := newFixture(t, 1, false)
	lasting := step(1, 8, 400)
	lasting.Lasting = true
	fixture.submit("watch", "draw", lasting)
	fixture.run()
	fixture.now = 60000
	fixture.apply(stager.Command{End: &stager.End{Task: stager.TaskID{StepID: stager.StepID{Job: "watch"}}, Attempt: 1, How: stager.Failing}})
	fixture.submit("swap", "swap", step(1, 4, 500))
	fixture.run()
	fixture.c.Check(fixture.placed, qt.DeepEquals, []string{"watch"})
}

// TestALastingStepIsNeverLate guards against a question that was asked with a late step's
// order before another task of the step went down.
func TestALastingStepIsNeverLate(t *testing.T) {
	fixture := newFixture(t, 1, true)
	lasting := step(1, 4, 400)
	lasting.Lasting = true
	fixture.submit("watch", "draw", lasting)
	fixture.now = 60000
	fixture.run()
	fixture.c.Assert(fixture.questions, qt.HasLen, 1)
	fixture.c.Check(fixture.questions[0].Urgency, qt.Equals, 0)
}

func TestGangsArePlacedWholeOrNotAtAll(t *testing.T) {
	fixture := newFixture(t, 2, false)
	gang := step(5, 4, 1000)
	gang.Gang = true
	fixture.submit("gang", "draw", gang)
	fixture.c.Check(fixture.run(), qt.Equals, allotter.Summary{NoRoom: 1}, qt.Commentf("five tasks of 4 cores exceed the 16 of both workers"))
	small := step(4, 4, 1000)
	small.Gang = true
	fixture.submit("small", "draw", small)
	fixture.run()
	fixture.c.Check(fixture.placed, qt.DeepEquals, []string{"small", "small", "small", "small"})
}

func TestASmallStepFillsTheFullestWorker(t *testing.T) {
	fixture := newFixture(t, 2, false)
	fixture.submit("first", "swap", step(1, 2, 500))
	fixture.run()
	fixture.submit("second", "swap", step(1, 2, 500))
	fixture.run()
	used := 0
	for _, worker := range fixture.state.Workers {
		if !worker.Used().IsZero() {
			used++
		}
	}
	fixture.c.Check(used, qt.Equals, 1, qt.Commentf("the other worker stays empty for wide tasks"))
}

// TestNoQuestionForWhatDoesNotFit guards against a gang without room asking
// again for each ticket that expires, which keeps the adviser busy all the
// time.
func TestNoQuestionForWhatDoesNotFit(t *testing.T) {
	fixture := newFixture(t, 2, true)
	gang := step(5, 4, 1000)
	gang.Gang = true
	fixture.submit("gang", "draw", gang)
	fixture.c.Check(fixture.run(), qt.Equals, allotter.Summary{NoRoom: 1})
	fixture.c.Check(fixture.questions, qt.HasLen, 0)
}

// TestAGangThatWaitsKeepsTheRoomThatComesFree guards against small steps taking
// each piece of room that becomes free on a nearly full fleet, so that a
// waiting gang never starts in time. The gang asks once which workers are
// approved, and not again before it fits.
func TestAGangThatWaitsKeepsTheRoomThatComesFree(t *testing.T) {
	fixture := newFixture(t, 3, true)
	fixture.submit("old", "swap", step(3, 5, 100))
	for index := range 3 {
		fixture.apply(stager.Command{Place: &stager.Place{Step: stager.StepID{Job: "old"}, Tasks: []stager.TaskPlacement{
			{Index: uint32(index), Attempt: 1, Worker: modeller.WorkerName(fmt.Sprintf("w%02d", index)), Life: 1},
		}}})
	}
	size := modeller.Resources{MilliProcessors: 5000, MemoryMiB: 100}
	fixture.endings = map[modeller.WorkerName][]allotter.ExpectedRelease{
		"w00": {{At: fixture.now + 9000, Size: size}}, "w01": {{At: fixture.now + 500, Size: size}}, "w02": {{At: fixture.now + 700, Size: size}},
	}
	gang := step(2, 8, 1000)
	gang.Gang = true
	fixture.submit("gang", "draw", gang)
	fixture.run()
	fixture.c.Assert(fixture.questions, qt.HasLen, 1)
	fixture.answer(fixture.questions[0], func(modeller.WorkerName) bool { return true })
	fixture.submit("small", "draw", step(3, 2, 5000))
	smallApproval := fixture.approval(stager.StepID{Job: "small"})
	for index := range 3 {
		smallApproval.Tickets[modeller.WorkerName(fmt.Sprintf("w%02d", index))] = allotter.Ticket{Ticket: "t", Life: 1, Until: fixture.now + 60_000}
	}
	fixture.now += 400
	fixture.run()
	fixture.c.Check(fixture.placed, qt.DeepEquals, []string{"small"}, qt.Commentf("only the worker that becomes free last is not reserved for the gang"))
	fixture.c.Check(fixture.state.Workers["w00"].LiveCount(), qt.Equals, 2)
	fixture.c.Check(fixture.questions, qt.HasLen, 0)
	fixture.now += 5000
	for name := range fixture.endings {
		fixture.endings[name][0].At += 5000
	}
	fixture.run()
	fixture.c.Check(fixture.questions, qt.HasLen, 0, qt.Commentf("the gang's tickets have expired, and it will not fit soon"))
}

func TestATightStepGoesToAFastWorkerAndNoneToASlowOne(t *testing.T) {
	fixture := newFixture(t, 3, false)
	fixture.pace = map[modeller.WorkerName]float64{"w00": 5, "w01": 1.2, "w02": 0.8}
	fixture.submit("swap", "swap", step(1, 1, 5000))
	fixture.submit("draw", "draw", step(9, 1, 100))
	fixture.run()
	fixture.c.Check(fixture.state.Workers["w02"].LiveCount() > 0, qt.IsTrue)
	fixture.c.Check(fixture.state.Jobs["swap"].Tasks[0].Worker, qt.Equals, modeller.WorkerName("w02"))
	fixture.c.Check(fixture.state.Workers["w00"].LiveCount(), qt.Equals, 0)
}

func TestOnlyTheExpiredTicketIsAskedForAgain(t *testing.T) {
	fixture := newFixture(t, 10, true)
	fixture.submit("j", "swap", step(1, 8, 500))
	fixture.run()
	fixture.c.Assert(fixture.questions, qt.HasLen, 1)
	fixture.c.Check(fixture.questions[0].Workers, qt.HasLen, 10)
	fixture.answer(fixture.questions[0], func(name modeller.WorkerName) bool { return name == "w07" })
	fixture.now += 5000
	fixture.run()
	fixture.c.Assert(fixture.questions, qt.HasLen, 1)
	fixture.c.Check(fixture.questions[0].Workers, qt.DeepEquals, []modeller.WorkerName{"w07"})
	fixture.answer(fixture.questions[0], func(modeller.WorkerName) bool { return true })
	fixture.run()
	fixture.c.Check(fixture.placed, qt.DeepEquals, []string{"j"})
}

// TestRoomIsKeptWhileAnAdviserIsAsked checks that a less urgent step with a
// valid ticket does not take the room that a more urgent step has asked an
// adviser about.
func TestRoomIsKeptWhileAnAdviserIsAsked(t *testing.T) {
	fixture := newFixture(t, 1, true)
	fixture.submit("urgent", "swap", step(1, 8, 100))
	urgentApproval := fixture.approval(stager.StepID{Job: "urgent"})
	urgentApproval.Tickets["w00"] = allotter.Ticket{Ticket: "old", Life: 1, Until: fixture.now - 1}
	fixture.submit("other", "draw", step(1, 8, 9000))
	otherApproval := fixture.approval(stager.StepID{Job: "other"})
	otherApproval.Tickets["w00"] = allotter.Ticket{Ticket: "good", Life: 1, Until: fixture.now + 1000}
	fixture.run()
	fixture.c.Check(fixture.placed, qt.HasLen, 0)
	fixture.c.Assert(fixture.questions, qt.HasLen, 1)
	fixture.answer(fixture.questions[0], func(modeller.WorkerName) bool { return true })
	fixture.run()
	fixture.c.Check(fixture.placed, qt.DeepEquals, []string{"urgent"})
}

// TestAGangAsksForAllItsTicketsAtOnce guards against a wide gang that never
// starts because its tickets expire at different times and it only asks for the
// expired ones.
func TestAGangAsksForAllItsTicketsAtOnce(t *testing.T) {
	fixture := newFixture(t, 4, true)
	gang := step(4, 8, 1000)
	gang.Gang = true
	fixture.submit("gang", "draw", gang)
	fixture.run()
	fixture.c.Assert(fixture.questions, qt.HasLen, 1)
	fixture.answer(fixture.questions[0], func(modeller.WorkerName) bool { return true })
	gangApproval := fixture.approval(stager.StepID{Job: "gang"})
	expired := gangApproval.Tickets["w01"]
	expired.Until = fixture.now - 1
	gangApproval.Tickets["w01"] = expired
	fixture.submit("swap", "swap", step(1, 2, 100))
	fixture.run()
	fixture.c.Assert(len(fixture.questions) > 0, qt.IsTrue)
	for _, question := range fixture.questions {
		if question.Step.Job == "gang" {
			fixture.c.Check(question.Workers, qt.HasLen, 4)
			fixture.answer(question, func(modeller.WorkerName) bool { return true })
		}
	}
	swapApproval := fixture.approval(stager.StepID{Job: "swap"})
	swapApproval.Asking = false
	swapApproval.Tickets["w00"] = allotter.Ticket{Ticket: "t", Life: 1, Until: fixture.now + 1000}
	fixture.run()
	fixture.c.Check(fixture.placed, qt.DeepEquals, []string{"gang", "gang", "gang", "gang"}, qt.Commentf("its room stayed reserved against the urgent job"))
}

func TestAnAccountAtItsLimitWaits(t *testing.T) {
	fixture := newFixture(t, 1, false)
	fixture.apply(stager.Command{Submit: &stager.Submit{ID: "s", ClientAccount: "small", Queue: "swap", Steps: []stager.Step{step(2, 1, 100)}}})
	fixture.run()
	fixture.c.Check(fixture.placed, qt.DeepEquals, []string{"s"}, qt.Commentf("only one of its two tasks fits the limit"))
	fixture.c.Check(fixture.run(), qt.Equals, allotter.Summary{AtLimit: 1})
}

func TestDataRackIsPreferredAndOneRackIsNotRequired(t *testing.T) {
	fixture := newFixture(t, 6, false)
	near := step(1, 1, 100)
	near.DataRack = "r2"
	fixture.submit("near", "swap", near)
	fixture.run()
	fixture.c.Check(fixture.state.Workers["w04"].LiveCount()+fixture.state.Workers["w05"].LiveCount(), qt.Equals, 1)
	gang := step(3, 5, 100)
	gang.Gang, gang.OneRack = true, true
	fixture.submit("gang", "draw", gang)
	fixture.run()
	fixture.c.Check(fixture.placed, qt.HasLen, 3, qt.Commentf("no rack can hold the gang, so it is spread over several"))
}

// TestAGangAsksUntilEnoughWorkersAreApproved has an adviser that approves one worker in
// twenty for a gang that needs 40 whole workers, on an empty fleet: the first 240 workers
// that it is asked about yield 12.
func TestAGangAsksUntilEnoughWorkersAreApproved(t *testing.T) {
	fixture := newFixture(t, 1100, true)
	gang := step(40, workerCores, 1000)
	gang.Gang = true
	fixture.submit("g", "draw", gang)
	approved := make(map[modeller.WorkerName]bool)
	for index := 0; index < 1100; index += 20 {
		approved[modeller.WorkerName(fmt.Sprintf("w%02d", index))] = true
	}
	for range 10 {
		fixture.now += 100
		if fixture.run().Placed == 1 {
			return
		}
		for _, question := range fixture.questions {
			fixture.answer(question, func(name modeller.WorkerName) bool { return approved[name] })
		}
	}
	fixture.c.Fatal("the gang was not placed")
}

// TestAWideLateGangUsesRoomOnWorkersThatItHasNotAskedAbout has a gang of 60 tasks whose
// 300 workers that were asked about are taken by other work, while the rest of the fleet
// is free. It must ask about these, though enough of the others are approved for it.
func TestAWideLateGangUsesRoomOnWorkersThatItHasNotAskedAbout(t *testing.T) {
	fixture := newFixture(t, 700, true)
	gang := step(60, workerCores, 1000)
	gang.Gang = true
	fixture.submit("g", "draw", gang)
	approval := fixture.approval(stager.StepID{Job: "g"})
	for index := range 300 {
		name := modeller.WorkerName(fmt.Sprintf("w%02d", index))
		approval.Tickets[name] = allotter.Ticket{Ticket: "t", Life: 1}
		id := fmt.Sprint("other", index)
		fixture.submit(id, "swap", step(1, workerCores, 1000))
		fixture.apply(stager.Command{Place: &stager.Place{Step: stager.StepID{Job: stager.JobID(id)}, Tasks: []stager.TaskPlacement{{Attempt: 1, Worker: name, Life: 1}}}})
	}
	fixture.now += 100_000
	for range 5 {
		fixture.now += 100
		if fixture.run().Placed == 1 {
			return
		}
		for _, question := range fixture.questions {
			fixture.answer(question, func(modeller.WorkerName) bool { return true })
		}
	}
	fixture.c.Fatal("the gang was not placed")
}
