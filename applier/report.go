package applier

import (
	"fmt"
	"hash/crc32"
	"strings"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// currentAttempt returns the job and task if the attempt is the task's current
// one and is live.
func (state *State) currentAttempt(id modeller.TaskID, attempt modeller.Attempt) (*Job, *Task, coder.Code, string) {
	job := state.Jobs[id.Job]
	if job == nil || int(id.Index) >= len(job.Tasks) {
		return nil, nil, coder.UnknownJob, "no task " + id.String()
	}
	task := &job.Tasks[id.Index]
	if task.Attempt != attempt || !task.State.Live() {
		return nil, nil, coder.StaleAttempt, fmt.Sprintf("attempt %d of task %s is over", attempt, id)
	}
	return job, task, coder.OK, ""
}

func (state *State) report(report *Report) Result {
	job, task, code, detail := state.currentAttempt(report.Task, report.Attempt)
	if code != coder.OK {
		return refuse(code, detail)
	}
	if task.Worker != report.Worker || task.Incarnation != report.Incarnation {
		return refuse(coder.StaleIncarnation, "the attempt belongs to another worker or incarnation")
	}
	if code, detail := checkAnswer(report.Answer); code != coder.OK {
		return state.rejectAnswer(report, job, task, refuse(code, detail))
	}
	switch report.Phase {
	case modeller.PhaseStarted:
		return state.reportStarted(report, job, task)
	case modeller.PhaseSucceeded:
		task.Answer = report.Answer
		state.finishReported(report, job, modeller.Succeeded)
	case modeller.PhaseFailed:
		state.reportFailed(report, job, task)
	case modeller.PhaseRefused:
		state.reportRefused(report, job, task)
	case modeller.PhaseStopped:
		state.reportStopped(report, job, task)
	default:
		return refuse(coder.Malformed, "no such phase")
	}
	return Result{Job: report.Task.Job}
}

// Bounds on the contents of a worker's report.
const (
	MaxAnswerBytes = 64 * 1024
	maxDetailBytes = 512
	// maxCorruptAnswers is the number of corrupt answers after which an attempt
	// has failed. Earlier ones are refused, so that the worker can send the
	// answer again.
	maxCorruptAnswers = 3
)

func checkAnswer(answer *modeller.Answer) (coder.Code, string) {
	switch {
	case answer == nil:
		return coder.OK, ""
	case len(answer.Body) > MaxAnswerBytes:
		return coder.AnswerTooLarge, fmt.Sprintf("an answer has at most %d bytes", MaxAnswerBytes)
	case !intact(answer):
		return coder.AnswerCorrupt, "the answer does not match its length or checksum"
	}
	return coder.OK, ""
}

// rejectAnswer handles a report whose answer is corrupt or too large. A corrupt
// answer leaves the attempt live, so that the worker can send it again, up to
// maxCorruptAnswers; after that, or if the answer is too large, the attempt has
// failed.
func (state *State) rejectAnswer(report *Report, job *Job, task *Task, refusal Result) Result {
	task.BadAnswers++
	if refusal.Code == coder.AnswerCorrupt && task.BadAnswers < maxCorruptAnswers {
		return refusal
	}
	failed := *report
	failed.Phase = modeller.PhaseFailed
	failed.Answer = nil
	failed.Detail = refusal.Detail
	job.Code = refusal.Code
	if refusal.Code == coder.AnswerTooLarge {
		// Another attempt would give an answer of the same size.
		task.Retries = max(task.Retries, job.Spec.MaxRetries)
	}
	state.reportFailed(&failed, job, task)
	return Result{Job: report.Task.Job, Detail: refusal.Detail}
}

// truncate limits a text from another process to maxDetailBytes.
func truncate(text string) string {
	if len(text) <= maxDetailBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxDetailBytes], "")
}

// intact reports whether the answer matches its stated length and checksum.
func intact(answer *modeller.Answer) bool {
	return uint64(answer.Length) == uint64(len(answer.Body)) && answer.Checksum == crc32.Checksum(answer.Body, castagnoli)
}

func (state *State) reportStarted(report *Report, job *Job, task *Task) Result {
	if task.State != modeller.TaskPlaced {
		return Result{Code: coder.Duplicate, Job: report.Task.Job}
	}
	state.transition(report.Task, job, modeller.TaskRunning)
	task.Started = state.Now
	task.Ran = true
	state.emitTask(EventTaskStarted, report.Task, job)
	return Result{Job: report.Task.Job}
}

func (state *State) reportFailed(report *Report, job *Job, task *Task) {
	task.Ran = true
	task.Retries++
	switch {
	case job.Cancelled:
		state.finishReported(report, job, modeller.Cancelled)
	case job.Spec.Idempotent && task.Retries <= job.Spec.MaxRetries:
		state.requeue(report.Task, job, report.Phase, truncate(report.Detail))
		state.stopGang(job, "a task of the gang failed")
	default:
		state.finishReported(report, job, modeller.Failed)
	}
}

// reportRefused handles a report that the worker never started the attempt. If
// the attempt or an earlier one was reported as started, the task counts as
// possibly run.
func (state *State) reportRefused(report *Report, job *Job, task *Task) {
	if job.Cancelled || task.Ran && !job.Spec.Idempotent {
		state.finishReported(report, job, abandonedOutcome(job, task))
		return
	}
	if job.Spec.Kind == modeller.Gang && !job.Spec.Idempotent {
		// Other tasks of the gang may have run and cannot be started again, so
		// the gang cannot be placed as a whole.
		state.finishReported(report, job, modeller.NotRun)
		return
	}
	state.requeue(report.Task, job, report.Phase, truncate(report.Detail))
	state.stopGang(job, "a task of the gang was refused by its worker")
}

func (state *State) reportStopped(report *Report, job *Job, task *Task) {
	task.Ran = true
	switch {
	case job.Cancelled:
		state.finishReported(report, job, modeller.Cancelled)
	case job.Spec.Idempotent:
		state.requeue(report.Task, job, report.Phase, truncate(report.Detail))
		state.stopGang(job, "a task of the gang was stopped")
	default:
		state.finishReported(report, job, modeller.MayHaveRun)
	}
}

// finishReported finishes a task by a report on its current attempt.
func (state *State) finishReported(report *Report, job *Job, outcome modeller.Outcome) {
	if report.Phase != modeller.PhaseRefused {
		job.Tasks[report.Task.Index].Ran = true
	}
	state.finish(report.Task, job, outcome, truncate(report.Detail))
}
