package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/responder"
)

// selection filters the open jobs to cancel. An empty queue or urgency matches
// all jobs of the account.
type selection struct {
	account string
	queue   string
	urgency string
}

func (selection *selection) empty() bool { return selection.account == "" }

func (selection *selection) matches(job *messenger.JobRow) bool {
	return (selection.queue == "" || string(job.Spec.Queue) == selection.queue) &&
		(selection.urgency == "" || job.Spec.Urgency.String() == selection.urgency)
}

func (commander *commander) cancelCommand(stderr io.Writer) *ffcli.Command {
	flags := commander.newFlags("dotterelctl cancel", stderr)
	operator := flags.Bool("operator", false, "cancel as an operator")
	var selected selection
	flags.StringVar(&selected.account, "account", "", "cancel all open jobs of this client account, as an operator")
	flags.StringVar(&selected.queue, "queue", "", "with -account, only the jobs of this queue")
	flags.StringVar(&selected.urgency, "urgency", "", "with -account, only the jobs of this urgency: Urgent, Ordinary or Deferrable")
	long := "Example:\n  dotterelctl cancel 4711\n  dotterelctl cancel -account desk-north -queue reshuffle"
	return commander.newCommand(flags, "cancel [JOB]", "Cancel a job, or all open jobs of a selection.", long, func(ctx context.Context, arguments []string) error {
		if !selected.empty() && len(arguments) == 0 {
			return commander.cancelSelection(ctx, &selected)
		}
		if len(arguments) != 1 || !selected.empty() {
			return eris.New("name one job, or a selection with -account")
		}
		path := "/v1/jobs/" + arguments[0]
		if *operator {
			path = "/v1/operator/jobs/" + arguments[0]
		}
		return commander.sendAndPrint(ctx, http.MethodDelete, path, url.Values{"RequestID": {string(commander.ensureRequestID())}}, nil)
	})
}

// cancelRow is the result of cancelling one job.
type cancelRow struct {
	Job    modeller.JobID
	Code   coder.Code
	Detail string
}

// cancelSelection cancels the selected jobs one by one. Each request has its own
// RequestID, derived from the command's, so that the command can be retried.
func (commander *commander) cancelSelection(ctx context.Context, selected *selection) error {
	jobs, err := commander.openJobs(ctx, selected)
	if err != nil {
		return err
	}
	rows := make([]cancelRow, 0, len(jobs))
	for _, job := range jobs {
		row, err := commander.cancelJob(ctx, job)
		if err != nil {
			return eris.Wrapf(err, "after %d of %d jobs", len(rows), len(jobs))
		}
		rows = append(rows, row)
	}
	return commander.print(rows, func(writer *tabwriter.Writer) {
		printRow(writer, "JOB", "RESULT", "DETAIL")
		for _, cancelled := range rows {
			printRow(writer, cancelled.Job, cancelled.Code, cancelled.Detail)
		}
		printRow(writer, fmt.Sprintf("%d jobs", len(rows)))
	})
}

func (commander *commander) cancelJob(ctx context.Context, job modeller.JobID) (cancelRow, error) {
	var answer responder.Answer
	query := url.Values{"RequestID": {fmt.Sprintf("%s-%d", commander.ensureRequestID(), job)}}
	err := commander.client().call(ctx, http.MethodDelete, fmt.Sprintf("/v1/operator/jobs/%d", job), query, nil, &answer)
	var refusal *refusalError
	if errors.As(err, &refusal) && refusal.answer.Code == coder.AlreadyDone {
		return cancelRow{Job: job, Code: refusal.answer.Code, Detail: refusal.answer.Detail}, nil
	}
	return cancelRow{Job: job, Code: answer.Code, Detail: answer.Detail}, err
}

// openJobs returns the selected open jobs in ascending order. It fetches them
// page by page, beginning with the newest.
func (commander *commander) openJobs(ctx context.Context, selected *selection) ([]modeller.JobID, error) {
	var jobs []modeller.JobID
	before := modeller.JobID(0)
	for {
		reply, err := commander.queryOverview(ctx, "Jobs", "Open", "ClientAccount="+selected.account, fmt.Sprintf("Before=%d", before))
		if err != nil {
			return nil, err
		}
		if len(reply.Jobs) == 0 {
			slices.Sort(jobs)
			return jobs, nil
		}
		before = reply.Jobs[0].Spec.ID
		for at := range reply.Jobs {
			if selected.matches(&reply.Jobs[at]) {
				jobs = append(jobs, reply.Jobs[at].Spec.ID)
			}
		}
	}
}
