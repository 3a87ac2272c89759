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
	for line := <-ring.lines; line != nil; {
		text, next := ring.gather(line)
		// An error of the log's own output cannot be reported anywhere.
		_, _ = ring.out.Write(text)
		if count := ring.dropped.Swap(0); count > 0 {
			_, _ = fmt.Fprintf(ring.out, "{\"Message\":\"log lines dropped\",\"Count\":%d,\"level\":\"warn\"}\n", count)
		}
		if next == nil {
			next = ring.lines
		}
		line = <-next
	}
}

// gather returns the first line and those that follow within gatherDelay as one text,
// and a channel that holds the line after them if that was received already, or nil.
func (ring *Ring) gather(text []byte) ([]byte, chan []byte) {
	timer := time.NewTimer(gatherDelay)
	defer timer.Stop()
	for {
		select {
		case line := <-ring.lines:
			if line == nil || len(text)+len(line) > maxGatheredBytes {
				next := make(chan []byte, 1)
				next <- line
				return text, next
			}
			text = append(text, line...)
		case <-timer.C:
			return text, nil
		}
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
