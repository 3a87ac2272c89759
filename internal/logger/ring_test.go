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

// stuck takes nothing until it is released.
type stuck struct {
	release chan struct{}
	mutex   sync.Mutex
	got     bytes.Buffer
}

func (stuck *stuck) Write(data []byte) (int, error) {
	<-stuck.release
	stuck.mutex.Lock()
	defer stuck.mutex.Unlock()
	return stuck.got.Write(data)
}

func TestAReaderThatNeverReadsHoldsUpNothing(t *testing.T) {
	c := qt.New(t)
	out := &stuck{release: make(chan struct{})}
	ring := logger.NewRing(out)
	lines := logger.New(ring, "test")
	begun := time.Now()
	const count = 20_000
	for at := range count {
		logger.Info(lines, fmt.Sprint("line ", at))
	}
	c.Check(time.Since(begun) < 2*time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(begun)))
	close(out.release)
	ring.Close()
	out.mutex.Lock()
	defer out.mutex.Unlock()
	c.Check(strings.Contains(out.got.String(), "log lines dropped"), qt.IsTrue)
	c.Check(strings.Contains(out.got.String(), "line 0\""), qt.IsTrue)
}

func TestTheEndWritesWhatWaits(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	ring := logger.NewRing(&out)
	lines := logger.New(ring, "test")
	for at := range 100 {
		logger.Info(lines, fmt.Sprint("line ", at))
	}
	ring.Close()
	c.Check(strings.Count(out.String(), "\n"), qt.Equals, 100)
}
