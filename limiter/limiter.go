// Package limiter owns the admission of submissions: how many a second, and
// how many at once, each client account may bring before it is refused.
//
// Refusing early protects the other client accounts: a flood costs an HTTP
// request and a look at a counter, and neither an entry's memory nor a place in
// the log. A refusal says when to come back. It does not say NotRun: nothing
// comes of this sending, but an earlier one under the same RequestID may have
// been accepted, which is not known here.
//
// Work
// whose key is not known to belong to its client account counts against one
// shared allowance, so that a stranger cannot use up a team's. What a queue may
// hold is the applier's business.
package limiter

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// Config describes a Limiter.
type Config struct {
	// Rate is how many submissions a second each client account may bring.
	Rate float64
	// Burst is how many it may bring at once after a pause.
	Burst int
	// MostInFlight is how many of its submissions may be undecided.
	MostInFlight int
	// Clock is the present time; nil stands for the wall clock.
	Clock func() time.Time
}

// stranger is the allowance of work whose key is not known.
const stranger modeller.ClientAccountName = ""

// idleAfter is how long an unused allowance is remembered.
const idleAfter = time.Minute

// sweepAbove is the number of allowances from which on idle ones are dropped.
const sweepAbove = 1024

// Limiter keeps the allowances. It is safe for concurrent use.
type Limiter struct {
	config Config

	mutex      sync.Mutex
	allowances map[modeller.ClientAccountName]*allowance
}

type allowance struct {
	bucket   *rate.Limiter
	inFlight int
	used     time.Time
}

// New returns a limiter with all allowances full.
func New(config Config) *Limiter {
	if config.Clock == nil {
		config.Clock = time.Now
	}
	return &Limiter{config: config, allowances: make(map[modeller.ClientAccountName]*allowance)}
}

// Admit takes one submission of the client account in, or says when to come
// back. Known is true if the submission's key belongs to the client account.
// Whoever was admitted calls the returned function once it is decided.
func (limiter *Limiter) Admit(account modeller.ClientAccountName, known bool) (func(), *coder.Refusal) {
	if !known {
		account = stranger
	}
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := limiter.config.Clock()
	allowance := limiter.allowance(account, now)
	if allowance.inFlight >= limiter.config.MostInFlight {
		return nil, limiter.refuse(time.Second, "%d submissions of the client account are undecided", allowance.inFlight)
	}
	if !allowance.bucket.AllowN(now, 1) {
		return nil, limiter.refuse(limiter.wait(allowance, now), "the client account brings more than %g submissions a second", limiter.config.Rate)
	}
	allowance.inFlight++
	var once sync.Once
	return func() { once.Do(func() { limiter.done(allowance) }) }, nil
}

func (limiter *Limiter) allowance(account modeller.ClientAccountName, now time.Time) *allowance {
	found := limiter.allowances[account]
	if found == nil {
		limiter.sweep(now)
		found = &allowance{bucket: rate.NewLimiter(rate.Limit(limiter.config.Rate), limiter.config.Burst)}
		limiter.allowances[account] = found
	}
	found.used = now
	return found
}

// sweep drops allowances that have not been used for so long that they are
// full again, so that names made up by callers do not pile up.
func (limiter *Limiter) sweep(now time.Time) {
	if len(limiter.allowances) < sweepAbove {
		return
	}
	for account, allowance := range limiter.allowances {
		if allowance.inFlight == 0 && now.Sub(allowance.used) > idleAfter {
			delete(limiter.allowances, account)
		}
	}
}

// wait returns how long it takes until one submission would be let in.
func (limiter *Limiter) wait(allowance *allowance, now time.Time) time.Duration {
	missing := 1 - allowance.bucket.TokensAt(now)
	return time.Duration(missing / limiter.config.Rate * float64(time.Second))
}

func (limiter *Limiter) refuse(after time.Duration, format string, args ...any) *coder.Refusal {
	refusal := coder.Refuse(coder.Overloaded, format, args...)
	refusal.RetryAfter = max(after, time.Millisecond)
	refusal.NotProposed = true
	return refusal
}

func (limiter *Limiter) done(allowance *allowance) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	allowance.inFlight--
}
