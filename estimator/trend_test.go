package estimator_test

import (
	"math"
	"math/rand"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/estimator"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// drawRunTime draws an actual run time of about 6 s, and a declared one that is
// off by up to errorFactor in either direction.
func drawRunTime(random *rand.Rand, errorFactor float64) (declared, ran modeller.Millis) {
	actual := 6000 * math.Exp(0.4*random.NormFloat64())
	return modeller.Millis(actual * math.Pow(errorFactor, 2*random.Float64()-1)), modeller.Millis(actual)
}

// TestTrendCorrectsUselessDeclarations declares run times that are off by up to
// ten times, where the trend must be much closer than the declarations, and by
// up to a fifth, where it must be about as good.
func TestTrendCorrectsUselessDeclarations(t *testing.T) {
	c := qt.New(t)
	for errorFactor, maxErrorRatio := range map[float64]float64{10: 0.6, 1.2: 1.3} {
		random := rand.New(rand.NewSource(20261204))
		var trend estimator.Trend
		for range 100 {
			trend.Observe(drawRunTime(random, errorFactor))
		}
		var declaredError, trendError float64
		for range 1000 {
			declared, ran := drawRunTime(random, errorFactor)
			declaredError += math.Abs(math.Log(float64(declared) / float64(ran)))
			trendError += math.Abs(math.Log(float64(trend.RunTime(declared)) / float64(ran)))
		}
		c.Check(trendError < maxErrorRatio*declaredError, qt.IsTrue, qt.Commentf("off by %v: %.3f, declared %.3f", errorFactor, trendError/1000, declaredError/1000))
	}
}

func TestTrendNeedsEnoughTasks(t *testing.T) {
	c := qt.New(t)
	var trend estimator.Trend
	trend.Observe(100, 900)
	c.Check(trend.RunTime(100), qt.Equals, modeller.Millis(100))
	c.Check((*estimator.Trend)(nil).RunTime(100), qt.Equals, modeller.Millis(100))
}

// TestPaceDetectsASlowWorkerAfterFewTasks expects a worker that is five times
// slower to be detected after three tasks, and one that is a quarter faster
// after thirty.
func TestPaceDetectsASlowWorkerAfterFewTasks(t *testing.T) {
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
