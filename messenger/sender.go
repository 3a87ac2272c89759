package messenger

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/credentials"

	"github.com/dotterelrill/dotterelrill/journaler"
	"github.com/dotterelrill/dotterelrill/replicator"
)

// maxQueuedMessages is the maximum number of messages queued for one replica.
// Further ones are dropped, which the replication protocol tolerates.
const maxQueuedMessages = 1024

// streamRetryDelay is the delay before a failed stream is reopened.
const streamRetryDelay = 100 * time.Millisecond

// Sender sends replication messages to the other replicas, with one goroutine,
// one bounded queue and one stream for each.
type Sender struct {
	ctx       context.Context
	transport credentials.TransportCredentials

	mutex sync.Mutex
	peers map[journaler.ReplicaID]*peer
}

// peer sends the queued messages for one replica.
type peer struct {
	address string
	queue   chan replicator.Message
	cancel  context.CancelFunc
}

// NewSender returns a sender that runs until the context ends.
func NewSender(ctx context.Context, transport credentials.TransportCredentials) *Sender {
	return &Sender{ctx: ctx, transport: transport, peers: make(map[journaler.ReplicaID]*peer)}
}

// SetMembers sets the replicas to send to and their addresses. Streams to
// removed replicas and to outdated addresses are closed.
func (sender *Sender) SetMembers(self journaler.ReplicaID, members []journaler.Member) {
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	wanted := make(map[journaler.ReplicaID]string)
	for _, member := range members {
		if member.ID != self {
			wanted[member.ID] = member.Address
		}
	}
	for id, peer := range sender.peers {
		if wanted[id] != peer.address {
			peer.cancel()
			delete(sender.peers, id)
		}
	}
	for id, address := range wanted {
		if sender.peers[id] == nil {
			sender.peers[id] = sender.startPeer(address)
		}
	}
}

// maxPeers bounds the replicas that a sender learns of from messages.
const maxPeers = 64

// Learn adds a replica from which a message has come, if it is not known: the message
// may come from a leader or candidate that joined in a change which this replica doesn't
// have, and without a reply it would never get that change. The replica is dropped by the
// next SetMembers that doesn't name it.
func (sender *Sender) Learn(id journaler.ReplicaID, address string) {
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	if address != "" && sender.peers[id] == nil && len(sender.peers) < maxPeers {
		sender.peers[id] = sender.startPeer(address)
	}
}

func (sender *Sender) startPeer(address string) *peer {
	ctx, cancel := context.WithCancel(sender.ctx)
	peer := &peer{address: address, queue: make(chan replicator.Message, maxQueuedMessages), cancel: cancel}
	go peer.run(ctx, sender.transport)
	return peer
}

// Send queues a message for its replica without blocking. The message is
// dropped if the replica is not a member or its queue is full.
func (sender *Sender) Send(message replicator.Message) {
	sender.mutex.Lock()
	peer := sender.peers[message.To]
	sender.mutex.Unlock()
	if peer == nil {
		return
	}
	select {
	case peer.queue <- message:
	default:
	}
}

func (peer *peer) run(ctx context.Context, transport credentials.TransportCredentials) {
	connection, err := Dial(peer.address, transport)
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	client := ReplicaClient{Connection: connection}
	for ctx.Err() == nil {
		peer.stream(ctx, client)
		peer.drain()
		select {
		case <-ctx.Done():
		case <-time.After(streamRetryDelay):
		}
	}
}

// stream sends queued messages until the stream fails.
func (peer *peer) stream(ctx context.Context, client ReplicaClient) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := client.Exchange(ctx)
	if err != nil {
		return
	}
	for {
		select {
		case <-stream.Context().Done():
			return
		case message := <-peer.queue:
			if err := stream.SendMsg(&message); err != nil {
				return
			}
		}
	}
}

// drain discards the messages queued while no stream was open; they are stale.
func (peer *peer) drain() {
	for {
		select {
		case <-peer.queue:
		default:
			return
		}
	}
}
