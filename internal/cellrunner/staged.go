package cellrunner

import (
	"context"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/conductor"
	"github.com/dotterelrill/dotterelrill/encoder"
	"github.com/dotterelrill/dotterelrill/inquirer"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// WorkerCalls holds the calls to workers that a replica needs to serve staged
// jobs.
type WorkerCalls struct {
	// Start and Stop order a worker to start or stop an attempt. Hold is a long
	// poll that the worker answers when an attempt ends or the wait is over. See
	// conductor.Config for their time limits.
	Start func(context.Context, conductor.Target, *conductor.StartOrder) conductor.Answer
	Stop  func(context.Context, conductor.Target, *conductor.StopOrder) conductor.Answer
	Hold  func(context.Context, conductor.Target, *conductor.HoldOrder) conductor.HoldAnswer
}

// stagedService is the part of a leadership that serves staged jobs.
type stagedService struct {
	inquirer  *inquirer.Inquirer
	conductor atomic.Pointer[conductor.Conductor]
}

// ServeStagedJobs makes the replica serve staged jobs. It must be called before
// Run.
func (runner *Runner) ServeStagedJobs(workerCalls WorkerCalls) { runner.workerCalls = &workerCalls }

const (
	// epochShift is the number of low bits of an epoch that count the conductors of
	// one term.
	epochShift = 16
	// conductorRestartDelay is the delay before a conductor that has ended is
	// replaced.
	conductorRestartDelay = 50 * time.Millisecond
)

// runConductors serves staged jobs while the replica leads. A conductor whose
// batch was not committed is replaced by one that begins from the committed
// state.
func (leadership *leadership) runConductors() {
	if leadership.runner.workerCalls == nil {
		return
	}
	for count := uint64(1); leadership.ctx.Err() == nil; count++ {
		err := leadership.runConductor(leadership.term<<epochShift | count)
		leadership.stagedService.conductor.Store(nil)
		if err != nil && leadership.ctx.Err() == nil {
			logger.Warn(leadership.runner.logger, "conductor ended", "Term", leadership.term, "Count", count, "Error", err.Error())
		}
		select {
		case <-leadership.ctx.Done():
		case <-time.After(conductorRestartDelay):
		}
	}
}

// runConductor runs one conductor. Its epoch is committed before the state is
// copied, so that no batch of an earlier conductor can be applied after the
// copy.
func (leadership *leadership) runConductor(epoch uint64) error {
	runner := leadership.runner
	begin := stager.Begin{KeepEnded: modeller.Millis(runner.settings.StagedKeepEnded.Milliseconds())}
	batch := &stager.Batch{Term: epoch, Now: runner.now(), Commands: []stager.Command{{Begin: &begin}}}
	wait, err := leadership.enqueueBatch(leadership.ctx, batch)
	if err != nil {
		return err
	}
	if err := wait(leadership.ctx); err != nil {
		return err
	}
	var state *stager.State
	runner.stateMachine.read(func(applied *applier.State) { state = applied.Staged.Clone() })
	if state.Term != epoch {
		return eris.Errorf("epoch %d was superseded by epoch %d", epoch, state.Term)
	}
	conductor := conductor.New(conductor.Config{
		State:         state,
		Clock:         runner.clock,
		Now:           runner.now,
		Leads:         runner.node.Load().Leads,
		Propose:       leadership.enqueueBatch,
		Start:         runner.workerCalls.Start,
		Stop:          runner.workerCalls.Stop,
		Hold:          runner.workerCalls.Hold,
		Ask:           leadership.stagedService.inquirer.Ask,
		Answered:      leadership.stagedService.inquirer.Answered,
		Lost:          leadership.stagedService.inquirer.Lost,
		Withdraw:      leadership.stagedService.inquirer.Withdraw,
		IdleAdvisers:  leadership.stagedService.inquirer.Idle,
		AdviserFree:   leadership.stagedService.inquirer.Free,
		ProcessorTime: processorTime,
		Settings:      runner.settings.Staged,
		Logger:        runner.logger,
		Metrics:       runner.counters.set,
	})
	leadership.stagedService.conductor.Store(conductor)
	return conductor.Run(leadership.ctx)
}

// processorTime returns the processor time that the process has used, in user and
// system mode.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// enqueueBatch enqueues a batch for the log and returns a function that waits
// until it is applied. That function returns an error if the batch was not
// applied or was refused.
func (leadership *leadership) enqueueBatch(ctx context.Context, batch *stager.Batch) (func(context.Context) error, error) {
	runner := leadership.runner
	command := &applier.Command{Cell: runner.cellName(), Time: batch.Now, Actor: "conductor", Staged: batch}
	data, err := encoder.Marshal(command)
	if err != nil {
		return nil, err
	}
	wait, err := runner.node.Load().Enqueue(ctx, data)
	if err != nil {
		return nil, err
	}
	return func(ctx context.Context) error {
		_, result, err := wait(ctx)
		if err != nil {
			return err
		}
		applied, ok := result.(applier.Result)
		if !ok {
			return eris.Errorf("the state machine returned %T, not an applier.Result", result)
		}
		if applied.Code != coder.OK {
			return eris.Errorf("batch refused: %s", applied.Detail)
		}
		return nil
	}, nil
}

// requireConductor returns the current conductor, or a refusal if this replica
// has none.
func (runner *Runner) requireConductor(cell modeller.CellName) (*conductor.Conductor, *coder.Refusal) {
	leadership, refusal := runner.requireLeadership(cell)
	if refusal != nil {
		return nil, refusal
	}
	conductor := leadership.stagedService.conductor.Load()
	if conductor == nil {
		return nil, runner.notLeader()
	}
	return conductor, nil
}

// readStaged calls read with the committed state of staged jobs, and returns its
// refusal or one of its own. The result is valid only if this replica still leads
// after the read: a replica that was paused meanwhile could return stale state.
func (runner *Runner) readStaged(cell modeller.CellName, read func(*stager.State) *coder.Refusal) *coder.Refusal {
	if _, refusal := runner.requireConductor(cell); refusal != nil {
		return refusal
	}
	var outcome *coder.Refusal
	runner.stateMachine.read(func(state *applier.State) {
		if state.Staged == nil || state.Staged.Deployment == nil {
			outcome = coder.Refuse(coder.NotServing, "no deployment is in force yet")
			outcome.RetryAfter = time.Second
			return
		}
		outcome = read(state.Staged)
	})
	if _, refusal := runner.requireConductor(cell); refusal != nil {
		return refusal
	}
	return outcome
}
