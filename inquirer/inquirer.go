// Package inquirer owns the way of a leader's questions to an adviser: it keeps
// the processes that can ask it, and passes each question to the one that has
// the least to ask.
//
// An adviser answers one question at a time for each VM that asks, so many VMs
// ask side by side. A question may be lost with the process that took it; the
// leader gives it up after a while and asks again.
package inquirer

import (
	"context"
	"sync"
	"time"

	"github.com/dotterelrill/dotterelrill/stager"
)

// laneSlots bounds the questions that wait at one process: an adviser refuses
// more than 32 at once.
const laneSlots = 24

// Config describes an Inquirer.
type Config struct {
	Clock func() time.Duration
}

// Inquirer passes questions on. It is safe for concurrent use.
type Inquirer struct {
	config Config

	mutex sync.Mutex
	lanes []*lane
}

type lane struct {
	ring chan *stager.Inquiry
	// busyUntil is when the questions passed on so far should be answered.
	busyUntil time.Duration
}

// New returns an inquirer with no process attached.
func New(config Config) *Inquirer { return &Inquirer{config: config} }

// Attach passes questions to send until the context ends or send fails.
func (inquirer *Inquirer) Attach(ctx context.Context, send func(*stager.Inquiry) error) error {
	attached := &lane{ring: make(chan *stager.Inquiry, laneSlots)}
	inquirer.add(attached)
	defer inquirer.remove(attached)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case inquiry := <-attached.ring:
			if err := send(inquiry); err != nil {
				return err
			}
		}
	}
}

func (inquirer *Inquirer) add(attached *lane) {
	inquirer.mutex.Lock()
	defer inquirer.mutex.Unlock()
	inquirer.lanes = append(inquirer.lanes, attached)
}

func (inquirer *Inquirer) remove(attached *lane) {
	inquirer.mutex.Lock()
	defer inquirer.mutex.Unlock()
	for at, lane := range inquirer.lanes {
		if lane == attached {
			inquirer.lanes = append(inquirer.lanes[:at:at], inquirer.lanes[at+1:]...)
			return
		}
	}
}

// Ask passes a question on. It returns false if nobody can take it now.
func (inquirer *Inquirer) Ask(inquiry stager.Inquiry) bool {
	inquirer.mutex.Lock()
	defer inquirer.mutex.Unlock()
	var idlest *lane
	for _, lane := range inquirer.lanes {
		if idlest == nil || lane.busyUntil < idlest.busyUntil {
			idlest = lane
		}
	}
	if idlest == nil {
		return false
	}
	select {
	case idlest.ring <- &inquiry:
		idlest.busyUntil = max(idlest.busyUntil, inquirer.config.Clock()) + inquiry.Takes
		return true
	default:
		return false
	}
}
