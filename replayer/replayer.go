// Package replayer replays a history: it applies the log entries in a replica's
// data folder again and returns, for each, its result and its events.
//
// The log is the history. Since the applier is deterministic, replaying the log
// yields the results that the cell originally gave, also for refused commands.
// Describing the records to people is left to package explainer, and checking
// invariants over them to package verifier.
package replayer

import (
	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/encoder"
	"github.com/dotterelrill/dotterelrill/journaler"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// Config configures a replay.
type Config struct {
	Folder string
	Cell   modeller.CellName
	// Last is the index of the last entry to replay. It must not exceed the
	// commit index, because entries after it may still be replaced.
	Last uint64
	// Reset, if not nil, is called with the restored state when the replay
	// continues from a snapshot: at the start, if older entries were removed by
	// retention, and at a gap covered by a snapshot from a leader.
	Reset func(state *applier.State)
	// Visit is called with each record in order. Its error ends the replay.
	Visit func(record *messenger.HistoryRecord) error
}

// Replay replays the folder's history and returns the state after it.
func Replay(config Config) (*applier.State, error) {
	replayer, err := New(config)
	if err != nil {
		return nil, err
	}
	return replayer.state, replayer.Advance(config.Last)
}

// Replayer replays a history that may still be growing.
type Replayer struct {
	config Config
	state  *applier.State
	chain  journaler.Chain
	// lastInstalled is the index of the last snapshot that the log records as
	// installed.
	lastInstalled uint64
}

// New returns a Replayer at the beginning of the folder's history: at the first
// entry, or at the oldest retained snapshot if older entries were removed.
func New(config Config) (*Replayer, error) {
	replayer := &Replayer{config: config, state: applier.New(config.Cell)}
	base, err := journaler.BaseSnapshot(config.Folder)
	if err != nil || base == nil {
		return replayer, err
	}
	return replayer, replayer.resumeFrom(base)
}

// Advance replays the entries up to and including index last.
func (replayer *Replayer) Advance(last uint64) error {
	err := journaler.History{
		Folder:    replayer.config.Folder,
		From:      replayer.state.Index + 1,
		Last:      last,
		Entry:     replayer.visitEntry,
		Installed: func(index uint64) { replayer.lastInstalled = index },
	}.Read()
	if err != nil {
		return err
	}
	return replayer.ensureNext(last + 1)
}

// ensureNext ensures that the entry with the given index is the next one to
// apply. It skips a gap only if the log records that a snapshot was installed
// there; any other gap is an error.
func (replayer *Replayer) ensureNext(next uint64) error {
	if next <= replayer.state.Index+1 {
		return nil
	}
	missing := eris.Errorf("entries %d to %d are missing", replayer.state.Index+1, next-1)
	if replayer.lastInstalled != next-1 {
		return missing
	}
	snapshot, err := journaler.FindSnapshot(replayer.config.Folder, next-1)
	if err != nil {
		return eris.Wrap(err, missing.Error())
	}
	return replayer.resumeFrom(snapshot)
}

// resumeFrom replaces the state by that of the snapshot.
func (replayer *Replayer) resumeFrom(snapshot *journaler.Snapshot) error {
	state, err := applier.Restore(snapshot.Data)
	if err != nil {
		return err
	}
	replayer.state = state
	replayer.chain = snapshot.Chain
	if replayer.config.Reset != nil {
		replayer.config.Reset(state)
	}
	return nil
}

func (replayer *Replayer) visitEntry(entry *journaler.Entry) error {
	if err := replayer.ensureNext(entry.Index); err != nil {
		return err
	}
	if entry.ChainAfter(replayer.chain) != entry.Chain {
		return eris.Errorf("entry %d does not match the chain: the history was truncated or edited", entry.Index)
	}
	replayer.chain = entry.Chain
	return replayer.config.Visit(replayer.apply(entry))
}

func (replayer *Replayer) apply(entry *journaler.Entry) *messenger.HistoryRecord {
	record := &messenger.HistoryRecord{Entry: *entry}
	if entry.Kind != journaler.EntryCommand {
		replayer.state.Index = entry.Index
		return record
	}
	var command applier.Command
	if err := encoder.Unmarshal(entry.Data, &command); err != nil {
		replayer.state.Index = entry.Index
		record.Result = applier.Result{Code: coder.Malformed, Detail: err.Error()}
		return record
	}
	record.Command = &command
	record.Result = replayer.state.Apply(entry.Index, &command)
	record.Events = replayer.state.Events()
	return record
}
