package limiter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/limiter"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// clock is a fake clock.
type clock struct{ now time.Time }

func (clock *clock) time() time.Time { return clock.now }

func newLimiter(rate float64, burst, inFlight int) (*limiter.Limiter, *clock) {
	clock := &clock{now: time.Unix(1, 0)}
	return limiter.New(limiter.Config{Rate: rate, Burst: burst, MostInFlight: inFlight, Clock: clock.time}), clock
}

func TestAFloodIsRefusedWithATimeToComeBack(t *testing.T) {
	c := qt.New(t)
	limiter, clock := newLimiter(10, 5, 100)
	for range 5 {
		done, refusal := limiter.Admit("flood", true)
		c.Assert(refusal == nil, qt.IsTrue)
		done()
	}
	_, refusal := limiter.Admit("flood", true)
	c.Assert(refusal != nil, qt.IsTrue)
	c.Check(refusal.Code, qt.Equals, coder.Overloaded)
	c.Check(refusal.Code.Row().NotRun, qt.IsFalse, qt.Commentf("an earlier sending may have been accepted"))
	c.Check(refusal.RetryAfter, qt.Equals, 100*time.Millisecond)

	_, refusal = limiter.Admit("other", true)
	c.Check(refusal == nil, qt.IsTrue, qt.Commentf("another client account is untouched"))

	clock.now = clock.now.Add(100 * time.Millisecond)
	_, refusal = limiter.Admit("flood", true)
	c.Check(refusal == nil, qt.IsTrue, qt.Commentf("the stated time is enough"))
}

func TestAStrangerDoesNotUseUpATeamsAllowance(t *testing.T) {
	c := qt.New(t)
	limiter, _ := newLimiter(1, 2, 100)
	for range 10 {
		_, _ = limiter.Admit("team", false)
	}
	_, refusal := limiter.Admit("team", true)
	c.Check(refusal == nil, qt.IsTrue)
}

func TestUndecidedSubmissionsAreBounded(t *testing.T) {
	c := qt.New(t)
	limiter, _ := newLimiter(1000, 1000, 2)
	first, refusal := limiter.Admit("team", true)
	c.Assert(refusal == nil, qt.IsTrue)
	_, refusal = limiter.Admit("team", true)
	c.Assert(refusal == nil, qt.IsTrue)
	_, refusal = limiter.Admit("team", true)
	c.Assert(refusal != nil, qt.IsTrue)
	first()
	first()
	_, refusal = limiter.Admit("team", true)
	c.Check(refusal == nil, qt.IsTrue)
	_, refusal = limiter.Admit("team", true)
	c.Check(refusal != nil, qt.IsTrue, qt.Commentf("a submission is decided once"))
}

// TestNoAccountGetsMoreThanItsRate holds for any order of requests: over any
// run no account is admitted more often than its burst and rate allow, and an
// account that stays below its rate is never refused.
func TestNoAccountGetsMoreThanItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst = 20, 10
		limiter, clock := newLimiter(rate, burst, 1<<20)
		begun := clock.now
		admitted := make(map[modeller.ClientAccountName]int)
		lastCalm := begun.Add(-time.Second)
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			clock.now = clock.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "millis")) * time.Millisecond)
			account := modeller.ClientAccountName(rapid.SampledFrom([]string{"a", "b", "calm"}).Draw(t, "account"))
			if account == "calm" {
				if clock.now.Sub(lastCalm) < time.Second/rate {
					continue
				}
				lastCalm = clock.now
			}
			_, refusal := limiter.Admit(account, true)
			if refusal == nil {
				admitted[account]++
			} else if account == "calm" {
				t.Fatalf("the calm account was refused: %v", refusal)
			}
		}
		most := burst + int(clock.now.Sub(begun).Seconds()*rate) + 1
		for account, count := range admitted {
			if count > most {
				t.Fatalf("%s was admitted %d times, at most %d are allowed", account, count, most)
			}
		}
	})
}

// TestARefusalSaysThatNothingWasProposed expects what holds for this sending
// alone: an earlier one under the same RequestID may have been accepted.
func TestARefusalSaysThatNothingWasProposed(t *testing.T) {
	c := qt.New(t)
	limiter := limiter.New(limiter.Config{Rate: 1, Burst: 1, MostInFlight: 10})
	_, refusal := limiter.Admit("desk", true)
	c.Assert(refusal == nil, qt.IsTrue)
	_, refusal = limiter.Admit("desk", true)
	c.Assert(refusal != nil, qt.IsTrue)
	c.Check(refusal.NotProposed, qt.IsTrue)
	c.Check(refusal.Code.Row().NotRun, qt.IsFalse)
}
