package allotter_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelrill/dotterelrill/allotter"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
	"github.com/dotterelrill/dotterelrill/waiter"
)

const (
	compareRacks, rackWorkers = 6, 16
	passMillis                = 20
	loadLasts                 = 10_000
)

// arrival is a job of a recorded load. Its actual run time differs from the declared one by
// noise.
type arrival struct {
	at    modeller.Millis
	kind  string
	step  stager.Step
	noise float64
}

// kinds are those of the load that the page of part 3 describes: tasks, cores, run time and
// share of the jobs.
var kinds = []struct {
	name       string
	tasks      uint32
	cores, run float64
	perSecond  float64
}{{"gang", 20, 4.5, 5000, 4.72}, {"wide", 25, 1.7, 2700, 9.85}, {"short", 3, 2.5, 640, 137}}

// load is a share of all cores that the arrivals take if all tasks run near, the factor by
// which more arrive in a burst from 3 to 7 s, and how many times as long tasks run elsewhere.
// If it is advised, each step needs an adviser's approval, which half of the workers get.
type load struct {
	share, burst, penalty float64
	advised               bool
}

// record draws the arrivals of a load. Some racks hold more data than others.
func record(seed int64, load load) []arrival {
	random := rand.New(rand.NewSource(seed))
	offered := 0.0
	for _, kind := range kinds {
		offered += float64(kind.tasks) * kind.cores * kind.run / 1000 * kind.perSecond
	}
	scale := load.share * compareRacks * rackWorkers * 16 / offered
	var arrivals []arrival
	for _, kind := range kinds {
		for at := 0.0; ; {
			rate := kind.perSecond * scale
			if at >= 3000 && at < 7000 {
				rate *= load.burst
			}
			if at += random.ExpFloat64() * 1000 / rate; at >= loadLasts {
				break
			}
			drawn := stager.Step{Tasks: kind.tasks, Size: modeller.Resources{MilliProcessors: int64(1000 * kind.cores), MemoryMiB: 10}, RunTime: modeller.Millis(kind.run * math.Exp(0.3*random.NormFloat64()))}
			if drawn.Gang, drawn.OneRack = kind.name == "gang", kind.name == "gang"; !drawn.Gang {
				drawn.DataRack = modeller.RackName(fmt.Sprint("r", int(compareRacks*math.Pow(random.Float64(), 1.3))))
			}
			noise := math.Exp(0.3 * random.NormFloat64())
			if random.Intn(33) == 0 {
				noise *= 7
			}
			arrivals = append(arrivals, arrival{at: modeller.Millis(at), kind: kind.name, step: drawn, noise: noise})
		}
	}
	slices.SortStableFunc(arrivals, func(left, right arrival) int { return int(left.at - right.at) })
	return arrivals
}

// runningTask is a task that a player has started.
type runningTask struct {
	id                stager.TaskID
	attempt           modeller.Attempt
	worker            modeller.WorkerName
	began, ends, hint modeller.Millis
}

// pendingAnswer is a question that an adviser answers at a time.
type pendingAnswer struct {
	at       modeller.Millis
	question allotter.Question
}

// player plays a load against the allotter.
type player struct {
	*fixture
	arrivals []arrival
	perfect  bool
	penalty  float64
	answers  []pendingAnswer
	running  []runningTask
	started  map[stager.JobID]modeller.Millis
	ended    map[stager.JobID]modeller.Millis
}

// play plays a load to its end, with a forecast that knows the actual run times if it is
// perfect, and returns it.
func play(t testing.TB, arrivals []arrival, perfect bool, load load, current *waiter.Waiter) *player {
	player := &player{
		fixture: newFixture(t, compareRacks*rackWorkers, load.advised), arrivals: arrivals, perfect: perfect, penalty: load.penalty,
		started: make(map[stager.JobID]modeller.Millis), ended: make(map[stager.JobID]modeller.Millis),
	}
	for index := range compareRacks * rackWorkers {
		worker := player.state.Workers[modeller.WorkerName(fmt.Sprintf("w%02d", index))]
		worker.Rack, worker.Capacity = modeller.RackName(fmt.Sprint("r", index/rackWorkers)), modeller.Resources{MilliProcessors: 16_000, MemoryMiB: 8000}
	}
	if load.advised {
		player.state.Queues["draw"].Advised.Decide, player.state.Queues["draw"].Advised.PerWorker = 50*time.Millisecond, time.Millisecond
	}
	player.waiter, player.onPlace = current, player.start
	next := 0
	for player.now = 1000; next < len(arrivals) || len(player.running) > 0; player.now += passMillis {
		player.endTasks()
		player.advise()
		for ; next < len(arrivals) && arrivals[next].at+1000 <= player.now; next++ {
			player.submit(fmt.Sprint(next), "draw", arrivals[next].step)
		}
		player.forecast()
		player.run()
	}
	return player
}

// far reports whether a task runs elsewhere than near its data, or a gang over several racks.
func (player *player) far(place *stager.Place, step *stager.Step, worker modeller.WorkerName) bool {
	rack := step.DataRack
	if step.OneRack {
		rack = player.state.Workers[place.Tasks[0].Worker].Rack
		return slices.ContainsFunc(place.Tasks, func(task stager.TaskPlacement) bool { return player.state.Workers[task.Worker].Rack != rack })
	}
	return rack != "" && player.state.Workers[worker].Rack != rack
}

func (player *player) start(place *stager.Place) {
	var index int
	_, _ = fmt.Sscan(string(place.Step.Job), &index)
	arrival := player.arrivals[index]
	for _, task := range place.Tasks {
		expected := float64(arrival.step.RunTime)
		if player.far(place, &arrival.step, task.Worker) {
			expected *= player.penalty
		}
		started := runningTask{id: stager.TaskID{StepID: place.Step, Index: task.Index}, attempt: task.Attempt, worker: task.Worker, began: player.now}
		started.ends, started.hint = player.now+modeller.Millis(expected*arrival.noise), player.now+modeller.Millis(expected)
		player.running = append(player.running, started)
	}
	player.started[place.Step.Job] = player.now
}

func (player *player) endTasks() {
	player.running = slices.DeleteFunc(player.running, func(task runningTask) bool {
		if task.ends > player.now {
			return false
		}
		player.apply(stager.Command{End: &stager.End{Task: task.id, Attempt: task.attempt, How: stager.Succeeding}})
		player.ended[task.id.Job] = player.now
		return true
	})
}

// advise answers the questions that are due, and takes up those of the last pass.
func (player *player) advise() {
	for _, question := range player.questions {
		took := player.state.Queues["draw"].Advised.AnswerTime(len(question.Workers)).Milliseconds()
		player.answers = append(player.answers, pendingAnswer{at: player.now - passMillis + modeller.Millis(took), question: question})
	}
	player.answers = slices.DeleteFunc(player.answers, func(pending pendingAnswer) bool {
		if pending.at > player.now {
			return false
		}
		player.answer(pending.question, func(name modeller.WorkerName) bool {
			return (len(pending.question.Step.Job)+int(name[len(name)-1]))%2 == 0
		})
		return true
	})
}

// forecast fills in the expected ends, as the conductor estimates them.
func (player *player) forecast() {
	player.endings = make(map[modeller.WorkerName][]allotter.ExpectedRelease)
	for _, task := range player.running {
		at := max(task.hint, player.now+(player.now-task.began)/10)
		if player.perfect {
			at = task.ends
		}
		job := player.state.Jobs[task.id.Job]
		player.endings[task.worker] = append(player.endings[task.worker], allotter.ExpectedRelease{At: at, Size: job.Steps[0].Size})
	}
	for _, releases := range player.endings {
		slices.SortFunc(releases, func(left, right allotter.ExpectedRelease) int { return int(left.At - right.At) })
	}
}

// result is what the callers of a kind of job got.
type result struct {
	jobs, onTime int
	took, waited []float64
}

// addResults adds what the callers of each kind of job got.
func (player *player) addResults(results map[string]*result) {
	for index, arrival := range player.arrivals {
		id := stager.JobID(fmt.Sprint(index))
		accepted := player.state.Jobs[id].Accepted
		took := float64(player.ended[id] - accepted)
		for _, kind := range []string{arrival.kind, "all"} {
			if results[kind] == nil {
				results[kind] = &result{}
			}
			of := results[kind]
			of.jobs++
			of.took, of.waited = append(of.took, took), append(of.waited, float64(player.started[id]-accepted))
			if took <= 2*float64(arrival.step.RunTime)+200 {
				of.onTime++
			}
		}
	}
}

func average(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

func percentile(values []float64, share float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(share*float64(len(sorted)-1))]
}

// rules are those that the design note compares. The wait of the fixed rule and the skips of
// delay scheduling are about the mean time until a worker of a full rack has room.
var rules = []struct {
	name string
	pays func(waiter.Chance, waiter.Wait) bool
}{
	{"no wait", func(waiter.Chance, waiter.Wait) bool { return false }},
	{"fixed wait", func(chance waiter.Chance, wait waiter.Wait) bool { return wait.Waited(chance.Now) < 300 }},
	{"delay scheduling", func(_ waiter.Chance, wait waiter.Wait) bool { return wait.Skips < 15 }},
	{"expected completions", nil},
}

var compareSeeds = flag.Int("compare.seeds", 1, "how many recorded loads TestRulesSideBySide plays for each share of the cores")

// TestRulesSideBySide plays the same recorded loads with each rule; -v prints the table. It
// guards against a rule that leaves the callers of more jobs late than no wait does.
func TestRulesSideBySide(t *testing.T) {
	c := qt.New(t)
	for _, load := range []load{{0.6, 1, 2, false}, {0.88, 1, 2, false}, {1.1, 1, 2, false}, {0.6, 2, 2, false}, {0.88, 1, 1.5, false}, {0.88, 1, 3, false}, {0.6, 1, 2, true}, {0.75, 1, 2, true}} {
		t.Logf("%.2f of all cores, %v times that in a burst, penalty %v, adviser %v: rule, kind, jobs, on time, mean and p95 ms to the end, mean and p95 ms to the start of the last task",
			load.share, load.burst, load.penalty, load.advised)
		var onTime []int
		for _, rule := range rules {
			results := make(map[string]*result)
			for seed := range int64(*compareSeeds) {
				current := waiter.New(waiter.Config{Penalty: load.penalty, Pays: rule.pays})
				play(t, record(seed, load), false, load, current).addResults(results)
			}
			for _, kind := range []string{"gang", "wide", "short", "all"} {
				of := results[kind]
				t.Logf("%-20s %-5s %5d %5.1f%% %6.0f %6.0f %6.0f %6.0f", rule.name, kind, of.jobs, 100*float64(of.onTime)/float64(of.jobs),
					average(of.took), percentile(of.took, 0.95), average(of.waited), percentile(of.waited, 0.95))
			}
			onTime = append(onTime, results["all"].onTime)
		}
		c.Check(onTime[len(onTime)-1] >= onTime[0], qt.IsTrue, qt.Commentf("%v", onTime))
	}
}

// TestNoWaitMakesAJobLateThatIsOnTimeElsewhere plays a job with a rack beside others that
// run already, with a perfect forecast, with and without waits.
func TestNoWaitMakesAJobLateThatIsOnTimeElsewhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var arrivals []arrival
		for range rapid.IntRange(30, 96).Draw(t, "running") {
			before := stager.Step{Tasks: 1, Size: modeller.Resources{MilliProcessors: int64(rapid.IntRange(8, 16).Draw(t, "cores") * 1000), MemoryMiB: 10}}
			before.RunTime = modeller.Millis(rapid.IntRange(600, 3000).Draw(t, "run time"))
			arrivals = append(arrivals, arrival{step: before, noise: 1})
		}
		step := stager.Step{Tasks: uint32(rapid.IntRange(1, 12).Draw(t, "tasks")), Size: modeller.Resources{MilliProcessors: 9000, MemoryMiB: 10}, RunTime: modeller.Millis(rapid.IntRange(300, 4000).Draw(t, "own run time"))}
		if step.Gang = rapid.Bool().Draw(t, "gang"); step.Gang {
			step.OneRack = true
		} else {
			step.DataRack = "r0"
		}
		arrivals = append(arrivals, arrival{at: 500, step: step, noise: 1})
		id := stager.JobID(fmt.Sprint(len(arrivals) - 1))
		penalty := rapid.SampledFrom([]float64{1.5, 2, 3}).Draw(t, "penalty")
		ended := func(current *waiter.Waiter) modeller.Millis {
			player := play(&testing.T{}, arrivals, true, load{penalty: penalty}, current)
			return player.ended[id] - player.state.Jobs[id].Accepted
		}
		objective := 2*step.RunTime + 200
		without, with := ended(nil), ended(waiter.New(waiter.Config{Penalty: penalty}))
		if without <= objective && with > objective+passMillis {
			t.Fatalf("took %d with waits, %d without, objective %d", with, without, objective)
		}
	})
}
