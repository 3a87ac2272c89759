package cellrunner

import (
	"time"

	"github.com/dotterelrill/dotterelrill/applier"
)

// duty is work of the leader that follows the changes of the state. Its
// functions are called by one goroutine.
type duty struct {
	// interval is the time between two ticks.
	interval time.Duration
	// begin forgets everything. It is called first, and again whenever events
	// were missed.
	begin func()
	// observe takes one event: after begin those that lead to the present state,
	// then those that change it.
	observe func(event *applier.Event)
	// settled is called when all events that were there have been observed.
	settled func()
	tick    func()
}

// perform does a duty until the leadership ends.
func (held *leadership) perform(duty duty) {
	for held.ctx.Err() == nil {
		duty.begin()
		held.performOn(&duty)
	}
}

// performOn does a duty until the leadership ends or events were missed.
func (held *leadership) performOn(duty *duty) {
	past, observer := held.runner.machine.observe()
	defer held.runner.machine.leave(observer)
	for at := range past {
		duty.observe(&past[at])
	}
	duty.settled()
	ticker := time.NewTicker(duty.interval)
	defer ticker.Stop()
	for {
		select {
		case <-held.ctx.Done():
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

// drain takes the events that are there. It returns false if some were missed.
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
