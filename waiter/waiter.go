// Package waiter owns the decision how long a step waits for room near its data, or a gang
// for room in one rack, while it could start sooner elsewhere and run longer there.
//
// The decision rests on when near room is expected to become free. A Waiter remembers the
// waits that it has begun, and learns from their results how far the expected times are
// off, and from run times how much longer the tasks of each queue run elsewhere. All of it
// is local to a leader; a new one begins without it.
package waiter

import (
	"math"

	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// Never is the time of near room that is not expected at all.
const Never modeller.Millis = math.MaxInt64 / 4

// Chance is what is known about a step that could start elsewhere than near its data. Its
// times are those of one monotonic clock.
type Chance struct {
	Now modeller.Millis
	// NearAt is when all of the step's waiting tasks are expected to have room near, and
	// FarAt when the step could start elsewhere. Neither is before Now.
	NearAt, FarAt modeller.Millis
	// Near and Far are the expected run times.
	Near, Far modeller.Millis
	// LatestStart is when the step has to start near for its job to be on time.
	LatestStart modeller.Millis
	// Size is the processor capacity of the waiting tasks, and Idle the part of it that is
	// free already and would be kept for them.
	Size, Idle int64
}

// gain returns how much longer the step runs elsewhere.
func (chance Chance) gain() modeller.Millis { return chance.Far - chance.Near }

// Wait is a wait that has begun.
type Wait struct {
	Queue modeller.QueueName
	// Rack is the one that the step waits for.
	Rack modeller.RackName
	// First is what was known when the wait began.
	First Chance
	// Skips counts the passes in which the step was kept waiting.
	Skips int
	// Ended is true while the step does not wait since it has given up GivenUp times.
	Ended   bool
	GivenUp int
}

// Waited returns how long the step has waited since it could have started elsewhere.
func (wait Wait) Waited(now modeller.Millis) modeller.Millis {
	return max(0, now-wait.First.FarAt)
}

const (
	// maxWaitShare bounds a wait as a share of the near run time: callers of short tasks
	// notice a wait that is much longer than the task.
	maxWaitShare = 2.0
	// maxGiveUps is how often a step gives up. One that has found no room elsewhere may wait
	// again, but must not alternate between waits and questions about workers elsewhere.
	maxGiveUps = 3
	// reviewMillis is the time until a wait is considered again. A leader that is not
	// overloaded makes a pass at least every 100 ms, and a pass may take half as long.
	reviewMillis = 150
)

// Pays reports whether a step begins or continues a wait. It is meant for a nearly full
// fleet, on which the workers of one rack are full more often than not and become free
// one after the other, and for jobs with little slack.
//
// A wait pays if the step is expected to end sooner near than if it had started elsewhere
// when it first could, and on time. It takes at most the time that it could have gained,
// so that a useless forecast at most doubles the loss, and a share of the run time. The
// capacity that stands idle for the step must not exceed what its longer run elsewhere
// would take.
func Pays(chance Chance, wait Wait) bool {
	gain := chance.gain()
	longest := min(gain, modeller.Millis(maxWaitShare*float64(chance.Near)))
	if longest <= 0 || chance.NearAt >= wait.First.FarAt+longest || chance.NearAt > chance.latestNear(wait) {
		return false
	}
	return float64(chance.Idle)*float64(chance.NearAt-chance.Now) <= float64(chance.Size)*float64(gain)
}

// latestNear returns the latest time of near room for which a step may wait: its latest
// start. A wait that takes more than twice as long as was expected when it began is not
// trusted any more; while the job would still be on time elsewhere, it ends early enough to
// start it there.
func (chance Chance) latestNear(wait Wait) modeller.Millis {
	latestFar := chance.LatestStart - chance.gain()
	trustedUntil := wait.First.NearAt + (wait.First.NearAt - wait.First.Now) + reviewMillis
	if chance.Now <= trustedUntil || chance.FarAt > latestFar {
		return chance.LatestStart
	}
	return latestFar - reviewMillis - (chance.FarAt - chance.Now)
}

// Result is what has become of a wait.
type Result uint8

// The results. A wait that was paid off ended with room near.
const (
	Begun Result = iota + 1
	PaidOff
	GivenUp
)

var resultNames = []string{"", "Begun", "PaidOff", "GivenUp"}

// String returns the result's name.
func (result Result) String() string {
	if int(result) >= len(resultNames) {
		return "Invalid"
	}
	return resultNames[result]
}

// Event is the beginning or end of a wait.
type Event struct {
	Step   stager.StepID
	Queue  modeller.QueueName
	Rack   modeller.RackName
	Result Result
	// Expected is how long the wait was expected to take when it began, and Waited how long
	// it took. Gained is how much sooner the step is expected to end than if it had not
	// waited; it is negative if it ends later.
	Expected, Waited, Gained modeller.Millis
}

// Config is the configuration of a Waiter.
type Config struct {
	// Penalty is how many times as long tasks run elsewhere, for queues that it has not been
	// observed for.
	Penalty float64
	// Pays decides whether a step waits; if it is nil, the function Pays does.
	Pays func(Chance, Wait) bool
	// Report is called with each beginning and end of a wait; it may be nil.
	Report func(Event)
}

// Waiter remembers the waits of a leader's steps. It must not be used concurrently.
type Waiter struct {
	config    Config
	waits     map[stager.StepID]*Wait
	penalties map[modeller.QueueName]*penalty
	overrun   overrun
}

// New returns a Waiter without waits.
func New(config Config) *Waiter {
	if config.Pays == nil {
		config.Pays = Pays
	}
	if config.Report == nil {
		config.Report = func(Event) {}
	}
	return &Waiter{
		config: config, waits: make(map[stager.StepID]*Wait), penalties: make(map[modeller.QueueName]*penalty),
		overrun: overrun{ratio: 1, deviation: initialDeviation},
	}
}

// Wait returns the wait of a step that waits, and whether it does.
func (waiter *Waiter) Wait(step stager.StepID) (Wait, bool) {
	if wait := waiter.waits[step]; wait != nil && !wait.Ended {
		return *wait, true
	}
	return Wait{}, false
}

// Consider decides whether a step waits for a rack now. It begins, continues or gives up
// the step's wait.
func (waiter *Waiter) Consider(step stager.StepID, queue modeller.QueueName, rack modeller.RackName, chance Chance) bool {
	wait := waiter.waits[step]
	if wait != nil && wait.GivenUp >= maxGiveUps {
		return false
	}
	expected := chance
	if chance.NearAt < Never {
		expected.NearAt = chance.Now + modeller.Millis(float64(chance.NearAt-chance.Now)*waiter.overrun.factor())
	}
	begins := wait == nil || wait.Ended
	if begins {
		begun := &Wait{Queue: queue, Rack: rack, First: chance}
		if wait != nil {
			begun.GivenUp = wait.GivenUp
		}
		wait = begun
	}
	switch {
	case !waiter.config.Pays(expected, *wait):
		if !begins {
			waiter.giveUp(step, wait, chance.Now)
		}
		return false
	case begins:
		waiter.waits[step] = wait
		waiter.report(step, wait, Begun, chance.Now, 0)
	}
	wait.Skips++
	return true
}

func (waiter *Waiter) giveUp(step stager.StepID, wait *Wait, now modeller.Millis) {
	wait.Ended = true
	wait.GivenUp++
	waiter.overrun.observe(wait.First, now, true)
	waiter.report(step, wait, GivenUp, now, -wait.Waited(now))
}

// Placed ends the wait of a step whose tasks have all been placed near.
func (waiter *Waiter) Placed(step stager.StepID, now modeller.Millis) {
	wait := waiter.waits[step]
	if wait == nil || wait.Ended {
		return
	}
	delete(waiter.waits, step)
	waiter.overrun.observe(wait.First, now, false)
	waiter.report(step, wait, PaidOff, now, wait.First.FarAt+wait.First.gain()-now)
}

func (waiter *Waiter) report(step stager.StepID, wait *Wait, result Result, now, gained modeller.Millis) {
	waiter.config.Report(Event{
		Step: step, Queue: wait.Queue, Rack: wait.Rack, Result: result,
		Expected: wait.First.NearAt - wait.First.Now, Waited: wait.Waited(now), Gained: gained,
	})
}

// Retain forgets the waits of all steps for which open returns false.
func (waiter *Waiter) Retain(open func(stager.StepID) bool) {
	for step := range waiter.waits {
		if !open(step) {
			delete(waiter.waits, step)
		}
	}
}
