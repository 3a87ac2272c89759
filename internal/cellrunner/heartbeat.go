package cellrunner

import (
	"context"
	"slices"
	"sync"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// repeatStartAfter is the age of a placement in milliseconds from which on its
// start is sent again if the worker does not report the attempt as running.
const repeatStartAfter modeller.Millis = 500

// heartbeat answers the heartbeats that an entry has collected from its workers.
func (runner *Runner) heartbeat(ctx context.Context, request *messenger.HeartbeatRequest) (*messenger.HeartbeatReply, error) {
	leadership, refusal := runner.requireLeadership(request.Cell)
	if refusal != nil {
		return &messenger.HeartbeatReply{Refusal: refusal}, nil
	}
	runner.counters.heartbeats.Add(len(request.Beats))
	answers := make([]messenger.HeartbeatAnswer, len(request.Beats))
	var group sync.WaitGroup
	for index := range request.Beats {
		group.Go(func() { answers[index] = leadership.answerHeartbeat(ctx, &request.Beats[index]) })
	}
	group.Wait()
	// Leases are safe without this check, as explained in package leaser, but the
	// starts and stops in the answers may be stale.
	if !runner.node.Load().Leads() {
		return &messenger.HeartbeatReply{Refusal: runner.notLeader()}, nil
	}
	return &messenger.HeartbeatReply{Answers: answers}, nil
}

func (leadership *leadership) answerHeartbeat(ctx context.Context, heartbeat *messenger.Heartbeat) messenger.HeartbeatAnswer {
	answer := messenger.HeartbeatAnswer{Worker: heartbeat.Worker.Name, Incarnation: heartbeat.Worker.Incarnation}
	if answer.Refusal = leadership.ensureRegistered(ctx, heartbeat); answer.Refusal != nil {
		return answer
	}
	answer.Done = leadership.recordReports(ctx, heartbeat.Reports)
	if heartbeat.Gone {
		leadership.loseDepartedWorker(heartbeat.Worker)
		return answer
	}
	if !leadership.renewLease(heartbeat, &answer) {
		answer.Refusal = coder.Refuse(coder.StaleIncarnation, "the lease has expired, or another incarnation of this worker has taken its place")
		return answer
	}
	leadership.drainServices(ctx, heartbeat.Worker.Name)
	answer.Stay = leadership.drainedServices.pending(heartbeat.Worker.Name, leadership.runsElsewhere)
	leadership.reconcileAttempts(heartbeat, &answer)
	return answer
}

// renewLease renews the worker's lease: up to a deadline on the worker's clock,
// or by a duration if the worker does not report its clock. It returns false if the
// lease cannot be renewed.
func (leadership *leadership) renewLease(heartbeat *messenger.Heartbeat, answer *messenger.HeartbeatAnswer) bool {
	ok := false
	if heartbeat.Clockless {
		answer.Span, ok = leadership.leaser.RenewClockless(heartbeat.Worker.Name, heartbeat.Worker.Incarnation)
	} else {
		answer.Deadline, ok = leadership.leaser.Renew(heartbeat.Worker.Name, heartbeat.Worker.Incarnation, heartbeat.Clock)
	}
	return ok
}

// ensureRegistered proposes the changes that make the state match the worker's
// description and its request to leave.
func (leadership *leadership) ensureRegistered(ctx context.Context, heartbeat *messenger.Heartbeat) *coder.Refusal {
	var known *modeller.WorkerDescription
	var draining, lost bool
	leadership.runner.stateMachine.read(func(state *applier.State) {
		if worker := state.Workers[heartbeat.Worker.Name]; worker != nil {
			description := worker.Description
			known = &description
			draining = worker.State == modeller.WorkerDraining
			lost = slices.Contains(state.Lost, heartbeat.Worker.Incarnation)
		}
	})
	if known != nil && known.Incarnation != heartbeat.Worker.Incarnation {
		return leadership.refuseOtherIncarnation(heartbeat, known, lost)
	}
	if known == nil && (heartbeat.Gone || heartbeat.Leaving) {
		return nil
	}
	if heartbeat.Worker == heartbeat.Worker.Brief() {
		if known == nil {
			return coder.Refuse(coder.UnknownWorker, "the worker is not registered; its next heartbeat has to carry its full description")
		}
		heartbeat.Worker = *known
	}
	if known == nil {
		leadership.leaser.Register(heartbeat.Worker.Name, heartbeat.Worker.Incarnation)
	}
	if known == nil || *known != heartbeat.Worker {
		if refusal := leadership.proposeForWorker(ctx, heartbeat, &applier.Command{JoinWorker: &applier.JoinWorker{Worker: heartbeat.Worker}}); refusal != nil {
			return refusal
		}
	}
	if heartbeat.Leaving && !draining {
		set := &applier.SetWorker{Worker: heartbeat.Worker.Name, Incarnation: heartbeat.Worker.Incarnation, State: modeller.WorkerDraining, Reason: "the worker is leaving"}
		return leadership.proposeForWorker(ctx, heartbeat, &applier.Command{SetWorker: set})
	}
	return nil
}

// refuseOtherIncarnation refuses a heartbeat of an incarnation that is not the registered one.
// A new process supersedes that. But an entry may have passed the heartbeat on late, after the
// registered incarnation joined: one that was lost before, or that leaves, supersedes nothing.
func (leadership *leadership) refuseOtherIncarnation(heartbeat *messenger.Heartbeat, registered *modeller.WorkerDescription, lost bool) *coder.Refusal {
	if lost || heartbeat.Gone || heartbeat.Leaving {
		return coder.Refuse(coder.StaleIncarnation, "another incarnation of the worker is registered")
	}
	leadership.leaser.Supersede(registered.Name, registered.Incarnation)
	return coder.Refuse(coder.StaleIncarnation, "the lease of the previous incarnation has not expired yet")
}

func (leadership *leadership) proposeForWorker(ctx context.Context, heartbeat *messenger.Heartbeat, command *applier.Command) *coder.Refusal {
	result, err := leadership.propose(ctx, "worker "+string(heartbeat.Worker.Name), command)
	if err != nil {
		return leadership.runner.refusalOf(err)
	}
	if !result.Code.Successful() {
		return &coder.Refusal{Code: result.Code, Detail: result.Detail}
	}
	return nil
}

// recordReports proposes reports to the log and returns the keys of those that
// need not be sent again.
func (leadership *leadership) recordReports(ctx context.Context, reports []applier.Report) []messenger.ReportKey {
	codes := leadership.proposeReports(ctx, reports)
	var done []messenger.ReportKey
	for index := range reports {
		if codes[index] != coder.Unknown && codes[index] != coder.AnswerCorrupt {
			done = append(done, messenger.ReportKey{Task: reports[index].Task, Attempt: reports[index].Attempt, Phase: reports[index].Phase})
		}
	}
	return done
}

func (leadership *leadership) proposeReports(ctx context.Context, reports []applier.Report) []coder.Code {
	codes := make([]coder.Code, len(reports))
	var group sync.WaitGroup
	for from := 0; from < len(reports); {
		to := from + 1
		for to < len(reports) && reports[to].Task == reports[from].Task {
			to++
		}
		sameTask, sameTaskCodes := reports[from:to], codes[from:to]
		group.Go(func() { leadership.proposeReportsInOrder(ctx, sameTask, sameTaskCodes) })
		from = to
	}
	group.Wait()
	return codes
}

// proposeReportsInOrder proposes the reports about one task one after another.
func (leadership *leadership) proposeReportsInOrder(ctx context.Context, reports []applier.Report, codes []coder.Code) {
	for index := range reports {
		codes[index] = leadership.proposeReport(ctx, &reports[index])
	}
}

func (leadership *leadership) proposeReport(ctx context.Context, report *applier.Report) coder.Code {
	result, err := leadership.propose(ctx, "worker "+string(report.Worker), &applier.Command{Report: report})
	if err != nil {
		return coder.Unknown
	}
	logger.Info(leadership.runner.logger, "report", "Task", report.Task, "Attempt", report.Attempt, "Worker", report.Worker,
		"Phase", report.Phase, "Code", result.Code)
	return result.Code
}

// reconcileAttempts adds the starts and stops to the answer that bring the
// worker's attempts in line with the state: starts and stops that the worker
// may have missed, and stops of attempts that are not current.
func (leadership *leadership) reconcileAttempts(heartbeat *messenger.Heartbeat, answer *messenger.HeartbeatAnswer) {
	leadership.runner.stateMachine.read(func(state *applier.State) {
		worker := state.Workers[heartbeat.Worker.Name]
		evacuated := worker != nil && state.Evacuated(worker)
		answer.Interval = leadership.leaser.Interval(len(state.Workers))
		now := leadership.runner.now()
		for _, id := range state.LiveOn(heartbeat.Worker.Name) {
			job := state.Jobs[id.Job]
			task := &job.Tasks[id.Index]
			key := messenger.AttemptKey{Task: id, Attempt: task.Attempt}
			switch {
			case task.State == modeller.TaskStopping:
				answer.Stops = append(answer.Stops, key)
			case task.State == modeller.TaskPlaced && !evacuated && now > task.Placed+repeatStartAfter && !slices.Contains(heartbeat.Running, key):
				if start, ok := leadership.describeStart(job.Spec, id, task.Attempt, task.Worker, task.Incarnation); ok {
					answer.Starts = append(answer.Starts, *start)
				}
			}
		}
		for _, key := range heartbeat.Running {
			if !isCurrentAttempt(state, key, heartbeat) {
				answer.Stops = append(answer.Stops, key)
			}
		}
	})
}

// isCurrentAttempt reports whether the attempt is the task's current one and
// was placed on this incarnation of the worker.
func isCurrentAttempt(state *applier.State, key messenger.AttemptKey, heartbeat *messenger.Heartbeat) bool {
	job := state.Jobs[key.Task.Job]
	if job == nil || int(key.Task.Index) >= len(job.Tasks) {
		return false
	}
	task := &job.Tasks[key.Task.Index]
	return task.State.Live() && task.Attempt == key.Attempt && task.Worker == heartbeat.Worker.Name && task.Incarnation == heartbeat.Worker.Incarnation
}

func (runner *Runner) report(ctx context.Context, request *messenger.ReportRequest) (*messenger.ReportReply, error) {
	leadership, refusal := runner.requireLeadership(request.Cell)
	if refusal != nil {
		return &messenger.ReportReply{Refusal: refusal}, nil
	}
	return &messenger.ReportReply{Codes: leadership.proposeReports(ctx, request.Reports)}, nil
}
