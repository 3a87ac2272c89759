package journaler

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/encoder"
)

// Format is the version of the file format that this release reads and writes.
const Format = 1

// Permissions of the journal's files and folder: only the owner may read them,
// since they contain the payloads of jobs.
const (
	filePermission   = 0o600
	folderPermission = 0o700
)

// Config configures a Journal.
type Config struct {
	// Folder is created if it does not exist.
	Folder  string
	Cell    string
	Replica ReplicaID
	// SegmentBytes is the size of a segment, in bytes, from which on a new one is
	// started.
	SegmentBytes int64
	// Sync makes a file's content durable; nil means (*os.File).Sync. Tests set it
	// to inject failures.
	Sync func(*os.File) error
	// Write writes to a segment or snapshot; nil means (*os.File).Write. Tests set
	// it to simulate a full disk.
	Write func(*os.File, []byte) (int, error)
	// RetainBytes and RetainAge limit the size and the age of the history that is
	// retained before the newest snapshots; zero means no limit.
	RetainBytes int64
	RetainAge   time.Duration
	// Now is the clock by which the age of segments is determined; nil means
	// time.Now.
	Now func() time.Time
}

// Recovered is the content of a journal when it was opened.
type Recovered struct {
	HardState HardState
	// Snapshot is the newest snapshot, or nil if there is none.
	Snapshot *Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
	// TornBytes is the number of bytes removed after the last whole batch.
	TornBytes int64
}

// Journal appends to a replica's files. Its methods must be called by one
// goroutine at a time, except that SaveSnapshot may run concurrently with Save.
type Journal struct {
	config      Config
	segmentFile *os.File
	segmentSize int64
	hardState   HardState
	// nextIndex is the index after that of the last entry.
	nextIndex uint64
	// failure is the error of the first write or sync that failed; nothing is
	// written after that, since the file's content is no longer known.
	failure error
	// salt is the salt of the open segment.
	salt salt
	// snapshotMutex serialises changes to the set of snapshots.
	snapshotMutex sync.Mutex
}

// Open recovers the content of the folder and starts a new segment to append
// to. It fails if the files are damaged anywhere but at the end.
func Open(config Config) (*Journal, *Recovered, error) {
	config = config.withDefaults()
	if err := os.MkdirAll(config.Folder, folderPermission); err != nil {
		return nil, nil, eris.Wrapf(err, "create data folder %s", config.Folder)
	}
	if err := removeTemporaryFiles(config.Folder); err != nil {
		return nil, nil, err
	}
	snapshot, err := newestSnapshot(config.Folder)
	if err != nil {
		return nil, nil, err
	}
	recovery := newRecovery(config, snapshot)
	if err := recovery.run(); err != nil {
		return nil, nil, err
	}
	journal := &Journal{config: config, hardState: recovery.result.HardState, nextIndex: recovery.nextIndex()}
	installedIndex := uint64(0)
	if !recovery.contiguous {
		installedIndex = snapshot.Index
	}
	if err := journal.startSegment(installedIndex); err != nil {
		return nil, nil, errors.Join(err, journal.closeSegment())
	}
	return journal, &recovery.result, nil
}

func (config Config) withDefaults() Config {
	if config.Sync == nil {
		config.Sync = (*os.File).Sync
	}
	if config.Write == nil {
		config.Write = (*os.File).Write
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	return config
}

// Save appends a batch and returns once it is durable. An entry whose index is
// already in the log replaces the entry there and all later ones.
func (journal *Journal) Save(hardState HardState, entries []Entry) error {
	if journal.failure != nil {
		return journal.failure
	}
	payload, err := encoder.Marshal(Batch{HardState: hardState, Entries: entries})
	if err != nil {
		return err
	}
	if err := journal.writePayload(payload); err != nil {
		journal.failure = err
		return err
	}
	journal.hardState = hardState
	if len(entries) > 0 {
		journal.nextIndex = entries[len(entries)-1].Index + 1
	}
	if journal.segmentSize >= journal.config.SegmentBytes {
		return journal.rotate()
	}
	return nil
}

func (journal *Journal) writePayload(payload []byte) error {
	frame, err := journal.salt.appendFrame(make([]byte, 0, len(payload)+frameHeaderBytes), payload)
	if err != nil {
		return err
	}
	return journal.writeAndSync(frame)
}

func (journal *Journal) writeAndSync(frame []byte) error {
	if _, err := journal.config.Write(journal.segmentFile, frame); err != nil {
		return eris.Wrapf(err, "write segment %s", journal.segmentFile.Name())
	}
	if err := journal.config.Sync(journal.segmentFile); err != nil {
		return eris.Wrapf(err, "sync segment %s", journal.segmentFile.Name())
	}
	journal.segmentSize += int64(len(frame))
	return nil
}

// Install durably replaces all entries by a leader's snapshot. It first starts
// a segment whose header names the snapshot: if a crash left only the snapshot,
// recovery could read this replica's own conflicting entries as its
// continuation.
func (journal *Journal) Install(snapshot *Snapshot) error {
	if journal.failure != nil {
		return journal.failure
	}
	journal.nextIndex = snapshot.Index + 1
	if err := journal.startSegment(snapshot.Index); err != nil {
		return err
	}
	return journal.SaveSnapshot(snapshot)
}

// rotate starts a new segment that continues the log.
func (journal *Journal) rotate() error { return journal.startSegment(0) }

func (journal *Journal) startSegment(installedIndex uint64) error {
	if err := journal.createSegment(installedIndex); err != nil {
		journal.failure = err
		return err
	}
	return nil
}

func (journal *Journal) createSegment(installedIndex uint64) error {
	if err := journal.closeSegment(); err != nil {
		return err
	}
	sequence, err := nextSequence(journal.config.Folder)
	if err != nil {
		return err
	}
	path := segmentPath(journal.config.Folder, sequence)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, filePermission)
	if err != nil {
		return eris.Wrapf(err, "create segment %s", path)
	}
	journal.segmentFile = file
	journal.segmentSize = 0
	header := Header{
		Format:    Format,
		Cell:      journal.config.Cell,
		Replica:   journal.config.Replica,
		NextIndex: journal.nextIndex,
		HardState: journal.hardState,
		Installed: installedIndex,
	}
	payload, err := encoder.Marshal(header)
	if err != nil {
		return err
	}
	journal.salt = salt(rand.Uint64())
	frame, err := journal.salt.appendFrame(journal.salt.preamble(), payload)
	if err != nil {
		return err
	}
	if err := journal.writeAndSync(frame); err != nil {
		return err
	}
	return journal.syncFolder()
}

func (journal *Journal) syncFolder() error {
	return syncFolder(journal.config.Folder, journal.config.Sync)
}

func syncFolder(path string, sync func(*os.File) error) error {
	folder, err := os.Open(path)
	if err != nil {
		return eris.Wrapf(err, "open folder %s", path)
	}
	err = errors.Join(sync(folder), folder.Close())
	return eris.Wrapf(err, "sync folder %s", path)
}

// Close closes the open segment.
func (journal *Journal) Close() error { return journal.closeSegment() }

// closeSegment closes the open segment, if there is one.
func (journal *Journal) closeSegment() error {
	if journal.segmentFile == nil {
		return nil
	}
	return eris.Wrap(journal.segmentFile.Close(), "close segment")
}

// WriteFile durably and atomically replaces a small file in the config's folder, with
// its Write and Sync: readers see either the old content or the new.
func WriteFile(config Config, name string, content []byte) error {
	return writeFile(filepath.Join(config.Folder, name), content, config.withDefaults())
}

// temporarySuffix is the suffix of a file whose writing is not finished.
const temporarySuffix = ".new"

// removeTemporaryFiles removes what a crash left of files that were being written. On a
// full disk, their space may be all that the log needs.
func removeTemporaryFiles(folder string) error {
	paths, err := filesWithSuffix(folder, temporarySuffix)
	if err != nil {
		return err
	}
	for _, path := range paths {
		if err := os.Remove(path); err != nil {
			return eris.Wrap(err, "remove an unfinished file")
		}
	}
	return nil
}

func writeFile(path string, content []byte, config Config) error {
	temporaryPath := path + temporarySuffix
	file, err := os.OpenFile(temporaryPath, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, filePermission)
	if err != nil {
		return eris.Wrapf(err, "create %s", temporaryPath)
	}
	_, err = config.Write(file, content)
	if err == nil {
		err = config.Sync(file)
	}
	if err := errors.Join(err, file.Close()); err != nil {
		return eris.Wrapf(errors.Join(err, os.Remove(temporaryPath)), "write %s", temporaryPath)
	}
	if err := os.Rename(temporaryPath, path); err != nil {
		return eris.Wrapf(errors.Join(err, os.Remove(temporaryPath)), "rename %s", temporaryPath)
	}
	return syncFolder(filepath.Dir(path), config.Sync)
}
