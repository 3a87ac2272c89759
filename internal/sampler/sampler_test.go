package sampler_test

import (
	"os"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/internal/sampler"
)

func TestReadSamplesOwnProcess(t *testing.T) {
	c := quicktest.New(t)
	before, err := sampler.Read(os.Getpid())
	c.Assert(err, quicktest.IsNil)
	const written = 1 << 20
	c.Assert(os.WriteFile(os.DevNull, make([]byte, written), 0o600), quicktest.IsNil)
	spinStart := time.Now()
	for time.Since(spinStart) < 300*time.Millisecond {
		_ = spinStart
	}
	after, err := sampler.Read(os.Getpid())
	c.Assert(err, quicktest.IsNil)
	c.Assert(after.Written-before.Written >= written, quicktest.IsTrue)
	c.Assert(after.Writes > before.Writes, quicktest.IsTrue)
	c.Assert(after.Processor > before.Processor, quicktest.IsTrue)
	c.Assert(after.Resident > 0, quicktest.IsTrue)
}

func TestReadFailsForUnknownProcess(t *testing.T) {
	c := quicktest.New(t)
	_, err := sampler.Read(-1)
	c.Assert(err, quicktest.ErrorMatches, "read process statistics.*")
}
