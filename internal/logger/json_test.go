package logger_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// TestALineIsThatOfTheGeneralEncoder guards against a value that the fast encoding writes
// in another way than encoding/json.
func TestALineIsThatOfTheGeneralEncoder(t *testing.T) {
	c := qt.New(t)
	texts := []string{"", "plain", `a "quote" and \`, "tab\tline\n", "<&>", "é\u2028", "\xff\x00", "~\x7f"}
	values := []any{
		true, 0, -7, int64(1 << 62), uint8(3), uint64(1 << 63), 2.5, nil, time.Second, errors.New("an <error>"), modeller.JobID(7),
		modeller.WorkerName("w"), coder.NotLeader, []string{"a"}, map[string]int{"b": 1}, json.RawMessage(`{"c":2}`), level.WarnValue(),
	}
	for _, text := range texts {
		values = append(values, text, modeller.WorkerName(text))
	}
	for _, value := range values {
		pairs := []any{"Zeta", 1, "Value", "replaced", level.Key(), level.InfoValue(), "Value", value, "a <key>\"", "b"}
		var got, want bytes.Buffer
		c.Assert(logger.New(&got, "test").Log(pairs...), qt.IsNil)
		c.Assert(log.NewJSONLogger(&want).Log(append([]any{"Program", "test"}, pairs...)...), qt.IsNil)
		var line struct{ Time time.Time }
		c.Assert(json.Unmarshal(got.Bytes(), &line), qt.IsNil)
		stamp := fmt.Sprintf("\"Time\":%q,", line.Time.Format(time.RFC3339Nano))
		c.Check(string(bytes.Replace(got.Bytes(), []byte(stamp), nil, 1)), qt.Equals, want.String())
	}
}

// TestALineAllocatesLittle guards against lines whose encoding takes a noticeable part of
// a busy leader's processor time.
func TestALineAllocatesLittle(t *testing.T) {
	c := qt.New(t)
	const maxAllocations = 12
	testLogger := logger.New(io.Discard, "test")
	allocations := testing.AllocsPerRun(100, func() {
		logger.Info(testLogger, "task placed", "Task", "893b6a4adedac63b.0.0.4", "Attempt", modeller.Attempt(1), "Worker", modeller.WorkerName("i-9daf715395"), "HeardMillisAgo", int64(4))
	})
	c.Check(allocations <= maxAllocations, qt.IsTrue, qt.Commentf("%v allocations", allocations))
}
