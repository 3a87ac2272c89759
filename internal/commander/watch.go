package commander

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// clearScreen is the terminal sequence that moves the cursor home and clears the
// screen.
const clearScreen = "\x1b[H\x1b[2J"

func (commander *commander) watchCommand(stderr io.Writer) *ffcli.Command {
	flags := commander.newFlags("dotterelctl watch", stderr)
	interval := flags.Duration("every", 2*time.Second, "interval between updates")
	count := flags.Int("count", 0, "number of updates; 0 for no limit")
	plain := flags.Bool("plain", false, "print each update below the last instead of clearing the screen")
	long := "Example:\n  dotterelctl watch -every 1s\n  dotterelctl watch -json -count 10"
	return commander.newCommand(flags, "watch", "Show the cell, its client accounts and workers, updated at an interval.", long, func(ctx context.Context, _ []string) error {
		for iteration := 1; ; iteration++ {
			if err := commander.printOverview(ctx, !*plain && !commander.json); err != nil {
				return err
			}
			if iteration == *count {
				return nil
			}
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(*interval):
			}
		}
	})
}

// printOverview queries and prints the current state. An error of the query, such
// as a cell without a leader, is printed and does not end the watch.
func (commander *commander) printOverview(ctx context.Context, clear bool) error {
	reply, err := commander.queryOverview(ctx, "Accounts", "Members", "Workers")
	if ctx.Err() != nil {
		return nil
	}
	if clear {
		_, _ = fmt.Fprint(commander.out, clearScreen)
	}
	if err != nil {
		_, err = fmt.Fprintln(commander.out, time.Now().UTC().Format(time.RFC3339), err)
		return err
	}
	return commander.print(reply, func(writer *tabwriter.Writer) { printWatch(writer, reply) })
}

func printWatch(writer *tabwriter.Writer, reply *messenger.QueryReply) {
	states := make(map[modeller.WorkerState]int)
	for _, worker := range reply.Workers {
		states[worker.State]++
	}
	printRow(writer, "AT", "LEADER", "TERM", "REVISION", "REPLICAS", "WORKERS UP", "DRAINING", "QUARANTINED")
	printRow(writer, time.UnixMilli(int64(reply.Now)).UTC().Format(time.RFC3339), reply.Leader, reply.Term, reply.Revision, len(reply.Members),
		states[modeller.WorkerUp], states[modeller.WorkerDraining], states[modeller.WorkerQuarantined])
	printRow(writer)
	printRow(writer, "CLIENT ACCOUNT", "SHARE", "RUNNING", "USED", "UPPER LIMIT", "WAITING")
	for _, account := range reply.Accounts {
		waiting := uint32(0)
		for _, queue := range account.Queues {
			waiting += queue.Waiting
		}
		printRow(writer, account.Name, account.Share, account.Live, account.Used, account.Limit.Resources, waiting)
	}
}
