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

// config makes nothing durable: the tests cut and damage the files themselves.
func config(folder string) journaler.Config {
	return journaler.Config{Folder: folder, Cell: cell, Replica: replica, SegmentBytes: 1 << 20, Sync: func(*os.File) error { return nil }}
}

// chainOf makes entries that chain behind the place.
func chainOf(before journaler.Chain, from, term uint64, count int) []journaler.Entry {
	var entries []journaler.Entry
	for at := range count {
		entry := journaler.Entry{Index: from + uint64(at), Term: term, Kind: journaler.EntryCommand, Data: []byte{byte(term), byte(at)}}
		entry.Chain = entry.Link(before)
		before = entry.Chain
		entries = append(entries, entry)
	}
	return entries
}

func snapshotOf(entry journaler.Entry) *journaler.Snapshot {
	return &journaler.Snapshot{Index: entry.Index, Term: entry.Term, Chain: entry.Chain, Members: []journaler.Member{{ID: replica, Voter: true}}, Data: []byte("state")}
}

func open(c *qt.C, folder string) (*journaler.Journal, *journaler.Recovered) {
	journal, recovered, err := journaler.Open(config(folder))
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

func TestTornTailIsCutAtTheLastWholeBatch(t *testing.T) {
	c := qt.New(t)
	folder, cut := t.TempDir(), filepath.Join(t.TempDir(), "cut")
	journal, _ := open(c, folder)
	entries := chainOf(journaler.Chain{}, 1, 1, 6)
	path := lastSegment(c, folder)
	var ends []int64
	for at := 0; at < len(entries); at += 2 {
		info, err := os.Stat(path)
		c.Assert(err, qt.IsNil)
		ends = append(ends, info.Size())
		c.Assert(journal.Save(journaler.HardState{Term: 1, Commit: uint64(at)}, entries[at:at+2]), qt.IsNil)
	}
	whole, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	for size := range len(whole) + 1 {
		copyFolder(c, folder, cut)
		c.Assert(os.Truncate(filepath.Join(cut, filepath.Base(path)), int64(size)), qt.IsNil)
		journal, recovered, err := journaler.Open(config(cut))
		c.Assert(err, qt.IsNil, qt.Commentf("cut at byte %d of %d", size, len(whole)))
		want := 0
		for _, end := range ends[1:] {
			if int64(size) >= end {
				want += 2
			}
		}
		if size == len(whole) {
			want = len(entries)
		}
		c.Assert(recovered.Entries, qt.HasLen, want, qt.Commentf("cut at byte %d", size))
		// What was cut off can be written anew and is read back.
		c.Assert(journal.Save(journaler.HardState{Term: 2}, entries[want:]), qt.IsNil)
		c.Assert(journal.Close(), qt.IsNil)
		_, recovered = open(c, cut)
		c.Assert(recovered.Entries, qt.DeepEquals, entries)
		c.Assert(recovered.HardState.Term, qt.Equals, uint64(2))
	}
}

func TestCorruptMiddleIsRefused(t *testing.T) {
	c := qt.New(t)
	folder, bad := t.TempDir(), filepath.Join(t.TempDir(), "bad")
	journal, _ := open(c, folder)
	entries := chainOf(journaler.Chain{}, 1, 1, 6)
	path := lastSegment(c, folder)
	c.Assert(journal.Save(journaler.HardState{Term: 1}, entries[:3]), qt.IsNil)
	info, err := os.Stat(path)
	c.Assert(err, qt.IsNil)
	c.Assert(journal.Save(journaler.HardState{Term: 1}, entries[3:]), qt.IsNil)
	whole, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	for at := range info.Size() {
		copyFolder(c, folder, bad)
		damaged := slices.Clone(whole)
		damaged[at] ^= 0x40
		c.Assert(os.WriteFile(filepath.Join(bad, filepath.Base(path)), damaged, 0o600), qt.IsNil)
		_, _, err := journaler.Open(config(bad))
		c.Assert(err, qt.ErrorMatches, "(?s).*segment.*byte.*", qt.Commentf("byte %d", at))
	}
}

// TestEntryThatDoesNotChainIsRefused saves an entry whose frame is whole and
// whose chain is not that of the log.
func TestEntryThatDoesNotChainIsRefused(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	journal, _ := open(c, folder)
	entries := chainOf(journaler.Chain{}, 1, 1, 3)
	entries[1].Data = []byte("edited")
	c.Assert(journal.Save(journaler.HardState{Term: 1, Commit: 3}, entries), qt.IsNil)
	_, _, err := journaler.Open(config(folder))
	c.Check(err, qt.ErrorMatches, "(?s).*entry 2 does not match the chain.*")
}

// TestTornBatchWithAFrameInItsPayload lets a caller's payload look like a whole
// frame, copied from a segment: the torn batch that holds it is still cut.
func TestTornBatchWithAFrameInItsPayload(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	journal, _ := open(c, folder)
	frames, err := os.ReadFile(lastSegment(c, folder))
	c.Assert(err, qt.IsNil)
	entry := journaler.Entry{Index: 1, Term: 1, Kind: journaler.EntryCommand, Data: append(frames, make([]byte, 100)...)}
	entry.Chain = entry.Link(journaler.Chain{})
	c.Assert(journal.Close(), qt.IsNil)
	journal, _ = open(c, folder)
	c.Assert(journal.Save(journaler.HardState{Term: 1}, []journaler.Entry{entry}), qt.IsNil)
	path := lastSegment(c, folder)
	info, err := os.Stat(path)
	c.Assert(err, qt.IsNil)
	c.Assert(os.Truncate(path, info.Size()-1), qt.IsNil)
	_, recovered, err := journaler.Open(config(folder))
	c.Assert(err, qt.IsNil)
	c.Check(recovered.Entries, qt.HasLen, 0)
	c.Check(recovered.TornBytes > 0, qt.IsTrue)
}

func TestNothingIsWrittenAfterAFailure(t *testing.T) {
	for _, failure := range []error{syscall.EIO, syscall.ENOSPC} {
		c := qt.New(t)
		folder := t.TempDir()
		failing := false
		settings := config(folder)
		settings.Sync = func(*os.File) error {
			if failing {
				return failure
			}
			return nil
		}
		journal, _, err := journaler.Open(settings)
		c.Assert(err, qt.IsNil)
		entries := chainOf(journaler.Chain{}, 1, 1, 3)
		c.Assert(journal.Save(journaler.HardState{Term: 1}, entries[:1]), qt.IsNil)
		failing = true
		c.Check(errors.Is(journal.Save(journaler.HardState{Term: 1}, entries[1:2]), failure), qt.IsTrue)
		failing = false
		c.Check(errors.Is(journal.Save(journaler.HardState{Term: 1}, entries[2:]), failure), qt.IsTrue)
		c.Check(errors.Is(journal.Install(snapshotOf(entries[2])), failure), qt.IsTrue)
		_, recovered := open(c, folder)
		c.Check(len(recovered.Entries) <= 2, qt.IsTrue)
	}
}

// TestFullDiskIsATornTail lets the disk take only a part of each write, at
// every length, and demands that a start with room again finds all that Save
// has returned for.
func TestFullDiskIsATornTail(t *testing.T) {
	c := qt.New(t)
	for room := range 400 {
		folder := filepath.Join(t.TempDir(), "data")
		settings := config(folder)
		left := room
		settings.Write = func(file *os.File, data []byte) (int, error) {
			if len(data) <= left {
				left -= len(data)
				return file.Write(data)
			}
			count, _ := file.Write(data[:left])
			left = 0
			return count, syscall.ENOSPC
		}
		entries := chainOf(journaler.Chain{}, 1, 1, 4)
		saved := 0
		journal, _, err := journaler.Open(settings)
		for err == nil && saved < len(entries) {
			if err = journal.Save(journaler.HardState{Term: 1}, entries[saved:saved+1]); err == nil {
				saved++
			}
		}
		c.Assert(err == nil || errors.Is(err, syscall.ENOSPC), qt.IsTrue, qt.Commentf("%v", err))
		if err != nil {
			// Still no room: starting is refused, and does no harm.
			_, _, err = journaler.Open(settings)
			c.Assert(errors.Is(err, syscall.ENOSPC), qt.IsTrue, qt.Commentf("%v", err))
		}
		_, recovered := open(c, folder)
		c.Assert(recovered.Entries, qt.DeepEquals, append([]journaler.Entry(nil), entries[:saved]...), qt.Commentf("room %d", room))
	}
}

func TestCrashWhileASnapshotIsWritten(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	journal, _ := open(c, folder)
	entries := chainOf(journaler.Chain{}, 1, 1, 6)
	c.Assert(journal.Save(journaler.HardState{Term: 1, Commit: 6}, entries), qt.IsNil)
	c.Assert(journal.SaveSnapshot(snapshotOf(entries[2])), qt.IsNil)
	// The content is there, whole or not, but was not renamed.
	for _, content := range [][]byte{nil, []byte("half")} {
		c.Assert(os.WriteFile(filepath.Join(folder, "00000000000000000005-00000000000000000001.snapshot.new"), content, 0o600), qt.IsNil)
		_, recovered := open(c, folder)
		c.Check(recovered.Snapshot.Index, qt.Equals, uint64(3))
		c.Check(recovered.Entries, qt.DeepEquals, entries[3:])
	}
	c.Assert(journal.SaveSnapshot(snapshotOf(entries[4])), qt.IsNil)
	_, recovered := open(c, folder)
	c.Check(recovered.Snapshot.Index, qt.Equals, uint64(5))
	c.Check(recovered.Entries, qt.DeepEquals, entries[5:])
}

// TestInstalledSnapshotOverrulesOwnEntries installs a leader's snapshot over
// entries of this replica's own that go beyond it and conflict with it.
func TestInstalledSnapshotOverrulesOwnEntries(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	journal, _ := open(c, folder)
	common := chainOf(journaler.Chain{}, 1, 1, 2)
	stale := chainOf(common[1].Chain, 3, 1, 5)
	right := chainOf(common[1].Chain, 3, 2, 4)
	c.Assert(journal.Save(journaler.HardState{Term: 1, Commit: 2}, append(slices.Clone(common), stale...)), qt.IsNil)
	c.Assert(journal.Install(snapshotOf(right[1])), qt.IsNil)
	journal, recovered := open(c, folder)
	c.Check(recovered.Entries, qt.HasLen, 0)
	c.Check(recovered.Snapshot.Index, qt.Equals, uint64(4))
	c.Assert(journal.Save(journaler.HardState{Term: 2, Commit: 4}, right[2:]), qt.IsNil)
	_, recovered = open(c, folder)
	c.Check(recovered.Entries, qt.DeepEquals, right[2:])
}

// TestRecoveryMatchesAPlainLog saves, replaces, snapshots, installs and starts
// anew over many small segments, and compares with a log in memory.
func TestRecoveryMatchesAPlainLog(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		folder, err := os.MkdirTemp("", "journal-")
		must(rt, err)
		defer func() { _ = os.RemoveAll(folder) }()
		settings := config(folder)
		settings.SegmentBytes = int64(rapid.IntRange(1, 600).Draw(rt, "segment"))
		journal, _, err := journaler.Open(settings)
		must(rt, err)
		model := &model{}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			switch action := rapid.IntRange(0, 9).Draw(rt, "action"); {
			case action < 6:
				hard, entries := model.draw(rt)
				must(rt, journal.Save(hard, entries))
			case action < 7 && model.hard.Commit > model.base():
				model.take(snapshotOf(model.entry(model.hard.Commit)))
				must(rt, journal.SaveSnapshot(model.snapshot))
			case action < 8:
				model.install(rapid.IntRange(1, 5).Draw(rt, "ahead"))
				must(rt, journal.Install(model.snapshot))
				must(rt, journal.Save(model.hard, nil))
			default:
				must(rt, journal.Close())
				var recovered *journaler.Recovered
				journal, recovered, err = journaler.Open(settings)
				must(rt, err)
				model.check(rt, recovered)
			}
		}
	})
}

func must(t *rapid.T, err error) {
	if err != nil {
		t.Fatalf("%+v", err)
	}
}

// model is a log in memory.
type model struct {
	hard     journaler.HardState
	snapshot *journaler.Snapshot
	entries  []journaler.Entry
}

func (model *model) base() uint64 {
	if model.snapshot == nil {
		return 0
	}
	return model.snapshot.Index
}

func (model *model) last() uint64 { return model.base() + uint64(len(model.entries)) }

func (model *model) entry(index uint64) journaler.Entry { return model.entries[index-model.base()-1] }

func (model *model) chain(index uint64) journaler.Chain {
	switch {
	case index > model.base():
		return model.entry(index).Chain
	case model.snapshot != nil:
		return model.snapshot.Chain
	}
	return journaler.Chain{}
}

func (model *model) check(t *rapid.T, recovered *journaler.Recovered) {
	if recovered.HardState != model.hard {
		t.Fatalf("hard state %+v instead of %+v", recovered.HardState, model.hard)
	}
	if !slices.EqualFunc(recovered.Entries, model.entries, sameEntry) {
		t.Fatalf("entries %+v instead of %+v", recovered.Entries, model.entries)
	}
}

func sameEntry(left, right journaler.Entry) bool {
	return left.Index == right.Index && left.Term == right.Term && left.Chain == right.Chain
}

// draw makes a batch that goes on from, or replaces, what is not committed.
func (model *model) draw(t *rapid.T) (journaler.HardState, []journaler.Entry) {
	from := uint64(rapid.IntRange(int(model.hard.Commit), int(model.last())).Draw(t, "from")) + 1
	model.hard.Term++
	entries := chainOf(model.chain(from-1), from, model.hard.Term, rapid.IntRange(0, 4).Draw(t, "count"))
	if len(entries) > 0 {
		model.entries = append(slices.Clone(model.entries[:from-model.base()-1]), entries...)
	}
	model.hard.Commit = uint64(rapid.IntRange(int(model.hard.Commit), int(model.last())).Draw(t, "commit"))
	return model.hard, entries
}

func (model *model) take(snapshot *journaler.Snapshot) {
	model.entries = slices.Clone(model.entries[snapshot.Index-model.base():])
	model.snapshot = snapshot
}

func (model *model) install(ahead int) {
	model.hard.Term++
	from := model.hard.Commit + 1
	entries := chainOf(model.chain(from-1), from, model.hard.Term, ahead)
	model.snapshot = snapshotOf(entries[ahead-1])
	model.entries = nil
	model.hard.Commit = model.snapshot.Index
}

// TestWhatIsReadBackIsDurable kills the process between a write and its sync,
// starts it again, and loses power after more was saved: what the second
// process read and built upon must be on the disk by then.
func TestWhatIsReadBackIsDurable(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	durable := make(map[string]int64)
	syncing := true
	settings := config(folder)
	settings.Sync = func(file *os.File) error {
		info, err := file.Stat()
		if syncing && err == nil && !info.IsDir() {
			durable[file.Name()] = info.Size()
		}
		return err
	}
	entries := chainOf(journaler.Chain{}, 1, 1, 3)
	first, _, err := journaler.Open(settings)
	c.Assert(err, qt.IsNil)
	c.Assert(first.Save(journaler.HardState{Term: 1}, entries[:1]), qt.IsNil)
	syncing = false
	c.Assert(first.Save(journaler.HardState{Term: 1}, entries[1:2]), qt.IsNil)
	syncing = true

	second, recovered, err := journaler.Open(settings)
	c.Assert(err, qt.IsNil)
	c.Assert(recovered.Entries, qt.HasLen, 2)
	c.Assert(second.Save(journaler.HardState{Term: 1}, entries[2:]), qt.IsNil)
	paths, err := journaler.Segments(folder)
	c.Assert(err, qt.IsNil)
	for _, path := range paths {
		c.Assert(os.Truncate(path, durable[path]), qt.IsNil)
	}

	_, recovered, err = journaler.Open(settings)
	c.Assert(err, qt.IsNil)
	c.Check(recovered.Entries, qt.HasLen, 3)
}
