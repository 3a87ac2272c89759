package reporter_test

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/journaler"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/reporter"
)

// history applies commands and passes their records to a collector.
type history struct {
	c         *qt.C
	state     *applier.State
	collector *reporter.Collector
	now       modeller.Millis
}

func (history *history) apply(command *applier.Command) {
	history.now += 100
	command.Cell, command.Time = "c", history.now
	index := history.state.Index + 1
	result := history.state.Apply(index, command)
	history.c.Assert(result.Code.Successful(), qt.IsTrue, qt.Commentf("%+v", result))
	history.collector.Record(&messenger.HistoryRecord{
		Entry: journaler.Entry{Index: index, Kind: journaler.EntryCommand}, Command: command, Result: result, Events: history.state.Events(),
	})
}

func newHistory(c *qt.C) *history {
	history := &history{c: c, state: applier.New("c"), collector: reporter.NewCollector(nil)}
	size := modeller.Resources{MilliProcessors: 1000, MemoryMiB: 100}
	history.apply(&applier.Command{RequestID: "t", ApplyTemplate: &applier.ApplyTemplate{Template: modeller.Template{
		Name: "t", ClientAccount: "team <b>", Share: 2, Limit: modeller.Limit{Resources: size.Times(10), Tasks: 10},
		Queues: []modeller.Queue{{Name: "q", Kind: modeller.Batch, Urgency: modeller.Urgent, OpenToAll: true, Idempotent: true, Size: size, MaxWaiting: 10}},
	}}})
	history.apply(&applier.Command{JoinWorker: &applier.JoinWorker{Worker: modeller.WorkerDescription{
		Name: "w", Incarnation: 1, Capacity: size.Times(4), Slots: 4, Address: "127.0.0.1:1",
	}}})
	history.apply(&applier.Command{RequestID: "j", Submit: &applier.Submit{ClientAccount: "team <b>", Queue: "q", Work: modeller.Work{Tasks: 2}}})
	for index := range uint32(2) {
		history.apply(&applier.Command{Place: &applier.Place{Job: 1, Tasks: []applier.Placement{{Index: index, Attempt: 1, Worker: "w", Incarnation: 1}}}})
		history.apply(&applier.Command{Report: &applier.Report{Task: modeller.TaskID{Job: 1, Index: index}, Attempt: 1, Worker: "w", Incarnation: 1, Phase: modeller.PhaseStarted}})
	}
	history.apply(&applier.Command{Report: &applier.Report{Task: modeller.TaskID{Job: 1}, Attempt: 1, Worker: "w", Incarnation: 1, Phase: modeller.PhaseSucceeded}})
	history.apply(&applier.Command{LoseWorker: &applier.LoseWorker{Worker: "w", Incarnation: 1, Reason: "no heartbeat"}})
	return history
}

func TestReportOfHistory(t *testing.T) {
	c := qt.New(t)
	history := newHistory(c)
	var out bytes.Buffer
	c.Assert(history.collector.Write(&out, "c"), qt.IsNil)
	page := out.String()
	// The tasks started 200 and 400 ms after their submission.
	c.Check(page, qt.Contains, `<td>team &lt;b&gt;</td><td>Urgent</td><td class="number">2</td><td class="number">200</td><td class="number">400</td><td class="number">400</td>`)
	c.Check(page, qt.Contains, `<td>worker lost</td><td>w: no heartbeat</td><td class="number">1</td><td class="number">0</td>`)
	c.Check(strings.Count(page, "<svg"), qt.Equals, 2, qt.Commentf("one plot of packing and one of each account's share"))
	for _, reference := range []string{"http-equiv", "<script", "src=", "<link"} {
		c.Check(strings.Contains(page, reference), qt.IsFalse, qt.Commentf("the page must not refer to external resources: %s", reference))
	}
}

func TestReportOfEmptyHistory(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	c.Assert(reporter.NewCollector(nil).Write(&out, "c"), qt.IsNil)
	c.Check(out.String(), qt.Contains, "no job has ended")
}
