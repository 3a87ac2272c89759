package cellrunner_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// beat sends a heartbeat of worker w and returns the code of the answer.
func (replica *replica) beat(incarnation modeller.Incarnation, change func(*messenger.Heartbeat)) coder.Code {
	heartbeat := messenger.Heartbeat{Clock: modeller.Millis(time.Since(replica.startedAt).Milliseconds()), Worker: modeller.WorkerDescription{
		Name: "w", Incarnation: incarnation, DataCentre: "d", Rack: "r", Slots: 1, Address: "127.0.0.1:1",
		Capacity: modeller.Resources{MilliProcessors: 1000, MemoryMiB: 1000},
	}}
	if change != nil {
		change(&heartbeat)
	}
	reply, err := replica.client.Beat(replica.c.Context(), &messenger.HeartbeatRequest{Cell: "c", Entry: "e", Beats: []messenger.Heartbeat{heartbeat}})
	replica.c.Assert(err, qt.IsNil)
	replica.c.Assert(reply.Refusal == nil, qt.IsTrue, qt.Commentf("%v", reply.Refusal))
	if reply.Answers[0].Refusal == nil {
		return coder.OK
	}
	return reply.Answers[0].Refusal.Code
}

// TestLateHeartbeatsOfAnEarlierIncarnationEndNothing guards against a worker whose lease is
// no longer renewed, so that what it runs is ended: a heartbeat of an earlier incarnation,
// which an entry passes on late, was taken for a new process in the worker's place.
func TestLateHeartbeatsOfAnEarlierIncarnationEndNothing(t *testing.T) {
	c := qt.New(t)
	replica := startReplica(c, t.TempDir(), 0, "")
	defer replica.stop()
	gone := func(heartbeat *messenger.Heartbeat) { heartbeat.Gone = true }
	leaving := func(heartbeat *messenger.Heartbeat) { heartbeat.Leaving = true }
	// The third incarnation has the name for the third time.
	c.Assert(replica.heartbeatUntil(func(messenger.HeartbeatAnswer) bool { return true }), qt.IsTrue)
	c.Assert(replica.beat(1, gone), qt.Equals, coder.OK)
	c.Assert(replica.beat(2, nil), qt.Equals, coder.OK)
	c.Assert(replica.beat(2, gone), qt.Equals, coder.OK)
	c.Assert(replica.beat(3, nil), qt.Equals, coder.OK)
	for _, earlier := range []modeller.Incarnation{1, 2} {
		for name, change := range map[string]func(*messenger.Heartbeat){"plain": nil, "gone": gone, "leaving": leaving} {
			c.Check(replica.beat(earlier, change), qt.Equals, coder.StaleIncarnation, qt.Commentf("%s", name))
			c.Check(replica.beat(3, nil), qt.Equals, coder.OK, qt.Commentf("after %s of incarnation %d", name, earlier))
		}
	}
	// One that was never known ends, or starts in the worker's place.
	c.Check(replica.beat(4, gone), qt.Equals, coder.StaleIncarnation)
	c.Check(replica.beat(3, nil), qt.Equals, coder.OK)
	c.Check(replica.beat(5, nil), qt.Equals, coder.StaleIncarnation)
	c.Check(replica.beat(3, nil), qt.Equals, coder.StaleIncarnation)
}
