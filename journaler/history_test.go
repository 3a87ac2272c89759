package journaler_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/journaler"
)

// entriesInRange returns entries of one term that continue a chain.
func entriesInRange(from, to, term uint64, chain journaler.Chain) []journaler.Entry {
	var entries []journaler.Entry
	for index := from; index <= to; index++ {
		entry := journaler.Entry{Index: index, Term: term, Kind: journaler.EntryCommand, Data: []byte(fmt.Sprint(index))}
		entry.Chain = entry.ChainAfter(chain)
		chain = entry.Chain
		entries = append(entries, entry)
	}
	return entries
}

// TestHistoryIsReadAcrossAnInstalledSnapshot installs a snapshot over a log
// whose tail was never committed, and then takes more snapshots than
// keptNewestSnapshots: the installed one must still be found.
func TestHistoryIsReadAcrossAnInstalledSnapshot(t *testing.T) {
	for _, test := range []struct {
		name string
		// lastIndex is the index of the last entry before the snapshot is installed.
		lastIndex uint64
		// crash stops the replica after the snapshot was written and before the log
		// was.
		crash bool
	}{
		{"shorter log", 5, false},
		{"as long a log", 10, false},
		{"longer log", 12, false},
		{"crash, shorter log", 5, true},
		{"crash, as long a log", 10, true},
		{"crash, longer log", 12, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			config := journaler.Config{Folder: t.TempDir(), Cell: "c", Replica: "r", SegmentBytes: 1 << 20}
			journal, _, err := journaler.Open(config)
			c.Assert(err, qt.IsNil)
			c.Assert(journal.Save(journaler.HardState{Term: 1, Commit: 4}, entriesInRange(1, test.lastIndex, 1, journaler.Chain{})), qt.IsNil)

			whole := entriesInRange(5, 13, 2, entriesInRange(1, 4, 1, journaler.Chain{})[3].Chain)
			snapshotAt := func(index uint64) *journaler.Snapshot {
				return &journaler.Snapshot{Index: index, Term: 2, Chain: whole[index-5].Chain}
			}
			save := func(index uint64) {
				c.Assert(journal.SaveSnapshot(snapshotAt(index)), qt.IsNil)
			}
			if test.crash {
				save(10)
				c.Assert(journal.Close(), qt.IsNil)
				journal, _, err = journaler.Open(config)
				c.Assert(err, qt.IsNil)
			} else {
				c.Assert(journal.Install(snapshotAt(10)), qt.IsNil)
			}
			c.Assert(journal.Close(), qt.IsNil)
			journal, recovered, err := journaler.Open(config)
			c.Assert(err, qt.IsNil)
			c.Check(recovered.Snapshot.Index, qt.Equals, uint64(10))
			c.Check(recovered.Entries, qt.HasLen, 0)
			c.Assert(journal.Save(journaler.HardState{Term: 2, Commit: 13}, whole[11-5:]), qt.IsNil)
			for _, index := range []uint64{11, 12, 13} {
				save(index)
			}
			c.Assert(journal.Close(), qt.IsNil)
			journal, _, err = journaler.Open(config)
			c.Assert(err, qt.IsNil)
			c.Assert(journal.Close(), qt.IsNil)

			var indexes []uint64
			err = journaler.ReadHistory(config.Folder, 1, 13, func(entry *journaler.Entry) error {
				indexes = append(indexes, entry.Index)
				return nil
			})
			c.Assert(err, qt.IsNil)
			c.Check(indexes, qt.DeepEquals, []uint64{1, 2, 3, 4, 11, 12, 13})
			snapshot, err := journaler.FindSnapshot(config.Folder, 10)
			c.Assert(err, qt.IsNil)
			c.Check(snapshot.Chain, qt.Equals, whole[10-5].Chain)
		})
	}
}
