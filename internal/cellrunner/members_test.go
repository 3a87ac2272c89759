package cellrunner_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/internal/cellrunner"
	"github.com/dotterelrill/dotterelrill/journaler"
)

// settle lets the membership change until it does not any more, and returns how
// many members and voters there are.
func settle(c *qt.C, members []journaler.Member) (int, int) {
	caughtUp := func(journaler.ReplicaID) bool { return true }
	for range 20 {
		next := cellrunner.NextMembers(members, caughtUp)
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
	c.Fatal("the membership does not settle")
	return 0, 0
}

func some(voters, learners int) []journaler.Member {
	var members []journaler.Member
	for at := range voters + learners {
		members = append(members, journaler.Member{ID: journaler.ReplicaID(fmt.Sprint(at)), Address: fmt.Sprint("a", at), Voter: at < voters})
	}
	return members
}

// TestTheNumberOfVotersIsOdd expects a majority in one half when the replicas are
// cut in halves, and no fewer losses borne than with all of them voting.
func TestTheNumberOfVotersIsOdd(t *testing.T) {
	c := qt.New(t)
	for replicas, want := range map[int]int{1: 1, 2: 1, 3: 3, 4: 3, 5: 5, 6: 5, 7: 7} {
		count, voters := settle(c, some(1, replicas-1))
		c.Check(count, qt.Equals, replicas)
		c.Check(voters, qt.Equals, want, qt.Commentf("%d replicas", replicas))
	}
}

// TestALostReplicasVoteIsGivenOn has a voter come back with an empty disk, at
// its old address and beside a learner.
func TestALostReplicasVoteIsGivenOn(t *testing.T) {
	c := qt.New(t)
	for _, spare := range []int{0, 1} {
		members := append(some(3, spare), journaler.Member{ID: "new", Address: "a2"})
		count, voters := settle(c, members)
		c.Check(count, qt.Equals, 3+spare)
		c.Check(voters, qt.Equals, 3)
	}
}
