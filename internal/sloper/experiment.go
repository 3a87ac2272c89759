package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/internal/launcher"
)

// Settings of the measured programs. Without snapshots the journal grows evenly. A
// limit of heartbeats a second that is never reached leaves the workers at their
// default heartbeat interval, and one of 540 makes replicas assign longer ones. The
// admission limits let one client account submit the whole load.
const (
	noSnapshotLog        = "[Log]\nSnapshotEvery = 10000000\n"
	defaultIntervalLease = "[Lease]\nBeatsPerSecond = 100000\n"
	longIntervalLease    = "[Lease]\nTerm = 30s\nFresh = 10s\nBeatsPerSecond = 540\n"
	entrySettings        = "[Admission]\nRate = 100000\nBurst = 100000\nMostInFlight = 100000\n"
)

// tasksPerJob is the number of tasks in each job of the Starts experiment.
const tasksPerJob = 10

// loadWarmup is how long a load runs before the measurement begins.
const loadWarmup = 2 * time.Second

// experiment varies one quantity, its size, and keeps the others constant.
type experiment struct {
	name  string
	unit  string
	sizes []float64
	// workers and slots are the number of workers at the start and the slots of
	// each.
	workers int
	slots   int
	// lease is the Lease section of the replicas' settings.
	lease string
	// grow increases the quantity from one size to the next; it may be nil.
	grow func(ctx context.Context, client *client, from, to float64) error
	// load sends requests to the fleet until the context ends, and returns their
	// latencies; it may be nil.
	load func(ctx context.Context, client *client, size float64) *latencies
}

func experiments() []experiment {
	return []experiment{
		{name: "Workers", unit: "idle worker with a heartbeat each second", sizes: []float64{100, 300, 600, 1200}, lease: defaultIntervalLease, grow: growWorkers},
		{name: "Interval", unit: "idle worker, with at most 540 heartbeats a second in all", sizes: []float64{600, 1200, 1800, 2700}, lease: longIntervalLease, grow: growWorkers},
		{name: "Running", unit: "running task on 200 workers with a heartbeat each second", sizes: []float64{200, 600, 1000, 1400}, workers: 200, slots: 8, lease: defaultIntervalLease, grow: growRunning},
		{name: "Starts", unit: "task started a second, in jobs of 10", sizes: []float64{20, 60, 120, 200}, workers: 40, slots: 64, lease: defaultIntervalLease, load: loadStarts},
		{name: "Changes", unit: "configuration change a second, with 20 templates", sizes: []float64{2, 4, 8, 16}, workers: 1, slots: 8, grow: growTemplatesTo(20), load: loadChanges},
		{name: "Templates", unit: "template, at 4 changes a second", sizes: []float64{20, 60, 120, 190}, workers: 1, slots: 8, grow: growTemplates, load: loadChangesAtFixedRate},
	}
}

// run runs the experiment on a fleet of its own and returns the fitted lines.
func (experiment *experiment) run(ctx context.Context, options *options) (lines, error) {
	folder, err := os.MkdirTemp("", "dotterel-slopes-")
	if err != nil {
		return nil, eris.Wrap(err, "create a folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	config := launcher.Config{Folder: folder, Programs: options.programs, Cells: 3, Entries: entryCount, CellSettings: noSnapshotLog + experiment.lease, EntrySettings: entrySettings}
	if experiment.workers > 0 {
		config.Workers = []launcher.Worker{standInWorkers("base", experiment.workers, experiment.slots)}
	}
	fleet, err := launcher.Start(config)
	if err != nil {
		return nil, err
	}
	defer fleet.Kill()
	if err := fleet.AwaitReady(ctx); err != nil {
		return nil, err
	}
	client := newClient(fleet)
	if _, err := client.apply(ctx, 0); err != nil {
		return nil, err
	}
	measured, err := experiment.sweep(ctx, client, options)
	if err != nil {
		return nil, err
	}
	return fitAll(experiment, experiment.sizes, measured)
}

func standInWorkers(name string, count, slots int) launcher.Worker {
	return launcher.Worker{Name: name, DataCentre: "dc1", Rack: "r1", Settings: fmt.Sprintf("Count = %d\nSlots = %d", count, slots)}
}

// sweep measures the usage at each size.
func (experiment *experiment) sweep(ctx context.Context, client *client, options *options) ([]map[string]usage, error) {
	var measured []map[string]usage
	from := 0.0
	for _, size := range experiment.sizes {
		if experiment.grow != nil {
			if err := experiment.grow(ctx, client, from, size); err != nil {
				return nil, err
			}
		}
		from = size
		if err := sleep(ctx, options.settle); err != nil {
			return nil, err
		}
		used, err := experiment.measureWithRetries(ctx, client, size, options)
		if err != nil {
			return nil, err
		}
		measured = append(measured, used)
	}
	return measured, nil
}

// maxWindowAttempts bounds the measurements at one size.
const maxWindowAttempts = 3

// measureWithRetries repeats the measurement at a size if the leader changed during
// the window, and prints that it does.
func (experiment *experiment) measureWithRetries(ctx context.Context, client *client, size float64, options *options) (map[string]usage, error) {
	for attempt := 1; ; attempt++ {
		used, err := experiment.measureUnderLoad(ctx, client, size, options.window)
		if !errors.Is(err, errLeaderChanged) || attempt == maxWindowAttempts {
			return used, err
		}
		fmt.Printf("%s at %g: the leader changed during the window; measuring it again\n", experiment.name, size)
		if err := sleep(ctx, options.settle); err != nil {
			return nil, err
		}
	}
}

func (experiment *experiment) measureUnderLoad(ctx context.Context, client *client, size float64, window time.Duration) (map[string]usage, error) {
	if experiment.load == nil {
		return measure(ctx, client.fleet, window)
	}
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan *latencies, 1)
	go func() { done <- experiment.load(loadCtx, client, size) }()
	if err := sleep(ctx, loadWarmup); err != nil {
		return nil, err
	}
	used, err := measure(ctx, client.fleet, window)
	stop()
	latencies := <-done
	if err != nil {
		return nil, err
	}
	return used, latencies.print(experiment.name, size)
}

func growWorkers(_ context.Context, client *client, from, to float64) error {
	_, err := client.fleet.StartWorker(standInWorkers(fmt.Sprintf("size%.0f", to), int(to-from), 8))
	return err
}

func growRunning(ctx context.Context, client *client, from, to float64) error {
	if from == 0 {
		// Workers send their first heartbeat within their heartbeat interval.
		if err := sleep(ctx, 2*time.Second); err != nil {
			return err
		}
	}
	return client.submit(ctx, "service", uint32(to-from))
}

func growTemplates(ctx context.Context, client *client, from, to float64) error {
	for number := max(1, int(from)); number < int(to); number++ {
		if _, err := client.apply(ctx, number); err != nil {
			return err
		}
	}
	return nil
}

func growTemplatesTo(templates float64) func(context.Context, *client, float64, float64) error {
	return func(ctx context.Context, client *client, from, _ float64) error {
		if from > 0 {
			return nil
		}
		return growTemplates(ctx, client, 0, templates)
	}
}

// callAtRate calls a function rate times a second until the context ends, and waits
// for all calls. The calls run concurrently.
func callAtRate(ctx context.Context, rate float64, call func(number int)) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			group.Go(func() { call(number) })
		}
	}
}

func loadStarts(ctx context.Context, client *client, rate float64) *latencies {
	latencies := &latencies{}
	callAtRate(ctx, rate/tasksPerJob, func(int) {
		sentAt := time.Now()
		// A submission in flight when the load ends is completed.
		err := client.submit(context.WithoutCancel(ctx), "batch", tasksPerJob)
		latencies.record(time.Since(sentAt), err)
	})
	return latencies
}

func loadChangesAtFixedRate(ctx context.Context, client *client, _ float64) *latencies {
	return loadChanges(ctx, client, 4)
}
