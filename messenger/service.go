package messenger

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"github.com/dotterelrill/dotterelrill/replicator"
)

// The names of the gRPC services.
const (
	replicaService = "dotterelrill.Replica"
	cellService    = "dotterelrill.Cell"
)

// ReplicaServer holds the functions of the Replica service, which replicas call
// on each other.
type ReplicaServer struct {
	// Step handles a replication message of the replica at the address, which is empty
	// if the replica did not tell it; Step must not block.
	Step     func(address string, message replicator.Message)
	Identify func(ctx context.Context, request *IdentifyRequest) (*IdentifyReply, error)
	Join     func(ctx context.Context, request *JoinRequest) (*JoinReply, error)
}

// CellServer holds the functions of the Cell service, which entries call on
// replicas. A nil function makes its method Unimplemented.
type CellServer struct {
	Propose func(ctx context.Context, request *ProposeRequest) (*ProposeReply, error)
	Beat    func(ctx context.Context, request *HeartbeatRequest) (*HeartbeatReply, error)
	Report  func(ctx context.Context, request *ReportRequest) (*ReportReply, error)
	Job     func(ctx context.Context, request *JobRequest) (*JobReply, error)
	Query   func(ctx context.Context, request *QueryRequest) (*QueryReply, error)
	Member  func(ctx context.Context, request *MemberRequest) (*JoinReply, error)
	// Staged holds the methods for staged jobs.
	Staged StagedServer
	// Orders sends orders until the context or the replica's leadership ends.
	Orders func(ctx context.Context, request *OrdersRequest, send func(*Order) error) error
	// Follow sends configurations in order of revision.
	Follow func(ctx context.Context, request *FollowRequest, send func(*Configuration) error) error
	// History sends records in log order.
	History func(ctx context.Context, request *HistoryRequest, send func(*HistoryRecord) error) error
}

// Register adds the Replica service to a gRPC server.
func (server *ReplicaServer) Register(registrar grpc.ServiceRegistrar) {
	registrar.RegisterService(&replicaDesc, server)
}

// Register adds the Cell service to a gRPC server.
func (server *CellServer) Register(registrar grpc.ServiceRegistrar) {
	registrar.RegisterService(&cellDesc, server)
}

var replicaDesc = grpc.ServiceDesc{
	ServiceName: replicaService,
	HandlerType: (*any)(nil),
	Methods: []grpc.MethodDesc{
		unary("Identify", func(server *ReplicaServer) unaryMethod[IdentifyRequest, IdentifyReply] { return server.Identify }),
		unary("Join", func(server *ReplicaServer) unaryMethod[JoinRequest, JoinReply] { return server.Join }),
	},
	Streams: []grpc.StreamDesc{{StreamName: "Exchange", ClientStreams: true, Handler: exchange}},
}

var cellDesc = grpc.ServiceDesc{
	ServiceName: cellService,
	HandlerType: (*any)(nil),
	Methods: []grpc.MethodDesc{
		unary("Propose", func(server *CellServer) unaryMethod[ProposeRequest, ProposeReply] { return server.Propose }),
		unary("Beat", func(server *CellServer) unaryMethod[HeartbeatRequest, HeartbeatReply] { return server.Beat }),
		unary("Report", func(server *CellServer) unaryMethod[ReportRequest, ReportReply] { return server.Report }),
		unary("Job", func(server *CellServer) unaryMethod[JobRequest, JobReply] { return server.Job }),
		unary("Query", func(server *CellServer) unaryMethod[QueryRequest, QueryReply] { return server.Query }),
		unary("Member", func(server *CellServer) unaryMethod[MemberRequest, JoinReply] { return server.Member }),
		unary("StagedSubmit", func(server *CellServer) unaryMethod[StagedSubmitRequest, StagedReply] { return server.Staged.Submit }),
		unary("StagedJob", func(server *CellServer) unaryMethod[StagedJobRequest, StagedReply] { return server.Staged.Job }),
		unary("Deploy", func(server *CellServer) unaryMethod[DeployRequest, StagedReply] { return server.Staged.Deploy }),
		unary("Deployed", func(server *CellServer) unaryMethod[DeployedRequest, DeployedReply] { return server.Staged.Deployed }),
		unary("Announce", func(server *CellServer) unaryMethod[AnnounceRequest, StagedReply] { return server.Staged.Announce }),
		unary("AnnounceAll", func(server *CellServer) unaryMethod[AnnounceAllRequest, AnnounceAllReply] {
			return server.Staged.AnnounceAll
		}),
		unary("Advise", func(server *CellServer) unaryMethod[AdviseRequest, StagedReply] { return server.Staged.Advise }),
		unary("Wave", func(server *CellServer) unaryMethod[WaveRequest, WaveReply] { return server.Staged.Wave }),
		unary("Evacuate", func(server *CellServer) unaryMethod[EvacuateRequest, StagedReply] { return server.Staged.Evacuate }),
	},
	Streams: []grpc.StreamDesc{
		serverStream("Inquiries", func(server *CellServer) streamMethod[InquiriesRequest, InquiryMessage] {
			return server.Staged.Inquiries
		}),
		serverStream("Orders", func(server *CellServer) streamMethod[OrdersRequest, Order] { return server.Orders }),
		serverStream("Follow", func(server *CellServer) streamMethod[FollowRequest, Configuration] { return server.Follow }),
		serverStream("History", func(server *CellServer) streamMethod[HistoryRequest, HistoryRecord] { return server.History }),
	},
}

// unaryMethod and streamMethod are the functions of the servers' methods.
type (
	unaryMethod[Request, Reply any]  func(context.Context, *Request) (*Reply, error)
	streamMethod[Request, Reply any] func(context.Context, *Request, func(*Reply) error) error
)

// unary describes a method with one request and one reply.
func unary[Server, Request, Reply any](name string, selectMethod func(*Server) unaryMethod[Request, Reply]) grpc.MethodDesc {
	handle := func(server any, ctx context.Context, decode func(any) error, intercept grpc.UnaryServerInterceptor) (any, error) {
		request := new(Request)
		if err := decode(request); err != nil {
			return nil, err
		}
		method := selectMethod(server.(*Server))
		if method == nil {
			return nil, status.Errorf(codes.Unimplemented, "this process does not serve %s", name)
		}
		if intercept == nil {
			return method(ctx, request)
		}
		info := &grpc.UnaryServerInfo{Server: server, FullMethod: name}
		return intercept(ctx, request, info, func(ctx context.Context, request any) (any, error) {
			return method(ctx, request.(*Request))
		})
	}
	return grpc.MethodDesc{MethodName: name, Handler: handle}
}

// serverStream describes a method with one request and many replies.
func serverStream[Server, Request, Reply any](name string, selectMethod func(*Server) streamMethod[Request, Reply]) grpc.StreamDesc {
	handle := func(server any, stream grpc.ServerStream) error {
		request := new(Request)
		if err := stream.RecvMsg(request); err != nil {
			return err
		}
		send := func(reply *Reply) error { return stream.SendMsg(reply) }
		method := selectMethod(server.(*Server))
		if method == nil {
			return status.Errorf(codes.Unimplemented, "this process does not serve %s", name)
		}
		return method(stream.Context(), request, send)
	}
	return grpc.StreamDesc{StreamName: name, ServerStreams: true, Handler: handle}
}

// exchange passes replication messages from another replica, and its address, to Step.
func exchange(server any, stream grpc.ServerStream) error {
	replica := server.(*ReplicaServer)
	address := ""
	if values := metadata.ValueFromIncomingContext(stream.Context(), addressKey); len(values) > 0 {
		address = values[0]
	}
	for {
		var message replicator.Message
		if err := stream.RecvMsg(&message); err != nil {
			return err
		}
		replica.Step(address, message)
	}
}
