package leaser

import "github.com/dotterelrill/dotterelrill/modeller"

// Holder is the worker's side of its lease. It is not safe for concurrent use;
// the caller must guard it by the same lock as the attempts that run under the
// lease.
type Holder struct {
	// Clock is the worker's monotonic clock, which also stamps its heartbeats.
	Clock func() modeller.Millis

	deadline modeller.Millis
}

// Valid reports whether the lease is valid, so that attempts may run.
func (holder *Holder) Valid() bool { return holder.Clock() < holder.deadline }

// Admits reports whether a start with the given deadline may still be carried
// out. After the deadline, the cell may have declared the attempt lost.
func (holder *Holder) Admits(deadline modeller.Millis) bool { return holder.Clock() < deadline }

// Renew extends the lease to a later deadline; an earlier one is ignored. It
// returns false if the lease had expired before: the caller must then first stop
// all running attempts, since the cell may have placed their tasks on other
// workers.
func (holder *Holder) Renew(deadline modeller.Millis) bool {
	held := holder.Valid()
	holder.deadline = max(holder.deadline, deadline)
	return held
}
