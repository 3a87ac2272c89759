package conductor

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/estimator"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// link is what the conductor keeps of one life of a worker.
type link struct {
	// calls ends with the life, so that nothing is sent for it to the next one,
	// which may have the same name and address.
	calls context.Context
	end   context.CancelFunc
	name  modeller.WorkerName
	life  stager.Life
	// heir is a later life at the same address that may have taken starts which
	// were meant for this one; zero while none is known. Everything is stopped
	// there before the link ends. heirAt is when it was heard of, and next its
	// announcement, taken up after that.
	heir    stager.Life
	heirAt  time.Duration
	next    *stager.Announcement
	address string
	// number is that of the newest announcement.
	number uint64
	// heard is when the worker last announced itself or answered; unheard is
	// true while a new leader has only the log's word for it.
	heard   time.Duration
	unheard bool
	// silent is true from a call that was not answered, or the beginning, until
	// one is: the worker may be cut off though its announcements come, so it gets
	// nothing new.
	silent bool
	// silentAt is when the first call was not answered, zero before.
	silentAt time.Duration

	// clock was the worker's clock no later than at clockAt. It is zero while it
	// is not known.
	clock   modeller.Millis
	clockAt time.Duration
	// expires is the latest end of the lease, on the worker's clock, that this
	// conductor has sent, answered or not.
	expires modeller.Millis

	attempts map[stager.TaskID]*attempt
	// holding and probing are true while a hold or a probe is under way, and
	// holdAt and probeAt are when to try again.
	holding bool
	probing bool
	probeAt time.Duration
	holdAt  time.Duration
	// observed is the last ending that is committed; told is what the worker
	// was last told of that.
	observed, told uint64

	// pace is learned from the tasks that succeed here.
	pace estimator.Pace
	// streak counts failures in a row that speak against the worker, and
	// avoidUntil is until when it gets nothing for that.
	streak     int
	avoidUntil time.Duration
}

const (
	// driftDivisor is the part by which a worker's clock may be slow: 2%.
	driftDivisor = 50
	// leaseMargin is added before a lease counts as over.
	leaseMargin = 200 * time.Millisecond
	// deposedMost is how long after a new leader's beginning the one before may
	// still have sent orders.
	deposedMost = time.Second
)

// adopt takes over the workers and attempts that the log knows of. What became
// of the attempts is asked of the workers.
func (conductor *Conductor) adopt() {
	for name, worker := range conductor.state.Workers {
		link := conductor.connect(worker)
		link.unheard = true
		for _, id := range conductor.state.LiveOn(name) {
			job := conductor.state.Jobs[id.Job]
			task := job.Task(id)
			adopted := &attempt{id: id, number: task.Attempt, ticket: task.Ticket, state: sent, unsure: true, adopted: true, resumed: true, stopping: job.Over()}
			link.attempts[id] = adopted
		}
		conductor.hold(link)
	}
	if len(conductor.state.Workers) > 0 {
		logger.Info(conductor.config.Logger, "workers adopted", "Epoch", conductor.state.Term, "Workers", len(conductor.state.Workers), "Open", len(conductor.state.Open()))
	}
}

func (conductor *Conductor) connect(worker *stager.Worker) *link {
	calls, end := context.WithCancel(conductor.calls)
	made := &link{calls: calls, end: end, name: worker.Name, life: worker.Life, address: worker.Address, heard: conductor.config.Clock(), silent: true, attempts: make(map[stager.TaskID]*attempt)}
	conductor.links[worker.Name] = made
	at, _ := conductor.place(worker.Name)
	conductor.ordered = slices.Insert(conductor.ordered, at, made)
	return made
}

// disconnect forgets a life of a worker.
func (conductor *Conductor) disconnect(link *link) {
	link.end()
	delete(conductor.links, link.name)
	if at, found := conductor.place(link.name); found {
		conductor.ordered = slices.Delete(conductor.ordered, at, at+1)
	}
}

// place returns where a worker's link is in the order of the names, or belongs.
func (conductor *Conductor) place(name modeller.WorkerName) (int, bool) {
	return slices.BinarySearchFunc(conductor.ordered, name, func(link *link, name modeller.WorkerName) int { return cmp.Compare(link.name, name) })
}

func (link *link) target() Target {
	return Target{Worker: link.name, Life: max(link.life, link.heir), Address: link.address}
}

// meet takes up a worker's announcement.
func (conductor *Conductor) meet(announcement *stager.Announcement) *coder.Refusal {
	worker := announcement.Worker
	known := conductor.links[worker.Name]
	if known != nil && worker.Life < known.life {
		return coder.Refuse(coder.StaleIncarnation, "a later life of the worker is known")
	}
	if known != nil && worker.Life > known.life {
		if conductor.succeed(known, worker.Life) {
			known.next = announcement
			return nil
		}
		known = nil
	}
	if known != nil && announcement.Number <= known.number && announcement.Number != 0 {
		return nil
	}
	stored := conductor.state.Workers[worker.Name]
	if stored == nil || changed(stored, &worker) {
		if err := conductor.do(&stager.Command{Admit: &worker}); err != nil {
			return refused(coder.StaleIncarnation, err)
		}
		logger.Info(conductor.config.Logger, "worker announced", "Worker", worker.Name, "Life", int64(worker.Life), "Pool", worker.Pool,
			"Rack", worker.Rack, "Leaving", worker.Leaving, "RemainingMillis", int64(announcement.Remaining))
	}
	if known == nil {
		known = conductor.connect(&worker)
	}
	known.number = announcement.Number
	known.address = worker.Address
	conductor.heardOf(known, announcement.Clock)
	conductor.hold(known)
	conductor.dirty = true
	if worker.Leaving {
		conductor.vacate(known, announcement.Remaining)
	}
	return nil
}

// changed reports whether an announcement says something new.
func changed(stored, worker *stager.Worker) bool {
	return stored.Life != worker.Life || stored.Leaving != worker.Leaving || stored.Address != worker.Address || stored.Pool != worker.Pool ||
		stored.Capacity != worker.Capacity
}

// heardOf notes that a worker spoke, and its clock if it said so.
func (conductor *Conductor) heardOf(link *link, clock modeller.Millis) {
	link.heard = conductor.config.Clock()
	link.unheard = false
	if clock > link.clock {
		link.clock, link.clockAt = clock, link.heard
	}
}

// answered notes that a worker answered a call, so that it can be given work.
func (conductor *Conductor) answered(link *link, clock modeller.Millis) {
	conductor.heardOf(link, clock)
	if link.silent {
		link.silent = false
		conductor.dirty = true
		if link.silentAt != 0 {
			logger.Info(conductor.config.Logger, "worker answers again", "Worker", link.name, "AfterMillis", (link.heard - link.silentAt).Milliseconds())
		}
	}
}

// silence notes that a call was not answered.
func (conductor *Conductor) silence(link *link, call string, answer Answer) {
	if link.silent {
		return
	}
	link.silent, link.silentAt = true, conductor.config.Clock()
	logger.Warn(conductor.config.Logger, "worker does not answer", "Worker", link.name, "Call", call, "Outcome", answer.Outcome.String(),
		"Reason", answer.Reason.String(), "Detail", answer.Detail, "Live", len(link.attempts), "HeardMillisAgo", (conductor.config.Clock() - link.heard).Milliseconds())
}

// clockNow is a time that the worker's clock has surely reached.
func (conductor *Conductor) clockNow(link *link) modeller.Millis {
	passed := millis(conductor.config.Clock() - link.clockAt)
	return link.clock + passed - passed/driftDivisor
}

// leaseEnd is the end of the lease to ask for now, on the worker's clock, or zero
// if none may be given. A worker that does not answer gets no longer one, so
// that its lease ends.
func (conductor *Conductor) leaseEnd(link *link) modeller.Millis {
	if link.clock == 0 || link.heir != 0 || !conductor.config.Leads() {
		return 0
	}
	if link.expires > 0 && link.silent {
		return link.expires
	}
	end := conductor.clockNow(link) + millis(conductor.config.Terms.Lease)
	link.expires = max(link.expires, end)
	return end
}

// leaseOver reports whether everything that a silent worker ran has ended, by
// the leases that this conductor and those before it have given.
func (conductor *Conductor) leaseOver(link *link) bool {
	term := conductor.config.Terms.Lease
	now := conductor.config.Clock()
	if now < conductor.begun+term+2*term/driftDivisor+deposedMost {
		return false
	}
	if link.heir != 0 {
		return now > link.heirAt+term+2*term/driftDivisor+deposedMost
	}
	if link.expires == 0 {
		return true
	}
	return conductor.clockNow(link) > link.expires+millis(leaseMargin)
}

// usable reports whether a worker may get new work.
func (conductor *Conductor) usable(link *link, now time.Duration) bool {
	return link.heir == 0 && !link.unheard && !link.silent && link.clock != 0 && now-link.heard < conductor.config.Terms.StaleAfter && now >= link.avoidUntil
}

// watch looks after one worker as time passes.
func (conductor *Conductor) watch(link *link) {
	if len(link.attempts) > 0 && link.silent && conductor.leaseOver(link) {
		conductor.bury(link, "the worker does not answer and its lease is over")
		return
	}
	if link.heir != 0 && len(link.attempts) == 0 {
		conductor.bury(link, "a new life of the worker has begun")
		conductor.admitNext(link)
		return
	}
	for _, attempt := range link.attempts {
		conductor.pursue(link, attempt)
	}
	conductor.hold(link)
}

// bury ends all attempts of a life that is over.
func (conductor *Conductor) bury(link *link, why string) {
	logger.Warn(conductor.config.Logger, "worker lost", "Worker", link.name, "Life", int64(link.life), "Reason", why, "Live", len(link.attempts),
		"HeardMillisAgo", (conductor.config.Clock() - link.heard).Milliseconds())
	link.end()
	for _, attempt := range link.attempts {
		if attempt.unsure || attempt.calling {
			conductor.forestall(link, attempt)
		}
		conductor.endAttempt(link, attempt, stager.Losing, attempt.saved)
	}
	conductor.try(&stager.Command{Drop: &stager.Drop{Worker: link.name, Life: link.life}}, "drop a worker")
	conductor.disconnect(link)
	conductor.dirty = true
}

// succeed takes up that a new life of a worker has begun. It may have taken starts
// that were meant for the old one, since both bear one name and its clock begins
// anew. So what was sent is stopped there, and is lost only once the new life says
// that it does not run. It returns whether that is still awaited.
func (conductor *Conductor) succeed(link *link, heir stager.Life) bool {
	if link.heir != heir {
		logger.Warn(conductor.config.Logger, "new life of a worker", "Worker", link.name, "Life", int64(link.life), "NewLife", int64(heir), "Live", len(link.attempts))
		link.heir, link.heirAt = heir, conductor.config.Clock()
		link.clock, link.expires, link.observed, link.told = 0, 0, 0, 0
		link.end()
		link.calls, link.end = context.WithCancel(conductor.calls)
		for _, attempt := range link.attempts {
			if attempt.state <= committed && !attempt.calling {
				conductor.endAttempt(link, attempt, stager.Losing, attempt.saved)
				continue
			}
			attempt.stopping, attempt.stopped, attempt.adopted, attempt.callAt = true, 0, false, 0
			conductor.pursue(link, attempt)
		}
	}
	if len(link.attempts) == 0 {
		conductor.bury(link, "a new life of the worker has begun")
		return false
	}
	return true
}

// admitNext takes up the announcement of a link's heir, if there was one.
func (conductor *Conductor) admitNext(link *link) {
	if link.next == nil {
		return
	}
	if refusal := conductor.meet(link.next); refusal != nil {
		logger.Warn(conductor.config.Logger, "new life not admitted", "Worker", link.name, "Life", int64(link.heir), "Error", refusal.Error())
	}
}

// forestall has whoever is at a lost worker's address refuse an attempt whose
// start may still be on its way: a new life there knows nothing of the old one, and
// its clock begins anew, so that the start's lease would hold.
func (conductor *Conductor) forestall(link *link, attempt *attempt) {
	order := &StopOrder{Task: attempt.id, Attempt: attempt.number, Fence: conductor.state.Term}
	target := link.target()
	go func() { conductor.config.Stop(conductor.calls, target, order) }()
}

// try does a command that the state should take, and tells if it does not.
func (conductor *Conductor) try(command *stager.Command, what string) bool {
	if err := conductor.do(command); err != nil {
		logger.Error(conductor.config.Logger, "command refused", "Command", what, "Error", err.Error())
		return false
	}
	return true
}

// vacate stops what would be lost with a leaving worker, if it can go on
// elsewhere from where it stands.
func (conductor *Conductor) vacate(link *link, remaining modeller.Millis) {
	for id, attempt := range link.attempts {
		job := conductor.state.Jobs[id.Job]
		step := &job.Steps[id.Step]
		if attempt.state == running && !attempt.stopping && step.Checkpoints && !step.Gang &&
			millis(attempt.remaining(conductor.runTime(job.Queue, step.RunTime), conductor.config.Clock())) > remaining {
			conductor.stop(link, attempt, "its worker is leaving")
		}
	}
}
