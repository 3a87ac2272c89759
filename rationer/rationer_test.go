package rationer_test

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelrill/dotterelrill/rationer"
)

func TestRationsFitTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		descriptors := rapid.IntRange(400, 100_000).Draw(t, "descriptors")
		ration := rationer.Divide(descriptors)
		if sum := ration.Inner + ration.Control + ration.Workers; sum > descriptors-300 {
			t.Fatalf("%d of %d descriptors are given away", sum, descriptors)
		}
		if ration.Workers < ration.Inner || ration.Workers < ration.Control {
			t.Fatalf("workers get less than others: %+v", ration)
		}
	})
}

// TestAFullListenerPausesAndGoesOn opens one connection more than the quota allows:
// it is served once another one closes, and the listener reports no error.
func TestAFullListenerPausesAndGoesOn(t *testing.T) {
	c := qt.New(t)
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	full := make(chan struct{}, 1)
	quota := rationer.NewQuota(2)
	quota.OnFull = func() {
		select {
		case full <- struct{}{}:
		default:
		}
	}
	listener := quota.Listener(inner)
	accepted := make(chan net.Conn)
	ended := make(chan error, 1)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				ended <- err
				return
			}
			accepted <- connection
		}
	}()
	for range 3 {
		dialled, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", inner.Addr().String())
		c.Assert(err, qt.IsNil)
		defer func() { _ = dialled.Close() }()
	}
	first := <-accepted
	<-accepted
	<-full
	select {
	case <-accepted:
		c.Fatal("a connection was accepted beyond the quota")
	case <-time.After(50 * time.Millisecond):
	}
	c.Assert(first.Close(), qt.IsNil)
	_ = first.Close()
	<-accepted
	c.Check(quota.Open(), qt.Equals, 2)
	c.Assert(listener.Close(), qt.IsNil)
	c.Check(<-ended, qt.ErrorIs, net.ErrClosed)
}

func TestADialerWaitsForASlot(t *testing.T) {
	c := qt.New(t)
	quota := rationer.NewQuota(1)
	dial := func(context.Context) (net.Conn, error) {
		near, _ := net.Pipe()
		return near, nil
	}
	first, err := quota.Dial(t.Context(), dial)
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = quota.Dial(ctx, dial)
	c.Check(err, qt.ErrorIs, context.DeadlineExceeded)
	c.Assert(first.Close(), qt.IsNil)
	second, err := quota.Dial(t.Context(), dial)
	c.Assert(err, qt.IsNil)
	c.Check(second.Close(), qt.IsNil)
	c.Check(quota.Open(), qt.Equals, 0)
	c.Check(quota.Waited.Load(), qt.Equals, int64(1))
}
