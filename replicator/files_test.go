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
		world := newWorld(t, 0)
		world.folder = filepath.Join(folder, "run")
		defer func() {
			world.closeFiles()
			if err := os.RemoveAll(world.folder); err != nil {
				t.Fatalf("%v", err)
			}
		}()
		world.addInitialReplicas(3)
		runFaults(world)
	})
}

// files is a replica's journal. Unless room is negative, its writes fail after
// that many bytes.
type files struct {
	journal *journaler.Journal
	room    int
}

var errTornWrite = errors.New("the process was killed during a write")

func (files *files) writeUpToLimit(file *os.File, data []byte) (int, error) {
	if files.room < 0 || len(data) <= files.room {
		return file.Write(data)
	}
	count, _ := file.Write(data[:files.room])
	return count, errTornWrite
}

// openJournal opens a replica's journal and compares the recovered state with
// the saved one.
func (world *world) openJournal(replica *replica) *journaler.Recovered {
	disk := replica.disk
	recovered := &journaler.Recovered{HardState: disk.hard, Snapshot: disk.snapshot, Entries: slices.Clone(disk.entries)}
	if world.folder == "" {
		return recovered
	}
	if replica.files != nil {
		_ = replica.files.journal.Close()
	}
	replica.files = &files{room: -1}
	journal, recoveredFiles, err := journaler.Open(journaler.Config{
		Folder: filepath.Join(world.folder, string(replica.id)), Cell: cellName, Replica: replica.id, SegmentBytes: 700,
		RetainBytes: 4000,
		Sync:        func(*os.File) error { return nil },
		Write:       replica.files.writeUpToLimit,
	})
	if err != nil {
		world.t.Fatalf("%s does not start: %+v", replica.id, err)
	}
	replica.files.journal = journal
	sameHard := recoveredFiles.HardState.Term == disk.hard.Term && recoveredFiles.HardState.Vote == disk.hard.Vote
	sameEntries := slices.EqualFunc(recoveredFiles.Entries, disk.entries, func(left, right journaler.Entry) bool { return left.Chain == right.Chain })
	if !sameHard || !sameEntries || (recoveredFiles.Snapshot == nil) != (disk.snapshot == nil) || recoveredFiles.Snapshot != nil && recoveredFiles.Snapshot.Chain != disk.snapshot.Chain {
		world.t.Fatalf("%s read back %+v instead of %+v", replica.id, recoveredFiles, disk)
	}
	return recoveredFiles
}

// save saves a Core's state on the simulated disk, and in the journal if the
// replicas have files.
func (world *world) save(replica *replica, ready *replicator.Ready) {
	replica.disk.save(ready)
	if world.folder == "" {
		return
	}
	if err := saveFiles(replica.files.journal, ready); err != nil {
		world.t.Fatalf("%s: %+v", replica.id, err)
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
func (world *world) saveTorn(replica *replica, ready *replicator.Ready) {
	if world.folder == "" || !ready.MustSave || ready.Install != nil {
		return
	}
	replica.files.room = world.draw(60)
	if err := replica.files.journal.Save(ready.HardState, ready.Entries); err == nil {
		replica.disk.save(ready)
	}
}

func (world *world) closeFiles() {
	for _, id := range world.order {
		if files := world.replicas[id].files; files != nil && files.journal != nil {
			_ = files.journal.Close()
		}
	}
}
