package allotter_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/allotter"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// load is a state with waiting jobs, and the placements and questions of the
// last pass over it.
type load struct {
	c         *qt.C
	state     *stager.State
	approvals map[stager.StepID]*allotter.Approval
	placed    []string
	asked     []allotter.Question
	now       modeller.Millis
	endings   map[modeller.WorkerName][]allotter.Ending
	pace      map[modeller.WorkerName]float64
}

const workerCores = 8

// newFixture returns a state with workers of 8 cores and two queues: swap for
// urgent short jobs, draw for long gangs. If advised is true, both queues need
// an adviser's approval.
func newFixture(t testing.TB, workers int, advised bool) *load {
	c := qt.New(t)
	load := &load{c: c, state: stager.New(), approvals: make(map[stager.StepID]*allotter.Approval), now: 1000}
	deployment := &stager.Deployment{
		Version:  1,
		Pools:    []stager.Pool{{Name: "p"}},
		Accounts: []stager.Account{{Name: "a"}, {Name: "small", Limit: modeller.Resources{MilliProcessors: 1000}}},
	}
	for name, slack := range map[modeller.QueueName]float64{"swap": 1.5, "draw": 2} {
		queue := stager.Queue{Name: name, Host: "h", Prefix: "/" + string(name) + "/", Pool: "p", MostFailures: 3, Slack: slack, Allowance: 200, Timeout: 3000}
		if advised {
			queue.Advised = &stager.Advised{}
		}
		deployment.Queues = append(deployment.Queues, queue)
	}
	load.apply(stager.Command{Deploy: deployment})
	for index := range workers {
		load.apply(stager.Command{Admit: &stager.Worker{
			Name: modeller.WorkerName(fmt.Sprintf("w%02d", index)), Life: 1, Pool: "p", Rack: modeller.RackName(fmt.Sprint("r", index/2)),
			Capacity: modeller.Resources{MilliProcessors: 1000 * workerCores, MemoryMiB: 8000},
		}})
	}
	return load
}

func (load *load) apply(command stager.Command) {
	load.state.Now = load.now
	load.c.Assert(load.state.Do(&command), qt.IsNil)
}

func (load *load) submit(id, queue string, step stager.Step) {
	load.apply(stager.Command{Submit: &stager.Submit{ID: stager.JobID(id), ClientAccount: "a", Queue: modeller.QueueName(queue), Steps: []stager.Step{step}}})
}

func step(tasks uint32, cores int64, runTime modeller.Millis) stager.Step {
	return stager.Step{Tasks: tasks, Size: modeller.Resources{MilliProcessors: 1000 * cores, MemoryMiB: 100}, RunTime: runTime}
}

func (load *load) approval(step stager.StepID) *allotter.Approval {
	approval := load.approvals[step]
	if approval == nil {
		approval = &allotter.Approval{Tickets: make(map[modeller.WorkerName]allotter.Ticket), Refused: make(map[modeller.WorkerName]stager.Life)}
		load.approvals[step] = approval
	}
	return approval
}

func (load *load) run() allotter.Summary {
	load.placed, load.asked = nil, nil
	config := allotter.Config{
		State: load.state, Now: load.now, Elapsed: load.now, Approval: load.approval,
		Endings: func(name modeller.WorkerName) []allotter.Ending { return load.endings[name] },
		Place: func(place *stager.Place) error {
			load.state.Now = load.now
			if err := load.state.Do(&stager.Command{Place: place}); err != nil {
				return err
			}
			for range place.Tasks {
				load.placed = append(load.placed, string(place.Step.Job))
			}
			return nil
		},
		Ask: func(question allotter.Question) {
			load.asked = append(load.asked, question)
			load.approval(question.Step).Asking = true
		},
	}
	for index := range len(load.state.Workers) {
		name := modeller.WorkerName(fmt.Sprintf("w%02d", index))
		config.Candidates = append(config.Candidates, allotter.Candidate{Worker: load.state.Workers[name], Pace: load.pace[name]})
	}
	return allotter.New(config).Run()
}

// answer records an adviser's answer that approves the workers for which
// approved returns true and refuses the others.
func (load *load) answer(question allotter.Question, approved func(modeller.WorkerName) bool) {
	approval := load.approval(question.Step)
	approval.Answered()
	for _, name := range question.Workers {
		if approved(name) {
			approval.Tickets[name] = allotter.Ticket{Ticket: "t", Life: 1, Until: load.now + 1000}
		} else {
			approval.Refused[name] = 1
		}
	}
}

// TestUrgentJobsGoFirstOnAFullFleet has more work waiting than fits: the jobs
// with the earliest latest start go first, and late jobs go after those that
// can still be on time.
func TestUrgentJobsGoFirstOnAFullFleet(t *testing.T) {
	load := newFixture(t, 1, false)
	load.submit("late", "swap", step(1, 4, 100))
	load.now = 2000
	load.submit("draw", "draw", step(1, 4, 9000))
	load.submit("swap", "swap", step(1, 4, 500))
	summary := load.run()
	load.c.Check(load.placed, qt.DeepEquals, []string{"swap", "draw"})
	load.c.Check(summary, qt.Equals, allotter.Summary{Placed: 2, NoRoom: 1})
}

func TestGangsArePlacedWholeOrNotAtAll(t *testing.T) {
	load := newFixture(t, 2, false)
	gang := step(5, 4, 1000)
	gang.Gang = true
	load.submit("gang", "draw", gang)
	load.c.Check(load.run(), qt.Equals, allotter.Summary{NoRoom: 1}, qt.Commentf("five tasks of 4 cores exceed the 16 of both workers"))
	small := step(4, 4, 1000)
	small.Gang = true
	load.submit("small", "draw", small)
	load.run()
	load.c.Check(load.placed, qt.DeepEquals, []string{"small", "small", "small", "small"})
}

func TestASmallStepFillsTheFullestWorker(t *testing.T) {
	load := newFixture(t, 2, false)
	load.submit("first", "swap", step(1, 2, 500))
	load.run()
	load.submit("second", "swap", step(1, 2, 500))
	load.run()
	used := 0
	for _, worker := range load.state.Workers {
		if !worker.Used().IsZero() {
			used++
		}
	}
	load.c.Check(used, qt.Equals, 1, qt.Commentf("the other worker stays empty for wide tasks"))
}

// TestNoQuestionForWhatDoesNotFit guards against a gang without room asking
// again for each ticket that expires, which keeps the adviser busy all the
// time.
func TestNoQuestionForWhatDoesNotFit(t *testing.T) {
	load := newFixture(t, 2, true)
	gang := step(5, 4, 1000)
	gang.Gang = true
	load.submit("gang", "draw", gang)
	load.c.Check(load.run(), qt.Equals, allotter.Summary{NoRoom: 1})
	load.c.Check(load.asked, qt.HasLen, 0)
}

// TestAGangThatWaitsKeepsTheRoomThatComesFree guards against small steps taking
// each piece of room that becomes free on a nearly full fleet, so that a
// waiting gang never starts in time. The gang asks once which workers are
// approved, and not again before it fits.
func TestAGangThatWaitsKeepsTheRoomThatComesFree(t *testing.T) {
	load := newFixture(t, 3, true)
	load.submit("old", "swap", step(3, 5, 100))
	for index := range 3 {
		load.apply(stager.Command{Place: &stager.Place{Step: stager.StepID{Job: "old"}, Tasks: []stager.Placed{
			{Index: uint32(index), Attempt: 1, Worker: modeller.WorkerName(fmt.Sprintf("w%02d", index)), Life: 1},
		}}})
	}
	size := modeller.Resources{MilliProcessors: 5000, MemoryMiB: 100}
	load.endings = map[modeller.WorkerName][]allotter.Ending{
		"w00": {{At: load.now + 9000, Size: size}}, "w01": {{At: load.now + 500, Size: size}}, "w02": {{At: load.now + 700, Size: size}},
	}
	gang := step(2, 8, 1000)
	gang.Gang = true
	load.submit("gang", "draw", gang)
	load.run()
	load.c.Assert(load.asked, qt.HasLen, 1)
	load.answer(load.asked[0], func(modeller.WorkerName) bool { return true })
	load.submit("small", "draw", step(3, 2, 5000))
	smallApproval := load.approval(stager.StepID{Job: "small"})
	for index := range 3 {
		smallApproval.Tickets[modeller.WorkerName(fmt.Sprintf("w%02d", index))] = allotter.Ticket{Ticket: "t", Life: 1, Until: load.now + 60_000}
	}
	load.now += 400
	load.run()
	load.c.Check(load.placed, qt.DeepEquals, []string{"small"}, qt.Commentf("only the worker that becomes free last is not reserved for the gang"))
	load.c.Check(load.state.Workers["w00"].LiveCount(), qt.Equals, 2)
	load.c.Check(load.asked, qt.HasLen, 0)
	load.now += 5000
	for name := range load.endings {
		load.endings[name][0].At += 5000
	}
	load.run()
	load.c.Check(load.asked, qt.HasLen, 0, qt.Commentf("the gang's tickets have expired, and it will not fit soon"))
}

func TestATightStepGoesToAFastWorkerAndNoneToASlowOne(t *testing.T) {
	load := newFixture(t, 3, false)
	load.pace = map[modeller.WorkerName]float64{"w00": 5, "w01": 1.2, "w02": 0.8}
	load.submit("swap", "swap", step(1, 1, 5000))
	load.submit("draw", "draw", step(9, 1, 100))
	load.run()
	load.c.Check(load.state.Workers["w02"].LiveCount() > 0, qt.IsTrue)
	load.c.Check(load.state.Jobs["swap"].Tasks[0].Worker, qt.Equals, modeller.WorkerName("w02"))
	load.c.Check(load.state.Workers["w00"].LiveCount(), qt.Equals, 0)
}

func TestOnlyTheExpiredTicketIsAskedForAgain(t *testing.T) {
	load := newFixture(t, 10, true)
	load.submit("j", "swap", step(1, 8, 500))
	load.run()
	load.c.Assert(load.asked, qt.HasLen, 1)
	load.c.Check(load.asked[0].Workers, qt.HasLen, 10)
	load.answer(load.asked[0], func(name modeller.WorkerName) bool { return name == "w07" })
	load.now += 5000
	load.run()
	load.c.Assert(load.asked, qt.HasLen, 1)
	load.c.Check(load.asked[0].Workers, qt.DeepEquals, []modeller.WorkerName{"w07"})
	load.answer(load.asked[0], func(modeller.WorkerName) bool { return true })
	load.run()
	load.c.Check(load.placed, qt.DeepEquals, []string{"j"})
}

// TestRoomIsKeptWhileAnAdviserIsAsked checks that a less urgent step with a
// valid ticket does not take the room that a more urgent step has asked an
// adviser about.
func TestRoomIsKeptWhileAnAdviserIsAsked(t *testing.T) {
	load := newFixture(t, 1, true)
	load.submit("urgent", "swap", step(1, 8, 100))
	urgentApproval := load.approval(stager.StepID{Job: "urgent"})
	urgentApproval.Tickets["w00"] = allotter.Ticket{Ticket: "old", Life: 1, Until: load.now - 1}
	load.submit("other", "draw", step(1, 8, 9000))
	otherApproval := load.approval(stager.StepID{Job: "other"})
	otherApproval.Tickets["w00"] = allotter.Ticket{Ticket: "good", Life: 1, Until: load.now + 1000}
	load.run()
	load.c.Check(load.placed, qt.HasLen, 0)
	load.c.Assert(load.asked, qt.HasLen, 1)
	load.answer(load.asked[0], func(modeller.WorkerName) bool { return true })
	load.run()
	load.c.Check(load.placed, qt.DeepEquals, []string{"urgent"})
}

// TestAGangAsksForAllItsTicketsAtOnce guards against a wide gang that never
// starts because its tickets expire at different times and it only asks for the
// expired ones.
func TestAGangAsksForAllItsTicketsAtOnce(t *testing.T) {
	load := newFixture(t, 4, true)
	gang := step(4, 8, 1000)
	gang.Gang = true
	load.submit("gang", "draw", gang)
	load.run()
	load.c.Assert(load.asked, qt.HasLen, 1)
	load.answer(load.asked[0], func(modeller.WorkerName) bool { return true })
	gangApproval := load.approval(stager.StepID{Job: "gang"})
	expired := gangApproval.Tickets["w01"]
	expired.Until = load.now - 1
	gangApproval.Tickets["w01"] = expired
	load.submit("swap", "swap", step(1, 2, 100))
	load.run()
	load.c.Assert(len(load.asked) > 0, qt.IsTrue)
	for _, question := range load.asked {
		if question.Step.Job == "gang" {
			load.c.Check(question.Workers, qt.HasLen, 4)
			load.answer(question, func(modeller.WorkerName) bool { return true })
		}
	}
	swapApproval := load.approval(stager.StepID{Job: "swap"})
	swapApproval.Asking = false
	swapApproval.Tickets["w00"] = allotter.Ticket{Ticket: "t", Life: 1, Until: load.now + 1000}
	load.run()
	load.c.Check(load.placed, qt.DeepEquals, []string{"gang", "gang", "gang", "gang"}, qt.Commentf("its room stayed reserved against the urgent job"))
}

func TestAnAccountAtItsLimitWaits(t *testing.T) {
	load := newFixture(t, 1, false)
	load.apply(stager.Command{Submit: &stager.Submit{ID: "s", ClientAccount: "small", Queue: "swap", Steps: []stager.Step{step(2, 1, 100)}}})
	load.run()
	load.c.Check(load.placed, qt.DeepEquals, []string{"s"}, qt.Commentf("only one of its two tasks fits the limit"))
	load.c.Check(load.run(), qt.Equals, allotter.Summary{AtLimit: 1})
}

func TestDataRackIsPreferredAndOneRackIsNotRequired(t *testing.T) {
	load := newFixture(t, 6, false)
	near := step(1, 1, 100)
	near.DataRack = "r2"
	load.submit("near", "swap", near)
	load.run()
	load.c.Check(load.state.Workers["w04"].LiveCount()+load.state.Workers["w05"].LiveCount(), qt.Equals, 1)
	gang := step(3, 5, 100)
	gang.Gang, gang.OneRack = true, true
	load.submit("gang", "draw", gang)
	load.run()
	load.c.Check(load.placed, qt.HasLen, 3, qt.Commentf("no rack can hold the gang, so it is spread over several"))
}
