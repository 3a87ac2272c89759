// Package allotter owns the scheduling policy for staged jobs: the order in
// which waiting steps are served, the workers that each is placed on, and the
// workers that an adviser is asked about.
//
// The policy is meant for short urgent jobs that share a nearly full fleet with
// wide gangs and long batch steps. Steps that can still finish on time go
// first, in the order of the times by which they must start; then late steps;
// then steps so late that their callers are assumed to have stopped waiting.
// While the waiting steps need more than what is free, those on time go by the
// rank of their queue first, and jobs beyond their account's weight go last.
//
// It neither commits nor enforces anything: package stager checks each
// placement in full, and the Allotter's owner proposes it and sends the
// questions.
//
// An Allotter works on a view that its owner passes in and keeps no state
// between passes, so a pass can be tested without a network and replayed.
package allotter

import (
	"time"

	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
	"github.com/dotterelrill/dotterelrill/waiter"
)

// Candidate is a worker that may be given new work.
type Candidate struct {
	Worker *stager.Worker
	// RecentFailures counts the worker's recent failures; workers with fewer come
	// first.
	RecentFailures int
	// Pace is the worker's run time for its tasks relative to the usual one;
	// above 1 is slower, and zero means 1.
	Pace float64
	// LostRecently is true if an earlier incarnation was lost not long ago without a known
	// cause. Suspects avoid the worker, as a further loss would tell nothing about them.
	LostRecently bool
	// Reserved is room on the worker for tasks that are being stopped elsewhere to run
	// here; nothing is placed in it until they have ended there.
	Reserved modeller.Resources
	// free is what is free on the worker and not reserved. It is negative where more
	// is reserved than free.
	free modeller.Resources
	// releases are the worker's expected releases, once releasesKnown is true.
	releases      []ExpectedRelease
	releasesKnown bool
}

// ExpectedRelease is the expected end of a live attempt, in the time of
// Config.Elapsed, and the resources that it frees.
type ExpectedRelease struct {
	At   modeller.Millis
	Size modeller.Resources
}

// Approval holds an adviser's decisions about a step, and the room reserved for it.
type Approval struct {
	// Tickets holds the workers approved for the step, with tickets that may
	// have expired.
	Tickets map[modeller.WorkerName]Ticket
	// Refused holds the incarnations of workers that were not approved.
	Refused map[modeller.WorkerName]stager.Incarnation
	// Asking is true while a question is in flight.
	Asking bool
	// PendingPlacement lists, one entry per task, the workers that a gang is to
	// be placed on if the answer allows it. Their room is reserved against all
	// other steps until the gang is considered again.
	PendingPlacement []modeller.WorkerName
	// Reserved lists, one entry per task, the workers whose room becomes free
	// first and is reserved for a gang. The gang is considered again when all
	// of it is free, or at GangRetryAt.
	Reserved    []modeller.WorkerName
	GangRetryAt modeller.Millis
}

// ClearQuestion records that the question in flight was answered or failed, so
// that the next pass considers the step again.
func (approval *Approval) ClearQuestion() {
	approval.Asking, approval.Reserved, approval.GangRetryAt = false, nil, 0
}

// Ticket is an adviser's permission to run a step on a worker.
type Ticket struct {
	Ticket stager.Ticket
	Life   stager.Incarnation
	// Until is when the ticket expires, in the time of Config.Elapsed.
	Until modeller.Millis
}

// Question asks an adviser which of the workers may run a step.
type Question struct {
	Step    stager.StepID
	Workers []modeller.WorkerName
	// Urgency and Latest are the step's lateness class (0 while it can be on
	// time, 1 if it is late, 2 if its callers are assumed to have stopped
	// waiting) and its latest start.
	Urgency int
	Latest  modeller.Millis
}

// Config is the view that an Allotter works on, and the functions that it acts
// through.
type Config struct {
	State *stager.State
	// Now is the time of day, and Elapsed the monotonic time that tickets and
	// expected endings are measured in.
	Now, Elapsed modeller.Millis
	Candidates   []Candidate
	// Approval returns the approval of a step. It never returns nil.
	Approval func(stager.StepID) *Approval
	// Place applies a placement to State, or returns why it is refused.
	Place func(*stager.Place) error
	// Ask forwards a question, and sets the Asking field of the step's Approval
	// if it was sent.
	Ask func(Question)
	// AdviserFree reports whether a question that takes the given time would be answered
	// next; if it is nil, questions wait their turn.
	AdviserFree func(time.Duration) bool
	// RunTime corrects a queue's declared run time; if it is nil, declared run
	// times are used unchanged.
	RunTime func(modeller.QueueName, modeller.Millis) modeller.Millis
	// ExpectedReleases returns the expected endings of a worker's attempts,
	// earliest first; if it is nil, no room is reserved ahead of time.
	ExpectedReleases func(modeller.WorkerName) []ExpectedRelease
	// Quiet reports whether nothing has just begun on a worker; if it is nil, none has on
	// any. A suspect begins on such a worker only.
	Quiet func(modeller.WorkerName) bool
	// OnTrial reports whether a suspect runs that has not shown yet that it does not crash
	// its worker; if it is nil, none does.
	OnTrial func(stager.TaskID) bool
	// Trials is how many workers run a suspect on trial. They are no candidates.
	Trials int
	// Waiter decides how long steps wait for room near their data; if it is nil, or if
	// ExpectedReleases is, none waits.
	Waiter *waiter.Waiter
}

// Allotter makes one pass over the waiting steps.
type Allotter struct {
	config Config
	// indexes holds the index of each candidate. It is nil until it is needed.
	indexes map[modeller.WorkerName]int
	// lateReserved is true once this pass has reserved room ahead of time for a
	// late gang.
	lateReserved bool
	// gangSearches counts the gangs that this pass has searched room for.
	gangSearches int
	// trials counts the workers that run a suspect on trial or are reserved for one.
	trials int
	// scarce is true if the waiting steps need more than what is free.
	scarce bool
	// free is what is free on all candidates, and awaited what the steps that wait for an
	// answer need, other than those whose callers no longer wait.
	free, awaited modeller.Resources
	// lastRank is the highest queueRank of the waiting steps.
	lastRank int
	// longBusy is true once an adviser was not free for a long question, and shortBusy for
	// a short one.
	longBusy, shortBusy bool
	near                near
	scratch             scratch
}

// scratch holds slices that are reused from one step to the next.
type scratch struct {
	candidates        []*Candidate
	ticketed, expired []*Candidate
	ranks             []int64
}

// New returns an Allotter for one pass. It takes ownership of the candidates.
func New(config Config) *Allotter {
	for index := range config.Candidates {
		candidate := &config.Candidates[index]
		candidate.free = candidate.Worker.Capacity.Sub(candidate.Worker.Used()).Sub(candidate.Reserved)
	}
	return &Allotter{config: config, trials: config.Trials}
}

const (
	// One in trialDivisor workers is used for suspects at a time, however many there are, and
	// beyond that what is left when all other steps have been served.
	trialDivisor = 4
	// Of what is left, likely causes take at most one in likelyTrialDivisor workers, as they
	// probably crash them.
	likelyTrialDivisor = 2
)

// trialsFull reports whether one in divisor workers is used for suspects.
func (allotter *Allotter) trialsFull(divisor int) bool {
	return allotter.trials >= max(1, (len(allotter.config.Candidates)+allotter.config.Trials)/divisor)
}

// candidate returns the candidate with the name, or nil if the worker is none.
func (allotter *Allotter) candidate(name modeller.WorkerName) *Candidate {
	if allotter.indexes == nil {
		allotter.indexes = make(map[modeller.WorkerName]int, len(allotter.config.Candidates))
		for index := range allotter.config.Candidates {
			allotter.indexes[allotter.config.Candidates[index].Worker.Name] = index
		}
	}
	if index, found := allotter.indexes[name]; found {
		return &allotter.config.Candidates[index]
	}
	return nil
}

// Summary counts the steps of one pass by their result.
type Summary struct {
	// Placed steps were placed whole; the others wait: Asking for an adviser's
	// answer, NoAdviser for an adviser to ask, NoRoom for room on workers, AtLimit for
	// their client account to fall below its limit.
	Placed, Asking, NoAdviser, NoRoom, AtLimit int
}

// Run goes through the waiting steps in order, and places them or asks about
// them.
func (allotter *Allotter) Run() Summary {
	var summary Summary
	var suspects []*readyStep
	for _, step := range allotter.readySteps() {
		if step.isolated && allotter.trialsFull(trialDivisor) && !allotter.reservedBefore(step) {
			suspects = append(suspects, step)
			continue
		}
		if allotter.yields(step) {
			summary.NoRoom++
			continue
		}
		waitsFor := allotter.placeOrAsk(step, &summary)
		*waitsFor++
		if waitsFor == &summary.Asking && step.urgency < givenUp {
			allotter.awaited = allotter.awaited.Add(step.spec.Demand().Times(int64(len(step.tasks))))
		}
	}
	for _, step := range suspects {
		if step.paused && allotter.trialsFull(likelyTrialDivisor) {
			summary.NoRoom++
			continue
		}
		*allotter.placeOrAsk(step, &summary)++
	}
	return summary
}

// Scarce reports, after Run, whether the waiting steps needed more than what was free.
func (allotter *Allotter) Scarce() bool { return allotter.scarce }

// yields reports whether a step whose callers no longer wait, or that lies beyond its
// account's weight, leaves the room that is free to the steps that wait for an answer: it
// would fill the fleet in the short time until they may use it.
func (allotter *Allotter) yields(step *readyStep) bool {
	return allotter.scarce && step.urgency == givenUp && !step.answered && !allotter.awaited.Add(step.minSize()).Fits(allotter.free)
}

// reservedBefore reports whether room is reserved for a gang whose question is on its way
// or was answered.
func (allotter *Allotter) reservedBefore(step *readyStep) bool {
	return step.queue.Advised != nil && len(step.pending(allotter.config.Approval(step.id))) > 0
}

// placeOrAsk places as many of a step's tasks as it can, and asks about workers
// if approvals are what the step lacks. It returns the counter of the summary
// that the step belongs to.
func (allotter *Allotter) placeOrAsk(step *readyStep, summary *Summary) *int {
	if !step.minSize().Fits(allotter.config.State.Room(step.job.ClientAccount)) {
		allotter.releaseAnswered(step)
		return &summary.AtLimit
	}
	defer allotter.preferNear(step)()
	if step.queue.Advised == nil {
		if allotter.place(step, allotter.ranked(step, freeNow, anyWorker)) == len(step.tasks) {
			return &summary.Placed
		}
		allotter.reserveForTrial(step, allotter.ranked(step, freeNow, anyWorker))
		allotter.reserveEarliest(step, allotter.ranked(step, freeWhenEmpty, anyWorker))
		return &summary.NoRoom
	}
	approval := allotter.config.Approval(step.id)
	if approval.Asking && (len(approval.PendingPlacement) > 0 || len(approval.Tickets) == 0) {
		return &summary.Asking
	}
	if step.spec.Gang && allotter.backsOff(step, approval) {
		return &summary.NoRoom
	}
	allotter.release(step, step.pending(approval))
	approval.PendingPlacement = nil
	ticketed, expired := allotter.approved(step, approval, freeNow)
	if allotter.place(step, ticketed) == len(step.tasks) {
		return &summary.Placed
	}
	step.tasks = step.waiting()
	return allotter.askAbout(step, approval, append(ticketed, expired...), summary)
}

// releaseAnswered gives back the room of a step's question that has been answered. A step
// at its client account's limit would keep it idle for as long as other work of the account
// runs.
func (allotter *Allotter) releaseAnswered(step *readyStep) {
	if step.queue.Advised == nil {
		return
	}
	if approval := allotter.config.Approval(step.id); !approval.Asking {
		allotter.release(step, step.pending(approval))
		approval.PendingPlacement = nil
	}
}

// askAbout asks an adviser about a step that could not be placed on its approved workers. It
// returns the counter of the summary that the step belongs to.
func (allotter *Allotter) askAbout(step *readyStep, approval *Approval, approved []*Candidate, summary *Summary) *int {
	switch {
	case step.spec.Gang && allotter.awaitsTicketedRoom(step, approval):
		return &summary.NoRoom
	case !approval.Asking && !allotter.adviserFree(step):
		return &summary.NoAdviser
	case allotter.ask(step, approval, approved):
		return &summary.Asking
	case !step.spec.Gang:
		return &summary.NoRoom
	}
	asking := allotter.prepareGang(step, approval)
	approval.GangRetryAt = allotter.config.Elapsed + gangRetryMillis
	if asking {
		return &summary.Asking
	}
	return &summary.NoRoom
}

// minSize returns the smallest amount of resources that can be placed of a
// step: a gang as a whole, one task of any other.
func (step *readyStep) minSize() modeller.Resources {
	if step.spec.Gang {
		return step.spec.Size.Times(int64(len(step.tasks)))
	}
	return step.spec.Size
}
