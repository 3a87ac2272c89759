// Package replicator implements the consensus protocol, a variant of Raft, by
// which a cell's replicas agree on one log. It owns leader election with terms
// and pre-votes, replication of entries to a quorum, chunked transfer of
// snapshots to replicas that are far behind, and membership changes of one
// replica at a time.
//
// Core is the protocol as a deterministic state machine that does no I/O and
// reads no clock: it is given messages and the current time, and returns the
// state to save and the messages to send. Node runs a Core with a journal, a
// clock and a transport; one goroutine runs the Core and one applies entries.
//
// The package guarantees that an entry passed to the state machine is on the
// disks of a quorum and never changes at its index, that at most one replica
// leads in a term, and that Leads is true only while no other replica can have
// been elected. It doesn't interpret the entries' content; the caller supplies
// the state machine that applies them and the transport that carries messages.
package replicator

import (
	"time"

	"github.com/dotterelrill/dotterelrill/journaler"
)

// MessageKind is the kind of a message between replicas.
type MessageKind uint8

// The message kinds.
const (
	KindPreVote MessageKind = iota + 1
	KindPreVoteReply
	KindVote
	KindVoteReply
	KindAppend
	KindAppendReply
	KindSnapshotPiece
	KindSnapshotPieceReply
	KindTimeoutNow
)

// AsksReply reports whether the receiver replies to messages of the kind.
func (kind MessageKind) AsksReply() bool {
	return kind == KindPreVote || kind == KindVote || kind == KindAppend || kind == KindSnapshotPiece
}

// Message is a protocol message from one replica to another.
type Message struct {
	Cell string
	Kind MessageKind
	From journaler.ReplicaID
	To   journaler.ReplicaID
	// Address is where replies reach the sender, which may have joined in a change that
	// the receiver doesn't have yet. It is empty in replies.
	Address string `cbor:",omitempty"`
	Term    uint64
	// Index and LogTerm identify the sender's last entry in vote requests, and
	// the entry before Entries in appends. In an append reply Index is the last
	// matching index or, after a rejection, the index to continue after. In a
	// snapshot piece reply it is the number of bytes received.
	Index   uint64
	LogTerm uint64
	Entries []journaler.Entry `cbor:",omitempty"`
	Commit  uint64
	Reject  bool
	// Stamp is the leader's clock when it sent the message; replies echo it.
	Stamp time.Duration
	// Transfer is true in vote requests of a leadership transfer, which the
	// leader itself initiated.
	Transfer bool
	Piece    *Piece `cbor:",omitempty"`
}

// Piece is a chunk of a snapshot's data, with the snapshot's metadata.
type Piece struct {
	Index    uint64
	Term     uint64
	Chain    journaler.Chain
	Members  []journaler.Member
	Offset   int64
	Total    int64
	Checksum uint32
	Data     []byte
}
