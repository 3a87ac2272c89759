package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/internal/launcher"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// delays collects the latencies of a load's requests. record is safe for concurrent
// use; the other methods are for use after the load has ended.
type delays struct {
	mutex     sync.Mutex
	spans     []time.Duration
	err       error
	sentTimes map[modeller.Revision]time.Time
}

func (delays *delays) record(duration time.Duration, err error) {
	delays.mutex.Lock()
	defer delays.mutex.Unlock()
	if err != nil {
		delays.err = err
		return
	}
	delays.spans = append(delays.spans, duration)
}

// print prints the distribution of the delays at a size, or returns the load's
// error.
func (delays *delays) print(name string, size float64) error {
	if delays.err != nil {
		return eris.Wrapf(delays.err, "load of %s at %g", name, size)
	}
	histogram := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for _, duration := range delays.spans {
		_ = histogram.RecordValue(duration.Microseconds())
	}
	fmt.Printf("%s at %g: %d calls, median %.1f ms, p99 %.1f ms, max %.1f ms\n", name, size, len(delays.spans),
		float64(histogram.ValueAtQuantile(50))/1000, float64(histogram.ValueAtQuantile(99))/1000, float64(histogram.Max())/1000)
	return nil
}

// loadChanges changes the templates in turn. Its delays last from the sending of a
// change until the change is in force on all entries.
func loadChanges(ctx context.Context, client *client, rate float64) *delays {
	delays := &delays{sentTimes: make(map[modeller.Revision]time.Time)}
	count := len(client.revisions)
	var changeMutex sync.Mutex
	callAtRate(ctx, rate, func(number int) {
		changeMutex.Lock()
		defer changeMutex.Unlock()
		sentAt := time.Now()
		revision, err := client.apply(context.WithoutCancel(ctx), number%count)
		if err != nil {
			delays.record(0, err)
			return
		}
		delays.mutex.Lock()
		delays.sentTimes[revision] = sentAt
		delays.mutex.Unlock()
	})
	// Allow the last change to reach the entries.
	time.Sleep(time.Second)
	delays.measureInForce(client.fleet)
	return delays
}

// measureInForce computes the delays from the sending times and from the entries'
// logs, which say when a revision came into force.
func (delays *delays) measureInForce(fleet *launcher.Fleet) {
	for revision, sentAt := range delays.sentTimes {
		var last time.Time
		for _, entry := range fleet.Entries {
			inForceAt, found := inForceTime(entry.LogFile(), revision)
			if !found {
				delays.err = eris.Errorf("revision %d is not in force on %s", revision, entry.Name)
				return
			}
			if inForceAt.After(last) {
				last = inForceAt
			}
		}
		delays.spans = append(delays.spans, last.Sub(sentAt))
	}
}

// inForceTime returns the time at which a revision, or a later one, came into force
// according to an entry's log.
func inForceTime(path string, revision modeller.Revision) (time.Time, bool) {
	file, err := os.Open(path)
	if err != nil {
		return time.Time{}, false
	}
	defer func() { _ = file.Close() }()
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		var line struct {
			Time     time.Time
			Message  string
			Revision modeller.Revision
		}
		if json.Unmarshal(scanner.Bytes(), &line) == nil && line.Message == "configuration in force" && line.Revision >= revision {
			return line.Time, true
		}
	}
	return time.Time{}, false
}
