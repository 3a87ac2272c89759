package reviewer

import (
	"context"
	"errors"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/journaler"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/replayer"
	"github.com/dotterelrill/dotterelrill/reporter"
)

func reportCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlags("dotterel-replay report", stderr)
	path := flags.String("out", "", "file to write the report to (default: standard output)")
	return &ffcli.Command{
		Name:       "report",
		ShortUsage: "dotterel-replay report [-out FILE] FOLDER",
		ShortHelp:  "Write an HTML report about a data folder's history.",
		LongHelp:   "Example:\n  dotterel-replay report -out saturday.html /var/lib/dotterel/cell1",
		FlagSet:    flags,
		Exec: func(_ context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return eris.New("expected exactly one argument, the data folder")
			}
			if *path == "" {
				return reportFolder(arguments[0], stdout)
			}
			return reportToFile(*path, arguments[0])
		},
	}
}

func reportToFile(path, folder string) error {
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "create report file")
	}
	return errors.Join(reportFolder(folder, file), file.Close())
}

func reportFolder(folder string, out io.Writer) error {
	last, cell, err := journaler.LastCommitted(folder)
	if err != nil {
		return err
	}
	collector := reporter.NewCollector(nil)
	if _, err := replayer.Replay(replayer.Config{
		Folder: folder,
		Cell:   modeller.CellName(cell),
		Last:   last,
		Reset:  func(state *applier.State) { collector = reporter.NewCollector(state) },
		Visit: func(record *messenger.HistoryRecord) error {
			collector.Record(record)
			return nil
		},
	}); err != nil {
		return err
	}
	return collector.Write(out, modeller.CellName(cell))
}
