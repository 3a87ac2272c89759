package replayer_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/encoder"
	"github.com/dotterelrill/dotterelrill/internal/reviewer"
	"github.com/dotterelrill/dotterelrill/journaler"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/replayer"
)

const cell = "test"

// writeHistory writes a history of joining workers, one entry in each segment,
// with a snapshot after every tenth entry, and returns the final state.
func writeHistory(c *qt.C, config journaler.Config, count int) *applier.State {
	config.Cell, config.Replica, config.SegmentBytes = cell, "r", 1
	config.Sync = func(*os.File) error { return nil }
	journal, _, err := journaler.Open(config)
	c.Assert(err, qt.IsNil)
	state := applier.New(cell)
	var chain journaler.Chain
	for at := range count {
		worker := modeller.WorkerDescription{
			Name: modeller.WorkerName(fmt.Sprintf("w%d", at)), Incarnation: 1, Address: "127.0.0.1:1",
			DataCentre: "dc", Rack: "r", Slots: 8, Capacity: modeller.Resources{MilliProcessors: 1000, MemoryMiB: 1000},
		}
		command := &applier.Command{Cell: cell, Time: modeller.Millis(at), Actor: "test", JoinWorker: &applier.JoinWorker{Worker: worker}}
		data, err := encoder.Marshal(command)
		c.Assert(err, qt.IsNil)
		entry := journaler.Entry{Index: uint64(at + 1), Term: 1, Kind: journaler.EntryCommand, Data: data}
		entry.Chain = entry.ChainAfter(chain)
		chain = entry.Chain
		state.Apply(entry.Index, command)
		c.Assert(journal.Save(journaler.HardState{Term: 1, Commit: entry.Index}, []journaler.Entry{entry}), qt.IsNil)
		if entry.Index%10 == 0 {
			content, err := state.Snapshot()
			c.Assert(err, qt.IsNil)
			c.Assert(journal.SaveSnapshot(&journaler.Snapshot{Index: entry.Index, Term: 1, Chain: chain, Data: content}), qt.IsNil)
		}
	}
	c.Assert(journal.Close(), qt.IsNil)
	return state
}

func verify(folder string) (int, string) {
	var out bytes.Buffer
	status := reviewer.Main(context.Background(), []string{"verify", folder}, &out, &out)
	return status, out.String()
}

func TestReplayBeginsAtRetainedSnapshot(t *testing.T) {
	c := qt.New(t)
	config := journaler.Config{Folder: t.TempDir(), RetainBytes: 10_000}
	state := writeHistory(c, config, 100)
	first := uint64(0)
	replayed, err := replayer.Replay(replayer.Config{Folder: config.Folder, Cell: cell, Last: 100, Visit: func(record *messenger.HistoryRecord) error {
		if first == 0 {
			first = record.Entry.Index
		}
		return nil
	}})
	c.Assert(err, qt.IsNil)
	c.Check(first > 1, qt.IsTrue)
	want, err := state.Checksum()
	c.Assert(err, qt.IsNil)
	got, err := replayed.Checksum()
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.Equals, want)
	status, out := verify(config.Folder)
	c.Check(status, qt.Equals, reviewer.StatusOK)
	c.Check(out, qt.Contains, fmt.Sprintf("state checksum %08x", want))
}

func TestAdvanceResumesWhereItStopped(t *testing.T) {
	c := qt.New(t)
	config := journaler.Config{Folder: t.TempDir()}
	writeHistory(c, config, 25)
	var indexes []uint64
	replay, err := replayer.New(replayer.Config{Folder: config.Folder, Cell: cell, Visit: func(record *messenger.HistoryRecord) error {
		indexes = append(indexes, record.Entry.Index)
		return nil
	}})
	c.Assert(err, qt.IsNil)
	for _, last := range []uint64{0, 7, 7, 25} {
		c.Assert(replay.Advance(last), qt.IsNil)
		c.Check(len(indexes), qt.Equals, int(last))
	}
}

// TestVerifyReportsDamage truncates, removes and edits parts of a history. The
// output must name the damaged segment or entry.
func TestVerifyReportsDamage(t *testing.T) {
	remove := func(c *qt.C, folder, name string) { c.Assert(os.Remove(filepath.Join(folder, name)), qt.IsNil) }
	segment := func(number int) string { return fmt.Sprintf("%016d.segment", number) }
	for _, test := range []struct {
		name   string
		damage func(c *qt.C, folder string)
		want   string
	}{
		{"the first segment removed", func(c *qt.C, folder string) { remove(c, folder, segment(1)) }, "segments 1 to 1 "},
		{"segments before a snapshot removed", func(c *qt.C, folder string) {
			for number := 1; number <= 10; number++ {
				remove(c, folder, segment(number))
			}
		}, "segments 1 to 10 "},
		{"one in the middle removed", func(c *qt.C, folder string) { remove(c, folder, segment(15)) }, "segments 15 to 15 "},
		{"the last ones removed", func(c *qt.C, folder string) {
			for number := 25; number <= 31; number++ {
				remove(c, folder, segment(number))
			}
		}, "entries 25 to 30 are missing"},
		{"one cut short", func(c *qt.C, folder string) {
			path := filepath.Join(folder, segment(12))
			info, err := os.Stat(path)
			c.Assert(err, qt.IsNil)
			c.Assert(os.Truncate(path, info.Size()-1), qt.IsNil)
		}, segment(12)},
		{"a byte changed", func(c *qt.C, folder string) {
			path := filepath.Join(folder, segment(17))
			data, err := os.ReadFile(path)
			c.Assert(err, qt.IsNil)
			data[len(data)-3] ^= 1
			c.Assert(os.WriteFile(path, data, 0o600), qt.IsNil)
		}, segment(17)},
		{"an entry replaced by another well-formed one", replaceEntry, "entry 5 does not match the chain"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			folder := t.TempDir()
			writeHistory(c, journaler.Config{Folder: folder}, 30)
			test.damage(c, folder)
			status, out := verify(folder)
			c.Check(status, qt.Not(qt.Equals), reviewer.StatusOK)
			c.Check(out, qt.Contains, test.want)
		})
	}
}

// replaceEntry rewrites segment 5 with another entry through package journaler,
// as an attacker would to forge a decision: all checksums in the file are valid.
func replaceEntry(c *qt.C, folder string) {
	source := c.TempDir()
	config := journaler.Config{Folder: source, Cell: cell, Replica: "r", SegmentBytes: 1}
	journal, _, err := journaler.Open(config)
	c.Assert(err, qt.IsNil)
	var entries []journaler.Entry
	c.Assert(journaler.ReadHistory(folder, 1, 5, func(entry *journaler.Entry) error {
		entries = append(entries, *entry)
		return nil
	}), qt.IsNil)
	for at := range entries {
		if entries[at].Index == 5 {
			entries[at].Data = append([]byte(nil), entries[0].Data...)
		}
		c.Assert(journal.Save(journaler.HardState{Term: 1, Commit: entries[at].Index}, entries[at:at+1]), qt.IsNil)
	}
	data, err := os.ReadFile(filepath.Join(source, fmt.Sprintf("%016d.segment", 5)))
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(filepath.Join(folder, fmt.Sprintf("%016d.segment", 5)), data, 0o600), qt.IsNil)
}
