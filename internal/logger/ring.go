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
	// Lines that are logged within gatherDelay share one write of up to
	// maxGatheredBytes, which a pipe takes as a whole.
	gatherDelay      = 10 * time.Millisecond
	maxGatheredBytes = 4096
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
		// The lines of the next while are not awaited one by one, as each would wake
		// this goroutine.
		if line != nil {
			time.Sleep(gatherDelay)
		}
		if ring.writeGathered(line) {
			return
		}
	}
}

// writeGathered writes a line and those that are buffered. It reports whether Close has
// been called.
func (ring *Ring) writeGathered(text []byte) bool {
	for text != nil {
		select {
		case line := <-ring.lines:
			if line != nil && len(text)+len(line) <= maxGatheredBytes {
				text = append(text, line...)
				continue
			}
			ring.write(text)
			text = line
		default:
			ring.write(text)
			return false
		}
	}
	return true
}

func (ring *Ring) write(text []byte) {
	// An error of the log's own output cannot be reported anywhere.
	_, _ = ring.out.Write(text)
	if count := ring.dropped.Swap(0); count > 0 {
		_, _ = fmt.Fprintf(ring.out, "{\"Message\":\"log lines dropped\",\"Count\":%d,\"level\":\"warn\"}\n", count)
	}
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
