package entryrunner

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

const (
	sessionRetryDelay = 100 * time.Millisecond
	// maxConfigurationAge is the time since the last confirmation after which
	// the configuration is stale. The leader confirms it more than twice in that
	// time, so an unconfirmed configuration also means that the leader is
	// unreachable.
	maxConfigurationAge = 1500 * time.Millisecond
)

// configurationCurrent reports whether the leader has confirmed the
// configuration within maxConfigurationAge.
//
// An entry stores nothing across restarts, yet never returns to an older
// revision: it serves only what a leader sends on a stream that this process
// opened. A leader accepts the stream only while its lease is valid, and reads
// its state after that. So the state includes everything committed before the
// process started, and with it every revision that any earlier process served.
func (runner *Runner) configurationCurrent() bool {
	if runner.configuration.Load() == nil {
		return false
	}
	return time.Since(runner.startedAt)-time.Duration(runner.confirmedAt.Load()) < maxConfigurationAge
}

// runSessions keeps a session with the current leader until the context ends.
func (runner *Runner) runSessions(ctx context.Context) {
	slots := make(chan struct{}, maxOrdersInFlight)
	for ctx.Err() == nil {
		client, err := runner.locator.Leader(ctx, runner.cellName())
		if err == nil {
			err = runner.runSession(ctx, client, slots)
		}
		if err != nil && ctx.Err() == nil {
			logger.Warn(runner.logger, "session with the leader ended", "Error", err.Error())
		}
		select {
		case <-ctx.Done():
		case <-time.After(sessionRetryDelay):
		}
	}
}

// runSession follows the leader's configuration and receives its orders until
// either stream fails. It also ends if the leader is unresponsive, since a
// network partition does not close a connection.
func (runner *Runner) runSession(ctx context.Context, client messenger.CellClient, slots chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var orders sync.WaitGroup
	orders.Go(func() {
		defer cancel()
		if err := runner.receiveOrders(ctx, client, slots); err != nil && ctx.Err() == nil {
			logger.Warn(runner.logger, "order stream ended", "Error", err.Error())
		}
	})
	defer orders.Wait()
	defer cancel()
	return runner.follow(ctx, cancel, client)
}

// follow applies configuration updates until the stream fails or the leader has
// sent none for maxConfigurationAge. It then marks the leader unresponsive and
// cancels the session.
func (runner *Runner) follow(ctx context.Context, cancel context.CancelFunc, client messenger.CellClient) error {
	unresponsiveTimer := time.AfterFunc(maxConfigurationAge, func() {
		runner.locator.MarkUnresponsive(client)
		cancel()
	})
	defer unresponsiveTimer.Stop()
	request := &messenger.FollowRequest{Cell: runner.cellName(), Entry: runner.settings.Name}
	if known := runner.configuration.Load(); known != nil {
		request.Known = known.Revision
	}
	return client.Follow(ctx, request, func(update *messenger.Configuration) error {
		unresponsiveTimer.Reset(maxConfigurationAge)
		return runner.applyUpdate(update)
	})
}

// applyUpdate applies a configuration update, unless it is older than the
// configuration in force. It returns an error if changes before the update are
// missing; the session then ends and a new one starts from the known revision.
func (runner *Runner) applyUpdate(update *messenger.Configuration) error {
	current := runner.configuration.Load()
	if current != nil && update.Revision < current.Revision {
		logger.Warn(runner.logger, "ignored an older configuration", "Revision", update.Revision, "InForce", current.Revision)
		return nil
	}
	if len(update.Members) > 0 {
		merged := current.Merge(update)
		if merged == nil {
			return eris.Errorf("configuration update skips the changes before revision %d", update.Since)
		}
		runner.configuration.Store(merged)
		runner.updateReplicaAddresses(update)
		if current == nil || update.Revision > current.Revision {
			logger.Info(runner.logger, "configuration in force", "Revision", update.Revision)
		}
	}
	runner.confirmedAt.Store(int64(time.Since(runner.startedAt)))
	return nil
}

func (runner *Runner) updateReplicaAddresses(update *messenger.Configuration) {
	addresses := make([]string, 0, len(update.Members))
	for _, member := range update.Members {
		addresses = append(addresses, member.Address)
	}
	runner.locator.SetAddresses(addresses)
}

// maxOrdersInFlight is the maximum number of orders that an entry delivers
// concurrently.
const maxOrdersInFlight = 256

// receiveOrders receives the leader's orders and delivers each in a goroutine of
// its own. A slot is held until the delivery ends.
func (runner *Runner) receiveOrders(ctx context.Context, client messenger.CellClient, slots chan struct{}) error {
	request := &messenger.OrdersRequest{Cell: runner.cellName(), Entry: runner.settings.Name, DataCentre: modeller.DataCentreName(runner.settings.DataCentre)}
	return client.Orders(ctx, request, func(order *messenger.Order) error {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			runner.deliver(order)
		}()
		return nil
	})
}

// deliver sends an order to its worker, even if the session that it came from
// has ended.
func (runner *Runner) deliver(order *messenger.Order) {
	if err := runner.workers.Send(context.Background(), order); err != nil {
		runner.metrics.ordersFailed.Inc()
		logger.Warn(runner.logger, "order not delivered", "Worker", order.Worker, "Error", err.Error())
		return
	}
	runner.metrics.ordersDelivered.Inc()
	if order.Start != nil {
		logger.Info(runner.logger, "order delivered", "Worker", order.Worker, "Task", order.Start.Task, "Attempt", order.Start.Attempt)
	}
}
