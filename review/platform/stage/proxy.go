package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
)

// proxy forwards the connections to one replica.
type proxy struct {
	target   string
	listener net.Listener

	mutex    sync.Mutex
	channels []*channel
}

// channel is a forwarded connection.
type channel struct {
	inbound, outbound net.Conn
	// armed is true if the channel goes silent after the next large request.
	armed atomic.Bool
	// silent is true once no byte passes any more; the connection stays open.
	silent atomic.Bool
}

// largeRequest is more than the messages have that keep an idle channel alive.
const largeRequest = 1500

func startProxy(ctx context.Context, listen, target string) (*proxy, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", listen)
	if err != nil {
		return nil, err
	}
	proxy := &proxy{target: target, listener: listener}
	go proxy.accept(ctx)
	return proxy, nil
}

func (proxy *proxy) accept(ctx context.Context) {
	for {
		inbound, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		outbound, err := (&net.Dialer{}).DialContext(ctx, "tcp", proxy.target)
		if err != nil {
			_ = inbound.Close()
			continue
		}
		channel := &channel{inbound: inbound, outbound: outbound}
		proxy.mutex.Lock()
		proxy.channels = append(proxy.channels, channel)
		proxy.mutex.Unlock()
		go channel.forward(inbound, outbound, &channel.armed)
		go channel.forward(outbound, inbound, new(atomic.Bool))
	}
}

// forward copies bytes one way. It drops them, and keeps both connections open, once the
// channel is silent, as it is after a large request if it is armed.
func (channel *channel) forward(from, to net.Conn, armed *atomic.Bool) {
	buffer := make([]byte, 64<<10)
	for {
		count, err := from.Read(buffer)
		if channel.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if err == nil {
			_, err = to.Write(buffer[:count])
		}
		if count >= largeRequest && armed.Load() {
			channel.silent.Store(true)
		}
		if err != nil {
			_ = from.Close()
			_ = to.Close()
			return
		}
	}
}

// arm lets the open channels of a process go silent for good after the next large
// request. New channels work.
func (proxy *proxy) arm(pid int) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for _, channel := range proxy.channels {
		if opened, err := openedBy(pid, channel.inbound); err == nil && opened {
			channel.armed.Store(true)
		}
	}
}

// silent returns how many channels have gone silent.
func (proxy *proxy) silent() int {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	count := 0
	for _, channel := range proxy.channels {
		if channel.silent.Load() {
			count++
		}
	}
	return count
}

func (proxy *proxy) close() {
	_ = proxy.listener.Close()
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for _, channel := range proxy.channels {
		_ = channel.inbound.Close()
		_ = channel.outbound.Close()
	}
}

// openedBy reports whether the process has opened an accepted connection.
func openedBy(pid int, accepted net.Conn) (bool, error) {
	remote, ok := accepted.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return false, nil
	}
	table, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", pid))
	if err != nil {
		return false, err
	}
	inode := ""
	local := fmt.Sprintf("%s:%04X", hexAddress(remote.IP), remote.Port)
	for line := range strings.Lines(string(table)) {
		// The second field is the local address and the tenth the inode.
		if fields := strings.Fields(line); len(fields) > 9 && fields[1] == local {
			inode = fields[9]
		}
	}
	links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil || inode == "" {
		return false, err
	}
	for _, link := range links {
		if name, err := os.Readlink(link); err == nil && name == "socket:["+inode+"]" {
			return true, nil
		}
	}
	return false, nil
}

// hexAddress returns an IPv4 address as the kernel's table shows it on a little-endian
// machine.
func hexAddress(address net.IP) string {
	bytes := address.To4()
	return fmt.Sprintf("%02X%02X%02X%02X", bytes[3], bytes[2], bytes[1], bytes[0])
}
