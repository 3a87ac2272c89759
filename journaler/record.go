// Package journaler owns a replica's files: the log in checksummed segments and
// the snapshots, all under one data folder.
//
// Data is durable once Save or SaveSnapshot has returned. A batch that a crash
// cut off is discarded as a whole at the next start. Damage anywhere before the
// end is an error and never skipped. Segments older than the snapshot are
// retained as the history that reviews read, until their retention has passed.
// The meaning of the entries is left to the replicator and the applier.
package journaler

import (
	"crypto/sha256"
	"encoding/binary"
)

// ReplicaID identifies a replica for the lifetime of its data folder. It is
// generated with the folder, so that a replica that starts with an empty folder
// is never mistaken for the one that lost its data.
type ReplicaID string

// Member is a replica in the membership of a cell.
type Member struct {
	ID ReplicaID
	// Address is the host:port at which the other replicas reach it.
	Address string
	// Voter is false for a learner, which replicates the log without voting.
	Voter bool
}

// EntryKind determines how an entry is applied.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryNoop is the first entry of a leader's term.
	EntryNoop EntryKind = iota + 1
	// EntryCommand holds a command for the applier.
	EntryCommand
	// EntryMembers replaces the membership of the cell.
	EntryMembers
)

// Chain is a checksum over an entry and all entries before it.
type Chain [sha256.Size]byte

// Entry is one record of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
	// Chain covers the entry and the Chain of the previous entry.
	Chain Chain
}

// ChainAfter returns the Chain that the entry must have after an entry with the
// previous Chain.
func (entry *Entry) ChainAfter(previous Chain) Chain {
	var header [17]byte
	binary.BigEndian.PutUint64(header[0:], entry.Index)
	binary.BigEndian.PutUint64(header[8:], entry.Term)
	header[16] = byte(entry.Kind)
	hash := sha256.New()
	hash.Write(previous[:])
	hash.Write(header[:])
	hash.Write(entry.Data)
	return Chain(hash.Sum(nil))
}

// HardState is the consensus state that a replica must make durable before it
// sends its next message.
type HardState struct {
	Term uint64
	// Vote is the replica that this one voted for in Term; empty if none.
	Vote   ReplicaID
	Commit uint64
}

// Snapshot replaces all entries up to and including Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Chain   Chain
	Members []Member
	Data    []byte
}

// Batch is the content of one Save: it is read back whole or not at all.
type Batch struct {
	HardState HardState
	Entries   []Entry
}

// Header is the first frame of a segment.
type Header struct {
	Format  uint32
	Cell    string
	Replica ReplicaID
	// NextIndex is the index after that of the last entry in the log when the
	// segment was started.
	NextIndex uint64
	HardState HardState
	// Installed is the index of the leader's snapshot for which the segment was
	// started and which replaces all earlier entries; zero if there was none.
	Installed uint64 `cbor:",omitempty"`
}
