package commander

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dotterelrill/dotterelrill/configurer"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// Exit statuses. A refusal's status is statusRefused plus its class, which is the
// first digit of its code.
const (
	StatusOK      = 0
	StatusFailed  = 1
	StatusUsage   = 2
	statusRefused = 10
	codesPerClass = 100
)

// commander holds the output and the flags that all commands share.
type commander struct {
	out       io.Writer
	entries   string
	key       string
	requestID string
	authority string
	json      bool
}

// Main runs the command line and returns its exit status.
func Main(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	commander := &commander{out: stdout}
	root := commander.rootCommand(stderr)
	if err := root.Parse(arguments); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return StatusOK
		}
		_, _ = fmt.Fprintln(stderr, err)
		return StatusUsage
	}
	return exitStatus(root.Run(ctx), stderr)
}

func exitStatus(err error, stderr io.Writer) int {
	var refusal *refusalError
	switch {
	case err == nil:
		return StatusOK
	case errors.Is(err, flag.ErrHelp):
		return StatusUsage
	case errors.As(err, &refusal):
		_, _ = fmt.Fprintln(stderr, err)
		return statusRefused + int(refusal.answer.Code)/codesPerClass
	}
	_, _ = fmt.Fprintln(stderr, err)
	return StatusFailed
}

func (commander *commander) rootCommand(stderr io.Writer) *ffcli.Command {
	flags := commander.newFlags("dotterelctl", stderr)
	return &ffcli.Command{
		Name:       "dotterelctl",
		ShortUsage: "dotterelctl [flags] COMMAND ...",
		ShortHelp:  "Drive a dotterelrill cell as operator, caller or reviewer.",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix("DOTTEREL")},
		Subcommands: []*ffcli.Command{
			commander.templateGroup(stderr), commander.keyGroup(stderr), commander.submitCommand(stderr), commander.cancelCommand(stderr),
			commander.statusCommand(stderr), commander.jobGroup(stderr), commander.explainCommand(stderr), commander.workerGroup(stderr),
			commander.accountGroup(stderr), commander.dataCentreGroup(stderr), commander.memberGroup(stderr), commander.queueGroup(stderr), commander.historyCommand(stderr), commander.watchCommand(stderr),
		},
		Exec: showHelp,
	}
}

func showHelp(context.Context, []string) error { return flag.ErrHelp }

// newFlags returns a flag set with the flags that every command accepts.
func (commander *commander) newFlags(name string, stderr io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.StringVar(&commander.entries, "entries", commander.entries, "addresses of entries, separated by commas (or DOTTEREL_ENTRIES)")
	flags.StringVar(&commander.key, "key", commander.key, "the caller's or operator's key (prefer DOTTEREL_KEY, which other users cannot see)")
	flags.StringVar(&commander.authority, "authority", commander.authority, "PEM file of the authority that issued the entries' certificates; enables TLS (or DOTTEREL_AUTHORITY)")
	flags.StringVar(&commander.requestID, "request", commander.requestID, "RequestID; repeating one returns the first answer (default: a new one)")
	flags.BoolVar(&commander.json, "json", commander.json, "print JSON instead of tables")
	return flags
}

// newCommand returns a command without subcommands. The first word of usage is
// its name.
func (commander *commander) newCommand(flags *flag.FlagSet, usage, short, long string, exec func(ctx context.Context, arguments []string) error) *ffcli.Command {
	name, _, _ := strings.Cut(usage, " ")
	return &ffcli.Command{
		Name:       name,
		ShortUsage: flags.Name() + strings.TrimPrefix(usage, name),
		ShortHelp:  short,
		LongHelp:   long,
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix("DOTTEREL")},
		Exec:       exec,
	}
}

// newGroup returns a command that only groups subcommands.
func (commander *commander) newGroup(name, short string, stderr io.Writer, commands ...*ffcli.Command) *ffcli.Command {
	return &ffcli.Command{
		Name:        name,
		ShortUsage:  "dotterelctl " + name + " COMMAND ...",
		ShortHelp:   short,
		FlagSet:     commander.newFlags("dotterelctl "+name, stderr),
		Options:     []ff.Option{ff.WithEnvVarPrefix("DOTTEREL")},
		Subcommands: commands,
		Exec:        showHelp,
	}
}

func (commander *commander) client() *client {
	return newClient(configurer.SplitList(commander.entries), commander.key, commander.authority)
}

// ensureRequestID returns the RequestID of the flag, or one generated on the
// first call.
func (commander *commander) ensureRequestID() modeller.RequestID {
	if commander.requestID == "" {
		commander.requestID = uuid.NewString()
	}
	return modeller.RequestID(commander.requestID)
}

// print writes a value as JSON if that flag is set, and otherwise calls table.
func (commander *commander) print(value any, table func(writer *tabwriter.Writer)) error {
	if commander.json {
		encoder := json.NewEncoder(commander.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	writer := tabwriter.NewWriter(commander.out, 0, 4, 2, ' ', 0)
	table(writer)
	return writer.Flush()
}

// printRow writes cells separated by tabs, which the writer aligns.
func printRow(writer *tabwriter.Writer, cells ...any) {
	texts := make([]string, 0, len(cells))
	for _, cell := range cells {
		texts = append(texts, fmt.Sprint(cell))
	}
	_, _ = fmt.Fprintln(writer, strings.Join(texts, "\t"))
}
