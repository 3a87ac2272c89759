package replicator

import (
	"slices"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/encoder"
	"github.com/dotterelrill/dotterelrill/journaler"
)

// memberLog holds the memberships in the log, oldest first. As Raft's protocol
// for changes of a single server requires, the newest is in force as soon as its
// entry is appended, whether or not it is committed.
type memberLog []memberRecord

// memberRecord is a membership and the index of its entry.
type memberRecord struct {
	index   uint64
	members []journaler.Member
}

func newMemberLog(log *entryLog, initial []journaler.Member) (memberLog, error) {
	records := memberLog{{index: log.base(), members: log.snapshot.Members}}
	if log.base() == 0 && len(initial) > 0 {
		records[0].members = initial
	}
	for at := range log.entries {
		if err := records.add(&log.entries[at]); err != nil {
			return nil, err
		}
	}
	return records, nil
}

// add records an appended entry if it is a membership.
func (records *memberLog) add(entry *journaler.Entry) error {
	if entry.Kind != journaler.EntryMembers {
		return nil
	}
	var members []journaler.Member
	if err := encoder.Unmarshal(entry.Data, &members); err != nil {
		return eris.Wrapf(err, "membership at index %d", entry.Index)
	}
	*records = append(*records, memberRecord{index: entry.Index, members: members})
	return nil
}

// truncate removes the memberships from the index on, whose entries were
// replaced.
func (records *memberLog) truncate(from uint64) {
	for len(*records) > 1 && (*records)[len(*records)-1].index >= from {
		*records = (*records)[:len(*records)-1]
	}
}

// compact removes the memberships that were superseded at or before the index.
func (records *memberLog) compact(index uint64) {
	for len(*records) > 1 && (*records)[1].index <= index {
		*records = (*records)[1:]
	}
}

func (records memberLog) newest() memberRecord { return records[len(records)-1] }

// at returns the membership in force at the index.
func (records memberLog) at(index uint64) []journaler.Member {
	members := records[0].members
	for _, record := range records {
		if record.index <= index {
			members = record.members
		}
	}
	return members
}

// indexOfMember returns the position of the replica in members, or -1.
func indexOfMember(members []journaler.Member, id journaler.ReplicaID) int {
	return slices.IndexFunc(members, func(member journaler.Member) bool { return member.ID == id })
}

func isVoter(members []journaler.Member, id journaler.ReplicaID) bool {
	at := indexOfMember(members, id)
	return at >= 0 && members[at].Voter
}

func countVoters(members []journaler.Member) int {
	count := 0
	for _, member := range members {
		if member.Voter {
			count++
		}
	}
	return count
}

func sameMembers(left, right []journaler.Member) bool {
	return slices.Equal(left, right)
}

func sortMembers(members []journaler.Member) []journaler.Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(left, right journaler.Member) int {
		switch {
		case left.ID < right.ID:
			return -1
		case left.ID > right.ID:
			return 1
		}
		return 0
	})
	return sorted
}
