// Package quarantiner owns the decision whether the worker or the work is at
// fault when tasks fail, and proposes to quarantine faulty workers.
//
// A failure is attributed to a worker only if another worker has succeeded in the
// same queue within the window and the job has not failed on any other worker. A
// worker is quarantined after enough such failures of different jobs, unless it
// had at least as many successes. After the quarantine it is on probation: the
// first success restores it, the first failure quarantines it again for twice as
// long. Only a limited share of the fleet is quarantined at once, because a fault
// that more workers show is probably not caused by the workers.
//
// A Quarantiner only proposes state changes. It learns from the applier's events
// which were applied, so that a new leader's Quarantiner starts from these.
package quarantiner

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// Config configures a Quarantiner.
type Config struct {
	// Threshold is the number of different jobs whose failures, attributed to a
	// worker, lead to its quarantine.
	Threshold int
	// Window is how long a failure or success is considered.
	Window modeller.Millis
	// FirstStay is the duration of the first quarantine. Each further one without a
	// success in between lasts twice as long, up to MostStay.
	FirstStay modeller.Millis
	MostStay  modeller.Millis
	// MostShare is the maximum share of the workers in quarantine at once, as a
	// fraction; one worker is always allowed.
	MostShare float64
}

// Quarantiner holds the failures and successes of the workers within the window.
// It is not safe for concurrent use.
type Quarantiner struct {
	config  Config
	workers map[modeller.WorkerName]*worker
	queues  map[queueKey]*queueEvidence
	jobs    map[modeller.JobID]*jobEvidence
	// evidenceDroppedAt is when outdated failures and successes were last dropped.
	evidenceDroppedAt modeller.Millis
}

type queueKey struct {
	account modeller.ClientAccountName
	queue   modeller.QueueName
}

type queueEvidence struct {
	// lastSuccesses holds when each worker last succeeded in the queue.
	lastSuccesses map[modeller.WorkerName]modeller.Millis
}

type jobEvidence struct {
	// failedOn holds the workers that failed the job.
	failedOn      map[modeller.WorkerName]struct{}
	lastFailureAt modeller.Millis
}

type worker struct {
	name        modeller.WorkerName
	incarnation modeller.Incarnation
	state       modeller.WorkerState
	failures    []failure
	// successes counts the successes since the oldest failure that is still
	// considered.
	successes int
	// nextStay is the duration of the next quarantine.
	nextStay         modeller.Millis
	quarantinedUntil modeller.Millis
	// proposed is a proposed state that is not yet applied; zero if there is none.
	proposed modeller.WorkerState
}

type failure struct {
	job      modeller.JobID
	queue    queueKey
	failedAt modeller.Millis
}

// New returns a Quarantiner that knows no workers, failures or successes.
func New(config Config) *Quarantiner {
	return &Quarantiner{
		config:  config,
		workers: make(map[modeller.WorkerName]*worker),
		queues:  make(map[queueKey]*queueEvidence),
		jobs:    make(map[modeller.JobID]*jobEvidence),
	}
}

// Observe records an event of the applier.
func (quarantiner *Quarantiner) Observe(event *applier.Event) {
	switch event.Kind {
	case applier.EventWorkerJoined, applier.EventWorkerChanged:
		quarantiner.workerChanged(event)
	case applier.EventWorkerLost:
		delete(quarantiner.workers, event.Worker)
	case applier.EventTaskRequeued:
		if event.Phase == modeller.PhaseFailed {
			quarantiner.recordFailure(event)
		}
	case applier.EventTaskDone:
		quarantiner.taskDone(event)
	}
}

func (quarantiner *Quarantiner) workerChanged(event *applier.Event) {
	known := quarantiner.workers[event.Worker]
	if known == nil || known.incarnation != event.Incarnation {
		known = &worker{name: event.Worker, incarnation: event.Incarnation, nextStay: quarantiner.config.FirstStay}
		quarantiner.workers[event.Worker] = known
	}
	if known.state != event.WorkerState && event.WorkerState == modeller.WorkerQuarantined {
		known.quarantinedUntil = event.Time + known.nextStay
		known.nextStay = min(2*known.nextStay, quarantiner.config.MostStay)
	}
	known.state = event.WorkerState
	known.proposed = 0
}

func (quarantiner *Quarantiner) taskDone(event *applier.Event) {
	if event.Worker == "" {
		return
	}
	switch event.Outcome {
	case modeller.Failed:
		quarantiner.recordFailure(event)
	case modeller.Succeeded:
		quarantiner.recordSuccess(event)
	}
}

func (quarantiner *Quarantiner) recordSuccess(event *applier.Event) {
	key := keyOf(event)
	if quarantiner.queues[key] == nil {
		quarantiner.queues[key] = &queueEvidence{lastSuccesses: make(map[modeller.WorkerName]modeller.Millis)}
	}
	quarantiner.queues[key].lastSuccesses[event.Worker] = event.Time
	worker := quarantiner.currentWorker(event)
	if worker == nil {
		return
	}
	worker.successes++
	if worker.state == modeller.WorkerUp {
		worker.nextStay = quarantiner.config.FirstStay
	}
}

func (quarantiner *Quarantiner) recordFailure(event *applier.Event) {
	evidence := quarantiner.jobs[event.Task.Job]
	if evidence == nil {
		evidence = &jobEvidence{failedOn: make(map[modeller.WorkerName]struct{})}
		quarantiner.jobs[event.Task.Job] = evidence
	}
	evidence.failedOn[event.Worker] = struct{}{}
	evidence.lastFailureAt = event.Time
	if worker := quarantiner.currentWorker(event); worker != nil {
		worker.failures = append(worker.failures, failure{job: event.Task.Job, queue: keyOf(event), failedAt: event.Time})
		worker.failures = worker.failures[max(0, len(worker.failures)-maxFailures):]
	}
}

// maxFailures is how many failures are kept per worker.
const maxFailures = 256

func keyOf(event *applier.Event) queueKey {
	return queueKey{event.Spec.ClientAccount, event.Spec.Queue}
}

// currentWorker returns the worker if the event concerns its current incarnation,
// or nil.
func (quarantiner *Quarantiner) currentWorker(event *applier.Event) *worker {
	worker := quarantiner.workers[event.Worker]
	if worker == nil || worker.incarnation != event.Incarnation {
		return nil
	}
	return worker
}

// Decide returns the state changes of workers to propose. Each is not returned
// again until it is applied or Undo is called.
func (quarantiner *Quarantiner) Decide(now modeller.Millis) []*applier.SetWorker {
	quarantiner.dropOldEvidence(now)
	var changes []*applier.SetWorker
	available := quarantiner.availableQuarantines()
	for _, name := range slices.Sorted(maps.Keys(quarantiner.workers)) {
		worker := quarantiner.workers[name]
		if worker.proposed != 0 {
			continue
		}
		change := quarantiner.evaluate(worker, now)
		if change == nil || change.State == modeller.WorkerQuarantined && available == 0 {
			continue
		}
		if change.State == modeller.WorkerQuarantined {
			available--
		}
		worker.proposed = change.State
		changes = append(changes, change)
	}
	return changes
}

// Undo reverts a proposed change that was not applied.
func (quarantiner *Quarantiner) Undo(change *applier.SetWorker) {
	if worker := quarantiner.workers[change.Worker]; worker != nil && worker.proposed == change.State {
		worker.proposed = 0
	}
}

// availableQuarantines returns how many more workers may be quarantined.
func (quarantiner *Quarantiner) availableQuarantines() int {
	quarantined := 0
	for _, worker := range quarantiner.workers {
		if worker.state == modeller.WorkerQuarantined || worker.proposed == modeller.WorkerQuarantined {
			quarantined++
		}
	}
	limit := max(1, int(quarantiner.config.MostShare*float64(len(quarantiner.workers))))
	return max(0, limit-quarantined)
}

func (quarantiner *Quarantiner) evaluate(worker *worker, now modeller.Millis) *applier.SetWorker {
	switch worker.state {
	case modeller.WorkerUp:
		count := quarantiner.countBlamedJobs(worker, now)
		if count >= quarantiner.config.Threshold && worker.successes < count {
			return worker.stateChange(modeller.WorkerQuarantined, fmt.Sprintf("failed %d jobs of queues in which other workers succeed, with %d successes", count, worker.successes))
		}
	case modeller.WorkerQuarantined:
		if now >= worker.quarantinedUntil {
			worker.failures, worker.successes = nil, 0
			return worker.stateChange(modeller.WorkerProbation, "quarantine ended; probation with one task at a time")
		}
	case modeller.WorkerProbation:
		if worker.successes > 0 {
			worker.failures, worker.successes = nil, 0
			return worker.stateChange(modeller.WorkerUp, "succeeded on probation")
		}
		if quarantiner.countBlamedJobs(worker, now) > 0 {
			return worker.stateChange(modeller.WorkerQuarantined, "failed on probation")
		}
	}
	return nil
}

func (worker *worker) stateChange(state modeller.WorkerState, reason string) *applier.SetWorker {
	return &applier.SetWorker{Worker: worker.name, Incarnation: worker.incarnation, State: state, Reason: reason}
}

// countBlamedJobs counts the different jobs whose failures are attributed to the
// worker.
func (quarantiner *Quarantiner) countBlamedJobs(worker *worker, now modeller.Millis) int {
	blamed := make(map[modeller.JobID]struct{})
	for _, failure := range worker.failures {
		if now-failure.failedAt <= quarantiner.config.Window && quarantiner.othersSucceed(worker.name, &failure, now) {
			blamed[failure.job] = struct{}{}
		}
	}
	return len(blamed)
}

// othersSucceed reports whether the job failed on no other worker and another
// worker succeeded in its queue within the window.
func (quarantiner *Quarantiner) othersSucceed(name modeller.WorkerName, failure *failure, now modeller.Millis) bool {
	if evidence := quarantiner.jobs[failure.job]; evidence != nil && len(evidence.failedOn) > 1 {
		return false
	}
	queueEvidence := quarantiner.queues[failure.queue]
	if queueEvidence == nil {
		return false
	}
	for other, succeededAt := range queueEvidence.lastSuccesses {
		if other != name && now-succeededAt <= quarantiner.config.Window {
			return true
		}
	}
	return false
}

// dropOldEvidence drops failures and successes older than the window, at most four
// times per window.
func (quarantiner *Quarantiner) dropOldEvidence(now modeller.Millis) {
	if now-quarantiner.evidenceDroppedAt < quarantiner.config.Window/4 {
		return
	}
	quarantiner.evidenceDroppedAt = now
	cutoff := now - quarantiner.config.Window
	for _, worker := range quarantiner.workers {
		worker.dropOldFailures(cutoff)
	}
	maps.DeleteFunc(quarantiner.jobs, func(_ modeller.JobID, jobEvidence *jobEvidence) bool { return jobEvidence.lastFailureAt < cutoff })
	for _, queueEvidence := range quarantiner.queues {
		maps.DeleteFunc(queueEvidence.lastSuccesses, func(_ modeller.WorkerName, succeededAt modeller.Millis) bool { return succeededAt < cutoff })
	}
	maps.DeleteFunc(quarantiner.queues, func(_ queueKey, queueEvidence *queueEvidence) bool { return len(queueEvidence.lastSuccesses) == 0 })
}

func (worker *worker) dropOldFailures(cutoff modeller.Millis) {
	firstKept, _ := slices.BinarySearchFunc(worker.failures, cutoff, func(failure failure, cutoff modeller.Millis) int {
		return cmp.Compare(failure.failedAt, cutoff)
	})
	worker.failures = worker.failures[firstKept:]
	if len(worker.failures) == 0 {
		worker.successes = 0
	}
}
