package soaker

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"os"
	"slices"
	"time"

	"github.com/dotterelrill/dotterelrill/callerserver"
	"github.com/dotterelrill/dotterelrill/internal/forwarder"
	"github.com/dotterelrill/dotterelrill/internal/reviewer"
	"github.com/dotterelrill/dotterelrill/internal/standinrunner"
	"github.com/dotterelrill/dotterelrill/journaler"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/replayer"
)

// stopTimeout bounds the graceful stop of a replica.
const stopTimeout = 10 * time.Second

// check stops the replicas and checks the invariants against all records.
func (soaker *Soaker) check(ctx context.Context) {
	for _, cell := range soaker.fleet.Cells {
		if status, err := cell.Stop(stopTimeout); err != nil || status != 0 {
			soaker.recordViolation("a replica stops gracefully", "%s: status %d: %v", cell.Name, status, err)
		}
	}
	soaker.checkHistories(ctx)
	attempts := soaker.readRecords()
	soaker.report.Attempts = len(attempts)
	soaker.checkOverlaps(attempts)
	soaker.checkAnswers(attempts)
}

// checkHistories verifies each replica's history, and that all replicas have equal
// states at the highest index that all of them have committed.
func (soaker *Soaker) checkHistories(ctx context.Context) {
	commonIndex := uint64(1<<64 - 1)
	for _, cell := range soaker.fleet.Cells {
		var out bytes.Buffer
		if status := reviewer.Main(ctx, []string{"verify", cell.Folder}, &out, &out); status != reviewer.StatusOK {
			soaker.recordViolation("the history satisfies every invariant", "%s: %s", cell.Name, out.String())
		}
		last, _, err := journaler.LastCommitted(cell.Folder)
		if err != nil {
			soaker.recordViolation("the history can be read", "%s: %v", cell.Name, err)
			return
		}
		commonIndex = min(commonIndex, last)
	}
	var checksums []uint32
	for _, cell := range soaker.fleet.Cells {
		state, err := replayer.Replay(replayer.Config{Folder: cell.Folder, Cell: "demo", Last: commonIndex, Visit: ignoreRecord})
		if err != nil {
			soaker.recordViolation("the history can be read", "%s: %v", cell.Name, err)
			return
		}
		checksum, err := state.Checksum()
		if err != nil || state.Index != commonIndex {
			soaker.recordViolation("the history can be read", "%s up to %d of %d: %v", cell.Name, state.Index, commonIndex, err)
		}
		checksums = append(checksums, checksum)
	}
	if len(slices.Compact(checksums)) != 1 {
		soaker.recordViolation("replicas have equal states at equal indexes", "at %d: %08x", commonIndex, checksums)
	}
}

// attempt is one run of a task as a stand-in worker recorded it.
type attempt struct {
	task    modeller.TaskID
	number  modeller.Attempt
	worker  forwarder.ProcessName
	started time.Time
	ended   time.Time
}

// readRecords returns all started attempts from the stand-ins' records.
func (soaker *Soaker) readRecords() []*attempt {
	var attempts []*attempt
	for _, worker := range soaker.fleet.Workers {
		data, err := os.ReadFile(soaker.fleet.RecordFile(worker.Name))
		if err != nil {
			soaker.recordViolation("a stand-in's record can be read", "%v", err)
		}
		attempts = append(attempts, soaker.readRecord(forwarder.ProcessName(worker.Name), data)...)
	}
	return attempts
}

type attemptKey struct {
	incarnation modeller.Incarnation
	task        modeller.TaskID
	number      modeller.Attempt
}

func (soaker *Soaker) readRecord(worker forwarder.ProcessName, data []byte) []*attempt {
	var attempts []*attempt
	running := make(map[attemptKey]*attempt)
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for scanner.Scan() {
		var line standinrunner.RecordLine
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			soaker.recordViolation("a stand-in's record can be read", "%s: %v", worker, err)
			continue
		}
		task := modeller.TaskID{Job: line.Job, Index: line.Index}
		key := attemptKey{line.Incarnation, task, line.Attempt}
		at := time.UnixMilli(line.UnixMillis)
		switch {
		case line.Event == "Started" && running[key] != nil:
			soaker.recordViolation("an attempt is started once", "%s attempt %d on %s", task, line.Attempt, worker)
		case line.Event == "Started":
			running[key] = &attempt{task: task, number: line.Attempt, worker: worker, started: at}
			attempts = append(attempts, running[key])
		case running[key] != nil:
			running[key].ended = at
		}
	}
	for _, attempt := range attempts {
		attempt.ended = soaker.endedAt(attempt)
	}
	return attempts
}

// maxFenceDelay bounds the time from the end of a pause until a stand-in notices
// that its lease has expired.
const maxFenceDelay = 100 * time.Millisecond

// endedAt returns when an attempt really ended: when its process was killed, or at
// the start of a pause after which the task didn't continue. In these cases
// the record holds a later time, or none.
func (soaker *Soaker) endedAt(attempt *attempt) time.Time {
	end := attempt.ended
	if end.IsZero() {
		end = time.Now()
	}
	for _, outage := range soaker.injector.outages[attempt.worker] {
		within := outage.from.After(attempt.started) && outage.from.Before(end)
		if within && (outage.killed || end.Before(outage.to.Add(maxFenceDelay))) {
			end = outage.from
		}
	}
	return end
}

// checkOverlaps checks that no two attempts of a task ran at the same time.
func (soaker *Soaker) checkOverlaps(attempts []*attempt) {
	slices.SortFunc(attempts, func(left, right *attempt) int { return left.started.Compare(right.started) })
	latest := make(map[modeller.TaskID]*attempt)
	for _, next := range attempts {
		previous := latest[next.task]
		if previous != nil && next.started.Before(previous.ended) {
			soaker.recordViolation("no task runs in two places at once", "task %s: attempt %d on %s from %s to %s, attempt %d on %s from %s",
				next.task, previous.number, previous.worker, formatTime(previous.started), formatTime(previous.ended), next.number, next.worker, formatTime(next.started))
		}
		if previous == nil || next.ended.After(previous.ended) {
			latest[next.task] = next
		}
	}
}

func formatTime(at time.Time) string { return at.Format("15:04:05.000") }

// checkAnswers checks the outcomes that callers received against the attempts.
func (soaker *Soaker) checkAnswers(attempts []*attempt) {
	starts := make(map[modeller.TaskID]int)
	for _, attempt := range attempts {
		starts[attempt.task]++
	}
	jobs := make(map[modeller.JobID]modeller.RequestID)
	for _, submission := range soaker.submissionLog.submissions {
		if !submission.finished {
			continue
		}
		if other, duplicate := jobs[submission.firstAnswer.Job]; duplicate {
			soaker.recordViolation("each request has its own job", "%s and %s: job %d", other, submission.request.RequestID, submission.firstAnswer.Job)
		}
		jobs[submission.firstAnswer.Job] = submission.request.RequestID
		soaker.report.Outcomes[submission.outcome.Outcome]++
		soaker.checkAnswer(submission, starts)
	}
	soaker.checkRefusedNotRun(attempts, jobs)
}

func (soaker *Soaker) checkAnswer(submission *submission, starts map[modeller.TaskID]int) {
	if len(submission.outcome.Tasks) != int(submission.request.Tasks) {
		soaker.recordViolation("each caller gets the whole answer", "%s: %d of %d tasks", submission.request.RequestID, len(submission.outcome.Tasks), submission.request.Tasks)
	}
	for _, task := range submission.outcome.Tasks {
		id := modeller.TaskID{Job: submission.firstAnswer.Job, Index: task.Index}
		started := starts[id]
		switch {
		case task.Outcome == "Succeeded" && string(task.Body) != "answer to "+string(submission.request.RequestID):
			soaker.recordViolation("each caller gets the whole answer to its own request", "%s task %s: %q", submission.request.RequestID, id, task.Body)
		case task.Outcome == "Succeeded" && started == 0:
			soaker.recordViolation("a task that succeeded was run", "task %s", id)
		case task.Outcome == "NotRun" && started > 0:
			soaker.recordViolation("a task reported as NotRun was not run", "task %s was started %d times", id, started)
		case submission.request.Queue == "once" && started > 1:
			soaker.recordViolation("a non-idempotent request runs at most once", "task %s was started %d times", id, started)
		}
	}
	if submission.outcome.Outcome == "NotRun" && slices.ContainsFunc(submission.outcome.Tasks, func(task callerserver.TaskAnswer) bool { return task.Outcome != "NotRun" }) {
		soaker.recordViolation("all tasks of a job reported as NotRun are NotRun", "job %d: %+v", submission.firstAnswer.Job, submission.outcome)
	}
}

// checkRefusedNotRun checks that each attempt belongs to an accepted job. It skips
// the check if an accepted job has no outcome, as its ID isn't in jobs.
func (soaker *Soaker) checkRefusedNotRun(attempts []*attempt, jobs map[modeller.JobID]modeller.RequestID) {
	unfinished := slices.ContainsFunc(soaker.submissionLog.submissions, func(submission *submission) bool {
		return submission.decided && submission.firstAnswer.Code.Successful() && !submission.finished
	})
	if unfinished {
		return
	}
	for _, attempt := range attempts {
		if _, known := jobs[attempt.task.Job]; !known {
			soaker.recordViolation("a refused request is not run", "task %s of a job that no caller received", attempt.task)
			return
		}
	}
}

func ignoreRecord(*messenger.HistoryRecord) error { return nil }
