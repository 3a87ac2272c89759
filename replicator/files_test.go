package replicator_test

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/dotterelrill/dotterelrill/journaler"
	"github.com/dotterelrill/dotterelrill/replicator"
)

// TestThreeReplicasAgreeOnRealFiles runs the same faults with a journal on disk
// for each replica. A crash during a save leaves a torn write, and a restart must
// recover exactly the saved state.
func TestThreeReplicasAgreeOnRealFiles(t *testing.T) {
	folder := t.TempDir()
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(t, 0)
		simulation.folder = filepath.Join(folder, "run")
		defer func() {
			simulation.closeFiles()
			if err := os.RemoveAll(simulation.folder); err != nil {
				t.Fatalf("%v", err)
			}
		}()
		simulation.addInitialReplicas(3)
		runFaults(simulation)
	})
}

// journalFiles is a replica's journal. Unless writeLimit is negative, a write
// longer than that many bytes fails after them.
type journalFiles struct {
	journal    *journaler.Journal
	writeLimit int
}

var errTornWrite = errors.New("the process was killed during a write")

func (journalFiles *journalFiles) writeUpToLimit(file *os.File, data []byte) (int, error) {
	if journalFiles.writeLimit < 0 || len(data) <= journalFiles.writeLimit {
		return file.Write(data)
	}
	count, _ := file.Write(data[:journalFiles.writeLimit])
	return count, errTornWrite
}

// openJournal opens a replica's journal and compares the recovered state with
// the saved one.
func (simulation *simulation) openJournal(replica *replica) *journaler.Recovered {
	disk := replica.disk
	recovered := &journaler.Recovered{HardState: disk.hardState, Snapshot: disk.snapshot, Entries: slices.Clone(disk.entries)}
	if simulation.folder == "" {
		return recovered
	}
	if replica.journalFiles != nil {
		_ = replica.journalFiles.journal.Close()
	}
	replica.journalFiles = &journalFiles{writeLimit: -1}
	journal, recoveredFiles, err := journaler.Open(journaler.Config{
		Folder: filepath.Join(simulation.folder, string(replica.id)), Cell: cellName, Replica: replica.id, SegmentBytes: 700,
		RetainBytes: 4000,
		Sync:        func(*os.File) error { return nil },
		Write:       replica.journalFiles.writeUpToLimit,
	})
	if err != nil {
		simulation.t.Fatalf("%s does not start: %+v", replica.id, err)
	}
	replica.journalFiles.journal = journal
	sameHardState := recoveredFiles.HardState.Term == disk.hardState.Term && recoveredFiles.HardState.Vote == disk.hardState.Vote
	sameEntries := slices.EqualFunc(recoveredFiles.Entries, disk.entries, func(left, right journaler.Entry) bool { return left.Chain == right.Chain })
	if !sameHardState || !sameEntries || (recoveredFiles.Snapshot == nil) != (disk.snapshot == nil) || recoveredFiles.Snapshot != nil && recoveredFiles.Snapshot.Chain != disk.snapshot.Chain {
		simulation.t.Fatalf("%s read back %+v instead of %+v", replica.id, recoveredFiles, disk)
	}
	return recoveredFiles
}

// save saves a Core's state on the simulated disk, and in the journal if the
// replicas have one.
func (simulation *simulation) save(replica *replica, ready *replicator.Ready) {
	replica.disk.save(ready)
	if simulation.folder == "" {
		return
	}
	if err := saveFiles(replica.journalFiles.journal, ready); err != nil {
		simulation.t.Fatalf("%s: %+v", replica.id, err)
	}
}

func saveFiles(journal *journaler.Journal, ready *replicator.Ready) error {
	if ready.Install != nil {
		if err := journal.Install(ready.Install); err != nil {
			return err
		}
	}
	if !ready.MustSave {
		return nil
	}
	return journal.Save(ready.HardState, ready.Entries)
}

// saveTorn saves a batch with a write that ends early, as when the process is
// killed.
func (simulation *simulation) saveTorn(replica *replica, ready *replicator.Ready) {
	if simulation.folder == "" || !ready.MustSave || ready.Install != nil {
		return
	}
	replica.journalFiles.writeLimit = simulation.draw(60)
	if err := replica.journalFiles.journal.Save(ready.HardState, ready.Entries); err == nil {
		replica.disk.save(ready)
	}
}

func (simulation *simulation) closeFiles() {
	for _, id := range simulation.ids {
		if journalFiles := simulation.replicas[id].journalFiles; journalFiles != nil && journalFiles.journal != nil {
			_ = journalFiles.journal.Close()
		}
	}
}
