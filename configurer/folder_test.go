package configurer_test

import (
	"os"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/configurer"
)

// TestAFullDiskIsNoFaultOfTheSettings expects a program to begin on a full disk,
// where it can wait, and not to end at each start.
func TestAFullDiskIsNoFaultOfTheSettings(t *testing.T) {
	c := qt.New(t)
	faults := func(err error) int {
		var folder string
		set := &configurer.Set{Program: "test", WriteFile: func(path string, _ []byte, _ os.FileMode) error {
			return &os.PathError{Op: "open", Path: path, Err: err}
		}}
		set.Folder(&folder, configurer.Key{Section: "Cell", Name: "DataFolder", Required: true})
		return len(set.Parse("test.ini", []byte("[Cell]\nDataFolder = "+t.TempDir()+"\n")))
	}
	c.Check(faults(syscall.ENOSPC), qt.Equals, 0)
	c.Check(faults(syscall.EACCES), qt.Equals, 1)
}
