package baseliner

import (
	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// maxScoredWorkers is the number of workers with enough free resources that are
// scored for one task.
const maxScoredWorkers = 16

// maxRunnersUp is the number of rejected candidates that a decision records.
const maxRunnersUp = 2

type candidate struct {
	worker *worker
	score  float64
}

// pick returns the candidate with the highest score among a sample of the workers
// with enough free resources for a task of the job, and the best of the others as
// runners-up. The candidate's worker is nil if no worker has enough. With FirstFit
// it returns the first worker that does.
func (view *View) pick(job *job) (candidate, []applier.RunnerUp) {
	var best candidate
	var runnersUp []applier.RunnerUp
	if len(view.workerList) == 0 {
		return best, nil
	}
	start := 0
	if !view.config.FirstFit {
		start = view.config.Random.IntN(len(view.workerList))
	}
	scored := 0
	for offset := range view.workerList {
		worker := view.workerList[(start+offset)%len(view.workerList)]
		if !view.hasRoom(worker, job.spec.Size) {
			continue
		}
		found := candidate{worker: worker, score: score(worker, job)}
		if best.worker == nil || found.score > best.score {
			best, found = found, best
		}
		runnersUp = addRunnerUp(runnersUp, found)
		scored++
		if scored == maxScoredWorkers || view.config.FirstFit {
			break
		}
	}
	return best, runnersUp
}

func addRunnerUp(runnersUp []applier.RunnerUp, found candidate) []applier.RunnerUp {
	if found.worker == nil {
		return runnersUp
	}
	next := applier.RunnerUp{Worker: found.worker.description.Name, Score: found.score}
	if len(runnersUp) < maxRunnersUp {
		return append(runnersUp, next)
	}
	for index := range runnersUp {
		if runnersUp[index].Score < next.Score {
			runnersUp[index], next = next, runnersUp[index]
		}
	}
	return runnersUp
}

func (view *View) hasRoom(worker *worker, size modeller.Resources) bool {
	if worker.state != modeller.WorkerUp || worker.slots < 1 || !size.Fits(worker.free) {
		return false
	}
	fresh := view.config.Fresh
	return fresh == nil || fresh(worker.description.Name, worker.description.Incarnation)
}

// score rates a worker for a task of the job, from 0 to 1. Fuller workers score
// higher for batch work and gangs, so that these are packed; emptier workers score
// higher for services, so that these are spread.
func score(worker *worker, job *job) float64 {
	used := worker.description.Capacity.Sub(worker.free).Add(job.spec.Size)
	fullness := used.DominantShare(worker.description.Capacity)
	if job.spec.Kind == modeller.Service {
		return 1 - fullness
	}
	return fullness
}
