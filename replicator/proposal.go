package replicator

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/journaler"
)

// Errors that a proposal can end with.
var (
	// ErrNotLeader is returned if the proposal was not taken; it is not in the
	// log and never will be.
	ErrNotLeader = eris.New("the replica does not lead")
	// ErrReplaced is returned if another leader's entry was committed in the
	// proposal's place; the proposal never will be.
	ErrReplaced = eris.New("the proposal was replaced by another leader's entry")
	// ErrUndecided is returned if the proposal left this replica's log, or a
	// snapshot covered its place; others may hold it and still commit it.
	ErrUndecided = eris.New("whether the proposal is committed cannot be told here")
	// ErrStopped is returned if the node stopped first; the proposal may still
	// be committed by the others.
	ErrStopped = eris.New("the replica is stopping")
)

type proposal struct {
	data    []byte
	members []journaler.Member
	term    uint64
	// reply has room for the one answer, so that nobody waits for the asker.
	reply chan proposalReply
}

type proposalReply struct {
	index  uint64
	result any
	err    error
}

// Propose puts a command into the log and returns its index and its result
// once it is applied here. An error other than ErrNotLeader and ErrReplaced
// leaves open whether the command will be applied.
func (node *Node) Propose(ctx context.Context, data []byte) (uint64, any, error) {
	return node.propose(ctx, &proposal{data: data, reply: make(chan proposalReply, 1)})
}

// ChangeMembers puts a membership into the log that differs in one replica.
func (node *Node) ChangeMembers(ctx context.Context, members []journaler.Member) error {
	_, _, err := node.propose(ctx, &proposal{members: members, reply: make(chan proposalReply, 1)})
	return err
}

// Enqueue puts a command behind those that were enqueued before and returns
// without waiting for it. The returned function does, and answers as Propose.
func (node *Node) Enqueue(ctx context.Context, data []byte) (func(context.Context) (uint64, any, error), error) {
	proposal := &proposal{data: data, reply: make(chan proposalReply, 1)}
	if err := node.enqueue(ctx, proposal); err != nil {
		return nil, err
	}
	return func(ctx context.Context) (uint64, any, error) { return node.await(ctx, proposal) }, nil
}

func (node *Node) propose(ctx context.Context, proposal *proposal) (uint64, any, error) {
	if err := node.enqueue(ctx, proposal); err != nil {
		return 0, nil, err
	}
	return node.await(ctx, proposal)
}

func (node *Node) enqueue(ctx context.Context, proposal *proposal) error {
	select {
	case node.proposals <- proposal:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ErrNotLeader, "the ring of proposals is full")
	case <-node.done:
		return ErrNotLeader
	}
}

func (node *Node) await(ctx context.Context, proposal *proposal) (uint64, any, error) {
	select {
	case reply := <-proposal.reply:
		return reply.index, reply.result, reply.err
	case <-ctx.Done():
		return 0, nil, eris.Wrap(ctx.Err(), "wait for a proposal")
	case <-node.done:
		return 0, nil, ErrStopped
	}
}

func (node *Node) take(proposal *proposal) {
	index, term, err := node.append(proposal)
	if err != nil {
		proposal.reply <- proposalReply{err: err}
		return
	}
	proposal.term = term
	node.mutex.Lock()
	replaced := node.waiting[index]
	node.waiting[index] = proposal
	node.mutex.Unlock()
	if replaced != nil {
		// The place is free here, but another replica may hold the old entry, be
		// elected and commit it.
		replaced.reply <- proposalReply{err: ErrUndecided}
	}
}

func (node *Node) append(proposal *proposal) (uint64, uint64, error) {
	if proposal.members != nil {
		return node.core.ProposeMembers(proposal.members)
	}
	index, term, ok := node.core.Propose(journaler.EntryCommand, proposal.data)
	if !ok {
		return 0, 0, ErrNotLeader
	}
	return index, term, nil
}
