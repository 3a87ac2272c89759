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

// machine holds the applied state and publishes its changes. It is safe for
// concurrent use.
type machine struct {
	logger log.Logger

	mutex sync.RWMutex
	state *applier.State
	// observers receive every event in order; one whose channel is full is removed.
	observers map[*observer]struct{}
	// waiters holds channels that are closed when the job is done.
	waiters map[modeller.JobID][]chan struct{}

	// changed is a channel that is closed and replaced when the configuration
	// changes.
	changed atomic.Pointer[chan struct{}]
}

// observerBacklog is the maximum number of events that wait for one observer.
const observerBacklog = 1 << 16

type observer struct {
	ring chan applier.Event
}

func newStateMachine(cell modeller.CellName, logger log.Logger) *machine {
	machine := &machine{
		logger:    logger,
		state:     applier.New(cell),
		observers: make(map[*observer]struct{}),
		waiters:   make(map[modeller.JobID][]chan struct{}),
	}
	machine.signalConfiguration()
	return machine
}

// apply applies the next committed log entry and returns an applier.Result.
func (machine *machine) apply(entry *journaler.Entry) any {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	if entry.Kind != journaler.EntryCommand {
		machine.state.Index = entry.Index
		return applier.Result{}
	}
	var command applier.Command
	if err := encoder.Unmarshal(entry.Data, &command); err != nil {
		logger.Error(machine.logger, "log entry cannot be decoded", "Index", entry.Index, "Error", err)
		machine.state.Index = entry.Index
		return applier.Result{Code: coder.Malformed, Detail: err.Error()}
	}
	result := machine.state.Apply(entry.Index, &command)
	machine.publish(machine.state.Events())
	return result
}

// publish sends events to all observers. If an observer's channel is full, it is
// closed, and the observer has to start over from the whole state.
func (machine *machine) publish(events []applier.Event) {
	for index := range events {
		event := &events[index]
		switch event.Kind {
		case applier.EventConfigured:
			machine.signalConfiguration()
		case applier.EventJobDone:
			machine.releaseWaiters(event.Task.Job)
		}
		for observer := range machine.observers {
			select {
			case observer.ring <- *event:
			default:
				close(observer.ring)
				delete(machine.observers, observer)
			}
		}
	}
}

func (machine *machine) releaseWaiters(job modeller.JobID) {
	for _, waiter := range machine.waiters[job] {
		close(waiter)
	}
	delete(machine.waiters, job)
}

// signalConfiguration wakes the calls that wait for a change of the
// configuration.
func (machine *machine) signalConfiguration() {
	next := make(chan struct{})
	if old := machine.changed.Swap(&next); old != nil {
		close(*old)
	}
}

func (machine *machine) snapshot() ([]byte, error) {
	machine.mutex.RLock()
	defer machine.mutex.RUnlock()
	return machine.state.Snapshot()
}

// restore replaces the state by that of a snapshot. All observers have to start
// over, and all waiters are released.
func (machine *machine) restore(snapshot *journaler.Snapshot) error {
	state, err := applier.Restore(snapshot.Data)
	if err != nil {
		return err
	}
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	machine.state = state
	machine.signalConfiguration()
	for observer := range machine.observers {
		close(observer.ring)
		delete(machine.observers, observer)
	}
	for job := range machine.waiters {
		machine.releaseWaiters(job)
	}
	return nil
}

// addObserver returns the events that lead from an empty state to the current one
// and an observer that receives the later ones.
func (machine *machine) addObserver() ([]applier.Event, *observer) {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	observer := &observer{ring: make(chan applier.Event, observerBacklog)}
	machine.observers[observer] = struct{}{}
	return machine.state.Rehearse(), observer
}

func (machine *machine) removeObserver(observer *observer) {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	delete(machine.observers, observer)
}

// addWaiter returns a channel that is closed when the job is done, or nil if it
// is done already or unknown.
func (machine *machine) addWaiter(id modeller.JobID) chan struct{} {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	job := machine.state.Jobs[id]
	if job == nil || job.Outcome != modeller.NoOutcome {
		return nil
	}
	waiter := make(chan struct{})
	machine.waiters[id] = append(machine.waiters[id], waiter)
	return waiter
}

// read calls inspect with the state locked for reading. inspect must neither
// keep nor change the state.
func (machine *machine) read(inspect func(state *applier.State)) {
	machine.mutex.RLock()
	defer machine.mutex.RUnlock()
	inspect(machine.state)
}

// removeWaiter removes a channel that addWaiter returned and nobody waits for.
func (machine *machine) removeWaiter(id modeller.JobID, waiter chan struct{}) {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	waiters := machine.waiters[id]
	index := slices.Index(waiters, waiter)
	if index < 0 {
		return
	}
	machine.waiters[id] = slices.Delete(waiters, index, index+1)
	if len(machine.waiters[id]) == 0 {
		delete(machine.waiters, id)
	}
}
