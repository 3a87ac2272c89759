package leaser_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/leaser"
	"github.com/dotterelrill/dotterelrill/modeller"
)

func newLeaser(now *time.Duration) *leaser.Leaser {
	return leaser.New(leaser.Config{
		Term: term, DriftDivisor: 20, Fresh: term / 2, MaxDelay: maxDelay, Clock: func() time.Duration { return *now },
	})
}

func TestNewLeaderWaitsForTheLongestPossibleLease(t *testing.T) {
	c := quicktest.New(t)
	now := time.Hour
	leases := newLeaser(&now)
	now += 1350 * time.Millisecond
	c.Assert(leases.Expire("w", 1), quicktest.IsFalse)
	now += time.Millisecond
	c.Assert(leases.Expire("w", 1), quicktest.IsTrue)
	_, ok := leases.Renew("w", 1, 5)
	c.Assert(ok, quicktest.IsFalse)
	leases.Register("w", 1)
	deadline, ok := leases.Renew("w", 1, 5)
	c.Assert(ok, quicktest.IsTrue)
	c.Assert(deadline, quicktest.Equals, modeller.Millis(1005))
}

func TestSupersededIncarnationIsNeitherRenewedNorFresh(t *testing.T) {
	c := quicktest.New(t)
	now := time.Hour
	leases := newLeaser(&now)
	_, ok := leases.Renew("w", 1, 5)
	c.Assert(ok, quicktest.IsTrue)
	c.Assert(leases.Fresh("w", 1), quicktest.IsTrue)
	leases.Supersede("w", 1)
	c.Assert(leases.Fresh("w", 1), quicktest.IsFalse)
	_, ok = leases.Renew("w", 1, 6)
	c.Assert(ok, quicktest.IsFalse)
	_, ok = leases.Deadline("w", 1)
	c.Assert(ok, quicktest.IsFalse)
	now += 1051 * time.Millisecond
	c.Assert(leases.Expire("w", 1), quicktest.IsTrue)
}

func TestClocklessWorkerGetsTheRemainingTerm(t *testing.T) {
	c := quicktest.New(t)
	now := time.Hour
	leases := newLeaser(&now)
	span, ok := leases.RenewClockless("w", 1)
	c.Assert(ok, quicktest.IsTrue)
	c.Assert(span, quicktest.Equals, modeller.Millis(1000))
	now += 400 * time.Millisecond
	remaining, ok := leases.Remaining("w", 1)
	c.Assert(ok, quicktest.IsTrue)
	c.Assert(remaining, quicktest.Equals, modeller.Millis(600))
	_, ok = leases.Deadline("w", 1)
	c.Assert(ok, quicktest.IsFalse)
	now += 100 * time.Millisecond
	_, ok = leases.Remaining("w", 1)
	c.Assert(ok, quicktest.IsFalse)
	now += 850 * time.Millisecond
	c.Assert(leases.Expire("w", 1), quicktest.IsFalse)
	now += time.Millisecond
	c.Assert(leases.Expire("w", 1), quicktest.IsTrue)
}

func TestPausedHolderDetectsItsExpiredLease(t *testing.T) {
	c := quicktest.New(t)
	now := modeller.Millis(0)
	holder := &leaser.Holder{Clock: func() modeller.Millis { return now }}
	c.Assert(holder.Renew(1000), quicktest.IsFalse)
	c.Assert(holder.Valid(), quicktest.IsTrue)
	now = 999
	c.Assert(holder.Renew(1500), quicktest.IsTrue)
	now = 9000
	c.Assert(holder.Valid(), quicktest.IsFalse)
	c.Assert(holder.Admits(9000), quicktest.IsFalse)
	c.Assert(holder.Renew(9500), quicktest.IsFalse)
	c.Assert(holder.Valid(), quicktest.IsTrue)
}
