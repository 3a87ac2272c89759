package requester

import (
	"bufio"
	"container/list"
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// pool keeps the connections to all addresses.
type pool struct {
	config Config

	mutex sync.Mutex
	hosts map[string]*host
	// idle holds the connections that are not used, the one unused for longest first.
	idle list.List
}

// host is what the pool knows of an address.
type host struct {
	address string
	// open counts the connections, also those that are being opened.
	open int
	// idle holds the connections that are not used, the one used last at the end.
	idle []*connection
	// waiting holds the calls that wait for a connection, in the order of their coming.
	// Each is sent a connection, or nil if it may open one.
	waiting []chan *connection
}

// connection is an open connection. It belongs to one call, or to the pool.
type connection struct {
	net.Conn
	host   *host
	reader *bufio.Reader
	// text is the buffer of the requests.
	text []byte
	// used is true once it has served a call.
	used      bool
	idleSince time.Time
	element   *list.Element
}

// readBufferBytes holds a usual response.
const readBufferBytes = 2048

// acquire returns a connection to the address: an idle one, a new one, or the next that
// becomes free.
func (pool *pool) acquire(ctx context.Context, address string) (*connection, error) {
	pool.mutex.Lock()
	found := pool.hosts[address]
	if found == nil {
		found = &host{address: address}
		pool.hosts[address] = found
	}
	for len(found.idle) > 0 {
		connection := found.idle[len(found.idle)-1]
		pool.takeIdle(connection)
		if connection.alive() {
			pool.mutex.Unlock()
			return connection, nil
		}
		found.open--
		_ = connection.Close()
	}
	if found.open < pool.config.MaxPerAddress {
		found.open++
		pool.mutex.Unlock()
		return pool.open(ctx, found)
	}
	wakeUp := make(chan *connection, 1)
	found.waiting = append(found.waiting, wakeUp)
	pool.mutex.Unlock()
	select {
	case connection := <-wakeUp:
		if connection != nil {
			return connection, nil
		}
		return pool.open(ctx, found)
	case <-ctx.Done():
		pool.stopWaiting(found, wakeUp)
		return nil, ctx.Err()
	}
}

// stopWaiting removes a waiting call, and passes on what it was sent meanwhile.
func (pool *pool) stopWaiting(found *host, wakeUp chan *connection) {
	pool.mutex.Lock()
	at := slices.Index(found.waiting, wakeUp)
	if at >= 0 {
		found.waiting = slices.Delete(found.waiting, at, at+1)
	}
	pool.mutex.Unlock()
	if at >= 0 {
		return
	}
	if connection := <-wakeUp; connection != nil {
		pool.release(connection, true)
		return
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.forget(found)
}

// open opens a connection for which the host has counted one.
func (pool *pool) open(ctx context.Context, found *host) (*connection, error) {
	dialled, err := pool.config.Dial(ctx, found.address)
	if err != nil {
		pool.mutex.Lock()
		defer pool.mutex.Unlock()
		pool.forget(found)
		return nil, err
	}
	return &connection{Conn: dialled, host: found, reader: bufio.NewReaderSize(dialled, readBufferBytes)}, nil
}

// forget uncounts a connection of a host, and lets a waiting call open one instead. The
// mutex must be held.
func (pool *pool) forget(found *host) {
	found.open--
	if len(found.waiting) > 0 {
		found.open++
		found.waiting[0] <- nil
		found.waiting = found.waiting[1:]
	}
	if found.open == 0 && pool.hosts[found.address] == found {
		delete(pool.hosts, found.address)
	}
}

// release returns a connection, which is closed unless it can be used again.
func (pool *pool) release(released *connection, reusable bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	found := released.host
	released.used = true
	if !reusable {
		_ = released.Close()
		pool.forget(found)
		return
	}
	if len(found.waiting) > 0 {
		found.waiting[0] <- released
		found.waiting = found.waiting[1:]
		return
	}
	released.idleSince = time.Now()
	found.idle = append(found.idle, released)
	released.element = pool.idle.PushBack(released)
	if len(found.idle) > pool.config.MaxIdlePerAddress {
		pool.closeIdle(found.idle[0])
	}
	pool.closeExcess()
}

// closeExcess closes the idle connections beyond MaxIdle and IdleTimeout. The mutex must
// be held.
func (pool *pool) closeExcess() {
	for pool.idle.Len() > 0 {
		oldest, _ := pool.idle.Front().Value.(*connection)
		if pool.idle.Len() <= pool.config.MaxIdle && time.Since(oldest.idleSince) < pool.config.IdleTimeout {
			return
		}
		pool.closeIdle(oldest)
	}
}

// takeIdle removes a connection from the idle ones. The mutex must be held.
func (pool *pool) takeIdle(taken *connection) {
	taken.host.idle = slices.DeleteFunc(taken.host.idle, func(idle *connection) bool { return idle == taken })
	pool.idle.Remove(taken.element)
}

// closeIdle closes an idle connection. The mutex must be held.
func (pool *pool) closeIdle(idle *connection) {
	pool.takeIdle(idle)
	_ = idle.Close()
	pool.forget(idle.host)
}

// alive reports whether an idle connection is still open and has nothing to read. The
// peer may have closed it, or have ended.
func (connection *connection) alive() bool {
	inner, ok := connection.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	err = raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, err := syscall.Read(int(descriptor), buffer[:])
		alive = err == syscall.EAGAIN || err == syscall.EINTR
		return true
	})
	return err == nil && alive
}
