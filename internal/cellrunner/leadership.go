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

// leadership is the state of a replica while it leads one term. Its control
// loops run in a goroutine each and end with its context: placement,
// quarantine, the expiry of leases, the delivery of orders, and staged jobs.
type leadership struct {
	runner     *Runner
	ctx        context.Context
	cancel     context.CancelFunc
	term       uint64
	leaser     *leaser.Leaser
	dispatcher *dispatcher.Dispatcher
	// failedProposals returns failed proposals to the planner, which undoes them.
	failedProposals chan *applier.Command
	// proposalSlots limits the planner's proposals in flight.
	proposalSlots   chan struct{}
	drainedServices drainedServices
	stagedService   stagedService
}

const (
	leadershipPollInterval = 50 * time.Millisecond
	proposeTimeout         = 5 * time.Second
)

// watchLeadership begins a leadership when the node leads a term and has
// applied all committed entries, and ends it when the node no longer leads that
// term.
func (runner *Runner) watchLeadership(ctx context.Context) error {
	ticker := time.NewTicker(leadershipPollInterval)
	defer ticker.Stop()
	var leadership *leadership
	defer func() { runner.endLeadership(leadership) }()
	for {
		status := runner.node.Load().Status()
		if leadership != nil && (leadership.term != status.Term || !status.Settled) {
			runner.endLeadership(leadership)
			leadership = nil
		}
		if leadership == nil && status.Settled && runner.node.Load().Applied() >= status.Commit {
			leadership = runner.beginLeadership(ctx, status)
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
	runner.startCommandClock()
	ctx, cancel := context.WithCancel(ctx)
	leadership := &leadership{
		runner: runner,
		ctx:    ctx,
		cancel: cancel,
		term:   status.Term,
		leaser: leaser.New(leaser.Config{
			Term:                runner.settings.LeaseTerm,
			DriftDivisor:        driftDivisor,
			Fresh:               runner.settings.LeaseFresh,
			MaxDelay:            runner.settings.LeaseGreatestDelay,
			HeartbeatsPerSecond: int(runner.settings.BeatsPerSecond),
			Clock:               runner.clock,
		}),
		dispatcher:      dispatcher.New(),
		failedProposals: make(chan *applier.Command, 2*maxProposalsInFlight),
		proposalSlots:   make(chan struct{}, maxProposalsInFlight),
	}
	go leadership.runPlanner()
	go leadership.runQuarantine()
	go leadership.expireLeases()
	go leadership.pushOrders()
	leadership.stagedService.inquirer = inquirer.New(inquirer.Config{Clock: runner.clock})
	go leadership.runConductors()
	runner.leadership.Store(leadership)
	logger.Info(runner.logger, "leadership begun", "Term", status.Term)
	return leadership
}

func (runner *Runner) endLeadership(leadership *leadership) {
	if leadership == nil {
		return
	}
	runner.leadership.CompareAndSwap(leadership, nil)
	leadership.cancel()
	logger.Info(runner.logger, "leadership ended", "Term", leadership.term)
}

// propose proposes a command of one of the leader's control loops, named by
// actor.
func (leadership *leadership) propose(ctx context.Context, actor string, command *applier.Command) (applier.Result, error) {
	command.Actor = actor
	return leadership.runner.propose(ctx, command)
}

// propose sets the time of a command, proposes it to the log and waits for the
// result of applying it.
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
		return applier.Result{}, eris.Errorf("the state machine returned %T, not an applier.Result", result)
	}
	runner.counters.countProposal(command, applied.Code)
	return applied, nil
}

// refusalOf returns the refusal for a request whose proposal failed with err.
func (runner *Runner) refusalOf(err error) *coder.Refusal {
	if errors.Is(err, replicator.ErrNotLeader) || errors.Is(err, replicator.ErrReplaced) {
		return runner.notLeader()
	}
	return coder.Refuse(coder.Unknown, "the proposal was not committed and applied in time")
}
