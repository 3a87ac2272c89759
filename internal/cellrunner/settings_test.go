package cellrunner_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/internal/cellrunner"
)

// TestADeploymentWithoutRemotePenaltyIsValid guards against a replica that does not start
// where the deployment has no penalty, so that the key is rendered without a value, and
// against a penalty that is none.
func TestADeploymentWithoutRemotePenaltyIsValid(t *testing.T) {
	c := qt.New(t)
	for text, want := range map[string]struct {
		penalty float64
		problem string
	}{
		"": {}, "1": {penalty: 1}, "2.5": {penalty: 2.5},
		"0.5": {problem: "0.5 is out of range"}, "NaN": {problem: "NaN is out of range"}, "twice": {problem: `"twice" is not a number`},
	} {
		settings := &cellrunner.Settings{}
		faults := settings.Set().Parse("cell.ini", []byte("[Cell]\nName = c\nAddress = 127.0.0.1:1\nBootstrap = 127.0.0.1:1\nDataFolder = "+t.TempDir()+"\nMetricsAddress = 127.0.0.1:2\n[Staged]\nRemotePenalty = "+text+"\n"))
		if want.problem == "" {
			c.Check(faults, qt.HasLen, 0, qt.Commentf("%q", text))
			c.Check(settings.Staged.RemotePenalty, qt.Equals, want.penalty)
			continue
		}
		c.Assert(faults, qt.HasLen, 1, qt.Commentf("%q", text))
		c.Check(faults[0].Problem, qt.Equals, want.problem)
	}
}

// TestADeploymentWithoutLossesToBearIsValid guards against a replica that does not start where
// the deployment does not tell how many losses it has to bear, so that the keys are rendered
// without a value.
func TestADeploymentWithoutLossesToBearIsValid(t *testing.T) {
	c := qt.New(t)
	settings := &cellrunner.Settings{}
	faults := settings.Set().Parse("cell.ini", []byte("[Cell]\nName = c\nAddress = 127.0.0.1:1\nBootstrap = 127.0.0.1:1\nDataFolder = "+t.TempDir()+
		"\nMetricsAddress = 127.0.0.1:2\nLossesBorne = \nLossesBorneDataCentres = \nLossesBorneRegions = \n"))
	c.Check(faults, qt.HasLen, 0)
	c.Check(settings.LossesBorne, qt.Equals, int64(0))
}
