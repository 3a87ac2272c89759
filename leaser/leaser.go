// Package leaser owns the leases of workers: the leader's table of them, and the
// worker's side (Holder) for workers that are written in Go.
//
// A lease is measured on the worker's own clock: an answer to a heartbeat that
// the worker stamped S allows it to run its tasks until S plus the term. The
// Leaser treats a lease as expired only when the term, extended to allow for
// clock drift, has passed since its last answer. A new leader has answered no
// heartbeats, but earlier leaders may have, so it first waits for a whole
// extended term. Renewals are not logged: the lease of a worker that a leader
// does not know is waited out, which delays the recovery of its tasks but
// violates no invariant.
//
// # Why no task has two live attempts
//
// Every deadline that a leader sends, in an answer or with a start, is the stamp
// of a heartbeat plus the term. A replica checks that it is the leader after the
// heartbeat has arrived and before the Leaser handles it, and this check
// succeeds only while no other replica can have been elected. Each stamp that a
// leader answers was therefore made before its successor was elected. The
// successor starts its wait after its election, hence after the stamp, and
// waits for the worker's term plus the drift. This holds however long the old
// leader is paused afterwards and whatever it sends when it resumes, since its
// deadlines derive from earlier stamps. Neither answers nor pushed starts need a
// clock check before they are sent.
//
// Within one leadership the same holds from the time of the answer, which is
// after the stamp. Once Expire has reported a lease as expired, its heartbeats are
// not answered until the loss of the worker is in the log and the worker has
// joined again; otherwise the loss could be applied while a renewed lease is
// running. For the same reason a loss names the log entry of the registration
// that it ends.
//
// A worker must run nothing while its clock is past the deadline. A worker that
// was paused notices the expiry late: it must stop all its attempts before it
// accepts a later deadline, as the result of Holder.Renew indicates. Attempts
// of an expired lease are fenced by their attempt number, and a start that
// arrives after its deadline is refused, so neither can resume.
//
// All this requires clocks that advance while a process is paused, and that
// differ by no more than the configured drift over a term. A worker that cannot
// report its clock is sent the remaining term instead, counted from the time of
// sending. Its safety depends on the configured bound on message delay, by which
// the expiry of its lease is put off.
package leaser

import (
	"sync"
	"time"

	"github.com/dotterelrill/dotterelrill/modeller"
)

// Config configures a Leaser.
type Config struct {
	// Term is the duration of a lease, from the stamp of the heartbeat that
	// renewed it.
	Term time.Duration
	// DriftDivisor bounds clock drift: two clocks differ by at most
	// Term/DriftDivisor over a term, so 20 allows for 5%.
	DriftDivisor int
	// Fresh is how long after its last heartbeat a worker is eligible for new
	// work.
	Fresh time.Duration
	// HeartbeatsPerSecond is the target for the total rate of heartbeats from all
	// workers, from which Interval is computed; zero sets no target.
	HeartbeatsPerSecond int
	// MaxDelay bounds the delay of a message from the leader to a worker
	// that cannot report its clock. If it is zero, such workers get no lease.
	MaxDelay time.Duration
	// Clock is the leader's monotonic clock.
	Clock func() time.Duration
}

// Leaser tracks the leases of workers during one leadership. It is safe for
// concurrent use.
type Leaser struct {
	config Config
	// startedAt is the time at which the leadership began.
	startedAt time.Duration

	mutex  sync.Mutex
	leases map[modeller.WorkerName]lease
}

// lease is the state of the lease of one worker incarnation.
type lease struct {
	incarnation modeller.Incarnation
	// stamp is the latest answered stamp, on the worker's clock.
	stamp modeller.Millis
	// answeredAt is the time of the last answer, on the leader's clock.
	answeredAt time.Duration
	// closed is true once the lease was found to have expired or another
	// incarnation has connected; its heartbeats are then not answered.
	closed bool
	// joining is true from Register until the first heartbeat is answered.
	joining bool
	// clockless is true if the worker does not report its clock.
	clockless bool
}

// New returns the Leaser of a leadership that begins now.
func New(config Config) *Leaser {
	return &Leaser{config: config, startedAt: config.Clock(), leases: make(map[modeller.WorkerName]lease)}
}

// Renew renews a lease in answer to a heartbeat with the given stamp and
// returns the new deadline on the worker's clock. It returns false if the lease
// can no longer be renewed, because it has expired or was superseded.
func (leaser *Leaser) Renew(worker modeller.WorkerName, incarnation modeller.Incarnation, stamp modeller.Millis) (modeller.Millis, bool) {
	leaser.mutex.Lock()
	defer leaser.mutex.Unlock()
	current, known := leaser.leases[worker]
	if known && current.incarnation == incarnation && current.closed {
		return 0, false
	}
	if known && current.incarnation == incarnation && !current.joining {
		stamp = max(stamp, current.stamp)
	}
	leaser.leases[worker] = lease{incarnation: incarnation, stamp: stamp, answeredAt: leaser.config.Clock()}
	return stamp + leaser.termMillis(), true
}

// RenewClockless renews the lease of a worker that cannot report its clock and
// returns the term, counted from the time of the call. It returns false if the
// lease can no longer be renewed, or if MaxDelay is zero.
func (leaser *Leaser) RenewClockless(worker modeller.WorkerName, incarnation modeller.Incarnation) (modeller.Millis, bool) {
	leaser.mutex.Lock()
	defer leaser.mutex.Unlock()
	current, known := leaser.leases[worker]
	if leaser.config.MaxDelay <= 0 || known && current.incarnation == incarnation && current.closed {
		return 0, false
	}
	leaser.leases[worker] = lease{incarnation: incarnation, answeredAt: leaser.config.Clock(), clockless: true}
	return leaser.termMillis(), true
}

// Register records a worker that is about to join, before its first heartbeat
// is answered, so that it is not treated as one with an expired lease. It must be
// called only when no lease for the worker's name can be running.
func (leaser *Leaser) Register(worker modeller.WorkerName, incarnation modeller.Incarnation) {
	leaser.mutex.Lock()
	defer leaser.mutex.Unlock()
	leaser.leases[worker] = lease{incarnation: incarnation, answeredAt: leaser.config.Clock(), joining: true}
}

// minHeartbeatsPerFresh is the minimum number of heartbeats in Config.Fresh, so
// that a worker stays eligible for new work when one heartbeat is lost.
const minHeartbeatsPerFresh = 2

// Interval returns the heartbeat interval that keeps the given number of
// workers within Config.HeartbeatsPerSecond, but at most Fresh divided by
// minHeartbeatsPerFresh. It returns zero, which leaves the workers at their own
// intervals, if the fleet has no more workers than HeartbeatsPerSecond or no
// rate is configured.
func (leaser *Leaser) Interval(workers int) modeller.Millis {
	if leaser.config.HeartbeatsPerSecond <= 0 || workers <= leaser.config.HeartbeatsPerSecond {
		return 0
	}
	interval := time.Duration(workers) * time.Second / time.Duration(leaser.config.HeartbeatsPerSecond)
	return modeller.Millis(min(interval, leaser.config.Fresh/minHeartbeatsPerFresh).Milliseconds())
}

func (leaser *Leaser) termMillis() modeller.Millis {
	return modeller.Millis(leaser.config.Term.Milliseconds())
}

// Supersede stops renewing the lease of an incarnation because another process
// with the same name has connected.
func (leaser *Leaser) Supersede(worker modeller.WorkerName, incarnation modeller.Incarnation) {
	leaser.mutex.Lock()
	defer leaser.mutex.Unlock()
	current, known := leaser.leases[worker]
	if !known || current.incarnation != incarnation {
		current = lease{incarnation: incarnation, answeredAt: leaser.startedAt}
	}
	current.closed = true
	leaser.leases[worker] = current
}

// Deadline returns the end of the lease on the worker's clock, to be sent with a
// start. It returns false if the worker is not fresh or does not report its
// clock.
func (leaser *Leaser) Deadline(worker modeller.WorkerName, incarnation modeller.Incarnation) (modeller.Millis, bool) {
	leaser.mutex.Lock()
	defer leaser.mutex.Unlock()
	current, known := leaser.leases[worker]
	if !known || current.incarnation != incarnation || current.clockless || !leaser.fresh(current) {
		return 0, false
	}
	return current.stamp + leaser.termMillis(), true
}

// Remaining returns the remaining lease of a worker that cannot report its
// clock, to be sent with a start now. It returns false if the worker is not fresh
// or reports its clock.
func (leaser *Leaser) Remaining(worker modeller.WorkerName, incarnation modeller.Incarnation) (modeller.Millis, bool) {
	leaser.mutex.Lock()
	defer leaser.mutex.Unlock()
	current, known := leaser.leases[worker]
	if !known || current.incarnation != incarnation || !current.clockless || !leaser.fresh(current) {
		return 0, false
	}
	remaining := current.answeredAt + leaser.config.Term - leaser.config.Clock()
	return modeller.Millis(remaining.Milliseconds()), true
}

func (leaser *Leaser) fresh(current lease) bool {
	return !current.closed && !current.joining && leaser.config.Clock() < current.answeredAt+leaser.config.Fresh
}

// Fresh reports whether the worker's last heartbeat is recent enough for new
// work.
func (leaser *Leaser) Fresh(worker modeller.WorkerName, incarnation modeller.Incarnation) bool {
	leaser.mutex.Lock()
	defer leaser.mutex.Unlock()
	current, known := leaser.leases[worker]
	return known && current.incarnation == incarnation && leaser.fresh(current)
}

// Expire reports whether the incarnation's lease has expired, so that none of its
// attempts can still be running, and closes the lease if it has. The incarnation's
// heartbeats are then not answered until Register is called for it.
func (leaser *Leaser) Expire(worker modeller.WorkerName, incarnation modeller.Incarnation) bool {
	leaser.mutex.Lock()
	defer leaser.mutex.Unlock()
	current, known := leaser.leases[worker]
	if !known || current.incarnation != incarnation {
		// An earlier leader may have granted a lease with or without a clock,
		// so the longer bound applies.
		current = lease{incarnation: incarnation, answeredAt: leaser.startedAt, clockless: true}
	}
	if leaser.config.Clock() <= max(leaser.startedAt, current.answeredAt)+leaser.maxLeaseDuration(current) {
		return false
	}
	current.closed = true
	leaser.leases[worker] = current
	return true
}

// maxLeaseDuration returns the longest time for which a lease can run after its
// last answer, on the leader's clock.
func (leaser *Leaser) maxLeaseDuration(current lease) time.Duration {
	span := leaser.config.Term + leaser.config.Term/time.Duration(leaser.config.DriftDivisor)
	if current.clockless {
		span += leaser.config.MaxDelay
	}
	return span
}

// Remove removes the lease of a worker that was lost.
func (leaser *Leaser) Remove(worker modeller.WorkerName, incarnation modeller.Incarnation) {
	leaser.mutex.Lock()
	defer leaser.mutex.Unlock()
	if leaser.leases[worker].incarnation == incarnation {
		delete(leaser.leases, worker)
	}
}
