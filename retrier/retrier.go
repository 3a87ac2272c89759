// Package retrier owns the backoff of failed tasks: an exponential delay with
// jitter, and a retry budget for each client account.
//
// The budget grows with the account's first attempts, so that a client account
// whose tasks all fail cannot fill the fleet with retries, while occasional
// failures never exhaust the budget. A retry beyond the budget gets the maximum
// delay and is never refused: the number of retries of a task is limited by its
// queue's MaxRetries, which the applier enforces.
package retrier

import (
	"math/rand/v2"

	"github.com/dotterelrill/dotterelrill/modeller"
)

// Config configures a Retrier.
type Config struct {
	// InitialDelay is the delay after the first failure, before jitter.
	InitialDelay modeller.Millis
	// MaxDelay is the maximum delay, before jitter.
	MaxDelay modeller.Millis
	// Ratio is how many retries each first attempt adds to the account's budget.
	Ratio float64
	// Burst is the initial and maximum budget of an account, in retries.
	Burst float64
	// Random is the source of the jitter; it must not be shared.
	Random *rand.Rand
}

// Retrier holds the retry budgets of the client accounts. It is not safe for
// concurrent use.
type Retrier struct {
	config  Config
	budgets map[modeller.ClientAccountName]float64
}

// New returns a Retrier with full budgets.
func New(config Config) *Retrier {
	return &Retrier{config: config, budgets: make(map[modeller.ClientAccountName]float64)}
}

func (retrier *Retrier) budget(account modeller.ClientAccountName) float64 {
	budget, known := retrier.budgets[account]
	if !known {
		return retrier.config.Burst
	}
	return budget
}

// FirstAttempt records the first attempt of one of the account's tasks, which
// adds to its budget.
func (retrier *Retrier) FirstAttempt(account modeller.ClientAccountName) {
	retrier.budgets[account] = min(retrier.budget(account)+retrier.config.Ratio, retrier.config.Burst)
}

// Delay returns the delay before the next attempt of a task with the number of
// failures, including the latest, and charges the retry to the account's budget.
// If the budget is exhausted, it returns the maximum delay with jitter.
func (retrier *Retrier) Delay(account modeller.ClientAccountName, failures uint32) modeller.Millis {
	budget := retrier.budget(account)
	if budget < 1 {
		return retrier.jitter(retrier.config.MaxDelay)
	}
	retrier.budgets[account] = budget - 1
	return retrier.jitter(retrier.exponentialDelay(failures))
}

// maxDoublings prevents an overflow of the shift in exponentialDelay.
const maxDoublings = 20

func (retrier *Retrier) exponentialDelay(failures uint32) modeller.Millis {
	doublings := min(max(failures, 1)-1, maxDoublings)
	return min(retrier.config.InitialDelay<<doublings, retrier.config.MaxDelay)
}

// jitter returns a random delay from half to one and a half times the given one.
func (retrier *Retrier) jitter(delay modeller.Millis) modeller.Millis {
	return delay/2 + modeller.Millis(retrier.config.Random.Int64N(int64(delay)+1))
}
