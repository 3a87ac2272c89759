package cellrunner

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"

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

	mutex sync.Mutex
	// announced are the addresses of replicas that announced themselves, the last one
	// first.
	announced []string
}

// maxAnnounced is how many announced replicas a relay remembers: more than a cell has.
const maxAnnounced = 16

// Run serves until ctx is done.
func (relay *Relay) Run(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", cmp.Or(relay.Settings.ListenAddress, relay.Settings.Address))
	if err != nil {
		return eris.Wrap(err, "listen for replicas")
	}
	server := messenger.NewServer(nil)
	(&messenger.ReplicaServer{Step: func(string, replicator.Message) {}, Identify: relay.identify}).Register(server)
	relay.cellServer().Register(server)
	defer context.AfterFunc(ctx, func() { stopServer(server) })()
	return server.Serve(listener)
}

// identify records the address of a replica that announces itself, and replies with the
// replicas that are known. A new replica may know the addresses of relays alone.
func (relay *Relay) identify(_ context.Context, request *messenger.IdentifyRequest) (*messenger.IdentifyReply, error) {
	if request.Address != "" {
		relay.recordReplica(request.Address)
	}
	return &messenger.IdentifyReply{Relay: true, Known: relay.knownReplicas()}, nil
}

func (relay *Relay) recordReplica(address string) {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	others := slices.DeleteFunc(relay.announced, func(announced string) bool { return announced == address })
	relay.announced = slices.Insert(others, 0, address)
	relay.announced = relay.announced[:min(len(relay.announced), maxAnnounced)]
}

// knownReplicas returns the address of the leader, if it is known, and of the replicas
// that announced themselves.
func (relay *Relay) knownReplicas() []string {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	known := slices.Clone(relay.announced)
	if leader := relay.Leader(); leader != "" {
		known = slices.Insert(known, 0, leader)
	}
	return known
}

// notLeader returns a NotLeader refusal with the address of the leader, or of a
// replica if the leader is unknown.
func (relay *Relay) notLeader() *coder.Refusal {
	refusal := coder.Refuse(coder.NotLeader, "this process is a relay, not a replica")
	if known := relay.knownReplicas(); len(known) > 0 {
		refusal.Leader = known[0]
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
			Advise:   refuseStaged[messenger.AdviseRequest](relay),
			Evacuate: refuseStaged[messenger.EvacuateRequest](relay),
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
