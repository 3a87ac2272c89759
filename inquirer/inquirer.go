// Package inquirer owns the dispatch of a leader's inquiries to an adviser: it
// keeps the attached processes that can call the adviser, and passes each
// inquiry to one of them.
//
// An adviser answers one inquiry at a time for each VM that calls it, so
// several VMs call it in parallel. An inquiry that would have to wait at the
// adviser waits here instead, where a more urgent one can overtake it. Long
// inquiries leave a share of the processes free for short ones. The inquiries
// of a process whose answer is overdue, or that detached, are reported as lost,
// and the owner asks them again. An overdue inquiry keeps its process from other
// work for a while, as the adviser may still be busy with it, but not for ever,
// as an answer can be lost without an end of the connection.
package inquirer

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/dotterelrill/dotterelrill/stager"
)

// HeartbeatInterval is the interval of the heartbeats to an attached process,
// which detects from missing ones that its connection to the leader is cut.
const HeartbeatInterval = 250 * time.Millisecond

const (
	// processBuffer bounds the inquiries that wait to be sent to one process.
	processBuffer = 8
	// overdueMargin is how much longer than expected an answer may take before it
	// is overdue.
	overdueMargin = 700 * time.Millisecond
	// abandonAfter is how long an overdue inquiry still counts against its process.
	// By then its answer was probably lost on its way to the leader: an adviser that
	// answers late is most often one that was asked too much.
	abandonAfter = 2 * time.Second
	// minLongDuration is the expected time from which an inquiry counts as long.
	minLongDuration = 50 * time.Millisecond
	// At least one in minReserveDivisor processes is kept free of long inquiries, and at
	// most one in maxReserveDivisor.
	minReserveDivisor = 8
	maxReserveDivisor = 2
	// shortHeadroom is how many times the processes that short inquiries keep busy are
	// kept free for them: a burst of them comes within a second.
	shortHeadroom = 2
	// loadWindow is the time over which the load of short inquiries is averaged.
	loadWindow = time.Second
	// maxInFlight is how many inquiries one process may have in flight, which hides the
	// latency of its connection. Only the last of them may be long: short ones do not wait
	// behind it, and a long one that waited for a process without any would never be sent
	// while short ones follow one another.
	maxInFlight = 2
)

// Config is the configuration of an Inquirer.
type Config struct {
	Clock func() time.Duration
}

// Inquirer dispatches inquiries to attached processes. It is safe for
// concurrent use.
type Inquirer struct {
	config Config

	mutex     sync.Mutex
	processes []*process
	// waiting is sorted by urgency.
	waiting []*stager.Inquiry
	// lost are inquiries of processes that detached, and those that waited when the last one
	// did: their steps keep room until an answer.
	lost []stager.InquiryID
	// shortLoad is the average number of processes that short inquiries keep busy, as of
	// shortLoadAt.
	shortLoad   float64
	shortLoadAt time.Duration
}

type process struct {
	queued   chan *stager.Inquiry
	inFlight []*sentInquiry
}

type sentInquiry struct {
	inquiry  *stager.Inquiry
	deadline time.Duration
	// overdue is true once the inquiry has been reported as lost.
	overdue bool
}

// New returns an inquirer with no process attached.
func New(config Config) *Inquirer { return &Inquirer{config: config} }

// Attach passes inquiries to send until the context ends or send fails, and
// returns the error. Every HeartbeatInterval it sends an empty inquiry, which
// names no worker, as a heartbeat.
func (inquirer *Inquirer) Attach(ctx context.Context, send func(*stager.Inquiry) error) error {
	process := &process{queued: make(chan *stager.Inquiry, processBuffer)}
	inquirer.add(process)
	defer inquirer.remove(process)
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		inquiry := &stager.Inquiry{}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case inquiry = <-process.queued:
		}
		if err := send(inquiry); err != nil {
			return err
		}
	}
}

func (inquirer *Inquirer) add(process *process) {
	inquirer.mutex.Lock()
	defer inquirer.mutex.Unlock()
	inquirer.processes = append(inquirer.processes, process)
	inquirer.dispatch()
}

func (inquirer *Inquirer) remove(detached *process) {
	inquirer.mutex.Lock()
	defer inquirer.mutex.Unlock()
	for _, sentInquiry := range detached.inFlight {
		inquirer.lost = append(inquirer.lost, sentInquiry.inquiry.ID())
	}
	inquirer.processes = slices.DeleteFunc(inquirer.processes, func(process *process) bool { return process == detached })
	if len(inquirer.processes) == 0 {
		for _, inquiry := range inquirer.waiting {
			inquirer.lost = append(inquirer.lost, inquiry.ID())
		}
		inquirer.waiting = nil
	}
	inquirer.dispatch()
}

// Ask queues an inquiry. It returns false if no process is attached.
func (inquirer *Inquirer) Ask(inquiry stager.Inquiry) bool {
	inquirer.mutex.Lock()
	defer inquirer.mutex.Unlock()
	if len(inquirer.processes) == 0 {
		return false
	}
	at, _ := slices.BinarySearchFunc(inquirer.waiting, &inquiry, compareUrgency)
	inquirer.waiting = slices.Insert(inquirer.waiting, at, &inquiry)
	inquirer.dispatch()
	return true
}

func compareUrgency(left, right *stager.Inquiry) int {
	return cmp.Or(cmp.Compare(left.Urgency, right.Urgency), cmp.Compare(left.Latest, right.Latest))
}

// Answered records that the answer to an inquiry has arrived.
func (inquirer *Inquirer) Answered(id stager.InquiryID) {
	inquirer.mutex.Lock()
	defer inquirer.mutex.Unlock()
	for _, process := range inquirer.processes {
		process.inFlight = slices.DeleteFunc(process.inFlight, func(sentInquiry *sentInquiry) bool { return sentInquiry.inquiry.ID() == id })
	}
	inquirer.dispatch()
}

// Lost returns the inquiries that were lost since the last call, including
// those whose answer is overdue.
func (inquirer *Inquirer) Lost() []stager.InquiryID {
	inquirer.mutex.Lock()
	defer inquirer.mutex.Unlock()
	lost := inquirer.lost
	inquirer.lost = nil
	now := inquirer.config.Clock()
	for _, process := range inquirer.processes {
		process.inFlight = slices.DeleteFunc(process.inFlight, func(sentInquiry *sentInquiry) bool {
			return now > sentInquiry.deadline+abandonAfter && sentInquiry.overdue
		})
		for _, sentInquiry := range process.inFlight {
			if now > sentInquiry.deadline && !sentInquiry.overdue {
				lost = append(lost, sentInquiry.inquiry.ID())
				sentInquiry.overdue = true
			}
		}
	}
	inquirer.dispatch()
	return lost
}

// Withdraw drops the inquiries about a step that were not sent yet: the step no longer
// needs them.
func (inquirer *Inquirer) Withdraw(step stager.StepID) {
	inquirer.mutex.Lock()
	defer inquirer.mutex.Unlock()
	inquirer.waiting = slices.DeleteFunc(inquirer.waiting, func(inquiry *stager.Inquiry) bool { return inquiry.Step == step })
}

// Idle returns how many processes have no inquiry, beyond those that are kept free of
// long ones; it is zero while inquiries wait.
func (inquirer *Inquirer) Idle() int {
	inquirer.mutex.Lock()
	defer inquirer.mutex.Unlock()
	if len(inquirer.waiting) > 0 {
		return 0
	}
	idle := 0
	for _, process := range inquirer.processes {
		if len(process.inFlight) == 0 {
			idle++
		}
	}
	return max(0, idle-inquirer.shortReserve(len(inquirer.processes)))
}

// Free reports whether an inquiry that takes the given time would be sent at once.
func (inquirer *Inquirer) Free(takes time.Duration) bool {
	inquirer.mutex.Lock()
	defer inquirer.mutex.Unlock()
	long := takes >= minLongDuration
	for _, inquiry := range inquirer.waiting {
		if inquiry.Takes >= minLongDuration == long {
			return false
		}
	}
	return inquirer.chooseProcess(&stager.Inquiry{Takes: takes}) != nil
}

// dispatch sends the waiting inquiries for which a process is free. Once none is free
// for a short or a long one, the others of that kind are passed over: thousands may
// wait.
func (inquirer *Inquirer) dispatch() {
	var shortFull, longFull bool
	kept := inquirer.waiting[:0]
	for _, inquiry := range inquirer.waiting {
		full := &shortFull
		if inquiry.Takes >= minLongDuration {
			full = &longFull
		}
		if *full {
			kept = append(kept, inquiry)
			continue
		}
		process := inquirer.chooseProcess(inquiry)
		if process == nil {
			*full = true
			kept = append(kept, inquiry)
			continue
		}
		inquirer.send(process, inquiry)
	}
	clear(inquirer.waiting[len(kept):])
	inquirer.waiting = kept
}

// send queues an inquiry for its process.
func (inquirer *Inquirer) send(process *process, inquiry *stager.Inquiry) {
	deadline := inquirer.config.Clock() + overdueMargin + inquiry.Takes
	for _, sentInquiry := range process.inFlight {
		deadline += sentInquiry.inquiry.Takes
	}
	process.inFlight = append(process.inFlight, &sentInquiry{inquiry: inquiry, deadline: deadline})
	if inquiry.Takes < minLongDuration {
		inquirer.decayShortLoad()
		inquirer.shortLoad += float64(inquiry.Takes) / float64(loadWindow)
	}
	process.queued <- inquiry
}

// chooseProcess returns a process for the inquiry, or nil if none is free for
// it.
func (inquirer *Inquirer) chooseProcess(inquiry *stager.Inquiry) *process {
	long := inquiry.Takes >= minLongDuration
	var best *process
	responsive, withLong := 0, 0
	for _, process := range inquirer.processes {
		if process.unresponsive() {
			continue
		}
		responsive++
		if process.hasLong() {
			withLong++
			continue
		}
		if len(process.inFlight) < maxInFlight && (best == nil || len(process.inFlight) < len(best.inFlight)) {
			best = process
		}
	}
	if long && withLong >= max(1, responsive-inquirer.shortReserve(responsive)) {
		return nil
	}
	return best
}

// shortReserve returns how many of the processes are kept free of long inquiries.
func (inquirer *Inquirer) shortReserve(processes int) int {
	inquirer.decayShortLoad()
	wanted := int(math.Ceil(shortHeadroom * inquirer.shortLoad))
	return min(max(wanted, (processes+minReserveDivisor-1)/minReserveDivisor), processes/maxReserveDivisor)
}

// decayShortLoad brings the average load of short inquiries up to date.
func (inquirer *Inquirer) decayShortLoad() {
	now := inquirer.config.Clock()
	if now > inquirer.shortLoadAt {
		inquirer.shortLoad *= math.Exp(-float64(now-inquirer.shortLoadAt) / float64(loadWindow))
		inquirer.shortLoadAt = now
	}
}

// unresponsive reports whether a process has an overdue inquiry in flight, or has not
// been sent earlier ones yet.
func (process *process) unresponsive() bool {
	return len(process.queued) == processBuffer || slices.ContainsFunc(process.inFlight, func(sentInquiry *sentInquiry) bool { return sentInquiry.overdue })
}

// hasLong reports whether a process has a long inquiry in flight.
func (process *process) hasLong() bool {
	return slices.ContainsFunc(process.inFlight, func(sentInquiry *sentInquiry) bool { return sentInquiry.inquiry.Takes >= minLongDuration })
}
