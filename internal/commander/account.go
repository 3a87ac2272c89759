package commander

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

func (commander *commander) accountGroup(stderr io.Writer) *ffcli.Command {
	return commander.newGroup("account", "List the client accounts of staged jobs.", stderr, commander.accountListCommand(stderr))
}

func (commander *commander) accountListCommand(stderr io.Writer) *ffcli.Command {
	flags := commander.newFlags("dotterelctl account list", stderr)
	long := "WEIGHT is in jobs a second. BEYOND counts the open jobs that were handed in beyond it, and LEFT is how many jobs the account may still hand in within it now.\n\nExample:\n  dotterelctl account list"
	return commander.newCommand(flags, "list", "List the client accounts of staged jobs with their weight, limit, use and jobs.", long, func(ctx context.Context, _ []string) error {
		reply, err := commander.queryOverview(ctx, "StagedAccounts")
		if err != nil {
			return err
		}
		return commander.print(reply.StagedAccounts, func(writer *tabwriter.Writer) {
			printRow(writer, "CLIENT ACCOUNT", "WEIGHT", "UPPER LIMIT", "USED", "OPEN", "WAITING", "BEYOND", "LEFT")
			for at := range reply.StagedAccounts {
				row := &reply.StagedAccounts[at]
				weight, left := intakeTexts(row)
				printRow(writer, accountText(row.Name), weight, limitText(row.Limit), row.Used, row.Open, row.Waiting, row.Excess, left)
			}
		})
	})
}

// accountText returns a mark for jobs without a known key, so that the row's first cell is
// never blank.
func accountText(name modeller.ClientAccountName) string {
	if name == "" {
		return "-"
	}
	return string(name)
}

// intakeTexts returns the weight and what is left of the intake; an account that the
// deployment does not list has neither.
func intakeTexts(row *messenger.StagedAccountRow) (string, string) {
	if row.Weight == 0 {
		return "-", "-"
	}
	return strconv.FormatInt(row.Weight, 10), fmt.Sprintf("%.3f", float64(row.IntakeThousandths)/1000)
}

// limitText returns a limit in the form of modeller.Resources, with a mark for each component
// that has none, which a zero would not tell from a limit that lets nothing run.
func limitText(limit modeller.Resources) string {
	if limit.IsZero() {
		return "-"
	}
	parts := strings.Split(limit.String(), "/")
	for at, amount := range []int64{limit.MilliProcessors, limit.MemoryMiB, limit.Accelerators} {
		if amount == 0 {
			parts[at] = "-"
		}
	}
	return strings.Join(parts, "/")
}
