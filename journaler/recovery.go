package journaler

import (
	"errors"
	"os"

	"github.com/rotisserie/eris"
)

// recovery reads a folder back.
type recovery struct {
	config Config
	result Recovered
	// joined is true if the log leads up to the snapshot: it holds the snapshot's
	// own last entry, or a segment began right behind it.
	joined bool
}

func newRecovery(config Config, snapshot *Snapshot) *recovery {
	recovery := &recovery{config: config, joined: snapshot == nil}
	recovery.result.Snapshot = snapshot
	return recovery
}

func (recovery *recovery) base() uint64 {
	if recovery.result.Snapshot == nil {
		return 0
	}
	return recovery.result.Snapshot.Index
}

func (recovery *recovery) next() uint64 {
	return recovery.base() + uint64(len(recovery.result.Entries)) + 1
}

// run reads the segments that go beyond the snapshot. Those wholly before it
// are history, which starting does not depend on.
func (recovery *recovery) run() error {
	if err := recovery.dropUnbegun(); err != nil {
		return err
	}
	segments, err := listSegments(recovery.config.Folder)
	if err != nil {
		return err
	}
	start := startOf(segments, recovery.base())
	if start < 0 && len(segments) > 0 {
		return eris.Errorf("entries %d to %d are missing: the segments begin behind the snapshot", recovery.base()+1, segments[0].header.NextIndex-1)
	}
	for at := max(start, 0); at < len(segments); at++ {
		if err := recovery.segment(segments[at].path, at == len(segments)-1); err != nil {
			return eris.Wrapf(err, "segment %s", segments[at].path)
		}
	}
	if !recovery.joined {
		// The snapshot came from a leader in place of entries of this replica's own
		// that were never committed.
		recovery.result.Entries = nil
	}
	if err := recovery.checkChain(); err != nil {
		return err
	}
	if snapshot := recovery.result.Snapshot; snapshot != nil {
		recovery.result.HardState.Commit = max(recovery.result.HardState.Commit, snapshot.Index)
		recovery.result.HardState.Term = max(recovery.result.HardState.Term, snapshot.Term)
	}
	return nil
}

// dropUnbegun removes a last segment that has no whole header: it was being
// made when the process ended, and nothing was saved in it.
func (recovery *recovery) dropUnbegun() error {
	paths, err := Segments(recovery.config.Folder)
	if err != nil || len(paths) == 0 {
		return err
	}
	path := paths[len(paths)-1]
	if _, err := readSegmentHeader(path); !errors.Is(err, errTorn) || checkUnbegun(path) != nil {
		return nil
	}
	info, err := os.Stat(path)
	if err != nil {
		return eris.Wrap(err, "look at a segment without a header")
	}
	recovery.result.TornBytes = info.Size()
	return eris.Wrap(os.Remove(path), "remove a segment without a header")
}

// segment reads one file. Only the last may have a torn end, which is cut off:
// its batch was never acknowledged, since a new batch is begun only after the
// one before it was synced. The rest of it is synced, since the process may have
// been killed before its own sync, and later segments build upon it.
func (recovery *recovery) segment(path string, last bool) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read")
	}
	header, _, err := ReadSegment(data, func(Batch) error { return errStop })
	if err != nil && !errors.Is(err, errStop) && !errors.Is(err, errTorn) {
		return eris.Wrap(err, "byte 0: read header")
	}
	if err := recovery.begin(header); err != nil {
		return err
	}
	_, size, err := ReadSegment(data, recovery.batch)
	if last && (err == nil || errors.Is(err, errTorn)) {
		recovery.result.TornBytes += int64(len(data) - size)
		return recovery.cut(path, size)
	}
	return eris.Wrapf(err, "byte %d", size)
}

// errStop ends the reading of a segment after its header.
var errStop = eris.New("no more is wanted")

// begin takes up a segment's header. Entries from its next index on were no
// longer part of the log when it was begun.
func (recovery *recovery) begin(header Header) error {
	if header.Cell != recovery.config.Cell || header.Replica != recovery.config.Replica {
		return eris.Errorf("belongs to replica %s of cell %s", header.Replica, header.Cell)
	}
	recovery.result.HardState = header.HardState
	recovery.joined = recovery.joined || header.NextIndex == recovery.base()+1
	if header.NextIndex < recovery.next() {
		keep := max(header.NextIndex, recovery.base()+1) - recovery.base() - 1
		recovery.result.Entries = recovery.result.Entries[:keep]
	}
	return nil
}

// cut ends a file at its last whole batch and makes the rest durable.
func (recovery *recovery) cut(path string, size int) error {
	file, err := os.OpenFile(path, os.O_WRONLY, filePermission)
	if err != nil {
		return eris.Wrap(err, "open to cut")
	}
	err = file.Truncate(int64(size))
	if err == nil {
		err = recovery.config.Sync(file)
	}
	return eris.Wrap(errors.Join(err, file.Close()), "cut torn end")
}

func (recovery *recovery) batch(batch Batch) error {
	recovery.result.HardState = batch.HardState
	for _, entry := range batch.Entries {
		if entry.Index <= recovery.base() {
			// It replaced what was behind it, too.
			recovery.result.Entries = nil
			recovery.joined = entry.Index == recovery.base() && entry.Term == recovery.result.Snapshot.Term
			continue
		}
		if entry.Index > recovery.next() {
			return eris.Errorf("entry %d follows entry %d", entry.Index, recovery.next()-1)
		}
		recovery.result.Entries = recovery.result.Entries[:entry.Index-recovery.base()-1]
		recovery.result.Entries = append(recovery.result.Entries, entry)
	}
	return nil
}

// checkChain looks at the entries that stand in the end: of those that were
// replaced, some may have continued another log than the snapshot's.
func (recovery *recovery) checkChain() error {
	before := Chain{}
	if recovery.result.Snapshot != nil {
		before = recovery.result.Snapshot.Chain
	}
	for at := range recovery.result.Entries {
		entry := &recovery.result.Entries[at]
		if entry.Chain != entry.Link(before) {
			return eris.Errorf("entry %d does not match the chain: the log was cut or edited", entry.Index)
		}
		before = entry.Chain
	}
	return nil
}
