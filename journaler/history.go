package journaler

import (
	"errors"
	"os"
	"slices"

	"github.com/rotisserie/eris"
)

// History describes which part of a folder's log to read.
type History struct {
	Folder string
	// From and Last are the first and the last index to read. Last must be
	// committed: entries up to it are never replaced.
	From, Last uint64
	// Entry is called with each entry in order of index.
	Entry func(entry *Entry) error
	// Installed is called with the index of a leader's snapshot that replaced
	// entries which this replica does not have. It may be nil.
	Installed func(index uint64)
}

// ReadHistory calls visit with each entry from index from to index last, in
// order.
func ReadHistory(folder string, from, last uint64, visit func(entry *Entry) error) error {
	return History{Folder: folder, From: from, Last: last, Entry: visit}.Read()
}

// Read reads the history one segment at a time. Entries that were later
// replaced are never passed to Entry: each entry is held back until the log
// itself records that it is committed.
func (history History) Read() error {
	segments, err := listSegments(history.Folder)
	if err != nil {
		return err
	}
	if err := checkFirstSegment(history.Folder, segments); err != nil {
		return err
	}
	snapshots, err := listSnapshots(history.Folder)
	if err != nil {
		return err
	}
	historyReader := &historyReader{history: history, nextIndex: max(history.From, 1), snapshots: snapshots}
	for i := max(firstNeededSegment(segments, historyReader.nextIndex-1), 0); i < len(segments); i++ {
		if err := historyReader.readSegment(segments[i], i == len(segments)-1); err != nil {
			return eris.Wrapf(err, "segment %s", segments[i].path)
		}
	}
	return historyReader.deliverCommitted(history.Last)
}

// checkFirstSegment returns an error if segments between the history floor and
// the first segment of the list are missing.
func checkFirstSegment(folder string, segments []segment) error {
	historyFloor, err := readFloor(folder)
	if err != nil {
		return err
	}
	if len(segments) == 0 {
		return eris.Errorf("all segments from %d on in %s are missing", historyFloor.Sequence, folder)
	}
	if first := segments[0].sequence; first > historyFloor.Sequence {
		return eris.Errorf("segments %d to %d of %s are missing", historyFloor.Sequence, first-1, folder)
	}
	return nil
}

// BaseSnapshot returns the snapshot that the retained history continues from, or
// nil if the history begins with the first entry.
func BaseSnapshot(folder string) (*Snapshot, error) {
	segments, err := listSegments(folder)
	if err != nil || len(segments) == 0 {
		return nil, err
	}
	first := segments[0].header.NextIndex
	if first == 1 {
		return nil, nil
	}
	files, err := listSnapshots(folder)
	if err != nil {
		return nil, err
	}
	for _, file := range files {
		if file.index+1 >= first {
			return ReadSnapshot(file.path)
		}
	}
	return nil, eris.Errorf("no snapshot covers entries 1 to %d, which are no longer retained", first-1)
}

// historyReader holds the state of a call to History.Read.
type historyReader struct {
	history History
	// nextIndex is the index of the next entry to deliver.
	nextIndex uint64
	// pending holds entries that are not known to be committed and may still be
	// replaced.
	pending   []Entry
	snapshots []snapshotFile
}

func (historyReader *historyReader) readSegment(segment segment, isLast bool) error {
	data, err := os.ReadFile(segment.path)
	if err != nil {
		return eris.Wrap(err, "read")
	}
	if err := historyReader.applyHeader(&segment.header); err != nil {
		return err
	}
	_, size, err := ReadSegment(data, historyReader.applyBatch)
	if errors.Is(err, errTorn) && isLast {
		return nil
	}
	return eris.Wrapf(err, "byte %d", size)
}

func (historyReader *historyReader) applyHeader(header *Header) error {
	if historyReader.installedSnapshotExists(header.Installed) {
		historyReader.pending = nil
		if historyReader.history.Installed != nil {
			historyReader.history.Installed(header.Installed)
		}
	}
	historyReader.discardFrom(header.NextIndex)
	return historyReader.deliverCommitted(header.HardState.Commit)
}

// installedSnapshotExists reports whether the snapshot that a segment was
// started for was saved. If not, the process ended before it could be, and the
// log continued unchanged.
func (historyReader *historyReader) installedSnapshotExists(index uint64) bool {
	return index > 0 && slices.ContainsFunc(historyReader.snapshots, func(file snapshotFile) bool { return file.index == index })
}

func (historyReader *historyReader) applyBatch(batch Batch) error {
	for i := range batch.Entries {
		entry := &batch.Entries[i]
		historyReader.discardFrom(entry.Index)
		if entry.Index >= historyReader.nextIndex {
			historyReader.pending = append(historyReader.pending, *entry)
		}
	}
	return historyReader.deliverCommitted(batch.HardState.Commit)
}

// discardFrom discards the pending entries from the index on.
func (historyReader *historyReader) discardFrom(index uint64) {
	for len(historyReader.pending) > 0 && historyReader.pending[len(historyReader.pending)-1].Index >= index {
		historyReader.pending = historyReader.pending[:len(historyReader.pending)-1]
	}
}

// deliverCommitted passes the pending entries that are committed to
// History.Entry.
func (historyReader *historyReader) deliverCommitted(committed uint64) error {
	for len(historyReader.pending) > 0 {
		entry := historyReader.pending[0]
		if entry.Index > min(committed, historyReader.history.Last) {
			return nil
		}
		if err := historyReader.history.Entry(&entry); err != nil {
			return err
		}
		historyReader.pending = historyReader.pending[1:]
		historyReader.nextIndex = entry.Index + 1
	}
	return nil
}
