package planner

import (
	"fmt"
	"slices"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/modeller"
)

const (
	// maxScored is how many workers with room are scored for one task.
	maxScored = 8
	// maxVisited is how many workers one search visits, stale ones included.
	maxVisited = 64
	// maxRunnersUp is how many rejected candidates a decision lists.
	maxRunnersUp = 2
)

type candidate struct {
	worker *worker
	score  float64
}

// choice is the outcome of one search.
type choice struct {
	best      candidate
	runnersUp [maxRunnersUp]candidate
	scored    int
	rule      string
}

// pick scores a sample of the workers that have room for a task of the job and
// returns the best. If near is not nil, workers close to it score higher.
func (view *View) pick(job *job, near *worker, now modeller.Millis) choice {
	var found choice
	size := job.spec.Size
	if !view.lastUnplaceableSize.IsZero() && view.lastUnplaceableSize.Fits(size) {
		return found
	}
	scorer := view.scorer(job, near)
	found.rule = scorer.rule
	visited := 0
	view.index.Scan(size, scorer.startPosition, func(position int) bool {
		visited++
		worker := view.sortedWorkers[position]
		if view.fresh(worker) {
			found.add(candidate{worker: worker, score: scorer.score(worker) - job.failurePenalty(worker)})
		}
		return found.scored < maxScored && visited < maxVisited
	})
	if found.best.worker == nil && visited < maxVisited {
		view.lastUnplaceableSize = size
	}
	if found.best.worker == nil {
		view.backfill(&found, job, now)
	}
	return found
}

// failedOnPenalty exceeds every score, so that a worker which failed the job is
// chosen only if the sample has no other.
const failedOnPenalty = 10

// failurePenalty returns how much the score of a worker is lowered because an
// attempt of the job failed on it.
func (job *job) failurePenalty(worker *worker) float64 {
	if slices.Contains(job.failedOn, worker.description.Name) {
		return failedOnPenalty
	}
	return 0
}

func (view *View) fresh(worker *worker) bool {
	fresh := view.config.Fresh
	return fresh == nil || fresh(worker.description.Name, worker.description.Incarnation)
}

// add inserts a scored candidate into the best and the runners-up.
func (choice *choice) add(next candidate) {
	choice.scored++
	if choice.best.worker == nil || next.score > choice.best.score {
		choice.best, next = next, choice.best
	}
	for index := range choice.runnersUp {
		slot := &choice.runnersUp[index]
		if next.worker != nil && (slot.worker == nil || next.score > slot.score) {
			*slot, next = next, *slot
		}
	}
}

func (choice *choice) runnerUpList() []applier.RunnerUp {
	var list []applier.RunnerUp
	for _, candidate := range choice.runnersUp {
		if candidate.worker != nil {
			list = append(list, applier.RunnerUp{Worker: candidate.worker.description.Name, Score: candidate.score})
		}
	}
	return list
}

// scorer holds the position where the search for a job starts and the function
// that scores a worker.
type scorer struct {
	startPosition int
	rule          string
	score         func(worker *worker) float64
}

func (view *View) scorer(job *job, near *worker) scorer {
	size := job.spec.Size
	switch {
	case len(view.sortedWorkers) == 0:
		return scorer{score: func(*worker) float64 { return 0 }}
	case job.spec.Kind == modeller.Service:
		serviceSpread := view.serviceSpread(job)
		return scorer{startPosition: view.config.Random.IntN(len(view.sortedWorkers)), rule: "spread", score: serviceSpread.score}
	case near != nil:
		return scorer{startPosition: near.position, rule: "packed near the gang", score: func(worker *worker) float64 {
			return packingScore(worker, size) + proximity(worker, near)
		}}
	}
	return scorer{rule: "packed", score: func(worker *worker) float64 { return packingScore(worker, size) }}
}

// packingScore returns the utilisation of the worker, from 0 to 1, after a task
// of the size is placed on it.
func packingScore(worker *worker, size modeller.Resources) float64 {
	capacity := worker.description.Capacity
	remaining := worker.free.Sub(size)
	return 1 - (fraction(remaining.MilliProcessors, capacity.MilliProcessors)+fraction(remaining.MemoryMiB, capacity.MemoryMiB))/2
}

func fraction(amount, whole int64) float64 {
	return float64(amount) / float64(max(whole, 1))
}

func proximity(worker, near *worker) float64 {
	switch {
	case worker.description.DataCentre != near.description.DataCentre:
		return 0
	case worker.description.Rack != near.description.Rack:
		return 0.5
	}
	return 1
}

// serviceSpread counts the placed tasks of a service by data centre, rack and worker.
type serviceSpread struct {
	job         *job
	dataCentres map[modeller.DataCentreName]int
	racks       map[modeller.RackName]int
	workers     map[*worker]int
}

func (view *View) serviceSpread(job *job) *serviceSpread {
	counts := &serviceSpread{
		job:         job,
		dataCentres: make(map[modeller.DataCentreName]int),
		racks:       make(map[modeller.RackName]int),
		workers:     make(map[*worker]int),
	}
	for index := range job.tasks {
		if worker := job.tasks[index].worker; worker != nil {
			counts.dataCentres[worker.description.DataCentre]++
			counts.racks[worker.description.Rack]++
			counts.workers[worker]++
		}
	}
	return counts
}

// score is higher the fewer tasks of the service run in the same data centre, on
// the same rack and on the same worker; between equals, emptier workers win.
func (serviceSpread *serviceSpread) score(worker *worker) float64 {
	nearby := 4*serviceSpread.dataCentres[worker.description.DataCentre] + 2*serviceSpread.racks[worker.description.Rack] + serviceSpread.workers[worker]
	used := worker.description.Capacity.Sub(worker.free).Add(serviceSpread.job.spec.Size)
	return 1/(1+float64(nearby)) + (1-used.DominantShare(worker.description.Capacity))/16
}

func (choice *choice) reason(job *job) string {
	return fmt.Sprintf("%s, %s: best of %d with room; weighted share %.4f", classReason(job), choice.rule, choice.scored, job.account.WeightedShare())
}
