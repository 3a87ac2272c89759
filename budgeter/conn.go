package budgeter

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// maxUnscanned is the size of net/http's read buffer: what it may hold of a head
	// that a client sent together with its previous request.
	maxUnscanned = 4096
	// maxWrite is how much of an answer a client must read within AnswerTimeout.
	maxWrite = 64 << 10
	// refusalTimeout bounds the writing of the answer to a head that is refused.
	refusalTimeout = time.Second
)

const headRefusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

var errHeadRefused = errors.New("the head of the request is over its limits")

// Conn is a client's connection. It charges what net/http is about to keep.
type Conn struct {
	net.Conn
	guard   *Guard
	account *Account
	// address is the client's, without its port.
	address string

	mutex   sync.Mutex
	scanner scanner
	// charged is what was charged for the current head.
	charged int64
	// headDeadline is zero unless a head has begun and is not whole.
	headDeadline time.Time
	// serving is true from the end of a head until its request is answered.
	serving bool
	// bodyPending is true while the request has a body that was not read to its end,
	// and bodyDeadline is zero until the connection waits for more of it.
	bodyPending  bool
	bodyDeadline time.Time
	// timedOut is true once a timeout of the connection was reported. net/http reads
	// again after it.
	timedOut bool
}

// SyscallConn implements syscall.Conn.
func (conn *Conn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return inner.SyscallConn()
}

// CloseWrite lets net/http end a connection after an answer to a request that it did
// not read to its end.
func (conn *Conn) CloseWrite() error {
	if inner, ok := conn.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (conn *Conn) Close() error {
	conn.account.End()
	return conn.Conn.Close()
}

// Read implements net.Conn.
func (conn *Conn) Read(data []byte) (int, error) {
	conn.startBodyTimer()
	count, err := conn.Conn.Read(data)
	if count > 0 && !conn.guard.config.Encrypted {
		if refused := conn.scan(data[:count]); refused != nil {
			return 0, refused
		}
	}
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		conn.reportTimeout()
	}
	return count, err
}

func (conn *Conn) startBodyTimer() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.serving && conn.bodyPending && conn.bodyDeadline.IsZero() {
		conn.bodyDeadline = time.Now().Add(conn.guard.config.Limits.BodyTimeout)
		_ = conn.Conn.SetReadDeadline(conn.bodyDeadline)
	}
}

// scan counts and charges the part of a head in data. Its error makes net/http close
// the connection without an answer.
func (conn *Conn) scan(data []byte) error {
	conn.mutex.Lock()
	if conn.serving || conn.scanner.done {
		conn.mutex.Unlock()
		return nil
	}
	begins := conn.charged == 0
	conn.scanner.feed(data)
	cause := conn.scanner.refusal(&conn.guard.config.Limits)
	bytes := conn.scanner.cost() - conn.charged
	conn.charged += bytes
	switch {
	case conn.scanner.done:
		conn.headDeadline = time.Time{}
	case conn.headDeadline.IsZero():
		conn.headDeadline = time.Now().Add(conn.guard.config.Limits.HeadTimeout)
		_ = conn.Conn.SetReadDeadline(conn.headDeadline)
	}
	conn.mutex.Unlock()
	if cause != "" {
		conn.guard.reporter.report(cause, conn.address)
		_ = conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = io.WriteString(conn.Conn, headRefusal)
		return &net.OpError{Op: "read", Err: errHeadRefused}
	}
	charge := conn.account.Charge
	if begins {
		charge = conn.account.BeginHead
	}
	if err := charge(bytes); err != nil {
		return &net.OpError{Op: "read", Err: err}
	}
	return nil
}

func (conn *Conn) reportTimeout() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.timedOut {
		return
	}
	now, cause := time.Now(), Cause("")
	switch {
	case !conn.headDeadline.IsZero() && !now.Before(conn.headDeadline):
		cause = HeadTimeout
	case !conn.bodyDeadline.IsZero() && !now.Before(conn.bodyDeadline):
		cause = BodyTimeout
	default:
		return
	}
	conn.timedOut = true
	conn.guard.reporter.report(cause, conn.address)
}

// SetReadDeadline implements net.Conn. The deadline of a head that has begun stays.
func (conn *Conn) SetReadDeadline(deadline time.Time) error {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if !conn.headDeadline.IsZero() && (deadline.IsZero() || deadline.After(conn.headDeadline)) {
		deadline = conn.headDeadline
	}
	return conn.Conn.SetReadDeadline(deadline)
}

// Write implements net.Conn. It fails if the client reads nothing for AnswerTimeout.
func (conn *Conn) Write(data []byte) (int, error) {
	written := 0
	if len(data) > maxWrite {
		if err := conn.account.Charge(int64(len(data))); err != nil {
			return 0, err
		}
		defer conn.account.Release(int64(len(data)))
	}
	defer conn.account.writingSince.Store(0)
	for {
		now := time.Now()
		conn.account.writingSince.Store(now.UnixNano())
		_ = conn.SetWriteDeadline(now.Add(conn.guard.config.Limits.AnswerTimeout))
		count, err := conn.Conn.Write(data[written:min(len(data), written+maxWrite)])
		written += count
		if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
			conn.guard.reporter.report(AnswerTimeout, conn.address)
		}
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

// BeginRequest is called when the handler of a request begins.
func (conn *Conn) BeginRequest(request *http.Request) {
	conn.mutex.Lock()
	conn.serving = true
	// A connection of HTTP/2 carries several requests, so that it has no one body.
	single := request.ProtoMajor < 2
	conn.bodyPending, conn.bodyDeadline = single && request.ContentLength != 0, time.Time{}
	conn.headDeadline = time.Time{}
	var unscanned int64
	if !conn.scanner.done {
		// The head came with the previous request, and net/http had buffered it.
		unscanned = maxUnscanned * headCopies
		for _, values := range request.Header {
			unscanned += int64(len(values)) * headerLineBytes
		}
		if conn.charged == 0 {
			unscanned += requestBytes
		}
	}
	conn.mutex.Unlock()
	name := ""
	if conn.guard.config.ClientOf != nil {
		name = conn.guard.config.ClientOf(request)
	}
	// If the connection is closed, reading the body and Forward fail.
	_ = conn.account.BeginRequest(unscanned, name)
	if !single {
		_ = conn.account.Forward()
	}
}

// EndRequest is called when a request was answered and the next one is waited for.
func (conn *Conn) EndRequest() {
	conn.mutex.Lock()
	conn.serving, conn.bodyPending, conn.bodyDeadline = false, false, time.Time{}
	conn.scanner, conn.charged = scanner{}, 0
	conn.mutex.Unlock()
	conn.account.EndRequest()
}

// endBody ends the time limit of a body that was read to its end. Afterwards, net/http
// reads on to notice that the client has gone.
func (conn *Conn) endBody() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.bodyPending = false
	if !conn.bodyDeadline.IsZero() {
		conn.bodyDeadline = time.Time{}
		_ = conn.Conn.SetReadDeadline(time.Time{})
	}
}
