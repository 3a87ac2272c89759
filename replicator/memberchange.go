package replicator

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/encoder"
	"github.com/dotterelrill/dotterelrill/journaler"
)

// ErrMemberChange is returned while no membership change can be proposed.
var ErrMemberChange = eris.New("another membership change is in progress, or the leader is not settled")

// ProposeMembers appends a membership that differs from the one in force in a
// single replica. It returns the entry's index and term. It fails with
// ErrMemberChange unless the replica is a settled leader and the previous change
// is committed.
func (core *Core) ProposeMembers(members []journaler.Member) (uint64, uint64, error) {
	if !core.Settled() || core.transferee != "" || core.members.newest().index > core.hardState.Commit {
		return 0, 0, ErrMemberChange
	}
	members = sortMembers(members)
	if err := checkMemberChange(core.Members(), members); err != nil {
		return 0, 0, err
	}
	data, err := encoder.Marshal(members)
	if err != nil {
		return 0, 0, err
	}
	entry := core.appendOwn(journaler.EntryMembers, data)
	return entry.Index, entry.Term, nil
}

// checkMemberChange returns an error unless exactly one replica is added,
// removed or changed, and a voter remains.
func checkMemberChange(old, next []journaler.Member) error {
	differences := 0
	for at, member := range next {
		if indexOfMember(next, member.ID) != at {
			return eris.Errorf("replica %s is listed twice", member.ID)
		}
		if at := indexOfMember(old, member.ID); at < 0 || old[at] != member {
			differences++
		}
	}
	for _, member := range old {
		if indexOfMember(next, member.ID) < 0 {
			differences++
		}
	}
	if differences != 1 {
		return eris.Errorf("a membership change must differ in one replica, not %d", differences)
	}
	if countVoters(next) == 0 {
		return eris.New("a membership must have at least one voter")
	}
	return nil
}

// maxCaughtUpLagEntries is how many entries a replica may lag behind when it
// becomes a voter. It must also have replied recently, since an unresponsive
// voter doesn't help to form a quorum.
const maxCaughtUpLagEntries = 64

func (core *Core) caughtUp(id journaler.ReplicaID) bool {
	peer := core.peers[id]
	return core.role == Leader && peer != nil && core.now < peer.ackedStamp+core.config.ElectionTimeout &&
		peer.match > 0 && peer.match+maxCaughtUpLagEntries >= core.log.last()
}

// silentTimeout is how long a replica has not replied when it counts as silent. It is
// longer than an election and a process's restart take.
const silentTimeout = 2500 * time.Millisecond

// silent reports whether this replica leads and has had no reply from the other one for
// silentTimeout.
func (core *Core) silent(id journaler.ReplicaID) bool {
	peer := core.peers[id]
	return core.role == Leader && peer != nil && core.now >= peer.ackedStamp+silentTimeout
}

// stepDownIfRemoved makes a leader whose removal is committed a follower, after
// replicating what its followers lack.
func (core *Core) stepDownIfRemoved() {
	newest := core.members.newest()
	if newest.index <= core.hardState.Commit && !isVoter(newest.members, core.config.ID) {
		core.replicate()
		core.becomeFollower(core.hardState.Term, "")
	}
}
