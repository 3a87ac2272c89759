package cellrunner_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/internal/cellrunner"
	"github.com/dotterelrill/dotterelrill/journaler"
)

// nextMembers is NextMembers of a cell for which it is not known how many losses it has to
// bear. It panics if a cell that has to bear as many as its voters can takes another step:
// the tests of this file hold for both.
func nextMembers(members []journaler.Member, caughtUp, silent func(journaler.ReplicaID) bool) []journaler.Member {
	voters := 0
	for _, member := range members {
		if member.Voter {
			voters++
		}
	}
	next := cellrunner.NextMembers(members, caughtUp, silent, 0)
	if other := cellrunner.NextMembers(members, caughtUp, silent, (voters-1)/2); !slices.Equal(next, other) {
		panic(fmt.Sprintf("next members are %+v, and %+v with %d losses to bear", next, other, (voters-1)/2))
	}
	return next
}

// settleMembership applies membership changes until none is due, and returns the
// number of members and of voters.
func settleMembership(c *qt.C, members []journaler.Member) (int, int) {
	caughtUp := func(journaler.ReplicaID) bool { return true }
	silent := func(journaler.ReplicaID) bool { return false }
	for range 20 {
		next := nextMembers(members, caughtUp, silent)
		if next == nil {
			voters := 0
			for _, member := range members {
				if member.Voter {
					voters++
				}
			}
			return len(members), voters
		}
		members = next
	}
	c.Fatal("the membership still changes after 20 changes")
	return 0, 0
}

func makeMembers(voters, learners int) []journaler.Member {
	var members []journaler.Member
	for index := range voters + learners {
		members = append(members, journaler.Member{ID: journaler.ReplicaID(fmt.Sprint(index)), Address: fmt.Sprint("a", index), Voter: index < voters})
	}
	return members
}

// TestTheNumberOfVotersIsOdd checks that one of an even number of replicas
// stays a learner. If the replicas are split in two, one side then has a
// quorum, and the cell tolerates as many losses as with all of them voting.
func TestTheNumberOfVotersIsOdd(t *testing.T) {
	c := qt.New(t)
	for replicas, want := range map[int]int{1: 1, 2: 1, 3: 3, 4: 3, 5: 5, 6: 5, 7: 7} {
		count, voters := settleMembership(c, makeMembers(1, replicas-1))
		c.Check(count, qt.Equals, replicas)
		c.Check(voters, qt.Equals, want, qt.Commentf("%d replicas", replicas))
	}
}

// TestALostReplicasVoteGoesToItsReplacement replaces a voter by a new replica
// with an empty disk at the same address, with and without a further learner in
// the cell.
func TestALostReplicasVoteGoesToItsReplacement(t *testing.T) {
	c := qt.New(t)
	for _, spare := range []int{0, 1} {
		members := append(makeMembers(3, spare), journaler.Member{ID: "new", Address: "a2"})
		count, voters := settleMembership(c, members)
		c.Check(count, qt.Equals, 3+spare)
		c.Check(voters, qt.Equals, 3)
	}
}

// TestASilentVotersVoteGoesToALearner has a voter that is gone for good, and its
// successor at another address. Without the vote, a cell of five that may lose two
// replicas at once would lose its quorum with the next two.
func TestASilentVotersVoteGoesToALearner(t *testing.T) {
	c := qt.New(t)
	for voters := 3; voters <= 7; voters += 2 {
		members := append(makeMembers(voters, 0), journaler.Member{ID: "successor", Address: "elsewhere"})
		alive := func(id journaler.ReplicaID) bool { return id != "1" }
		gone := func(id journaler.ReplicaID) bool { return id == "1" }
		changes := 0
		for next := nextMembers(members, alive, gone); next != nil; next = nextMembers(members, alive, gone) {
			members = next
			changes++
			c.Assert(changes <= 2, qt.IsTrue)
		}
		count := 0
		for _, member := range members {
			if member.Voter {
				count++
			}
			c.Check(member.Voter, qt.Equals, member.ID != "1", qt.Commentf("%s of %d", member.ID, voters))
		}
		c.Check(count, qt.Equals, voters)
		c.Check(nextMembers(members, func(journaler.ReplicaID) bool { return true }, func(journaler.ReplicaID) bool { return false }), qt.IsNil,
			qt.Commentf("a voter that returns stays a learner"))
	}
}

// TestAReplicaWithANewDiskCountsOnce has a new replica with an empty disk at the address
// of a voter, which has not caught up, and a spare learner that has. A cell of six that
// may lose two disks would otherwise lose its quorum with the next two.
func TestAReplicaWithANewDiskCountsOnce(t *testing.T) {
	c := qt.New(t)
	heard := func(journaler.ReplicaID) bool { return false }
	for voters := 3; voters <= 7; voters += 2 {
		members := append(makeMembers(voters, 1), journaler.Member{ID: "new", Address: "a1"})
		caughtUp := func(id journaler.ReplicaID) bool { return id != "1" && id != "new" && id != "0" }
		for next := members; next != nil; next = nextMembers(next, caughtUp, heard) {
			members = next
		}
		var got []journaler.ReplicaID
		for _, member := range members {
			if member.Voter {
				got = append(got, member.ID)
			}
		}
		c.Check(got, qt.HasLen, voters, qt.Commentf("voters %v", got))
		c.Check(slices.Contains(got, "1"), qt.IsFalse, qt.Commentf("the disk of replica 1 is lost, but it votes: %v", got))
	}
}

// TestAVoteOnItsWayToALearnerCostsNoLoss checks each membership on the way: a cell whose
// leader is lost between two changes needs the silent voter's return, and no more.
func TestAVoteOnItsWayToALearnerCostsNoLoss(t *testing.T) {
	c := qt.New(t)
	tolerated := func(members []journaler.Member) int {
		voters := 0
		for _, member := range members {
			if member.Voter {
				voters++
			}
		}
		return (voters - 1) / 2
	}
	gone := func(id journaler.ReplicaID) bool { return id == "1" }
	alive := func(id journaler.ReplicaID) bool { return id != "1" && id != "0" }
	for voters := 3; voters <= 7; voters += 2 {
		members := makeMembers(voters, 1)
		want := tolerated(members)
		for next := members; next != nil; next = nextMembers(next, alive, gone) {
			c.Check(tolerated(next), qt.Equals, want, qt.Commentf("%+v", next))
		}
	}
}

// TestAVoterThatReturnsBetweenTheChangesLeavesAnOddNumber has a silent voter return after
// a learner got a vote, and before it lost its own.
func TestAVoterThatReturnsBetweenTheChangesLeavesAnOddNumber(t *testing.T) {
	c := qt.New(t)
	none := func(journaler.ReplicaID) bool { return false }
	allButTheLeader := func(id journaler.ReplicaID) bool { return id != "0" }
	for _, voters := range []int{4, 6} {
		next := nextMembers(makeMembers(voters, 0), allButTheLeader, none)
		c.Assert(next, qt.HasLen, voters)
		c.Check(next[0].Voter, qt.IsTrue, qt.Commentf("the leader keeps its vote"))
		c.Check(nextMembers(next, allButTheLeader, none), qt.IsNil)
	}
	c.Check(nextMembers(makeMembers(2, 0), allButTheLeader, none), qt.IsNil, qt.Commentf("entries would be on one disk"))
}

// TestASilentVoterKeepsItsVoteWithoutALearner checks that a voter that is only silent
// for a while is not dropped if nobody can take its place.
func TestASilentVoterKeepsItsVoteWithoutALearner(t *testing.T) {
	c := qt.New(t)
	gone := func(id journaler.ReplicaID) bool { return id == "1" }
	alive := func(id journaler.ReplicaID) bool { return id == "0" }
	c.Check(nextMembers(makeMembers(3, 0), alive, gone), qt.IsNil)
	c.Check(nextMembers(makeMembers(3, 1), alive, gone), qt.IsNil, qt.Commentf("the learner has not caught up"))
}

// TestReplacementsAtOtherAddressesLeaveNoLostVote replaces one replica after another by a
// new one at another address. A cell of five that may lose two replicas would otherwise
// lose its quorum with the next two.
func TestReplacementsAtOtherAddressesLeaveNoLostVote(t *testing.T) {
	c := qt.New(t)
	for replicas := 3; replicas <= 7; replicas++ {
		_, voters := settleMembership(c, makeMembers(1, replicas-1))
		members := makeMembers(voters, replicas-voters)
		gone := make(map[journaler.ReplicaID]bool)
		silent := func(id journaler.ReplicaID) bool { return gone[id] }
		caughtUp := func(id journaler.ReplicaID) bool { return !gone[id] && id != "0" }
		for replacement := range 4 {
			lost := slices.IndexFunc(members, func(member journaler.Member) bool { return member.Voter && caughtUp(member.ID) })
			gone[members[lost].ID] = true
			successor := fmt.Sprint("successor", replacement)
			members = append(members, journaler.Member{ID: journaler.ReplicaID(successor), Address: successor})
			changes := 0
			for next := nextMembers(members, caughtUp, silent); next != nil; next = nextMembers(members, caughtUp, silent) {
				members = next
				changes++
				c.Assert(changes <= 4, qt.IsTrue, qt.Commentf("%+v", members))
			}
			var got []journaler.ReplicaID
			for _, member := range members {
				if member.Voter {
					got = append(got, member.ID)
				}
			}
			c.Check(got, qt.HasLen, voters, qt.Commentf("%d of %d replaced: voters %v", replacement+1, replicas, got))
			c.Check(slices.ContainsFunc(got, silent), qt.IsFalse, qt.Commentf("%d of %d replaced: voters %v", replacement+1, replicas, got))
		}
	}
}

// TestASilentVoterKeepsItsVoteBesideALostDisk has a silent voter, and one whose disk is
// lost: the single learner that has caught up gets the vote of the latter.
func TestASilentVoterKeepsItsVoteBesideALostDisk(t *testing.T) {
	c := qt.New(t)
	silent := func(id journaler.ReplicaID) bool { return id == "1" }
	for _, successorCaughtUp := range []bool{false, true} {
		caughtUp := func(id journaler.ReplicaID) bool {
			return id == "2" || id == "4" || id == "new" && successorCaughtUp || id == "spare" && !successorCaughtUp
		}
		members := append(makeMembers(5, 0), journaler.Member{ID: "spare", Address: "spare"}, journaler.Member{ID: "new", Address: "a3"})
		for next := members; next != nil; next = nextMembers(next, caughtUp, silent) {
			members = next
		}
		var got []journaler.ReplicaID
		for _, member := range members {
			if member.Voter {
				got = append(got, member.ID)
			}
		}
		want := []journaler.ReplicaID{"0", "1", "2", "4", "spare"}
		if successorCaughtUp {
			want[4] = "new"
		}
		c.Check(got, qt.DeepEquals, want)
	}
}
