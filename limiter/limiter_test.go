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

func TestFloodIsRefusedWithRetryAfter(t *testing.T) {
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
	c.Check(refusal.Code.Row().NotRun, qt.IsFalse, qt.Commentf("an earlier request may have been accepted"))
	c.Check(refusal.RetryAfter, qt.Equals, 100*time.Millisecond)

	_, refusal = limiter.Admit("other", true)
	c.Check(refusal == nil, qt.IsTrue, qt.Commentf("other client accounts are not limited"))

	clock.now = clock.now.Add(100 * time.Millisecond)
	_, refusal = limiter.Admit("flood", true)
	c.Check(refusal == nil, qt.IsTrue, qt.Commentf("admitted after RetryAfter"))
}

func TestUnknownKeyDoesNotUseTheAccountsAllowance(t *testing.T) {
	c := qt.New(t)
	limiter, _ := newLimiter(1, 2, 100)
	for range 10 {
		_, _ = limiter.Admit("team", false)
	}
	_, refusal := limiter.Admit("team", true)
	c.Check(refusal == nil, qt.IsTrue)
}

func TestSubmissionsInFlightAreBounded(t *testing.T) {
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
	c.Check(refusal != nil, qt.IsTrue, qt.Commentf("the second call for the same submission has no effect"))
}

// TestNoAccountExceedsItsRate checks, for random sequences of requests, that no
// account is admitted more often than its burst and rate allow, and that an
// account that stays below its rate is never refused.
func TestNoAccountExceedsItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst = 20, 10
		limiter, clock := newLimiter(rate, burst, 1<<20)
		startedAt := clock.now
		admitted := make(map[modeller.ClientAccountName]int)
		lastSteady := startedAt.Add(-time.Second)
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			clock.now = clock.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "millis")) * time.Millisecond)
			account := modeller.ClientAccountName(rapid.SampledFrom([]string{"a", "b", "steady"}).Draw(t, "account"))
			if account == "steady" {
				if clock.now.Sub(lastSteady) < time.Second/rate {
					continue
				}
				lastSteady = clock.now
			}
			_, refusal := limiter.Admit(account, true)
			if refusal == nil {
				admitted[account]++
			} else if account == "steady" {
				t.Fatalf("the account below its rate was refused: %v", refusal)
			}
		}
		limit := burst + int(clock.now.Sub(startedAt).Seconds()*rate) + 1
		for account, count := range admitted {
			if count > limit {
				t.Fatalf("%s was admitted %d times, at most %d are allowed", account, count, limit)
			}
		}
	})
}

// TestARefusalSaysThatNothingWasProposed checks that a refusal states NotProposed,
// which holds for this request alone, and not NotRun, because an earlier request
// with the same RequestID may have been accepted.
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
