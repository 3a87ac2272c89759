package tracer_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/tracer"
)

func TestTracesMatchTheirChecksums(t *testing.T) {
	c := qt.New(t)
	recordings, err := tracer.Recordings()
	c.Assert(err, qt.IsNil)
	c.Assert(recordings, qt.HasLen, 3)
	for _, recorded := range recordings {
		_, err := recorded.Load()
		c.Check(err, qt.IsNil)
	}
}
