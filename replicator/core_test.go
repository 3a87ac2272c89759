package replicator_test

import (
	"encoding/binary"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dotterelrill/dotterelrill/journaler"
	"github.com/dotterelrill/dotterelrill/replicator"
)

func TestThreeReplicasAgreeUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runFaults(newWorld(t, 3)) })
}

func TestFiveReplicasAgreeUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runFaults(newWorld(t, 5)) })
}

func TestOneReplicaGrowsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runFaults(newWorld(t, 1)) })
}

// maxFaultSteps is the maximum number of actions in a run.
const maxFaultSteps = 400

func runFaults(world *world) {
	actions := []struct {
		weight int
		run    func()
	}{
		{30, world.runCell},
		{10, world.advanceClock},
		{10, world.deliverInOrder},
		{20, world.deliverOutOfOrder},
		{14, world.propose},
		{2, world.crash},
		{3, world.crashDuringSave},
		{8, world.restartAny},
		{2, world.pause},
		{4, world.resumeAny},
		{2, world.blockLink},
		{2, world.partition},
		{6, world.healLinks},
		{3, world.crashAndRestart},
		{6, world.delayMessage},
		{4, world.releaseDelayed},
		{5, world.takeSnapshot},
		{5, world.changeMembers},
		{1, world.loseDisk},
		{2, world.transferLeadership},
	}
	var weighted []func()
	for _, action := range actions {
		for range action.weight {
			weighted = append(weighted, action.run)
		}
	}
	for world.leader() == nil {
		world.tick(heartbeatInterval)
		world.deliverRounds(3, func() bool { return false })
	}
	for range world.draw(maxFaultSteps) {
		weighted[world.draw(len(weighted)-1)]()
		world.checkLeases()
	}
	world.checkRecovers()
}

// draw returns a number from 0 to the limit. All numbers of a run come from one
// seed rather than from rapid's generators, which prefer small numbers and so
// hardly ever produce long faults.
func (world *world) draw(limit int) int { return world.random.IntN(limit + 1) }

func (world *world) anyReplica() *replica {
	return world.replicas[world.order[world.draw(len(world.order)-1)]]
}

func (world *world) anyReplicaWhere(matches func(*replica) bool) *replica {
	var found []*replica
	for _, id := range world.order {
		if matches(world.replicas[id]) {
			found = append(found, world.replicas[id])
		}
	}
	if len(found) == 0 {
		return nil
	}
	return found[world.draw(len(found)-1)]
}

// runCell lets the cell run for a while under the current faults.
func (world *world) runCell() {
	for range world.draw(10) {
		world.tick(heartbeatInterval / 2)
		world.deliverRounds(2, func() bool { return false })
	}
}

func (world *world) advanceClock() {
	world.tick(time.Duration(world.draw(8)+1) * heartbeatInterval / 2)
}

func (world *world) deliverInOrder() {
	loss := world.draw(4)
	world.deliverRounds(world.draw(3)+1, func() bool { return loss > 2 && world.draw(3) == 0 })
}

// deliverOutOfOrder delivers some messages in random order, and duplicates a few.
func (world *world) deliverOutOfOrder() {
	for range world.draw(6) {
		if len(world.wire) == 0 {
			return
		}
		index := world.draw(len(world.wire) - 1)
		receiver := world.replicas[world.wire[index].To]
		world.deliver(index, world.draw(5) == 0)
		if receiver != nil && receiver.up() && world.draw(1) == 0 {
			world.processReady(receiver, crashPoint(max(0, world.draw(11)-9)))
		}
	}
}

func (world *world) propose() {
	replica := world.anyReplica()
	if leader := world.leader(); leader != nil && world.draw(3) > 0 {
		replica = leader
	}
	if !replica.up() {
		return
	}
	for range world.draw(3) + 1 {
		world.value++
		replica.core.Propose(journaler.EntryCommand, binary.BigEndian.AppendUint64(nil, world.value))
	}
	if world.draw(1) == 0 {
		world.processReady(replica, noCrash)
	}
}

func (world *world) crash() {
	if replica := world.anyReplica(); !replica.lost {
		replica.crashed = true
	}
}

// crashDuringSave crashes a replica between TakeReady and MarkSaved, before or
// after its state is saved.
func (world *world) crashDuringSave() {
	replica := world.anyReplica()
	if !replica.up() {
		return
	}
	replica.core.Tick(replica.clock(world.now))
	world.value++
	replica.core.Propose(journaler.EntryCommand, binary.BigEndian.AppendUint64(nil, world.value))
	world.processReady(replica, crashPoint(1+world.draw(1)))
}

func (world *world) restartAny() {
	if replica := world.anyReplicaWhere(func(replica *replica) bool { return replica.crashed && !replica.lost }); replica != nil {
		world.start(replica)
	}
}

func (world *world) pause() {
	if replica := world.anyReplica(); replica.up() {
		replica.paused = true
	}
}

func (world *world) resumeAny() {
	if replica := world.anyReplicaWhere(func(replica *replica) bool { return replica.paused }); replica != nil {
		replica.paused = false
	}
}

func (world *world) blockLink() {
	from, to := world.anyReplica().id, world.anyReplica().id
	world.cuts[[2]journaler.ReplicaID{from, to}] = true
	if world.draw(1) == 0 {
		world.cuts[[2]journaler.ReplicaID{to, from}] = true
	}
}

// partition splits the replicas into two groups and blocks the links between
// them.
func (world *world) partition() {
	side := make(map[journaler.ReplicaID]int)
	for _, id := range world.order {
		side[id] = world.draw(1)
	}
	for _, from := range world.order {
		for _, to := range world.order {
			if side[from] != side[to] {
				world.cuts[[2]journaler.ReplicaID{from, to}] = true
			}
		}
	}
}

// delayMessage delays a message until releaseDelayed is called.
func (world *world) delayMessage() {
	if len(world.wire) == 0 {
		return
	}
	index := world.draw(len(world.wire) - 1)
	world.held = append(world.held, world.wire[index])
	world.wire = slices.Delete(world.wire, index, index+1)
}

func (world *world) releaseDelayed() {
	world.wire = append(world.wire, world.held...)
	world.held = nil
}

// crashAndRestart crashes a replica and restarts it at once.
func (world *world) crashAndRestart() {
	if replica := world.anyReplica(); !replica.lost {
		world.start(replica)
	}
}

func (world *world) healLinks() { clear(world.cuts) }

func (world *world) takeSnapshot() {
	replica := world.anyReplica()
	if !replica.up() || replica.applied <= replica.disk.base() {
		return
	}
	snapshot := &journaler.Snapshot{
		Index:   replica.applied,
		Term:    replica.core.EntryTerm(replica.applied),
		Chain:   replica.chain,
		Members: replica.core.MembersAt(replica.applied),
		Data:    snapshotData(replica.applied, replica.chain),
	}
	if replica.files != nil {
		if err := replica.files.journal.SaveSnapshot(snapshot); err != nil {
			world.t.Fatalf("%s: %+v", replica.id, err)
		}
	}
	replica.disk.entries = slices.Clone(replica.disk.entries[snapshot.Index-replica.disk.base():])
	replica.disk.snapshot = snapshot
	replica.core.Compact(snapshot)
}

// changeMembers has the leader add, promote or remove a replica.
func (world *world) changeMembers() {
	leader := world.leader()
	if leader == nil {
		return
	}
	members := slices.Clone(leader.core.Members())
	at := world.draw(len(members) - 1)
	switch {
	case world.draw(1) == 0 && len(members) < 6:
		members = append(members, journaler.Member{ID: world.addReplica(nil).id})
	case !members[at].Voter:
		members[at].Voter = true
	default:
		members = slices.Delete(members, at, at+1)
	}
	if !world.hasLiveQuorum(members) {
		return
	}
	index, _, err := leader.core.ProposeMembers(members)
	if err != nil {
		return
	}
	world.changes = append(world.changes, change{index: index, members: members})
	if world.draw(1) == 0 {
		world.processReady(leader, noCrash)
	}
}

func (world *world) hasLiveQuorum(members []journaler.Member) bool {
	voters, alive := 0, 0
	for _, member := range members {
		if member.Voter {
			voters++
			if !world.replicas[member.ID].lost {
				alive++
			}
		}
	}
	return voters > 0 && alive > voters/2
}

// loseDisk removes a replica permanently, unless this would leave without a
// quorum a membership that is in force or may still come into force from a log
// or a message.
func (world *world) loseDisk() {
	replica := world.anyReplica()
	wasLost := replica.lost
	replica.lost = true
	committed := uint64(0)
	for _, entry := range world.model {
		if entry.Kind == journaler.EntryMembers {
			committed = entry.Index
		}
	}
	for _, change := range world.changes {
		if change.index >= committed && !world.hasLiveQuorum(change.members) {
			replica.lost = wasLost
			return
		}
	}
}

func (world *world) transferLeadership() {
	if replica := world.anyReplica(); replica.up() {
		replica.core.Transfer()
		world.processReady(replica, noCrash)
	}
}

// maxRecoveryTicks is how many ticks a cell without faults may take until a leader
// commits: it allows for several elections, and for a snapshot sent one piece a
// heartbeat.
const maxRecoveryTicks = 400

// checkRecovers ends all faults and checks that a leader commits a proposal on
// all its members within maxRecoveryTicks.
func (world *world) checkRecovers() {
	clear(world.cuts)
	world.releaseDelayed()
	for _, id := range world.order {
		replica := world.replicas[id]
		replica.paused = false
		if replica.crashed && !replica.lost {
			world.start(replica)
		}
	}
	proposed, term := uint64(0), uint64(0)
	for range maxRecoveryTicks {
		world.tick(heartbeatInterval / 2)
		world.deliverRounds(3, func() bool { return false })
		leader := world.leader()
		if leader == nil || !leader.core.Settled() {
			continue
		}
		if term != leader.core.Term() {
			// During a leadership transfer Propose returns term 0, so that the
			// proposal is repeated.
			proposed, term, _ = leader.core.Propose(journaler.EntryCommand, []byte("last"))
			continue
		}
		if world.appliedByAll(leader, proposed) {
			return
		}
	}
	for _, id := range world.order {
		replica := world.replicas[id]
		world.t.Logf("%s lost=%v role=%v term=%d commit=%d last=%d members=%v", id, replica.lost, replica.core.Role(), replica.core.Term(), replica.core.CommitIndex(), replica.core.LastIndex(), replica.core.Members())
	}
	world.t.Fatalf("no proposal was committed on all members within %d ticks", maxRecoveryTicks)
}

func (world *world) appliedByAll(leader *replica, index uint64) bool {
	for _, member := range leader.core.Members() {
		if replica := world.replicas[member.ID]; !replica.lost && replica.applied < index {
			return false
		}
	}
	return leader.core.Role() == replicator.Leader
}
