package commander

import (
	"context"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/messenger"
)

func (commander *commander) memberGroup(stderr io.Writer) *ffcli.Command {
	return commander.newGroup("member", "List and replace the cell's replicas.", stderr, commander.memberListCommand(stderr), commander.memberReplaceCommand(stderr), commander.memberRemoveCommand(stderr))
}

func (commander *commander) memberListCommand(stderr io.Writer) *ffcli.Command {
	flags := commander.newFlags("dotterelctl member list", stderr)
	long := "Example:\n  dotterelctl member list"
	return commander.newCommand(flags, "list", "List the replicas.", long, func(ctx context.Context, _ []string) error {
		reply, err := commander.queryOverview(ctx, "Members")
		if err != nil {
			return err
		}
		return commander.print(reply.Members, func(writer *tabwriter.Writer) {
			printRow(writer, "REPLICA", "ADDRESS", "VOTER", "LEADER")
			for _, member := range reply.Members {
				printRow(writer, member.Member.ID, member.Member.Address, member.Member.Voter, member.Leader)
			}
		})
	})
}

func (commander *commander) memberRemoveCommand(stderr io.Writer) *ffcli.Command {
	flags := commander.newFlags("dotterelctl member remove", stderr)
	long := "A replica with a new, empty folder at the same address replaces the old one by itself.\n\nExample:\n  dotterelctl member remove 0b6e..."
	return commander.newCommand(flags, "remove REPLICA", "Remove a replica that is lost for good.", long, func(ctx context.Context, arguments []string) error {
		if len(arguments) != 1 {
			return eris.New("name one replica")
		}
		return commander.sendAndPrint(ctx, http.MethodDelete, "/v1/operator/members/"+arguments[0], nil, nil)
	})
}

// memberPollInterval is the time between two queries of the replicas.
const memberPollInterval = 500 * time.Millisecond

func (commander *commander) memberReplaceCommand(stderr io.Writer) *ffcli.Command {
	flags := commander.newFlags("dotterelctl member replace", stderr)
	address := flags.String("address", "", "address of the new replica, which must run and have been started with an empty folder")
	wait := flags.Duration("wait", time.Minute, "how long to wait until the new replica votes")
	long := "Waits until a new replica votes, and only then removes the old one, so that the\nquorum never shrinks first. A new replica at the old one's address needs no command.\n\nExample:\n  dotterelctl member replace -address 10.0.0.9:7000 0b6e..."
	return commander.newCommand(flags, "replace REPLICA", "Replace a lost replica by a new one at another address.", long, func(ctx context.Context, arguments []string) error {
		if len(arguments) != 1 || *address == "" {
			return eris.New("name the old replica, and the new one's address with -address")
		}
		ctx, cancel := context.WithTimeout(ctx, *wait)
		defer cancel()
		if err := commander.waitForVoter(ctx, *address, arguments[0]); err != nil {
			return err
		}
		return commander.sendAndPrint(ctx, http.MethodDelete, "/v1/operator/members/"+arguments[0], nil, nil)
	})
}

// waitForVoter waits until a replica at the address, other than the old one, is
// a voter.
func (commander *commander) waitForVoter(ctx context.Context, address, old string) error {
	for {
		reply, err := commander.queryOverview(ctx, "Members")
		if err != nil {
			return err
		}
		if hasVoter(reply.Members, address, old) {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Errorf("no new replica at %s votes yet; nothing was removed", address)
		case <-time.After(memberPollInterval):
		}
	}
}

func hasVoter(members []messenger.MemberRow, address, old string) bool {
	for _, row := range members {
		if row.Member.Address == address && string(row.Member.ID) != old && row.Member.Voter {
			return true
		}
	}
	return false
}
