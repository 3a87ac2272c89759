package commander

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/callerserver"
	"github.com/dotterelrill/dotterelrill/explainer"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

func (commander *commander) submitCommand(stderr io.Writer) *ffcli.Command {
	flags := commander.newFlags("dotterelctl submit", stderr)
	tasks := flags.Uint("tasks", 1, "how many tasks the job has")
	payload := flags.String("payload", "", "payload for the worker")
	processors := flags.Int64("milliprocessors", 0, "thousandths of a core for each task (default: the queue's size)")
	memory := flags.Int64("memory", 0, "MiB for each task")
	accelerators := flags.Int64("accelerators", 0, "accelerators for each task")
	long := "Example:\n  DOTTEREL_KEY=... dotterelctl submit -tasks 4 desk-north weekly"
	return commander.newCommand(flags, "submit ACCOUNT QUEUE", "Submit a job.", long, func(ctx context.Context, arguments []string) error {
		if len(arguments) != 2 {
			return eris.New("name a client account and a queue")
		}
		request := callerserver.SubmitRequest{
			RequestID:     commander.ensureRequestID(),
			ClientAccount: modeller.ClientAccountName(arguments[0]),
			Queue:         modeller.QueueName(arguments[1]),
			Tasks:         uint32(*tasks),
			Size:          modeller.Resources{MilliProcessors: *processors, MemoryMiB: *memory, Accelerators: *accelerators},
			Payload:       []byte(*payload),
		}
		return commander.sendAndPrint(ctx, http.MethodPost, "/v1/jobs", nil, request)
	})
}

func (commander *commander) jobGroup(stderr io.Writer) *ffcli.Command {
	return commander.newGroup("job", "List and show jobs.", stderr, commander.jobListCommand(stderr), commander.jobShowCommand(stderr))
}

func (commander *commander) jobListCommand(stderr io.Writer) *ffcli.Command {
	flags := commander.newFlags("dotterelctl job list", stderr)
	account := flags.String("account", "", "only this client account's jobs")
	open := flags.Bool("open", false, "only jobs without an outcome")
	long := "Example:\n  dotterelctl job list -open -account desk-north"
	return commander.newCommand(flags, "list", "List the newest jobs.", long, func(ctx context.Context, _ []string) error {
		parameters := []string{"Jobs", "ClientAccount=" + *account}
		if *open {
			parameters = append(parameters, "Open")
		}
		reply, err := commander.queryOverview(ctx, parameters...)
		if err != nil {
			return err
		}
		return commander.print(reply.Jobs, func(writer *tabwriter.Writer) { printJobs(writer, reply) })
	})
}

func printJobs(writer *tabwriter.Writer, reply *messenger.QueryReply) {
	printRow(writer, "JOB", "CLIENT ACCOUNT", "QUEUE", "URGENCY", "KIND", "TASKS", "OPEN", "RUNNING", "OUTCOME", "DETAIL")
	for _, job := range reply.Jobs {
		spec := job.Spec
		printRow(writer, spec.ID, spec.ClientAccount, spec.Queue, spec.Urgency, spec.Kind, spec.Tasks, job.Open, job.Running, job.Outcome, job.Detail)
	}
}

func (commander *commander) jobShowCommand(stderr io.Writer) *ffcli.Command {
	flags := commander.newFlags("dotterelctl job show", stderr)
	wait := flags.Duration("wait", 0, "wait this long for the outcome, at most 60s")
	long := "Example:\n  dotterelctl job show -wait 30s 4711"
	return commander.newCommand(flags, "show JOB", "Show a job with its answers.", long, func(ctx context.Context, arguments []string) error {
		if len(arguments) != 1 {
			return eris.New("name one job")
		}
		var answer callerserver.JobAnswer
		query := url.Values{"WaitMillis": {strconv.FormatInt(wait.Milliseconds(), 10)}}
		if err := commander.client().call(ctx, http.MethodGet, "/v1/jobs/"+arguments[0], query, nil, &answer); err != nil {
			return err
		}
		return commander.print(answer, func(writer *tabwriter.Writer) {
			printRow(writer, "TASK", "STATE", "OUTCOME", "ATTEMPT", "ANSWER", "DETAIL")
			for _, task := range answer.Tasks {
				printRow(writer, task.Index, task.State, task.Outcome, task.Attempt, string(task.Body), task.Detail)
			}
		})
	})
}

func (commander *commander) explainCommand(stderr io.Writer) *ffcli.Command {
	flags := commander.newFlags("dotterelctl explain", stderr)
	long := "Example:\n  dotterelctl explain 4711"
	return commander.newCommand(flags, "explain JOB", "Explain a job's decisions, attempts and outcome from the history.", long, func(ctx context.Context, arguments []string) error {
		if len(arguments) != 1 {
			return eris.New("name one job")
		}
		id, err := strconv.ParseUint(arguments[0], 10, 64)
		if err != nil {
			return eris.New("a job is named by its number")
		}
		var records []messenger.HistoryRecord
		err = commander.client().history(ctx, url.Values{"Job": arguments[:1]}, func(record *messenger.HistoryRecord) error {
			records = append(records, *record)
			return nil
		})
		if err != nil {
			return err
		}
		if commander.json {
			return commander.print(records, nil)
		}
		return explainer.Write(commander.out, modeller.JobID(id), records)
	})
}

func (commander *commander) historyCommand(stderr io.Writer) *ffcli.Command {
	flags := commander.newFlags("dotterelctl history", stderr)
	from := flags.Uint64("from", 0, "first index")
	follow := flags.Bool("follow", false, "keep printing new records")
	refusedOnly := flags.Bool("refused", false, "only refused commands")
	filters := make(map[string]*string)
	for _, filter := range []struct{ name, parameter, help string }{
		{"kind", "Kind", "only commands of this kind, such as Submit, Place, Report or LoseWorker"},
		{"actor", "Actor", "only commands of actors with this text in their names"},
		{"account", "ClientAccount", "only records that concern this client account"},
		{"worker", "Worker", "only records that concern this worker"},
		{"template", "Template", "only applications of this template"},
		{"job", "Job", "only records that concern this job"},
	} {
		filters[filter.parameter] = flags.String(filter.name, "", filter.help)
	}
	long := "Example:\n  dotterelctl history -from 1000 -account desk-north -refused\n  dotterelctl history -worker hobart-17 -follow"
	return commander.newCommand(flags, "history", "Print the history.", long, func(ctx context.Context, _ []string) error {
		query := url.Values{"From": {strconv.FormatUint(*from, 10)}}
		for parameter, value := range filters {
			if *value != "" {
				query.Set(parameter, *value)
			}
		}
		if *follow {
			query.Set("Follow", "true")
		}
		if *refusedOnly {
			query.Set("Refused", "true")
		}
		return commander.client().history(ctx, query, commander.printRecord)
	})
}

func (commander *commander) printRecord(record *messenger.HistoryRecord) error {
	if commander.json {
		return commander.print(record, nil)
	}
	if record.Command == nil {
		return nil
	}
	at := time.UnixMilli(int64(record.Command.Time)).UTC().Format(time.RFC3339Nano)
	_, err := fmt.Fprintln(commander.out, at, record.Entry.Index, explainer.Describe(record))
	return err
}
