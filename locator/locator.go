// Package locator owns the entries' way to the leader: connections to all
// replicas of the cell, and the knowledge of which one leads.
//
// A call goes to the replica that led last; if that one refuses or cannot be
// reached, the others are asked in turn, with a growing pause after each round,
// until the context ends. Locator remembers whether any try may have reached
// the log, so that a caller is told that nothing comes of the sending only if
// none has. A try has not if a
// replica said so, or if its request was never put on a connection. In all
// other cases it may come into the log later, even behind a second try that was
// refused for the moment; so the answer is then Unknown.
package locator

import (
	"cmp"
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
	"github.com/dotterelrill/dotterelrill/modeller"
)

// Pauses between rounds over the replicas.
const (
	pauseFirst = 20 * time.Millisecond
	pauseMost  = 500 * time.Millisecond
	// tryMost bounds one try unless the configuration says otherwise.
	tryMost = 2 * time.Second
	// doubtedMost bounds one try at a replica that did not answer before.
	doubtedMost = 500 * time.Millisecond
)

// Config describes a Locator.
type Config struct {
	// Addresses are the replicas known at the start.
	Addresses []string
	Transport credentials.TransportCredentials
	// TryMost bounds one try, so that a paused replica does not hold up a call;
	// zero stands for tryMost.
	TryMost time.Duration
	// PauseMost bounds the pause between two rounds over the replicas; zero
	// stands for pauseMost.
	PauseMost time.Duration
}

// Locator finds the leader. It is safe for concurrent use.
type Locator struct {
	config Config

	mutex       sync.Mutex
	addresses   []string
	connections map[string]*grpc.ClientConn
	// leader is the address that answered last as a leader.
	leader string
	// doubted holds the addresses whose last call got no answer. They are tried
	// last and for a shorter time.
	doubted map[string]bool
}

// New returns a Locator that knows the addresses of its settings.
func New(config Config) *Locator {
	return &Locator{
		config:      config,
		addresses:   slices.Clone(config.Addresses),
		connections: make(map[string]*grpc.ClientConn),
		doubted:     make(map[string]bool),
	}
}

// SetAddresses takes up the replicas that the configuration names. Those of
// the Config stay known, in case all the named ones are gone.
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

// order returns the addresses to try: the leader first, the doubted ones last.
func (locator *Locator) order() []string {
	locator.mutex.Lock()
	defer locator.mutex.Unlock()
	order := slices.Clone(locator.addresses)
	if locator.leader != "" && !slices.Contains(order, locator.leader) {
		order = append(order, locator.leader)
	}
	rank := func(address string) int {
		switch {
		case locator.doubted[address]:
			return 2
		case address == locator.leader:
			return 0
		}
		return 1
	}
	slices.SortStableFunc(order, func(left, right string) int { return rank(left) - rank(right) })
	return order
}

// Doubt notes that a replica does not answer, though its connection stands.
func (locator *Locator) Doubt(client messenger.CellClient) {
	locator.mutex.Lock()
	defer locator.mutex.Unlock()
	for address, connection := range locator.connections {
		if connection == client.Connection {
			locator.doubted[address] = true
		}
	}
}

// note keeps whether a call to the address was answered.
func (locator *Locator) note(address string, answered bool) {
	locator.mutex.Lock()
	defer locator.mutex.Unlock()
	if answered {
		delete(locator.doubted, address)
		return
	}
	locator.doubted[address] = true
}

func (locator *Locator) patience(address string) time.Duration {
	locator.mutex.Lock()
	defer locator.mutex.Unlock()
	most := cmp.Or(locator.config.TryMost, tryMost)
	if locator.doubted[address] {
		return min(doubtedMost, most)
	}
	return most
}

// client returns a client of the replica at the address.
func (locator *Locator) client(address string) (messenger.CellClient, error) {
	locator.mutex.Lock()
	defer locator.mutex.Unlock()
	connection := locator.connections[address]
	if connection == nil {
		made, err := messenger.Dial(address, locator.config.Transport)
		if err != nil {
			return messenger.CellClient{}, err
		}
		connection = made
		locator.connections[address] = made
	}
	return messenger.CellClient{Connection: connection}, nil
}

// LeaderAddress returns the address that answered last as a leader, or nothing.
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

// Try is one attempt at a call. It returns the refusal that the reply carried,
// if any, and the transport's error.
type Try func(ctx context.Context, client messenger.CellClient) (*coder.Refusal, error)

// Call makes a call to the leader. It returns nil if a try was not refused, the
// refusal if it was decided, or Unknown or NoQuorum when the context ends.
func (locator *Locator) Call(ctx context.Context, try Try) *coder.Refusal {
	pause := backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(pauseFirst),
		backoff.WithMaxInterval(cmp.Or(locator.config.PauseMost, pauseMost)),
		backoff.WithMaxElapsedTime(0),
	)
	reached := false
	for {
		hint := ""
		for _, address := range locator.order() {
			result := locator.try(ctx, address, try)
			if result.decided {
				return decided(result.refusal, reached)
			}
			reached = reached || result.reached
			if result.refusal != nil && result.refusal.Leader != "" {
				hint = result.refusal.Leader
			}
			if ctx.Err() != nil {
				return undecided(reached)
			}
		}
		if hint != "" {
			locator.setLeader(hint)
		}
		select {
		case <-ctx.Done():
			return undecided(reached)
		case <-time.After(pause.NextBackOff()):
		}
	}
}

// decided returns a replica's refusal, unless it is one for the moment alone
// and an earlier try may still be accepted.
func decided(refusal *coder.Refusal, reached bool) *coder.Refusal {
	if refusal == nil || !reached {
		return refusal
	}
	if row := refusal.Code.Row(); row.NotRun && row.Retry {
		return undecided(reached)
	}
	return refusal
}

// undecided tells apart what may have come into the log from what has not.
func undecided(reached bool) *coder.Refusal {
	if reached {
		return coder.Refuse(coder.Unknown, "no answer came in time; ask again with the same RequestID")
	}
	refusal := coder.Refuse(coder.NotServing, "no replica of the cell could take the request")
	refusal.RetryAfter = pauseMost
	return refusal
}

type tried struct {
	// decided is true if the refusal, or its absence, is the answer.
	decided bool
	// reached is true if the request may have come into the log all the same.
	reached bool
	refusal *coder.Refusal
}

func (locator *Locator) try(ctx context.Context, address string, try Try) tried {
	client, err := locator.client(address)
	if err != nil {
		return tried{}
	}
	ctx, cancel := context.WithTimeout(ctx, locator.patience(address))
	defer cancel()
	ctx, sent := messenger.WatchSent(ctx)
	refusal, err := try(ctx, client)
	locator.note(address, err == nil)
	switch {
	case status.Code(err) == codes.Unimplemented:
		// The process is no replica, and did nothing.
		return tried{}
	case err != nil:
		return tried{reached: sent.Happened()}
	case refusal == nil:
		locator.setLeader(address)
		return tried{decided: true}
	case refusal.Code == coder.NotLeader || refusal.Code == coder.ShuttingDown:
		return tried{refusal: refusal}
	case refusal.Code == coder.Unknown:
		return tried{reached: true, refusal: refusal}
	}
	return tried{decided: true, refusal: refusal}
}

// Leader returns a client of the leader, for streams. It asks the replicas
// until one says that it leads or the context ends.
func (locator *Locator) Leader(ctx context.Context, cell modeller.CellName) (messenger.CellClient, error) {
	var leader messenger.CellClient
	refusal := locator.Call(ctx, func(ctx context.Context, client messenger.CellClient) (*coder.Refusal, error) {
		reply, err := client.Query(ctx, &messenger.QueryRequest{Cell: cell})
		if err != nil {
			return nil, err
		}
		leader = client
		return reply.Refusal, nil
	})
	if refusal != nil {
		return leader, refusal
	}
	return leader, nil
}
