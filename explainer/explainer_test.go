package explainer_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/explainer"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

var (
	key  = modeller.KeyHash("abcdef0123456789" + strings.Repeat("0", 48))
	task = modeller.TaskID{Job: 7}
	spec = &applier.Spec{
		ID: 7, Kind: modeller.Batch, Urgency: modeller.Urgent, Tasks: 1, Key: key.Fingerprint(), Revision: 3,
		Size: modeller.Resources{MilliProcessors: 500, MemoryMiB: 100},
	}
)

func newEvent(kind applier.EventKind) applier.Event {
	return applier.Event{Kind: kind, Spec: spec, Task: task, Attempt: 2, Worker: "w"}
}

func requeuedEvent(phase modeller.Phase) applier.Event {
	event := newEvent(applier.EventTaskRequeued)
	event.Phase = phase
	event.Reason = applier.StopPreempt
	return event
}

func doneEvent(outcome modeller.Outcome) applier.Event {
	event := newEvent(applier.EventTaskDone)
	event.Outcome = outcome
	return event
}

func TestLines(t *testing.T) {
	submit := &applier.Command{RequestID: "r", Submit: &applier.Submit{ClientAccount: "a", Queue: "q", Key: key, Work: modeller.Work{Tasks: 1}}}
	lose := &applier.Command{LoseWorker: &applier.LoseWorker{Worker: "w", Incarnation: 9, Reason: "no heartbeat"}}
	report := &applier.Command{Report: &applier.Report{Task: task, Attempt: 2, Phase: modeller.PhaseFailed, Detail: "out of paper"}}
	tests := []struct {
		name    string
		command *applier.Command
		result  applier.Result
		events  []applier.Event
		want    []string
	}{
		{"acceptance", submit, applier.Result{}, []applier.Event{newEvent(applier.EventJobAccepted)},
			[]string{"submitted 1 task(s) to a/q under key abcdef012345, request r", "accepted: Urgent Batch, 1 task(s) of 500m/100MiB/0a, must not run twice, key abcdef012345, revision 3"}},
		{"resending", submit, applier.Result{Code: coder.Duplicate}, nil, []string{"duplicate request, answered with the first result"}},
		{"refusal", submit, applier.Result{Code: coder.QueueFull, Detail: "9 wait"}, nil, []string{"refused, QueueFull (403): 9 wait"}},
		{"never run", &applier.Command{Refuse: &applier.Refuse{Job: 7, Code: coder.CanNeverRun, Reason: "too large"}}, applier.Result{}, []applier.Event{doneEvent(modeller.NotRun)},
			[]string{"refused the job, CanNeverRun (111): too large", "task 7.0 ended: NotRun, no attempt was ever started"}},
		{"loss", lose, applier.Result{}, []applier.Event{requeuedEvent(0)},
			[]string{"declared worker w (incarnation 9) lost: no heartbeat", "task 7.0 was requeued: attempt 2 on w was lost with its worker and may have run"}},
		{"loss of non-idempotent work", lose, applier.Result{}, []applier.Event{doneEvent(modeller.MayHaveRun)},
			[]string{"task 7.0 ended: MayHaveRun, attempt 2 on w was lost or stopped and must not be repeated"}},
		{"failure", report, applier.Result{}, []applier.Event{requeuedEvent(modeller.PhaseFailed)},
			[]string{"reported task 7.0, attempt 2: Failed: out of paper", "attempt 2 on w failed"}},
		{"refused by a worker", report, applier.Result{}, []applier.Event{requeuedEvent(modeller.PhaseRefused)}, []string{"was refused by the worker and never started"}},
		{"late report", report, applier.Result{Code: coder.StaleAttempt, Detail: "attempt 2 is over"}, nil, []string{"refused, StaleAttempt (301): attempt 2 is over"}},
		{"preemption", &applier.Command{Stop: &applier.Stop{Task: task, Attempt: 2, Reason: applier.StopPreempt, Detail: "room for job 8"}}, applier.Result{}, []applier.Event{requeuedEvent(modeller.PhaseStopped)},
			[]string{"stopped task 7.0, attempt 2: Preempt, room for job 8", "attempt 2 on w was stopped (Preempt)"}},
		{"placement", &applier.Command{Place: &applier.Place{Job: 7, Tasks: []applier.Placement{{Attempt: 2, Worker: "w"}}, Reason: "packs best", Score: 1, Revision: 3, RunnersUp: []applier.RunnerUp{{Worker: "v", Score: 0.5}}}}, applier.Result{}, []applier.Event{newEvent(applier.EventTaskPlaced)},
			[]string{"placed task 0, attempt 2, on w; packs best; score 1.000, revision 3; not v (0.500)", "task 7.0 is committed to w as attempt 2"}},
		{"cancellation", &applier.Command{RequestID: "c", Cancel: &applier.Cancel{Job: 7, Key: key}}, applier.Result{}, nil, []string{"asked to cancel under key abcdef012345, request c"}},
		{"withdrawal", &applier.Command{WithdrawKey: &applier.WithdrawKey{Key: key}}, applier.Result{}, nil, []string{"withdrew key abcdef012345"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			record := &messenger.HistoryRecord{Command: test.command, Result: test.result, Events: test.events}
			explanation := strings.Join(explainer.Lines(7, record), "\n")
			for _, want := range test.want {
				c.Check(explanation, qt.Contains, want)
			}
			c.Check(explanation, qt.Not(qt.Contains), string(key))
		})
	}
}
