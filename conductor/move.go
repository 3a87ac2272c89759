package conductor

import (
	"time"

	"github.com/dotterelrill/dotterelrill/allotter"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

const (
	// maxMoves bounds the tasks that are being moved at a time. Their room is reserved
	// until they have ended; then they are placed by their rank, as all others, so only a
	// few are exposed to a burst at once.
	maxMoves = 8
	// minMoveRemaining is the remaining run time from which a task with checkpoints is
	// moved. A move repeats what was done since the last checkpoint and takes a start
	// and the restore, a second or two in all; below half a minute, waiting for the end
	// costs the operator little.
	minMoveRemaining = 30 * time.Second
	// moveTicketMargin is how long an adviser's ticket must remain valid for a move: the
	// stop, its confirmation and two commits take some 100 to 300 ms.
	moveTicketMargin = 500 * time.Millisecond
	// maxMoveQuestion bounds the workers of a question about a move, and moveUrgency
	// orders it after those about waiting steps.
	maxMoveQuestion = 10
	moveUrgency     = 2
)

// move is a task that was stopped in an evacuated data centre so that it runs elsewhere.
type move struct {
	attempt modeller.Attempt
	// target is the worker on which room was found; the task may be placed on another.
	target modeller.WorkerName
	demand modeller.Resources
}

// forgetMoves drops the moves whose task runs again or need not run any more.
func (conductor *Conductor) forgetMoves() {
	for id, move := range conductor.moves {
		job := conductor.state.Jobs[id.Job]
		if job == nil || job.Over() {
			delete(conductor.moves, id)
			continue
		}
		if task := job.Task(id); task.Done || task.Attempt > move.attempt {
			delete(conductor.moves, id)
		}
	}
}

// move stops those of the attempts that are to run elsewhere, as far as there is room.
// While other work waits for room nothing is moved: what is free is theirs, and work
// that stays loses nothing.
func (conductor *Conductor) move(attempts []liveAttempt) {
	if conductor.summary.NoRoom > 0 || !conductor.config.Leads() {
		return
	}
	var free map[modeller.WorkerName]modeller.Resources
	var candidates []allotter.Candidate
	for _, live := range attempts {
		if len(conductor.moves) >= maxMoves {
			return
		}
		if live.connection.attempts[live.attempt.id] != live.attempt || !conductor.movable(live) {
			continue
		}
		if free == nil {
			candidates = conductor.candidates()
			free = conductor.freeBesideMoves(candidates)
		}
		job := conductor.state.Jobs[live.attempt.id.Job]
		target, unapproved := conductor.roomFor(job, live.attempt.id, candidates, free)
		if target == "" {
			conductor.askForMove(live.attempt.id.StepID, unapproved)
			continue
		}
		demand := job.Steps[live.attempt.id.Step].Demand()
		free[target] = free[target].Sub(demand)
		conductor.moves[live.attempt.id] = move{attempt: live.attempt.number, target: target, demand: demand}
		conductor.instruments.moves.Inc()
		logger.Info(conductor.config.Logger, "task moved", "Task", live.attempt.id.String(), "Attempt", live.attempt.number, "Worker", live.connection.name,
			"RoomOn", target, "Saved", string(live.attempt.saved))
		conductor.stopAttempt(live.connection, live.attempt, "it moves out of an evacuated data centre")
	}
}

// movable reports whether an attempt in an evacuated data centre is to run elsewhere, by
// what its callers lose. A task that lasts until it is cancelled would keep the data
// centre from ever being empty; it moves within its disruption budget, and stays if it
// has none. A long task with a checkpoint moves, as it repeats little. All others finish
// where they are: one without a checkpoint would begin anew, a gang would stop as a whole,
// and a short one has finished before it would run elsewhere.
func (conductor *Conductor) movable(live liveAttempt) bool {
	attempt := live.attempt
	job := conductor.state.Jobs[attempt.id.Job]
	if attempt.state != running || attempt.stopping || job == nil || job.Over() || live.connection.unresponsive {
		return false
	}
	step := &job.Steps[attempt.id.Step]
	if step.Gang || job.Suspect(attempt.id) {
		return false
	}
	if step.Lasting || step.MostAway > 0 {
		if conductor.unavailable(job, attempt.id) >= int(step.MostAway) {
			return false
		}
	}
	if step.Lasting {
		return true
	}
	remaining := attempt.remainingTime(conductor.runTime(job.Queue, step.RunTime), conductor.config.Clock())
	return step.Checkpoints && attempt.saved != "" && remaining >= minMoveRemaining
}

// unavailable returns how many other tasks of a task's step do not serve: those that do
// not run, are being stopped or cannot be reached, and serving tasks that are not in
// service as a whole yet.
func (conductor *Conductor) unavailable(job *stager.Job, id stager.TaskID) int {
	step := &job.Steps[id.Step]
	tasks := job.StepTasks(id.Occurrence, id.Step)
	count := 0
	for index := range tasks {
		task := &tasks[index]
		if uint32(index) == id.Index || task.Done {
			continue
		}
		connection := conductor.connections[task.Worker]
		if !task.Live || connection == nil || connection.unresponsive {
			count++
			continue
		}
		attempt := connection.attempts[stager.TaskID{StepID: id.StepID, Index: uint32(index)}]
		if attempt == nil || attempt.state != running || attempt.stopping || step.LatencyObjective > 0 && attempt.percent < maxPercent {
			count++
		}
	}
	return count
}

// reserveForMoves reserves room on the candidates for the tasks that are being stopped to
// run there. A task that has ended is placed by its rank; one that lasts goes first.
func (conductor *Conductor) reserveForMoves(candidates []allotter.Candidate) {
	for id, move := range conductor.moves {
		job := conductor.state.Jobs[id.Job]
		if job == nil || job.Over() {
			continue
		}
		if task := job.Task(id); !task.Live || task.Attempt != move.attempt {
			continue
		}
		for index := range candidates {
			if candidates[index].Worker.Name == move.target {
				candidates[index].Reserved = candidates[index].Reserved.Add(move.demand)
			}
		}
	}
}

// freeBesideMoves returns what is free on the candidates beside the tasks that are moving
// there.
func (conductor *Conductor) freeBesideMoves(candidates []allotter.Candidate) map[modeller.WorkerName]modeller.Resources {
	free := make(map[modeller.WorkerName]modeller.Resources, len(candidates))
	for _, candidate := range candidates {
		free[candidate.Worker.Name] = candidate.Worker.Capacity.Sub(candidate.Worker.Used())
	}
	for _, move := range conductor.moves {
		free[move.target] = free[move.target].Sub(move.demand)
	}
	return free
}

// roomFor returns a candidate with room for a task, or "" if there is none. Where an
// adviser has to approve of the worker, it also returns those with room that it may be
// asked about.
func (conductor *Conductor) roomFor(job *stager.Job, id stager.TaskID, candidates []allotter.Candidate, free map[modeller.WorkerName]modeller.Resources) (modeller.WorkerName, []modeller.WorkerName) {
	step := &job.Steps[id.Step]
	queue := conductor.state.Queues[job.Queue]
	var unapproved []modeller.WorkerName
	for _, candidate := range candidates {
		worker := candidate.Worker
		if worker.Pool != queue.Pool || !worker.HasLabel(step.Label) || !step.Demand().Fits(free[worker.Name]) {
			continue
		}
		if step.MostPerWorker > 0 && worker.AttemptsOf(id.StepID)+conductor.movesTo(worker.Name, id.StepID) >= int(step.MostPerWorker) {
			continue
		}
		if queue.Advised == nil || conductor.approvedForMove(id.StepID, worker) {
			return worker.Name, nil
		}
		if conductor.approval(id.StepID).Refused[worker.Name] != worker.Life {
			unapproved = append(unapproved, worker.Name)
		}
	}
	return "", unapproved
}

// approvedForMove reports whether the adviser has approved of a worker for a step for
// long enough.
func (conductor *Conductor) approvedForMove(step stager.StepID, worker *stager.Worker) bool {
	ticket, approved := conductor.approval(step).Tickets[worker.Name]
	return approved && ticket.Life == worker.Life && conductor.elapsed()+millis(moveTicketMargin) < ticket.Until
}

// askForMove asks the adviser whether a step may run on the workers, while no question
// about a waiting step is on its way.
func (conductor *Conductor) askForMove(step stager.StepID, workers []modeller.WorkerName) {
	if len(workers) == 0 || conductor.summary.Asking > 0 || conductor.approval(step).Asking {
		return
	}
	conductor.ask(allotter.Question{Step: step, Workers: workers[:min(len(workers), maxMoveQuestion)], Urgency: moveUrgency, Latest: conductor.config.Now()})
}

// movesTo returns how many tasks of a step are moving to a worker.
func (conductor *Conductor) movesTo(worker modeller.WorkerName, step stager.StepID) int {
	count := 0
	for id, move := range conductor.moves {
		if move.target == worker && id.StepID == step {
			count++
		}
	}
	return count
}
