package locator

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v4"

	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// Limits of a search for the leader. After the leader is lost, every process of the
// cell searches at the same time, while the replicas hold an election.
const (
	// searchWidth is how many replicas are asked at the same time.
	searchWidth = 2
	// searchTimeout bounds the wait for their replies.
	searchTimeout        = 300 * time.Millisecond
	initialSearchBackoff = 30 * time.Millisecond
	maxSearchBackoff     = 150 * time.Millisecond
)

// Leader returns a client of the leader, for opening streams. It asks a few
// replicas at a time, the last known leader first, until one answers as the leader
// or the context ends; the error is then a *coder.Refusal.
func (locator *Locator) Leader(ctx context.Context, cell modeller.CellName) (messenger.CellClient, error) {
	delay := backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(initialSearchBackoff),
		backoff.WithMaxInterval(maxSearchBackoff),
		backoff.WithMaxElapsedTime(0),
	)
	for {
		if client, found := locator.askForLeader(ctx, cell); found {
			return client, nil
		}
		select {
		case <-ctx.Done():
			return messenger.CellClient{}, undecidedRefusal(false)
		case <-time.After(delay.NextBackOff()):
		}
	}
}

// leaderReply is a replica's reply to the question whether it leads.
type leaderReply struct {
	client messenger.CellClient
	leads  bool
	// hint is the address of the leader as the replica knows it.
	hint string
}

// askForLeader asks searchWidth replicas, and the one that they name as the leader.
// It reports whether one of them leads.
func (locator *Locator) askForLeader(ctx context.Context, cell modeller.CellName) (messenger.CellClient, bool) {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	asked := make(map[string]bool)
	// The buffer holds a reply of each replica that is asked: those drawn, and one
	// hint.
	replies := make(chan leaderReply, searchWidth+1)
	ask := func(address string) {
		asked[address] = true
		go func() { replies <- locator.askReplica(ctx, cell, address) }()
	}
	for _, address := range locator.drawReplicas() {
		ask(address)
	}
	hinted := false
	for received := 0; received < len(asked); received++ {
		reply := <-replies
		if reply.leads {
			return reply.client, true
		}
		if reply.hint != "" && !asked[reply.hint] && !hinted {
			hinted = true
			ask(reply.hint)
		}
	}
	return messenger.CellClient{}, false
}

// drawReplicas returns the last known leader, unless it is unresponsive, and
// replicas drawn at random, searchWidth in all.
func (locator *Locator) drawReplicas() []string {
	locator.mutex.Lock()
	defer locator.mutex.Unlock()
	var drawn []string
	if locator.leader != "" && !locator.unresponsive[locator.leader] {
		drawn = append(drawn, locator.leader)
	}
	for _, index := range rand.Perm(len(locator.addresses)) {
		if address := locator.addresses[index]; len(drawn) < searchWidth && address != locator.leader {
			drawn = append(drawn, address)
		}
	}
	if len(drawn) < searchWidth && locator.leader != "" && locator.unresponsive[locator.leader] {
		drawn = append(drawn, locator.leader)
	}
	return drawn
}

// askReplica asks the replica at the address whether it leads.
func (locator *Locator) askReplica(ctx context.Context, cell modeller.CellName, address string) leaderReply {
	client, err := locator.client(address)
	if err != nil {
		return leaderReply{}
	}
	reply, err := client.Query(ctx, &messenger.QueryRequest{Cell: cell})
	locator.recordResponse(address, err == nil)
	if err != nil {
		return leaderReply{}
	}
	if reply.Refusal == nil {
		locator.setLeader(address)
		return leaderReply{client: client, leads: true}
	}
	return leaderReply{hint: reply.Refusal.Leader}
}
