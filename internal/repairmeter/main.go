// Command repairmeter measures recovery times of a cell, with the real programs on
// loopback: the time without a leader and without an accepted request after each of
// many kills of the leader, the time in which a replica catches up on a number of
// log entries, and the size of a snapshot with the times to encode and save it.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/internal/launcher"
)

func main() {
	programs := flag.String("programs", "bin", "folder of the built programs")
	kills := flag.Int("kills", 50, "kills of the leader")
	entries := flag.Uint64("entries", 10_000, "log entries to catch up on")
	flag.Parse()
	if err := run(&meter{programs: *programs, kills: *kills, entries: *entries}); err != nil {
		fmt.Fprintln(os.Stderr, "measurement failed:", err)
		os.Exit(1)
	}
}

// measurementTimeout bounds the whole measurement.
const measurementTimeout = 8 * time.Minute

type meter struct {
	programs string
	kills    int
	entries  uint64

	folder string
	fleet  *launcher.Fleet
}

func run(meter *meter) error {
	ctx, cancel := context.WithTimeout(context.Background(), measurementTimeout)
	defer cancel()
	if err := meter.measureOnFleet(ctx, "", meter.measureKills); err != nil {
		return err
	}
	if err := meter.measureOnFleet(ctx, "[Log]\nTailEntries = 1000000\n", func(ctx context.Context) error {
		return meter.measureCatchUp(ctx, "entries")
	}); err != nil {
		return err
	}
	return meter.measureOnFleet(ctx, "[Log]\nTailEntries = 0\nSnapshotEvery = 1000\n", func(ctx context.Context) error {
		return meter.measureCatchUp(ctx, "the snapshot and the entries after it")
	})
}

// measureOnFleet starts a fleet with the replicas' settings for one measurement and
// runs the measurement on it.
func (meter *meter) measureOnFleet(ctx context.Context, settings string, measurement func(context.Context) error) error {
	folder, err := os.MkdirTemp("", "dotterel-repair-")
	if err != nil {
		return eris.Wrap(err, "create a folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	workers := []launcher.Worker{}
	for at := range 4 {
		workers = append(workers, launcher.Worker{Name: fmt.Sprintf("worker-%d", at), DataCentre: fmt.Sprintf("dc%d", at%2+1), Rack: "r1", Settings: "Slots = 64"})
	}
	meter.folder = folder
	meter.fleet, err = launcher.Start(launcher.Config{Folder: folder, Programs: meter.programs, Cells: 3, Entries: 2, Workers: workers, CellSettings: settings})
	if err != nil {
		return err
	}
	defer meter.fleet.Kill()
	if err := meter.prepare(ctx); err != nil {
		return err
	}
	return measurement(ctx)
}

// pollInterval is the resolution of the measured times.
const pollInterval = 2 * time.Millisecond

// pollUntil polls until done returns true, and returns the time that took.
func pollUntil(ctx context.Context, what string, done func() bool) (time.Duration, error) {
	startedAt := time.Now()
	for !done() {
		select {
		case <-ctx.Done():
			return 0, eris.Wrapf(ctx.Err(), "wait for %s", what)
		case <-time.After(pollInterval):
		}
	}
	return time.Since(startedAt), nil
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

func printTimes(name string, histogram *hdrhistogram.Histogram) {
	fmt.Printf("%-32s n %3d  median %7.1f ms  p99 %7.1f ms  max %7.1f ms\n", name, histogram.TotalCount(),
		float64(histogram.ValueAtQuantile(50))/1000, float64(histogram.ValueAtQuantile(99))/1000, float64(histogram.Max())/1000)
}
