package cellrunner

import (
	"cmp"
	"context"
	"net"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/replicator"
)

// Relay is, in place of a replica, a process on a VM without a disk. It tells
// replicas that form a cell that it is none of them, and whoever asks it for the
// leader where a replica is.
type Relay struct {
	// Settings are those of a replica; only the addresses count.
	Settings *Settings
	// Leader returns the address of the leader as far as this process knows, or
	// nothing.
	Leader func() string

	// replica is the address of the last replica that made itself known.
	replica atomic.Pointer[string]
}

// Run serves until the context ends.
func (relay *Relay) Run(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", cmp.Or(relay.Settings.ListenAddress, relay.Settings.Address))
	if err != nil {
		return eris.Wrap(err, "listen for replicas")
	}
	server := messenger.NewServer(nil)
	(&messenger.ReplicaServer{Step: func(replicator.Message) {}, Identify: relay.identify}).Register(server)
	relay.server().Register(server)
	defer context.AfterFunc(ctx, func() { stopServer(server) })()
	return server.Serve(listener)
}

// identify notes who asks: only replicas do.
func (relay *Relay) identify(_ context.Context, request *messenger.IdentifyRequest) (*messenger.IdentifyReply, error) {
	if request.Address != "" {
		relay.replica.Store(&request.Address)
	}
	return &messenger.IdentifyReply{Relay: true}, nil
}

// notLeader names a replica to ask instead.
func (relay *Relay) notLeader() *coder.Refusal {
	refusal := coder.Refuse(coder.NotLeader, "this process is no replica")
	refusal.Leader = relay.Leader()
	if known := relay.replica.Load(); refusal.Leader == "" && known != nil {
		refusal.Leader = *known
	}
	return refusal
}

// server refuses everything that a leader would decide.
func (relay *Relay) server() *messenger.CellServer {
	return &messenger.CellServer{
		Query: func(context.Context, *messenger.QueryRequest) (*messenger.QueryReply, error) {
			return &messenger.QueryReply{Refusal: relay.notLeader()}, nil
		},
		Staged: messenger.StagedServer{
			Submit:   refuseStaged[messenger.StagedSubmitRequest](relay),
			Job:      refuseStaged[messenger.StagedJobRequest](relay),
			Deploy:   refuseStaged[messenger.DeployRequest](relay),
			Announce: refuseStaged[messenger.AnnounceRequest](relay),
			Advise:   refuseStaged[messenger.AdviseRequest](relay),
			Deployed: func(context.Context, *messenger.DeployedRequest) (*messenger.DeployedReply, error) {
				return &messenger.DeployedReply{Refusal: relay.notLeader()}, nil
			},
			Wave: func(context.Context, *messenger.WaveRequest) (*messenger.WaveReply, error) {
				return &messenger.WaveReply{Refusal: relay.notLeader()}, nil
			},
		},
	}
}

func refuseStaged[Request any](relay *Relay) func(context.Context, *Request) (*messenger.StagedReply, error) {
	return func(context.Context, *Request) (*messenger.StagedReply, error) {
		return &messenger.StagedReply{Refusal: relay.notLeader()}, nil
	}
}
