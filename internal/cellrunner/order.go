package cellrunner

import (
	"time"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// Limits on sending a start again. All repeats fit into the time within which
// urgent work must start; after them the answers to heartbeats repeat the
// start.
const (
	orderCheckInterval                 = 50 * time.Millisecond
	startReportTimeout modeller.Millis = 300
	maxStartRepeats                    = 3
	// maxUnreportedStarts is the maximum number of starts that are tracked.
	maxUnreportedStarts = 1 << 16
)

// unreportedStart is a start that was sent and not yet reported by its worker.
type unreportedStart struct {
	event   *applier.Event
	sentAt  modeller.Millis
	repeats int
}

// pushOrders sends starts and stops to workers as soon as they are applied, and
// sends a start again through any entry if no report shows that it has arrived.
// Heartbeats may be far apart, so urgent work can't wait for the next one.
// Placements from before the loop began are left to the answers to heartbeats.
func (leadership *leadership) pushOrders() {
	caughtUp := false
	var unreported []unreportedStart
	leadership.runLoop(controlLoop{
		interval: orderCheckInterval,
		reset:    func() { caughtUp, unreported = false, nil },
		observe: func(event *applier.Event) {
			if caughtUp {
				leadership.pushOrder(event, leadership.dispatcher.Push)
				unreported = trackStart(unreported, event, leadership.runner.now())
			}
		},
		caughtUp: func() { caughtUp = true },
		tick:     func() { unreported = leadership.repeatUnreported(unreported, leadership.runner.now()) },
	})
}

// trackStart adds a placement to the unreported starts. Beyond the limit it is
// left to the answers to heartbeats.
func trackStart(unreported []unreportedStart, event *applier.Event, now modeller.Millis) []unreportedStart {
	if event.Kind != applier.EventTaskPlaced || len(unreported) >= maxUnreportedStarts {
		return unreported
	}
	return append(unreported, unreportedStart{event: event, sentAt: now})
}

// repeatUnreported sends the starts again whose timeout has passed, oldest
// first, and returns those that are still tracked.
func (leadership *leadership) repeatUnreported(unreported []unreportedStart, now modeller.Millis) []unreportedStart {
	var repeated []unreportedStart
	for len(unreported) > 0 && now >= unreported[0].sentAt+startReportTimeout {
		oldest := unreported[0]
		unreported = unreported[1:]
		if !leadership.stillPlaced(oldest.event) {
			continue
		}
		leadership.pushOrder(oldest.event, leadership.dispatcher.PushAny)
		if oldest.repeats++; oldest.repeats < maxStartRepeats {
			oldest.sentAt = now
			repeated = append(repeated, oldest)
		}
	}
	return append(unreported, repeated...)
}

// stillPlaced reports whether the attempt is still current and was not reported
// yet.
func (leadership *leadership) stillPlaced(event *applier.Event) bool {
	stillPlaced := false
	leadership.runner.stateMachine.read(func(state *applier.State) {
		if job := state.Jobs[event.Task.Job]; job != nil && int(event.Task.Index) < len(job.Tasks) {
			task := &job.Tasks[event.Task.Index]
			stillPlaced = task.State == modeller.TaskPlaced && task.Attempt == event.Attempt
		}
	})
	return stillPlaced
}

// pushFunc sends an order to an entry, with or without a preference for one in
// the given DataCentre.
type pushFunc func(order *messenger.Order, dataCentre modeller.DataCentreName) bool

func (leadership *leadership) pushOrder(event *applier.Event, push pushFunc) {
	order := &messenger.Order{Worker: event.Worker}
	switch event.Kind {
	case applier.EventTaskPlaced:
		start, ok := leadership.describeStart(event.Spec, event.Task, event.Attempt, event.Worker, event.Incarnation)
		if !ok {
			return
		}
		order.Start = start
	case applier.EventTaskStopping:
		order.Stop = &messenger.AttemptKey{Task: event.Task, Attempt: event.Attempt}
	default:
		return
	}
	var dataCentre modeller.DataCentreName
	leadership.runner.stateMachine.read(func(state *applier.State) {
		if worker := state.Workers[event.Worker]; worker != nil && (order.Start == nil || !state.Evacuated(worker)) {
			order.Address = worker.Description.Address
			dataCentre = worker.Description.DataCentre
		}
	})
	if order.Address != "" {
		push(order, dataCentre)
	}
}

// describeStart returns the order to start an attempt. It returns false if the
// last contact with the worker is too long ago to state the end of its lease.
func (leadership *leadership) describeStart(spec *applier.Spec, task modeller.TaskID, attempt modeller.Attempt, worker modeller.WorkerName, incarnation modeller.Incarnation) (*messenger.Start, bool) {
	deadline, fresh := leadership.leaser.Deadline(worker, incarnation)
	span, clockless := leadership.leaser.Remaining(worker, incarnation)
	if !fresh && !clockless {
		return nil, false
	}
	return &messenger.Start{
		Cell:          leadership.runner.cellName(),
		Task:          task,
		Attempt:       attempt,
		Worker:        worker,
		Incarnation:   incarnation,
		Deadline:      deadline,
		Span:          span,
		ClientAccount: spec.ClientAccount,
		Queue:         spec.Queue,
		Kind:          spec.Kind,
		Size:          spec.Size,
		RunTime:       spec.RunTime,
		Payload:       spec.Payload,
	}, true
}
