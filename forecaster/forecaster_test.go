package forecaster_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/forecaster"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// TestForecastAgainstOutcome guards against a forecast that is later than what happens,
// by which a job would be refused that could be served, and against one that says
// nothing. It forecasts the finish of a job on random loads and then serves them.
func TestForecastAgainstOutcome(t *testing.T) {
	c := qt.New(t)
	informative, deep := 0, 0
	for seed := range uint64(150) {
		model := newModel(seed)
		for range 20 + model.random.IntN(600) {
			model.accept(model.newJob(&kinds[min(2, model.random.IntN(6))], model.random.IntN(20)))
		}
		model.place()
		for model.now < 2000 && len(model.events) > 0 {
			model.step()
		}
		asked := model.newJob(&kinds[model.random.IntN(3)], model.random.IntN(20))
		question, _ := model.question(asked, model.now)
		forecast := forecaster.Finish(question)
		model.accept(asked)
		submitted := model.now
		for asked.finished == 0 {
			model.step()
		}
		actual := asked.finished - submitted
		late := forecast.Earliest > question.Deadline() && actual <= question.Deadline()
		c.Check(late, qt.IsFalse, qt.Commentf("seed %d: forecast %+v, actual %d, deadline %d", seed, forecast, actual, question.Deadline()))
		if actual > 2*question.Deadline() {
			deep++
			if forecast.Earliest > question.Deadline() {
				informative++
			}
		}
	}
	c.Logf("%d of %d jobs that were served later than twice the deadline were forecast so", informative, deep)
	c.Check(informative*2 >= deep, qt.IsTrue, qt.Commentf("%d of %d", informative, deep))
}

// addArrivals submits the load for a time: kinds at a factor of their rates, a burst of
// twice that for 4 seconds, and one of 20 client accounts at 7 times its usual rate.
func addArrivals(model *model, factor float64, span modeller.Millis) (submitted []*job) {
	for index := range kinds {
		for at := 0.0; ; {
			rate := kinds[index].perSecond * factor * 26 / 20 / 1000
			if at >= 8000 && at < 12000 {
				rate *= 2
			}
			if at += model.random.ExpFloat64() / rate; at >= float64(span) {
				break
			}
			if model.random.Float64() > 20.0/26 && (at < 6000 || at >= 14000) {
				continue
			}
			account := max(0, model.random.IntN(26)-6)
			job := model.newJob(&kinds[index], account)
			submitted = append(submitted, job)
			heap.Push(&model.events, event{at: modeller.Millis(at), first: modeller.Millis(at), submitted: job})
		}
	}
	return submitted
}

// day is a load that was served.
type day struct {
	model     *model
	submitted []*job
	first     map[*job]modeller.Millis
}

func runDay(factor float64, seed uint64, admits, unranked bool) day {
	model := newModel(seed)
	model.admits, model.unranked = admits, unranked
	day := day{model: model, submitted: addArrivals(model, factor, 16_000), first: make(map[*job]modeller.Millis)}
	for _, event := range model.events {
		day.first[event.submitted] = event.first
	}
	for len(model.events) > 0 {
		model.step()
	}
	return day
}

// value returns what a caller gets: 1 for a job on time, a fifth for a late one that is
// still of use. Callers wait from their first try.
func (day *day) value(job *job) float64 {
	switch took := job.finished - day.first[job]; {
	case job.finished == 0 || took > forecaster.ServedObjectives*job.objective:
		return 0
	case took <= job.objective:
		return 1
	}
	return 0.2
}

// outcome sums up what callers get, and the callers whose job was accepted and who got
// nothing.
func (day *day) outcome() (sum float64, inVain int) {
	for _, job := range day.submitted {
		value := day.value(job)
		sum += value
		if value == 0 && job.admitted {
			inVain++
		}
	}
	return sum, inVain
}

// TestCallersAreBetterOff guards against refusals that cost callers more than they
// save, retries included, against refusals of jobs that are on time if all are accepted,
// against refusals while there is room, and against accepted jobs that are dropped. It
// serves the load by rank, and by latest start alone. The value of the jobs that are
// served must not fall, but for two in a thousand that those who give way may lose, and
// fewer callers must wait in vain.
func TestCallersAreBetterOff(t *testing.T) {
	for _, unranked := range []bool{false, true} {
		for _, factor := range []float64{0.3, 0.8, 1.0, 1.3, 2} {
			t.Run(fmt.Sprintf("%.1f/%t", factor, unranked), func(t *testing.T) { checkDay(qt.New(t), factor, unranked) })
		}
	}
}

func checkDay(c *qt.C, factor float64, unranked bool) {
	const seed = 2
	with, without := runDay(factor, seed, true, unranked), runDay(factor, seed, false, unranked)
	value, inVain := with.outcome()
	valueOfAll, inVainOfAll := without.outcome()
	c.Logf("value %.1f with admission control, %.1f without; in vain %d, %d; %d refusals", value, valueOfAll, inVain, inVainOfAll, with.model.refusals)
	c.Check(value >= 0.998*valueOfAll, qt.IsTrue)
	c.Check(inVain <= inVainOfAll, qt.IsTrue)
	if factor >= 1.3 && !unranked {
		c.Check(3*inVain < 2*inVainOfAll, qt.IsTrue)
	}
	if factor == 0.3 {
		c.Check(with.model.refusals, qt.Equals, 0)
	}
	for index, job := range with.submitted {
		c.Assert(!job.admitted || job.finished > 0, qt.IsTrue, qt.Commentf("accepted job %s was dropped", job.id))
		c.Check(!job.admitted && without.value(without.submitted[index]) == 1, qt.IsFalse, qt.Commentf("job %s was refused and could have been on time", job.id))
	}
}

// TestRetriesAreSpread guards against callers that all return at once, and against times
// that end after the callers' last try.
func TestRetriesAreSpread(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	counts := make([]int, 10)
	for range 1000 {
		after := forecaster.ReturnAfter(0, random.Float64())
		c.Assert(after > 0 && after <= 2000, qt.IsTrue)
		counts[min(9, after/200)]++
	}
	for _, count := range counts {
		c.Check(count < 200, qt.IsTrue, qt.Commentf("%v", counts))
	}
	c.Check(forecaster.ReturnAfter(2000, 0.999) <= 1000, qt.IsTrue)
}

// TestLongestWaitingReturnFirst guards against newcomers that take the place of callers
// that were refused before them. A job that can be on time is accepted in any case.
func TestLongestWaitingReturnFirst(t *testing.T) {
	c := qt.New(t)
	refused := forecaster.NewRefused()
	work := forecaster.Backlog{Work: 4_000_000, Demand: 4000, Tasks: 400}
	refused.Remember(forecaster.RefusedJob{ID: "old", Pool: "p", ClientAccount: "a", Work: work, First: 100})
	room := &forecaster.Room{}
	room.Release(0, 0)
	room.Release(100, 1000)
	ahead := forecaster.Backlog{Work: 4_000_000, Demand: 4000, Tasks: 400}
	question := &forecaster.Question{Room: room, Fleet: forecaster.Ahead{OnTime: ahead}, Account: forecaster.Ahead{OnTime: ahead}, AccountShare: 1, LateShare: 1, ApprovedShare: 1, Need: 10, Path: 100, Objective: 820}
	newcomer, _ := forecaster.Decide(question, refused.Returning(&forecaster.RefusedJob{Pool: "p", ClientAccount: "a", First: refused.Since("new", 500)}, 500))
	c.Check(newcomer, qt.Equals, forecaster.GivesWay)
	returned, _ := forecaster.Decide(question, refused.Returning(&forecaster.RefusedJob{Pool: "p", ClientAccount: "a", First: refused.Since("old", 500)}, 500))
	c.Check(returned, qt.Equals, forecaster.Accepted)
	question.Objective = 100_000
	onTime, _ := forecaster.Decide(question, forecaster.Returning{Fleet: work, Account: work})
	c.Check(onTime, qt.Equals, forecaster.Accepted)
	refused.Accept("old")
	c.Check(refused.Returning(&forecaster.RefusedJob{Pool: "p", First: 500}, 500).Fleet.Tasks, qt.Equals, 0)
	refused.Remember(forecaster.RefusedJob{ID: "gone", Pool: "p", ClientAccount: "a", Work: work, First: 600})
	refused.Forget(600 + forecaster.ReturnSpan + 1)
	c.Check(refused.Since("gone", 9000), qt.Equals, modeller.Millis(9000))
}

// TestNothingIsRefusedWithoutABacklog guards against refusals while there is room or
// nothing waits, however long running work lasts.
func TestNothingIsRefusedWithoutABacklog(t *testing.T) {
	c := qt.New(t)
	room := &forecaster.Room{}
	room.Release(50_000, 1000)
	question := &forecaster.Question{Room: room, AccountShare: 1, LateShare: 1, ApprovedShare: 1, Need: 100, Path: 10, Objective: 20}
	decision, _ := forecaster.Decide(question, forecaster.Returning{})
	c.Check(decision, qt.Equals, forecaster.Accepted)
	room.Release(0, 1000)
	question.Fleet.OnTime = forecaster.Backlog{Work: 500_000, Demand: 500, Tasks: 5}
	decision, _ = forecaster.Decide(question, forecaster.Returning{})
	c.Check(decision, qt.Equals, forecaster.Accepted)
}

// TestFloodOfOneAccountSparesOthers guards against refusals of accounts within their
// share while another account floods the cell.
func TestFloodOfOneAccountSparesOthers(t *testing.T) {
	c := qt.New(t)
	room := &forecaster.Room{}
	room.Release(100, 1000)
	flood := forecaster.Backlog{Work: 100_000_000, Demand: 100_000, Tasks: 10_000}
	question := &forecaster.Question{Room: room, Fleet: forecaster.Ahead{OnTime: flood}, AccountShare: 0.5, LateShare: 1, ApprovedShare: 1, Need: 10, Path: 1000, Objective: 2500}
	decision, _ := forecaster.Decide(question, forecaster.Returning{})
	c.Check(decision, qt.Equals, forecaster.Accepted)
	question.Account = question.Fleet
	decision, _ = forecaster.Decide(question, forecaster.Returning{})
	c.Check(decision, qt.Equals, forecaster.TooLate)
}

// TestLateWorkGetsWhatIsLeft guards against a forecast that takes a burst for lasting, or
// that gives late work the capacity that work on time has taken throughout.
func TestLateWorkGetsWhatIsLeft(t *testing.T) {
	c := qt.New(t)
	var served forecaster.Served
	now := modeller.Millis(500)
	serve := func(seconds int, work forecaster.Work) {
		for range seconds {
			served.Add(now, work)
			now += 1000
		}
	}
	serve(10, 800_000)
	c.Check(served.LateShare(now-1000, 1000), qt.Equals, 1.0, qt.Commentf("a burst of less than 10 seconds may end"))
	serve(2, 800_000)
	c.Check(served.LateShare(now-1000, 1000) < 0.3, qt.IsTrue)
	c.Check(served.LateShare(now-1000, 4000) > 0.8, qt.IsTrue)
	serve(1, 100_000)
	c.Check(served.LateShare(now, 1000) > 0.9, qt.IsTrue)
	c.Check(served.LateShare(now+60_000, 1000), qt.Equals, 1.0)
}

func BenchmarkDecide(b *testing.B) {
	model := newModel(1)
	for index := range 5000 {
		model.accept(model.newJob(&kinds[index%3], index%20))
	}
	question, _ := model.question(model.newJob(&kinds[2], 1), 0)
	for b.Loop() {
		forecaster.Decide(question, forecaster.Returning{})
	}
}
