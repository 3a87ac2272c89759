package relayer

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/messenger"
)

const (
	// forwardRetryDelay is the delay before a request is sent to the same leader
	// again, before jitter: while the leader takes over, and after a failed
	// connection.
	forwardRetryDelay = 50 * time.Millisecond
	// minRetryAfter and retryAfterSpread are the shortest delay after which a client
	// that found no leader is asked to return, and the span over which the returns
	// are spread.
	minRetryAfter    = 500 * time.Millisecond
	retryAfterSpread = time.Second
)

// forward calls a method of the leader and returns its reply, or a nil reply and the
// refusal. The refusal function extracts the refusal from a reply.
//
// After the leader is lost, the requests of all clients and workers wait at the same
// time. They wait here for the session that Run begins, and are sent to no other
// replica meanwhile: a search costs the cell a few calls for each process, however
// many requests wait. A request is sent again only once the session in which it was
// sent has ended, so that a slow leader does not get it twice.
//
// A refusal of a later try tells nothing about an earlier one that may have reached the
// log: a key or queue may have been removed in between. Such a refusal is returned as
// Unknown. If markResent is not nil, it marks the request before such a later try, so that
// the leader can look up what became of the earlier one.
func forward[Request, Reply any](ctx context.Context, relayer *Relayer, impatient bool,
	method func(messenger.CellClient, context.Context, *Request) (*Reply, error), refusal func(*Reply) *coder.Refusal, request *Request, markResent func(*Request),
) (*Reply, *coder.Refusal) {
	// maybeLogged is true once a try may have reached the log.
	maybeLogged := false
	for {
		session := relayer.awaitSession(ctx, impatient)
		if session == nil {
			return nil, undecidedRefusal(maybeLogged)
		}
		if maybeLogged && markResent != nil {
			markResent(request)
		}
		reply, sent, err := callInSession(ctx, session, method, request)
		switch {
		case err != nil:
			maybeLogged = maybeLogged || sent && status.Code(err) != codes.Unimplemented
		case refusal(reply) == nil:
			return reply, nil
		case refusal(reply).Code == coder.Unknown:
			maybeLogged = true
		case refusal(reply).Code != coder.NotLeader && refusal(reply).Code != coder.ShuttingDown:
			return nil, resolveRefusal(refusal(reply), maybeLogged)
		}
		if !pause(ctx, session) {
			return nil, undecidedRefusal(maybeLogged)
		}
	}
}

// callInSession makes one call, which ends with the session. It reports whether the
// request was sent.
func callInSession[Request, Reply any](ctx context.Context, session *session,
	method func(messenger.CellClient, context.Context, *Request) (*Reply, error), request *Request,
) (*Reply, bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(session.ctx, cancel)()
	ctx, sent := messenger.TrackSent(ctx)
	reply, err := method(session.client, ctx, request)
	return reply, sent.Happened(), err
}

// pause waits between two tries, until forwardRetryDelay with jitter has passed or
// the session has ended. It returns false if the context ends first.
func pause(ctx context.Context, session *session) bool {
	select {
	case <-ctx.Done():
		return false
	case <-session.ctx.Done():
	case <-time.After(forwardRetryDelay/2 + rand.N(forwardRetryDelay)):
	}
	return ctx.Err() == nil
}

// resolveRefusal returns the leader's refusal, or Unknown if an earlier try may have been
// accepted in spite of it.
func resolveRefusal(refusal *coder.Refusal, maybeLogged bool) *coder.Refusal {
	if maybeLogged && !refusal.Code.HoldsForEarlierTries() {
		return undecidedRefusal(true)
	}
	return refusal
}

// undecidedRefusal returns the refusal of a request that the leader did not decide:
// Unknown if a try may have reached the log, NotServing if none has.
func undecidedRefusal(maybeLogged bool) *coder.Refusal {
	if maybeLogged {
		return coder.Refuse(coder.Unknown, "no reply before the deadline; retry with the same RequestID")
	}
	refusal := coder.Refuse(coder.NotServing, "no leader was found that could accept the request")
	refusal.RetryAfter = minRetryAfter + rand.N(retryAfterSpread)
	refusal.NotProposed = true
	return refusal
}
