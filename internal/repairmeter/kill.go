package main

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/dotterelrill/dotterelrill/internal/launcher"
)

// measureKills kills the leader repeatedly, each time after the previously killed
// replica has caught up.
func (meter *meter) measureKills(ctx context.Context) error {
	leaderTimes, acceptTimes := newHistogram(), newHistogram()
	for range meter.kills {
		leader, err := meter.fleet.Leader(ctx)
		if err != nil {
			return err
		}
		if err := meter.measureKill(ctx, leader, func(leaderAfter, acceptedAfter time.Duration) {
			_ = leaderTimes.RecordValue(leaderAfter.Microseconds())
			_ = acceptTimes.RecordValue(acceptedAfter.Microseconds())
		}); err != nil {
			return err
		}
	}
	printTimes("kill to next leader", leaderTimes)
	printTimes("kill to next accepted request", acceptTimes)
	return nil
}

// measureKill kills the leader, records the times until another replica leads and
// until a request is accepted, and restarts the killed replica.
func (meter *meter) measureKill(ctx context.Context, leader *launcher.Process, record func(leaderAfter, acceptedAfter time.Duration)) error {
	var acceptedAfter time.Duration
	var submitErr error
	var group sync.WaitGroup
	leader.Kill()
	killedAt := time.Now()
	group.Go(func() {
		submitErr = meter.submit(ctx, 0)
		acceptedAfter = time.Since(killedAt)
	})
	_, err := pollUntil(ctx, "the next leader's election", func() bool { return meter.otherLeads(ctx, leader) })
	leaderAfter := time.Since(killedAt)
	group.Wait()
	if err != nil || submitErr != nil {
		return firstError(err, submitErr)
	}
	record(leaderAfter, acceptedAfter)
	if err := leader.Start(); err != nil {
		return err
	}
	_, err = pollUntil(ctx, "the killed replica to catch up", func() bool { return meter.caughtUp(ctx, leader) })
	return err
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// otherLeads reports whether a replica other than the killed one is the leader.
func (meter *meter) otherLeads(ctx context.Context, killed *launcher.Process) bool {
	for _, cell := range meter.fleet.Cells {
		if cell != killed && launcher.Metric(ctx, meter.fleet.MetricsAddress(cell), "dotterel_cell_leads") == "1" {
			return true
		}
	}
	return false
}

func (meter *meter) appliedIndex(ctx context.Context, cell *launcher.Process) uint64 {
	index, _ := strconv.ParseUint(launcher.Metric(ctx, meter.fleet.MetricsAddress(cell), "dotterel_cell_applied_index"), 10, 64)
	return index
}

// caughtUp reports whether a replica has applied the highest index that any replica
// has applied.
func (meter *meter) caughtUp(ctx context.Context, replica *launcher.Process) bool {
	newest := uint64(0)
	for _, cell := range meter.fleet.Cells {
		newest = max(newest, meter.appliedIndex(ctx, cell))
	}
	return newest > 0 && meter.appliedIndex(ctx, replica) == newest
}
