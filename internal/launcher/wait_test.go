package launcher_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/internal/launcher"
)

// TestAnEndedProcessIsNotLate guards against a process that has ended being said not to
// have stopped, when its caller gets no processor until the timeout has passed.
func TestAnEndedProcessIsNotLate(t *testing.T) {
	c := qt.New(t)
	fleet := launcher.New(launcher.Config{Folder: t.TempDir(), Programs: programs})
	t.Cleanup(fleet.Kill)
	process, err := fleet.StartProgram("dotterel-cell", "cell", "[Nonsense]\n")
	c.Assert(err, qt.IsNil)
	status, err := process.Wait(10 * time.Second)
	c.Assert(err, qt.IsNil)
	for range 1000 {
		again, err := process.Wait(0)
		c.Assert(err, qt.IsNil)
		c.Assert(again, qt.Equals, status)
	}
}
