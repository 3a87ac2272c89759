// Package forwarder simulates network faults for process-level tests. The programs'
// TCP connections run through proxies that can partition two processes, in one
// direction or both, or delay their traffic, without the programs' knowledge.
//
// A cut holds bytes back as a partition that drops packets does: no connection is
// reset, and bytes sent during the cut arrive after it ends, as TCP would
// retransmit them. The package identifies links by the names of their two
// processes; the user supplies the process that opened a connection. The package
// is not part of the product.
package forwarder

import (
	"context"
	"sync"
	"time"
)

// ProcessName names a process.
type ProcessName string

// Link is the traffic from one process to another, in that direction only.
type Link struct {
	From, To ProcessName
}

// Network holds the state of all links. It is safe for concurrent use.
type Network struct {
	mutex  sync.Mutex
	cuts   map[Link]int
	delays map[Link]time.Duration
	// changed is closed and replaced whenever cuts are removed.
	changed chan struct{}
}

// NewNetwork returns a network without faults.
func NewNetwork() *Network {
	return &Network{cuts: make(map[Link]int), delays: make(map[Link]time.Duration), changed: make(chan struct{})}
}

// Cut holds back all bytes on the links. Cuts of one link are counted: each needs
// its own Uncut.
func (network *Network) Cut(links ...Link) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	for _, link := range links {
		network.cuts[link]++
	}
}

// Uncut removes one cut from each link that has any.
func (network *Network) Uncut(links ...Link) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	for _, link := range links {
		if network.cuts[link] > 0 {
			network.cuts[link]--
		}
	}
	network.wakeWaiters()
}

// Delay delays each piece of data on the link; zero removes the delay.
func (network *Network) Delay(link Link, delay time.Duration) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.delays[link] = delay
}

// Heal removes all cuts and delays.
func (network *Network) Heal() {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.cuts = make(map[Link]int)
	network.delays = make(map[Link]time.Duration)
	network.wakeWaiters()
}

func (network *Network) wakeWaiters() {
	close(network.changed)
	network.changed = make(chan struct{})
}

// LinksBetween returns the links between a process and the others, in both directions.
func LinksBetween(name ProcessName, others ...ProcessName) []Link {
	return append(LinksFrom(name, others...), LinksTo(name, others...)...)
}

// LinksFrom returns the links from a process to the others.
func LinksFrom(name ProcessName, others ...ProcessName) []Link {
	var links []Link
	for _, other := range others {
		if other != name {
			links = append(links, Link{From: name, To: other})
		}
	}
	return links
}

// LinksTo returns the links from the others to a process.
func LinksTo(name ProcessName, others ...ProcessName) []Link {
	links := LinksFrom(name, others...)
	for at := range links {
		links[at].From, links[at].To = links[at].To, links[at].From
	}
	return links
}

// awaitPassage waits for the first link's delay and until none of the links is cut.
// It returns false if the context ended first.
func (network *Network) awaitPassage(ctx context.Context, links ...Link) bool {
	if delay := network.delay(links[0]); delay > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(delay):
		}
	}
	for {
		changed, uncut := network.uncut(links)
		if uncut {
			return ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

func (network *Network) delay(link Link) time.Duration {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return network.delays[link]
}

// uncut reports whether none of the links is cut, and returns a channel that is
// closed at the next removal of cuts.
func (network *Network) uncut(links []Link) (<-chan struct{}, bool) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	for _, link := range links {
		if network.cuts[link] > 0 {
			return network.changed, false
		}
	}
	return network.changed, true
}
