package cellrunner

import (
	"cmp"
	"context"
	"net"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/replicator"
)

// RunRelay serves, in place of a replica, a process on a VM without a disk until
// the context ends: it tells replicas that form a cell that it is none of them,
// and serves nothing else to them.
func RunRelay(ctx context.Context, settings *Settings) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", cmp.Or(settings.ListenAddress, settings.Address))
	if err != nil {
		return eris.Wrap(err, "listen for replicas")
	}
	server := messenger.NewServer(nil)
	identify := func(context.Context, *messenger.IdentifyRequest) (*messenger.IdentifyReply, error) {
		return &messenger.IdentifyReply{Relay: true}, nil
	}
	(&messenger.ReplicaServer{Step: func(replicator.Message) {}, Identify: identify}).Register(server)
	(&messenger.CellServer{}).Register(server)
	defer context.AfterFunc(ctx, func() { stopServer(server) })()
	return server.Serve(listener)
}
