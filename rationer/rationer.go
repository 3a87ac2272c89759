// Package rationer owns the division of a process's file descriptors among the
// things that need them, so that no load from outside can take those that the
// process itself cannot do without.
//
// Load it answers: a thousand workers that each need connections, and come again all at
// once after a change of leader. The log and the connections to other replicas come first, then the connections
// of workers and operators, then those to workers. A Quota enforces the part of a dialer,
// which waits at its limit until a connection closes. The part of a listener is enforced
// by package budgeter: a listener that waits could be kept waiting by clients that send
// nothing.
package rationer

import (
	"context"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

// Ration is the number of descriptors for each purpose.
type Ration struct {
	// Inner is left to the connections with other processes of the system, which no
	// Quota bounds. Control is for those of workers and operators, or of callers, and
	// Workers for those to workers.
	Inner, Control, Workers int
}

const (
	// reservedDescriptors are kept for the log, for listeners, standard output and
	// the runtime, and for files outside the data folder.
	reservedDescriptors = 300
	// Inner and Control get one in innerDivisor and controlDivisor of the rest.
	innerDivisor   = 8
	controlDivisor = 8
	// minRation keeps a process with a very low limit working.
	minRation = 16
)

// Descriptors returns how many descriptors the process may have open: the number set, or
// the system's limit if that is 0.
func Descriptors(set int) int {
	if set > 0 {
		return set
	}
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return reservedDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// Divide divides the descriptors that a process may have open.
func Divide(descriptors int) Ration {
	rest := max(descriptors-reservedDescriptors, 0)
	ration := Ration{Inner: max(rest/innerDivisor, minRation), Control: max(rest/controlDivisor, minRation)}
	ration.Workers = max(rest-ration.Inner-ration.Control, minRation)
	return ration
}

// Quota bounds the connections of one purpose. It is safe for concurrent use.
type Quota struct {
	slots chan struct{}
	// Waited counts the connections that had to wait for a slot.
	Waited atomic.Int64
}

// NewQuota returns a quota of limit connections.
func NewQuota(limit int) *Quota { return &Quota{slots: make(chan struct{}, limit)} }

// Open returns how many connections are open.
func (quota *Quota) Open() int { return len(quota.slots) }

// acquire takes a slot. It returns the context's error.
func (quota *Quota) acquire(ctx context.Context) error {
	select {
	case quota.slots <- struct{}{}:
		return nil
	default:
	}
	quota.Waited.Add(1)
	select {
	case quota.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (quota *Quota) release() { <-quota.slots }

// Dial calls dial once a slot is free, and keeps the slot until the connection is
// closed. Its errors are those of dial and of the context.
func (quota *Quota) Dial(ctx context.Context, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	if err := quota.acquire(ctx); err != nil {
		return nil, err
	}
	dialled, err := dial(ctx)
	if err != nil {
		quota.release()
		return nil, err
	}
	return &connection{Conn: dialled, release: sync.OnceFunc(quota.release)}, nil
}

// connection returns its slot when it is closed.
type connection struct {
	net.Conn
	release func()
}

// SyscallConn implements syscall.Conn.
func (connection *connection) SyscallConn() (syscall.RawConn, error) {
	inner, ok := connection.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return inner.SyscallConn()
}

// Close implements net.Conn.
func (connection *connection) Close() error {
	defer connection.release()
	return connection.Conn.Close()
}
