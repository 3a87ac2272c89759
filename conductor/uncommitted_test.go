package conductor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/conductor"
)

// TestADeploymentIsNotRefusedForOneThatIsNeverCommitted sends two deployments with one
// version, the second while the first is in flight, which fails.
func TestADeploymentIsNotRefusedForOneThatIsNeverCommitted(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(t, nil)
	answers := fleet.deployTwice(t)
	fleet.decideCommits(true)
	c.Check((<-answers).Code, qt.Equals, coder.Unknown)
	c.Check((<-answers).Code, qt.Equals, coder.Unknown)
	c.Check(<-fleet.runEnded, qt.ErrorIs, conductor.ErrNotCommitted)
}

// TestADeploymentIsRefusedForOneThatIsCommitted is the same with a first one that is
// committed.
func TestADeploymentIsRefusedForOneThatIsCommitted(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(t, nil)
	answers := fleet.deployTwice(t)
	fleet.decideCommits(false)
	conflicts := 0
	for range 2 {
		if refusal := <-answers; refusal != nil {
			c.Check(refusal.Code, qt.Equals, coder.RevisionConflict)
			conflicts++
		}
	}
	c.Check(conflicts, qt.Equals, 1)
}

// deployTwice sends version 2 twice with different content, the second time while the
// first one is not committed, and returns the channel of the answers.
func (fleet *fleet) deployTwice(t *testing.T) <-chan *coder.Refusal {
	fleet.mutex.Lock()
	fleet.commitGate = make(chan struct{})
	fleet.mutex.Unlock()
	answers := make(chan *coder.Refusal, 2)
	deploy := func(digest byte) {
		next := deployment()
		next.Version, next.Digest = 2, [32]byte{digest}
		answers <- fleet.conductor.Deploy(t.Context(), next)
	}
	go deploy(1)
	fleet.await("the first proposal", func() bool { return fleet.lastBatch != nil })
	go deploy(2)
	select {
	case refusal := <-answers:
		fleet.c.Errorf("answered before the commit: %v", refusal)
		answers <- refusal
	case <-time.After(200 * time.Millisecond):
	}
	return answers
}

// decideCommits lets the batches that wait for commitGate fail or succeed.
func (fleet *fleet) decideCommits(fail bool) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.failCommits = fail
	close(fleet.commitGate)
	fleet.commitGate = nil
}
