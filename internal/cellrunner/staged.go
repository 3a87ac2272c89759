package cellrunner

import (
	"context"
	"sync/atomic"
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

// Staging is how a replica serves staged jobs while it leads.
type Staging struct {
	// Start, Stop and Hold call a worker; package conductor describes them.
	Start func(context.Context, conductor.Target, *conductor.StartOrder) conductor.Answer
	Stop  func(context.Context, conductor.Target, *conductor.StopOrder) conductor.Answer
	Hold  func(context.Context, conductor.Target, *conductor.HoldOrder) conductor.Holding
}

// staged is what a leadership keeps for staged jobs.
type staged struct {
	inquirer  *inquirer.Inquirer
	conductor atomic.Pointer[conductor.Conductor]
}

// Stage has the replica serve staged jobs. It is called before Run.
func (runner *Runner) Stage(staging Staging) { runner.staging = &staging }

const (
	// epochShift leaves room for the conductors of one term.
	epochShift = 16
	// stagePause is how long after a conductor's failure the next begins.
	stagePause = 50 * time.Millisecond
)

// stage is the leader's duty of serving staged jobs. A conductor whose batch was
// not committed is replaced by one that begins from the committed state.
func (held *leadership) stage() {
	if held.runner.staging == nil {
		return
	}
	for count := uint64(1); held.ctx.Err() == nil; count++ {
		err := held.conduct(held.term<<epochShift | count)
		held.staged.conductor.Store(nil)
		if err != nil && held.ctx.Err() == nil {
			logger.Warn(held.runner.logger, "conductor ended", "Term", held.term, "Count", count, "Error", err.Error())
		}
		select {
		case <-held.ctx.Done():
		case <-time.After(stagePause):
		}
	}
}

// conduct runs one conductor. Its epoch is committed before the state is copied,
// so that no batch of an earlier one can come after the copy.
func (held *leadership) conduct(epoch uint64) error {
	runner := held.runner
	begin := stager.Begin{KeepEnded: modeller.Millis(runner.settings.StagedKeepEnded.Milliseconds())}
	batch := &stager.Batch{Term: epoch, Now: runner.now(), Commands: []stager.Command{{Begin: &begin}}}
	wait, err := held.enqueue(held.ctx, batch)
	if err != nil {
		return err
	}
	if err := wait(held.ctx); err != nil {
		return err
	}
	var state *stager.State
	runner.machine.read(func(applied *applier.State) { state, err = applied.Staged.Clone() })
	if err != nil {
		return err
	}
	if state.Term != epoch {
		return eris.Errorf("epoch %d was followed by %d", epoch, state.Term)
	}
	made := conductor.New(conductor.Config{
		State:    state,
		Clock:    runner.clock,
		Now:      runner.now,
		Leads:    runner.node.Load().Leads,
		Propose:  held.enqueue,
		Start:    runner.staging.Start,
		Stop:     runner.staging.Stop,
		Hold:     runner.staging.Hold,
		Ask:      held.staged.inquirer.Ask,
		Answered: held.staged.inquirer.Answered,
		Lost:     held.staged.inquirer.Lost,
		Terms:    runner.settings.Staged,
		Logger:   runner.logger,
		Metrics:  runner.measures.set,
	})
	held.staged.conductor.Store(made)
	return made.Run(held.ctx)
}

// enqueue puts a batch into the log and returns a function that waits for it.
func (held *leadership) enqueue(ctx context.Context, batch *stager.Batch) (func(context.Context) error, error) {
	runner := held.runner
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
			return eris.Errorf("the machine returned %T", result)
		}
		if applied.Code != coder.OK {
			return eris.Errorf("batch refused: %s", applied.Detail)
		}
		return nil
	}, nil
}

// conducting returns the present conductor, or why there is none here.
func (runner *Runner) conducting(cell modeller.CellName) (*conductor.Conductor, *coder.Refusal) {
	held, refusal := runner.leading(cell)
	if refusal != nil {
		return nil, refusal
	}
	made := held.staged.conductor.Load()
	if made == nil {
		return nil, runner.notLeader()
	}
	return made, nil
}

// readStaged reads the committed state of staged jobs. What was read counts only
// if this replica still leads after that, so that one which was paused on the
// way tells nothing old.
func (runner *Runner) readStaged(cell modeller.CellName, read func(*stager.State) *coder.Refusal) *coder.Refusal {
	if _, refusal := runner.conducting(cell); refusal != nil {
		return refusal
	}
	var answer *coder.Refusal
	runner.machine.read(func(state *applier.State) {
		if state.Staged == nil || state.Staged.Deployment == nil {
			answer = coder.Refuse(coder.NotServing, "no deployment is in force yet")
			answer.RetryAfter = time.Second
			return
		}
		answer = read(state.Staged)
	})
	if _, refusal := runner.conducting(cell); refusal != nil {
		return refusal
	}
	return answer
}
