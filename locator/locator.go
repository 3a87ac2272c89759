// Package locator owns the entries' access to the leader: the connections to
// all replicas of the cell, and the knowledge of which one leads.
//
// A call goes to the last known leader. If that replica refuses or cannot be
// reached, the others are tried in turn, with an exponential backoff after each
// round, until the context ends.
//
// The locator tracks whether any try may have reached the log, and answers
// NotServing only if none has. A try has not reached the log if a replica
// reported so, or if its request was never written to a connection. In all
// other cases the request may still be committed later, even after a second try
// met a refusal, so the answer is Unknown unless the refusal holds for earlier tries
// too.
//
// Leader searches for the leader without sending it a request. It costs the replicas few
// calls, since every process of a cell searches when the leader is lost.
package locator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/messenger"
)

// Backoff between rounds over the replicas, and timeouts of single tries.
const (
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// defaultTryTimeout keeps a paused replica from blocking a call.
	defaultTryTimeout = 2 * time.Second
	// unresponsiveTryTimeout applies to a replica whose last call was not
	// answered, so that it delays the other replicas less.
	unresponsiveTryTimeout = 500 * time.Millisecond
)

// Config describes a Locator.
type Config struct {
	// Addresses are the replicas known initially.
	Addresses []string
	// Transport secures the connections; nil means no TLS.
	Transport credentials.TransportCredentials
}

// Locator finds the leader. It is safe for concurrent use.
type Locator struct {
	config Config

	mutex       sync.Mutex
	addresses   []string
	connections map[string]*grpc.ClientConn
	// leader is the address of the last known leader; it is empty if none is
	// known.
	leader string
	// unresponsive holds the addresses whose last call was not answered. They
	// are tried last and with a shorter timeout.
	unresponsive map[string]bool
}

// New returns a Locator that knows the addresses of its Config.
func New(config Config) *Locator {
	return &Locator{
		config:       config,
		addresses:    slices.Clone(config.Addresses),
		connections:  make(map[string]*grpc.ClientConn),
		unresponsive: make(map[string]bool),
	}
}

// SetAddresses sets the replicas that the configuration lists. Those of the
// Config are kept too, in case none of the listed ones is reachable.
func (locator *Locator) SetAddresses(addresses []string) {
	locator.mutex.Lock()
	defer locator.mutex.Unlock()
	known := slices.Clone(addresses)
	for _, address := range locator.config.Addresses {
		if !slices.Contains(known, address) {
			known = append(known, address)
		}
	}
	locator.addresses = known
}

// Close closes all connections.
func (locator *Locator) Close() {
	locator.mutex.Lock()
	defer locator.mutex.Unlock()
	for _, connection := range locator.connections {
		_ = connection.Close()
	}
	locator.connections = make(map[string]*grpc.ClientConn)
}

// order returns the addresses in the order to try them: the leader first,
// unresponsive replicas last.
func (locator *Locator) order() []string {
	locator.mutex.Lock()
	defer locator.mutex.Unlock()
	order := slices.Clone(locator.addresses)
	if locator.leader != "" && !slices.Contains(order, locator.leader) {
		order = append(order, locator.leader)
	}
	rank := func(address string) int {
		switch {
		case locator.unresponsive[address]:
			return 2
		case address == locator.leader:
			return 0
		}
		return 1
	}
	slices.SortStableFunc(order, func(left, right string) int { return rank(left) - rank(right) })
	return order
}

// MarkUnresponsive marks a replica as unresponsive although its connection is
// intact, as after a network cut or while its process is paused. The connection
// is closed, since it may stay silent for good while a new one works.
func (locator *Locator) MarkUnresponsive(client messenger.CellClient) {
	locator.mutex.Lock()
	defer locator.mutex.Unlock()
	for address, connection := range locator.connections {
		if connection == client.Connection {
			locator.unresponsive[address] = true
			delete(locator.connections, address)
			_ = connection.Close()
		}
	}
}

// recordResponse records whether a call to the address was answered.
func (locator *Locator) recordResponse(address string, answered bool) {
	locator.mutex.Lock()
	defer locator.mutex.Unlock()
	if answered {
		delete(locator.unresponsive, address)
		return
	}
	locator.unresponsive[address] = true
}

func (locator *Locator) tryTimeout(address string) time.Duration {
	locator.mutex.Lock()
	defer locator.mutex.Unlock()
	if locator.unresponsive[address] {
		return unresponsiveTryTimeout
	}
	return defaultTryTimeout
}

// client returns a client of the replica at the address. It creates the
// connection on first use.
func (locator *Locator) client(address string) (messenger.CellClient, error) {
	locator.mutex.Lock()
	defer locator.mutex.Unlock()
	connection := locator.connections[address]
	if connection == nil {
		dialled, err := messenger.Dial(address, locator.config.Transport)
		if err != nil {
			return messenger.CellClient{}, err
		}
		connection = dialled
		locator.connections[address] = dialled
	}
	return messenger.CellClient{Connection: connection}, nil
}

// LeaderAddress returns the address of the last known leader, or "".
func (locator *Locator) LeaderAddress() string {
	locator.mutex.Lock()
	defer locator.mutex.Unlock()
	return locator.leader
}

func (locator *Locator) setLeader(address string) {
	locator.mutex.Lock()
	defer locator.mutex.Unlock()
	locator.leader = address
}

// Try makes one call to a replica. It returns the refusal in the reply, if any,
// and the transport's error.
type Try func(ctx context.Context, client messenger.CellClient) (*coder.Refusal, error)

// Call runs the try against the replicas until the leader answers. It returns
// nil if a try succeeded, the refusal if the leader refused, and Unknown or
// NotServing if the context ended first.
func (locator *Locator) Call(ctx context.Context, try Try) *coder.Refusal {
	delay := backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(initialBackoff),
		backoff.WithMaxInterval(maxBackoff),
		backoff.WithMaxElapsedTime(0),
	)
	maybeLogged := false
	for {
		hint := ""
		for _, address := range locator.order() {
			result := locator.try(ctx, address, try)
			if result.decided {
				return resolveRefusal(result.refusal, maybeLogged)
			}
			maybeLogged = maybeLogged || result.maybeLogged
			if result.refusal != nil && result.refusal.Leader != "" {
				hint = result.refusal.Leader
			}
			if ctx.Err() != nil {
				return undecidedRefusal(maybeLogged)
			}
		}
		if hint != "" {
			locator.setLeader(hint)
		}
		select {
		case <-ctx.Done():
			return undecidedRefusal(maybeLogged)
		case <-time.After(delay.NextBackOff()):
		}
	}
}

// resolveRefusal returns the leader's refusal, or Unknown if an earlier try may have been
// accepted in spite of it.
func resolveRefusal(refusal *coder.Refusal, maybeLogged bool) *coder.Refusal {
	if refusal == nil || !maybeLogged {
		return refusal
	}
	if refusal.Code.Row().NotRun && !refusal.Code.HoldsForEarlierTries() {
		return undecidedRefusal(maybeLogged)
	}
	return refusal
}

// undecidedRefusal returns the refusal for a call that no replica decided:
// Unknown if a try may have reached the log, NotServing if none has.
func undecidedRefusal(maybeLogged bool) *coder.Refusal {
	if maybeLogged {
		return coder.Refuse(coder.Unknown, "no reply before the deadline; retry with the same RequestID")
	}
	refusal := coder.Refuse(coder.NotServing, "no replica of the cell could accept the request")
	refusal.RetryAfter = maxBackoff
	return refusal
}

// tryResult is the result of one try.
type tryResult struct {
	// decided is true if the leader decided: refusal, or its absence, is final.
	decided bool
	// maybeLogged is true if undecided and the request may have reached the log.
	maybeLogged bool
	refusal     *coder.Refusal
}

func (locator *Locator) try(ctx context.Context, address string, try Try) tryResult {
	client, err := locator.client(address)
	if err != nil {
		return tryResult{}
	}
	ctx, cancel := context.WithTimeout(ctx, locator.tryTimeout(address))
	defer cancel()
	ctx, sent := messenger.TrackSent(ctx)
	refusal, err := try(ctx, client)
	locator.recordResponse(address, err == nil)
	switch {
	case status.Code(err) == codes.Unimplemented:
		// The process is not a replica and did not handle the request.
		return tryResult{}
	case err != nil:
		return tryResult{maybeLogged: sent.Happened()}
	case refusal == nil:
		locator.setLeader(address)
		return tryResult{decided: true}
	case refusal.Code == coder.NotLeader || refusal.Code == coder.ShuttingDown:
		return tryResult{refusal: refusal}
	case refusal.Code == coder.Unknown:
		return tryResult{maybeLogged: true, refusal: refusal}
	}
	return tryResult{decided: true, refusal: refusal}
}
