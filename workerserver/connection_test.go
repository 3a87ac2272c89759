package workerserver_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/certifier"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/workerserver"
)

// gauge counts a worker's open connections and records their peak.
type gauge struct {
	mutex sync.Mutex
	open  map[net.Conn]bool
	peak  int
}

func (gauge *gauge) watch(connection net.Conn, state http.ConnState) {
	gauge.mutex.Lock()
	defer gauge.mutex.Unlock()
	if state == http.StateNew {
		gauge.open[connection] = true
	}
	if state == http.StateClosed {
		delete(gauge.open, connection)
	}
	gauge.peak = max(gauge.peak, len(gauge.open))
}

// The defaults of the settings: 12 entries share the 60 connections that a
// worker accepts.
const (
	entryCount     = 12
	maxConnections = 60
	ordersPerEntry = 20
)

// Guards against entries that together open more connections than a worker
// accepts when each has many orders for it in flight.
func TestEntriesTogetherRespectWorkerConnectionLimit(t *testing.T) {
	c := qt.New(t)
	gauge := &gauge{open: map[net.Conn]bool{}}
	worker := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(5 * time.Millisecond) }))
	worker.Config.ConnState = gauge.watch
	worker.Start()
	defer worker.Close()
	certifier := certifier.New(certifier.Config{})
	c.Assert(certifier.Load(), qt.IsNil)
	var group sync.WaitGroup
	for range entryCount {
		client := workerserver.NewClient(maxConnections/entryCount, certifier)
		for range ordersPerEntry {
			group.Go(func() {
				order := &messenger.Order{Address: worker.Listener.Addr().String(), Stop: &messenger.AttemptKey{Task: modeller.TaskID{Job: 1}, Attempt: 1}}
				c.Check(client.Send(context.Background(), order), qt.IsNil)
			})
		}
	}
	group.Wait()
	gauge.mutex.Lock()
	defer gauge.mutex.Unlock()
	c.Assert(gauge.peak <= maxConnections, qt.IsTrue, qt.Commentf("peak of %d connections", gauge.peak))
	c.Assert(gauge.peak > entryCount, qt.IsTrue, qt.Commentf("peak of %d connections is too low to test the limit", gauge.peak))
}
