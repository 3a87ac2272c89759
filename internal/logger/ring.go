package logger

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// ringCapacity is the number of lines buffered for a slow reader.
	ringCapacity = 8192
	// flushTimeout bounds how long Close waits for the reader.
	flushTimeout = time.Second
	// Lines that are logged within gatherDelay share one write, up to
	// maxGatheredBytes.
	gatherDelay      = 10 * time.Millisecond
	maxGatheredBytes = 64 << 10
)

// Ring is a writer that passes lines on to another writer without blocking on
// it. Lines that exceed its buffer of 8192 lines are dropped and counted; the
// count is logged after the next line that is written.
type Ring struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	ended   chan struct{}
}

// NewRing returns a ring that writes to out until Close.
func NewRing(out io.Writer) *Ring {
	ring := &Ring{out: out, lines: make(chan []byte, ringCapacity), ended: make(chan struct{})}
	go ring.run()
	return ring
}

// Write buffers or drops one line. It never fails and never blocks.
func (ring *Ring) Write(line []byte) (int, error) {
	select {
	case ring.lines <- append([]byte(nil), line...):
	default:
		ring.dropped.Add(1)
	}
	return len(line), nil
}

func (ring *Ring) run() {
	defer close(ring.ended)
	for line := range ring.lines {
		if line == nil {
			return
		}
		text, closed := ring.gather(line)
		// An error of the log's own output cannot be reported anywhere.
		_, _ = ring.out.Write(text)
		if closed {
			return
		}
		if count := ring.dropped.Swap(0); count > 0 {
			_, _ = fmt.Fprintf(ring.out, "{\"Message\":\"log lines dropped\",\"Count\":%d,\"level\":\"warn\"}\n", count)
		}
	}
}

// gather waits a moment for more lines and returns them with the first one, as one
// text for one write. It reports whether the ring was closed meanwhile.
func (ring *Ring) gather(first []byte) ([]byte, bool) {
	timer := time.NewTimer(gatherDelay)
	defer timer.Stop()
	text := first
	for len(text) < maxGatheredBytes {
		select {
		case line := <-ring.lines:
			if line == nil {
				return text, true
			}
			text = append(text, line...)
		case <-timer.C:
			return text, false
		}
	}
	return text, false
}

// Close writes the buffered lines, as far as the reader accepts them within a
// second. No line may be written after it.
func (ring *Ring) Close() {
	timeout := time.After(flushTimeout)
	select {
	case ring.lines <- nil:
	case <-timeout:
		return
	}
	select {
	case <-ring.ended:
	case <-timeout:
	}
}
