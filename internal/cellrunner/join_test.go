package cellrunner_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/internal/cellrunner"
	"github.com/dotterelrill/dotterelrill/internal/launcher"
	"github.com/dotterelrill/dotterelrill/journaler"
	"github.com/dotterelrill/dotterelrill/messenger"
)

// hasMember reports whether a replica's cell has a member at the address.
func (replica *replica) hasMember(address string) bool {
	reply, err := replica.client.Query(context.Background(), &messenger.QueryRequest{Cell: "c", Members: true})
	if err != nil {
		return false
	}
	for _, row := range reply.Members {
		if row.Member.Address == address {
			return true
		}
	}
	return false
}

// awaitMember waits until the leader has added the member at the address.
func awaitMember(c *qt.C, leader *replica, address string) {
	for until := time.Now().Add(6 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if leader.hasMember(address) {
			return
		}
	}
	c.Fatal("the new replica was not added within 6 s")
}

// TestANewReplicaJoinsThroughAFollower starts a replica with an empty folder whose
// Bootstrap setting names a follower alone. A cell of five that loses a disk while one of
// the two replicas leads that Bootstrap doesn't name would otherwise stay at four, and
// lose its quorum with the next two disks.
func TestANewReplicaJoinsThroughAFollower(t *testing.T) {
	c := qt.New(t)
	leader := startReplica(c, t.TempDir(), 0, "")
	defer leader.stop()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := messenger.NewServer(nil)
	defer server.Stop()
	(&messenger.ReplicaServer{
		Identify: func(context.Context, *messenger.IdentifyRequest) (*messenger.IdentifyReply, error) {
			return &messenger.IdentifyReply{ID: "follower", Formed: true, Members: []journaler.Member{{ID: "leader", Address: leader.address, Voter: true}}}, nil
		},
		Join: func(context.Context, *messenger.JoinRequest) (*messenger.JoinReply, error) {
			refusal := coder.Refuse(coder.NotLeader, "this replica is not the leader")
			refusal.Leader = leader.address
			return &messenger.JoinReply{Refusal: refusal}, nil
		},
	}).Register(server)
	go func() { _ = server.Serve(listener) }()
	joining := startReplica(c, t.TempDir(), 0, listener.Addr().String())
	defer joining.stop()
	awaitMember(c, leader, joining.address)
}

// TestANewReplicaJoinsThroughARelay starts a replica with an empty folder whose Bootstrap
// setting names a relay alone.
func TestANewReplicaJoinsThroughARelay(t *testing.T) {
	c := qt.New(t)
	leader := startReplica(c, t.TempDir(), 0, "")
	defer leader.stop()
	addresses, err := launcher.FreeAddresses(1)
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	relay := &cellrunner.Relay{Settings: &cellrunner.Settings{Address: addresses[0]}, Leader: func() string { return leader.address }}
	go func() { _ = relay.Run(ctx) }()
	joining := startReplica(c, t.TempDir(), 0, addresses[0])
	defer joining.stop()
	awaitMember(c, leader, joining.address)
}

// TestANewReplicaJoinsBesideSeedsThatAreDown starts a replica with an empty folder, most of
// whose Bootstrap addresses accept connections and answer nothing.
func TestANewReplicaJoinsBesideSeedsThatAreDown(t *testing.T) {
	c := qt.New(t)
	leader := startReplica(c, t.TempDir(), 0, "")
	defer leader.stop()
	var seeds []string
	for range 7 {
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		defer func() { _ = listener.Close() }()
		seeds = append(seeds, listener.Addr().String())
	}
	joining := startReplica(c, t.TempDir(), 0, strings.Join(append(seeds, leader.address), ","))
	defer joining.stop()
	awaitMember(c, leader, joining.address)
}

func TestAReplicaStoppedWhileItAsksTheSeedsFormsNoCell(t *testing.T) {
	c := qt.New(t)
	cell := newDiskCell(c, 3, 3)
	for _, silent := range cell.replicas[1:] {
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", silent.address)
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = listener.Close() })
	}
	stop := cell.startReplica(0)
	time.Sleep(400 * time.Millisecond)
	stop()
	stop = cell.startReplica(0)
	defer stop()
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		c.Assert(cell.replicas[0].ready(), qt.IsFalse, qt.Commentf("it leads a cell of its own"))
	}
}
