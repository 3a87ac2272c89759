package applier_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// fixture applies commands to a state in log order.
type fixture struct {
	c     *qt.C
	state *applier.State
}

func (fixture *fixture) apply(command *applier.Command) applier.Result {
	command.Cell = "c"
	return fixture.state.Apply(fixture.state.Index+1, command)
}

func (fixture *fixture) submit(number int) applier.Result {
	return fixture.apply(&applier.Command{RequestID: modeller.RequestID(fmt.Sprint("job-", number)), Submit: &applier.Submit{
		ClientAccount: "team", Queue: "open", Work: modeller.Work{Tasks: 1, Payload: make([]byte, applier.MaxPayloadBytes)},
	}})
}

// TestFinishedJobsAreBounded finishes more jobs than may be kept: the oldest are
// deleted while their RequestIDs stay, and a restored replica deletes the same
// ones.
func TestFinishedJobsAreBounded(t *testing.T) {
	c := qt.New(t)
	fixture := &fixture{c: c, state: applier.New("c")}
	size := modeller.Resources{MilliProcessors: 1, MemoryMiB: 1}
	c.Assert(fixture.apply(&applier.Command{RequestID: "template", ApplyTemplate: &applier.ApplyTemplate{Template: modeller.Template{
		Name: "t", ClientAccount: "team", Share: 1, Limit: modeller.Limit{Resources: size, Tasks: 1},
		Queues: []modeller.Queue{{Name: "open", Kind: modeller.Batch, Urgency: modeller.Urgent, OpenToAll: true, Size: size, MaxWaiting: 10}},
	}}}).Code, qt.Equals, coder.OK)
	const maxJobs = applier.MaxFinishedBytes / applier.MaxPayloadBytes
	for number := 1; number <= maxJobs+10; number++ {
		id := fixture.submit(number).Job
		cancel := &applier.Cancel{Job: id, Operator: true}
		c.Assert(fixture.apply(&applier.Command{RequestID: modeller.RequestID(fmt.Sprint("cancel-", number)), Cancel: cancel}).Code, qt.Equals, coder.OK)
		c.Assert(len(fixture.state.Jobs) <= maxJobs+1, qt.IsTrue, qt.Commentf("%d finished jobs are kept", len(fixture.state.Jobs)))
	}
	newest := modeller.JobID(maxJobs + 10)
	c.Check(fixture.state.Jobs[newest].Outcome, qt.Equals, modeller.NotRun)
	c.Check(fixture.state.Jobs[1], qt.IsNil)
	c.Check(fixture.submit(1), qt.Equals, applier.Result{Code: coder.Duplicate, Job: 1, Revision: 1})

	data, err := fixture.state.Snapshot()
	c.Assert(err, qt.IsNil)
	restored, err := applier.Restore(data)
	c.Assert(err, qt.IsNil)
	replica := *fixture
	replica.state = restored
	for number := maxJobs + 11; number <= maxJobs+14; number++ {
		id := fixture.submit(number).Job
		c.Assert(replica.submit(number).Job, qt.Equals, id)
		for _, requestID := range []modeller.RequestID{"a", "b"} {
			cancel := &applier.Command{RequestID: requestID + modeller.RequestID(fmt.Sprint(number)), Cancel: &applier.Cancel{Job: id, Operator: true}}
			repeated := *cancel
			c.Assert(fixture.apply(cancel), qt.Equals, replica.apply(&repeated))
		}
	}
	sum, err := fixture.state.Checksum()
	c.Assert(err, qt.IsNil)
	replicaSum, err := replica.state.Checksum()
	c.Assert(err, qt.IsNil)
	c.Check(replicaSum, qt.Equals, sum)
}
