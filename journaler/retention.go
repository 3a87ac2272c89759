package journaler

import (
	"errors"
	"os"
	"path/filepath"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/encoder"
)

// keptNewestSnapshots is how many of the newest snapshots are kept together
// with the log after them, so that a replica whose newest snapshot is damaged
// can start from the previous one.
const keptNewestSnapshots = 2

// maxMiddleSnapshots is how many snapshots are kept between the oldest and the
// newest ones, as points at which a shorter history can begin.
const maxMiddleSnapshots = 8

// historyFloor records the segment with which the retained history begins. It is
// made durable before older segments are removed, so that a reader can
// distinguish segments that retention removed from segments that are missing for
// any other reason.
type historyFloor struct {
	Sequence uint64
	// Base is the index of the snapshot that replaces the removed entries.
	Base uint64
}

const floorFile = "HistoryFloor"

// readFloor returns the folder's history floor, or that of a complete history if
// none was written.
func readFloor(folder string) (historyFloor, error) {
	historyFloor := historyFloor{Sequence: 1}
	data, err := os.ReadFile(filepath.Join(folder, floorFile))
	if errors.Is(err, os.ErrNotExist) {
		return historyFloor, nil
	}
	if err != nil {
		return historyFloor, eris.Wrap(err, "read the history floor")
	}
	payload, _, err := noSalt.readFrame(data)
	if err != nil {
		return historyFloor, eris.Wrap(err, "history floor")
	}
	return historyFloor, encoder.Unmarshal(payload, &historyFloor)
}

func (journal *Journal) writeFloor(historyFloor historyFloor) error {
	payload, err := encoder.Marshal(historyFloor)
	if err != nil {
		return err
	}
	frame, err := noSalt.appendFrame(nil, payload)
	if err != nil {
		return err
	}
	return writeFile(filepath.Join(journal.config.Folder, floorFile), frame, journal.config)
}

// applyRetention removes the segments whose retention has passed and whose
// entries are all covered by a snapshot that is kept.
func (journal *Journal) applyRetention() error {
	segments, err := listSegments(journal.config.Folder)
	if err != nil {
		return err
	}
	snapshots, err := listSnapshots(journal.config.Folder)
	if err != nil || len(snapshots) < keptNewestSnapshots {
		return err
	}
	firstRetained, baseSnapshot := journal.chooseHistoryStart(segments, snapshots[:len(snapshots)-keptNewestSnapshots+1])
	if firstRetained > 0 {
		if err := journal.writeFloor(historyFloor{Sequence: segments[firstRetained].sequence, Base: snapshots[baseSnapshot].index}); err != nil {
			return err
		}
		for _, segment := range segments[:firstRetained] {
			if err := os.Remove(segment.path); err != nil {
				return eris.Wrap(err, "remove a segment past its retention")
			}
		}
		snapshots, err = removeSnapshots(snapshots, 0, baseSnapshot)
		if err != nil {
			return err
		}
	}
	return thinSnapshots(snapshots, segments[firstRetained:])
}

// chooseHistoryStart returns the positions of the first segment to retain and
// of the snapshot that the history then continues from. The age limit removes
// only segments that are too old; the size limit removes as many as necessary.
func (journal *Journal) chooseHistoryStart(segments []segment, snapshots []snapshotFile) (int, int) {
	expired, excess := journal.countRemovable(segments)
	firstRetained, baseSnapshot := 0, 0
	for i, snapshot := range snapshots {
		firstNeeded := firstNeededSegment(segments, snapshot.index)
		if firstNeeded > firstRetained && (firstNeeded <= expired || firstRetained < excess) {
			firstRetained, baseSnapshot = firstNeeded, i
		}
	}
	return firstRetained, baseSnapshot
}

// countRemovable returns how many segments at the front exceed the age limit,
// and how many must be removed for the rest to fit the size limit. The open
// segment is never counted.
func (journal *Journal) countRemovable(segments []segment) (int, int) {
	total := int64(0)
	for _, segment := range segments {
		total += segment.size
	}
	expired, excess := 0, 0
	now := journal.config.Now()
	for i := range max(0, len(segments)-1) {
		if journal.config.RetainAge > 0 && expired == i && now.Sub(segments[i].modifiedAt) > journal.config.RetainAge {
			expired = i + 1
		}
		if journal.config.RetainBytes > 0 && total > journal.config.RetainBytes {
			excess = i + 1
			total -= segments[i].size
		}
	}
	return expired, excess
}

func removeSnapshots(snapshots []snapshotFile, from, to int) ([]snapshotFile, error) {
	for _, snapshot := range snapshots[from:to] {
		if err := os.Remove(snapshot.path); err != nil {
			return nil, eris.Wrap(err, "remove old snapshot")
		}
	}
	return slices.Delete(snapshots, from, to), nil
}

// thinSnapshots removes every other middle snapshot until no more than
// maxMiddleSnapshots are left. An installed snapshot is kept as long as the
// segment whose header names it.
func thinSnapshots(snapshots []snapshotFile, segments []segment) error {
	for len(snapshots) > maxMiddleSnapshots+keptNewestSnapshots+1 {
		removed := false
		for i := 1; i < len(snapshots)-keptNewestSnapshots; i++ {
			if installedIn(segments, snapshots[i].index) {
				continue
			}
			remaining, err := removeSnapshots(snapshots, i, i+1)
			if err != nil {
				return err
			}
			snapshots, removed = remaining, true
		}
		if !removed {
			return nil
		}
	}
	return nil
}

func installedIn(segments []segment, index uint64) bool {
	return slices.ContainsFunc(segments, func(segment segment) bool { return segment.header.Installed == index })
}
