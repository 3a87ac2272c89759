package estimator_test

import (
	"math"
	"math/rand"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/estimator"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// run draws a run time of about 6 s and what is declared of it, off by up to so
// many times either way.
func run(random *rand.Rand, off float64) (declared, ran modeller.Millis) {
	real := 6000 * math.Exp(0.4*random.NormFloat64())
	return modeller.Millis(real * math.Pow(off, 2*random.Float64()-1)), modeller.Millis(real)
}

// TestUselessDeclarationsAreNotBelieved declares run times that are off by up to
// ten times: the trend has to be nearer than the declarations by far, and as good
// as these where they are off by a fifth.
func TestUselessDeclarationsAreNotBelieved(t *testing.T) {
	c := qt.New(t)
	for off, most := range map[float64]float64{10: 0.6, 1.2: 1.3} {
		random := rand.New(rand.NewSource(20261204))
		var trend estimator.Trend
		for range 100 {
			trend.Observe(run(random, off))
		}
		var believed, corrected float64
		for range 1000 {
			declared, ran := run(random, off)
			believed += math.Abs(math.Log(float64(declared) / float64(ran)))
			corrected += math.Abs(math.Log(float64(trend.RunTime(declared)) / float64(ran)))
		}
		c.Check(corrected < most*believed, qt.IsTrue, qt.Commentf("off by %v: %.3f, declared %.3f", off, corrected/1000, believed/1000))
	}
}

func TestFewTasksMakeNoTrend(t *testing.T) {
	c := qt.New(t)
	var trend estimator.Trend
	trend.Observe(100, 900)
	c.Check(trend.RunTime(100), qt.Equals, modeller.Millis(100))
	c.Check((*estimator.Trend)(nil).RunTime(100), qt.Equals, modeller.Millis(100))
}

// TestASlowWorkerIsToldFromFewTasks tells a worker that takes five times as long
// after three tasks, and one that is a quarter faster after thirty.
func TestASlowWorkerIsToldFromFewTasks(t *testing.T) {
	c := qt.New(t)
	var slow, fast estimator.Pace
	for range 3 {
		slow.Observe(600, 3000)
	}
	c.Check(slow.Factor() > 2, qt.IsTrue, qt.Commentf("%v", slow.Factor()))
	random := rand.New(rand.NewSource(1))
	for range 30 {
		fast.Observe(600, modeller.Millis(480*(0.8+0.4*random.Float64())))
	}
	c.Check(math.Abs(fast.Factor()-0.8) < 0.08, qt.IsTrue, qt.Commentf("%v", fast.Factor()))
}
