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

// latencies collects the latencies of a load's requests. record is safe for
// concurrent use; the other methods are for use after the load has ended.
type latencies struct {
	mutex     sync.Mutex
	durations []time.Duration
	err       error
	sentTimes map[modeller.Revision]time.Time
}

func (latencies *latencies) record(duration time.Duration, err error) {
	latencies.mutex.Lock()
	defer latencies.mutex.Unlock()
	if err != nil {
		latencies.err = err
		return
	}
	latencies.durations = append(latencies.durations, duration)
}

// print prints the distribution of the latencies at a size, or returns the load's
// error.
func (latencies *latencies) print(name string, size float64) error {
	if latencies.err != nil {
		return eris.Wrapf(latencies.err, "load of %s at %g", name, size)
	}
	histogram := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for _, duration := range latencies.durations {
		_ = histogram.RecordValue(duration.Microseconds())
	}
	fmt.Printf("%s at %g: %d calls, median %.1f ms, p99 %.1f ms, max %.1f ms\n", name, size, len(latencies.durations),
		float64(histogram.ValueAtQuantile(50))/1000, float64(histogram.ValueAtQuantile(99))/1000, float64(histogram.Max())/1000)
	return nil
}

// loadChanges changes the templates in turn. Its latencies last from the sending of
// a change until the change is in force on all entries.
func loadChanges(ctx context.Context, client *client, rate float64) *latencies {
	latencies := &latencies{sentTimes: make(map[modeller.Revision]time.Time)}
	count := len(client.revisions)
	var changeMutex sync.Mutex
	callAtRate(ctx, rate, func(number int) {
		changeMutex.Lock()
		defer changeMutex.Unlock()
		sentAt := time.Now()
		revision, err := client.apply(context.WithoutCancel(ctx), number%count)
		if err != nil {
			latencies.record(0, err)
			return
		}
		latencies.mutex.Lock()
		latencies.sentTimes[revision] = sentAt
		latencies.mutex.Unlock()
	})
	// Allow the last change to reach the entries.
	time.Sleep(time.Second)
	latencies.measureInForce(client.fleet)
	return latencies
}

// measureInForce computes the latencies from the sending times and from the entries'
// logs, which record when a revision came into force.
func (latencies *latencies) measureInForce(fleet *launcher.Fleet) {
	for revision, sentAt := range latencies.sentTimes {
		var last time.Time
		for _, entry := range fleet.Entries {
			inForceAt, found := inForceTime(entry.LogFile(), revision)
			if !found {
				latencies.err = eris.Errorf("revision %d is not in force on %s", revision, entry.Name)
				return
			}
			if inForceAt.After(last) {
				last = inForceAt
			}
		}
		latencies.durations = append(latencies.durations, last.Sub(sentAt))
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
