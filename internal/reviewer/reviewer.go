// Package reviewer owns the command line of dotterel-replay. Its commands check the
// hash chain and the invariants over the history in a replica's data folder, write a
// report about that history, and measure placement policies over traces.
package reviewer

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/journaler"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/replayer"
	"github.com/dotterelrill/dotterelrill/verifier"
)

// Exit statuses. StatusViolation means that the history violates an invariant.
const (
	StatusOK        = 0
	StatusFailed    = 1
	StatusUsage     = 2
	StatusViolation = 3
)

// errViolation reports that at least one invariant is violated.
var errViolation = eris.New("the history violates at least one invariant")

// Main runs the command line and returns its exit status.
func Main(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	root := &ffcli.Command{
		Name:        "dotterel-replay",
		ShortUsage:  "dotterel-replay COMMAND ...",
		ShortHelp:   "Check and report on a cell's history, and measure placement policies.",
		FlagSet:     newFlags("dotterel-replay", stderr),
		Subcommands: []*ffcli.Command{verifyCommand(stdout, stderr), reportCommand(stdout, stderr), measureCommand(stdout, stderr)},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(ctx, arguments)
	switch {
	case err == nil:
		return StatusOK
	case errors.Is(err, flag.ErrHelp):
		return StatusUsage
	}
	_, _ = fmt.Fprintln(stderr, err)
	if errors.Is(err, errViolation) {
		return StatusViolation
	}
	return StatusFailed
}

func newFlags(name string, stderr io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	return flags
}

func verifyCommand(stdout, stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "verify",
		ShortUsage: "dotterel-replay verify FOLDER",
		ShortHelp:  "Check the hash chain and all invariants over a data folder's history.",
		LongHelp:   "Example:\n  dotterel-replay verify /var/lib/dotterel/cell1",
		FlagSet:    newFlags("dotterel-replay verify", stderr),
		Exec: func(_ context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return eris.New("expected exactly one argument, the data folder")
			}
			return verifyFolder(arguments[0], stdout)
		},
	}
}

func verifyFolder(folder string, stdout io.Writer) error {
	last, cell, err := journaler.LastCommitted(folder)
	if err != nil {
		return err
	}
	checker := verifier.New(nil)
	count := 0
	state, err := replayer.Replay(replayer.Config{
		Folder: folder,
		Cell:   modeller.CellName(cell),
		Last:   last,
		Reset:  func(state *applier.State) { checker = verifier.New(state) },
		Visit: func(record *messenger.HistoryRecord) error {
			count++
			checker.Record(record)
			return nil
		},
	})
	if err != nil {
		return err
	}
	checksum, err := state.Checksum()
	if err != nil {
		return err
	}
	for _, breach := range checker.Violations() {
		_, _ = fmt.Fprintln(stdout, "BREACH", breach)
	}
	_, _ = fmt.Fprintf(stdout, "cell %s: %d entries up to %d, state checksum %08x, %d breaches\n", cell, count, last, checksum, len(checker.Violations()))
	if len(checker.Violations()) > 0 {
		return errViolation
	}
	return nil
}
