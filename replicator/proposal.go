package replicator

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/journaler"
)

// The errors of a proposal.
var (
	// ErrNotLeader is returned if the proposal wasn't accepted. It isn't in the
	// log and never will be.
	ErrNotLeader = eris.New("the replica does not lead")
	// ErrReplaced is returned if another leader's entry was committed at the
	// proposal's index. The proposal will never be committed.
	ErrReplaced = eris.New("the proposal was replaced by another leader's entry")
	// ErrUndecided is returned if the proposal's entry was removed from this
	// replica's log, or a snapshot covers its index. Other replicas may hold the
	// entry and may still commit it.
	ErrUndecided = eris.New("this replica cannot tell whether the proposal is committed")
	// ErrStopped is returned if the node stopped before the outcome was known.
	// The other replicas may still commit the proposal.
	ErrStopped = eris.New("the replica is stopping")
)

// proposal is a command or, if members is set, a membership to append.
type proposal struct {
	data    []byte
	members []journaler.Member
	// term is the term of the proposal's entry once it is appended.
	term uint64
	// reply has a buffer for its only value, so that sending never blocks.
	reply chan proposalReply
}

type proposalReply struct {
	index  uint64
	result any
	err    error
}

// Propose appends a command to the log, waits until it is applied on this
// replica, and returns its index and its result. After an error other than
// ErrNotLeader and ErrReplaced the command may still be applied.
func (node *Node) Propose(ctx context.Context, data []byte) (uint64, any, error) {
	return node.propose(ctx, &proposal{data: data, reply: make(chan proposalReply, 1)})
}

// ChangeMembers appends a membership that differs from the one in force in a
// single replica, and waits until it is applied. Its errors are those of Propose
// and ProposeMembers.
func (node *Node) ChangeMembers(ctx context.Context, members []journaler.Member) error {
	_, _, err := node.propose(ctx, &proposal{members: members, reply: make(chan proposalReply, 1)})
	return err
}

// Enqueue queues a command after those queued before it, and returns without
// waiting for it to be applied. The returned function waits, with the results of
// Propose.
func (node *Node) Enqueue(ctx context.Context, data []byte) (func(context.Context) (uint64, any, error), error) {
	proposal := &proposal{data: data, reply: make(chan proposalReply, 1)}
	if err := node.enqueue(ctx, proposal); err != nil {
		return nil, err
	}
	return func(ctx context.Context) (uint64, any, error) { return node.awaitReply(ctx, proposal) }, nil
}

func (node *Node) propose(ctx context.Context, proposal *proposal) (uint64, any, error) {
	if err := node.enqueue(ctx, proposal); err != nil {
		return 0, nil, err
	}
	return node.awaitReply(ctx, proposal)
}

func (node *Node) enqueue(ctx context.Context, proposal *proposal) error {
	select {
	case node.proposals <- proposal:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ErrNotLeader, "the proposal queue is full")
	case <-node.done:
		return ErrNotLeader
	}
}

func (node *Node) awaitReply(ctx context.Context, proposal *proposal) (uint64, any, error) {
	select {
	case reply := <-proposal.reply:
		return reply.index, reply.result, reply.err
	case <-ctx.Done():
		return 0, nil, eris.Wrap(ctx.Err(), "wait for a proposal")
	case <-node.done:
		return 0, nil, ErrStopped
	}
}

// handleProposal appends the proposal and registers it by its entry's index.
func (node *Node) handleProposal(proposal *proposal) {
	index, term, err := node.appendProposal(proposal)
	if err != nil {
		proposal.reply <- proposalReply{err: err}
		return
	}
	proposal.term = term
	node.mutex.Lock()
	displaced := node.pending[index]
	node.pending[index] = proposal
	node.mutex.Unlock()
	if displaced != nil {
		// The earlier proposal's entry is no longer in this log, but a replica that
		// holds it may be elected and commit it.
		displaced.reply <- proposalReply{err: ErrUndecided}
	}
}

func (node *Node) appendProposal(proposal *proposal) (uint64, uint64, error) {
	if proposal.members != nil {
		return node.core.ProposeMembers(proposal.members)
	}
	index, term, ok := node.core.Propose(journaler.EntryCommand, proposal.data)
	if !ok {
		return 0, 0, ErrNotLeader
	}
	return index, term, nil
}
