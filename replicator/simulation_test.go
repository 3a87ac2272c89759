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
	hardState journaler.HardState
	snapshot  *journaler.Snapshot
	entries   []journaler.Entry
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
	disk.hardState = ready.HardState
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

// replica is a Core with a simulated disk, its own clock and a state machine whose
// state is the chain of the applied entries.
type replica struct {
	id           journaler.ReplicaID
	initial      []journaler.Member
	core         *replicator.Core
	disk         *disk
	journalFiles *journalFiles
	crashed      bool
	paused       bool
	diskLost     bool
	// clockRate is the speed of its clock relative to the simulated time,
	// clockOffset what it shows at simulated time zero.
	clockRate   float64
	clockOffset time.Duration
	// applied and chain are the state of the state machine.
	applied uint64
	chain   journaler.Chain
	// publishedTerm and publishedLease are those that it last published.
	publishedTerm  uint64
	publishedLease time.Duration
}

func (replica *replica) clock(now time.Duration) time.Duration {
	return replica.clockOffset + time.Duration(float64(now)*replica.clockRate)
}

func (replica *replica) up() bool { return !replica.crashed && !replica.paused && !replica.diskLost }

// simulation runs a simulated cell under faults, and keeps the log that all its
// replicas must agree with.
type simulation struct {
	t        *rapid.T
	now      time.Duration
	replicas map[journaler.ReplicaID]*replica
	ids      []journaler.ReplicaID
	inFlight []replicator.Message
	delayed  []replicator.Message
	// proposals holds all memberships proposed so far.
	proposals    []proposedMembership
	blockedLinks map[[2]journaler.ReplicaID]bool
	// model is the reference log: the committed entries.
	model []journaler.Entry
	// leaderByTerm maps each term to its leader.
	leaderByTerm  map[uint64]journaler.ReplicaID
	newestTerm    uint64
	replicasAdded int
	lastValue     uint64
	// folder holds the replicas' journals. If empty, they have none.
	folder string
	// random is the source of all random choices of a run.
	random *rand.Rand
}

// proposedMembership is a proposed membership and the index of its entry.
type proposedMembership struct {
	index   uint64
	members []journaler.Member
}

func newSimulation(t *rapid.T, voters int) *simulation {
	simulation := &simulation{
		t:            t,
		now:          time.Second,
		replicas:     make(map[journaler.ReplicaID]*replica),
		blockedLinks: make(map[[2]journaler.ReplicaID]bool),
		leaderByTerm: make(map[uint64]journaler.ReplicaID),
		random:       rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), rapid.Uint64().Draw(t, "stream"))),
	}
	simulation.addInitialReplicas(voters)
	return simulation
}

// addInitialReplicas adds the voters that form the cell.
func (simulation *simulation) addInitialReplicas(voters int) {
	var members []journaler.Member
	for at := range voters {
		members = append(members, journaler.Member{ID: journaler.ReplicaID(fmt.Sprintf("r%02d", at)), Voter: true})
	}
	simulation.proposals = []proposedMembership{{members: members}}
	for range voters {
		simulation.addReplica(members)
	}
}

func (simulation *simulation) addReplica(initial []journaler.Member) *replica {
	replica := &replica{
		id:        journaler.ReplicaID(fmt.Sprintf("r%02d", simulation.replicasAdded)),
		initial:   initial,
		disk:      &disk{},
		clockRate: 1 + float64(simulation.draw(6)-3)/100,
	}
	simulation.replicasAdded++
	simulation.replicas[replica.id] = replica
	simulation.ids = append(simulation.ids, replica.id)
	simulation.start(replica)
	return replica
}

// start creates the replica's Core from its disk, as a new process would.
func (simulation *simulation) start(replica *replica) {
	replica.crashed, replica.paused = false, false
	replica.clockOffset = time.Duration(simulation.draw(5)) * time.Second
	replica.publishedTerm, replica.publishedLease = 0, -1
	recovered := simulation.openJournal(replica)
	replica.applied, replica.chain = 0, journaler.Chain{}
	if recovered.Snapshot != nil {
		simulation.restore(replica, recovered.Snapshot)
	}
	core, err := replicator.NewCore(replicator.CoreConfig{
		Cell:              cellName,
		ID:                replica.id,
		Initial:           replica.initial,
		HeartbeatInterval: heartbeatInterval,
		ElectionTimeout:   electionTimeout,
		Jitter: func(limit time.Duration) time.Duration {
			return time.Duration(simulation.random.Int64N(int64(limit)))
		},
		Now:          replica.clock(simulation.now),
		PieceBytes:   16,
		KeepEntries:  4,
		CatchUpBytes: 96,
	}, recovered)
	if err != nil {
		simulation.t.Fatalf("%s cannot start: %v", replica.id, err)
	}
	replica.core = core
}

// snapshotData returns an encoded state that takes several pieces.
func snapshotData(index uint64, chain journaler.Chain) []byte {
	data := binary.BigEndian.AppendUint64(nil, index)
	return append(data, bytes.Repeat(chain[:], 2)...)
}

func (simulation *simulation) restore(replica *replica, snapshot *journaler.Snapshot) {
	if !bytes.Equal(snapshot.Data, snapshotData(snapshot.Index, snapshot.Chain)) {
		simulation.t.Fatalf("%s received a snapshot whose content does not match index %d", replica.id, snapshot.Index)
	}
	replica.applied, replica.chain = snapshot.Index, snapshot.Chain
	simulation.checkAgainstModel(replica, snapshot.Index, snapshot.Chain)
}

func (simulation *simulation) checkAgainstModel(replica *replica, index uint64, chain journaler.Chain) {
	if index == 0 {
		return
	}
	if index > uint64(len(simulation.model)) {
		simulation.t.Fatalf("%s considers index %d committed, but only %d are", replica.id, index, len(simulation.model))
	}
	if simulation.model[index-1].Chain != chain {
		simulation.t.Fatalf("%s has a different log up to the committed index %d", replica.id, index)
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
func (simulation *simulation) processReady(replica *replica, crashAt crashPoint) {
	for {
		if err := replica.core.Err(); err != nil {
			simulation.t.Fatalf("%s failed: %v", replica.id, err)
		}
		simulation.checkReplica(replica)
		ready := replica.core.TakeReady()
		simulation.checkSentBeforeSave(replica, ready.First)
		simulation.inFlight = append(simulation.inFlight, ready.First...)
		if crashAt == crashBeforeSave {
			simulation.saveTorn(replica, &ready)
			replica.crashed = true
			return
		}
		simulation.save(replica, &ready)
		if crashAt == crashAfterSave {
			replica.crashed = true
			return
		}
		committed := replica.core.MarkSaved()
		simulation.checkReplica(replica)
		replica.publishedTerm, replica.publishedLease = replica.core.Term(), replica.core.LeaseUntil()
		simulation.inFlight = append(simulation.inFlight, ready.Then...)
		if ready.Install != nil {
			simulation.restore(replica, ready.Install)
		}
		simulation.apply(replica, committed)
		if ready.WantSnapshot && replica.applied > 0 {
			replica.core.OfferSnapshot(simulation.snapshotOf(replica))
		}
		if len(committed) == 0 && len(ready.First) == 0 && len(ready.Then) == 0 {
			return
		}
	}
}

// checkSentBeforeSave checks that the messages sent before a save are only a
// leader's entries and snapshot pieces, in a term that is already saved.
func (simulation *simulation) checkSentBeforeSave(replica *replica, messages []replicator.Message) {
	for _, message := range messages {
		fromLog := message.Kind == replicator.KindAppend || message.Kind == replicator.KindSnapshotPiece
		if !fromLog || message.Term != replica.disk.hardState.Term {
			simulation.t.Fatalf("%s sends a message of kind %d in term %d before saving it; the saved term is %d", replica.id, message.Kind, message.Term, replica.disk.hardState.Term)
		}
	}
}

func (simulation *simulation) apply(replica *replica, committed []journaler.Entry) {
	for at := range committed {
		entry := &committed[at]
		if entry.Index != replica.applied+1 || entry.ChainAfter(replica.chain) != entry.Chain {
			simulation.t.Fatalf("%s received index %d to apply after %d, or its chain does not match", replica.id, entry.Index, replica.applied)
		}
		replica.applied, replica.chain = entry.Index, entry.Chain
		simulation.checkAgainstModel(replica, entry.Index, entry.Chain)
		if !replica.disk.holds(*entry) {
			simulation.t.Fatalf("%s received index %d to apply before it was durable there", replica.id, entry.Index)
		}
	}
}

// checkReplica checks the invariants on the state that a Core reports.
func (simulation *simulation) checkReplica(replica *replica) {
	core := replica.core
	// A leader that committed its own removal has already stepped down.
	if core.Role() == replicator.Leader || simulation.leaderByTerm[core.Term()] == replica.id {
		simulation.checkLeader(replica)
	}
	if core.CommitIndex() > uint64(len(simulation.model)) {
		simulation.t.Fatalf("%s reports index %d committed, but only %d are", replica.id, core.CommitIndex(), len(simulation.model))
	}
	if entry, held := core.Entry(core.CommitIndex()); held {
		simulation.checkAgainstModel(replica, entry.Index, entry.Chain)
	}
	simulation.checkLeases()
}

func (simulation *simulation) checkLeader(replica *replica) {
	core := replica.core
	term := core.Term()
	if known, led := simulation.leaderByTerm[term]; led && known != replica.id {
		simulation.t.Fatalf("term %d has two leaders, %s and %s", term, known, replica.id)
	} else if !led {
		simulation.leaderByTerm[term] = replica.id
		simulation.newestTerm = max(simulation.newestTerm, term)
		if count := uint64(len(simulation.model)); count > 0 && (core.LastIndex() < count || core.Chain(count) != simulation.model[count-1].Chain) {
			simulation.t.Fatalf("%s leads term %d without the committed index %d", replica.id, term, count)
		}
	}
	for index := uint64(len(simulation.model)) + 1; index <= core.CommitIndex(); index++ {
		entry, held := core.Entry(index)
		if !held {
			simulation.t.Fatalf("%s committed index %d without holding it", replica.id, index)
		}
		simulation.checkQuorum(replica, entry)
		simulation.model = append(simulation.model, entry)
	}
}

// checkQuorum checks that a committed entry is on the disks of a majority.
func (simulation *simulation) checkQuorum(leader *replica, entry journaler.Entry) {
	voters, holders := 0, 0
	for _, member := range leader.core.Members() {
		if !member.Voter {
			continue
		}
		voters++
		if simulation.replicas[member.ID].disk.holds(entry) {
			holders++
		}
	}
	if holders <= voters/2 {
		simulation.t.Fatalf("%s committed index %d of term %d on %d of %d disks", leader.id, entry.Index, entry.Term, holders, voters)
	}
}

// checkLeases checks that each replica whose published lease is still valid, even
// a paused one, published it in the newest term that has a leader.
func (simulation *simulation) checkLeases() {
	for _, id := range simulation.ids {
		replica := simulation.replicas[id]
		if replica.crashed || replica.diskLost || replica.clock(simulation.now) >= replica.publishedLease {
			continue
		}
		if replica.publishedTerm < simulation.newestTerm {
			simulation.t.Fatalf("%s claims a lease in term %d after %s was elected in term %d", id, replica.publishedTerm, simulation.leaderByTerm[simulation.newestTerm], simulation.newestTerm)
		}
	}
}

// deliver delivers the message at the index, unless its link is blocked or its
// receiver is down. Messages to a paused replica are dropped, as they are when
// its queue is full. With duplicate, the message stays queued for delivery.
func (simulation *simulation) deliver(index int, duplicate bool) {
	message := simulation.inFlight[index]
	if !duplicate {
		simulation.inFlight = slices.Delete(simulation.inFlight, index, index+1)
	}
	receiver := simulation.replicas[message.To]
	if receiver == nil || !receiver.up() || simulation.blockedLinks[[2]journaler.ReplicaID{message.From, message.To}] {
		return
	}
	receiver.core.ObserveTime(receiver.clock(simulation.now))
	receiver.core.Step(message)
	simulation.checkReplica(receiver)
}

// deliverRounds delivers the messages in flight in order, for a number of rounds.
func (simulation *simulation) deliverRounds(rounds int, drop func() bool) {
	for range rounds {
		for count := len(simulation.inFlight); count > 0; count-- {
			if drop() {
				simulation.inFlight = simulation.inFlight[1:]
				continue
			}
			simulation.deliver(0, false)
		}
		for _, id := range simulation.ids {
			if replica := simulation.replicas[id]; replica.up() {
				simulation.processReady(replica, noCrash)
			}
		}
	}
}

func (simulation *simulation) tick(elapsed time.Duration) {
	simulation.now += elapsed
	for _, id := range simulation.ids {
		replica := simulation.replicas[id]
		if replica.up() {
			replica.core.Tick(replica.clock(simulation.now))
			simulation.processReady(replica, noCrash)
		}
	}
}

// leader returns the replica that is up and leads in the newest term, by its own
// state, or nil.
func (simulation *simulation) leader() *replica {
	var found *replica
	for _, id := range simulation.ids {
		replica := simulation.replicas[id]
		if replica.up() && replica.core.Role() == replicator.Leader && (found == nil || found.core.Term() < replica.core.Term()) {
			found = replica
		}
	}
	return found
}
