package stager_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/encoder"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

const (
	queueName   = modeller.QueueName("q")
	accountName = modeller.ClientAccountName("a")
	maxFailures = 2
)

var (
	capacity = modeller.Resources{MilliProcessors: 4000, MemoryMiB: 4000}
	limit    = modeller.Resources{MilliProcessors: 6000}
)

func deployment(version uint64) *stager.Deployment {
	return &stager.Deployment{
		Version:  version,
		Queues:   []stager.Queue{{Name: queueName, Host: "h", Prefix: "/q/", Pool: "p", MostFailures: maxFailures, Timeout: 1000}},
		Pools:    []stager.Pool{{Name: "p"}},
		Accounts: []stager.Account{{Name: accountName, Keys: []modeller.KeyHash{"k"}, Weight: 1, Limit: limit}},
	}
}

// newState returns a state with a deployment and workers.
func newState(c *qt.C, workers int) *stager.State {
	state := stager.New()
	commands := []stager.Command{{Begin: &stager.Begin{KeepEnded: 1000}}, {Deploy: deployment(1)}}
	for index := range workers {
		commands = append(commands, stager.Command{Admit: worker(index, 1)})
	}
	c.Assert(state.Apply(&stager.Batch{Term: 1, Sequence: 1, Now: 1, Commands: commands}), qt.IsNil)
	return state
}

func worker(index int, incarnation stager.Incarnation) *stager.Worker {
	return &stager.Worker{Name: modeller.WorkerName(fmt.Sprint("w", index)), Life: incarnation, Pool: "p", Labels: []string{"x", fmt.Sprint("r", index)}, Capacity: capacity}
}

func submitCommand(id string, steps ...stager.Step) stager.Command {
	return stager.Command{Submit: &stager.Submit{ID: stager.JobID(id), ClientAccount: accountName, Queue: queueName, Steps: steps}}
}

func step(tasks uint32, cores int64) stager.Step {
	return stager.Step{Tasks: tasks, Size: modeller.Resources{MilliProcessors: 1000 * cores, MemoryMiB: 100}, RunTime: 100}
}

func placeCommand(id string, step uint32, tasks ...stager.TaskPlacement) stager.Command {
	return stager.Command{Place: &stager.Place{Step: stager.StepID{Job: stager.JobID(id), Step: step}, Tasks: tasks}}
}

func placedOn(index uint32, attempt modeller.Attempt, worker modeller.WorkerName) stager.TaskPlacement {
	return stager.TaskPlacement{Index: index, Attempt: attempt, Worker: worker, Life: 1}
}

func endCommand(id string, step, index uint32, attempt modeller.Attempt, how stager.Ending) stager.Command {
	task := stager.TaskID{StepID: stager.StepID{Job: stager.JobID(id), Step: step}, Index: index}
	return stager.Command{End: &stager.End{Task: task, Attempt: attempt, How: how}}
}

func mustApply(c *qt.C, state *stager.State, commands ...stager.Command) {
	for index := range commands {
		c.Assert(state.ApplyCommand(&commands[index]), qt.IsNil, qt.Commentf("command %d", index))
	}
}

func mustRefuse(c *qt.C, state *stager.State, command stager.Command, message string) {
	before, err := encoder.Marshal(state)
	c.Assert(err, qt.IsNil)
	c.Assert(state.ApplyCommand(&command), qt.ErrorMatches, message)
	after, err := encoder.Marshal(state)
	c.Assert(err, qt.IsNil)
	c.Check(string(after), qt.Equals, string(before), qt.Commentf("a refused command changed the state"))
}

func TestInvalidCommandsAreRefused(t *testing.T) {
	c := qt.New(t)
	state := newState(c, 2)
	second := step(1, 1)
	second.After = []uint32{0}
	mustApply(c, state, submitCommand("j", step(4, 3), second))
	mustRefuse(c, state, placeCommand("j", 1, placedOn(0, 1, "w0")), "step j.0.1 waits for another")
	mustRefuse(c, state, placeCommand("j", 0, placedOn(0, 1, "w9")), "worker w9 has another life")
	mustRefuse(c, state, placeCommand("j", 0, placedOn(0, 1, "w0"), placedOn(1, 1, "w0")), "worker w0 has no room")
	mustApply(c, state, placeCommand("j", 0, placedOn(0, 1, "w0"), placedOn(1, 1, "w1")))
	mustRefuse(c, state, placeCommand("j", 0, placedOn(0, 2, "w1")), "task j.0.0.0 does not wait")
	mustRefuse(c, state, stager.Command{Admit: worker(0, 2)}, "the life of worker w0 before has live attempts")
	mustRefuse(c, state, stager.Command{Drop: &stager.Drop{Worker: "w0", Life: 1}}, "worker w0 has live attempts")
	mustApply(c, state, endCommand("j", 0, 0, 1, stager.Failing))
	mustRefuse(c, state, endCommand("j", 0, 0, 1, stager.Failing), "attempt 1 of task j.0.0.0 is not live")
	mustRefuse(c, state, placeCommand("j", 0, placedOn(0, 1, "w0")), "attempt 1 of task j.0.0.0 is not new")
	leaving := worker(0, 1)
	leaving.Leaving = true
	mustApply(c, state, stager.Command{Admit: leaving})
	mustRefuse(c, state, placeCommand("j", 0, placedOn(0, 2, "w0")), "worker w0 is leaving")
}

func TestAccountLimitLabelAndTasksPerWorkerAreEnforced(t *testing.T) {
	c := qt.New(t)
	state := newState(c, 4)
	mustApply(c, state, submitCommand("j", step(4, 2)))
	mustApply(c, state, placeCommand("j", 0, placedOn(0, 1, "w0"), placedOn(1, 1, "w1"), placedOn(2, 1, "w2")))
	mustRefuse(c, state, placeCommand("j", 0, placedOn(3, 1, "w3")), "client account a would pass its limit")
	spread := step(2, 0)
	spread.MostPerWorker, spread.Label = 1, "r1"
	mustApply(c, state, submitCommand("s", spread))
	mustRefuse(c, state, placeCommand("s", 0, placedOn(0, 1, "w0")), "worker w0 lacks the label r1")
	mustApply(c, state, placeCommand("s", 0, placedOn(0, 1, "w1")))
	mustRefuse(c, state, placeCommand("s", 0, placedOn(1, 1, "w1")), "worker w1 has its share of step s.0.0")
}

func TestGangsArePlacedAsAWhole(t *testing.T) {
	c := qt.New(t)
	state := newState(c, 2)
	gang := step(2, 1)
	gang.Gang = true
	mustApply(c, state, submitCommand("g", gang))
	mustRefuse(c, state, placeCommand("g", 0, placedOn(0, 1, "w0")), "gang g.0.0 is placed with 1 of 2 tasks")
	mustRefuse(c, state, placeCommand("g", 0, placedOn(0, 1, "w0"), placedOn(1, 2, "w1")), "gang g.0.0 is placed under different attempts")
	mustApply(c, state, placeCommand("g", 0, placedOn(0, 1, "w0"), placedOn(1, 1, "w1")))
	mustApply(c, state, endCommand("g", 0, 0, 1, stager.Failing), endCommand("g", 0, 1, 1, stager.Failing))
	c.Check(state.Jobs["g"].Status(), qt.Equals, stager.Running, qt.Commentf("two failures under one attempt count once"))
	mustApply(c, state, placeCommand("g", 0, placedOn(0, 2, "w0"), placedOn(1, 2, "w1")), endCommand("g", 0, 1, 2, stager.Succeeding))
	c.Check(state.Jobs["g"].Status(), qt.Equals, stager.Completed, qt.Commentf("one success completes the gang"))
	c.Check(state.Workers["w0"].LiveCount(), qt.Equals, 1, qt.Commentf("the other attempt occupies its room until its end is recorded"))
	mustApply(c, state, endCommand("g", 0, 0, 2, stager.Succeeding))
	c.Check(state.Used(accountName).IsZero(), qt.IsTrue)
}

func TestLastingTasksNeverEnd(t *testing.T) {
	c := qt.New(t)
	state := newState(c, 1)
	lasting := step(1, 1)
	lasting.Lasting = true
	mustApply(c, state, submitCommand("s", lasting))
	for attempt := modeller.Attempt(1); attempt < 9; attempt++ {
		mustApply(c, state, placeCommand("s", 0, placedOn(0, attempt, "w0")), endCommand("s", 0, 0, attempt, stager.Ending(1+attempt%2)))
	}
	c.Check(state.Jobs["s"].Status(), qt.Equals, stager.Running)
	mustApply(c, state, stager.Command{Cancel: &stager.Cancel{Job: "s"}})
	c.Check(state.Jobs["s"].Status(), qt.Equals, stager.Cancelled)
}

func TestOccurrencesWaitForTheirTime(t *testing.T) {
	c := qt.New(t)
	state := newState(c, 1)
	command := submitCommand("o", step(1, 1))
	command.Submit.Schedule = stager.Schedule{Occurrences: 2, First: 100, Period: 50}
	batch := &stager.Batch{Term: 1, Sequence: 2, Now: 99, Commands: []stager.Command{command}}
	c.Assert(state.Apply(batch), qt.IsNil)
	mustRefuse(c, state, placeCommand("o", 0, placedOn(0, 1, "w0")), "step o.0.0 is not due")
	c.Assert(state.Apply(&stager.Batch{Term: 1, Sequence: 3, Now: 100, Commands: []stager.Command{placeCommand("o", 0, placedOn(0, 1, "w0"))}}), qt.IsNil)
}

func TestOnlyBatchesOfTheLatestTermAreApplied(t *testing.T) {
	c := qt.New(t)
	state := newState(c, 0)
	begin := []stager.Command{{Begin: &stager.Begin{}}}
	c.Check(state.Apply(&stager.Batch{Term: 1, Sequence: 3}), qt.ErrorMatches, "batch 3 does not follow on 1")
	c.Check(state.Apply(&stager.Batch{Term: 2, Sequence: 1}), qt.ErrorMatches, "term 2 has not begun")
	c.Check(state.Apply(&stager.Batch{Term: 2, Sequence: 1, Commands: begin}), qt.IsNil)
	c.Check(state.Apply(&stager.Batch{Term: 1, Sequence: 2}), qt.ErrorMatches, "a leader of term 2 has begun")
	c.Check(state.Apply(&stager.Batch{Term: 2, Sequence: 1, Commands: begin}), qt.ErrorMatches, "batch 1 does not follow on 1")
}

func TestRoutes(t *testing.T) {
	c := qt.New(t)
	deployed := deployment(1)
	deployed.Queues = append(deployed.Queues, stager.Queue{Name: "longer", Host: "h", Prefix: "/q/x/", Pool: "p", OpenToAll: true, Timeout: 1})
	route := func(path string, key modeller.KeyHash) (modeller.QueueName, coder.Code) {
		found, _, refusal := deployed.Route("h", path, key)
		if refusal != nil {
			return "", refusal.Code
		}
		return found.Name, coder.OK
	}
	for _, test := range []struct {
		path  string
		key   modeller.KeyHash
		queue modeller.QueueName
		code  coder.Code
	}{
		{"/q/1", "k", queueName, coder.OK},
		{"/q/1", "other", "", coder.WrongKey},
		{"/q/1", "", "", coder.MissingKey},
		{"/q/x/1", "", "longer", coder.OK},
		{"/z/1", "k", "", coder.UnknownQueue},
	} {
		found, got := route(test.path, test.key)
		c.Check(got, qt.Equals, test.code, qt.Commentf("%s %s", test.path, test.key))
		c.Check(found, qt.Equals, test.queue, qt.Commentf("%s %s", test.path, test.key))
	}
}

// TestInvariantsHoldUnderAnyCommands applies random commands, valid or not, and
// checks the invariants after each.
func TestInvariantsHoldUnderAnyCommands(t *testing.T) {
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		state := newState(c, 2)
		mustApply(c, state, inDataCentre(0, "north"), inDataCentre(1, "south"))
		succeeded := make(map[stager.TaskID]bool)
		sequence := uint64(1)
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			command := drawCommand(t)
			sequence++
			err := state.Apply(&stager.Batch{Term: 1, Sequence: sequence, Now: modeller.Millis(sequence), Commands: []stager.Command{command}})
			if err == nil && command.End != nil && command.End.How == stager.Succeeding {
				succeeded[command.End.Task] = true
			}
			if err == nil && command.Place != nil {
				checkPlaced(t, state, succeeded, command.Place)
			}
			checkInvariants(t, state)
		}
		copied := state.Clone()
		before := encoded(t, state)
		if before != encoded(t, copied) {
			t.Fatalf("the clone differs from the original")
		}
		checkInvariants(t, copied)
		var later []stager.Batch
		for range rapid.IntRange(1, 20).Draw(t, "later commands") {
			sequence++
			later = append(later, stager.Batch{Term: 1, Sequence: sequence, Now: modeller.Millis(sequence), Commands: []stager.Command{drawCommand(t)}})
			_ = copied.Apply(&later[len(later)-1])
			checkInvariants(t, copied)
		}
		if before != encoded(t, state) {
			t.Fatalf("a change of the clone changed the original")
		}
		for at := range later {
			_ = state.Apply(&later[at])
		}
		if encoded(t, state) != encoded(t, copied) {
			t.Fatalf("the same commands lead to another state on the clone")
		}
	})
}

// BenchmarkClone measures the copy that a new leader takes of the state of a large
// deployment: 1,100 workers, 1,500 open jobs of 40 tasks and 20,000 that have ended.
func BenchmarkClone(b *testing.B) {
	state := newState(qt.New(b), 0)
	for index := range 1100 {
		worker := stager.Worker{Name: modeller.WorkerName(fmt.Sprint("large", index)), Life: 1, Pool: "p", Capacity: capacity}
		_ = state.ApplyCommand(&stager.Command{Admit: &worker})
	}
	for index := range 21_500 {
		command := submitCommand(fmt.Sprintf("%016x", index), step(40, 1))
		if err := state.ApplyCommand(&command); err != nil {
			b.Fatal(err)
		}
		if index >= 1500 {
			_ = state.ApplyCommand(&stager.Command{Cancel: &stager.Cancel{Job: command.Submit.ID}})
		}
	}
	for b.Loop() {
		state.Clone()
	}
}

func encoded(t *rapid.T, state *stager.State) string {
	data, err := encoder.Marshal(state)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func drawCommand(t *rapid.T) stager.Command {
	job := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "job")
	stepIndex := uint32(rapid.IntRange(0, 1).Draw(t, "step"))
	index := uint32(rapid.IntRange(0, 2).Draw(t, "index"))
	attempt := modeller.Attempt(rapid.IntRange(1, 4).Draw(t, "attempt"))
	name := modeller.WorkerName(rapid.SampledFrom([]string{"w0", "w1"}).Draw(t, "worker"))
	switch rapid.IntRange(0, 10).Draw(t, "kind") {
	case 10:
		return evacuateCommand("north", rapid.Bool().Draw(t, "withdrawn"))
	case 0:
		second := step(1, 2)
		second.After = []uint32{0}
		return submitCommand(job, step(3, 1), second)
	case 1:
		return stager.Command{Cancel: &stager.Cancel{Job: stager.JobID(job)}}
	case 2:
		admitted := worker(rapid.IntRange(0, 1).Draw(t, "at"), stager.Incarnation(rapid.IntRange(1, 2).Draw(t, "life")))
		admitted.DataCentre = rapid.SampledFrom([]modeller.DataCentreName{"north", "south"}).Draw(t, "dataCentre")
		return stager.Command{Admit: admitted}
	case 3:
		return stager.Command{Drop: &stager.Drop{Worker: name, Life: 1}}
	case 4, 5, 6:
		return placeCommand(job, stepIndex, placedOn(index, attempt, name))
	}
	how := stager.Ending(rapid.IntRange(1, 8).Draw(t, "how"))
	return endCommand(job, stepIndex, index, attempt, how)
}

// checkPlaced checks an accepted placement of one task.
func checkPlaced(t *rapid.T, state *stager.State, succeeded map[stager.TaskID]bool, place *stager.Place) {
	if succeeded[stager.TaskID{StepID: place.Step, Index: place.Tasks[0].Index}] {
		t.Fatalf("a task was placed again after it succeeded: %+v", place)
	}
	if state.Evacuated(state.Workers[place.Tasks[0].Worker]) {
		t.Fatalf("a task was placed in an evacuated data centre: %+v", place)
	}
}

func checkInvariants(t *rapid.T, state *stager.State) {
	used := make(map[modeller.WorkerName]modeller.Resources)
	var total modeller.Resources
	for _, job := range state.Jobs {
		for index := range job.Steps {
			for _, task := range job.StepTasks(0, uint32(index)) {
				if task.Failures > maxFailures {
					t.Fatalf("a task failed %d times", task.Failures)
				}
				if task.Live {
					used[task.Worker] = used[task.Worker].Add(job.Steps[index].Size)
					total = total.Add(job.Steps[index].Size)
				}
			}
		}
	}
	for name, worker := range state.Workers {
		if worker.Used() != used[name] || !worker.Used().Fits(worker.Capacity) {
			t.Fatalf("worker %s counts %s used, its attempts hold %s of %s", name, worker.Used(), used[name], worker.Capacity)
		}
	}
	if state.Used(accountName) != total || total.MilliProcessors > limit.MilliProcessors {
		t.Fatalf("the client account counts %s used, its attempts hold %s, its limit is %s", state.Used(accountName), total, limit)
	}
}
