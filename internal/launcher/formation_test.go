package launcher_test

import (
	"bytes"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/internal/launcher"
	"github.com/dotterelrill/dotterelrill/keyer"
)

// TestKillEndsEveryProcess checks that Kill ends a replica that was started later
// and is not among Cells.
func TestKillEndsEveryProcess(t *testing.T) {
	c := qt.New(t)
	fleet, err := launcher.Start(launcher.Config{Folder: t.TempDir(), Programs: programs, Cells: 1, Absent: 1})
	c.Assert(err, qt.IsNil)
	t.Cleanup(fleet.Kill)
	later, err := fleet.StartCell("later", fleet.CellAddress[1])
	c.Assert(err, qt.IsNil)
	fleet.Kill()
	c.Check(later.Alive(), qt.IsFalse)
	c.Check(fleet.Cells[0].Alive(), qt.IsFalse)
}

// TestAReplicaOutsideTheBootstrapListJoins starts a replica whose Bootstrap
// setting names three other replicas but not itself, at the same time as those.
// It must join them as the fourth member without forming a cell of its own.
// Three of the four members are voters.
func TestAReplicaOutsideTheBootstrapListJoins(t *testing.T) {
	c := qt.New(t)
	fleet, err := launcher.Start(launcher.Config{Folder: t.TempDir(), Programs: programs, Cells: 1, Absent: 2, Entries: 1})
	c.Assert(err, qt.IsNil)
	t.Cleanup(fleet.Kill)
	addresses, err := launcher.FreeAddresses(1)
	c.Assert(err, qt.IsNil)
	unlisted, err := fleet.StartCell("outsider", addresses[0])
	c.Assert(err, qt.IsNil)
	time.Sleep(300 * time.Millisecond)
	for index, name := range []string{"cell2", "cell3"} {
		_, err := fleet.StartCell(name, fleet.CellAddress[index+1])
		c.Assert(err, qt.IsNil)
	}
	fixture := &fixture{c: c, fleet: fleet, key: keyer.Generate()}
	fixture.await("a fourth member, with three voters", func() bool {
		voters := 0
		for _, row := range fixture.members() {
			if row.Member.Voter {
				voters++
			}
		}
		return len(fixture.members()) == 4 && voters == 3
	})
	fixture.await("the new replica's copy of the log", func() bool {
		return fixture.appliedIndex(unlisted) > 0 && fixture.appliedIndex(unlisted) >= fixture.appliedIndex(fleet.Cells[0])
	})
	logText, err := os.ReadFile(unlisted.LogFile())
	c.Assert(err, qt.IsNil)
	c.Check(bytes.Contains(logText, []byte("cell formed")), qt.IsFalse)
}
