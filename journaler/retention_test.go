package journaler_test

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelrill/dotterelrill/journaler"
)

// checkHistory checks that the retained history is complete: it extends from the
// oldest base snapshot, or from the first entry, to the last committed one.
func (model *model) checkHistory(t *rapid.T, folder string, all []journaler.Entry) {
	base, err := journaler.BaseSnapshot(folder)
	must(t, err)
	next := uint64(1)
	if base != nil {
		next = base.Index + 1
		if base.Chain != all[base.Index-1].Chain {
			t.Fatalf("the base snapshot at index %d is not of this log", base.Index)
		}
	}
	must(t, journaler.ReadHistory(folder, next, model.hardState.Commit, func(entry *journaler.Entry) error {
		if entry.Index != next || entry.Chain != all[next-1].Chain {
			t.Fatalf("got entry %d of term %d, want entry %d", entry.Index, entry.Term, next)
		}
		next++
		return nil
	}))
	if next != model.hardState.Commit+1 {
		t.Fatalf("the history ends before entry %d, with %d committed", next, model.hardState.Commit)
	}
}

func TestRetentionKeepsAWholeHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		folder, err := os.MkdirTemp("", "journal-")
		must(t, err)
		defer func() { _ = os.RemoveAll(folder) }()
		now := time.Now()
		config := testConfig(folder)
		config.SegmentBytes = int64(rapid.IntRange(1, 600).Draw(t, "segment"))
		config.RetainBytes = int64(rapid.IntRange(0, 4000).Draw(t, "bytes"))
		config.RetainAge = time.Duration(rapid.IntRange(0, 3).Draw(t, "age")) * time.Hour
		config.Now = func() time.Time { return now }
		journal, _, err := journaler.Open(config)
		must(t, err)
		model := &model{}
		// all is the whole log, including the entries that retention removed.
		var all []journaler.Entry
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
			case action < 6:
				hardState, entries := model.drawBatch(t)
				must(t, journal.Save(hardState, entries))
				if len(entries) > 0 {
					all = append(slices.Clone(all[:entries[0].Index-1]), entries...)
				}
			case action < 8 && model.hardState.Commit > model.baseIndex():
				model.applySnapshot(snapshotOf(model.entryAt(model.hardState.Commit)))
				must(t, journal.SaveSnapshot(model.snapshot))
			case action < 9:
				now = now.Add(time.Hour)
			default:
				must(t, journal.Close())
				var recovered *journaler.Recovered
				journal, recovered, err = journaler.Open(config)
				must(t, err)
				model.checkRecovered(t, recovered)
			}
			model.checkHistory(t, folder, all)
		}
	})
}

// fillSegments saves count entries, each in a segment of its own, with a
// snapshot after every third.
func fillSegments(c *qt.C, config journaler.Config, count int) []journaler.Entry {
	config.SegmentBytes = 1
	journal, _, err := journaler.Open(config)
	c.Assert(err, qt.IsNil)
	entries := makeEntries(journaler.Chain{}, 1, 1, count)
	for i := range entries {
		c.Assert(journal.Save(journaler.HardState{Term: 1, Commit: uint64(i + 1)}, entries[i:i+1]), qt.IsNil)
		if i%3 == 2 {
			c.Assert(journal.SaveSnapshot(snapshotOf(entries[i])), qt.IsNil)
		}
	}
	c.Assert(journal.Close(), qt.IsNil)
	return entries
}

func segmentsSize(c *qt.C, folder string) int64 {
	paths, err := journaler.Segments(folder)
	c.Assert(err, qt.IsNil)
	total := int64(0)
	for _, path := range paths {
		info, err := os.Stat(path)
		c.Assert(err, qt.IsNil)
		total += info.Size()
	}
	return total
}

func TestHistoryIsBoundedBySizeAndAge(t *testing.T) {
	c := qt.New(t)
	bySize := testConfig(t.TempDir())
	bySize.RetainBytes = 6000
	fillSegments(c, bySize, 300)
	// The segments after the older of the two newest snapshots are kept in any
	// case, which may exceed the limit.
	c.Check(segmentsSize(c, bySize.Folder) < 2*bySize.RetainBytes, qt.IsTrue)

	byAge := testConfig(t.TempDir())
	byAge.RetainAge = time.Hour
	entries := fillSegments(c, byAge, 30)
	base, err := journaler.BaseSnapshot(byAge.Folder)
	c.Assert(err, qt.IsNil)
	c.Check(base, qt.IsNil)
	byAge.Now = func() time.Time { return time.Now().Add(2 * time.Hour) }
	journal, _, err := journaler.Open(byAge)
	c.Assert(err, qt.IsNil)
	c.Assert(journal.SaveSnapshot(snapshotOf(entries[29])), qt.IsNil)
	base, err = journaler.BaseSnapshot(byAge.Folder)
	c.Assert(err, qt.IsNil)
	c.Check(base.Index, qt.Equals, uint64(27))
}

// TestRecoveryReadsNothingBeforeTheSnapshot damages all segments that lie wholly
// before the newest snapshot: Open succeeds, and reading the history reports the
// first damaged segment.
func TestRecoveryReadsNothingBeforeTheSnapshot(t *testing.T) {
	c := qt.New(t)
	config := testConfig(t.TempDir())
	fillSegments(c, config, 30)
	paths, err := journaler.Segments(config.Folder)
	c.Assert(err, qt.IsNil)
	for _, path := range paths[:29] {
		data, err := os.ReadFile(path)
		c.Assert(err, qt.IsNil)
		data[len(data)-1] ^= 1
		c.Assert(os.WriteFile(path, data, 0o600), qt.IsNil)
	}
	_, recovered, err := journaler.Open(config)
	c.Assert(err, qt.IsNil)
	c.Check(recovered.Snapshot.Index, qt.Equals, uint64(30))
	err = journaler.ReadHistory(config.Folder, 1, 30, func(*journaler.Entry) error { return nil })
	c.Check(err, qt.ErrorMatches, "(?s).*"+filepath.Base(paths[0])+".*")
}

func TestMissingSegmentIsReported(t *testing.T) {
	for _, test := range []struct {
		remove int
		want   string
	}{
		{0, "(?s).*segments 1 to 1 .*are missing.*"},
		{7, "(?s).*segments 8 to 8 .*are missing.*"},
	} {
		c := qt.New(t)
		config := testConfig(t.TempDir())
		fillSegments(c, config, 30)
		paths, err := journaler.Segments(config.Folder)
		c.Assert(err, qt.IsNil)
		c.Assert(os.Remove(paths[test.remove]), qt.IsNil)
		err = journaler.ReadHistory(config.Folder, 1, 30, func(*journaler.Entry) error { return nil })
		c.Check(err, qt.ErrorMatches, test.want)
	}
}

// TestRecoveryFromThePreviousSnapshot damages the newest snapshot: Open fails
// until the snapshot is removed, and then recovers all entries.
func TestRecoveryFromThePreviousSnapshot(t *testing.T) {
	c := qt.New(t)
	config := testConfig(t.TempDir())
	config.RetainBytes = 1
	entries := fillSegments(c, config, 31)
	paths, err := filepath.Glob(filepath.Join(config.Folder, "*.snapshot"))
	c.Assert(err, qt.IsNil)
	c.Assert(paths, qt.HasLen, 2)
	c.Assert(os.Truncate(paths[1], 20), qt.IsNil)
	_, _, err = journaler.Open(config)
	c.Assert(err, qt.ErrorMatches, "(?s).*snapshot.*")
	c.Assert(os.Remove(paths[1]), qt.IsNil)
	_, recovered, err := journaler.Open(config)
	c.Assert(err, qt.IsNil)
	c.Check(recovered.Snapshot.Index, qt.Equals, uint64(27))
	c.Check(recovered.Entries, qt.DeepEquals, entries[27:])
}
