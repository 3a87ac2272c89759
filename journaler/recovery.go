package journaler

import (
	"errors"
	"os"

	"github.com/rotisserie/eris"
)

// recovery reads the content of a folder at startup.
type recovery struct {
	config Config
	result Recovered
	// contiguous reports whether the log leads up to the snapshot: it contains the
	// snapshot's last entry, or a segment starts right after it.
	contiguous bool
}

func newRecovery(config Config, snapshot *Snapshot) *recovery {
	recovery := &recovery{config: config, contiguous: snapshot == nil}
	recovery.result.Snapshot = snapshot
	return recovery
}

func (recovery *recovery) baseIndex() uint64 {
	if recovery.result.Snapshot == nil {
		return 0
	}
	return recovery.result.Snapshot.Index
}

func (recovery *recovery) nextIndex() uint64 {
	return recovery.baseIndex() + uint64(len(recovery.result.Entries)) + 1
}

// run reads the segments that extend beyond the snapshot. Those wholly before
// it are history, which a start does not depend on.
func (recovery *recovery) run() error {
	if err := recovery.removeIncompleteSegment(); err != nil {
		return err
	}
	segments, err := listSegments(recovery.config.Folder)
	if err != nil {
		return err
	}
	start := firstNeededSegment(segments, recovery.baseIndex())
	if start < 0 && len(segments) > 0 {
		return eris.Errorf("entries %d to %d are missing: the first segment begins after the snapshot", recovery.baseIndex()+1, segments[0].header.NextIndex-1)
	}
	for i := max(start, 0); i < len(segments); i++ {
		if err := recovery.loadSegment(segments[i].path, i == len(segments)-1); err != nil {
			return eris.Wrapf(err, "segment %s", segments[i].path)
		}
	}
	if !recovery.contiguous {
		// The snapshot came from a leader and replaces entries of this replica's
		// own that were never committed.
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

// removeIncompleteSegment removes a last segment without a complete header: the
// process ended while it created the segment, and nothing was saved in it.
func (recovery *recovery) removeIncompleteSegment() error {
	paths, err := Segments(recovery.config.Folder)
	if err != nil || len(paths) == 0 {
		return err
	}
	path := paths[len(paths)-1]
	if _, err := readSegmentHeader(path); !errors.Is(err, errTorn) || checkIncompleteHeader(path) != nil {
		return nil
	}
	info, err := os.Stat(path)
	if err != nil {
		return eris.Wrap(err, "get the size of a segment without a header")
	}
	recovery.result.TornBytes = info.Size()
	return eris.Wrap(os.Remove(path), "remove a segment without a header")
}

// loadSegment reads one segment. Only the last one may have a torn tail, which
// is truncated: its batch was never acknowledged, since a batch is written only
// after the previous one was synced. What remains is synced, since the process
// may have been killed before its own sync, and later segments depend on it.
func (recovery *recovery) loadSegment(path string, isLast bool) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read")
	}
	header, _, err := ReadSegment(data, func(Batch) error { return errStop })
	if err != nil && !errors.Is(err, errStop) && !errors.Is(err, errTorn) {
		return eris.Wrap(err, "byte 0: read header")
	}
	if err := recovery.applyHeader(header); err != nil {
		return err
	}
	_, size, err := ReadSegment(data, recovery.applyBatch)
	if isLast && (err == nil || errors.Is(err, errTorn)) {
		recovery.result.TornBytes += int64(len(data) - size)
		return recovery.truncate(path, size)
	}
	return eris.Wrapf(err, "byte %d", size)
}

// errStop ends the reading of a segment after its header.
var errStop = eris.New("stop reading the segment")

// applyHeader applies a segment's header. Entries from its NextIndex on were no
// longer part of the log when the segment was started.
func (recovery *recovery) applyHeader(header Header) error {
	if header.Cell != recovery.config.Cell || header.Replica != recovery.config.Replica {
		return eris.Errorf("belongs to replica %s of cell %s", header.Replica, header.Cell)
	}
	recovery.result.HardState = header.HardState
	recovery.contiguous = recovery.contiguous || header.NextIndex == recovery.baseIndex()+1
	if header.NextIndex < recovery.nextIndex() {
		keep := max(header.NextIndex, recovery.baseIndex()+1) - recovery.baseIndex() - 1
		recovery.result.Entries = recovery.result.Entries[:keep]
	}
	return nil
}

// truncate truncates a segment to size bytes, the end of its last whole batch,
// and makes the rest durable.
func (recovery *recovery) truncate(path string, size int) error {
	file, err := os.OpenFile(path, os.O_WRONLY, filePermission)
	if err != nil {
		return eris.Wrap(err, "open for truncation")
	}
	err = file.Truncate(int64(size))
	if err == nil {
		err = recovery.config.Sync(file)
	}
	return eris.Wrap(errors.Join(err, file.Close()), "truncate the torn tail")
}

func (recovery *recovery) applyBatch(batch Batch) error {
	recovery.result.HardState = batch.HardState
	for _, entry := range batch.Entries {
		if entry.Index <= recovery.baseIndex() {
			// The entry replaced all later ones too.
			recovery.result.Entries = nil
			recovery.contiguous = entry.Index == recovery.baseIndex() && entry.Term == recovery.result.Snapshot.Term
			continue
		}
		if entry.Index > recovery.nextIndex() {
			return eris.Errorf("entry %d does not continue the log, which ends at entry %d", entry.Index, recovery.nextIndex()-1)
		}
		recovery.result.Entries = recovery.result.Entries[:entry.Index-recovery.baseIndex()-1]
		recovery.result.Entries = append(recovery.result.Entries, entry)
	}
	return nil
}

// checkChain verifies the chain of the entries that are left after all
// replacements: replaced entries may have continued another log than the
// snapshot's.
func (recovery *recovery) checkChain() error {
	previous := Chain{}
	if recovery.result.Snapshot != nil {
		previous = recovery.result.Snapshot.Chain
	}
	for i := range recovery.result.Entries {
		entry := &recovery.result.Entries[i]
		if entry.Chain != entry.ChainAfter(previous) {
			return eris.Errorf("entry %d does not match the chain: the log was truncated or edited", entry.Index)
		}
		previous = entry.Chain
	}
	return nil
}
