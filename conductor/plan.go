package conductor

import (
	"time"

	"github.com/dotterelrill/dotterelrill/allotter"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// planPauseFactor is how many times the duration of a pass the pause after it is at
// least: passes take at most a third of the leader's time, also when thousands of steps
// wait, and the rest is left for workers, callers and the log.
const planPauseFactor = 2

// plan runs a placement pass over the waiting steps if a change may let one
// start.
func (conductor *Conductor) plan() {
	startedAt := conductor.config.Clock()
	if !conductor.placementPending || conductor.inFlight >= maxBatchesInFlight || conductor.failure != nil || startedAt < conductor.nextPlanAt || !conductor.config.Leads() {
		return
	}
	conductor.placementPending = false
	pass := allotter.New(allotter.Config{
		State:      conductor.state,
		Now:        conductor.config.Now(),
		Elapsed:    conductor.elapsed(),
		Candidates: conductor.candidates(),
		Approval:   func(step stager.StepID) *allotter.Approval { return &conductor.approval(step).Approval },
		Place: func(place *stager.Place) error {
			job := conductor.state.Jobs[place.Step.Job]
			firstPlacement := !job.Started
			if err := conductor.applyCommand(&stager.Command{Place: place}); err != nil {
				return err
			}
			conductor.instruments.tasksPlaced.Add(len(place.Tasks))
			if firstPlacement {
				conductor.unbegun.add(job)
				conductor.instruments.wait.Update(float64(conductor.state.Now-job.Accepted) / 1000)
			}
			conductor.noteStarted(job, place)
			conductor.startAttempts(place)
			return nil
		},
		Ask:              conductor.ask,
		AdviserFree:      conductor.config.AdviserFree,
		RunTime:          conductor.runTime,
		ExpectedReleases: conductor.expectedReleases,
		Quiet:            conductor.quiet,
		OnTrial:          conductor.taskOnTrial,
		Trials:           conductor.countTrials(),
		Waiter:           conductor.waiter,
	})
	conductor.summary = pass.Run()
	conductor.scarce = pass.Scarce()
	finishedAt := conductor.config.Clock()
	conductor.nextPlanAt = finishedAt + planPauseFactor*(finishedAt-startedAt)
	conductor.instruments.plan.Update((finishedAt - startedAt).Seconds())
	conductor.load.passes++
	conductor.load.planTime += finishedAt - startedAt
}

// load is what the conductor did since the load was last logged.
type load struct {
	// passes counts the placement passes, which took planTime in all.
	passes   int
	planTime time.Duration
	// lag is the longest time that work waited in the mailbox before it was run.
	lag time.Duration
	// batches counts the batches that were committed or failed, with commands commands
	// in all. The time from proposal to commit is commitTime in all, and maxCommitTime
	// for the slowest one.
	batches, commands         int
	commitTime, maxCommitTime time.Duration
	// starts and holds count the calls that were sent to workers, repeatedStarts the
	// starts among them that had been sent before, and unanswered the calls that ended
	// without an answer. advices counts the adviser's answers.
	starts, repeatedStarts, holds, probes, unanswered, advices int
	// processorTime is what the process had used when the load was last logged.
	processorTime time.Duration
}

// addBatch counts a batch that took the time from its proposal to its commit.
func (load *load) addBatch(commands int, took time.Duration) {
	load.batches++
	load.commands += commands
	load.commitTime += took
	load.maxCommitTime = max(load.maxCommitTime, took)
}

// loadLogInterval is how often the load is logged.
const loadLogInterval = time.Second

// logLoad logs the load, which shows afterwards what a job waited for.
func (conductor *Conductor) logLoad() {
	now := conductor.config.Clock()
	if now < conductor.nextLoadLogAt {
		return
	}
	conductor.nextLoadLogAt = now + loadLogInterval
	usable := conductor.candidates()
	var free modeller.Resources
	for _, candidate := range usable {
		free = free.Add(candidate.Worker.Capacity.Sub(candidate.Worker.Used()))
	}
	summary := conductor.summary
	conductor.instruments.setWaiting(summary, conductor.scarce)
	processorTime := conductor.processorTime()
	logger.Info(conductor.config.Logger, "load", "OpenJobs", len(conductor.state.Open()), "StepsAsking", summary.Asking, "StepsWithoutRoom", summary.NoRoom, "StepsWithoutAdviser", summary.NoAdviser, "Scarce", conductor.scarce,
		"StepsAtLimit", summary.AtLimit, "Workers", len(conductor.connections), "Usable", len(usable),
		"FreeMilliProcessors", free.MilliProcessors, "FreeMemoryMiB", free.MemoryMiB, "BatchesInFlight", conductor.inFlight,
		"Passes", conductor.load.passes, "PlanMillis", conductor.load.planTime.Milliseconds(), "LagMillis", conductor.load.lag.Milliseconds(),
		"Batches", conductor.load.batches, "Commands", conductor.load.commands, "CommitMillis", conductor.load.commitTime.Milliseconds(),
		"MaxCommitMillis", conductor.load.maxCommitTime.Milliseconds(),
		"Starts", conductor.load.starts, "RepeatedStarts", conductor.load.repeatedStarts, "Holds", conductor.load.holds, "Probes", conductor.load.probes,
		"Unanswered", conductor.load.unanswered, "Advices", conductor.load.advices, "ProcessorMillis", (processorTime - conductor.load.processorTime).Milliseconds())
	conductor.load = load{processorTime: processorTime}
	conductor.logRefusals()
}

// processorTime returns the processor time that the process has used, or zero if it is
// not known.
func (conductor *Conductor) processorTime() time.Duration {
	if conductor.config.ProcessorTime == nil {
		return 0
	}
	return conductor.config.ProcessorTime()
}

// candidates returns the workers that may get work now, sorted by name. The
// slice is reused by the next call.
func (conductor *Conductor) candidates() []allotter.Candidate {
	now := conductor.config.Clock()
	candidates := conductor.candidateBuffer[:0]
	ordered := conductor.state.DataCentres.Ordered()
	for _, connection := range conductor.sortedConnections {
		worker := conductor.state.Workers[connection.name]
		if worker != nil && !worker.Leaving && conductor.usable(connection, now) && !connection.onTrial(now) &&
			(!ordered || !conductor.state.Evacuated(worker) && conductor.returned(connection, worker, now)) {
			candidates = append(candidates, allotter.Candidate{
				Worker: worker, RecentFailures: connection.failureStreak, Pace: connection.pace.Factor(), LostRecently: conductor.lostRecently(connection.address),
			})
		}
	}
	conductor.candidateBuffer = candidates
	conductor.reserveForMoves(candidates)
	return candidates
}
