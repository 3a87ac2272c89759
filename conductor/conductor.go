// Package conductor owns what a leader does for staged jobs: it takes in jobs,
// cancellations, deployments and workers, places tasks, tells workers what to
// run, follows what they run, and puts every change into the log.
//
// One goroutine owns everything. It works on a copy of the state that is ahead
// of the log by the batches under way: each command is applied there first,
// collected into a batch, and proposed. What others see of a change, an ack or
// a start at a worker, happens only after its batch is committed. If a batch is
// not, the copy is worthless; the conductor ends with ErrReplaced and its owner
// begins a new one from the committed state.
//
// Calls to workers and advisers run in goroutines of their own and come back as
// functions that the owner runs. How workers are spoken to is left to the
// functions of Config.
package conductor

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/allotter"
	"github.com/dotterelrill/dotterelrill/estimator"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// ErrReplaced is returned if a batch did not come into the log, or may not
// have.
var ErrReplaced = eris.New("a batch of the leader's was not committed")

// Config describes a Conductor.
type Config struct {
	// State is the committed state after this conductor's term was begun in the
	// log; the Conductor owns it. The term's number goes with every order, and
	// workers take none of a lower one than they have seen.
	State *stager.State
	// Clock goes on while the process or its VM is suspended.
	Clock func() time.Duration
	// Now is the time of day.
	Now func() modeller.Millis
	// Leads reports whether no other replica can lead at this moment.
	Leads func() bool
	// Propose enqueues a batch and returns a function that waits for it.
	Propose func(context.Context, *stager.Batch) (func(context.Context) error, error)
	// Start, Stop and Hold call a worker. They return within about a second, Hold
	// within its order's Wait besides.
	Start func(context.Context, Target, *StartOrder) Answer
	Stop  func(context.Context, Target, *StopOrder) Answer
	Hold  func(context.Context, Target, *HoldOrder) Holding
	// Ask passes a question on to an adviser. It returns false if nobody can
	// ask now; otherwise Advise is called with the answer.
	Ask func(stager.Inquiry) bool
	// Answered is told of each answer, and Lost returns the questions that will
	// get none.
	Answered func(stager.StepID)
	Lost     func() []stager.StepID
	Terms    Terms
	Logger   log.Logger
	// Metrics takes the measures; nil keeps them unseen.
	Metrics *metrics.Set
}

// Terms are the settings of a Conductor.
type Terms struct {
	// Lease is how long a worker may go on without a renewal.
	Lease time.Duration
	// StaleAfter is the age of a worker's last heartbeat from which on it gets
	// nothing new.
	StaleAfter time.Duration
	// GangWait is how long a gang's first task waits for the others.
	GangWait time.Duration
}

// Conductor is the leader's side of staged jobs. Its exported methods may be
// called by any goroutine; everything else belongs to Run.
type Conductor struct {
	config Config
	state  *stager.State
	mail   chan func()
	// done is closed when Run has returned.
	done chan struct{}
	// calls ends with Run; nothing that a request brings about ends with the
	// request's own context.
	calls context.Context

	sequence uint64
	pending  []stager.Command
	effects  []func(error)
	inFlight int
	failed   error

	links map[modeller.WorkerName]*link
	// ordered holds the links in the order of their names, and offered is the
	// space for the candidates of a pass.
	ordered   []*link
	offered   []allotter.Candidate
	approvals map[stager.StepID]*approval
	// trends tell how long tasks of a queue take.
	trends map[modeller.QueueName]*estimator.Trend
	// begun is when the conductor began, on its clock.
	begun    time.Duration
	measures *measures
	// summary is that of the last pass over the waiting steps, and reportAt is
	// when the load is logged next.
	summary  allotter.Summary
	reportAt time.Duration
	// dirty is true if a pass over the waiting steps may place something.
	dirty bool
}

const (
	mailSlots = 4096
	// tickInterval is how often leases, questions and due times are looked at.
	tickInterval = 100 * time.Millisecond
	// batchesInFlight bounds the batches under way, so that what comes
	// meanwhile shares the next one.
	batchesInFlight = 2
	commitTimeout   = 5 * time.Second
)

// New returns a conductor that has not begun.
func New(config Config) *Conductor {
	return &Conductor{
		config:    config,
		state:     config.State,
		sequence:  config.State.Sequence,
		mail:      make(chan func(), mailSlots),
		done:      make(chan struct{}),
		links:     make(map[modeller.WorkerName]*link),
		approvals: make(map[stager.StepID]*approval),
		trends:    make(map[modeller.QueueName]*estimator.Trend),
		measures:  newMeasures(config.Metrics),
	}
}

// Run works until the context ends or a batch fails.
func (conductor *Conductor) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer conductor.fail(ErrReplaced)
	defer close(conductor.done)
	defer cancel()
	conductor.calls = ctx
	conductor.begun = conductor.config.Clock()
	conductor.adopt()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for conductor.failed == nil {
		conductor.flush(ctx)
		select {
		case <-ctx.Done():
			return nil
		case work := <-conductor.mail:
			work()
		case <-ticker.C:
			conductor.tick()
		}
		conductor.takeMail()
		conductor.plan()
	}
	return conductor.failed
}

// takeMail does what else has come, without waiting for more.
func (conductor *Conductor) takeMail() {
	for range mailSlots {
		select {
		case work := <-conductor.mail:
			work()
		default:
			return
		}
	}
}

// post hands work to the owner. It returns false if there is none any more.
func (conductor *Conductor) post(work func()) bool {
	select {
	case conductor.mail <- work:
		return true
	case <-conductor.done:
		return false
	}
}

// do applies a command to the copy of the state and puts it into the next
// batch. A command that the state refuses changes nothing.
func (conductor *Conductor) do(command *stager.Command) error {
	if len(conductor.pending) == 0 {
		// All commands of a batch see the one time that it carries.
		conductor.state.Now = conductor.config.Now()
	}
	if err := conductor.state.Do(command); err != nil {
		return err
	}
	conductor.pending = append(conductor.pending, *command)
	return nil
}

// after runs an effect once all commands up to now are committed, or with the
// error of the batch that was not.
func (conductor *Conductor) after(effect func(error)) {
	conductor.effects = append(conductor.effects, effect)
}

// flush proposes what is pending. Effects without a command of their own wait
// for the batches under way, of which theirs is behind.
func (conductor *Conductor) flush(ctx context.Context) {
	if conductor.inFlight >= batchesInFlight || len(conductor.pending) == 0 && len(conductor.effects) == 0 {
		return
	}
	if len(conductor.pending) == 0 && conductor.inFlight == 0 {
		conductor.settle(conductor.takeEffects(), nil)
		return
	}
	if len(conductor.pending) == 0 {
		return
	}
	conductor.sequence++
	batch := &stager.Batch{Term: conductor.state.Term, Sequence: conductor.sequence, Now: conductor.state.Now, Commands: conductor.pending}
	conductor.pending = nil
	conductor.state.Forget()
	effects := conductor.takeEffects()
	wait, err := conductor.config.Propose(ctx, batch)
	if err != nil {
		conductor.settle(effects, err)
		conductor.fail(eris.Wrap(ErrReplaced, err.Error()))
		return
	}
	conductor.inFlight++
	proposed := conductor.config.Clock()
	go func() {
		waitCtx, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		err := wait(waitCtx)
		conductor.measures.commit.Update((conductor.config.Clock() - proposed).Seconds())
		if !conductor.post(func() { conductor.committed(effects, err) }) {
			conductor.settle(effects, ErrReplaced)
		}
	}()
}

func (conductor *Conductor) takeEffects() []func(error) {
	effects := conductor.effects
	conductor.effects = nil
	return effects
}

func (conductor *Conductor) committed(effects []func(error), err error) {
	conductor.inFlight--
	conductor.settle(effects, err)
	if err != nil {
		conductor.fail(eris.Wrap(ErrReplaced, err.Error()))
	}
}

func (conductor *Conductor) settle(effects []func(error), err error) {
	for _, effect := range effects {
		effect(err)
	}
}

// fail ends the conductor and whoever waits for it.
func (conductor *Conductor) fail(err error) {
	if conductor.failed == nil {
		conductor.failed = err
	}
	conductor.settle(conductor.takeEffects(), err)
}

// tick looks after what only time changes.
func (conductor *Conductor) tick() {
	for _, link := range conductor.links {
		conductor.watch(link)
	}
	conductor.expireInquiries()
	conductor.report()
	conductor.dirty = true
}

func millis(span time.Duration) modeller.Millis { return modeller.Millis(span.Milliseconds()) }

// elapsed is the conductor's clock in milliseconds.
func (conductor *Conductor) elapsed() modeller.Millis { return millis(conductor.config.Clock()) }
