package messenger

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

// Limits of a gRPC connection. The reconnect backoff is short because a killed
// leader restarts or is replaced within a second or two.
const (
	maxMessageBytes       = 16 << 20
	initialReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay     = time.Second
	connectTimeout        = time.Second
	keepaliveTime         = 10 * time.Second
	keepaliveTimeout      = 2 * time.Second
)

// Dial returns a connection to another dotterelrill process. The connection is
// established in the background; calls fail until it is ready. A nil transport
// means no TLS.
func Dial(address string, transport credentials.TransportCredentials) (*grpc.ClientConn, error) {
	if transport == nil {
		transport = insecure.NewCredentials()
	}
	connection, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(transport),
		grpc.WithDefaultCallOptions(
			grpc.CallContentSubtype(codecName),
			grpc.MaxCallRecvMsgSize(maxMessageBytes),
			grpc.MaxCallSendMsgSize(maxMessageBytes),
		),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: initialReconnectDelay, Multiplier: 2, Jitter: 0.2, MaxDelay: maxReconnectDelay},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithIdleTimeout(0),
		grpc.WithStatsHandler(sentStatsHandler{}),
	)
	return connection, eris.Wrapf(err, "dial %s", address)
}

// NewServer returns a gRPC server for the internal protocol. A nil transport
// means no TLS.
func NewServer(transport credentials.TransportCredentials) *grpc.Server {
	if transport == nil {
		transport = insecure.NewCredentials()
	}
	return grpc.NewServer(
		grpc.Creds(transport),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
	)
}

// call makes a unary call of the method, which is a full gRPC method name.
func call[Request, Reply any](ctx context.Context, connection *grpc.ClientConn, method string, request *Request) (*Reply, error) {
	reply := new(Reply)
	if err := connection.Invoke(ctx, method, request, reply); err != nil {
		return nil, eris.Wrapf(err, "call %s", method)
	}
	return reply, nil
}

// receive opens a server stream and passes each message to visit until the
// stream or visit fails.
func receive[Request, Reply any](ctx context.Context, connection *grpc.ClientConn, method string, request *Request, visit func(*Reply) error) error {
	stream, err := connection.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true}, method)
	if err != nil {
		return eris.Wrapf(err, "open %s", method)
	}
	if err := stream.SendMsg(request); err != nil {
		return eris.Wrapf(err, "send the request of %s", method)
	}
	if err := stream.CloseSend(); err != nil {
		return eris.Wrapf(err, "close the request of %s", method)
	}
	for {
		reply := new(Reply)
		if err := stream.RecvMsg(reply); err != nil {
			return eris.Wrapf(err, "receive %s", method)
		}
		if err := visit(reply); err != nil {
			return err
		}
	}
}

// CellClient calls the Cell service of one replica.
type CellClient struct {
	// Connection is owned by the creator of the client, who closes it.
	Connection *grpc.ClientConn
}

// Propose calls the Propose method of the Cell service.
func (client CellClient) Propose(ctx context.Context, request *ProposeRequest) (*ProposeReply, error) {
	return call[ProposeRequest, ProposeReply](ctx, client.Connection, "/"+cellService+"/Propose", request)
}

// Beat calls the Beat method of the Cell service.
func (client CellClient) Beat(ctx context.Context, request *HeartbeatRequest) (*HeartbeatReply, error) {
	return call[HeartbeatRequest, HeartbeatReply](ctx, client.Connection, "/"+cellService+"/Beat", request)
}

// Report calls the Report method of the Cell service.
func (client CellClient) Report(ctx context.Context, request *ReportRequest) (*ReportReply, error) {
	return call[ReportRequest, ReportReply](ctx, client.Connection, "/"+cellService+"/Report", request)
}

// Job calls the Job method of the Cell service.
func (client CellClient) Job(ctx context.Context, request *JobRequest) (*JobReply, error) {
	return call[JobRequest, JobReply](ctx, client.Connection, "/"+cellService+"/Job", request)
}

// Query calls the Query method of the Cell service.
func (client CellClient) Query(ctx context.Context, request *QueryRequest) (*QueryReply, error) {
	return call[QueryRequest, QueryReply](ctx, client.Connection, "/"+cellService+"/Query", request)
}

// Member calls the Member method of the Cell service.
func (client CellClient) Member(ctx context.Context, request *MemberRequest) (*JoinReply, error) {
	return call[MemberRequest, JoinReply](ctx, client.Connection, "/"+cellService+"/Member", request)
}

// Orders passes each order to visit until the stream ends or visit fails.
func (client CellClient) Orders(ctx context.Context, request *OrdersRequest, visit func(*Order) error) error {
	return receive(ctx, client.Connection, "/"+cellService+"/Orders", request, visit)
}

// Follow passes each configuration to visit until the stream ends or visit
// fails.
func (client CellClient) Follow(ctx context.Context, request *FollowRequest, visit func(*Configuration) error) error {
	return receive(ctx, client.Connection, "/"+cellService+"/Follow", request, visit)
}

// History passes each record to visit until the stream ends or visit fails.
func (client CellClient) History(ctx context.Context, request *HistoryRequest, visit func(*HistoryRecord) error) error {
	return receive(ctx, client.Connection, "/"+cellService+"/History", request, visit)
}

// ReplicaClient calls the Replica service of one replica from another.
type ReplicaClient struct {
	// Connection is owned by the creator of the client, who closes it.
	Connection *grpc.ClientConn
}

// Identify calls the Identify method of the Replica service.
func (client ReplicaClient) Identify(ctx context.Context, request *IdentifyRequest) (*IdentifyReply, error) {
	return call[IdentifyRequest, IdentifyReply](ctx, client.Connection, "/"+replicaService+"/Identify", request)
}

// Join calls the Join method of the Replica service.
func (client ReplicaClient) Join(ctx context.Context, request *JoinRequest) (*JoinReply, error) {
	return call[JoinRequest, JoinReply](ctx, client.Connection, "/"+replicaService+"/Join", request)
}

// Exchange opens a stream for replication messages.
func (client ReplicaClient) Exchange(ctx context.Context) (grpc.ClientStream, error) {
	stream, err := client.Connection.NewStream(ctx, &grpc.StreamDesc{ClientStreams: true}, "/"+replicaService+"/Exchange")
	return stream, eris.Wrap(err, "open the replication stream")
}
