package replicator

import (
	"slices"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/journaler"
)

// entryLog holds the newest snapshot, the entries after it and some of the
// entries that it covers.
type entryLog struct {
	snapshot *journaler.Snapshot
	// preceding is the position directly before entries. Its index is never
	// greater than the snapshot's.
	preceding position
	entries   []journaler.Entry
}

// position identifies an entry, with all that is needed to check and append the
// entry after it.
type position struct {
	index uint64
	term  uint64
	chain journaler.Chain
}

func positionOf(snapshot *journaler.Snapshot) position {
	return position{index: snapshot.Index, term: snapshot.Term, chain: snapshot.Chain}
}

// Errors in a leader's entries after which the replica can't continue.
var (
	errChainMismatch     = eris.New("an entry does not match the chain of the log")
	errCommittedConflict = eris.New("an entry differs from the one that is committed at its index")
)

func newEntryLog(recovered *journaler.Recovered) *entryLog {
	snapshot := recovered.Snapshot
	if snapshot == nil {
		snapshot = &journaler.Snapshot{}
	}
	return &entryLog{snapshot: snapshot, preceding: positionOf(snapshot), entries: recovered.Entries}
}

// base returns the index before the first entry held.
func (log *entryLog) base() uint64 { return log.preceding.index }

func (log *entryLog) last() uint64 { return log.base() + uint64(len(log.entries)) }

// term returns the term of the entry at the index, and whether it is known.
func (log *entryLog) term(index uint64) (uint64, bool) {
	if index == log.base() {
		return log.preceding.term, true
	}
	if index < log.base() || index > log.last() {
		return 0, false
	}
	return log.at(index).Term, true
}

func (log *entryLog) lastTerm() uint64 {
	term, _ := log.term(log.last())
	return term
}

func (log *entryLog) at(index uint64) *journaler.Entry {
	return &log.entries[index-log.base()-1]
}

func (log *entryLog) chain(index uint64) journaler.Chain {
	if index == log.base() {
		return log.preceding.chain
	}
	return log.at(index).Chain
}

// slice returns entries from the index on, at most maxCount of them with at most
// maxBytes of data, but at least one if there is any.
func (log *entryLog) slice(from uint64, maxCount, maxBytes int) []journaler.Entry {
	if from > log.last() {
		return nil
	}
	entries := log.entries[from-log.base()-1:]
	size := 0
	for at := range entries {
		size += len(entries[at].Data)
		if at >= maxCount || at > 0 && size > maxBytes {
			return entries[:at:at]
		}
	}
	return entries[:len(entries):len(entries)]
}

// size returns the number of bytes of data in the entries from the index on that are
// held. It stops counting above limit.
func (log *entryLog) size(from uint64, limit int) int {
	size := 0
	for index := max(from, log.base()+1); index <= log.last() && size <= limit; index++ {
		size += len(log.at(index).Data)
	}
	return size
}

// appendOwn appends a new entry of the leader.
func (log *entryLog) appendOwn(term uint64, kind journaler.EntryKind, data []byte) *journaler.Entry {
	entry := journaler.Entry{Index: log.last() + 1, Term: term, Kind: kind, Data: data}
	entry.Chain = entry.ChainAfter(log.chain(log.last()))
	log.entries = append(log.entries, entry)
	return &log.entries[len(log.entries)-1]
}

// merge appends the entries from a leader that the log lacks and returns them.
// It first removes the log's entries from the first conflict on; it fails if one
// of these is committed.
func (log *entryLog) merge(entries []journaler.Entry, committed uint64) ([]journaler.Entry, error) {
	for at := range entries {
		entry := &entries[at]
		if entry.Index <= log.base() {
			continue
		}
		if term, known := log.term(entry.Index); known && term == entry.Term {
			continue
		}
		if entry.Index <= committed {
			return nil, eris.Wrapf(errCommittedConflict, "index %d", entry.Index)
		}
		return log.replaceFrom(entries[at:])
	}
	return nil, nil
}

func (log *entryLog) replaceFrom(entries []journaler.Entry) ([]journaler.Entry, error) {
	kept := log.entries[:entries[0].Index-log.base()-1]
	if len(kept) < len(log.entries) {
		// Callers of slice may still read the removed entries, so the array that
		// holds them must not be overwritten.
		kept = slices.Clone(kept)
	}
	previousChain := log.chain(entries[0].Index - 1)
	for at := range entries {
		if entries[at].ChainAfter(previousChain) != entries[at].Chain {
			return nil, eris.Wrapf(errChainMismatch, "index %d", entries[at].Index)
		}
		previousChain = entries[at].Chain
	}
	log.entries = slices.Grow(kept, len(entries))
	log.entries = append(log.entries, entries...)
	return entries, nil
}

// compact records a newer snapshot of the log and drops the entries that it
// covers, except the last keepEntries of them.
func (log *entryLog) compact(snapshot *journaler.Snapshot, keepEntries uint64) {
	if snapshot.Index <= log.snapshot.Index {
		return
	}
	log.snapshot = snapshot
	if snapshot.Index <= log.base()+keepEntries {
		return
	}
	lastDropped := log.at(snapshot.Index - keepEntries)
	tail := log.entries[lastDropped.Index-log.base():]
	log.preceding = position{index: lastDropped.Index, term: lastDropped.Term, chain: lastDropped.Chain}
	log.entries = slices.Clone(tail)
}
