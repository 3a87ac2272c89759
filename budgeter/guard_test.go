package budgeter_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/dotterelrill/dotterelrill/budgeter"
)

const bodyLimit = 256 << 10

// served is a server that answers with the length of a request's body.
type served struct {
	*qt.C
	address string
	set     *metrics.Set
	handled atomic.Int64
}

func serve(t *testing.T, config budgeter.GuardConfig) *served {
	server := &served{C: qt.New(t), set: metrics.NewSet()}
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	server.Assert(err, qt.IsNil)
	server.address = listener.Addr().String()
	config.Kind, config.Logger, config.Metrics = "test", log.NewNopLogger(), server.set
	if config.Limits == (budgeter.Limits{}) {
		config.Limits = budgeter.DefaultLimits()
	}
	guard := budgeter.NewGuard(config)
	httpServer := &http.Server{Handler: http.HandlerFunc(server.handle)}
	guard.Apply(httpServer)
	go func() { _ = httpServer.Serve(guard.Listener(listener)) }()
	t.Cleanup(func() { _ = httpServer.Close() })
	return server
}

func (server *served) handle(writer http.ResponseWriter, request *http.Request) {
	data, err := budgeter.ReadBody(request, bodyLimit)
	if err == nil {
		err = budgeter.Forward(request.Context())
	}
	if err != nil {
		http.Error(writer, err.Error(), http.StatusServiceUnavailable)
		return
	}
	server.handled.Add(1)
	_, _ = io.WriteString(writer, strconv.Itoa(len(data)))
}

func (server *served) dial(ctx context.Context, text string) net.Conn {
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", server.address)
	server.Assert(err, qt.IsNil)
	server.Cleanup(func() { _ = connection.Close() })
	_, _ = io.WriteString(connection, text)
	return connection
}

// answer returns the body of the next answer, or the error.
func answer(reader *bufio.Reader) (string, error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

func (server *served) refused(cause budgeter.Cause) uint64 {
	return server.set.GetOrCreateCounter(`dotterel_connections_refused_total{kind="test",cause="` + string(cause) + `"}`).Get()
}

func post(size int) string {
	return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + strconv.Itoa(size) + "\r\n\r\n" + strings.Repeat("b", size)
}

// TestRequestsOfAConnectionAreServed guards against limits that ordinary requests meet:
// kept connections, pipelined, chunked and large bodies, and one that comes in pieces.
func TestRequestsOfAConnectionAreServed(t *testing.T) {
	server := serve(t, budgeter.GuardConfig{Bytes: 2 << 20, Connections: 10})
	connection := server.dial(t.Context(), post(10)+post(5000)+"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"+post(7))
	reader := bufio.NewReader(connection)
	for _, expected := range []string{"10", "5000", "3", "7"} {
		body, err := answer(reader)
		server.Assert(err, qt.IsNil)
		server.Check(body, qt.Equals, expected)
	}
	for part := range slices.Chunk([]byte(post(bodyLimit)), bodyLimit/8) {
		time.Sleep(20 * time.Millisecond)
		_, err := connection.Write(part)
		server.Assert(err, qt.IsNil)
	}
	body, err := answer(reader)
	server.Assert(err, qt.IsNil)
	server.Check(body, qt.Equals, strconv.Itoa(bodyLimit))
}

// TestHeadsOverTheLimitAreRefused guards against heads that net/http parses though they
// are over the limit.
func TestHeadsOverTheLimitAreRefused(t *testing.T) {
	server := serve(t, budgeter.GuardConfig{Bytes: 2 << 20, Connections: 10})
	connection := server.dial(t.Context(), "GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 6000))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	server.Assert(err, qt.IsNil)
	_ = response.Body.Close()
	server.Check(response.StatusCode, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	server.Check(server.refused(budgeter.HeadTooLarge), qt.Equals, uint64(1))
}

// TestAHeadThatDoesNotEndIsClosed guards against a head whose time starts anew with each
// byte, while a connection that is idle for longer than a head may take stays open.
func TestAHeadThatDoesNotEndIsClosed(t *testing.T) {
	limits := budgeter.DefaultLimits()
	limits.HeadTimeout = 200 * time.Millisecond
	server := serve(t, budgeter.GuardConfig{Bytes: 2 << 20, Connections: 10, Limits: limits})
	idle := server.dial(t.Context(), "")
	slow := server.dial(t.Context(), "GET / HTTP/1.1\r\n")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = io.Copy(io.Discard, slow)
	}()
	for open := true; open; {
		select {
		case <-ended:
			open = false
		case <-time.After(20 * time.Millisecond):
			_, _ = io.WriteString(slow, "a")
		}
	}
	server.Check(server.refused(budgeter.HeadTimeout), qt.Equals, uint64(1))
	_, _ = io.WriteString(idle, post(3))
	body, err := answer(bufio.NewReader(idle))
	server.Assert(err, qt.IsNil)
	server.Check(body, qt.Equals, "3")
}

// TestABodyThatStopsIsClosed guards against bodies that stop short of their end and hold
// their memory for good.
func TestABodyThatStopsIsClosed(t *testing.T) {
	limits := budgeter.DefaultLimits()
	limits.BodyTimeout = 100 * time.Millisecond
	server := serve(t, budgeter.GuardConfig{Bytes: 2 << 20, Connections: 10, Limits: limits})
	text := post(100_000)
	connection := server.dial(t.Context(), text[:len(text)-1])
	_, err := io.Copy(io.Discard, connection)
	server.Check(err, qt.IsNil)
	server.Check(server.refused(budgeter.BodyTimeout), qt.Equals, uint64(1))
	server.Check(server.handled.Load(), qt.Equals, int64(0))
}

// TestAnAnswerMayTakeLongerThanABody guards against the time limit of a body that goes on
// while its request is served.
func TestAnAnswerMayTakeLongerThanABody(t *testing.T) {
	limits := budgeter.DefaultLimits()
	limits.BodyTimeout = 100 * time.Millisecond
	server := serve(t, budgeter.GuardConfig{Bytes: 2 << 20, Connections: 10, Limits: limits, ClientOf: func(*http.Request) string { return "key" }})
	text := post(100_000)
	connection := server.dial(t.Context(), text[:len(text)-1])
	time.Sleep(50 * time.Millisecond)
	_, _ = io.WriteString(connection, "b")
	reader := bufio.NewReader(connection)
	body, err := answer(reader)
	server.Assert(err, qt.IsNil)
	server.Check(body, qt.Equals, "100000")
	time.Sleep(150 * time.Millisecond)
	_, _ = io.WriteString(connection, post(1))
	body, err = answer(reader)
	server.Assert(err, qt.IsNil)
	server.Check(body, qt.Equals, "1")
}

// TestAnOrdinaryRequestIsServedBesideLargeBodies guards against bodies of legal size
// that together hold more than the budget.
func TestAnOrdinaryRequestIsServedBesideLargeBodies(t *testing.T) {
	server := serve(t, budgeter.GuardConfig{Bytes: 1 << 20, Connections: 40})
	text := post(bodyLimit)
	for range 20 {
		server.dial(t.Context(), text[:len(text)-1])
	}
	body, err := answer(bufio.NewReader(server.dial(t.Context(), post(1000))))
	server.Assert(err, qt.IsNil)
	server.Check(body, qt.Equals, "1000")
	server.Check(server.refused(budgeter.Memory) > 0, qt.IsTrue)
}

// TestAnOrdinaryRequestIsServedBesideSilentConnections guards against connections that
// send nothing and take all places.
func TestAnOrdinaryRequestIsServedBesideSilentConnections(t *testing.T) {
	server := serve(t, budgeter.GuardConfig{Bytes: 1 << 20, Connections: 5})
	for range 20 {
		server.dial(t.Context(), "")
	}
	body, err := answer(bufio.NewReader(server.dial(t.Context(), post(10))))
	server.Assert(err, qt.IsNil)
	server.Check(body, qt.Equals, "10")
	server.Check(server.refused(budgeter.Descriptors), qt.Equals, uint64(16))
}

// TestAFullListenerPausesAndGoesOn opens one connection more than may be open, while the
// others wait for forwarded requests. It must not be accepted before another one closes, the
// listener reports no error meanwhile, and an Accept that waits ends with the listener.
func TestAFullListenerPausesAndGoesOn(t *testing.T) {
	c := qt.New(t)
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	guard := budgeter.NewGuard(budgeter.GuardConfig{
		Kind: "test", Bytes: 1 << 20, Connections: 1, Limits: budgeter.DefaultLimits(), Logger: log.NewNopLogger(), Metrics: metrics.NewSet(),
	})
	listener := guard.Listener(inner)
	accepted, ended := make(chan net.Conn), make(chan error, 1)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				ended <- err
				return
			}
			accepted <- connection
		}
	}()
	for range 4 {
		dialled, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", inner.Addr().String())
		c.Assert(err, qt.IsNil)
		defer func() { _ = dialled.Close() }()
	}
	for number := range 3 {
		connection := <-accepted
		c.Assert(budgeter.Forward(budgeter.WithConn(t.Context(), connection.(*budgeter.Conn))), qt.IsNil)
		select {
		case <-accepted:
			c.Fatal("a connection was accepted beyond the limit")
		case err := <-ended:
			c.Fatalf("the listener has failed: %v", err)
		case <-time.After(2 * graceOfHeads):
		}
		if number < 2 {
			c.Assert(connection.Close(), qt.IsNil)
			_ = connection.Close()
		}
	}
	c.Assert(listener.Close(), qt.IsNil)
	c.Check(<-ended, qt.ErrorIs, net.ErrClosed)
}

// graceOfHeads is how long a connection without a whole head is kept when others wait.
const graceOfHeads = 200 * time.Millisecond
