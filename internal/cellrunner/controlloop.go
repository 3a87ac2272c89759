package cellrunner

import (
	"time"

	"github.com/dotterelrill/dotterelrill/applier"
)

// duty is a control loop of the leader: it follows the changes of the state and
// runs periodic work. One goroutine calls all its functions.
type duty struct {
	// interval is the time between two ticks.
	interval time.Duration
	// begin resets the loop's own state. It is called first, and again whenever
	// events were missed.
	begin func()
	// observe handles one event: after begin those that lead to the current state,
	// then each change.
	observe func(event *applier.Event)
	// settled is called when all available events have been observed.
	settled func()
	tick    func()
}

// runLoop runs a control loop until the leadership ends.
func (leadership *leadership) runLoop(duty duty) {
	for leadership.ctx.Err() == nil {
		duty.begin()
		leadership.followEvents(&duty)
	}
}

// followEvents runs a control loop until the leadership ends or events were
// missed.
func (leadership *leadership) followEvents(duty *duty) {
	replayed, observer := leadership.runner.machine.addObserver()
	defer leadership.runner.machine.removeObserver(observer)
	for index := range replayed {
		duty.observe(&replayed[index])
	}
	duty.settled()
	ticker := time.NewTicker(duty.interval)
	defer ticker.Stop()
	for {
		select {
		case <-leadership.ctx.Done():
			return
		case event, ok := <-observer.ring:
			if !ok {
				return
			}
			duty.observe(&event)
			if !observer.drain(duty.observe) {
				return
			}
			duty.settled()
		case <-ticker.C:
			duty.tick()
		}
	}
}

// drain passes the available events to observe without blocking. It returns
// false if events were missed.
func (observer *observer) drain(observe func(event *applier.Event)) bool {
	for {
		select {
		case event, ok := <-observer.ring:
			if !ok {
				return false
			}
			observe(&event)
		default:
			return true
		}
	}
}
