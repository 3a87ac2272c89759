package entryrunner

import (
	"context"
	"time"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/locator"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

func (runner *Runner) propose(ctx context.Context, command *applier.Command) (applier.Result, *coder.Refusal) {
	command.Cell = runner.cellName()
	reply, refusal := locator.Ask(ctx, runner.locator, messenger.CellClient.Propose,
		refusalOf, &messenger.ProposeRequest{Command: *command})
	if refusal != nil {
		return applier.Result{}, refusal
	}
	return reply.Result, nil
}

// refusalOf returns why a proposal was not carried out, if it may be later. The
// locator must know of that, since an earlier try may still be.
func refusalOf(reply *messenger.ProposeReply) *coder.Refusal {
	if reply.Refusal == nil && reply.Result.Code.Row().Retry {
		return &coder.Refusal{Code: reply.Result.Code, Detail: reply.Result.Detail}
	}
	return reply.Refusal
}

// job looks a job up. Shortly before an entry ends nobody waits there for an
// outcome any more; whoever does is told to ask another one.
func (runner *Runner) job(ctx context.Context, request *messenger.JobRequest) (*applier.Job, *coder.Refusal) {
	request.Cell = runner.cellName()
	waits := request.Wait > 0
	if runner.leaving.Err() != nil {
		request.Wait = 0
	}
	reply, refusal := locator.Ask(ctx, runner.locator, messenger.CellClient.Job,
		func(reply *messenger.JobReply) *coder.Refusal { return reply.Refusal }, request)
	if refusal != nil {
		return nil, refusal
	}
	if waits && reply.Job.Outcome == modeller.NoOutcome && runner.leaving.Err() != nil {
		return nil, coder.Refuse(coder.ShuttingDown, "this entry is stopping; ask another one")
	}
	return reply.Job, nil
}

func (runner *Runner) query(ctx context.Context, request *messenger.QueryRequest) (*messenger.QueryReply, *coder.Refusal) {
	request.Cell = runner.cellName()
	return locator.Ask(ctx, runner.locator, messenger.CellClient.Query,
		func(reply *messenger.QueryReply) *coder.Refusal { return reply.Refusal }, request)
}

func (runner *Runner) member(ctx context.Context, request *messenger.MemberRequest) *coder.Refusal {
	request.Cell = runner.cellName()
	_, refusal := locator.Ask(ctx, runner.locator, messenger.CellClient.Member,
		func(reply *messenger.JoinReply) *coder.Refusal { return reply.Refusal }, request)
	return refusal
}

// history ends with the entry at the latest.
func (runner *Runner) history(ctx context.Context, request *messenger.HistoryRequest, visit func(*messenger.HistoryRecord) error) error {
	request.Cell = runner.cellName()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(runner.leaving, cancel)()
	client, err := runner.locator.Leader(ctx, runner.cellName())
	if err != nil {
		return err
	}
	return client.History(ctx, request, visit)
}

// Bounds of the requests that carry beats. The wait is short beside the time in
// which urgent work must start.
const (
	beatWait    = 10 * time.Millisecond
	beatsAtOnce = 128
	beatTimeout = 3 * time.Second
)

func (runner *Runner) beats(ctx context.Context, beats []messenger.Beat) ([]messenger.BeatAnswer, *coder.Refusal) {
	request := &messenger.BeatRequest{Cell: runner.cellName(), Entry: runner.settings.Name, Beats: beats}
	reply, refusal := locator.Ask(ctx, runner.locator, messenger.CellClient.Beat,
		func(reply *messenger.BeatReply) *coder.Refusal { return reply.Refusal }, request)
	if refusal != nil {
		return nil, refusal
	}
	runner.measures.beats.Add(len(reply.Answers))
	return reply.Answers, nil
}
