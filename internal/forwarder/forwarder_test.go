package forwarder_test

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/internal/forwarder"
)

// startEchoServer starts a server that echoes each line, behind a forwarder, and
// returns the forwarder's address.
func startEchoServer(c *qt.C, network *forwarder.Network) string {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = connection.Close() }()
				for scanner := bufio.NewScanner(connection); scanner.Scan(); {
					_, _ = connection.Write(append(scanner.Bytes(), '\n'))
				}
			}()
		}
	}()
	echoForwarder, err := forwarder.Start(forwarder.Config{
		Network: network, Listen: "127.0.0.1:0", Target: listener.Addr().String(), To: "server",
		Source: func(net.Addr, net.Addr) forwarder.ProcessName { return "client" },
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(echoForwarder.Close)
	return echoForwarder.Address()
}

func dial(c *qt.C, address string) net.Conn {
	connection, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = connection.Close() })
	return connection
}

// receives reports whether the line arrives within the limit.
func receives(connection net.Conn, line string, limit time.Duration) bool {
	_ = connection.SetReadDeadline(time.Now().Add(limit))
	text, err := bufio.NewReader(connection).ReadString('\n')
	return err == nil && text == line
}

func send(c *qt.C, connection net.Conn, line string) {
	_, err := connection.Write([]byte(line))
	c.Assert(err, qt.IsNil)
}

const (
	shortDelay     = 200 * time.Millisecond
	receiveTimeout = 10 * time.Second
)

func TestCutHoldsBytesBackUntilJoined(t *testing.T) {
	toServer := forwarder.Link{From: "client", To: "server"}
	fromServer := forwarder.Link{From: "server", To: "client"}
	for _, link := range []forwarder.Link{toServer, fromServer} {
		c := qt.New(t)
		network := forwarder.NewNetwork()
		connection := dial(c, startEchoServer(c, network))
		send(c, connection, "one\n")
		c.Assert(receives(connection, "one\n", receiveTimeout), qt.IsTrue)

		network.Cut(link)
		network.Cut(link)
		send(c, connection, "two\n")
		c.Check(receives(connection, "two\n", shortDelay), qt.IsFalse)
		network.Uncut(link)
		c.Check(receives(connection, "two\n", shortDelay), qt.IsFalse, qt.Commentf("two cuts need two joins"))
		network.Uncut(link)
		c.Check(receives(connection, "two\n", receiveTimeout), qt.IsTrue)
	}
}

func TestNewConnectionWaitsForBothDirections(t *testing.T) {
	c := qt.New(t)
	network := forwarder.NewNetwork()
	address := startEchoServer(c, network)
	network.Cut(forwarder.LinksTo("client", "server")...)
	connection := dial(c, address)
	send(c, connection, "one\n")
	c.Check(receives(connection, "one\n", shortDelay), qt.IsFalse)
	network.Heal()
	c.Check(receives(connection, "one\n", receiveTimeout), qt.IsTrue)
}

func TestDelayAndEndOfStreamAreForwarded(t *testing.T) {
	c := qt.New(t)
	network := forwarder.NewNetwork()
	connection := dial(c, startEchoServer(c, network))
	network.Delay(forwarder.Link{From: "client", To: "server"}, shortDelay)
	sentAt := time.Now()
	send(c, connection, "one\n")
	c.Check(receives(connection, "one\n", receiveTimeout), qt.IsTrue)
	c.Check(time.Since(sentAt) >= shortDelay, qt.IsTrue)
	c.Assert(connection.(*net.TCPConn).CloseWrite(), qt.IsNil)
	_ = connection.SetReadDeadline(time.Now().Add(receiveTimeout))
	_, err := connection.Read(make([]byte, 1))
	c.Check(err, qt.ErrorMatches, "EOF")
}
