package budgeter_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/budgeter"
	"github.com/dotterelrill/dotterelrill/configurer"
)

// TestDefaultsAreThoseOfTheSettings guards against a process without settings whose
// limits differ from the documented ones.
func TestDefaultsAreThoseOfTheSettings(t *testing.T) {
	c := qt.New(t)
	var limits budgeter.Limits
	set := &configurer.Set{Program: "test"}
	limits.Set(set)
	c.Assert(set.Parse("test.ini", nil), qt.HasLen, 0)
	c.Check(limits, qt.Equals, budgeter.DefaultLimits())
}

// TestBudgetsHoldTheLargestRequest guards against settings with which a body within its
// limit is never served.
func TestBudgetsHoldTheLargestRequest(t *testing.T) {
	c := qt.New(t)
	limits := budgeter.DefaultLimits()
	c.Check(limits.Bytes(100, 1<<20), qt.Equals, int64(20<<20))
	c.Check(limits.Bytes(0, 1<<20), qt.Equals, int64(20<<20))
	c.Check(limits.Bytes(10, 4<<20), qt.Equals, int64(16<<20))
	limits.ConnectionMiB = 8
	c.Check(limits.Check(0, 1<<20), qt.HasLen, 0)
	c.Check(limits.Check(0, 4<<20), qt.HasLen, 1)
	c.Check(limits.Check(15, 1<<20), qt.HasLen, 1)
}
