package allotter

import (
	"math"
	"slices"

	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// freeNow returns the room of a worker that is free and not reserved, freeWhenEmpty the
// room that it would have if it were empty.
func freeNow(candidate *Candidate) *modeller.Resources       { return &candidate.free }
func freeWhenEmpty(candidate *Candidate) *modeller.Resources { return &candidate.Worker.Capacity }

func anyWorker(*Candidate) bool { return true }

// eligible reports whether a worker may run the step's tasks, regardless of its
// free room. While the step waits for a rack, other workers may not.
func (allotter *Allotter) eligible(step *readyStep, worker *stager.Worker) bool {
	return worker.Pool == step.queue.Pool && allotter.admits(worker) && worker.HasLabel(step.spec.Label) && allotter.compatible(step.spec, worker)
}

// Fields of a rank, from the lowest bits up: the candidate's index, its free
// capacity in thousandths (inverted for a gang), the rank of its pace, one bit
// if it is remote from the step's data, and its recent failures.
const (
	indexBits         = 16
	freeBits          = 10
	paceBits          = 10
	maxRecentFailures = 1000
	maxFree           = 1<<freeBits - 1
)

// ranked returns the eligible workers that satisfy a condition and whose room holds one
// of the step's tasks, best first. The slice is reused by the next call.
func (allotter *Allotter) ranked(step *readyStep, room func(*Candidate) *modeller.Resources, satisfies func(*Candidate) bool) []*Candidate {
	ranks := allotter.scratch.ranks[:0]
	demand := step.spec.Demand()
	for index := range allotter.config.Candidates {
		candidate := &allotter.config.Candidates[index]
		if demand.Fits(*room(candidate)) && allotter.eligible(step, candidate.Worker) && satisfies(candidate) {
			ranks = append(ranks, step.rank(candidate)<<indexBits|int64(index))
		}
	}
	return allotter.sortRanks(ranks)
}

// rank returns how good a worker is for a step, lower is better. Single tasks go to the
// fullest workers, so that whole workers stay free for wide steps; a gang goes to the
// emptiest, so that it occupies few workers, and a suspect too, so that it harms few others.
func (step *readyStep) rank(candidate *Candidate) int64 {
	free := min(freePerMille(candidate.Worker), maxFree)
	if step.spec.Gang || step.isolated {
		free = maxFree - free
	}
	failures := candidate.RecentFailures
	if step.isolated && candidate.LostRecently {
		failures = maxRecentFailures
	}
	rank := int64(min(failures, maxRecentFailures))
	rank = rank<<1 | remoteRank(step.spec, candidate.Worker)
	rank = rank<<paceBits | step.paceRank(candidate.Pace)
	return rank<<freeBits | free
}

// sortRanks returns the candidates of ranks, which hold an index each, best first.
func (allotter *Allotter) sortRanks(ranks []int64) []*Candidate {
	slices.Sort(ranks)
	candidates := allotter.scratch.candidates[:0]
	for _, rank := range ranks {
		candidates = append(candidates, &allotter.config.Candidates[rank&(1<<indexBits-1)])
	}
	allotter.scratch.ranks, allotter.scratch.candidates = ranks, candidates
	return candidates
}

// compatible reports whether the step's tasks can run beside those on the
// worker. It keeps filler tasks apart from serving tasks, as they slow each
// other down by amounts that are not known without a measurement.
func (allotter *Allotter) compatible(step *stager.Step, worker *stager.Worker) bool {
	if !step.Filler && step.LatencyObjective == 0 {
		return true
	}
	for _, id := range allotter.config.State.LiveOn(worker.Name) {
		other := &allotter.config.State.Jobs[id.Job].Steps[id.Step]
		if step.Filler && other.LatencyObjective > 0 || step.LatencyObjective > 0 && other.Filler {
			return false
		}
	}
	return true
}

const (
	// slowPace is the pace from which a worker counts as slow; healthy ones
	// differ from the usual by a quarter either way.
	slowPace = 1.6
	// slowPaceRank is the highest value of the rank's pace field, and so sorts
	// after all healthy workers.
	slowPaceRank = 1<<paceBits - 1
	// ranksPerUsualPace is the rank of the usual pace for a step that needs a
	// fast worker. Paces are measured to about a tenth, so one rank is a tenth
	// of the usual pace.
	ranksPerUsualPace = 10
)

// paceRank returns the rank of a worker's pace. Only a step that needs a fast
// worker prefers fast ones; every step avoids slow ones.
func (step *readyStep) paceRank(pace float64) int64 {
	switch {
	case pace >= slowPace:
		return slowPaceRank
	case step.needsFastWorker && pace > 0:
		return int64(math.Round(pace * ranksPerUsualPace))
	case step.needsFastWorker:
		return ranksPerUsualPace
	}
	return 0
}

// remoteRank returns 1 for a worker outside the rack that holds the step's
// data, and 0 otherwise.
func remoteRank(step *stager.Step, worker *stager.Worker) int64 {
	if step.DataRack != "" && worker.Rack != step.DataRack {
		return 1
	}
	return 0
}

// freePerMille returns what is free on a worker in thousandths of its capacity,
// by its scarcer resource.
func freePerMille(worker *stager.Worker) int64 {
	free := worker.Capacity.Sub(worker.Used())
	return max(0, min(free.MilliProcessors*1000/max(1, worker.Capacity.MilliProcessors), free.MemoryMiB*1000/max(1, worker.Capacity.MemoryMiB)))
}

// place places as many tasks as fit on the candidates, a gang only as a whole.
// It returns how many were placed.
func (allotter *Allotter) place(step *readyStep, candidates []*Candidate) int {
	if step.isolated {
		candidates = slices.DeleteFunc(slices.Clone(candidates), func(candidate *Candidate) bool { return !allotter.quiet(candidate) })
	}
	if len(candidates) == 0 {
		return 0
	}
	if step.spec.Gang && step.spec.OneRack {
		candidates = allotter.oneRack(step, candidates)
	}
	placement := allotter.assign(step, candidates)
	if len(placement.Tasks) == 0 || step.spec.Gang && len(placement.Tasks) < len(step.tasks) {
		return 0
	}
	if allotter.config.Place(placement) != nil {
		return 0
	}
	allotter.reserve(step, workersOf(placement))
	allotter.free = allotter.free.Sub(step.spec.Demand().Times(int64(len(placement.Tasks))))
	return len(placement.Tasks)
}

func (allotter *Allotter) quiet(candidate *Candidate) bool {
	return allotter.config.Quiet == nil || allotter.config.Quiet(candidate.Worker.Name)
}

// reserveForTrial reserves the workers that suspects would begin on, so that nothing else
// begins there until they do.
func (allotter *Allotter) reserveForTrial(step *readyStep, candidates []*Candidate) {
	if step.isolated && !step.spec.Gang {
		allotter.reserve(step, workersOf(allotter.assign(step, candidates)))
	}
}

// assign fills the candidates one after the other with the step's tasks, within
// the client account's limit, and returns the resulting placement, which may
// lack tasks.
func (allotter *Allotter) assign(step *readyStep, candidates []*Candidate) *stager.Place {
	placement := &stager.Place{Step: step.id}
	if len(candidates) == 0 {
		return placement
	}
	placement.Tasks = make([]stager.TaskPlacement, 0, len(step.tasks))
	approval := allotter.config.Approval(step.id)
	room := allotter.config.State.Room(step.job.ClientAccount)
	held := step.spec.Demand()
	next := 0
	for _, candidate := range candidates {
		if next == len(step.tasks) {
			break
		}
		worker := candidate.Worker
		free := candidate.free
		onWorker := 0
		if step.spec.MostPerWorker > 0 {
			onWorker = worker.AttemptsOf(step.id)
		}
		for next < len(step.tasks) && held.Fits(free) && step.spec.Size.Fits(room) {
			if step.spec.MostPerWorker > 0 && onWorker >= int(step.spec.MostPerWorker) {
				break
			}
			id := stager.TaskID{StepID: step.id, Index: step.tasks[next]}
			placement.Tasks = append(placement.Tasks, stager.TaskPlacement{
				Index: id.Index, Attempt: step.nextAttempt(id),
				Worker: worker.Name, Life: worker.Life, Ticket: approval.Tickets[worker.Name].Ticket,
			})
			free = free.Sub(held)
			room = room.Sub(step.spec.Size)
			next++
			onWorker++
			if held.IsZero() || step.isolated && !step.spec.Gang {
				break
			}
		}
	}
	return placement
}

// nextAttempt returns the number of a task's next attempt, which all tasks of a
// gang share.
func (step *readyStep) nextAttempt(id stager.TaskID) modeller.Attempt {
	if !step.spec.Gang {
		return step.job.NextAttempt(id)
	}
	if step.gangAttempt == 0 {
		step.gangAttempt = step.job.NextAttempt(id)
	}
	return step.gangAttempt
}

// oneRack narrows the candidates to those of one rack that can hold all of the
// step's tasks: the one with the most candidates or, of several such racks, that of
// the first candidate. If there is none, it returns all candidates.
func (allotter *Allotter) oneRack(step *readyStep, candidates []*Candidate) []*Candidate {
	racks := make(map[modeller.RackName][]*Candidate)
	var names []modeller.RackName
	for _, candidate := range candidates {
		name := candidate.Worker.Rack
		if racks[name] == nil {
			names = append(names, name)
		}
		racks[name] = append(racks[name], candidate)
	}
	var best []*Candidate
	for _, name := range names {
		if rack := racks[name]; len(rack) > len(best) && len(allotter.assign(step, rack).Tasks) == len(step.tasks) {
			best = rack
		}
	}
	if best != nil {
		return best
	}
	return candidates
}
