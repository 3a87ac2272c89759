package logger

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// ringSlots bounds the lines that wait for a slow reader.
	ringSlots = 8192
	// flushMost is how long the end of a program waits for its reader.
	flushMost = time.Second
)

// Ring passes lines on to a writer without ever waiting for it. Lines that find
// no room are dropped and counted, and the count is written once there is room.
type Ring struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	ended   chan struct{}
}

// NewRing returns a ring that writes to out until Close.
func NewRing(out io.Writer) *Ring {
	ring := &Ring{out: out, lines: make(chan []byte, ringSlots), ended: make(chan struct{})}
	go ring.run()
	return ring
}

// Write takes one line. It never fails and never waits.
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
		// There is nobody to tell of a reader that is gone.
		_, _ = ring.out.Write(line)
		if count := ring.dropped.Swap(0); count > 0 {
			_, _ = fmt.Fprintf(ring.out, "{\"Message\":\"log lines dropped\",\"Count\":%d,\"level\":\"warn\"}\n", count)
		}
	}
}

// Close writes what waits, as far as the reader takes it within a second. No
// line may be written after it.
func (ring *Ring) Close() {
	timeout := time.After(flushMost)
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
