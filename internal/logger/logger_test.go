package logger_test

import (
	"bytes"
	"encoding/json"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

func TestALineIsOneJSONObject(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	logger.Info(logger.New(&out, "dotterel-cell"), "placement", "Job", modeller.JobID(7), "Reason", "a \"quoted\"\nreason")
	c.Check(bytes.Count(out.Bytes(), []byte("\n")), qt.Equals, 1)
	var line map[string]any
	c.Assert(json.Unmarshal(out.Bytes(), &line), qt.IsNil)
	c.Check(line["Program"], qt.Equals, "dotterel-cell")
	c.Check(line["Message"], qt.Equals, "placement")
	c.Check(line["Reason"], qt.Equals, "a \"quoted\"\nreason")
}

// BenchmarkPlacementLine measures the cost of the log line that is written for
// each placement.
func BenchmarkPlacementLine(b *testing.B) {
	cellLogger := logger.New(io.Discard, "dotterel-cell")
	b.ReportAllocs()
	for b.Loop() {
		logger.Info(cellLogger, "placement",
			"Job", modeller.JobID(4711), "Task", uint32(3), "Attempt", modeller.Attempt(1), "Worker", modeller.WorkerName("hobart-17"),
			"Code", "OK", "Reason", "Ordinary Batch: best of the workers with room", "Revision", modeller.Revision(12))
	}
}
