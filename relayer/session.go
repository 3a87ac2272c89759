package relayer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelrill/dotterelrill/forecaster"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/messenger"
)

const (
	// leaderRetryDelay is the delay between the loss of a leader and the search for
	// the next.
	leaderRetryDelay = 100 * time.Millisecond
	// leaderTimeout is how long a leader may send no message: three of its heartbeat
	// intervals and a short delay.
	leaderTimeout = 800 * time.Millisecond
	// maxElectionWait is how long after the loss of a leader a request waits for
	// the next one. It covers the longest election timeout, 900 ms with default
	// settings, the votes and the new leader's first commit. After that an election
	// may take long, so the client is told to retry later.
	maxElectionWait = 1200 * time.Millisecond
	// minLeaderWait is how long a request waits at least, since there may be a
	// leader that this process has not found yet.
	minLeaderWait = 300 * time.Millisecond
)

// session is a period in which this process follows one leader.
type session struct {
	client messenger.CellClient
	// ctx ends when the leader is lost.
	ctx context.Context
	// forecast is what the leader refuses beyond doubt; nil before it has sent it.
	forecast atomic.Pointer[forecast]
}

// forecast is a notice of the leader's forecast.
type forecast struct {
	forecaster.Notice
	// until is when the notice becomes stale, on the clock of bootTime.
	until time.Duration
}

// beginSession makes the leader available to waiting requests. The returned function
// ends the session.
func (relayer *Relayer) beginSession(ctx context.Context, client messenger.CellClient) (*session, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	session := &session{client: client, ctx: ctx}
	relayer.session = session
	close(relayer.sessionBegun)
	return session, sync.OnceFunc(func() {
		relayer.mutex.Lock()
		defer relayer.mutex.Unlock()
		cancel()
		relayer.session, relayer.lostAt, relayer.sessionBegun = nil, time.Now(), make(chan struct{})
	})
}

// awaitSession returns the current session, or waits for one. An impatient request
// waits until maxElectionWait after the loss of the leader: it thus waits for the
// end of a usual election, but is refused soon while the cell cannot elect a leader.
// Any other waits until the context ends. It returns nil if there is no session by
// then.
func (relayer *Relayer) awaitSession(ctx context.Context, impatient bool) *session {
	relayer.mutex.Lock()
	session, begun, lostAt := relayer.session, relayer.sessionBegun, relayer.lostAt
	relayer.mutex.Unlock()
	if session != nil {
		return session
	}
	if impatient {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, max(minLeaderWait, time.Until(lostAt.Add(maxElectionWait))))
		defer cancel()
	}
	select {
	case <-ctx.Done():
	case <-begun:
	}
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	return relayer.session
}

// Run follows whichever replica leads and answers its inquiries, until the context
// ends.
func (relayer *Relayer) Run(ctx context.Context) {
	go relayer.heartbeats.Run(ctx)
	for ctx.Err() == nil {
		client, err := relayer.config.Locator.Leader(ctx, relayer.config.Cell)
		if err == nil {
			logger.Info(relayer.config.Logger, "leader found")
			err = relayer.followLeader(ctx, client)
		}
		if err != nil && ctx.Err() == nil {
			logger.Warn(relayer.config.Logger, "leader lost", "Error", err.Error())
		}
		select {
		case <-ctx.Done():
		case <-time.After(leaderRetryDelay):
		}
	}
}

// followLeader receives the leader's messages until the stream ends: inquiries, and
// the addresses of the replicas. It abandons a leader that sends nothing for
// leaderTimeout, since a network cut or a frozen process breaks no connection.
func (relayer *Relayer) followLeader(ctx context.Context, client messenger.CellClient) error {
	session, end := relayer.beginSession(ctx, client)
	defer end()
	requestedAt := relayer.config.Clock()
	inactivityTimer := time.AfterFunc(leaderTimeout, func() {
		relayer.config.Locator.MarkUnresponsive(client)
		end()
	})
	defer inactivityTimer.Stop()
	request := &messenger.InquiriesRequest{Cell: relayer.config.Cell, Entry: relayer.config.Name, Listens: relayer.config.Ask == nil}
	return client.Inquiries(session.ctx, request, func(message *messenger.InquiryMessage) error {
		inactivityTimer.Reset(leaderTimeout)
		if len(message.Replicas) > 0 {
			relayer.config.Locator.SetAddresses(message.Replicas)
		}
		if len(message.Forecast) > 0 {
			relayer.keepForecast(session, message, requestedAt)
		}
		if len(message.Inquiry.Workers) > 0 && relayer.config.Ask != nil {
			go relayer.answerInquiry(ctx, &message.Inquiry)
		}
		return nil
	})
}
