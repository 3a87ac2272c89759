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

// repeatAfter is the age from which on a placement that the worker does not
// know of is ordered again.
const repeatAfter modeller.Millis = 500

// beat answers the workers' heartbeats.
func (runner *Runner) beat(ctx context.Context, request *messenger.BeatRequest) (*messenger.BeatReply, error) {
	held, refusal := runner.leading(request.Cell)
	if refusal != nil {
		return &messenger.BeatReply{Refusal: refusal}, nil
	}
	runner.measures.beats.Add(len(request.Beats))
	answers := make([]messenger.BeatAnswer, len(request.Beats))
	var group sync.WaitGroup
	for at := range request.Beats {
		group.Go(func() { answers[at] = held.answerBeat(ctx, &request.Beats[at]) })
	}
	group.Wait()
	// Leases are safe without this look, as the package leaser says, but what
	// the answers order may be out of date.
	if !runner.node.Load().Leads() {
		return &messenger.BeatReply{Refusal: runner.notLeader()}, nil
	}
	return &messenger.BeatReply{Answers: answers}, nil
}

func (held *leadership) answerBeat(ctx context.Context, beat *messenger.Beat) messenger.BeatAnswer {
	answer := messenger.BeatAnswer{Worker: beat.Worker.Name, Incarnation: beat.Worker.Incarnation}
	if answer.Refusal = held.admit(ctx, beat); answer.Refusal != nil {
		return answer
	}
	answer.Done = held.takeReports(ctx, beat.Reports)
	if beat.Gone {
		held.part(beat.Worker)
		return answer
	}
	if !held.renew(beat, &answer) {
		answer.Refusal = coder.Refuse(coder.StaleIncarnation, "the lease is over, or another process of this name has come")
		return answer
	}
	held.drain(ctx, beat.Worker.Name)
	answer.Stay = held.handover.pending(beat.Worker.Name, held.runsElsewhere)
	held.instruct(beat, &answer)
	return answer
}

// renew renews the worker's lease on its clock, or by a span if it has none.
func (held *leadership) renew(beat *messenger.Beat, answer *messenger.BeatAnswer) bool {
	ok := false
	if beat.Clockless {
		answer.Span, ok = held.leaser.Grant(beat.Worker.Name, beat.Worker.Incarnation)
	} else {
		answer.Deadline, ok = held.leaser.Answer(beat.Worker.Name, beat.Worker.Incarnation, beat.Clock)
	}
	return ok
}

// admit makes sure that the state knows the worker as it describes itself.
func (held *leadership) admit(ctx context.Context, beat *messenger.Beat) *coder.Refusal {
	var known *modeller.WorkerDescription
	var draining bool
	held.runner.machine.read(func(state *applier.State) {
		if worker := state.Workers[beat.Worker.Name]; worker != nil {
			description := worker.Description
			known = &description
			draining = worker.State == modeller.WorkerDraining
		}
	})
	if known != nil && known.Incarnation != beat.Worker.Incarnation {
		held.leaser.Supersede(known.Name, known.Incarnation)
		return coder.Refuse(coder.StaleIncarnation, "the lease of the process before is still running")
	}
	if known == nil && (beat.Gone || beat.Leaving) {
		return nil
	}
	if beat.Worker == beat.Worker.Brief() {
		if known == nil {
			return coder.Refuse(coder.UnknownWorker, "nothing is known of the worker; its next beat has to describe it")
		}
		beat.Worker = *known
	}
	if known == nil {
		held.leaser.Meet(beat.Worker.Name, beat.Worker.Incarnation)
	}
	if known == nil || *known != beat.Worker {
		if refusal := held.ask(ctx, beat, &applier.Command{JoinWorker: &applier.JoinWorker{Worker: beat.Worker}}); refusal != nil {
			return refusal
		}
	}
	if beat.Leaving && !draining {
		set := &applier.SetWorker{Worker: beat.Worker.Name, Incarnation: beat.Worker.Incarnation, State: modeller.WorkerDraining, Reason: "the worker is leaving"}
		return held.ask(ctx, beat, &applier.Command{SetWorker: set})
	}
	return nil
}

func (held *leadership) ask(ctx context.Context, beat *messenger.Beat, command *applier.Command) *coder.Refusal {
	result, err := held.propose(ctx, "worker "+string(beat.Worker.Name), command)
	if err != nil {
		return held.runner.refusalOf(err)
	}
	if !result.Code.Good() {
		return &coder.Refusal{Code: result.Code, Detail: result.Detail}
	}
	return nil
}

// takeReports puts reports into the log and returns those that are decided.
func (held *leadership) takeReports(ctx context.Context, reports []applier.Report) []messenger.ReportKey {
	codes := held.decideReports(ctx, reports)
	var done []messenger.ReportKey
	for at := range reports {
		if codes[at] != coder.Unknown && codes[at] != coder.AnswerCorrupt {
			done = append(done, messenger.ReportKey{Task: reports[at].Task, Attempt: reports[at].Attempt, Phase: reports[at].Phase})
		}
	}
	return done
}

func (held *leadership) decideReports(ctx context.Context, reports []applier.Report) []coder.Code {
	codes := make([]coder.Code, len(reports))
	var group sync.WaitGroup
	for from := 0; from < len(reports); {
		to := from + 1
		for to < len(reports) && reports[to].Task == reports[from].Task {
			to++
		}
		same, decided := reports[from:to], codes[from:to]
		group.Go(func() { held.decideInOrder(ctx, same, decided) })
		from = to
	}
	group.Wait()
	return codes
}

// decideInOrder decides reports about one task one behind the other.
func (held *leadership) decideInOrder(ctx context.Context, reports []applier.Report, codes []coder.Code) {
	for at := range reports {
		codes[at] = held.decideReport(ctx, &reports[at])
	}
}

func (held *leadership) decideReport(ctx context.Context, report *applier.Report) coder.Code {
	result, err := held.propose(ctx, "worker "+string(report.Worker), &applier.Command{Report: report})
	if err != nil {
		return coder.Unknown
	}
	logger.Info(held.runner.logger, "report", "Task", report.Task, "Attempt", report.Attempt, "Worker", report.Worker,
		"Phase", report.Phase, "Code", result.Code)
	return result.Code
}

// instruct repeats the orders that the worker does not seem to have got, and
// ends what it runs without the state's knowing.
func (held *leadership) instruct(beat *messenger.Beat, answer *messenger.BeatAnswer) {
	held.runner.machine.read(func(state *applier.State) {
		answer.Interval = held.leaser.Interval(len(state.Workers))
		now := held.runner.now()
		for _, id := range state.LiveOn(beat.Worker.Name) {
			job := state.Jobs[id.Job]
			task := &job.Tasks[id.Index]
			key := messenger.AttemptKey{Task: id, Attempt: task.Attempt}
			switch {
			case task.State == modeller.TaskStopping:
				answer.Stops = append(answer.Stops, key)
			case task.State == modeller.TaskPlaced && now > task.Placed+repeatAfter && !slices.Contains(beat.Running, key):
				if start, ok := held.start(job.Spec, id, task.Attempt, task.Worker, task.Incarnation); ok {
					answer.Starts = append(answer.Starts, *start)
				}
			}
		}
		for _, key := range beat.Running {
			if !holds(state, key, beat) {
				answer.Stops = append(answer.Stops, key)
			}
		}
	})
}

// holds reports whether the attempt is the task's present one on the worker.
func holds(state *applier.State, key messenger.AttemptKey, beat *messenger.Beat) bool {
	job := state.Jobs[key.Task.Job]
	if job == nil || int(key.Task.Index) >= len(job.Tasks) {
		return false
	}
	task := &job.Tasks[key.Task.Index]
	return task.State.Live() && task.Attempt == key.Attempt && task.Worker == beat.Worker.Name && task.Incarnation == beat.Worker.Incarnation
}

func (runner *Runner) report(ctx context.Context, request *messenger.ReportRequest) (*messenger.ReportReply, error) {
	held, refusal := runner.leading(request.Cell)
	if refusal != nil {
		return &messenger.ReportReply{Refusal: refusal}, nil
	}
	return &messenger.ReportReply{Codes: held.decideReports(ctx, request.Reports)}, nil
}
