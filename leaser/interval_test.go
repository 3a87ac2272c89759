package leaser_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelrill/dotterelrill/leaser"
	"github.com/dotterelrill/dotterelrill/modeller"
)

func newLeaserWithRate(beatsPerSecond int, fresh time.Duration) *leaser.Leaser {
	return leaser.New(leaser.Config{
		Term:                2 * fresh,
		Fresh:               fresh,
		HeartbeatsPerSecond: beatsPerSecond,
		Clock:               func() time.Duration { return 0 },
	})
}

func TestIntervalAtDesignFleetSize(t *testing.T) {
	c := quicktest.New(t)
	c.Assert(newLeaserWithRate(540, 10*time.Second).Interval(2700), quicktest.Equals, modeller.Millis(5000))
	c.Assert(newLeaserWithRate(540, 10*time.Second).Interval(50), quicktest.Equals, modeller.Millis(0))
	c.Assert(newLeaserWithRate(0, 10*time.Second).Interval(2700), quicktest.Equals, modeller.Millis(0))
}

// TestIntervalBoundsRateAndKeepsWorkersFresh checks that the rate is kept except
// where a longer interval would let workers go stale after one lost heartbeat.
func TestIntervalBoundsRateAndKeepsWorkersFresh(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.IntRange(1, 2000).Draw(t, "BeatsPerSecond")
		fresh := time.Duration(rapid.IntRange(500, 60_000).Draw(t, "FreshMillis")) * time.Millisecond
		workers := rapid.IntRange(0, 10_000).Draw(t, "Workers")
		interval := time.Duration(newLeaserWithRate(rate, fresh).Interval(workers)) * time.Millisecond
		if interval > fresh/2 {
			t.Fatalf("interval is %s, workers are fresh for %s", interval, fresh)
		}
		// Interval rounds down to a millisecond.
		withinRate := float64(workers) <= float64(rate)*(interval+time.Millisecond).Seconds()
		if workers > rate && !withinRate && interval+time.Millisecond < fresh/2 {
			t.Fatalf("%d workers with an interval of %s exceed %d heartbeats a second", workers, interval, rate)
		}
	})
}
