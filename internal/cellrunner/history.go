package cellrunner

import (
	"context"
	"time"

	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/replayer"
)

const historyPollInterval = 100 * time.Millisecond

// history streams the committed log entries that this replica retains. They are
// replayed from its files, so that each is sent with its result.
func (runner *Runner) history(ctx context.Context, request *messenger.HistoryRequest, send func(*messenger.HistoryRecord) error) error {
	if _, refusal := runner.requireLeadership(request.Cell); refusal != nil {
		return refusal
	}
	replay, err := replayer.New(replayer.Config{
		Folder: runner.settings.DataFolder,
		Cell:   runner.cellName(),
		Visit: func(record *messenger.HistoryRecord) error {
			if record.Entry.Index < request.From || request.Job != 0 && !aboutJob(record, request.Job) {
				return ctx.Err()
			}
			return send(record)
		},
	})
	if err != nil {
		return err
	}
	for {
		if err := replay.Advance(runner.node.Load().Applied()); err != nil || !request.Follow {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-runner.stopped:
			return runner.notLeader()
		case <-time.After(historyPollInterval):
		}
	}
}

// aboutJob reports whether a record names the job or changed it.
func aboutJob(record *messenger.HistoryRecord, id modeller.JobID) bool {
	for index := range record.Events {
		if spec := record.Events[index].Spec; spec != nil && spec.ID == id {
			return true
		}
	}
	command := record.Command
	switch {
	case command == nil:
		return false
	case record.Result.Job == id:
		return true
	case command.Cancel != nil:
		return command.Cancel.Job == id
	case command.Place != nil:
		return command.Place.Job == id
	case command.Stop != nil:
		return command.Stop.Task.Job == id
	case command.Report != nil:
		return command.Report.Task.Job == id
	case command.Refuse != nil:
		return command.Refuse.Job == id
	}
	return false
}
