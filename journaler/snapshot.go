package journaler

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/encoder"
)

func snapshotPath(folder string, snapshot *Snapshot) string {
	return filepath.Join(folder, fmt.Sprintf("%020d-%020d%s", snapshot.Index, snapshot.Term, snapshotSuffix))
}

// SaveSnapshot writes a snapshot durably and removes the history whose
// retention has passed.
func (journal *Journal) SaveSnapshot(snapshot *Snapshot) error {
	journal.snapshotMutex.Lock()
	defer journal.snapshotMutex.Unlock()
	payload, err := encoder.Marshal(snapshot)
	if err != nil {
		return err
	}
	frame, err := noSalt.appendFrame(nil, payload)
	if err != nil {
		return err
	}
	if err := writeFile(snapshotPath(journal.config.Folder, snapshot), frame, journal.config); err != nil {
		return err
	}
	return journal.applyRetention()
}

// snapshotFile is the path of a snapshot and the index in its file name.
type snapshotFile struct {
	path  string
	index uint64
}

// listSnapshots returns a folder's snapshots, oldest first.
func listSnapshots(folder string) ([]snapshotFile, error) {
	paths, err := filesWithSuffix(folder, snapshotSuffix)
	if err != nil {
		return nil, err
	}
	var found []snapshotFile
	for _, path := range paths {
		file := snapshotFile{path: path}
		name := strings.TrimSuffix(filepath.Base(path), snapshotSuffix)
		if _, err := fmt.Sscanf(name, "%d-", &file.index); err != nil {
			return nil, eris.Wrapf(err, "snapshot name %s", path)
		}
		found = append(found, file)
	}
	return found, nil
}

// newestSnapshot returns the newest snapshot, or nil if there is none. A damaged
// one is an error: the state it held cannot be restored from the log.
func newestSnapshot(folder string) (*Snapshot, error) {
	files, err := listSnapshots(folder)
	if err != nil || len(files) == 0 {
		return nil, err
	}
	return ReadSnapshot(files[len(files)-1].path)
}

// ReadSnapshot reads a snapshot file.
func ReadSnapshot(path string) (*Snapshot, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read snapshot")
	}
	snapshot, err := DecodeSnapshot(data)
	return snapshot, eris.Wrapf(err, "snapshot %s", path)
}

// DecodeSnapshot reads the content of a snapshot file.
func DecodeSnapshot(data []byte) (*Snapshot, error) {
	payload, size, err := noSalt.readFrame(data)
	if err != nil {
		return nil, err
	}
	if size != len(data) {
		return nil, eris.Errorf("%d bytes follow the snapshot", len(data)-size)
	}
	snapshot := &Snapshot{}
	return snapshot, encoder.Unmarshal(payload, snapshot)
}

// FindSnapshot returns the snapshot whose Index is the given one.
func FindSnapshot(folder string, index uint64) (*Snapshot, error) {
	files, err := listSnapshots(folder)
	if err != nil {
		return nil, err
	}
	for _, file := range files {
		if file.index == index {
			return ReadSnapshot(file.path)
		}
	}
	return nil, eris.Errorf("no snapshot at index %d", index)
}

// LastCommitted returns the highest index that the folder's files record as
// committed, and the cell that they belong to.
func LastCommitted(folder string) (uint64, string, error) {
	paths, err := Segments(folder)
	if err != nil {
		return 0, "", err
	}
	last, cell := uint64(0), ""
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return 0, "", eris.Wrap(err, "read segment")
		}
		header, size, _ := ReadSegment(data, func(batch Batch) error {
			last = max(last, batch.HardState.Commit)
			return nil
		})
		if size == 0 {
			continue
		}
		cell = header.Cell
		last = max(last, header.HardState.Commit)
	}
	files, err := listSnapshots(folder)
	if err != nil {
		return 0, "", err
	}
	for _, file := range files {
		last = max(last, file.index)
	}
	return last, cell, nil
}
