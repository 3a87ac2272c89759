package cellrunner

import (
	"time"

	"github.com/dotterelrill/dotterelrill/applier"
)

// controlLoop follows the changes of the state and runs periodic work while the
// replica leads. One goroutine calls all its functions.
type controlLoop struct {
	// interval is the time between two ticks.
	interval time.Duration
	// reset clears the loop's own state. It is called first, and again whenever
	// events were missed.
	reset func()
	// observe handles one event: after reset those that lead to the current state,
	// then each change.
	observe func(event *applier.Event)
	// caughtUp is called when all available events have been observed.
	caughtUp func()
	tick     func()
}

// runLoop runs a control loop until the leadership ends.
func (leadership *leadership) runLoop(controlLoop controlLoop) {
	for leadership.ctx.Err() == nil {
		controlLoop.reset()
		leadership.followEvents(&controlLoop)
	}
}

// followEvents runs a control loop until the leadership ends or events were
// missed.
func (leadership *leadership) followEvents(controlLoop *controlLoop) {
	replayed, observer := leadership.runner.stateMachine.addObserver()
	defer leadership.runner.stateMachine.removeObserver(observer)
	for index := range replayed {
		controlLoop.observe(&replayed[index])
	}
	controlLoop.caughtUp()
	ticker := time.NewTicker(controlLoop.interval)
	defer ticker.Stop()
	for {
		select {
		case <-leadership.ctx.Done():
			return
		case event, ok := <-observer.events:
			if !ok {
				return
			}
			controlLoop.observe(&event)
			if !observer.drain(controlLoop.observe) {
				return
			}
			controlLoop.caughtUp()
		case <-ticker.C:
			controlLoop.tick()
		}
	}
}

// drain passes the available events to observe without blocking. It returns
// false if events were missed.
func (observer *observer) drain(observe func(event *applier.Event)) bool {
	for {
		select {
		case event, ok := <-observer.events:
			if !ok {
				return false
			}
			observe(&event)
		default:
			return true
		}
	}
}
