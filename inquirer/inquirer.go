// Package inquirer owns the way of a leader's questions to an adviser: it keeps
// the processes that can ask it, and passes each question to one of them.
//
// An adviser answers one question at a time for each VM that asks, so many VMs
// ask side by side, and a question that would wait there for another waits here
// instead, where one that is more urgent can overtake it. Long questions never
// take all the processes, so that short ones always find one free. A process
// whose answer is overdue, or that went away, loses its questions, which the
// owner asks anew.
package inquirer

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dotterelrill/dotterelrill/stager"
)

// BeatInterval is how often an attached process hears of the leader, so that its
// silence tells that the way is cut.
const BeatInterval = 250 * time.Millisecond

const (
	// laneSlots bounds what is on its way to one process.
	laneSlots = 8
	// overdueAfter is how much longer than it should an answer may take.
	overdueAfter = 700 * time.Millisecond
	// longFrom is the time from which on a question counts as long.
	longFrom = 50 * time.Millisecond
	// shortShare is the part of the processes, as a divisor, that long questions
	// leave free.
	shortShare = 4
	// depthShort is how many short questions one process may have at once, which
	// hides the way to it.
	depthShort = 2
)

// Config describes an Inquirer.
type Config struct {
	Clock func() time.Duration
}

// Inquirer passes questions on. It is safe for concurrent use.
type Inquirer struct {
	config Config

	mutex sync.Mutex
	lanes []*lane
	// waiting is kept in the order of urgency.
	waiting []*stager.Inquiry
	// lost are questions whose process went away or was overdue.
	lost []stager.StepID
}

type lane struct {
	ring  chan *stager.Inquiry
	under []*sent
}

type sent struct {
	inquiry *stager.Inquiry
	due     time.Duration
}

// New returns an inquirer with no process attached.
func New(config Config) *Inquirer { return &Inquirer{config: config} }

// Attach passes questions to send until the context ends or send fails. Between
// questions it sends empty ones, which name no worker.
func (inquirer *Inquirer) Attach(ctx context.Context, send func(*stager.Inquiry) error) error {
	attached := &lane{ring: make(chan *stager.Inquiry, laneSlots)}
	inquirer.add(attached)
	defer inquirer.remove(attached)
	ticker := time.NewTicker(BeatInterval)
	defer ticker.Stop()
	for {
		inquiry := &stager.Inquiry{}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case inquiry = <-attached.ring:
		}
		if err := send(inquiry); err != nil {
			return err
		}
	}
}

func (inquirer *Inquirer) add(attached *lane) {
	inquirer.mutex.Lock()
	defer inquirer.mutex.Unlock()
	inquirer.lanes = append(inquirer.lanes, attached)
	inquirer.pump()
}

func (inquirer *Inquirer) remove(attached *lane) {
	inquirer.mutex.Lock()
	defer inquirer.mutex.Unlock()
	for _, sent := range attached.under {
		inquirer.lost = append(inquirer.lost, sent.inquiry.Step)
	}
	inquirer.lanes = slices.DeleteFunc(inquirer.lanes, func(lane *lane) bool { return lane == attached })
	inquirer.pump()
}

// Ask takes a question. It returns false if nobody is attached.
func (inquirer *Inquirer) Ask(inquiry stager.Inquiry) bool {
	inquirer.mutex.Lock()
	defer inquirer.mutex.Unlock()
	if len(inquirer.lanes) == 0 {
		return false
	}
	at, _ := slices.BinarySearchFunc(inquirer.waiting, &inquiry, compare)
	inquirer.waiting = slices.Insert(inquirer.waiting, at, &inquiry)
	inquirer.pump()
	return true
}

func compare(left, right *stager.Inquiry) int {
	return cmp.Or(cmp.Compare(left.Urgency, right.Urgency), cmp.Compare(left.Latest, right.Latest))
}

// Answered notes that the answer to a question has come.
func (inquirer *Inquirer) Answered(step stager.StepID) {
	inquirer.mutex.Lock()
	defer inquirer.mutex.Unlock()
	for _, lane := range inquirer.lanes {
		lane.under = slices.DeleteFunc(lane.under, func(sent *sent) bool { return sent.inquiry.Step == step })
	}
	inquirer.pump()
}

// Lost returns the questions that were lost since the last call, those of
// processes whose answer is overdue included.
func (inquirer *Inquirer) Lost() []stager.StepID {
	inquirer.mutex.Lock()
	defer inquirer.mutex.Unlock()
	lost := inquirer.lost
	inquirer.lost = nil
	now := inquirer.config.Clock()
	for _, lane := range inquirer.lanes {
		for _, sent := range lane.under {
			if now > sent.due && sent.inquiry.Takes > 0 {
				lost = append(lost, sent.inquiry.Step)
				// It goes on counting against its process until that answers.
				sent.inquiry = &stager.Inquiry{Step: sent.inquiry.Step}
			}
		}
	}
	inquirer.pump()
	return lost
}

// pump passes on what waits, as far as processes are free.
func (inquirer *Inquirer) pump() {
	for at := 0; at < len(inquirer.waiting); {
		inquiry := inquirer.waiting[at]
		lane := inquirer.choose(inquiry)
		if lane == nil {
			at++
			continue
		}
		inquirer.waiting = slices.Delete(inquirer.waiting, at, at+1)
		due := inquirer.config.Clock() + overdueAfter + inquiry.Takes
		for _, sent := range lane.under {
			due += sent.inquiry.Takes
		}
		lane.under = append(lane.under, &sent{inquiry: inquiry, due: due})
		lane.ring <- inquiry
	}
}

// choose returns a process for the question, or nil if none is free for it.
func (inquirer *Inquirer) choose(inquiry *stager.Inquiry) *lane {
	depth, most := 1, len(inquirer.lanes)-(len(inquirer.lanes)+shortShare-1)/shortShare
	long := inquiry.Takes >= longFrom
	if !long {
		depth = depthShort
	}
	var best *lane
	busyLong := 0
	for _, lane := range inquirer.lanes {
		if lane.hasLong() {
			busyLong++
			continue
		}
		if len(lane.under) < depth && (best == nil || len(lane.under) < len(best.under)) {
			best = lane
		}
	}
	if long && busyLong >= max(1, most) {
		return nil
	}
	return best
}

// hasLong reports whether a process has a long question, or one that is overdue.
func (lane *lane) hasLong() bool {
	return slices.ContainsFunc(lane.under, func(sent *sent) bool { return sent.inquiry.Takes >= longFrom || sent.inquiry.Takes == 0 })
}
