// Package conductor owns the leader's side of staged jobs: it accepts jobs,
// cancellations, deployments and worker announcements, places tasks, starts and
// stops attempts on workers, tracks their progress, and records every change in
// the replicated log.
//
// One goroutine owns all of a Conductor's state. It works on a copy of the
// committed state that is ahead of the log by the batches in flight: each
// command is applied to the copy first, collected into a batch, and proposed.
// An effect that others can see, such as an ack to a caller or a start sent to
// a worker, happens only after its batch is committed. If a batch is not
// committed, the copy is invalid: Run returns ErrNotCommitted, and the owner
// creates a new Conductor from the committed state.
//
// Calls to workers and advisers run in their own goroutines and post their
// results as functions that the owning goroutine runs. The package leaves the
// transport to the functions of Config, the choice of workers to package
// allotter, and the rules of the state to package stager.
package conductor

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/allotter"
	"github.com/dotterelrill/dotterelrill/estimator"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
	"github.com/dotterelrill/dotterelrill/waiter"
)

// ErrNotCommitted is returned by Run if a batch was not committed, or if that
// is unknown.
var ErrNotCommitted = eris.New("the leader's batch was not committed")

// Config is the configuration of a Conductor.
type Config struct {
	// State is the committed state after this leader's term was recorded in the
	// log. The Conductor takes ownership of it. Its term is the fencing token of
	// every order: a worker rejects an order with a lower one than it has seen.
	State *stager.State
	// Clock is a monotonic clock that also advances while the process or its VM is
	// suspended.
	Clock func() time.Duration
	// Now returns the wall-clock time.
	Now func() modeller.Millis
	// Leads reports whether it is certain that no other replica can lead now.
	Leads func() bool
	// Propose enqueues a batch and returns a function that waits until the batch
	// is committed.
	Propose func(context.Context, *stager.Batch) (func(context.Context) error, error)
	// Start, Stop and Hold call a worker. They return within about a second; Hold
	// may take its order's Wait in addition.
	Start func(context.Context, Target, *StartOrder) Answer
	Stop  func(context.Context, Target, *StopOrder) Answer
	Hold  func(context.Context, Target, *HoldOrder) HoldAnswer
	// Ask passes an inquiry to an adviser. It returns false if no process that can
	// reach an adviser is connected; otherwise the answer comes through Advise.
	Ask func(stager.Inquiry) bool
	// Answered is called for each answer that arrives, and Lost returns the
	// inquiries that will get no answer. Withdraw drops the inquiries about a step
	// that were not sent yet.
	Answered func(stager.InquiryID)
	Lost     func() []stager.InquiryID
	Withdraw func(stager.StepID)
	// IdleAdvisers returns how many processes could pass an inquiry to an adviser at
	// once.
	IdleAdvisers func() int
	// AdviserFree reports whether an inquiry that takes the given time would be sent to an
	// adviser at once. If it is nil, inquiries wait their turn.
	AdviserFree func(time.Duration) bool
	// ProcessorTime returns the processor time that the process has used; if it is nil,
	// the load is logged without it.
	ProcessorTime func() time.Duration
	Settings      Settings
	Logger        log.Logger
	// Metrics is where metrics are registered; if it is nil, they are not
	// exported.
	Metrics *metrics.Set
}

// Settings holds the time limits that a Conductor applies.
type Settings struct {
	// Lease is how long a worker may keep running its attempts without a renewal.
	Lease time.Duration
	// StaleAfter is the age of a worker's last contact from which it gets no new
	// work.
	StaleAfter time.Duration
	// GangWait is how long a gang's first task waits for the others.
	GangWait time.Duration
	// DataCentres are data centres that may be evacuated before a worker of theirs was
	// ever announced.
	DataCentres []string
	// Admission is true if jobs are refused that are certain to finish after their
	// callers have stopped waiting.
	Admission bool
	// AdmissionAtEntries is true if entries refuse by themselves what the forecast refuses
	// beyond doubt. A new leader with a backlog then accepts nothing until the notices of
	// the previous one have expired. It takes effect only with Admission.
	AdmissionAtEntries bool
	// RemotePenalty is how many times as long tasks run elsewhere than near their data. If
	// it is at most 1, no step waits for near room.
	RemotePenalty float64
}

// Conductor is the leader's side of staged jobs. Its exported methods are safe
// for concurrent use; everything else belongs to the goroutine of Run.
type Conductor struct {
	config  Config
	state   *stager.State
	mailbox chan func()
	// done is closed when Run returns.
	done chan struct{}
	// callContext is cancelled when Run returns. Calls to workers use it rather
	// than the context of the request that caused them.
	callContext context.Context

	sequence uint64
	pending  []stager.Command
	effects  []func(error)
	inFlight int
	failure  error

	connections map[modeller.WorkerName]*connection
	// sortedConnections holds the connections sorted by worker name;
	// candidateBuffer is the reusable buffer for the candidates of a placement
	// pass.
	sortedConnections []*connection
	candidateBuffer   []allotter.Candidate
	// probesInFlight counts the probes in flight; queuedProbes are the connections
	// whose probe waits until there are fewer, in the order in which to send them.
	probesInFlight int
	queuedProbes   []*connection
	approvals      map[stager.StepID]*approval
	// trends estimate the run times of each queue's tasks.
	trends map[modeller.QueueName]*estimator.Trend
	// waiter decides how long steps wait for near room; it is nil if none waits.
	waiter *waiter.Waiter
	// startedAt is when Run began, on Clock.
	startedAt   time.Duration
	instruments *instruments
	// summary is that of the last placement pass, and scarce whether the waiting steps
	// needed more than what was free; nextLoadLogAt is when the load is logged next.
	summary   allotter.Summary
	scarce    bool
	admission *admission
	// notice is the latest notice for the entries; nil if there is none.
	notice atomic.Pointer[Notice]
	// acceptsAt is from when jobs may be accepted, on Clock.
	acceptsAt     time.Duration
	load          load
	nextLoadLogAt time.Duration
	// nextPlanAt is the earliest time of the next placement pass.
	nextPlanAt time.Duration
	// losses are the recent losses of workers, and lostAddresses the addresses of those that
	// no task explains, with when each was last lost.
	losses        []loss
	lostAddresses map[string]time.Duration
	// restoring counts, by data centre, the withdrawn evacuations that are not committed.
	restoring map[modeller.DataCentreName]int
	// evacuations holds the evacuated data centres that metrics are set for, and moves
	// the tasks that are being moved out of them.
	evacuations         map[modeller.DataCentreName]bool
	moves               map[stager.TaskID]move
	nextEvacuationLogAt time.Duration
	// unbegun holds the jobs that the state counts as begun and that may not have.
	unbegun *unbegunJobs
	// placementPending is true if a placement pass may find something to place.
	placementPending bool
}

const (
	mailboxSize = 4096
	// tickInterval is how often leases, inquiries and retry times are checked.
	tickInterval = 100 * time.Millisecond
	// maxBatchesInFlight bounds the batches in flight; commands that arrive
	// meanwhile share the next batch.
	maxBatchesInFlight = 2
	commitTimeout      = 5 * time.Second
)

// New returns a Conductor; Run starts it.
func New(config Config) *Conductor {
	conductor := &Conductor{
		config:      config,
		state:       config.State,
		sequence:    config.State.Sequence,
		mailbox:     make(chan func(), mailboxSize),
		done:        make(chan struct{}),
		connections: make(map[modeller.WorkerName]*connection),
		approvals:   make(map[stager.StepID]*approval),
		trends:      make(map[modeller.QueueName]*estimator.Trend),

		lostAddresses: make(map[string]time.Duration),
		restoring:     make(map[modeller.DataCentreName]int),
		evacuations:   make(map[modeller.DataCentreName]bool),
		moves:         make(map[stager.TaskID]move),
		instruments:   newInstruments(config.Metrics),
		admission:     newAdmission(),
		unbegun:       newUnbegunJobs(),
		acceptsAt:     acceptsFrom(&config),
	}
	if penalty := config.Settings.RemotePenalty; penalty > 1 {
		conductor.waiter = waiter.New(waiter.Config{Penalty: penalty, Report: conductor.reportWait})
	}
	return conductor
}

// Run processes work until the context is cancelled or a batch fails. It
// returns nil or ErrNotCommitted.
func (conductor *Conductor) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer conductor.fail(ErrNotCommitted)
	defer close(conductor.done)
	defer conductor.clearEvacuationGauges()
	defer cancel()
	conductor.callContext = ctx
	conductor.startedAt = conductor.config.Clock()
	conductor.load.processorTime = conductor.processorTime()
	conductor.takeOverState()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for conductor.failure == nil {
		conductor.flush(ctx)
		select {
		case <-ctx.Done():
			return nil
		case work := <-conductor.mailbox:
			work()
		case <-ticker.C:
			conductor.tick()
		}
		conductor.drainMailbox()
		conductor.plan()
	}
	return conductor.failure
}

// drainMailbox runs the work that is already queued, without waiting for more.
func (conductor *Conductor) drainMailbox() {
	for range mailboxSize {
		select {
		case work := <-conductor.mailbox:
			work()
		default:
			return
		}
	}
}

// post queues work for the owning goroutine. It returns false if Run has
// returned.
func (conductor *Conductor) post(work func()) bool {
	select {
	case conductor.mailbox <- work:
		return true
	case <-conductor.done:
		return false
	}
}

// applyCommand applies a command to the copy of the state and adds it to the
// next batch. A command that the state refuses changes nothing.
func (conductor *Conductor) applyCommand(command *stager.Command) error {
	if len(conductor.pending) == 0 {
		// All commands of a batch see the one time that the batch carries.
		conductor.state.Now = conductor.config.Now()
	}
	if err := conductor.state.ApplyCommand(command); err != nil {
		return err
	}
	conductor.pending = append(conductor.pending, *command)
	return nil
}

// afterCommit runs an effect once all commands applied so far are committed, or
// with the error of the batch that failed.
func (conductor *Conductor) afterCommit(effect func(error)) {
	conductor.effects = append(conductor.effects, effect)
}

// flush proposes the pending commands. Effects without a pending command wait
// for the next batch, or until no batch is in flight, because the commands that
// they depend on may still be in flight.
func (conductor *Conductor) flush(ctx context.Context) {
	if conductor.inFlight >= maxBatchesInFlight || len(conductor.pending) == 0 && len(conductor.effects) == 0 {
		return
	}
	if len(conductor.pending) == 0 && conductor.inFlight == 0 {
		conductor.runEffects(conductor.takeEffects(), nil)
		return
	}
	if len(conductor.pending) == 0 {
		return
	}
	conductor.sequence++
	batch := &stager.Batch{Term: conductor.state.Term, Sequence: conductor.sequence, Now: conductor.state.Now, Commands: conductor.pending}
	conductor.pending = nil
	conductor.state.PruneEnded()
	effects := conductor.takeEffects()
	wait, err := conductor.config.Propose(ctx, batch)
	if err != nil {
		conductor.runEffects(effects, err)
		conductor.fail(eris.Wrap(ErrNotCommitted, err.Error()))
		return
	}
	conductor.inFlight++
	commands := len(batch.Commands)
	proposed := conductor.config.Clock()
	go func() {
		waitCtx, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		err := wait(waitCtx)
		took := conductor.config.Clock() - proposed
		conductor.instruments.commit.Update(took.Seconds())
		if !conductor.post(func() { conductor.load.addBatch(commands, took); conductor.finishBatch(effects, err) }) {
			conductor.runEffects(effects, ErrNotCommitted)
		}
	}()
}

func (conductor *Conductor) takeEffects() []func(error) {
	effects := conductor.effects
	conductor.effects = nil
	return effects
}

func (conductor *Conductor) finishBatch(effects []func(error), err error) {
	conductor.inFlight--
	conductor.runEffects(effects, err)
	if err != nil {
		conductor.fail(eris.Wrap(ErrNotCommitted, err.Error()))
	}
}

func (conductor *Conductor) runEffects(effects []func(error), err error) {
	for _, effect := range effects {
		effect(err)
	}
}

// fail records why the conductor ends, and runs the waiting effects with the
// error.
func (conductor *Conductor) fail(err error) {
	if conductor.failure == nil {
		conductor.failure = err
	}
	conductor.runEffects(conductor.takeEffects(), err)
}

// tick does the work that depends only on the passing of time.
func (conductor *Conductor) tick() {
	conductor.measureLag()
	for _, connection := range slices.Clone(conductor.sortedConnections) {
		conductor.checkWorker(connection)
	}
	conductor.expireInquiries()
	conductor.expireWaits()
	conductor.forgetLosses()
	conductor.checkEvacuations()
	conductor.logLoad()
	conductor.publishNotice()
	conductor.placementPending = true
}

// measureLag posts work that records how long it waited.
func (conductor *Conductor) measureLag() {
	postedAt := conductor.config.Clock()
	go conductor.post(func() { conductor.load.lag = max(conductor.load.lag, conductor.config.Clock()-postedAt) })
}

func millis(span time.Duration) modeller.Millis { return modeller.Millis(span.Milliseconds()) }

// elapsed returns Clock in milliseconds.
func (conductor *Conductor) elapsed() modeller.Millis { return millis(conductor.config.Clock()) }
