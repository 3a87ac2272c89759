package allotter

import (
	"math"
	"slices"

	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// options returns the workers that could take one task now, best first. The slice
// is used again for the next step.
func (allotter *Allotter) options(step *waiting) []*Candidate {
	held := step.step.Held()
	return allotter.rank(step, func(worker *stager.Worker) bool { return held.Fits(allotter.left(worker)) })
}

// possible returns the workers that could take one task if they were empty, best
// first. The slice is that of options.
func (allotter *Allotter) possible(step *waiting) []*Candidate {
	held := step.step.Held()
	return allotter.rank(step, func(worker *stager.Worker) bool { return held.Fits(worker.Capacity) })
}

// suits reports whether a worker may run the step's tasks, whatever its room.
func (allotter *Allotter) suits(step *waiting, worker *stager.Worker) bool {
	return worker.Pool == step.queue.Pool && worker.Bears(step.step.Label) && allotter.bearable(step.step, worker)
}

// Bits of a rank, from the lowest on: the candidate's place, how full it is in
// thousandths, its slowness, whether it is far, and its doubt.
const (
	placeBits    = 16
	fullBits     = 10
	slownessBits = 10
	doubtMost    = 1000
	fullMost     = 1<<fullBits - 1
)

// rank returns the workers that suit a step and for which a condition holds, the
// best first. Tasks go to the fullest worker, so that whole ones stay free for
// wide steps; a gang goes to the emptiest, so that few workers hold it.
func (allotter *Allotter) rank(step *waiting, holds func(*stager.Worker) bool) []*Candidate {
	ranks, options := allotter.scratch.ranks[:0], allotter.scratch.options[:0]
	for at := range allotter.config.Candidates {
		candidate := &allotter.config.Candidates[at]
		if !holds(candidate.Worker) || !allotter.suits(step, candidate.Worker) {
			continue
		}
		full := min(free(candidate.Worker), fullMost)
		if step.step.Gang {
			full = fullMost - full
		}
		rank := int64(min(candidate.Doubt, doubtMost))
		rank = rank<<1 | farness(step.step, candidate.Worker)
		rank = rank<<slownessBits | step.slowness(candidate.Pace)
		rank = rank<<fullBits | full
		ranks = append(ranks, rank<<placeBits|int64(at))
	}
	slices.Sort(ranks)
	for _, rank := range ranks {
		options = append(options, &allotter.config.Candidates[rank&(1<<placeBits-1)])
	}
	allotter.scratch.ranks, allotter.scratch.options = ranks, options
	return options
}

// bearable keeps tasks that fill apart from tasks that serve: each disturbs the
// other by amounts that only a measurement tells.
func (allotter *Allotter) bearable(step *stager.Step, worker *stager.Worker) bool {
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
	// slowFrom is the pace from which on a worker counts as slow: sound ones
	// differ by a quarter either way.
	slowFrom = 1.6
	// slowRank is behind all ranks of sound workers, and the highest there is.
	slowRank = 1<<slownessBits - 1
	// paceRanks is how many ranks a hurried step makes of the usual pace, which is
	// measured to about a tenth.
	paceRanks = 10
)

// slowness ranks a worker's pace. Only a step in a hurry looks for fast ones.
func (step *waiting) slowness(pace float64) int64 {
	switch {
	case pace >= slowFrom:
		return slowRank
	case step.hurried && pace > 0:
		return int64(math.Round(pace * paceRanks))
	case step.hurried:
		return paceRanks
	}
	return 0
}

// farness is 1 on workers that are far from a step's data.
func farness(step *stager.Step, worker *stager.Worker) int64 {
	if step.DataRack != "" && worker.Rack != step.DataRack {
		return 1
	}
	return 0
}

// free is what a worker has left, by its scarcer resource in thousandths.
func free(worker *stager.Worker) int64 {
	left := worker.Capacity.Sub(worker.Used())
	return max(0, min(left.MilliProcessors*1000/max(1, worker.Capacity.MilliProcessors), left.MemoryMiB*1000/max(1, worker.Capacity.MemoryMiB)))
}

// place puts as many tasks as fit on the options, a gang's only all together.
// It returns how many were placed.
func (allotter *Allotter) place(step *waiting, options []*Candidate) int {
	if len(options) == 0 {
		return 0
	}
	if step.step.Gang && step.step.OneRack {
		options = allotter.oneRack(step, options)
	}
	proposed := allotter.assign(step, options)
	if len(proposed.Tasks) == 0 || step.step.Gang && len(proposed.Tasks) < len(step.tasks) {
		return 0
	}
	if allotter.config.Place(proposed) != nil {
		return 0
	}
	return len(proposed.Tasks)
}

// assign fills the options one after the other.
func (allotter *Allotter) assign(step *waiting, options []*Candidate) *stager.Place {
	place := &stager.Place{Step: step.id, Tasks: make([]stager.Placed, 0, len(step.tasks))}
	approval := allotter.config.Approval(step.id)
	room := allotter.config.State.Room(step.job.ClientAccount)
	held := step.step.Held()
	at := 0
	for _, option := range options {
		if at == len(step.tasks) {
			break
		}
		worker := option.Worker
		left := allotter.left(worker)
		here := 0
		if step.step.MostPerWorker > 0 {
			here = worker.OfStep(step.id)
		}
		for at < len(step.tasks) && held.Fits(left) && step.step.Size.Fits(room) {
			if step.step.MostPerWorker > 0 && here >= int(step.step.MostPerWorker) {
				break
			}
			id := stager.TaskID{StepID: step.id, Index: step.tasks[at]}
			place.Tasks = append(place.Tasks, stager.Placed{
				Index: id.Index, Attempt: step.nextAttempt(id),
				Worker: worker.Name, Life: worker.Life, Ticket: approval.Tickets[worker.Name].Ticket,
			})
			left = left.Sub(held)
			room = room.Sub(step.step.Size)
			at++
			here++
			if held.IsZero() {
				break
			}
		}
	}
	return place
}

// nextAttempt returns the number under which a task is placed next, which all
// tasks of a gang share.
func (step *waiting) nextAttempt(id stager.TaskID) modeller.Attempt {
	if !step.step.Gang {
		return step.job.NextAttempt(id)
	}
	if step.attempt == 0 {
		step.attempt = step.job.NextAttempt(id)
	}
	return step.attempt
}

// oneRack narrows the options to the rack with the most room, if one holds all
// of the step.
func (allotter *Allotter) oneRack(step *waiting, options []*Candidate) []*Candidate {
	racks := make(map[modeller.RackName][]*Candidate)
	for _, option := range options {
		racks[option.Worker.Rack] = append(racks[option.Worker.Rack], option)
	}
	var best []*Candidate
	for _, rack := range racks {
		if len(rack) > len(best) && len(allotter.assign(step, rack).Tasks) == len(step.tasks) {
			best = rack
		}
	}
	if best != nil {
		return best
	}
	return options
}
