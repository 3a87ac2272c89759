package journaler_test

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/journaler"
)

// segmentBytes returns the content of a segment with some batches.
func segmentBytes(f *testing.F) []byte {
	c := qt.New(f)
	folder := f.TempDir()
	journal, _ := openJournal(c, folder)
	entries := makeEntries(journaler.Chain{}, 1, 1, 4)
	c.Assert(journal.Save(journaler.HardState{Term: 1, Vote: "r", Commit: 1}, entries[:2]), qt.IsNil)
	c.Assert(journal.Save(journaler.HardState{Term: 2}, entries[2:]), qt.IsNil)
	data, err := os.ReadFile(lastSegment(c, folder))
	c.Assert(err, qt.IsNil)
	return data
}

func FuzzReadSegment(f *testing.F) {
	data := segmentBytes(f)
	f.Add(data)
	f.Add(data[:len(data)-1])
	f.Add(data[:20])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		batches := 0
		_, size, err := journaler.ReadSegment(data, func(journaler.Batch) error {
			batches++
			return nil
		})
		if size < 0 || size > len(data) {
			t.Fatalf("%d of %d bytes are in intact frames", size, len(data))
		}
		if err == nil && size != len(data) {
			t.Fatalf("%d bytes are skipped without an error", len(data)-size)
		}
		if size == 0 && batches > 0 {
			t.Fatalf("%d batches in no bytes", batches)
		}
	})
}

// FuzzOpen opens a folder whose only segment has the given content. If that
// succeeds, a second Open must recover the same state and find no torn bytes.
func FuzzOpen(f *testing.F) {
	data := segmentBytes(f)
	f.Add(data)
	f.Add(data[:len(data)-1])
	f.Fuzz(func(t *testing.T, data []byte) {
		folder := t.TempDir()
		if err := os.WriteFile(folder+"/0000000000000001.segment", data, 0o600); err != nil {
			t.Fatal(err)
		}
		journal, first, err := journaler.Open(testConfig(folder))
		if err != nil {
			return
		}
		_ = journal.Close()
		_, second, err := journaler.Open(testConfig(folder))
		if err != nil || len(second.Entries) != len(first.Entries) || second.HardState != first.HardState || second.TornBytes != 0 {
			t.Fatalf("%+v, then %+v: %v", first, second, err)
		}
	})
}

func FuzzDecodeSnapshot(f *testing.F) {
	c := qt.New(f)
	folder := f.TempDir()
	journal, _ := openJournal(c, folder)
	snapshot := snapshotOf(makeEntries(journaler.Chain{}, 1, 1, 1)[0])
	c.Assert(journal.SaveSnapshot(snapshot), qt.IsNil)
	data, err := os.ReadFile(folder + "/00000000000000000001-00000000000000000001.snapshot")
	c.Assert(err, qt.IsNil)
	f.Add(data)
	f.Add(data[:len(data)-1])
	f.Fuzz(func(t *testing.T, data []byte) {
		if snapshot, err := journaler.DecodeSnapshot(data); err == nil && snapshot == nil {
			t.Fatal("neither a snapshot nor an error")
		}
	})
}
