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
	rapid.Check(t, func(t *rapid.T) { runFaults(newSimulation(t, 3)) })
}

func TestFiveReplicasAgreeUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runFaults(newSimulation(t, 5)) })
}

func TestOneReplicaGrowsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runFaults(newSimulation(t, 1)) })
}

// maxFaultSteps is the maximum number of actions in a run.
const maxFaultSteps = 400

func runFaults(simulation *simulation) {
	actions := []struct {
		weight int
		run    func()
	}{
		{30, simulation.runCell},
		{10, simulation.advanceClock},
		{10, simulation.deliverInOrder},
		{20, simulation.deliverOutOfOrder},
		{14, simulation.propose},
		{2, simulation.crash},
		{3, simulation.crashDuringSave},
		{8, simulation.restartAny},
		{2, simulation.pause},
		{4, simulation.resumeAny},
		{2, simulation.blockLink},
		{2, simulation.partition},
		{6, simulation.healLinks},
		{3, simulation.crashAndRestart},
		{6, simulation.delayMessage},
		{4, simulation.releaseDelayed},
		{5, simulation.takeSnapshot},
		{5, simulation.changeMembers},
		{1, simulation.loseDisk},
		{2, simulation.transferLeadership},
	}
	var weighted []func()
	for _, action := range actions {
		for range action.weight {
			weighted = append(weighted, action.run)
		}
	}
	for simulation.leader() == nil {
		simulation.tick(heartbeatInterval)
		simulation.deliverRounds(3, func() bool { return false })
	}
	for range simulation.draw(maxFaultSteps) {
		weighted[simulation.draw(len(weighted)-1)]()
		simulation.checkLeases()
	}
	simulation.checkRecovers()
}

// draw returns a number from 0 to the limit. All numbers of a run come from one
// seed rather than from rapid's generators, which prefer small numbers and so
// hardly ever produce long faults.
func (simulation *simulation) draw(limit int) int { return simulation.random.IntN(limit + 1) }

func (simulation *simulation) anyReplica() *replica {
	return simulation.replicas[simulation.ids[simulation.draw(len(simulation.ids)-1)]]
}

func (simulation *simulation) anyReplicaWhere(matches func(*replica) bool) *replica {
	var found []*replica
	for _, id := range simulation.ids {
		if matches(simulation.replicas[id]) {
			found = append(found, simulation.replicas[id])
		}
	}
	if len(found) == 0 {
		return nil
	}
	return found[simulation.draw(len(found)-1)]
}

// runCell lets the cell run for a while under the current faults.
func (simulation *simulation) runCell() {
	for range simulation.draw(10) {
		simulation.tick(heartbeatInterval / 2)
		simulation.deliverRounds(2, func() bool { return false })
	}
}

func (simulation *simulation) advanceClock() {
	simulation.tick(time.Duration(simulation.draw(8)+1) * heartbeatInterval / 2)
}

func (simulation *simulation) deliverInOrder() {
	loss := simulation.draw(4)
	simulation.deliverRounds(simulation.draw(3)+1, func() bool { return loss > 2 && simulation.draw(3) == 0 })
}

// deliverOutOfOrder delivers some messages in random order, and duplicates a few.
func (simulation *simulation) deliverOutOfOrder() {
	for range simulation.draw(6) {
		if len(simulation.inFlight) == 0 {
			return
		}
		index := simulation.draw(len(simulation.inFlight) - 1)
		receiver := simulation.replicas[simulation.inFlight[index].To]
		simulation.deliver(index, simulation.draw(5) == 0)
		if receiver != nil && receiver.up() && simulation.draw(1) == 0 {
			simulation.processReady(receiver, crashPoint(max(0, simulation.draw(11)-9)))
		}
	}
}

func (simulation *simulation) propose() {
	replica := simulation.anyReplica()
	if leader := simulation.leader(); leader != nil && simulation.draw(3) > 0 {
		replica = leader
	}
	if !replica.up() {
		return
	}
	for range simulation.draw(3) + 1 {
		simulation.lastValue++
		replica.core.Propose(journaler.EntryCommand, binary.BigEndian.AppendUint64(nil, simulation.lastValue))
	}
	if simulation.draw(1) == 0 {
		simulation.processReady(replica, noCrash)
	}
}

func (simulation *simulation) crash() {
	if replica := simulation.anyReplica(); !replica.diskLost {
		replica.crashed = true
	}
}

// crashDuringSave crashes a replica between TakeReady and MarkSaved, before or
// after its state is saved.
func (simulation *simulation) crashDuringSave() {
	replica := simulation.anyReplica()
	if !replica.up() {
		return
	}
	replica.core.Tick(replica.clock(simulation.now))
	simulation.lastValue++
	replica.core.Propose(journaler.EntryCommand, binary.BigEndian.AppendUint64(nil, simulation.lastValue))
	simulation.processReady(replica, crashPoint(1+simulation.draw(1)))
}

func (simulation *simulation) restartAny() {
	if replica := simulation.anyReplicaWhere(func(replica *replica) bool { return replica.crashed && !replica.diskLost }); replica != nil {
		simulation.start(replica)
	}
}

func (simulation *simulation) pause() {
	if replica := simulation.anyReplica(); replica.up() {
		replica.paused = true
	}
}

func (simulation *simulation) resumeAny() {
	if replica := simulation.anyReplicaWhere(func(replica *replica) bool { return replica.paused }); replica != nil {
		replica.paused = false
	}
}

func (simulation *simulation) blockLink() {
	from, to := simulation.anyReplica().id, simulation.anyReplica().id
	simulation.blockedLinks[[2]journaler.ReplicaID{from, to}] = true
	if simulation.draw(1) == 0 {
		simulation.blockedLinks[[2]journaler.ReplicaID{to, from}] = true
	}
}

// partition splits the replicas into two groups and blocks the links between
// them.
func (simulation *simulation) partition() {
	side := make(map[journaler.ReplicaID]int)
	for _, id := range simulation.ids {
		side[id] = simulation.draw(1)
	}
	for _, from := range simulation.ids {
		for _, to := range simulation.ids {
			if side[from] != side[to] {
				simulation.blockedLinks[[2]journaler.ReplicaID{from, to}] = true
			}
		}
	}
}

// delayMessage delays a message until releaseDelayed is called.
func (simulation *simulation) delayMessage() {
	if len(simulation.inFlight) == 0 {
		return
	}
	index := simulation.draw(len(simulation.inFlight) - 1)
	simulation.delayed = append(simulation.delayed, simulation.inFlight[index])
	simulation.inFlight = slices.Delete(simulation.inFlight, index, index+1)
}

func (simulation *simulation) releaseDelayed() {
	simulation.inFlight = append(simulation.inFlight, simulation.delayed...)
	simulation.delayed = nil
}

// crashAndRestart crashes a replica and restarts it at once.
func (simulation *simulation) crashAndRestart() {
	if replica := simulation.anyReplica(); !replica.diskLost {
		simulation.start(replica)
	}
}

func (simulation *simulation) healLinks() { clear(simulation.blockedLinks) }

func (simulation *simulation) takeSnapshot() {
	replica := simulation.anyReplica()
	if !replica.up() || replica.applied <= replica.disk.base() {
		return
	}
	snapshot := simulation.snapshotOf(replica)
	if replica.journalFiles != nil {
		if err := replica.journalFiles.journal.SaveSnapshot(snapshot); err != nil {
			simulation.t.Fatalf("%s: %+v", replica.id, err)
		}
	}
	replica.disk.entries = slices.Clone(replica.disk.entries[snapshot.Index-replica.disk.base():])
	replica.disk.snapshot = snapshot
	replica.core.Compact(snapshot)
}

func (simulation *simulation) snapshotOf(replica *replica) *journaler.Snapshot {
	return &journaler.Snapshot{
		Index:   replica.applied,
		Term:    replica.core.EntryTerm(replica.applied),
		Chain:   replica.chain,
		Members: replica.core.MembersAt(replica.applied),
		Data:    snapshotData(replica.applied, replica.chain),
	}
}

// changeMembers has the leader add, promote or remove a replica.
func (simulation *simulation) changeMembers() {
	leader := simulation.leader()
	if leader == nil {
		return
	}
	members := slices.Clone(leader.core.Members())
	at := simulation.draw(len(members) - 1)
	switch {
	case simulation.draw(1) == 0 && len(members) < 6:
		members = append(members, journaler.Member{ID: simulation.addReplica(nil).id})
	case !members[at].Voter:
		members[at].Voter = true
	default:
		members = slices.Delete(members, at, at+1)
	}
	if !simulation.hasLiveQuorum(members) {
		return
	}
	index, _, err := leader.core.ProposeMembers(members)
	if err != nil {
		return
	}
	simulation.proposals = append(simulation.proposals, proposedMembership{index: index, members: members})
	if simulation.draw(1) == 0 {
		simulation.processReady(leader, noCrash)
	}
}

func (simulation *simulation) hasLiveQuorum(members []journaler.Member) bool {
	voters, alive := 0, 0
	for _, member := range members {
		if member.Voter {
			voters++
			if !simulation.replicas[member.ID].diskLost {
				alive++
			}
		}
	}
	return voters > 0 && alive > voters/2
}

// loseDisk removes a replica permanently, unless this would leave without a
// quorum a membership that is in force or may still come into force from a log
// or a message.
func (simulation *simulation) loseDisk() {
	replica := simulation.anyReplica()
	wasLost := replica.diskLost
	replica.diskLost = true
	committed := uint64(0)
	for _, entry := range simulation.model {
		if entry.Kind == journaler.EntryMembers {
			committed = entry.Index
		}
	}
	for _, proposal := range simulation.proposals {
		if proposal.index >= committed && !simulation.hasLiveQuorum(proposal.members) {
			replica.diskLost = wasLost
			return
		}
	}
}

func (simulation *simulation) transferLeadership() {
	if replica := simulation.anyReplica(); replica.up() {
		replica.core.Transfer()
		simulation.processReady(replica, noCrash)
	}
}

// maxRecoveryTicks is how many ticks a cell without faults may take until a leader
// commits: it allows for several elections, and for a snapshot sent one piece a
// heartbeat.
const maxRecoveryTicks = 400

// checkRecovers ends all faults and checks that a leader commits a proposal on
// all its members within maxRecoveryTicks.
func (simulation *simulation) checkRecovers() {
	clear(simulation.blockedLinks)
	simulation.releaseDelayed()
	for _, id := range simulation.ids {
		replica := simulation.replicas[id]
		replica.paused = false
		if replica.crashed && !replica.diskLost {
			simulation.start(replica)
		}
	}
	proposed, term := uint64(0), uint64(0)
	for range maxRecoveryTicks {
		simulation.tick(heartbeatInterval / 2)
		simulation.deliverRounds(3, func() bool { return false })
		leader := simulation.leader()
		if leader == nil || !leader.core.Settled() {
			continue
		}
		if term != leader.core.Term() {
			// During a leadership transfer Propose returns term 0, so that the
			// proposal is repeated.
			proposed, term, _ = leader.core.Propose(journaler.EntryCommand, []byte("last"))
			continue
		}
		if simulation.appliedByAll(leader, proposed) {
			return
		}
	}
	for _, id := range simulation.ids {
		replica := simulation.replicas[id]
		simulation.t.Logf("%s lost=%v role=%v term=%d commit=%d last=%d members=%v", id, replica.diskLost, replica.core.Role(), replica.core.Term(), replica.core.CommitIndex(), replica.core.LastIndex(), replica.core.Members())
	}
	simulation.t.Fatalf("no proposal was committed on all members within %d ticks", maxRecoveryTicks)
}

func (simulation *simulation) appliedByAll(leader *replica, index uint64) bool {
	for _, member := range leader.core.Members() {
		if replica := simulation.replicas[member.ID]; !replica.diskLost && replica.applied < index {
			return false
		}
	}
	return leader.core.Role() == replicator.Leader
}
