// Package limiter owns the admission of submissions: it limits the rate of each
// client account's submissions and the number of them in flight.
//
// Early refusal protects the other client accounts: a refused submission costs an
// HTTP request and a counter check, but no memory of the entry and no entry in
// the log. A refusal states when to retry. It does not state NotRun: this request
// has no effect, but an earlier one with the same RequestID may have been
// accepted, which the limiter does not know.
//
// Submissions whose key is not known to belong to their client account are
// charged to one shared allowance, so that callers without a valid key cannot
// exhaust a client account's. The capacity of queues is checked by package applier.
package limiter

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// Config configures a Limiter.
type Config struct {
	// Rate is the sustained rate of each client account, in submissions per second.
	Rate float64
	// Burst is how many submissions an idle client account may send at once.
	Burst int
	// MostInFlight is the maximum number of a client account's submissions in
	// flight.
	MostInFlight int
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time
}

// unknownAccount names the shared allowance of submissions whose key is not known.
const unknownAccount modeller.ClientAccountName = ""

// idleTimeout is how long an unused allowance is kept.
const idleTimeout = time.Minute

// sweepThreshold is the number of allowances from which idle ones are dropped.
const sweepThreshold = 1024

// Limiter holds one allowance per client account. It is safe for concurrent use.
type Limiter struct {
	config Config

	mutex      sync.Mutex
	allowances map[modeller.ClientAccountName]*allowance
}

type allowance struct {
	bucket   *rate.Limiter
	inFlight int
	lastUsed time.Time
}

// New returns a Limiter with full allowances.
func New(config Config) *Limiter {
	if config.Clock == nil {
		config.Clock = time.Now
	}
	return &Limiter{config: config, allowances: make(map[modeller.ClientAccountName]*allowance)}
}

// Admit admits one submission of the client account, or returns a refusal that
// states when to retry. keyKnown is true if the submission's key belongs to the
// client account. The caller of an admitted submission calls the returned
// function once the submission has been accepted or refused.
func (limiter *Limiter) Admit(account modeller.ClientAccountName, keyKnown bool) (func(), *coder.Refusal) {
	if !keyKnown {
		account = unknownAccount
	}
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := limiter.config.Clock()
	allowance := limiter.allowance(account, now)
	if allowance.inFlight >= limiter.config.MostInFlight {
		return nil, limiter.refuse(time.Second, "the client account has %d submissions in flight", allowance.inFlight)
	}
	if !allowance.bucket.AllowN(now, 1) {
		return nil, limiter.refuse(limiter.timeUntilAdmitted(allowance, now), "the client account exceeds %g submissions per second", limiter.config.Rate)
	}
	allowance.inFlight++
	var once sync.Once
	return func() { once.Do(func() { limiter.release(allowance) }) }, nil
}

func (limiter *Limiter) allowance(account modeller.ClientAccountName, now time.Time) *allowance {
	found := limiter.allowances[account]
	if found == nil {
		limiter.sweep(now)
		found = &allowance{bucket: rate.NewLimiter(rate.Limit(limiter.config.Rate), limiter.config.Burst)}
		limiter.allowances[account] = found
	}
	found.lastUsed = now
	return found
}

// sweep drops allowances that have been unused for idleTimeout and are full again,
// so that account names invented by callers do not accumulate.
func (limiter *Limiter) sweep(now time.Time) {
	if len(limiter.allowances) < sweepThreshold {
		return
	}
	for account, allowance := range limiter.allowances {
		if allowance.inFlight == 0 && now.Sub(allowance.lastUsed) > idleTimeout {
			delete(limiter.allowances, account)
		}
	}
}

// timeUntilAdmitted returns how long it takes until the rate allows one more
// submission.
func (limiter *Limiter) timeUntilAdmitted(allowance *allowance, now time.Time) time.Duration {
	missing := 1 - allowance.bucket.TokensAt(now)
	return time.Duration(missing / limiter.config.Rate * float64(time.Second))
}

func (limiter *Limiter) refuse(after time.Duration, format string, args ...any) *coder.Refusal {
	refusal := coder.Refuse(coder.Overloaded, format, args...)
	refusal.RetryAfter = max(after, time.Millisecond)
	refusal.NotProposed = true
	return refusal
}

func (limiter *Limiter) release(allowance *allowance) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	allowance.inFlight--
}
