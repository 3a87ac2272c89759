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
	lastSnapshot := node.applied.Load()
	// saved receives the result of the snapshot that is being saved; nil means none is.
	var saved chan error
	defer func() { failure = errors.Join(failure, awaitSaved(saved)) }()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-saved:
			saved = nil
			if err != nil {
				return err
			}
		case request := <-node.applyRequests:
			if request.install != nil {
				if err := node.restore(request.install); err != nil {
					return err
				}
				lastSnapshot = request.install.Index
				continue
			}
			node.applyEntries(request.entries)
			last := &request.entries[len(request.entries)-1]
			if saved != nil || last.Index < lastSnapshot+node.config.SnapshotEvery {
				continue
			}
			snapshot, err := node.takeSnapshot(last, request.members)
			if err != nil {
				return err
			}
			saved, lastSnapshot = node.startSaving(snapshot), last.Index
		}
	}
}

func awaitSaved(saved <-chan error) error {
	if saved == nil {
		return nil
	}
	return <-saved
}

// startSaving saves the snapshot and returns the channel of the result.
func (node *Node) startSaving(snapshot *journaler.Snapshot) chan error {
	saved := make(chan error, 1)
	go func() { saved <- node.saveSnapshot(snapshot) }()
	return saved
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

// takeSnapshot returns a snapshot of the state machine after the last applied entry.
func (node *Node) takeSnapshot(last *journaler.Entry, records []memberRecord) (*journaler.Snapshot, error) {
	data, err := node.config.StateMachine.Snapshot()
	if err != nil {
		return nil, eris.Wrap(err, "take a snapshot")
	}
	return &journaler.Snapshot{
		Index:   last.Index,
		Term:    last.Term,
		Chain:   last.Chain,
		Members: memberLog(records).at(last.Index),
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
