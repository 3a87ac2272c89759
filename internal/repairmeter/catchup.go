package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/internal/launcher"
	"github.com/dotterelrill/dotterelrill/journaler"
)

const callerCount = 64

// measureCatchUp keeps a follower down for a number of log entries and measures how
// long it takes to catch up, from the start of its process until it has applied
// them all. The source, for the printed line, is what it catches up from.
func (meter *meter) measureCatchUp(ctx context.Context, source string) error {
	leader, err := meter.fleet.Leader(ctx)
	if err != nil {
		return err
	}
	follower := meter.fleet.Cells[slices.IndexFunc(meter.fleet.Cells, func(cell *launcher.Process) bool { return cell != leader })]
	follower.Kill()
	firstIndex := meter.appliedIndex(ctx, leader)
	if err := meter.submitUntil(ctx, func() bool { return meter.appliedIndex(ctx, leader) >= firstIndex+meter.entries }); err != nil {
		return err
	}
	lastIndex := meter.appliedIndex(ctx, leader)
	if err := follower.Start(); err != nil {
		return err
	}
	duration, err := pollUntil(ctx, "the follower to catch up", func() bool { return meter.appliedIndex(ctx, follower) >= lastIndex })
	if err != nil {
		return err
	}
	fmt.Printf("caught up by %s: %d entries in %.0f ms, %.0f ms per 10,000\n", source, lastIndex-firstIndex, duration.Seconds()*1000, duration.Seconds()*1000*10_000/float64(lastIndex-firstIndex))
	return meter.measureSnapshot(leader.Folder)
}

// submitUntil submits jobs from many concurrent callers until the condition holds.
func (meter *meter) submitUntil(ctx context.Context, done func() bool) error {
	var stop atomic.Bool
	var group sync.WaitGroup
	for caller := range callerCount {
		group.Go(func() {
			for !stop.Load() && ctx.Err() == nil {
				_ = meter.submit(ctx, caller)
			}
		})
	}
	_, err := pollUntil(ctx, "the number of log entries", done)
	stop.Store(true)
	group.Wait()
	return err
}

// measureSnapshot restores the newest snapshot of a folder, and measures encoding
// it again and saving it in a temporary folder. It prints nothing if there is no
// snapshot.
func (meter *meter) measureSnapshot(folder string) error {
	paths, err := filepath.Glob(filepath.Join(folder, "*.snapshot"))
	if err != nil || len(paths) == 0 {
		return err
	}
	snapshot, err := journaler.ReadSnapshot(paths[len(paths)-1])
	if err != nil {
		return err
	}
	state, err := applier.Restore(snapshot.Data)
	if err != nil {
		return err
	}
	startedAt := time.Now()
	snapshot.Data, err = state.Snapshot()
	if err != nil {
		return err
	}
	encodeDuration := time.Since(startedAt)
	copyFolder, err := os.MkdirTemp(meter.folder, "snapshot-")
	if err != nil {
		return eris.Wrap(err, "create a folder")
	}
	journal, _, err := journaler.Open(journaler.Config{Folder: copyFolder, Cell: "demo", Replica: "meter", SegmentBytes: 1 << 20})
	if err != nil {
		return err
	}
	defer func() { _ = journal.Close() }()
	startedAt = time.Now()
	if err := journal.SaveSnapshot(snapshot); err != nil {
		return err
	}
	fmt.Printf("snapshot at index %d: %d jobs, %d bytes, taken in %.1f ms, saved in %.1f ms\n", snapshot.Index, len(state.Jobs), len(snapshot.Data),
		encodeDuration.Seconds()*1000, time.Since(startedAt).Seconds()*1000)
	return nil
}
