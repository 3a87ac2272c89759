// Package dispatcher owns the delivery of orders from the leader to the workers
// by way of the entries: it tracks the attached entries and passes each order
// to one of them.
//
// Delivery is best effort. The worker's next heartbeat shows that an order is
// missing, and the leader repeats it in the answer. So pushing never blocks, and
// an order for an entry whose queue is full is dropped.
package dispatcher

import (
	"context"
	"sync"

	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// maxQueuedOrders is the maximum number of orders queued for one entry.
const maxQueuedOrders = 4096

// Dispatcher passes orders to attached entries. It is safe for concurrent use.
type Dispatcher struct {
	mutex       sync.Mutex
	subscribers []*subscriber
	// roundRobin is the counter that distributes orders over the entries.
	roundRobin int
}

// subscriber is an attached entry with its queue of orders.
type subscriber struct {
	dataCentre modeller.DataCentreName
	queue      chan *messenger.Order
}

// New returns a dispatcher with no entry attached.
func New() *Dispatcher {
	return &Dispatcher{}
}

// Attach registers an entry in the data centre and passes orders to send until
// the context ends or send fails. It returns the context's or send's error.
func (dispatcher *Dispatcher) Attach(ctx context.Context, dataCentre modeller.DataCentreName, send func(*messenger.Order) error) error {
	subscriber := &subscriber{dataCentre: dataCentre, queue: make(chan *messenger.Order, maxQueuedOrders)}
	dispatcher.add(subscriber)
	defer dispatcher.remove(subscriber)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case order := <-subscriber.queue:
			if err := send(order); err != nil {
				return err
			}
		}
	}
}

func (dispatcher *Dispatcher) add(subscriber *subscriber) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.subscribers = append(dispatcher.subscribers, subscriber)
}

func (dispatcher *Dispatcher) remove(removed *subscriber) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	for index, subscriber := range dispatcher.subscribers {
		if subscriber == removed {
			dispatcher.subscribers = append(dispatcher.subscribers[:index:index], dispatcher.subscribers[index+1:]...)
			return
		}
	}
}

// Push queues an order for an entry, in the worker's data centre if one is
// attached there. It reports whether the order was queued; it was not if no
// entry is attached or the chosen entry's queue is full.
func (dispatcher *Dispatcher) Push(order *messenger.Order, dataCentre modeller.DataCentreName) bool {
	subscriber := dispatcher.chooseEntry(dataCentre)
	if subscriber == nil {
		return false
	}
	select {
	case subscriber.queue <- order:
		return true
	default:
		return false
	}
}

// PushAny queues an order for any entry, in round-robin order and regardless of
// its data centre. It is meant for repeats: the entry in the worker's data
// centre may be the one that lost the order.
func (dispatcher *Dispatcher) PushAny(order *messenger.Order, _ modeller.DataCentreName) bool {
	return dispatcher.Push(order, "")
}

// chooseEntry returns the next entry in round-robin order, from the data centre
// if one is attached there. It returns nil if none is attached.
func (dispatcher *Dispatcher) chooseEntry(dataCentre modeller.DataCentreName) *subscriber {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if len(dispatcher.subscribers) == 0 {
		return nil
	}
	dispatcher.roundRobin++
	for offset := range dispatcher.subscribers {
		subscriber := dispatcher.subscribers[(dispatcher.roundRobin+offset)%len(dispatcher.subscribers)]
		if subscriber.dataCentre == dataCentre {
			return subscriber
		}
	}
	return dispatcher.subscribers[dispatcher.roundRobin%len(dispatcher.subscribers)]
}
