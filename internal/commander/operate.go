package commander

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/keyer"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/operatorserver"
	"github.com/dotterelrill/dotterelrill/responder"
)

// sendAndPrint sends a request that changes something and prints the answer.
func (commander *commander) sendAndPrint(ctx context.Context, method, path string, query url.Values, body any) error {
	var answer responder.Answer
	if err := commander.client().call(ctx, method, path, query, body, &answer); err != nil {
		return err
	}
	return commander.print(answer, func(writer *tabwriter.Writer) {
		text := answer.Name
		if answer.Job != 0 {
			text += fmt.Sprintf(" job %d", answer.Job)
		}
		if answer.Revision != 0 {
			text += fmt.Sprintf(" revision %d", answer.Revision)
		}
		printRow(writer, strings.TrimSpace(text+" "+answer.Detail))
	})
}

// queryOverview queries the cell's state. The parameters name the parts to
// include, such as "Workers", or are filters in the form "Name=value".
func (commander *commander) queryOverview(ctx context.Context, parameters ...string) (*messenger.QueryReply, error) {
	query := url.Values{}
	for _, name := range parameters {
		name, value, found := strings.Cut(name, "=")
		if !found {
			value = "true"
		}
		query.Set(name, value)
	}
	reply := &messenger.QueryReply{}
	return reply, commander.client().call(ctx, http.MethodGet, "/v1/operator/overview", query, nil, reply)
}

func (commander *commander) keyGroup(stderr io.Writer) *ffcli.Command {
	return commander.newGroup("key", "Make, grant, withdraw and list keys.", stderr,
		commander.keyGrantCommand(stderr), commander.keyWithdrawCommand(stderr), commander.keyListCommand(stderr), commander.keyHashCommand(stderr), commander.keyMakeCommand(stderr))
}

func (commander *commander) keyGrantCommand(stderr io.Writer) *ffcli.Command {
	flags := commander.newFlags("dotterelctl key grant", stderr)
	hash := flags.String("hash", "", "hash of a key made elsewhere (default: a new key is made and printed once)")
	long := "Example:\n  dotterelctl key grant desk-north"
	return commander.newCommand(flags, "grant ACCOUNT", "Grant a client account a key.", long, func(ctx context.Context, arguments []string) error {
		if len(arguments) != 1 {
			return eris.New("name one client account")
		}
		hash := modeller.KeyHash(*hash)
		newKey := ""
		if hash == "" {
			newKey = keyer.Generate()
			hash = keyer.Hash(newKey)
		}
		request := operatorserver.KeyRequest{RequestID: commander.ensureRequestID(), ClientAccount: modeller.ClientAccountName(arguments[0]), Key: hash}
		if newKey == "" {
			return commander.sendAndPrint(ctx, http.MethodPost, "/v1/operator/keys", nil, request)
		}
		var answer responder.Answer
		if err := commander.client().call(ctx, http.MethodPost, "/v1/operator/keys", nil, request, &answer); err != nil {
			return err
		}
		granted := struct {
			responder.Answer
			Key string
		}{answer, newKey}
		return commander.print(granted, func(writer *tabwriter.Writer) {
			printRow(writer, fmt.Sprintf("%s revision %d", answer.Name, answer.Revision))
			printRow(writer, "Key", newKey)
		})
	})
}

func (commander *commander) keyHashCommand(stderr io.Writer) *ffcli.Command {
	flags := commander.newFlags("dotterelctl key hash", stderr)
	long := "Example:\n  DOTTEREL_KEY=... dotterelctl key hash"
	return commander.newCommand(flags, "hash", "Print the hash of the key in -key.", long, func(context.Context, []string) error {
		if commander.key == "" {
			return eris.New("give the key with -key or DOTTEREL_KEY")
		}
		_, err := fmt.Fprintln(commander.out, keyer.Hash(commander.key))
		return err
	})
}

func (commander *commander) keyMakeCommand(stderr io.Writer) *ffcli.Command {
	flags := commander.newFlags("dotterelctl key make", stderr)
	long := "No entry is contacted. Keep the key secret; the hash goes into settings and templates.\n\nExample:\n  dotterelctl key make"
	return commander.newCommand(flags, "make", "Make a key and print it with its hash.", long, func(context.Context, []string) error {
		key := keyer.Generate()
		keyAndHash := struct{ Key, Hash string }{key, string(keyer.Hash(key))}
		return commander.print(keyAndHash, func(writer *tabwriter.Writer) {
			printRow(writer, "Key", keyAndHash.Key)
			printRow(writer, "Hash", keyAndHash.Hash)
		})
	})
}

func (commander *commander) keyWithdrawCommand(stderr io.Writer) *ffcli.Command {
	flags := commander.newFlags("dotterelctl key withdraw", stderr)
	long := "Example:\n  dotterelctl key withdraw 5f2c9a77b1d0"
	return commander.newCommand(flags, "withdraw FINGERPRINT", "Withdraw a key for good.", long, func(ctx context.Context, arguments []string) error {
		if len(arguments) != 1 {
			return eris.New("name one key by its fingerprint or hash")
		}
		query := url.Values{"RequestID": {string(commander.ensureRequestID())}}
		return commander.sendAndPrint(ctx, http.MethodDelete, "/v1/operator/keys/"+arguments[0], query, nil)
	})
}

func (commander *commander) keyListCommand(stderr io.Writer) *ffcli.Command {
	flags := commander.newFlags("dotterelctl key list", stderr)
	long := "Example:\n  dotterelctl key list"
	return commander.newCommand(flags, "list", "List keys by their fingerprints.", long, func(ctx context.Context, _ []string) error {
		reply, err := commander.queryOverview(ctx, "Keys")
		if err != nil {
			return err
		}
		return commander.print(reply.Keys, func(writer *tabwriter.Writer) {
			printRow(writer, "FINGERPRINT", "CLIENT ACCOUNT", "GRANTED", "WITHDRAWN")
			for _, key := range reply.Keys {
				printRow(writer, key.Fingerprint, key.ClientAccount, key.Granted, key.Withdrawn)
			}
		})
	})
}

func (commander *commander) workerGroup(stderr io.Writer) *ffcli.Command {
	return commander.newGroup("worker", "List and drain workers.", stderr, commander.workerListCommand(stderr), commander.workerDrainCommand(stderr))
}

func (commander *commander) workerListCommand(stderr io.Writer) *ffcli.Command {
	flags := commander.newFlags("dotterelctl worker list", stderr)
	long := "Example:\n  dotterelctl worker list -json"
	return commander.newCommand(flags, "list", "List the workers.", long, func(ctx context.Context, _ []string) error {
		reply, err := commander.queryOverview(ctx, "Workers")
		if err != nil {
			return err
		}
		return commander.print(reply.Workers, func(writer *tabwriter.Writer) {
			printRow(writer, "WORKER", "STATE", "DATA CENTRE", "RACK", "USED", "CAPACITY", "TASKS", "SLOTS", "REASON")
			for _, worker := range reply.Workers {
				description := worker.Description
				printRow(writer, description.Name, worker.State, description.DataCentre, description.Rack, worker.Used, description.Capacity, worker.Live, description.Slots, worker.Reason)
			}
		})
	})
}

func (commander *commander) workerDrainCommand(stderr io.Writer) *ffcli.Command {
	flags := commander.newFlags("dotterelctl worker drain", stderr)
	long := "Example:\n  dotterelctl worker drain hobart-17"
	return commander.newCommand(flags, "drain NAME", "Drain a worker: place no new work on it until it has left.", long, func(ctx context.Context, arguments []string) error {
		if len(arguments) != 1 {
			return eris.New("name one worker")
		}
		return commander.sendAndPrint(ctx, http.MethodPost, "/v1/operator/workers/"+arguments[0]+"/drain", nil, nil)
	})
}

func (commander *commander) queueGroup(stderr io.Writer) *ffcli.Command {
	flags := commander.newFlags("dotterelctl queue list", stderr)
	long := "Example:\n  dotterelctl queue list"
	list := commander.newCommand(flags, "list", "List queues with the number of tasks waiting in them.", long, func(ctx context.Context, _ []string) error {
		reply, err := commander.queryOverview(ctx, "Accounts")
		if err != nil {
			return err
		}
		return commander.print(reply.Accounts, func(writer *tabwriter.Writer) {
			printRow(writer, "CLIENT ACCOUNT", "QUEUE", "KIND", "URGENCY", "WAITING", "MOST")
			for _, account := range reply.Accounts {
				for _, queue := range account.Queues {
					printRow(writer, account.Name, queue.Queue.Name, queue.Queue.Kind, queue.Queue.Urgency, queue.Waiting, queue.Queue.MaxWaiting)
				}
			}
		})
	})
	return commander.newGroup("queue", "List queues.", stderr, list)
}

func (commander *commander) statusCommand(stderr io.Writer) *ffcli.Command {
	flags := commander.newFlags("dotterelctl status", stderr)
	long := "Example:\n  dotterelctl status"
	return commander.newCommand(flags, "status", "Show the cell, its client accounts and replicas.", long, func(ctx context.Context, _ []string) error {
		reply, err := commander.queryOverview(ctx, "Accounts", "Members", "Workers")
		if err != nil {
			return err
		}
		return commander.print(reply, func(writer *tabwriter.Writer) {
			printRow(writer, "LEADER", "TERM", "INDEX", "REVISION", "REPLICAS", "WORKERS")
			printRow(writer, reply.Leader, reply.Term, reply.Index, reply.Revision, len(reply.Members), len(reply.Workers))
			printRow(writer)
			printRow(writer, "CLIENT ACCOUNT", "SHARE", "RUNNING", "USED", "UPPER LIMIT")
			for _, account := range reply.Accounts {
				printRow(writer, account.Name, account.Share, account.Live, account.Used, account.Limit.Resources)
			}
		})
	})
}
