package logger_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/internal/logger"
)

// blockedWriter is a writer that blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	mutex   sync.Mutex
	written bytes.Buffer
}

func (blockedWriter *blockedWriter) Write(data []byte) (int, error) {
	<-blockedWriter.release
	blockedWriter.mutex.Lock()
	defer blockedWriter.mutex.Unlock()
	return blockedWriter.written.Write(data)
}

func TestAStuckReaderDoesNotBlockLogging(t *testing.T) {
	c := qt.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	ring := logger.NewRing(out)
	testLogger := logger.New(ring, "test")
	startedAt := time.Now()
	const count = 20_000
	for number := range count {
		logger.Info(testLogger, fmt.Sprint("line ", number))
	}
	c.Check(time.Since(startedAt) < 2*time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(startedAt)))
	close(out.release)
	ring.Close()
	out.mutex.Lock()
	defer out.mutex.Unlock()
	c.Check(strings.Contains(out.written.String(), "log lines dropped"), qt.IsTrue)
	c.Check(strings.Contains(out.written.String(), "line 0\""), qt.IsTrue)
}

func TestCloseWritesPendingLines(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	ring := logger.NewRing(&out)
	testLogger := logger.New(ring, "test")
	for number := range 100 {
		logger.Info(testLogger, fmt.Sprint("line ", number))
	}
	ring.Close()
	c.Check(strings.Count(out.String(), "\n"), qt.Equals, 100)
}

// countingWriter counts the writes, and those that end within a line or are larger than
// what a pipe takes as a whole.
type countingWriter struct {
	writes, broken int
	lines          int
}

func (countingWriter *countingWriter) Write(data []byte) (int, error) {
	countingWriter.writes++
	countingWriter.lines += bytes.Count(data, []byte("\n"))
	if len(data) > 4096 || data[len(data)-1] != '\n' {
		countingWriter.broken++
	}
	return len(data), nil
}

func TestLinesShareWritesThatAPipeTakesWhole(t *testing.T) {
	c := qt.New(t)
	out := &countingWriter{}
	ring := logger.NewRing(out)
	testLogger := logger.New(ring, "test")
	const count = 1000
	for number := range count {
		logger.Info(testLogger, fmt.Sprint("line ", number), "Padding", strings.Repeat("x", number%500))
	}
	ring.Close()
	c.Check(out.lines, qt.Equals, count)
	c.Check(out.broken, qt.Equals, 0)
	c.Check(out.writes < count/4, qt.IsTrue, qt.Commentf("%d writes", out.writes))
}
