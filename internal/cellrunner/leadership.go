package cellrunner

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/dispatcher"
	"github.com/dotterelrill/dotterelrill/encoder"
	"github.com/dotterelrill/dotterelrill/inquirer"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/leaser"
	"github.com/dotterelrill/dotterelrill/replicator"
)

// leadership is what a replica keeps for the time that it leads one term. Its
// duties, a goroutine each, end with its context: planning, the watch over the
// leases, and the passing on of orders.
type leadership struct {
	runner     *Runner
	ctx        context.Context
	cancel     context.CancelFunc
	term       uint64
	leaser     *leaser.Leaser
	dispatcher *dispatcher.Dispatcher
	// refused takes back the proposals that came to nothing.
	refused chan *applier.Command
	// slots bounds the proposals of the leader's own that are under way.
	slots    chan struct{}
	handover handover
	staged   staged
}

const (
	watchInterval = 50 * time.Millisecond
	proposeMost   = 5 * time.Second
)

// watchLeadership begins and ends leaderships as the node's status says.
func (runner *Runner) watchLeadership(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	var held *leadership
	defer func() { runner.endLeadership(held) }()
	for {
		status := runner.node.Load().Status()
		if held != nil && (held.term != status.Term || !status.Settled) {
			runner.endLeadership(held)
			held = nil
		}
		if held == nil && status.Settled && runner.node.Load().Applied() >= status.Commit {
			held = runner.beginLeadership(ctx, status)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-runner.statusChanged:
		case <-ticker.C:
		}
	}
}

func (runner *Runner) beginLeadership(ctx context.Context, status *replicator.Status) *leadership {
	runner.beginStamps()
	ctx, cancel := context.WithCancel(ctx)
	held := &leadership{
		runner: runner,
		ctx:    ctx,
		cancel: cancel,
		term:   status.Term,
		leaser: leaser.New(leaser.Config{
			Term:           runner.settings.LeaseTerm,
			DriftDivisor:   driftDivisor,
			Fresh:          runner.settings.LeaseFresh,
			GreatestDelay:  runner.settings.LeaseGreatestDelay,
			BeatsPerSecond: int(runner.settings.BeatsPerSecond),
			Clock:          runner.clock,
		}),
		dispatcher: dispatcher.New(),
		refused:    make(chan *applier.Command, 2*proposalsAtOnce),
		slots:      make(chan struct{}, proposalsAtOnce),
	}
	go held.plan()
	go held.judgeWorkers()
	go held.watchLeases()
	go held.passOrders()
	held.staged.inquirer = inquirer.New(inquirer.Config{Clock: runner.clock})
	go held.stage()
	runner.leadership.Store(held)
	logger.Info(runner.logger, "leadership begun", "Term", status.Term)
	return held
}

func (runner *Runner) endLeadership(held *leadership) {
	if held == nil {
		return
	}
	runner.leadership.CompareAndSwap(held, nil)
	held.cancel()
	logger.Info(runner.logger, "leadership ended", "Term", held.term)
}

// propose puts a command of the leader's own into the log.
func (held *leadership) propose(ctx context.Context, actor string, command *applier.Command) (applier.Result, error) {
	command.Actor = actor
	return held.runner.propose(ctx, command)
}

// propose stamps a command, puts it into the log and waits for its result.
func (runner *Runner) propose(ctx context.Context, command *applier.Command) (applier.Result, error) {
	command.Cell = runner.cellName()
	command.Time = runner.now()
	data, err := encoder.Marshal(command)
	if err != nil {
		return applier.Result{}, err
	}
	_, result, err := runner.node.Load().Propose(ctx, data)
	if err != nil {
		return applier.Result{}, err
	}
	applied, ok := result.(applier.Result)
	if !ok {
		return applier.Result{}, eris.Errorf("the machine returned %T", result)
	}
	runner.measures.decided(command, applied.Code)
	return applied, nil
}

// refusalOf turns a failed proposal into what the asker is told.
func (runner *Runner) refusalOf(err error) *coder.Refusal {
	if errors.Is(err, replicator.ErrNotLeader) || errors.Is(err, replicator.ErrReplaced) {
		return runner.notLeader()
	}
	return coder.Refuse(coder.Unknown, "the proposal was not decided in time")
}
