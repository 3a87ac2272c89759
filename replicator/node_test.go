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

// bench runs one node; the test simulates the other replicas.
type bench struct {
	c     *qt.C
	node  *replicator.Node
	clock func() time.Duration
	now   atomic.Int64
	// syncFails makes every sync fail.
	syncFails atomic.Bool
	ended     chan error

	mutex sync.Mutex
	sent  []replicator.Message
	// applied holds the indexes of the applied entries.
	applied []uint64
}

var errSyncFailed = errors.New("the disk failed")

func newHarness(t *testing.T, voters ...journaler.ReplicaID) *bench {
	made := &bench{c: qt.New(t), ended: make(chan error, 1)}
	made.clock = func() time.Duration { return time.Duration(made.now.Load()) }
	var members []journaler.Member
	for _, id := range voters {
		members = append(members, journaler.Member{ID: id, Voter: true})
	}
	journal, recovered, err := journaler.Open(journaler.Config{
		Folder: t.TempDir(), Cell: cellName, Replica: voters[0], SegmentBytes: 1 << 20,
		Sync: func(file *os.File) error {
			if made.syncFails.Load() {
				return errSyncFailed
			}
			return file.Sync()
		},
	})
	made.c.Assert(err, qt.IsNil)
	made.node, err = replicator.NewNode(replicator.NodeConfig{
		Core: replicator.CoreConfig{
			Cell: cellName, ID: voters[0], Initial: members, HeartbeatInterval: heartbeatInterval, ElectionTimeout: electionTimeout,
			Jitter: func(time.Duration) time.Duration { return 0 },
		},
		Journal: journal,
		Machine: replicator.Machine{
			Apply: func(entry *journaler.Entry) any {
				made.mutex.Lock()
				defer made.mutex.Unlock()
				made.applied = append(made.applied, entry.Index)
				return nil
			},
			Snapshot: func() ([]byte, error) { return nil, nil },
			Restore:  func(*journaler.Snapshot) error { return nil },
		},
		Send:          made.handleSent,
		Clock:         func() time.Duration { return made.clock() },
		TickInterval:  time.Millisecond,
		SnapshotEvery: 1 << 30,
	}, recovered)
	made.c.Assert(err, qt.IsNil)
	return made
}

// handleSent grants every vote request at once, and records all messages.
func (bench *bench) handleSent(message replicator.Message) {
	reply := replicator.Message{Cell: cellName, From: message.To, To: message.From, Term: message.Term}
	switch message.Kind {
	case replicator.KindPreVote:
		reply.Kind = replicator.KindPreVoteReply
		bench.node.Step(reply)
	case replicator.KindVote:
		reply.Kind = replicator.KindVoteReply
		bench.node.Step(reply)
	}
	bench.mutex.Lock()
	defer bench.mutex.Unlock()
	bench.sent = append(bench.sent, message)
}

func (bench *bench) run(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() { bench.ended <- bench.node.Run(ctx) }()
	t.Cleanup(cancel)
}

func (bench *bench) waitFor(event string, reached func() bool) {
	deadline := time.Now().Add(nodeTimeout)
	for !reached() {
		if time.Now().After(deadline) {
			bench.c.Fatalf("timed out waiting for %s: %+v", event, bench.node.Status())
		}
		time.Sleep(time.Millisecond)
	}
}

func (bench *bench) becomeLeader(term uint64) {
	bench.now.Add(int64(2 * electionTimeout))
	bench.waitFor("leadership", func() bool {
		status := bench.node.Status()
		return status.Role == replicator.Leader && status.Term == term
	})
}

// proposeAndAwaitEntry proposes a command and waits until it is in the log. The
// returned channel delivers the proposal's error.
func (bench *bench) proposeAndAwaitEntry() chan error {
	last := bench.node.Status().Last
	answer := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), nodeTimeout)
		defer cancel()
		_, _, err := bench.node.Propose(ctx, []byte("x"))
		answer <- err
	}()
	bench.waitFor("the proposal", func() bool { return bench.node.Status().Last > last })
	return answer
}

// TestOverwrittenProposalIsUndecided checks that a proposal whose entry was
// overwritten in this replica's log by that of another leader fails with
// ErrUndecided: others of the five replicas may hold it and still commit it.
func TestOverwrittenProposalIsUndecided(t *testing.T) {
	bench := newHarness(t, "a", "b", "c", "d", "e")
	bench.run(t)
	bench.becomeLeader(1)
	bench.proposeAndAwaitEntry()
	answer := bench.proposeAndAwaitEntry()
	conflicting := journaler.Entry{Index: 1, Term: 2, Kind: journaler.EntryNoop}
	conflicting.Chain = conflicting.Link(journaler.Chain{})
	bench.node.Step(replicator.Message{Cell: cellName, Kind: replicator.KindAppend, From: "c", To: "a", Term: 2, Entries: []journaler.Entry{conflicting}})
	bench.waitFor("the other leader", func() bool { return bench.node.Status().Last == 1 })
	bench.becomeLeader(3)
	bench.proposeAndAwaitEntry()
	err := <-answer
	bench.c.Check(errors.Is(err, replicator.ErrReplaced) || errors.Is(err, replicator.ErrNotLeader), qt.IsFalse, qt.Commentf("%v", err))
	bench.c.Check(errors.Is(err, replicator.ErrUndecided), qt.IsTrue, qt.Commentf("%v", err))
}

func TestFailedSyncStopsTheNode(t *testing.T) {
	bench := newHarness(t, "a")
	bench.run(t)
	bench.becomeLeader(1)
	bench.waitFor("the first entry", func() bool { return bench.node.Applied() == 1 })
	bench.syncFails.Store(true)
	answer := bench.proposeInBackground()
	bench.c.Check(errors.Is(<-bench.ended, errSyncFailed), qt.IsTrue)
	bench.c.Check(errors.Is(<-answer, replicator.ErrStopped), qt.IsTrue)
	bench.syncFails.Store(false)
	_, _, err := bench.node.Propose(context.Background(), []byte("y"))
	bench.c.Check(err, qt.IsNotNil)
	bench.c.Check(bench.applied, qt.DeepEquals, []uint64{1})
}

// proposeInBackground proposes a command without waiting for its entry. The
// returned channel delivers the proposal's error.
func (bench *bench) proposeInBackground() chan error {
	answer := make(chan error, 1)
	go func() {
		_, _, err := bench.node.Propose(context.Background(), []byte("x"))
		answer <- err
	}()
	return answer
}

// TestLeaderContactIsTimedAtHandling simulates, by a jump of the clock, a pause of
// the process between two queued messages. The leader's lease counts from when
// it sent the second message, so the replica must not record an earlier time of
// contact, and must ignore the vote request that follows.
func TestLeaderContactIsTimedAtHandling(t *testing.T) {
	bench := newHarness(t, "a", "b", "c")
	var calls atomic.Int64
	bench.clock = func() time.Duration {
		if calls.Add(1) == 1 {
			return 0
		}
		return 10 * electionTimeout
	}
	heartbeat := replicator.Message{Cell: cellName, Kind: replicator.KindAppend, From: "b", To: "a", Term: 1}
	bench.node.Step(heartbeat)
	bench.node.Step(heartbeat)
	bench.node.Step(replicator.Message{Cell: cellName, Kind: replicator.KindVote, From: "c", To: "a", Term: 2})
	bench.run(t)
	bench.waitFor("two replies", func() bool {
		bench.mutex.Lock()
		defer bench.mutex.Unlock()
		return len(bench.sent) >= 2
	})
	bench.mutex.Lock()
	defer bench.mutex.Unlock()
	for _, message := range bench.sent {
		bench.c.Check(message.Kind, qt.Equals, replicator.KindAppendReply)
	}
	bench.c.Check(bench.node.Status().Term, qt.Equals, uint64(1))
}

// TestUnresponsiveReplicaIsNotCaughtUp checks that a replica that has the whole
// log but no longer replies isn't reported ready to become a voter.
func TestUnresponsiveReplicaIsNotCaughtUp(t *testing.T) {
	bench := newHarness(t, "a", "b", "c")
	bench.run(t)
	bench.becomeLeader(1)
	stamp := time.Duration(bench.now.Load())
	bench.node.Step(replicator.Message{Cell: cellName, Kind: replicator.KindAppendReply, From: "b", To: "a", Term: 1, Index: 1, Stamp: stamp})
	bench.waitFor("the first commit", func() bool { return bench.node.Status().Commit == 1 })
	bench.c.Check(bench.node.CaughtUp("b"), qt.IsTrue)
	bench.c.Check(bench.node.CaughtUp("c"), qt.IsFalse)
	bench.now.Add(int64(3 * electionTimeout / 2))
	bench.c.Check(bench.node.CaughtUp("b"), qt.IsFalse)
	bench.c.Check(bench.node.Status().Role, qt.Equals, replicator.Leader)
}
