package replicator

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/journaler"
)

// runApply applies committed entries to the state machine, which it owns, and
// takes snapshots of its state. It applies further entries while a snapshot is being
// saved, which may take long.
func (node *Node) runApply(ctx context.Context) (failure error) {
	saver := &snapshotSaver{node: node, newest: node.applied.Load(), saved: make(chan error, 1)}
	defer func() { failure = errors.Join(failure, saver.wait()) }()
	var last applyRequest
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-saver.saved:
			saver.saving = false
			if err != nil {
				return err
			}
		case request := <-node.applyRequests:
			if request.offer {
				if err := node.offerSnapshot(&last); err != nil {
					return err
				}
				continue
			}
			last = request
			if err := node.applyRequest(&request, saver); err != nil {
				return err
			}
		}
	}
}

// applyRequest restores a snapshot, or applies entries and begins to save a snapshot if one
// is due.
func (node *Node) applyRequest(request *applyRequest, saver *snapshotSaver) error {
	if request.install != nil {
		saver.newest = request.install.Index
		return node.restore(request.install)
	}
	node.applyEntries(request.entries)
	if saver.saving || node.applied.Load() < saver.newest+node.config.SnapshotEvery {
		return nil
	}
	snapshot, err := node.takeSnapshot(request)
	if err == nil {
		saver.save(snapshot)
	}
	return err
}

// snapshotSaver saves one snapshot at a time.
type snapshotSaver struct {
	node *Node
	// newest is the index of the newest snapshot.
	newest uint64
	saving bool
	// saved receives the result of each save.
	saved chan error
}

func (snapshotSaver *snapshotSaver) save(snapshot *journaler.Snapshot) {
	snapshotSaver.saving, snapshotSaver.newest = true, snapshot.Index
	go func() { snapshotSaver.saved <- snapshotSaver.node.saveSnapshot(snapshot) }()
}

// wait waits for the save in progress, if there is one, and returns its error.
func (snapshotSaver *snapshotSaver) wait() error {
	if !snapshotSaver.saving {
		return nil
	}
	return <-snapshotSaver.saved
}

func (node *Node) restore(snapshot *journaler.Snapshot) error {
	if err := node.config.StateMachine.Restore(snapshot); err != nil {
		return eris.Wrapf(err, "restore the snapshot at index %d", snapshot.Index)
	}
	node.applied.Store(snapshot.Index)
	node.failCoveredProposals(snapshot.Index)
	return nil
}

// failCoveredProposals fails the proposals at indexes that an installed snapshot
// covers with ErrUndecided: whether the snapshot includes them is unknown.
func (node *Node) failCoveredProposals(snapshotIndex uint64) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	for index, proposal := range node.pending {
		if index <= snapshotIndex {
			proposal.reply <- proposalReply{err: ErrUndecided}
			delete(node.pending, index)
		}
	}
}

func (node *Node) applyEntries(entries []journaler.Entry) {
	for at := range entries {
		entry := &entries[at]
		result := node.config.StateMachine.Apply(entry)
		node.applied.Store(entry.Index)
		node.replyToProposal(entry, result)
	}
}

func (node *Node) replyToProposal(entry *journaler.Entry, result any) {
	node.mutex.Lock()
	proposal := node.pending[entry.Index]
	delete(node.pending, entry.Index)
	node.mutex.Unlock()
	if proposal == nil {
		return
	}
	if proposal.term != entry.Term {
		proposal.reply <- proposalReply{err: ErrReplaced}
		return
	}
	proposal.reply <- proposalReply{index: entry.Index, result: result}
}

// takeSnapshot returns a snapshot of the state machine after the last applied entries.
func (node *Node) takeSnapshot(applied *applyRequest) (*journaler.Snapshot, error) {
	data, err := node.config.StateMachine.Snapshot()
	if err != nil {
		return nil, eris.Wrap(err, "take a snapshot")
	}
	last := &applied.entries[len(applied.entries)-1]
	return &journaler.Snapshot{
		Index:   last.Index,
		Term:    last.Term,
		Chain:   last.Chain,
		Members: memberLog(applied.members).at(last.Index),
		Data:    data,
	}, nil
}

func (node *Node) saveSnapshot(snapshot *journaler.Snapshot) error {
	if err := node.config.Journal.SaveSnapshot(snapshot); err != nil {
		return err
	}
	node.savedSnapshot.Store(snapshot)
	return nil
}

// offerSnapshot passes a snapshot to the Core, unless nothing was applied since the start
// or since a snapshot was restored.
func (node *Node) offerSnapshot(applied *applyRequest) error {
	if len(applied.entries) == 0 {
		return nil
	}
	snapshot, err := node.takeSnapshot(applied)
	if err == nil {
		node.offeredSnapshot.Store(snapshot)
	}
	return err
}
