package waiter_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
	"github.com/dotterelrill/dotterelrill/waiter"
)

const (
	begin  modeller.Millis = 10_000
	review modeller.Millis = 100
)

var step = stager.StepID{Job: "j"}

// drawChance draws a chance of a step that could start elsewhere at once.
func drawChance(t *rapid.T) waiter.Chance {
	near := modeller.Millis(rapid.IntRange(100, 8000).Draw(t, "near"))
	return waiter.Chance{
		Now: begin, FarAt: begin, Near: near, Far: modeller.Millis(float64(near) * rapid.Float64Range(1, 4).Draw(t, "penalty")),
		NearAt:      begin + modeller.Millis(rapid.IntRange(0, 6000).Draw(t, "until near")),
		LatestStart: begin + modeller.Millis(float64(near)*rapid.Float64Range(-0.5, 4).Draw(t, "slack")),
		Size:        1,
	}
}

// play considers a step every 100 ms until it starts: near when nearAt has come, or
// elsewhere once it does not wait. leader returns the waiter and the forecast of the time.
func play(chance waiter.Chance, nearAt modeller.Millis, leader func(modeller.Millis) (*waiter.Waiter, modeller.Millis)) (startedAt modeller.Millis, near bool) {
	for now := chance.Now; ; now = min(now+review, max(nearAt, now+1)) {
		if now >= nearAt {
			return now, true
		}
		var current *waiter.Waiter
		chance.Now, chance.FarAt = now, now
		current, chance.NearAt = leader(now)
		if !current.Consider(step, "q", "r", chance) {
			return now, false
		}
	}
}

// endOf returns when a step that started has ended.
func endOf(chance waiter.Chance, startedAt modeller.Millis, near bool) modeller.Millis {
	if near {
		return startedAt + chance.Near
	}
	return startedAt + chance.Far
}

// TestAWaitNeverMakesAJobLate guards against a wait that makes a job late that would have
// been on time elsewhere, or that ends later than it would have there, although the forecast
// is perfect.
func TestAWaitNeverMakesAJobLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chance := drawChance(t)
		current := waiter.New(waiter.Config{})
		startedAt, near := play(chance, chance.NearAt, func(modeller.Millis) (*waiter.Waiter, modeller.Millis) { return current, chance.NearAt })
		end, far, deadline := endOf(chance, startedAt, near), begin+chance.Far, chance.LatestStart+chance.Near
		if far <= deadline && end > deadline || end > far {
			t.Fatalf("ended at %d, elsewhere at %d, deadline %d", end, far, deadline)
		}
		if startedAt > max(begin, chance.LatestStart) {
			t.Fatalf("started at %d, latest start %d", startedAt, chance.LatestStart)
		}
	})
}

// TestAnInaccurateForecastIsNotTrustedForLong guards against a wait for near room that is
// always expected soon and never comes, also where a lost leader's successor begins it
// again: it takes at most the gain for each leader, and does not make a job late that is
// still on time elsewhere when twice the expected time has passed.
func TestAnInaccurateForecastIsNotTrustedForLong(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chance := drawChance(t)
		lostAt := begin + modeller.Millis(rapid.IntRange(0, 8000).Draw(t, "lost at"))
		leaders := []*waiter.Waiter{waiter.New(waiter.Config{}), waiter.New(waiter.Config{})}
		first := []modeller.Millis{-1, -1}
		startedAt, _ := play(chance, waiter.Never, func(now modeller.Millis) (*waiter.Waiter, modeller.Millis) {
			leader, expected := 0, modeller.Millis(rapid.IntRange(0, 500).Draw(t, "expected"))
			if now >= lostAt {
				leader = 1
			}
			if first[leader] < 0 {
				first[leader] = now + 2*expected
			}
			return leaders[leader], now + expected
		})
		waited, gain := startedAt-begin, chance.Far-chance.Near
		if waited > 2*(min(gain, 2*chance.Near)+review) {
			t.Fatalf("waited %d to gain %d", waited, gain)
		}
		trusted := max(first[0], first[1]) + 4*review
		if deadline := chance.LatestStart + chance.Near; trusted+chance.Far <= deadline && startedAt+chance.Far > deadline {
			t.Fatalf("started elsewhere at %d, deadline %d", startedAt, deadline)
		}
	})
}

// TestAWaitMustEarnWhatStandsIdle guards against a step that keeps much free capacity idle
// for a small gain of its own.
func TestAWaitMustEarnWhatStandsIdle(t *testing.T) {
	c := qt.New(t)
	chance := waiter.Chance{Now: begin, FarAt: begin, NearAt: begin + 400, Near: 1000, Far: 2000, LatestStart: begin + 10_000, Size: 4000, Idle: 3000}
	c.Check(waiter.Pays(chance, waiter.Wait{First: chance}), qt.IsTrue)
	chance.Idle = 12_000
	c.Check(waiter.Pays(chance, waiter.Wait{First: chance}), qt.IsFalse)
}

// TestWaitsThatTakeLongerThanExpectedAreTakenIntoAccount guards against steps that wait
// again and again although near room becomes free much later than expected.
func TestWaitsThatTakeLongerThanExpectedAreTakenIntoAccount(t *testing.T) {
	c := qt.New(t)
	var events []waiter.Event
	current := waiter.New(waiter.Config{Report: func(event waiter.Event) { events = append(events, event) }})
	chance := waiter.Chance{Now: begin, FarAt: begin, Near: 1000, Far: 2000, LatestStart: begin + 10_000, Size: 1}
	begins := func(job stager.JobID, expected modeller.Millis) bool {
		chance.NearAt = begin + expected
		return current.Consider(stager.StepID{Job: job}, "q", "r", chance)
	}
	for range 16 {
		c.Assert(begins("short", 200), qt.IsTrue)
		current.Placed(stager.StepID{Job: "short"}, begin+700)
	}
	c.Check(events[:2], qt.DeepEquals, []waiter.Event{
		{Step: stager.StepID{Job: "short"}, Queue: "q", Rack: "r", Result: waiter.Begun, Expected: 200},
		{Step: stager.StepID{Job: "short"}, Queue: "q", Rack: "r", Result: waiter.PaidOff, Expected: 200, Waited: 700, Gained: 300},
	})
	c.Check(begins("long", 600), qt.IsFalse)
	for range 32 {
		c.Assert(begins("short", 200), qt.IsTrue, qt.Commentf("a short wait still begins"))
		current.Placed(stager.StepID{Job: "short"}, begin+200)
	}
	c.Check(begins("long", 600), qt.IsTrue)
}

// TestAStepGivesUpAFewTimesOnly guards against a step that alternates between waiting and
// asking about workers elsewhere, and against one that never waits again although it found
// no room elsewhere.
func TestAStepGivesUpAFewTimesOnly(t *testing.T) {
	c := qt.New(t)
	current := waiter.New(waiter.Config{})
	chance := waiter.Chance{Now: begin, FarAt: begin, Near: 1000, Far: 2000, LatestStart: begin + 10_000, Size: 1}
	for range 3 {
		chance.NearAt = begin + 100
		c.Assert(current.Consider(step, "q", "r", chance), qt.IsTrue)
		chance.NearAt = waiter.Never
		c.Assert(current.Consider(step, "q", "r", chance), qt.IsFalse, qt.Commentf("the rack has failed"))
		_, waits := current.Wait(step)
		c.Assert(waits, qt.IsFalse)
	}
	chance.NearAt = begin + 100
	c.Check(current.Consider(step, "q", "r", chance), qt.IsFalse)
	current.Retain(func(stager.StepID) bool { return false })
	c.Check(current.Consider(step, "q", "r", chance), qt.IsTrue, qt.Commentf("forgotten"))
}

// TestThePenaltyIsLearnedByQueue guards against a deployment's penalty that is kept although
// a queue's tasks show another, and against one straggler that changes it.
func TestThePenaltyIsLearnedByQueue(t *testing.T) {
	c := qt.New(t)
	current := waiter.New(waiter.Config{Penalty: 3})
	for range 8 {
		c.Check(current.Penalty("q"), qt.Equals, 3.0)
		current.Observe("q", true, 1000, 1100)
		current.Observe("q", false, 1000, 1650)
	}
	c.Check(current.Penalty("q") > 1.45 && current.Penalty("q") < 1.55, qt.IsTrue, qt.Commentf("%v", current.Penalty("q")))
	for range 30 {
		current.Observe("q", false, 1000, 1650)
	}
	current.Observe("q", false, 1000, 1_000_000)
	c.Check(current.Penalty("q") < 1.6, qt.IsTrue, qt.Commentf("%v", current.Penalty("q")))
	c.Check(current.Penalty("other"), qt.Equals, 3.0)
}
