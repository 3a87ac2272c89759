package replicator_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/dotterelrill/dotterelrill/journaler"
	"github.com/dotterelrill/dotterelrill/replicator"
)

const (
	electionTimeout   = 100 * time.Millisecond
	heartbeatInterval = 20 * time.Millisecond
	cellName          = "test"
)

// disk is a replica's saved state.
type disk struct {
	hard     journaler.HardState
	snapshot *journaler.Snapshot
	entries  []journaler.Entry
}

func (disk *disk) base() uint64 {
	if disk.snapshot == nil {
		return 0
	}
	return disk.snapshot.Index
}

func (disk *disk) save(ready *replicator.Ready) {
	if ready.Install != nil {
		disk.snapshot = ready.Install
		disk.entries = nil
	}
	if !ready.MustSave {
		return
	}
	disk.hard = ready.HardState
	for _, entry := range ready.Entries {
		disk.entries = append(slices.Clone(disk.entries[:entry.Index-disk.base()-1]), entry)
	}
}

func (disk *disk) holds(entry journaler.Entry) bool {
	if entry.Index <= disk.base() {
		return true
	}
	at := entry.Index - disk.base() - 1
	return at < uint64(len(disk.entries)) && disk.entries[at].Term == entry.Term && disk.entries[at].Chain == entry.Chain
}

// replica is a Core with a simulated disk, its own clock and a machine whose
// state is the chain of the applied entries.
type replica struct {
	id      journaler.ReplicaID
	initial []journaler.Member
	core    *replicator.Core
	disk    *disk
	files   *files
	crashed bool
	paused  bool
	lost    bool
	// rate is the speed of its clock relative to the simulated time, offset the
	// difference at time zero.
	rate   float64
	offset time.Duration
	// applied and chain are the machine's state.
	applied uint64
	chain   journaler.Chain
	// term and lease are those that it last published.
	term  uint64
	lease time.Duration
}

func (replica *replica) clock(now time.Duration) time.Duration {
	return replica.offset + time.Duration(float64(now)*replica.rate)
}

func (replica *replica) up() bool { return !replica.crashed && !replica.paused && !replica.lost }

// world simulates a cell under faults, and keeps the log that all its replicas
// must agree with.
type world struct {
	t        *rapid.T
	now      time.Duration
	replicas map[journaler.ReplicaID]*replica
	order    []journaler.ReplicaID
	wire     []replicator.Message
	held     []replicator.Message
	// changes are all memberships proposed so far.
	changes []change
	cuts    map[[2]journaler.ReplicaID]bool
	// model is the reference log: the committed entries.
	model []journaler.Entry
	// elected maps each term to its leader.
	elected map[uint64]journaler.ReplicaID
	newest  uint64
	made    int
	value   uint64
	// folder holds the replicas' journals. If empty, they have none.
	folder string
	// random is the source of all random choices of a run.
	random *rand.Rand
}

// change is a proposed membership.
type change struct {
	index   uint64
	members []journaler.Member
}

func newWorld(t *rapid.T, voters int) *world {
	world := &world{
		t:        t,
		now:      time.Second,
		replicas: make(map[journaler.ReplicaID]*replica),
		cuts:     make(map[[2]journaler.ReplicaID]bool),
		elected:  make(map[uint64]journaler.ReplicaID),
		random:   rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), rapid.Uint64().Draw(t, "stream"))),
	}
	world.addInitialReplicas(voters)
	return world
}

// addInitialReplicas adds the voters that form the cell.
func (world *world) addInitialReplicas(voters int) {
	var members []journaler.Member
	for at := range voters {
		members = append(members, journaler.Member{ID: journaler.ReplicaID(fmt.Sprintf("r%02d", at)), Voter: true})
	}
	world.changes = []change{{members: members}}
	for range voters {
		world.addReplica(members)
	}
}

func (world *world) addReplica(initial []journaler.Member) *replica {
	replica := &replica{
		id:      journaler.ReplicaID(fmt.Sprintf("r%02d", world.made)),
		initial: initial,
		disk:    &disk{},
		rate:    1 + float64(world.draw(6)-3)/100,
	}
	world.made++
	world.replicas[replica.id] = replica
	world.order = append(world.order, replica.id)
	world.start(replica)
	return replica
}

// start creates the replica's Core from its disk, as a new process would.
func (world *world) start(replica *replica) {
	replica.crashed, replica.paused = false, false
	replica.offset = time.Duration(world.draw(5)) * time.Second
	replica.term, replica.lease = 0, -1
	recovered := world.openJournal(replica)
	replica.applied, replica.chain = 0, journaler.Chain{}
	if recovered.Snapshot != nil {
		world.restore(replica, recovered.Snapshot)
	}
	core, err := replicator.NewCore(replicator.CoreConfig{
		Cell:              cellName,
		ID:                replica.id,
		Initial:           replica.initial,
		HeartbeatInterval: heartbeatInterval,
		ElectionTimeout:   electionTimeout,
		Jitter: func(limit time.Duration) time.Duration {
			return time.Duration(world.random.Int64N(int64(limit)))
		},
		Now:         replica.clock(world.now),
		PieceBytes:  16,
		KeepEntries: 4,
	}, recovered)
	if err != nil {
		world.t.Fatalf("%s cannot start: %v", replica.id, err)
	}
	replica.core = core
}

// snapshotData returns an encoded machine state that takes several pieces.
func snapshotData(index uint64, chain journaler.Chain) []byte {
	data := binary.BigEndian.AppendUint64(nil, index)
	return append(data, bytes.Repeat(chain[:], 2)...)
}

func (world *world) restore(replica *replica, snapshot *journaler.Snapshot) {
	if !bytes.Equal(snapshot.Data, snapshotData(snapshot.Index, snapshot.Chain)) {
		world.t.Fatalf("%s received a snapshot whose content does not match index %d", replica.id, snapshot.Index)
	}
	replica.applied, replica.chain = snapshot.Index, snapshot.Chain
	world.checkAgainstModel(replica, snapshot.Index, snapshot.Chain)
}

func (world *world) checkAgainstModel(replica *replica, index uint64, chain journaler.Chain) {
	if index == 0 {
		return
	}
	if index > uint64(len(world.model)) {
		world.t.Fatalf("%s considers index %d committed, but only %d are", replica.id, index, len(world.model))
	}
	if world.model[index-1].Chain != chain {
		world.t.Fatalf("%s has a different log up to the committed index %d", replica.id, index)
	}
}

// crashPoint is the point at which a replica crashes while it handles a Ready.
type crashPoint int

const (
	noCrash crashPoint = iota
	crashBeforeSave
	crashAfterSave
)

// processReady saves the Core's state, sends its messages and applies its
// committed entries, as a Node does.
func (world *world) processReady(replica *replica, crashAt crashPoint) {
	for {
		if err := replica.core.Err(); err != nil {
			world.t.Fatalf("%s failed: %v", replica.id, err)
		}
		world.checkReplica(replica)
		ready := replica.core.TakeReady()
		world.checkSentBeforeSave(replica, ready.First)
		world.wire = append(world.wire, ready.First...)
		if crashAt == crashBeforeSave {
			world.saveTorn(replica, &ready)
			replica.crashed = true
			return
		}
		world.save(replica, &ready)
		if crashAt == crashAfterSave {
			replica.crashed = true
			return
		}
		committed := replica.core.MarkSaved()
		world.checkReplica(replica)
		replica.term, replica.lease = replica.core.Term(), replica.core.LeaseUntil()
		world.wire = append(world.wire, ready.Then...)
		if ready.Install != nil {
			world.restore(replica, ready.Install)
		}
		world.apply(replica, committed)
		if len(committed) == 0 && len(ready.First) == 0 && len(ready.Then) == 0 {
			return
		}
	}
}

// checkSentBeforeSave checks that the messages sent before a save are only a
// leader's entries and snapshot pieces, in a term that is already saved.
func (world *world) checkSentBeforeSave(replica *replica, messages []replicator.Message) {
	for _, message := range messages {
		fromLog := message.Kind == replicator.KindAppend || message.Kind == replicator.KindSnapshotPiece
		if !fromLog || message.Term != replica.disk.hard.Term {
			world.t.Fatalf("%s sends a message of kind %d in term %d before saving it; the saved term is %d", replica.id, message.Kind, message.Term, replica.disk.hard.Term)
		}
	}
}

func (world *world) apply(replica *replica, committed []journaler.Entry) {
	for at := range committed {
		entry := &committed[at]
		if entry.Index != replica.applied+1 || entry.Link(replica.chain) != entry.Chain {
			world.t.Fatalf("%s received index %d to apply after %d, or its chain does not match", replica.id, entry.Index, replica.applied)
		}
		replica.applied, replica.chain = entry.Index, entry.Chain
		world.checkAgainstModel(replica, entry.Index, entry.Chain)
		if !replica.disk.holds(*entry) {
			world.t.Fatalf("%s received index %d to apply before it was durable there", replica.id, entry.Index)
		}
	}
}

// checkReplica checks the invariants on the state that a Core reports.
func (world *world) checkReplica(replica *replica) {
	core := replica.core
	// A leader that committed its own removal has already stepped down.
	if core.Role() == replicator.Leader || world.elected[core.Term()] == replica.id {
		world.checkLeader(replica)
	}
	if core.CommitIndex() > uint64(len(world.model)) {
		world.t.Fatalf("%s reports index %d committed, but only %d are", replica.id, core.CommitIndex(), len(world.model))
	}
	if entry, held := core.Entry(core.CommitIndex()); held {
		world.checkAgainstModel(replica, entry.Index, entry.Chain)
	}
	world.checkLeases()
}

func (world *world) checkLeader(replica *replica) {
	core := replica.core
	term := core.Term()
	if known, led := world.elected[term]; led && known != replica.id {
		world.t.Fatalf("term %d has two leaders, %s and %s", term, known, replica.id)
	} else if !led {
		world.elected[term] = replica.id
		world.newest = max(world.newest, term)
		if count := uint64(len(world.model)); count > 0 && (core.LastIndex() < count || core.Chain(count) != world.model[count-1].Chain) {
			world.t.Fatalf("%s leads term %d without the committed index %d", replica.id, term, count)
		}
	}
	for index := uint64(len(world.model)) + 1; index <= core.CommitIndex(); index++ {
		entry, held := core.Entry(index)
		if !held {
			world.t.Fatalf("%s committed index %d without holding it", replica.id, index)
		}
		world.checkQuorum(replica, entry)
		world.model = append(world.model, entry)
	}
}

// checkQuorum checks that a committed entry is on the disks of a majority.
func (world *world) checkQuorum(leader *replica, entry journaler.Entry) {
	voters, holders := 0, 0
	for _, member := range leader.core.Members() {
		if !member.Voter {
			continue
		}
		voters++
		if world.replicas[member.ID].disk.holds(entry) {
			holders++
		}
	}
	if holders <= voters/2 {
		world.t.Fatalf("%s committed index %d of term %d on %d of %d disks", leader.id, entry.Index, entry.Term, holders, voters)
	}
}

// checkLeases checks that each replica whose published lease is still valid, even
// a paused one, published it in the newest term that has a leader.
func (world *world) checkLeases() {
	for _, id := range world.order {
		replica := world.replicas[id]
		if replica.crashed || replica.lost || replica.clock(world.now) >= replica.lease {
			continue
		}
		if replica.term < world.newest {
			world.t.Fatalf("%s claims a lease in term %d after %s was elected in term %d", id, replica.term, world.elected[world.newest], world.newest)
		}
	}
}

// deliver delivers the message at the index, unless its link is blocked or its
// receiver is down. Messages to a paused replica are dropped, as they are when
// its queue is full. With duplicate, the message stays queued for delivery.
func (world *world) deliver(index int, duplicate bool) {
	message := world.wire[index]
	if !duplicate {
		world.wire = slices.Delete(world.wire, index, index+1)
	}
	receiver := world.replicas[message.To]
	if receiver == nil || !receiver.up() || world.cuts[[2]journaler.ReplicaID{message.From, message.To}] {
		return
	}
	receiver.core.ObserveTime(receiver.clock(world.now))
	receiver.core.Step(message)
	world.checkReplica(receiver)
}

// deliverRounds delivers the messages in flight in order, for a number of rounds.
func (world *world) deliverRounds(rounds int, drop func() bool) {
	for range rounds {
		for count := len(world.wire); count > 0; count-- {
			if drop() {
				world.wire = world.wire[1:]
				continue
			}
			world.deliver(0, false)
		}
		for _, id := range world.order {
			if replica := world.replicas[id]; replica.up() {
				world.processReady(replica, noCrash)
			}
		}
	}
}

func (world *world) tick(elapsed time.Duration) {
	world.now += elapsed
	for _, id := range world.order {
		replica := world.replicas[id]
		if replica.up() {
			replica.core.Tick(replica.clock(world.now))
			world.processReady(replica, noCrash)
		}
	}
}

// leader returns the replica that is up and leads in the newest term, by its own
// state, or nil.
func (world *world) leader() *replica {
	var found *replica
	for _, id := range world.order {
		replica := world.replicas[id]
		if replica.up() && replica.core.Role() == replicator.Leader && (found == nil || found.core.Term() < replica.core.Term()) {
			found = replica
		}
	}
	return found
}
