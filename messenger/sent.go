package messenger

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// Sent records whether the request of a call was written to a connection. If it
// was not, the other process cannot have received it; if it was, the other
// process may have, even if the call returned an error.
type Sent struct {
	happened atomic.Bool
}

type sentKey struct{}

// TrackSent returns a context for one call, and the Sent that records whether
// the call's request is sent.
func TrackSent(ctx context.Context) (context.Context, *Sent) {
	sent := &Sent{}
	return context.WithValue(ctx, sentKey{}, sent), sent
}

// Happened reports whether the request was sent, by gRPC's first try or a retry.
func (sent *Sent) Happened() bool { return sent.happened.Load() }

// sentStatsHandler is the client's stats handler. The transport calls it, in the
// goroutine of the call, for each message put on a connection's write queue.
type sentStatsHandler struct{}

// TagRPC implements stats.Handler.
func (sentStatsHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (sentStatsHandler) HandleRPC(ctx context.Context, event stats.RPCStats) {
	if _, ok := event.(*stats.OutPayload); !ok {
		return
	}
	if sent, ok := ctx.Value(sentKey{}).(*Sent); ok {
		sent.happened.Store(true)
	}
}

// TagConn implements stats.Handler.
func (sentStatsHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn implements stats.Handler.
func (sentStatsHandler) HandleConn(context.Context, stats.ConnStats) {}
