package forwarder

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// Config describes a Forwarder.
type Config struct {
	Network *Network
	// Listen is the address that clients connect to, Target the address at which
	// the process named To listens. Both have the form host:port.
	Listen string
	Target string
	To     ProcessName
	// Source returns the process that opened a connection, given the connection's
	// two addresses.
	Source func(remote, local net.Addr) ProcessName
}

// Forwarder forwards the connections to one process.
type Forwarder struct {
	config   Config
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	group    sync.WaitGroup
}

// Start listens at Config.Listen and forwards connections until Close.
func Start(config Config) (*Forwarder, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", config.Listen)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for %s", config.To)
	}
	ctx, cancel := context.WithCancel(context.Background())
	forwarder := &Forwarder{config: config, listener: listener, ctx: ctx, cancel: cancel}
	forwarder.group.Go(forwarder.accept)
	return forwarder, nil
}

// Address returns the address at which the forwarder listens.
func (forwarder *Forwarder) Address() string { return forwarder.listener.Addr().String() }

// Close stops listening, closes all connections and waits until they have ended.
func (forwarder *Forwarder) Close() {
	forwarder.cancel()
	_ = forwarder.listener.Close()
	forwarder.group.Wait()
}

func (forwarder *Forwarder) accept() {
	for {
		connection, err := forwarder.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		forwarder.group.Go(func() { forwarder.forward(connection) })
	}
}

// forward connects to the target once neither direction is cut, as the TCP
// handshake needs both, and copies bytes both ways until the two streams have
// ended.
func (forwarder *Forwarder) forward(inbound net.Conn) {
	defer func() { _ = inbound.Close() }()
	source := forwarder.config.Source(inbound.RemoteAddr(), inbound.LocalAddr())
	toTarget := Link{From: source, To: forwarder.config.To}
	fromTarget := Link{From: forwarder.config.To, To: source}
	if !forwarder.config.Network.awaitPassage(forwarder.ctx, toTarget, fromTarget) {
		return
	}
	outbound, err := (&net.Dialer{}).DialContext(forwarder.ctx, "tcp", forwarder.config.Target)
	if err != nil {
		return
	}
	defer func() { _ = outbound.Close() }()
	stop := context.AfterFunc(forwarder.ctx, func() {
		_ = inbound.Close()
		_ = outbound.Close()
	})
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { forwarder.copy(toTarget, inbound, outbound) })
	group.Go(func() { forwarder.copy(fromTarget, outbound, inbound) })
	group.Wait()
}

const copyBufferBytes = 32 << 10

// copy copies bytes, and then the end of the stream, in one direction, subject to the
// link's delay and cuts.
func (forwarder *Forwarder) copy(link Link, from, to net.Conn) {
	buffer := make([]byte, copyBufferBytes)
	for {
		count, err := from.Read(buffer)
		if !forwarder.config.Network.awaitPassage(forwarder.ctx, link) {
			return
		}
		if count > 0 {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			closeWrite(to)
			return
		}
	}
}

// closeWrite closes only the sending half, so that the receiver still reads what is
// in flight before the end of the stream.
func closeWrite(to net.Conn) {
	if half, ok := to.(*net.TCPConn); ok {
		_ = half.CloseWrite()
		return
	}
	_ = to.Close()
}
