package replicator_test

import (
	"context"
	"errors"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/journaler"
	"github.com/dotterelrill/dotterelrill/replicator"
)

// nodeTimeout is the maximum time that tests wait for a node.
const nodeTimeout = 20 * time.Second

// harness runs one node; the test simulates the other replicas.
type harness struct {
	c     *qt.C
	node  *replicator.Node
	clock func() time.Duration
	now   atomic.Int64
	// syncFails makes every sync fail.
	syncFails atomic.Bool
	runResult chan error

	mutex sync.Mutex
	sent  []replicator.Message
	// applied holds the indexes of the applied entries.
	applied []uint64
}

var errSyncFailed = errors.New("the disk failed")

func newHarness(t *testing.T, voters ...journaler.ReplicaID) *harness {
	harness := &harness{c: qt.New(t), runResult: make(chan error, 1)}
	harness.clock = func() time.Duration { return time.Duration(harness.now.Load()) }
	var members []journaler.Member
	for _, id := range voters {
		members = append(members, journaler.Member{ID: id, Voter: true})
	}
	journal, recovered, err := journaler.Open(journaler.Config{
		Folder: t.TempDir(), Cell: cellName, Replica: voters[0], SegmentBytes: 1 << 20,
		Sync: func(file *os.File) error {
			if harness.syncFails.Load() {
				return errSyncFailed
			}
			return file.Sync()
		},
	})
	harness.c.Assert(err, qt.IsNil)
	harness.node, err = replicator.NewNode(replicator.NodeConfig{
		Core: replicator.CoreConfig{
			Cell: cellName, ID: voters[0], Initial: members, HeartbeatInterval: heartbeatInterval, ElectionTimeout: electionTimeout,
			Jitter: func(time.Duration) time.Duration { return 0 },
		},
		Journal: journal,
		StateMachine: replicator.StateMachine{
			Apply: func(entry *journaler.Entry) any {
				harness.mutex.Lock()
				defer harness.mutex.Unlock()
				harness.applied = append(harness.applied, entry.Index)
				return nil
			},
			Snapshot: func() ([]byte, error) { return nil, nil },
			Restore:  func(*journaler.Snapshot) error { return nil },
		},
		Send:          harness.handleSent,
		Clock:         func() time.Duration { return harness.clock() },
		TickInterval:  time.Millisecond,
		SnapshotEvery: 1 << 30,
	}, recovered)
	harness.c.Assert(err, qt.IsNil)
	return harness
}

// handleSent grants every vote request immediately, and records all messages.
func (harness *harness) handleSent(message replicator.Message) {
	reply := replicator.Message{Cell: cellName, From: message.To, To: message.From, Term: message.Term}
	switch message.Kind {
	case replicator.KindPreVote:
		reply.Kind = replicator.KindPreVoteReply
		harness.node.Step(reply)
	case replicator.KindVote:
		reply.Kind = replicator.KindVoteReply
		harness.node.Step(reply)
	}
	harness.mutex.Lock()
	defer harness.mutex.Unlock()
	harness.sent = append(harness.sent, message)
}

func (harness *harness) run(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() { harness.runResult <- harness.node.Run(ctx) }()
	t.Cleanup(cancel)
}

func (harness *harness) waitFor(event string, reached func() bool) {
	deadline := time.Now().Add(nodeTimeout)
	for !reached() {
		if time.Now().After(deadline) {
			harness.c.Fatalf("timed out waiting for %s: %+v", event, harness.node.Status())
		}
		time.Sleep(time.Millisecond)
	}
}

func (harness *harness) becomeLeader(term uint64) {
	harness.now.Add(int64(2 * electionTimeout))
	harness.waitFor("leadership", func() bool {
		status := harness.node.Status()
		return status.Role == replicator.Leader && status.Term == term
	})
}

// proposeAndAwaitEntry proposes a command and waits until it is in the log. The
// returned channel delivers the proposal's error.
func (harness *harness) proposeAndAwaitEntry() chan error {
	last := harness.node.Status().Last
	answer := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), nodeTimeout)
		defer cancel()
		_, _, err := harness.node.Propose(ctx, []byte("x"))
		answer <- err
	}()
	harness.waitFor("the proposal", func() bool { return harness.node.Status().Last > last })
	return answer
}

// TestOverwrittenProposalIsUndecided checks that a proposal whose entry was
// overwritten in this replica's log by that of another leader fails with
// ErrUndecided: others of the five replicas may hold it and still commit it.
func TestOverwrittenProposalIsUndecided(t *testing.T) {
	harness := newHarness(t, "a", "b", "c", "d", "e")
	harness.run(t)
	harness.becomeLeader(1)
	harness.proposeAndAwaitEntry()
	answer := harness.proposeAndAwaitEntry()
	conflicting := journaler.Entry{Index: 1, Term: 2, Kind: journaler.EntryNoop}
	conflicting.Chain = conflicting.ChainAfter(journaler.Chain{})
	harness.node.Step(replicator.Message{Cell: cellName, Kind: replicator.KindAppend, From: "c", To: "a", Term: 2, Entries: []journaler.Entry{conflicting}})
	harness.waitFor("the other leader", func() bool { return harness.node.Status().Last == 1 })
	harness.becomeLeader(3)
	harness.proposeAndAwaitEntry()
	err := <-answer
	harness.c.Check(errors.Is(err, replicator.ErrReplaced) || errors.Is(err, replicator.ErrNotLeader), qt.IsFalse, qt.Commentf("%v", err))
	harness.c.Check(errors.Is(err, replicator.ErrUndecided), qt.IsTrue, qt.Commentf("%v", err))
}

func TestFailedSyncStopsTheNode(t *testing.T) {
	harness := newHarness(t, "a")
	harness.run(t)
	harness.becomeLeader(1)
	harness.waitFor("the first entry", func() bool { return harness.node.Applied() == 1 })
	harness.syncFails.Store(true)
	answer := harness.proposeInBackground()
	harness.c.Check(errors.Is(<-harness.runResult, errSyncFailed), qt.IsTrue)
	harness.c.Check(errors.Is(<-answer, replicator.ErrStopped), qt.IsTrue)
	harness.syncFails.Store(false)
	_, _, err := harness.node.Propose(context.Background(), []byte("y"))
	harness.c.Check(err, qt.IsNotNil)
	harness.c.Check(harness.applied, qt.DeepEquals, []uint64{1})
}

// proposeInBackground proposes a command without waiting for its entry. The
// returned channel delivers the proposal's error.
func (harness *harness) proposeInBackground() chan error {
	answer := make(chan error, 1)
	go func() {
		_, _, err := harness.node.Propose(context.Background(), []byte("x"))
		answer <- err
	}()
	return answer
}

// TestLeaderContactIsTimedAtHandling simulates, by a jump of the clock, a pause of
// the process between two queued messages. The leader's lease counts from when
// it sent the second message, so the replica must not record an earlier time of
// contact, and must ignore the vote request that follows.
func TestLeaderContactIsTimedAtHandling(t *testing.T) {
	harness := newHarness(t, "a", "b", "c")
	var calls atomic.Int64
	harness.clock = func() time.Duration {
		if calls.Add(1) == 1 {
			return 0
		}
		return 10 * electionTimeout
	}
	heartbeat := replicator.Message{Cell: cellName, Kind: replicator.KindAppend, From: "b", To: "a", Term: 1}
	harness.node.Step(heartbeat)
	harness.node.Step(heartbeat)
	harness.node.Step(replicator.Message{Cell: cellName, Kind: replicator.KindVote, From: "c", To: "a", Term: 2})
	harness.run(t)
	harness.waitFor("two replies", func() bool {
		harness.mutex.Lock()
		defer harness.mutex.Unlock()
		return len(harness.sent) >= 2
	})
	harness.mutex.Lock()
	defer harness.mutex.Unlock()
	for _, message := range harness.sent {
		harness.c.Check(message.Kind, qt.Equals, replicator.KindAppendReply)
	}
	harness.c.Check(harness.node.Status().Term, qt.Equals, uint64(1))
}

// TestUnresponsiveReplicaIsNotCaughtUp checks that a replica that has the whole
// log but no longer replies isn't reported ready to become a voter.
func TestUnresponsiveReplicaIsNotCaughtUp(t *testing.T) {
	harness := newHarness(t, "a", "b", "c")
	harness.run(t)
	harness.becomeLeader(1)
	stamp := time.Duration(harness.now.Load())
	harness.node.Step(replicator.Message{Cell: cellName, Kind: replicator.KindAppendReply, From: "b", To: "a", Term: 1, Index: 1, Stamp: stamp})
	harness.waitFor("the first commit", func() bool { return harness.node.Status().Commit == 1 })
	harness.c.Check(harness.node.CaughtUp("b"), qt.IsTrue)
	harness.c.Check(harness.node.CaughtUp("c"), qt.IsFalse)
	harness.now.Add(int64(3 * electionTimeout / 2))
	harness.c.Check(harness.node.CaughtUp("b"), qt.IsFalse)
	harness.c.Check(harness.node.Status().Role, qt.Equals, replicator.Leader)
}

// TestASilentReplicaIsReported checks that a replica counts as silent only after some
// seconds without a reply, also under a new leader, which has none yet.
func TestASilentReplicaIsReported(t *testing.T) {
	harness := newHarness(t, "a", "b", "c")
	harness.run(t)
	harness.becomeLeader(1)
	harness.c.Check(harness.node.Silent("b"), qt.IsFalse)
	harness.c.Check(harness.node.Silent("a"), qt.IsFalse)
	for range 5 {
		harness.now.Add(int64(time.Second / 2))
		stamp := time.Duration(harness.now.Load())
		harness.node.Step(replicator.Message{Cell: cellName, Kind: replicator.KindAppendReply, From: "b", To: "a", Term: 1, Index: 1, Stamp: stamp})
		harness.waitFor("the reply", func() bool { return harness.node.CaughtUp("b") })
	}
	harness.c.Check(harness.node.Silent("b"), qt.IsFalse)
	harness.c.Check(harness.node.Silent("c"), qt.IsTrue)
	harness.c.Check(harness.node.Silent("a"), qt.IsFalse)
}

// TestANodeSendsANewReplicaItsStateInPlaceOfALongLog checks that a node takes a snapshot
// for a replica that lacks more of the log than the state is large.
func TestANodeSendsANewReplicaItsStateInPlaceOfALongLog(t *testing.T) {
	harness := newHarness(t, "a")
	harness.run(t)
	harness.becomeLeader(1)
	for range 40 {
		_, _, err := harness.node.Propose(context.Background(), make([]byte, 64<<10))
		harness.c.Assert(err, qt.IsNil)
	}
	harness.c.Assert(harness.node.ChangeMembers(context.Background(), []journaler.Member{{ID: "a", Voter: true}, {ID: "b"}}), qt.IsNil)
	harness.now.Add(int64(heartbeatInterval))
	rejected := false
	harness.waitFor("the snapshot", func() bool {
		harness.mutex.Lock()
		defer harness.mutex.Unlock()
		for _, message := range harness.sent {
			if message.Kind == replicator.KindAppend && !rejected {
				rejected = true
				harness.node.Step(replicator.Message{Cell: cellName, Kind: replicator.KindAppendReply, From: "b", To: "a", Term: 1, Reject: true, Stamp: message.Stamp})
			}
			harness.c.Assert(len(message.Entries) <= 1, qt.IsTrue)
			if message.Piece != nil {
				return message.Piece.Index == 42
			}
		}
		return false
	})
}
