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

// Relay runs on a VM without a disk in place of a replica. It tells replicas
// that form a cell not to count it as a member, and refuses all other calls
// with the address of the leader or of a replica.
type Relay struct {
	// Settings is the configuration of a replica, of which only Address and
	// ListenAddress are used.
	Settings *Settings
	// Leader returns the address of the leader, or the empty string if this process
	// does not know it.
	Leader func() string

	// announcedReplica is the address of the replica that announced itself last.
	announcedReplica atomic.Pointer[string]
}

// Run serves until ctx is done.
func (relay *Relay) Run(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", cmp.Or(relay.Settings.ListenAddress, relay.Settings.Address))
	if err != nil {
		return eris.Wrap(err, "listen for replicas")
	}
	server := messenger.NewServer(nil)
	(&messenger.ReplicaServer{Step: func(replicator.Message) {}, Identify: relay.identify}).Register(server)
	relay.cellServer().Register(server)
	defer context.AfterFunc(ctx, func() { stopServer(server) })()
	return server.Serve(listener)
}

// identify records the caller's address; only replicas call it.
func (relay *Relay) identify(_ context.Context, request *messenger.IdentifyRequest) (*messenger.IdentifyReply, error) {
	if request.Address != "" {
		relay.announcedReplica.Store(&request.Address)
	}
	return &messenger.IdentifyReply{Relay: true}, nil
}

// notLeader returns a NotLeader refusal with the address of the leader, or of a
// replica if the leader is unknown.
func (relay *Relay) notLeader() *coder.Refusal {
	refusal := coder.Refuse(coder.NotLeader, "this process is a relay, not a replica")
	refusal.Leader = relay.Leader()
	if known := relay.announcedReplica.Load(); refusal.Leader == "" && known != nil {
		refusal.Leader = *known
	}
	return refusal
}

// cellServer returns handlers that refuse every call.
func (relay *Relay) cellServer() *messenger.CellServer {
	return &messenger.CellServer{
		Query: func(context.Context, *messenger.QueryRequest) (*messenger.QueryReply, error) {
			return &messenger.QueryReply{Refusal: relay.notLeader()}, nil
		},
		Staged: messenger.StagedServer{
			Submit:   refuseStaged[messenger.StagedSubmitRequest](relay),
			Job:      refuseStaged[messenger.StagedJobRequest](relay),
			Deploy:   refuseStaged[messenger.DeployRequest](relay),
			Announce: refuseStaged[messenger.AnnounceRequest](relay),
			AnnounceAll: func(context.Context, *messenger.AnnounceAllRequest) (*messenger.AnnounceAllReply, error) {
				return &messenger.AnnounceAllReply{Refusal: relay.notLeader()}, nil
			},
			Advise: refuseStaged[messenger.AdviseRequest](relay),
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
