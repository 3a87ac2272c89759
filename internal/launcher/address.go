package launcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// Ports are chosen below the kernel's ephemeral range, so that no outgoing
// connection occupies the port of a process that is being restarted.
const (
	firstPort    = 12_000
	lastPort     = 31_999
	maxPortTries = 200
)

// allocatedAddresses holds every address that FreeAddresses has returned. A
// process may not listen on its address yet, so a test bind cannot detect it.
var allocatedAddresses sync.Map

// FreeAddresses returns count loopback addresses (host:port) on which no process
// listens and that this process has not returned before.
func FreeAddresses(count int) ([]string, error) {
	var listeners []net.Listener
	var addresses []string
	defer func() {
		for _, listener := range listeners {
			_ = listener.Close()
		}
	}()
	for range maxPortTries {
		if len(addresses) == count {
			return addresses, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort+1))
		if _, allocated := allocatedAddresses.Load(address); allocated {
			continue
		}
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
		if err != nil {
			continue
		}
		allocatedAddresses.Store(address, true)
		listeners = append(listeners, listener)
		addresses = append(addresses, address)
	}
	return nil, eris.Errorf("could not find %d free ports", count)
}
