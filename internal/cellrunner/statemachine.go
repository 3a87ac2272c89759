package cellrunner

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/go-kit/log"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/encoder"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/journaler"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// stateMachine holds the applied state and publishes its changes. It is safe for
// concurrent use.
type stateMachine struct {
	logger log.Logger

	mutex sync.RWMutex
	state *applier.State
	// observers receive every event in order; one whose channel is full is removed.
	observers map[*observer]struct{}
	// waiters holds channels that are closed when the job is done.
	waiters map[modeller.JobID][]chan struct{}

	// configurationChanged is a channel that is closed and replaced when the
	// configuration changes.
	configurationChanged atomic.Pointer[chan struct{}]
}

// observerBacklog is the maximum number of events that wait for one observer.
const observerBacklog = 1 << 16

type observer struct {
	events chan applier.Event
}

func newStateMachine(cell modeller.CellName, logger log.Logger) *stateMachine {
	stateMachine := &stateMachine{
		logger:    logger,
		state:     applier.New(cell),
		observers: make(map[*observer]struct{}),
		waiters:   make(map[modeller.JobID][]chan struct{}),
	}
	stateMachine.signalConfiguration()
	return stateMachine
}

// apply applies the next committed log entry and returns an applier.Result.
func (stateMachine *stateMachine) apply(entry *journaler.Entry) any {
	stateMachine.mutex.Lock()
	defer stateMachine.mutex.Unlock()
	if entry.Kind != journaler.EntryCommand {
		stateMachine.state.Index = entry.Index
		return applier.Result{}
	}
	var command applier.Command
	if err := encoder.Unmarshal(entry.Data, &command); err != nil {
		logger.Error(stateMachine.logger, "log entry cannot be decoded", "Index", entry.Index, "Error", err)
		stateMachine.state.Index = entry.Index
		return applier.Result{Code: coder.Malformed, Detail: err.Error()}
	}
	result := stateMachine.state.Apply(entry.Index, &command)
	stateMachine.publish(stateMachine.state.Events())
	return result
}

// publish sends events to all observers. If an observer's channel is full, it is
// closed, and the observer has to start over from the whole state.
func (stateMachine *stateMachine) publish(events []applier.Event) {
	for index := range events {
		event := &events[index]
		switch event.Kind {
		case applier.EventConfigured:
			stateMachine.signalConfiguration()
		case applier.EventJobDone:
			stateMachine.releaseWaiters(event.Task.Job)
		}
		for observer := range stateMachine.observers {
			select {
			case observer.events <- *event:
			default:
				close(observer.events)
				delete(stateMachine.observers, observer)
			}
		}
	}
}

func (stateMachine *stateMachine) releaseWaiters(job modeller.JobID) {
	for _, waiter := range stateMachine.waiters[job] {
		close(waiter)
	}
	delete(stateMachine.waiters, job)
}

// signalConfiguration wakes the calls that wait for a change of the
// configuration.
func (stateMachine *stateMachine) signalConfiguration() {
	next := make(chan struct{})
	if old := stateMachine.configurationChanged.Swap(&next); old != nil {
		close(*old)
	}
}

func (stateMachine *stateMachine) snapshot() ([]byte, error) {
	stateMachine.mutex.RLock()
	defer stateMachine.mutex.RUnlock()
	return stateMachine.state.Snapshot()
}

// restore replaces the state by that of a snapshot. All observers have to start
// over, and all waiters are released.
func (stateMachine *stateMachine) restore(snapshot *journaler.Snapshot) error {
	state, err := applier.Restore(snapshot.Data)
	if err != nil {
		return err
	}
	stateMachine.mutex.Lock()
	defer stateMachine.mutex.Unlock()
	stateMachine.state = state
	stateMachine.signalConfiguration()
	for observer := range stateMachine.observers {
		close(observer.events)
		delete(stateMachine.observers, observer)
	}
	for job := range stateMachine.waiters {
		stateMachine.releaseWaiters(job)
	}
	return nil
}

// addObserver returns the events that lead from an empty state to the current one
// and an observer that receives the later ones.
func (stateMachine *stateMachine) addObserver() ([]applier.Event, *observer) {
	stateMachine.mutex.Lock()
	defer stateMachine.mutex.Unlock()
	observer := &observer{events: make(chan applier.Event, observerBacklog)}
	stateMachine.observers[observer] = struct{}{}
	return stateMachine.state.InitialEvents(), observer
}

func (stateMachine *stateMachine) removeObserver(observer *observer) {
	stateMachine.mutex.Lock()
	defer stateMachine.mutex.Unlock()
	delete(stateMachine.observers, observer)
}

// addWaiter returns a channel that is closed when the job is done, or nil if it
// is done already or unknown.
func (stateMachine *stateMachine) addWaiter(id modeller.JobID) chan struct{} {
	stateMachine.mutex.Lock()
	defer stateMachine.mutex.Unlock()
	job := stateMachine.state.Jobs[id]
	if job == nil || job.Outcome != modeller.NoOutcome {
		return nil
	}
	waiter := make(chan struct{})
	stateMachine.waiters[id] = append(stateMachine.waiters[id], waiter)
	return waiter
}

// read calls inspect with the state locked for reading. inspect must neither
// keep nor change the state.
func (stateMachine *stateMachine) read(inspect func(state *applier.State)) {
	stateMachine.mutex.RLock()
	defer stateMachine.mutex.RUnlock()
	inspect(stateMachine.state)
}

// removeWaiter removes a channel that addWaiter returned and that is no longer
// used.
func (stateMachine *stateMachine) removeWaiter(id modeller.JobID, waiter chan struct{}) {
	stateMachine.mutex.Lock()
	defer stateMachine.mutex.Unlock()
	waiters := stateMachine.waiters[id]
	index := slices.Index(waiters, waiter)
	if index < 0 {
		return
	}
	stateMachine.waiters[id] = slices.Delete(waiters, index, index+1)
	if len(stateMachine.waiters[id]) == 0 {
		delete(stateMachine.waiters, id)
	}
}
