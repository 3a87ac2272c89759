package cellrunner_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/keyer"
	"github.com/dotterelrill/dotterelrill/locator"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// stagedAccounts returns the client accounts of staged jobs that the leader knows, or nil if
// there is no leader.
func (cell *diskCell) stagedAccounts() []messenger.StagedAccountRow {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	reply, refusal := locator.Ask(ctx, cell.locator, messenger.CellClient.Query, func(reply *messenger.QueryReply) *coder.Refusal { return reply.Refusal },
		&messenger.QueryRequest{Cell: "c", StagedAccounts: true})
	if refusal != nil {
		return nil
	}
	return reply.StagedAccounts
}

// retry repeats a request until it is acknowledged or refused for good.
func retry(request func(ctx context.Context) *coder.Refusal) *coder.Refusal {
	var refusal *coder.Refusal
	for until := time.Now().Add(quorumTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
		refusal = request(ctx)
		cancel()
		if refusal == nil || !refusal.Code.Row().Retry {
			break
		}
	}
	return refusal
}

// TestAccountsAreListedFromTheCommittedState guards against a list that is lost when all
// processes end, and an intake that never fills again while nothing is committed.
func TestAccountsAreListedFromTheCommittedState(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	cell := startDiskCell(ctx, c, 3, 3)
	cell.awaitWhole(quorumTimeout)
	limit := modeller.Resources{MilliProcessors: 6000}
	deployment := &stager.Deployment{
		Version: 1, Pools: []stager.Pool{{Name: "p"}}, Queues: []stager.Queue{{Name: "q", Host: "h", Prefix: "/", Pool: "p", Timeout: 60_000, Slack: 100, Allowance: 60_000}},
		Accounts: []stager.Account{{Name: "a", Keys: []modeller.KeyHash{keyer.Hash("a")}, Weight: 2, Limit: limit}},
	}
	refusal := retry(func(ctx context.Context) *coder.Refusal { return cell.relayer.Deploy(ctx, deployment) })
	c.Assert(refusal == nil, qt.IsTrue, qt.Commentf("%v", refusal))
	for number := range 3 {
		refusal := retry(func(ctx context.Context) *coder.Refusal {
			return cell.relayer.Submit(ctx, &messenger.StagedSubmitRequest{
				Place: messenger.RequestRoute{Host: "h", Path: fmt.Sprint("/", number), Key: keyer.Hash("a")},
				Steps: []stager.Step{{Tasks: 1, Size: modeller.Resources{MilliProcessors: 1000}, RunTime: 1000}},
			})
		})
		c.Assert(refusal == nil, qt.IsTrue, qt.Commentf("%v", refusal))
	}
	const burst = (2*stager.IntakeSeconds + stager.IntakeSlack) * 1000
	check := func() {
		var rows []messenger.StagedAccountRow
		for until := time.Now().Add(quorumTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
			if rows = cell.stagedAccounts(); len(rows) == 1 && rows[0].IntakeThousandths == burst {
				break
			}
		}
		c.Assert(rows, qt.HasLen, 1)
		c.Check(rows[0], qt.Equals, messenger.StagedAccountRow{Name: "a", Weight: 2, Limit: limit, Open: 3, Waiting: 3, IntakeThousandths: burst})
	}
	check()
	for _, replica := range cell.replicas {
		(*replica.stop.Load())()
	}
	time.Sleep(restartDelay)
	check()
}
