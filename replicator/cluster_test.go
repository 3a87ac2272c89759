package replicator_test

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/journaler"
	"github.com/dotterelrill/dotterelrill/replicator"
)

// cluster runs three nodes with their goroutines and journal files in this
// process. It delivers their messages directly and drops some of them.
type cluster struct {
	c         *qt.C
	folder    string
	members   []journaler.Member
	startedAt time.Time

	mutex sync.Mutex
	nodes map[journaler.ReplicaID]*runningNode
	// isolated is a replica whose messages, both ways, are dropped.
	isolated journaler.ReplicaID
}

type runningNode struct {
	node         *replicator.Node
	journal      *journaler.Journal
	cancel       context.CancelFunc
	runResult    chan error
	stateMachine *countingStateMachine
}

// countingStateMachine counts how often each value was applied.
type countingStateMachine struct {
	mutex       sync.Mutex
	index       uint64
	chain       journaler.Chain
	applyCounts map[uint64]int
}

func (stateMachine *countingStateMachine) apply(entry *journaler.Entry) any {
	stateMachine.mutex.Lock()
	defer stateMachine.mutex.Unlock()
	stateMachine.index, stateMachine.chain = entry.Index, entry.Chain
	if entry.Kind == journaler.EntryCommand {
		stateMachine.applyCounts[binary.BigEndian.Uint64(entry.Data)]++
	}
	return entry.Index
}

func (stateMachine *countingStateMachine) snapshot() ([]byte, error) {
	stateMachine.mutex.Lock()
	defer stateMachine.mutex.Unlock()
	data := append(binary.BigEndian.AppendUint64(nil, stateMachine.index), stateMachine.chain[:]...)
	for value, times := range stateMachine.applyCounts {
		data = binary.BigEndian.AppendUint64(data, value)
		data = binary.BigEndian.AppendUint64(data, uint64(times))
	}
	return data, nil
}

func (stateMachine *countingStateMachine) restore(snapshot *journaler.Snapshot) error {
	stateMachine.mutex.Lock()
	defer stateMachine.mutex.Unlock()
	stateMachine.applyCounts = make(map[uint64]int)
	stateMachine.index, stateMachine.chain = snapshot.Index, snapshot.Chain
	for data := snapshot.Data[8+len(stateMachine.chain):]; len(data) > 0; data = data[16:] {
		stateMachine.applyCounts[binary.BigEndian.Uint64(data)] = int(binary.BigEndian.Uint64(data[8:]))
	}
	return nil
}

func (cluster *cluster) start(id journaler.ReplicaID) {
	journal, recovered, err := journaler.Open(journaler.Config{Folder: filepath.Join(cluster.folder, string(id)), Cell: cellName, Replica: id, SegmentBytes: 4096, RetainBytes: 1 << 16})
	cluster.c.Assert(err, qt.IsNil)
	stateMachine := &countingStateMachine{applyCounts: make(map[uint64]int)}
	if recovered.Snapshot != nil {
		cluster.c.Assert(stateMachine.restore(recovered.Snapshot), qt.IsNil)
	}
	node, err := replicator.NewNode(replicator.NodeConfig{
		Core: replicator.CoreConfig{
			Cell: cellName, ID: id, Initial: cluster.members, HeartbeatInterval: 20 * time.Millisecond, ElectionTimeout: 100 * time.Millisecond,
			Jitter: rand.N[time.Duration], PieceBytes: 100, KeepEntries: 5,
		},
		Journal:       journal,
		StateMachine:  replicator.StateMachine{Apply: stateMachine.apply, Snapshot: stateMachine.snapshot, Restore: stateMachine.restore},
		Send:          cluster.send,
		Clock:         func() time.Duration { return time.Since(cluster.startedAt) },
		TickInterval:  5 * time.Millisecond,
		SnapshotEvery: 20,
	}, recovered)
	cluster.c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	running := &runningNode{node: node, journal: journal, cancel: cancel, runResult: make(chan error, 1), stateMachine: stateMachine}
	go func() { running.runResult <- node.Run(ctx) }()
	cluster.mutex.Lock()
	cluster.nodes[id] = running
	cluster.mutex.Unlock()
}

func (cluster *cluster) stop(id journaler.ReplicaID) {
	cluster.mutex.Lock()
	running := cluster.nodes[id]
	delete(cluster.nodes, id)
	cluster.mutex.Unlock()
	running.cancel()
	cluster.c.Assert(<-running.runResult, qt.IsNil)
	cluster.c.Assert(running.journal.Close(), qt.IsNil)
}

func (cluster *cluster) send(message replicator.Message) {
	cluster.mutex.Lock()
	dropped := rand.IntN(20) == 0 || message.From == cluster.isolated || message.To == cluster.isolated
	cluster.mutex.Unlock()
	if dropped {
		return
	}
	if running := cluster.running(message.To); running != nil {
		running.node.Step(message)
	}
}

func (cluster *cluster) running(id journaler.ReplicaID) *runningNode {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	return cluster.nodes[id]
}

// isolateLeader isolates the leader long enough for another one to be elected.
func (cluster *cluster) isolateLeader() {
	for _, member := range cluster.members {
		if cluster.running(member.ID).node.Status().Role == replicator.Leader {
			cluster.setIsolated(member.ID)
		}
	}
	time.Sleep(400 * time.Millisecond)
	cluster.setIsolated("")
}

func (cluster *cluster) setIsolated(id journaler.ReplicaID) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.isolated = id
}

// propose proposes the value to each node in turn until one commits it. It
// returns false at the timeout or if the outcome is unknown.
func (cluster *cluster) propose(value uint64) bool {
	data := binary.BigEndian.AppendUint64(nil, value)
	for deadline := time.Now().Add(nodeTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		for _, member := range cluster.members {
			running := cluster.running(member.ID)
			if running == nil {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, _, err := running.node.Propose(ctx, data)
			cancel()
			switch {
			case err == nil:
				return true
			case !errors.Is(err, replicator.ErrNotLeader) && !errors.Is(err, replicator.ErrReplaced):
				return false
			}
		}
	}
	return false
}

// TestNodesAgree stops, starts and isolates nodes while values are proposed. A
// value is proposed again only after an error that rules out its commit, so
// none may be applied twice, and each acknowledged value must be applied on all
// nodes.
func TestNodesAgree(t *testing.T) {
	c := qt.New(t)
	cluster := &cluster{c: c, folder: t.TempDir(), startedAt: time.Now(), nodes: make(map[journaler.ReplicaID]*runningNode)}
	for at := range 3 {
		cluster.members = append(cluster.members, journaler.Member{ID: journaler.ReplicaID(fmt.Sprint("n", at)), Voter: true})
	}
	for _, member := range cluster.members {
		cluster.start(member.ID)
	}
	decided := make([][]uint64, 4)
	var group sync.WaitGroup
	for proposer := range decided {
		group.Go(func() {
			for number := range 150 {
				value := uint64(proposer*1000 + number)
				if cluster.propose(value) {
					decided[proposer] = append(decided[proposer], value)
				}
			}
		})
	}
	for round := range 8 {
		time.Sleep(200 * time.Millisecond)
		id := cluster.members[round%3].ID
		if round%2 == 0 {
			cluster.isolateLeader()
			continue
		}
		cluster.stop(id)
		time.Sleep(150 * time.Millisecond)
		cluster.start(id)
	}
	group.Wait()
	cluster.checkApplied(decided)
	for _, member := range cluster.members {
		cluster.stop(member.ID)
	}
}

func (cluster *cluster) checkApplied(decided [][]uint64) {
	c := cluster.c
	for deadline := time.Now().Add(nodeTimeout); !cluster.hasConverged(); time.Sleep(5 * time.Millisecond) {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("the nodes did not converge to one index"))
	}
	for id, running := range cluster.nodes {
		running.stateMachine.mutex.Lock()
		for value, times := range running.stateMachine.applyCounts {
			c.Check(times, qt.Equals, 1, qt.Commentf("%s applied value %d", id, value))
		}
		count := 0
		for _, values := range decided {
			for _, value := range values {
				count++
				c.Check(running.stateMachine.applyCounts[value], qt.Equals, 1, qt.Commentf("%s and acknowledged value %d", id, value))
			}
		}
		c.Check(count > 100, qt.IsTrue, qt.Commentf("%d acknowledged", count))
		running.stateMachine.mutex.Unlock()
	}
}

// hasConverged reports whether all machines have the same chain, and therefore
// the same log.
func (cluster *cluster) hasConverged() bool {
	chains := make(map[journaler.Chain]bool)
	for _, running := range cluster.nodes {
		running.stateMachine.mutex.Lock()
		chains[running.stateMachine.chain] = true
		running.stateMachine.mutex.Unlock()
	}
	return len(chains) == 1
}
