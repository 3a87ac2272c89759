package replicator

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/journaler"
)

// Capacities of a node's channels, and the limit of inputs handled together.
const (
	inboxCapacity     = 4096
	proposalCapacity  = 4096
	applyCapacity     = 1024
	maxInputsPerRound = 1024
)

// StateMachine is the replicated state machine, to which a node applies
// committed entries. One goroutine calls its functions, in log order.
type StateMachine struct {
	// Apply applies the next entry and returns its result.
	Apply func(entry *journaler.Entry) any
	// Snapshot returns the encoded state after the last applied entry.
	Snapshot func() ([]byte, error)
	// Restore replaces the state by that of the snapshot.
	Restore func(snapshot *journaler.Snapshot) error
}

// NodeConfig configures a Node.
type NodeConfig struct {
	Core         CoreConfig
	Journal      *journaler.Journal
	StateMachine StateMachine
	// Send sends a message. It must not block, and may drop the message.
	Send func(message Message)
	// Clock is a monotonic clock that keeps running while the process is paused.
	Clock func() time.Duration
	// TickInterval is how often timeouts are checked.
	TickInterval time.Duration
	// SnapshotEvery is the number of entries applied between two snapshots.
	SnapshotEvery uint64
	// Changed, if set, is called with each status in which the role, term,
	// leader, membership or Settled differs from the previous one.
	Changed func(status Status)
}

// Status is an immutable view of a node's state.
type Status struct {
	ID      journaler.ReplicaID
	Role    Role
	Term    uint64
	Leader  journaler.ReplicaID
	Commit  uint64
	Last    uint64
	Members []journaler.Member
	// Settled is true if the replica leads and knows all committed entries.
	Settled bool
	// LeaseUntil is the time, on the node's clock, until which no other replica
	// can lead. It is -1 if the replica holds no lease.
	LeaseUntil time.Duration
}

// Node runs a replica with two goroutines: one owns the Core and writes the log
// to the journal; the other owns the state machine, applies entries and takes
// snapshots, which a third one saves. Its methods may be called concurrently.
type Node struct {
	config    NodeConfig
	core      *Core
	inbox     chan Message
	proposals chan *proposal
	// coreCalls are functions to run on the goroutine that owns the Core.
	coreCalls     chan func()
	applyRequests chan applyRequest
	done          chan struct{}
	status        atomic.Pointer[Status]
	applied       atomic.Uint64
	// savedSnapshot is a saved snapshot that the Core's log isn't compacted to yet.
	savedSnapshot atomic.Pointer[journaler.Snapshot]
	// offeredSnapshot is a snapshot that the Core asked for and has not got yet.
	offeredSnapshot atomic.Pointer[journaler.Snapshot]

	mutex sync.Mutex
	// pending holds the appended proposals without an outcome, by index.
	pending map[uint64]*proposal
}

// applyRequest holds either entries to apply or a snapshot to restore, or asks for a
// snapshot of the state.
type applyRequest struct {
	entries []journaler.Entry
	install *journaler.Snapshot
	offer   bool
	// members are the memberships in force at the indexes of entries.
	members []memberRecord
}

// NewNode returns a node that resumes from the recovered state. The state
// machine must already hold the state of the recovered snapshot.
func NewNode(config NodeConfig, recovered *journaler.Recovered) (*Node, error) {
	config.Core.Now = config.Clock()
	core, err := NewCore(config.Core, recovered)
	if err != nil {
		return nil, err
	}
	node := &Node{
		config:        config,
		core:          core,
		inbox:         make(chan Message, inboxCapacity),
		proposals:     make(chan *proposal, proposalCapacity),
		coreCalls:     make(chan func(), 16),
		applyRequests: make(chan applyRequest, applyCapacity),
		done:          make(chan struct{}),
		pending:       make(map[uint64]*proposal),
	}
	node.applied.Store(core.deliveredIndex)
	node.publishStatus()
	return node, nil
}

// Step queues a message from another replica. It drops the message if the queue
// is full; the protocol retransmits what is needed.
func (node *Node) Step(message Message) {
	select {
	case node.inbox <- message:
	default:
	}
}

// Status returns the node's latest status. Callers must not modify it.
func (node *Node) Status() *Status { return node.status.Load() }

// Applied returns the index of the last applied entry.
func (node *Node) Applied() uint64 { return node.applied.Load() }

// Leads reports whether the replica leads and holds its lease, so that no other
// can have been elected before the call.
func (node *Node) Leads() bool {
	status := node.Status()
	return status.Settled && node.config.Clock() < status.LeaseUntil
}

// CaughtUp reports whether this replica leads and the follower's log is close
// enough to its own for the follower to become a voter without delaying commits.
func (node *Node) CaughtUp(id journaler.ReplicaID) bool {
	return node.askCore(func() bool { return node.core.caughtUp(id) })
}

// Silent reports whether this replica leads and the other one has not replied for some
// seconds.
func (node *Node) Silent(id journaler.ReplicaID) bool {
	return node.askCore(func() bool { return node.core.silent(id) })
}

// askCore returns the answer of a question on the goroutine that owns the Core, or false
// if the node has ended.
func (node *Node) askCore(question func() bool) bool {
	result := make(chan bool, 1)
	select {
	case node.coreCalls <- func() {
		node.core.ObserveTime(node.config.Clock())
		result <- question()
	}:
	case <-node.done:
		return false
	}
	select {
	case answer := <-result:
		return answer
	case <-node.done:
		return false
	}
}

// Transfer transfers leadership to another replica, retrying every TickInterval,
// and waits until this replica no longer leads.
func (node *Node) Transfer(ctx context.Context) error {
	for node.Status().Role == Leader {
		started := make(chan bool, 1)
		select {
		case node.coreCalls <- func() { started <- node.core.Transfer() }:
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "transfer leadership")
		}
		select {
		case <-started:
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "transfer leadership")
		}
		select {
		case <-time.After(node.config.TickInterval):
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "transfer leadership")
		}
	}
	return nil
}

// Run runs the replica until the context ends or an error stops it, such as a
// failed write. It must be called once.
func (node *Node) Run(ctx context.Context) error {
	applyResult := make(chan error, 1)
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		applyResult <- node.runApply(ctx)
	}()
	err := node.runCore(ctx)
	close(node.done)
	cancel()
	return errors.Join(err, <-applyResult)
}

// runCore runs the Core, which it owns: it passes the queued inputs to it, then
// saves state and sends messages. Proposals that are queued together share one
// sync.
func (node *Node) runCore(ctx context.Context) error {
	ticker := time.NewTicker(node.config.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			// Readers of the journal's files take the commit index from the hard
			// state.
			return node.config.Journal.Save(node.core.hardState, nil)
		case <-ticker.C:
		case message := <-node.inbox:
			node.step(message)
		case proposal := <-node.proposals:
			node.handleProposal(proposal)
		case call := <-node.coreCalls:
			call()
		}
		node.drainInputs()
		if snapshot := node.savedSnapshot.Swap(nil); snapshot != nil {
			node.core.Compact(snapshot)
		}
		if snapshot := node.offeredSnapshot.Swap(nil); snapshot != nil {
			node.core.OfferSnapshot(snapshot)
		}
		node.core.Tick(node.config.Clock())
		if err := node.processReady(ctx); err != nil {
			return err
		}
	}
}

// drainInputs handles inputs that are already queued, without blocking.
func (node *Node) drainInputs() {
	for range maxInputsPerRound {
		select {
		case message := <-node.inbox:
			node.step(message)
		case proposal := <-node.proposals:
			node.handleProposal(proposal)
		case call := <-node.coreCalls:
			call()
		default:
			return
		}
	}
}

// step reads the clock for each message: the process may have been paused since
// the previous one, and the leader's lease relies on the time of contact not
// being recorded too early.
func (node *Node) step(message Message) {
	node.core.ObserveTime(node.config.Clock())
	node.core.Step(message)
}

// processReady saves the Core's state and sends its messages until nothing is
// pending. Messages that rely on state are sent only after it is saved.
func (node *Node) processReady(ctx context.Context) error {
	for {
		ready := node.core.TakeReady()
		if err := node.core.Err(); err != nil {
			return err
		}
		node.sendAll(ready.First)
		if err := node.save(&ready); err != nil {
			return err
		}
		committed := node.core.MarkSaved()
		node.publishStatus()
		node.sendAll(ready.Then)
		if ready.Install != nil && !node.queueApply(ctx, applyRequest{install: ready.Install}) {
			return nil
		}
		if len(committed) > 0 && !node.queueApply(ctx, applyRequest{entries: committed, members: node.memberRecords()}) {
			return nil
		}
		if ready.WantSnapshot && !node.queueApply(ctx, applyRequest{offer: true}) {
			return nil
		}
		if len(committed) == 0 && len(ready.First) == 0 && len(ready.Then) == 0 {
			return nil
		}
	}
}

func (node *Node) memberRecords() []memberRecord {
	return append([]memberRecord(nil), node.core.members...)
}

// queueApply passes the request to the apply goroutine. It reports whether it did
// so before the context ended.
func (node *Node) queueApply(ctx context.Context, request applyRequest) bool {
	select {
	case node.applyRequests <- request:
		return true
	case <-ctx.Done():
		return false
	}
}

func (node *Node) save(ready *Ready) error {
	if ready.Install != nil {
		if err := node.config.Journal.Install(ready.Install); err != nil {
			return err
		}
	}
	if !ready.MustSave {
		return nil
	}
	return node.config.Journal.Save(ready.HardState, ready.Entries)
}

func (node *Node) sendAll(messages []Message) {
	for _, message := range messages {
		node.config.Send(message)
	}
}

// publishStatus stores the current status, and calls Changed if statusChanged
// reports a difference.
func (node *Node) publishStatus() {
	core := node.core
	status := &Status{
		ID:         node.config.Core.ID,
		Role:       core.Role(),
		Term:       core.Term(),
		Leader:     core.LeaderID(),
		Commit:     core.CommitIndex(),
		Last:       core.LastIndex(),
		Members:    core.Members(),
		Settled:    core.Settled(),
		LeaseUntil: core.LeaseUntil(),
	}
	previous := node.status.Swap(status)
	if node.config.Changed != nil && (previous == nil || statusChanged(previous, status)) {
		node.config.Changed(*status)
	}
}

func statusChanged(previous, current *Status) bool {
	return previous.Role != current.Role || previous.Term != current.Term || previous.Leader != current.Leader ||
		previous.Settled != current.Settled || !sameMembers(previous.Members, current.Members)
}
