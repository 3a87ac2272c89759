package entryrunner

import (
	"context"
	"time"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/budgeter"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/locator"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

func (runner *Runner) propose(ctx context.Context, command *applier.Command) (applier.Result, *coder.Refusal) {
	if err := budgeter.Forward(ctx); err != nil {
		return applier.Result{}, refuseNotServing(err.Error())
	}
	command.Cell = runner.cellName()
	reply, refusal := locator.Ask(ctx, runner.locator, messenger.CellClient.Propose,
		proposalRefusal, &messenger.ProposeRequest{Command: *command})
	if refusal != nil {
		return applier.Result{}, refusal
	}
	return reply.Result, nil
}

// proposalRefusal returns a proposal's refusal. It also turns a result with a
// retryable code into one: if an earlier try may still be committed, the locator
// must answer Unknown in place of such a code.
func proposalRefusal(reply *messenger.ProposeReply) *coder.Refusal {
	if reply.Refusal == nil && reply.Result.Code.Row().Retry {
		return &coder.Refusal{Code: reply.Result.Code, Detail: reply.Result.Detail}
	}
	return reply.Refusal
}

// job returns a job from the leader's state. Shortly before the entry's shutdown
// ends it no longer waits for an outcome: callers that wait are refused with
// ShuttingDown, so that they retry at another entry.
func (runner *Runner) job(ctx context.Context, request *messenger.JobRequest) (*applier.Job, *coder.Refusal) {
	request.Cell = runner.cellName()
	waitRequested := request.Wait > 0
	if runner.waitContext.Err() != nil {
		request.Wait = 0
	}
	reply, refusal := locator.Ask(ctx, runner.locator, messenger.CellClient.Job,
		func(reply *messenger.JobReply) *coder.Refusal { return reply.Refusal }, request)
	if refusal != nil {
		return nil, refusal
	}
	if waitRequested && reply.Job.Outcome == modeller.NoOutcome && runner.waitContext.Err() != nil {
		return nil, coder.Refuse(coder.ShuttingDown, "this entry is shutting down; use another entry")
	}
	return reply.Job, nil
}

func (runner *Runner) query(ctx context.Context, request *messenger.QueryRequest) (*messenger.QueryReply, *coder.Refusal) {
	request.Cell = runner.cellName()
	return locator.Ask(ctx, runner.locator, messenger.CellClient.Query,
		func(reply *messenger.QueryReply) *coder.Refusal { return reply.Refusal }, request)
}

func (runner *Runner) member(ctx context.Context, request *messenger.MemberRequest) *coder.Refusal {
	if err := budgeter.Forward(ctx); err != nil {
		return refuseNotServing(err.Error())
	}
	request.Cell = runner.cellName()
	_, refusal := locator.Ask(ctx, runner.locator, messenger.CellClient.Member,
		func(reply *messenger.JoinReply) *coder.Refusal { return reply.Refusal }, request)
	return refusal
}

// history passes log records to visit. It ends when the context ends or the
// shutdown cancels waits.
func (runner *Runner) history(ctx context.Context, request *messenger.HistoryRequest, visit func(*messenger.HistoryRecord) error) error {
	request.Cell = runner.cellName()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(runner.waitContext, cancel)()
	client, err := runner.locator.Leader(ctx, runner.cellName())
	if err != nil {
		return err
	}
	return client.History(ctx, request, visit)
}

// beat sends a heartbeat with those of other workers.
func (runner *Runner) beat(ctx context.Context, heartbeat *messenger.Heartbeat) (*messenger.HeartbeatAnswer, *coder.Refusal) {
	if err := budgeter.Forward(ctx); err != nil {
		return nil, refuseNotServing(err.Error())
	}
	return runner.gatherer.Beat(ctx, heartbeat)
}

// Limits of the requests that carry batches of heartbeats. The wait is short
// compared with the time within which urgent work must start.
const (
	heartbeatBatchWait    = 10 * time.Millisecond
	maxHeartbeatBatch     = 128
	heartbeatBatchTimeout = 3 * time.Second
)

// sendHeartbeats sends a batch of heartbeats to the leader.
func (runner *Runner) sendHeartbeats(ctx context.Context, heartbeats []messenger.Heartbeat) ([]messenger.HeartbeatAnswer, *coder.Refusal) {
	request := &messenger.HeartbeatRequest{Cell: runner.cellName(), Entry: runner.settings.Name, Beats: heartbeats}
	reply, refusal := locator.Ask(ctx, runner.locator, messenger.CellClient.Beat,
		func(reply *messenger.HeartbeatReply) *coder.Refusal { return reply.Refusal }, request)
	if refusal != nil {
		return nil, refusal
	}
	runner.metrics.heartbeats.Add(len(reply.Answers))
	return reply.Answers, nil
}
