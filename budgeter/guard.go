package budgeter

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
)

// GuardConfig configures a Guard.
type GuardConfig struct {
	// Kind names the clients in logs and metrics.
	Kind   string
	Limits Limits
	// Bytes and Connections bound what the clients take together.
	Bytes       int64
	Connections int
	// ClientOf returns the key of a request's client account, or an empty string; nil
	// means that clients are told apart by address only.
	ClientOf func(*http.Request) string
	// Encrypted is true if connections carry TLS, whose heads cannot be scanned before
	// they are decrypted. net/http alone bounds heads then.
	Encrypted bool
	Logger    log.Logger
	// Metrics receives the counts; it may be nil.
	Metrics *metrics.Set
}

// Guard keeps the clients of one listener within a budget.
type Guard struct {
	config   GuardConfig
	budget   *Budget
	reporter *reporter
}

// NewGuard returns a guard.
func NewGuard(config GuardConfig) *Guard {
	if config.Metrics == nil {
		config.Metrics = metrics.NewSet()
	}
	guard := &Guard{config: config, reporter: newReporter(config.Kind, config.Metrics, config.Logger)}
	guard.budget = New(Config{Bytes: config.Bytes, Connections: config.Connections, Report: guard.reporter.report})
	labels := fmt.Sprintf("{kind=%q}", config.Kind)
	config.Metrics.GetOrCreateGauge("dotterel_connections_open"+labels, func() float64 { return float64(guard.budget.Connections()) })
	config.Metrics.GetOrCreateGauge("dotterel_connections_held_bytes"+labels, func() float64 { return float64(guard.budget.Held()) })
	return guard
}

// NewSideGuard returns a guard of a listener for readiness or metrics.
func NewSideGuard(kind string, limits Limits, set *metrics.Set, guardLogger log.Logger) *Guard {
	if limits == (Limits{}) {
		limits = DefaultLimits()
	}
	return NewGuard(GuardConfig{
		Kind: kind, Limits: limits, Bytes: sideMiB * bytesPerMiB, Connections: Connections(sideMiB*bytesPerMiB, int(limits.SideConnections)),
		Logger: guardLogger, Metrics: set,
	})
}

// SetTimeouts sets the limits that net/http enforces itself.
func (guard *Guard) SetTimeouts(server *http.Server) {
	limits := &guard.config.Limits
	// The time of a head is bounded by Conn from its first byte; before that, a
	// connection is idle also if it is new.
	server.ReadHeaderTimeout = max(limits.IdleTimeout, limits.HeadTimeout)
	if guard.config.Encrypted {
		server.ReadHeaderTimeout = limits.HeadTimeout
	}
	server.IdleTimeout = limits.IdleTimeout
	server.MaxHeaderBytes = int(limits.HeadBytes)
}

// Apply puts the guard before a server's handler. The server must accept from Listener.
func (guard *Guard) Apply(server *http.Server) {
	guard.SetTimeouts(server)
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if conn := connOf(request.Context()); conn != nil {
			conn.BeginRequest(request)
		}
		handler.ServeHTTP(writer, request)
	})
	server.ConnContext = func(ctx context.Context, accepted net.Conn) context.Context {
		if conn, ok := unwrap(accepted).(*Conn); ok {
			return WithConn(ctx, conn)
		}
		return ctx
	}
	server.ConnState = func(accepted net.Conn, state http.ConnState) {
		if conn, ok := unwrap(accepted).(*Conn); ok && state == http.StateIdle {
			conn.EndRequest()
		}
	}
}

// unwrap returns the connection beneath TLS.
func unwrap(conn net.Conn) net.Conn {
	if encrypted, ok := conn.(interface{ NetConn() net.Conn }); ok {
		return encrypted.NetConn()
	}
	return conn
}

// Listen listens on the address.
func (guard *Guard) Listen(address string) (net.Listener, error) {
	inner, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return guard.Listener(inner), nil
}

// metricsBytes is charged for an answer with a process's metrics, which is built in
// memory.
const metricsBytes = 128 << 10

// ServeMetrics returns a handler that answers with what write writes.
func ServeMetrics(write func(io.Writer)) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if conn := connOf(request.Context()); conn != nil {
			if err := conn.account.Charge(metricsBytes); err != nil {
				http.Error(writer, err.Error(), http.StatusServiceUnavailable)
				return
			}
		}
		write(writer)
	})
}

// Listener returns a listener whose connections are guarded.
func (guard *Guard) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, guard: guard, closed: make(chan struct{})}
}

type listener struct {
	net.Listener
	guard     *Guard
	closed    chan struct{}
	closeOnce sync.Once
}

// roomInterval is the time between two looks for room for an accepted connection.
const roomInterval = 5 * time.Millisecond

// Accept implements net.Listener. It holds a connection back until there is room for it.
func (listener *listener) Accept() (net.Conn, error) {
	accepted, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for waited := false; ; waited = true {
		conn := listener.guard.open(accepted)
		if conn != nil {
			return conn, nil
		}
		if !waited {
			listener.guard.reporter.report(Waited, accepted.RemoteAddr().String())
		}
		select {
		case <-listener.closed:
			_ = accepted.Close()
			return nil, net.ErrClosed
		case <-time.After(roomInterval):
		}
	}
}

// Close implements net.Listener.
func (listener *listener) Close() error {
	listener.closeOnce.Do(func() { close(listener.closed) })
	return listener.Listener.Close()
}

// open returns the guarded connection, or nil if there is no room for it.
func (guard *Guard) open(accepted net.Conn) *Conn {
	conn := &Conn{Conn: accepted, guard: guard}
	address := accepted.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(address); err == nil {
		address = host
	}
	account, ok := guard.budget.Open(address, func() { _ = accepted.Close() })
	if !ok {
		return nil
	}
	conn.account, conn.address = account, address
	return conn
}

// connKey is the key of a request's Conn in its context.
type connKey struct{}

// WithConn returns a context for the requests of the connection.
func WithConn(ctx context.Context, conn *Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connOf returns the connection of a request, or nil if it is not guarded.
func connOf(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	return conn
}
