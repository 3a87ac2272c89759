package journaler_test

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelrill/dotterelrill/journaler"
)

const (
	cell    = "test"
	replica = journaler.ReplicaID("r")
)

// testConfig returns a configuration that syncs nothing: the tests truncate and
// damage the files themselves.
func testConfig(folder string) journaler.Config {
	return journaler.Config{Folder: folder, Cell: cell, Replica: replica, SegmentBytes: 1 << 20, Sync: func(*os.File) error { return nil }}
}

// makeEntries returns count entries of a term, from index from on, that continue
// the previous chain.
func makeEntries(previous journaler.Chain, from, term uint64, count int) []journaler.Entry {
	var entries []journaler.Entry
	for i := range count {
		entry := journaler.Entry{Index: from + uint64(i), Term: term, Kind: journaler.EntryCommand, Data: []byte{byte(term), byte(i)}}
		entry.Chain = entry.ChainAfter(previous)
		previous = entry.Chain
		entries = append(entries, entry)
	}
	return entries
}

func snapshotOf(entry journaler.Entry) *journaler.Snapshot {
	return &journaler.Snapshot{Index: entry.Index, Term: entry.Term, Chain: entry.Chain, Members: []journaler.Member{{ID: replica, Voter: true}}, Data: []byte("state")}
}

func openJournal(c *qt.C, folder string) (*journaler.Journal, *journaler.Recovered) {
	journal, recovered, err := journaler.Open(testConfig(folder))
	c.Assert(err, qt.IsNil)
	return journal, recovered
}

// copyFolder copies the files of a folder into a new one.
func copyFolder(c *qt.C, from, to string) {
	c.Assert(os.RemoveAll(to), qt.IsNil)
	c.Assert(os.MkdirAll(to, 0o700), qt.IsNil)
	files, err := os.ReadDir(from)
	c.Assert(err, qt.IsNil)
	for _, file := range files {
		data, err := os.ReadFile(filepath.Join(from, file.Name()))
		c.Assert(err, qt.IsNil)
		c.Assert(os.WriteFile(filepath.Join(to, file.Name()), data, 0o600), qt.IsNil)
	}
}

func lastSegment(c *qt.C, folder string) string {
	paths, err := journaler.Segments(folder)
	c.Assert(err, qt.IsNil)
	return paths[len(paths)-1]
}

func TestTornTailIsTruncatedToTheLastWholeBatch(t *testing.T) {
	c := qt.New(t)
	folder, truncated := t.TempDir(), filepath.Join(t.TempDir(), "cut")
	journal, _ := openJournal(c, folder)
	entries := makeEntries(journaler.Chain{}, 1, 1, 6)
	path := lastSegment(c, folder)
	var batchEnds []int64
	for i := 0; i < len(entries); i += 2 {
		info, err := os.Stat(path)
		c.Assert(err, qt.IsNil)
		batchEnds = append(batchEnds, info.Size())
		c.Assert(journal.Save(journaler.HardState{Term: 1, Commit: uint64(i)}, entries[i:i+2]), qt.IsNil)
	}
	whole, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	for size := range len(whole) + 1 {
		copyFolder(c, folder, truncated)
		c.Assert(os.Truncate(filepath.Join(truncated, filepath.Base(path)), int64(size)), qt.IsNil)
		journal, recovered, err := journaler.Open(testConfig(truncated))
		c.Assert(err, qt.IsNil, qt.Commentf("cut at byte %d of %d", size, len(whole)))
		want := 0
		for _, end := range batchEnds[1:] {
			if int64(size) >= end {
				want += 2
			}
		}
		if size == len(whole) {
			want = len(entries)
		}
		c.Assert(recovered.Entries, qt.HasLen, want, qt.Commentf("cut at byte %d", size))
		// The truncated entries can be saved again and are recovered.
		c.Assert(journal.Save(journaler.HardState{Term: 2}, entries[want:]), qt.IsNil)
		c.Assert(journal.Close(), qt.IsNil)
		_, recovered = openJournal(c, truncated)
		c.Assert(recovered.Entries, qt.DeepEquals, entries)
		c.Assert(recovered.HardState.Term, qt.Equals, uint64(2))
	}
}

func TestCorruptMiddleIsRejected(t *testing.T) {
	c := qt.New(t)
	folder, damagedFolder := t.TempDir(), filepath.Join(t.TempDir(), "bad")
	journal, _ := openJournal(c, folder)
	entries := makeEntries(journaler.Chain{}, 1, 1, 6)
	path := lastSegment(c, folder)
	c.Assert(journal.Save(journaler.HardState{Term: 1}, entries[:3]), qt.IsNil)
	info, err := os.Stat(path)
	c.Assert(err, qt.IsNil)
	c.Assert(journal.Save(journaler.HardState{Term: 1}, entries[3:]), qt.IsNil)
	whole, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	for offset := range info.Size() {
		copyFolder(c, folder, damagedFolder)
		damaged := slices.Clone(whole)
		damaged[offset] ^= 0x40
		c.Assert(os.WriteFile(filepath.Join(damagedFolder, filepath.Base(path)), damaged, 0o600), qt.IsNil)
		_, _, err := journaler.Open(testConfig(damagedFolder))
		c.Assert(err, qt.ErrorMatches, "(?s).*segment.*byte.*", qt.Commentf("byte %d", offset))
	}
}

// TestEntryWithWrongChainIsRejected saves an entry in an intact frame whose
// chain does not match its data.
func TestEntryWithWrongChainIsRejected(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	journal, _ := openJournal(c, folder)
	entries := makeEntries(journaler.Chain{}, 1, 1, 3)
	entries[1].Data = []byte("edited")
	c.Assert(journal.Save(journaler.HardState{Term: 1, Commit: 3}, entries), qt.IsNil)
	_, _, err := journaler.Open(testConfig(folder))
	c.Check(err, qt.ErrorMatches, "(?s).*entry 2 does not match the chain.*")
}

// TestTornBatchWithAFrameInItsPayload checks that a torn batch is still
// truncated if a caller's payload in it contains intact frames that were copied
// from a segment.
func TestTornBatchWithAFrameInItsPayload(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	journal, _ := openJournal(c, folder)
	frames, err := os.ReadFile(lastSegment(c, folder))
	c.Assert(err, qt.IsNil)
	entry := journaler.Entry{Index: 1, Term: 1, Kind: journaler.EntryCommand, Data: append(frames, make([]byte, 100)...)}
	entry.Chain = entry.ChainAfter(journaler.Chain{})
	c.Assert(journal.Close(), qt.IsNil)
	journal, _ = openJournal(c, folder)
	c.Assert(journal.Save(journaler.HardState{Term: 1}, []journaler.Entry{entry}), qt.IsNil)
	path := lastSegment(c, folder)
	info, err := os.Stat(path)
	c.Assert(err, qt.IsNil)
	c.Assert(os.Truncate(path, info.Size()-1), qt.IsNil)
	_, recovered, err := journaler.Open(testConfig(folder))
	c.Assert(err, qt.IsNil)
	c.Check(recovered.Entries, qt.HasLen, 0)
	c.Check(recovered.TornBytes > 0, qt.IsTrue)
}

func TestNothingIsWrittenAfterAFailure(t *testing.T) {
	for _, failure := range []error{syscall.EIO, syscall.ENOSPC} {
		c := qt.New(t)
		folder := t.TempDir()
		failing := false
		config := testConfig(folder)
		config.Sync = func(*os.File) error {
			if failing {
				return failure
			}
			return nil
		}
		journal, _, err := journaler.Open(config)
		c.Assert(err, qt.IsNil)
		entries := makeEntries(journaler.Chain{}, 1, 1, 3)
		c.Assert(journal.Save(journaler.HardState{Term: 1}, entries[:1]), qt.IsNil)
		failing = true
		c.Check(errors.Is(journal.Save(journaler.HardState{Term: 1}, entries[1:2]), failure), qt.IsTrue)
		failing = false
		c.Check(errors.Is(journal.Save(journaler.HardState{Term: 1}, entries[2:]), failure), qt.IsTrue)
		c.Check(errors.Is(journal.Install(snapshotOf(entries[2])), failure), qt.IsTrue)
		_, recovered := openJournal(c, folder)
		c.Check(len(recovered.Entries) <= 2, qt.IsTrue)
	}
}

// TestFullDiskIsATornTail limits the capacity of the disk to every size in turn,
// so that a write is cut at each possible length. Once there is space again, all
// entries for which Save succeeded must be recovered.
func TestFullDiskIsATornTail(t *testing.T) {
	c := qt.New(t)
	for capacity := range 400 {
		folder := filepath.Join(t.TempDir(), "data")
		config := testConfig(folder)
		remaining := capacity
		config.Write = func(file *os.File, data []byte) (int, error) {
			if len(data) <= remaining {
				remaining -= len(data)
				return file.Write(data)
			}
			count, _ := file.Write(data[:remaining])
			remaining = 0
			return count, syscall.ENOSPC
		}
		entries := makeEntries(journaler.Chain{}, 1, 1, 4)
		saved := 0
		journal, _, err := journaler.Open(config)
		for err == nil && saved < len(entries) {
			if err = journal.Save(journaler.HardState{Term: 1}, entries[saved:saved+1]); err == nil {
				saved++
			}
		}
		c.Assert(err == nil || errors.Is(err, syscall.ENOSPC), qt.IsTrue, qt.Commentf("%v", err))
		if err != nil {
			// The disk is still full: Open fails and damages nothing.
			_, _, err = journaler.Open(config)
			c.Assert(errors.Is(err, syscall.ENOSPC), qt.IsTrue, qt.Commentf("%v", err))
		}
		_, recovered := openJournal(c, folder)
		c.Assert(recovered.Entries, qt.DeepEquals, append([]journaler.Entry(nil), entries[:saved]...), qt.Commentf("capacity of %d bytes", capacity))
	}
}

// boundedDisk returns a Write that fails once the folder's files have the capacity in
// bytes, after the part of the data for which there is room.
func boundedDisk(c *qt.C, folder string, capacity int64) func(*os.File, []byte) (int, error) {
	return func(file *os.File, data []byte) (int, error) {
		files, err := os.ReadDir(folder)
		c.Assert(err, qt.IsNil)
		room := capacity
		for _, entry := range files {
			info, err := entry.Info()
			c.Assert(err, qt.IsNil)
			room -= info.Size()
		}
		if int64(len(data)) <= room {
			return file.Write(data)
		}
		count, _ := file.Write(data[:max(room, 0)])
		return count, syscall.ENOSPC
	}
}

// TestASnapshotThatDoesNotFitLeavesRoomForTheLog writes snapshots to a disk that is too
// small for them. What was written of them, now or before a crash, must not keep the
// replica from starting.
func TestASnapshotThatDoesNotFitLeavesRoomForTheLog(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	config := testConfig(folder)
	config.Write = boundedDisk(c, folder, 4000)
	journal, _, err := journaler.Open(config)
	c.Assert(err, qt.IsNil)
	entries := makeEntries(journaler.Chain{}, 1, 1, 6)
	c.Assert(journal.Save(journaler.HardState{Term: 1, Commit: 6}, entries), qt.IsNil)
	for _, entry := range entries[:3] {
		snapshot := snapshotOf(entry)
		snapshot.Data = make([]byte, 5000)
		c.Assert(errors.Is(journal.SaveSnapshot(snapshot), syscall.ENOSPC), qt.IsTrue)
		c.Assert(journal.Save(journaler.HardState{Term: 1, Commit: 6}, nil), qt.IsNil)
	}
	c.Assert(journal.Close(), qt.IsNil)
	crashed, err := os.Create(filepath.Join(folder, "00000000000000000005-00000000000000000001.snapshot.new"))
	c.Assert(err, qt.IsNil)
	_, err = config.Write(crashed, make([]byte, 5000))
	c.Assert(errors.Is(err, syscall.ENOSPC), qt.IsTrue)
	c.Assert(crashed.Close(), qt.IsNil)
	journal, recovered, err := journaler.Open(config)
	c.Assert(err, qt.IsNil)
	c.Check(recovered.Entries, qt.DeepEquals, entries)
	c.Assert(journal.Close(), qt.IsNil)
}

// TestAFailedOpenClosesItsSegment opens a journal on a full disk, as a replica does
// again and again until there is room.
func TestAFailedOpenClosesItsSegment(t *testing.T) {
	c := qt.New(t)
	config := testConfig(t.TempDir())
	var segment *os.File
	config.Write = func(file *os.File, _ []byte) (int, error) {
		segment = file
		return 0, syscall.ENOSPC
	}
	_, _, err := journaler.Open(config)
	c.Assert(errors.Is(err, syscall.ENOSPC), qt.IsTrue)
	c.Check(errors.Is(segment.Close(), os.ErrClosed), qt.IsTrue)
}

func TestCrashWhileASnapshotIsWritten(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	journal, _ := openJournal(c, folder)
	entries := makeEntries(journaler.Chain{}, 1, 1, 6)
	c.Assert(journal.Save(journaler.HardState{Term: 1, Commit: 6}, entries), qt.IsNil)
	c.Assert(journal.SaveSnapshot(snapshotOf(entries[2])), qt.IsNil)
	// The temporary file was written, empty or in part, but not renamed.
	for _, content := range [][]byte{nil, []byte("half")} {
		c.Assert(os.WriteFile(filepath.Join(folder, "00000000000000000005-00000000000000000001.snapshot.new"), content, 0o600), qt.IsNil)
		_, recovered := openJournal(c, folder)
		c.Check(recovered.Snapshot.Index, qt.Equals, uint64(3))
		c.Check(recovered.Entries, qt.DeepEquals, entries[3:])
	}
	c.Assert(journal.SaveSnapshot(snapshotOf(entries[4])), qt.IsNil)
	_, recovered := openJournal(c, folder)
	c.Check(recovered.Snapshot.Index, qt.Equals, uint64(5))
	c.Check(recovered.Entries, qt.DeepEquals, entries[5:])
}

// TestInstalledSnapshotReplacesConflictingEntries installs a leader's snapshot
// over uncommitted entries of the replica that conflict with the snapshot and
// extend beyond it.
func TestInstalledSnapshotReplacesConflictingEntries(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	journal, _ := openJournal(c, folder)
	common := makeEntries(journaler.Chain{}, 1, 1, 2)
	stale := makeEntries(common[1].Chain, 3, 1, 5)
	leaderEntries := makeEntries(common[1].Chain, 3, 2, 4)
	c.Assert(journal.Save(journaler.HardState{Term: 1, Commit: 2}, append(slices.Clone(common), stale...)), qt.IsNil)
	c.Assert(journal.Install(snapshotOf(leaderEntries[1])), qt.IsNil)
	journal, recovered := openJournal(c, folder)
	c.Check(recovered.Entries, qt.HasLen, 0)
	c.Check(recovered.Snapshot.Index, qt.Equals, uint64(4))
	c.Assert(journal.Save(journaler.HardState{Term: 2, Commit: 4}, leaderEntries[2:]), qt.IsNil)
	_, recovered = openJournal(c, folder)
	c.Check(recovered.Entries, qt.DeepEquals, leaderEntries[2:])
}

// TestRecoveryMatchesAnInMemoryLog saves and replaces entries, saves and
// installs snapshots and reopens the journal, over many small segments, and
// compares each recovery with a log in memory.
func TestRecoveryMatchesAnInMemoryLog(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		folder, err := os.MkdirTemp("", "journal-")
		must(rt, err)
		defer func() { _ = os.RemoveAll(folder) }()
		config := testConfig(folder)
		config.SegmentBytes = int64(rapid.IntRange(1, 600).Draw(rt, "segment"))
		journal, _, err := journaler.Open(config)
		must(rt, err)
		model := &model{}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			switch action := rapid.IntRange(0, 9).Draw(rt, "action"); {
			case action < 6:
				hardState, entries := model.drawBatch(rt)
				must(rt, journal.Save(hardState, entries))
			case action < 7 && model.hardState.Commit > model.baseIndex():
				model.applySnapshot(snapshotOf(model.entryAt(model.hardState.Commit)))
				must(rt, journal.SaveSnapshot(model.snapshot))
			case action < 8:
				model.install(rapid.IntRange(1, 5).Draw(rt, "ahead"))
				must(rt, journal.Install(model.snapshot))
				must(rt, journal.Save(model.hardState, nil))
			default:
				must(rt, journal.Close())
				var recovered *journaler.Recovered
				journal, recovered, err = journaler.Open(config)
				must(rt, err)
				model.checkRecovered(rt, recovered)
			}
		}
	})
}

func must(t *rapid.T, err error) {
	if err != nil {
		t.Fatalf("%+v", err)
	}
}

// model is the in-memory log with which the journal is compared.
type model struct {
	hardState journaler.HardState
	snapshot  *journaler.Snapshot
	entries   []journaler.Entry
}

func (model *model) baseIndex() uint64 {
	if model.snapshot == nil {
		return 0
	}
	return model.snapshot.Index
}

func (model *model) lastIndex() uint64 { return model.baseIndex() + uint64(len(model.entries)) }

func (model *model) entryAt(index uint64) journaler.Entry {
	return model.entries[index-model.baseIndex()-1]
}

func (model *model) chainAt(index uint64) journaler.Chain {
	switch {
	case index > model.baseIndex():
		return model.entryAt(index).Chain
	case model.snapshot != nil:
		return model.snapshot.Chain
	}
	return journaler.Chain{}
}

func (model *model) checkRecovered(t *rapid.T, recovered *journaler.Recovered) {
	if recovered.HardState != model.hardState {
		t.Fatalf("hard state %+v instead of %+v", recovered.HardState, model.hardState)
	}
	if !slices.EqualFunc(recovered.Entries, model.entries, sameEntry) {
		t.Fatalf("entries %+v instead of %+v", recovered.Entries, model.entries)
	}
}

func sameEntry(left, right journaler.Entry) bool {
	return left.Index == right.Index && left.Term == right.Term && left.Chain == right.Chain
}

// drawBatch makes a batch that extends or replaces the uncommitted entries.
func (model *model) drawBatch(t *rapid.T) (journaler.HardState, []journaler.Entry) {
	from := uint64(rapid.IntRange(int(model.hardState.Commit), int(model.lastIndex())).Draw(t, "from")) + 1
	model.hardState.Term++
	entries := makeEntries(model.chainAt(from-1), from, model.hardState.Term, rapid.IntRange(0, 4).Draw(t, "count"))
	if len(entries) > 0 {
		model.entries = append(slices.Clone(model.entries[:from-model.baseIndex()-1]), entries...)
	}
	model.hardState.Commit = uint64(rapid.IntRange(int(model.hardState.Commit), int(model.lastIndex())).Draw(t, "commit"))
	return model.hardState, entries
}

func (model *model) applySnapshot(snapshot *journaler.Snapshot) {
	model.entries = slices.Clone(model.entries[snapshot.Index-model.baseIndex():])
	model.snapshot = snapshot
}

func (model *model) install(ahead int) {
	model.hardState.Term++
	from := model.hardState.Commit + 1
	entries := makeEntries(model.chainAt(from-1), from, model.hardState.Term, ahead)
	model.snapshot = snapshotOf(entries[ahead-1])
	model.entries = nil
	model.hardState.Commit = model.snapshot.Index
}

// TestRecoveredEntriesAreDurable kills the process between a write and its sync,
// starts it again, and cuts the power after it has saved more: the entries that
// the second process recovered and continued from must be on disk by then.
func TestRecoveredEntriesAreDurable(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	durable := make(map[string]int64)
	syncing := true
	config := testConfig(folder)
	config.Sync = func(file *os.File) error {
		info, err := file.Stat()
		if syncing && err == nil && !info.IsDir() {
			durable[file.Name()] = info.Size()
		}
		return err
	}
	entries := makeEntries(journaler.Chain{}, 1, 1, 3)
	first, _, err := journaler.Open(config)
	c.Assert(err, qt.IsNil)
	c.Assert(first.Save(journaler.HardState{Term: 1}, entries[:1]), qt.IsNil)
	syncing = false
	c.Assert(first.Save(journaler.HardState{Term: 1}, entries[1:2]), qt.IsNil)
	syncing = true

	second, recovered, err := journaler.Open(config)
	c.Assert(err, qt.IsNil)
	c.Assert(recovered.Entries, qt.HasLen, 2)
	c.Assert(second.Save(journaler.HardState{Term: 1}, entries[2:]), qt.IsNil)
	paths, err := journaler.Segments(folder)
	c.Assert(err, qt.IsNil)
	for _, path := range paths {
		c.Assert(os.Truncate(path, durable[path]), qt.IsNil)
	}

	_, recovered, err = journaler.Open(config)
	c.Assert(err, qt.IsNil)
	c.Check(recovered.Entries, qt.HasLen, 3)
}
