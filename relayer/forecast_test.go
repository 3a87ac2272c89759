package relayer_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/encoder"
	"github.com/dotterelrill/dotterelrill/forecaster"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/relayer"
	"github.com/dotterelrill/dotterelrill/stager"
)

// offer submits a job of a closed class, or with another key, and returns the refusal.
func offer(relayer *relayer.Relayer, key modeller.KeyHash) *coder.Refusal {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return relayer.Submit(ctx, &messenger.StagedSubmitRequest{
		Place: messenger.RequestRoute{Host: "h", Path: "/q/j", Key: key},
		Steps: []stager.Step{{Tasks: 1, Size: modeller.Resources{MilliProcessors: 1000}, RunTime: 100}},
	})
}

// TestOnlyAFreshForecastRefuses guards against a refusal by a forecast that is stale,
// also because its message was long on the way, or that belongs to a session that is
// over, and against refusals of jobs that it does not name.
func TestOnlyAFreshForecastRefuses(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	leader := startReplica(ctx, c)
	relayer := startRelayer(ctx, c, leader.address)
	awaitServed(c, relayer)
	began := time.Now()
	data, err := encoder.Marshal(&forecaster.Notice{Closures: []forecaster.Closure{{
		Host: "h", Prefix: "/q/", Keys: []modeller.KeyHash{"key"}, Shapes: forecaster.Shapes{MostSteps: 1, ShortestRun: 50, LongestRun: 200, LeastNeed: 500},
	}}})
	c.Assert(err, qt.IsNil)

	leader.inquiries <- &messenger.InquiryMessage{Forecast: data, ForecastAt: time.Since(began) - forecaster.NoticeValidity - time.Second}
	time.Sleep(200 * time.Millisecond)
	c.Check(offer(relayer, "key") == nil, qt.IsTrue, qt.Commentf("the forecast was made before its validity"))

	before := leader.submissions.Load()
	var refusal *coder.Refusal
	for until := time.Now().Add(5 * time.Second); refusal == nil && time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		select {
		case leader.inquiries <- &messenger.InquiryMessage{Forecast: data, ForecastAt: time.Since(began)}:
		default:
		}
		refusal = offer(relayer, "key")
	}
	c.Assert(refusal != nil && refusal.Code == coder.ForecastTooLate && refusal.NotProposed && refusal.RetryAfter > 0, qt.IsTrue, qt.Commentf("%v", refusal))
	c.Check(offer(relayer, "other") == nil, qt.IsTrue)
	c.Check(leader.submissions.Load() > before, qt.IsTrue)

	time.Sleep(forecaster.NoticeValidity + 300*time.Millisecond)
	c.Check(offer(relayer, "key") == nil, qt.IsTrue, qt.Commentf("the forecast is stale"))

	leader.inquiries <- &messenger.InquiryMessage{Forecast: data, ForecastAt: time.Since(began) + time.Hour}
	for until := time.Now().Add(5 * time.Second); offer(relayer, "key") == nil && time.Now().Before(until); {
		time.Sleep(20 * time.Millisecond)
	}
	leader.server.Stop()
	time.Sleep(300 * time.Millisecond)
	refusal = offer(relayer, "key")
	c.Assert(refusal, qt.IsNotNil)
	c.Check(refusal.Code, qt.Equals, coder.NotServing, qt.Commentf("the session is over"))
}
