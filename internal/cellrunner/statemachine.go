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

// machine holds the applied state and tells others of its changes.
type machine struct {
	logger log.Logger

	mutex sync.RWMutex
	state *applier.State
	// observers get every event in order; one that is too slow is cut off.
	observers map[*observer]struct{}
	// waiters are closed when their job is done.
	waiters map[modeller.JobID][]chan struct{}

	// changed is closed and replaced with each new configuration.
	changed atomic.Pointer[chan struct{}]
}

// observerSlots bounds the events that wait for one observer.
const observerSlots = 1 << 16

type observer struct {
	ring chan applier.Event
}

func newMachine(cell modeller.CellName, logger log.Logger) *machine {
	made := &machine{
		logger:    logger,
		state:     applier.New(cell),
		observers: make(map[*observer]struct{}),
		waiters:   make(map[modeller.JobID][]chan struct{}),
	}
	made.configure()
	return made
}

// apply takes the next entry of the log.
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
	machine.tell(machine.state.Events())
	return result
}

// tell passes events on. A slow observer's ring is closed, upon which it
// begins anew from the whole state.
func (machine *machine) tell(events []applier.Event) {
	for at := range events {
		event := &events[at]
		switch event.Kind {
		case applier.EventConfigured:
			machine.configure()
		case applier.EventJobDone:
			machine.release(event.Task.Job)
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

func (machine *machine) release(job modeller.JobID) {
	for _, waiter := range machine.waiters[job] {
		close(waiter)
	}
	delete(machine.waiters, job)
}

// configure wakes those that follow the configuration.
func (machine *machine) configure() {
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

// restore puts a snapshot's state in place. All observers begin anew.
func (machine *machine) restore(snapshot *journaler.Snapshot) error {
	state, err := applier.Restore(snapshot.Data)
	if err != nil {
		return err
	}
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	machine.state = state
	machine.configure()
	for observer := range machine.observers {
		close(observer.ring)
		delete(machine.observers, observer)
	}
	for job := range machine.waiters {
		machine.release(job)
	}
	return nil
}

// observe returns the events that lead to the present state and a ring with
// those to come.
func (machine *machine) observe() ([]applier.Event, *observer) {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	made := &observer{ring: make(chan applier.Event, observerSlots)}
	machine.observers[made] = struct{}{}
	return machine.state.Rehearse(), made
}

func (machine *machine) leave(observer *observer) {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	delete(machine.observers, observer)
}

// wait returns a channel that is closed when the job is done, or nil if it is
// done already or unknown.
func (machine *machine) wait(id modeller.JobID) chan struct{} {
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

// read lets a function look at the state, which it must not keep or change.
func (machine *machine) read(look func(state *applier.State)) {
	machine.mutex.RLock()
	defer machine.mutex.RUnlock()
	look(machine.state)
}

// unwait forgets a waiter that nobody listens to any more.
func (machine *machine) unwait(id modeller.JobID, waiter chan struct{}) {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	waiters := machine.waiters[id]
	at := slices.Index(waiters, waiter)
	if at < 0 {
		return
	}
	machine.waiters[id] = slices.Delete(waiters, at, at+1)
	if len(machine.waiters[id]) == 0 {
		delete(machine.waiters, id)
	}
}
