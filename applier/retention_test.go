package applier_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// run applies commands to a state in log order.
type run struct {
	c     *qt.C
	state *applier.State
}

func (run *run) apply(command *applier.Command) applier.Result {
	command.Cell = "c"
	return run.state.Apply(run.state.Index+1, command)
}

func (run *run) submit(number int) applier.Result {
	return run.apply(&applier.Command{RequestID: modeller.RequestID(fmt.Sprint("job-", number)), Submit: &applier.Submit{
		ClientAccount: "team", Queue: "open", Work: modeller.Work{Tasks: 1, Payload: make([]byte, applier.MaxPayloadBytes)},
	}})
}

// TestFinishedJobsAreBounded finishes more jobs than may be kept: the oldest are
// deleted while their RequestIDs stay, and a restored replica deletes the same
// ones.
func TestFinishedJobsAreBounded(t *testing.T) {
	c := qt.New(t)
	run := &run{c: c, state: applier.New("c")}
	size := modeller.Resources{MilliProcessors: 1, MemoryMiB: 1}
	c.Assert(run.apply(&applier.Command{RequestID: "template", ApplyTemplate: &applier.ApplyTemplate{Template: modeller.Template{
		Name: "t", ClientAccount: "team", Share: 1, Limit: modeller.Limit{Resources: size, Tasks: 1},
		Queues: []modeller.Queue{{Name: "open", Kind: modeller.Batch, Urgency: modeller.Urgent, OpenToAll: true, Size: size, MaxWaiting: 10}},
	}}}).Code, qt.Equals, coder.OK)
	const maxJobs = applier.MaxFinishedBytes / applier.MaxPayloadBytes
	for number := 1; number <= maxJobs+10; number++ {
		id := run.submit(number).Job
		cancel := &applier.Cancel{Job: id, Operator: true}
		c.Assert(run.apply(&applier.Command{RequestID: modeller.RequestID(fmt.Sprint("cancel-", number)), Cancel: cancel}).Code, qt.Equals, coder.OK)
		c.Assert(len(run.state.Jobs) <= maxJobs+1, qt.IsTrue, qt.Commentf("%d finished jobs are kept", len(run.state.Jobs)))
	}
	newest := modeller.JobID(maxJobs + 10)
	c.Check(run.state.Jobs[newest].Outcome, qt.Equals, modeller.NotRun)
	c.Check(run.state.Jobs[1], qt.IsNil)
	c.Check(run.submit(1), qt.Equals, applier.Result{Code: coder.Duplicate, Job: 1, Revision: 1})

	data, err := run.state.Snapshot()
	c.Assert(err, qt.IsNil)
	restored, err := applier.Restore(data)
	c.Assert(err, qt.IsNil)
	replica := *run
	replica.state = restored
	for number := maxJobs + 11; number <= maxJobs+14; number++ {
		id := run.submit(number).Job
		c.Assert(replica.submit(number).Job, qt.Equals, id)
		for _, requestID := range []modeller.RequestID{"a", "b"} {
			cancel := &applier.Command{RequestID: requestID + modeller.RequestID(fmt.Sprint(number)), Cancel: &applier.Cancel{Job: id, Operator: true}}
			repeated := *cancel
			c.Assert(run.apply(cancel), qt.Equals, replica.apply(&repeated))
		}
	}
	sum, err := run.state.Checksum()
	c.Assert(err, qt.IsNil)
	replicaSum, err := replica.state.Checksum()
	c.Assert(err, qt.IsNil)
	c.Check(replicaSum, qt.Equals, sum)
}
