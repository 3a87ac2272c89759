package configurer_test

import (
	"os"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/configurer"
)

// A program must start on a full disk and wait for space. Reporting the full disk
// as a configuration fault would make it exit at every start.
func TestFullDiskIsNoConfigurationFault(t *testing.T) {
	c := qt.New(t)
	countFaults := func(err error) int {
		var folder string
		set := &configurer.Set{Program: "test", WriteFile: func(path string, _ []byte, _ os.FileMode) error {
			return &os.PathError{Op: "open", Path: path, Err: err}
		}}
		set.Folder(&folder, configurer.Key{Section: "Cell", Name: "DataFolder", Required: true})
		return len(set.Parse("test.ini", []byte("[Cell]\nDataFolder = "+t.TempDir()+"\n")))
	}
	c.Check(countFaults(syscall.ENOSPC), qt.Equals, 0)
	c.Check(countFaults(syscall.EACCES), qt.Equals, 1)
}
