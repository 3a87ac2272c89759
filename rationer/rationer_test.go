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
