package launcher_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/callerserver"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/internal/launcher"
	"github.com/dotterelrill/dotterelrill/internal/standinrunner"
	"github.com/dotterelrill/dotterelrill/keyer"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/responder"
)

// countStarts counts the starts of each task in the workers' record files.
func (fixture *fixture) countStarts() map[modeller.TaskID]int {
	starts := map[modeller.TaskID]int{}
	for _, worker := range fixture.fleet.Workers {
		data, err := os.ReadFile(fixture.fleet.RecordFile(worker.Name))
		fixture.c.Assert(err, qt.IsNil)
		for line := range bytes.Lines(data) {
			var parsed standinrunner.RecordLine
			fixture.c.Assert(json.Unmarshal(line, &parsed), qt.IsNil)
			if parsed.Event == "Started" {
				starts[modeller.TaskID{Job: parsed.Job, Index: parsed.Index}]++
			}
		}
	}
	return starts
}

// Outcomes must agree with the workers' record files while the workers lose
// start and stop messages and heartbeats, resend heartbeats late, omit running
// attempts and corrupt answers. Each job is submitted twice, and some are
// cancelled.
func TestOutcomesAgreeWithWhatWorkersRecorded(t *testing.T) {
	faults := "LosePercent = 15\nAnswerLosePercent = 15\nLoseOrderPercent = 30\nRepeatPercent = 20\nLiePercent = 20\nDamagePercent = 30\n"
	fixture := startFixture(t,
		launcher.Worker{Name: "w1", DataCentre: "dc1", Rack: "r1", Settings: "BeatInterval = 200ms", Faults: faults},
		launcher.Worker{Name: "w2", DataCentre: "dc2", Rack: "r1", Settings: "BeatInterval = 200ms", Faults: faults})
	const jobs = 24
	for number := range jobs {
		body := fmt.Sprintf(`{"RequestID":"r%d","ClientAccount":"desk","Queue":"swap","Tasks":1,"Payload":"eyJSdW5NaWxsaXMiOjcwMH0="}`, number)
		_, first := fixture.send(http.MethodPost, "/v1/jobs", fixture.key, body)
		_, again := fixture.send(http.MethodPost, "/v1/jobs", fixture.key, body)
		fixture.c.Assert(first.Code, qt.Equals, coder.OK)
		fixture.c.Assert(again.Code, qt.Equals, coder.Duplicate)
		fixture.c.Assert(again.Job, qt.Equals, first.Job)
		if number%4 == 0 {
			fixture.send(http.MethodDelete, fmt.Sprintf("/v1/jobs/%d?RequestID=c%d", first.Job, number), fixture.key, "")
		}
	}
	answers := make([]callerserver.JobAnswer, jobs)
	for number := range answers {
		_, data := fixture.sendRaw(http.MethodGet, fmt.Sprintf("/v1/jobs/%d?WaitMillis=30000", number+1), fixture.key, "")
		fixture.c.Assert(json.Unmarshal(data, &answers[number]), qt.IsNil)
		fixture.c.Assert(answers[number].Outcome, qt.Not(qt.Equals), "", qt.Commentf("%s", data))
	}
	starts := fixture.countStarts()
	for number, answer := range answers {
		started := starts[modeller.TaskID{Job: modeller.JobID(number + 1)}]
		fixture.c.Check(started <= 1, qt.IsTrue, qt.Commentf("job %d was started %d times", number+1, started))
		fixture.c.Check(answer.Outcome != "NotRun" || started == 0, qt.IsTrue, qt.Commentf("job %d: %+v", number+1, answer))
		fixture.c.Check(answer.Outcome != "Succeeded" || started == 1, qt.IsTrue, qt.Commentf("job %d: %+v", number+1, answer))
	}
}

// An entry that refuses a repeated request cannot know whether it was accepted
// before, so it must not report that the job has not run.
func TestAnAcceptedRequestIsNeverReportedAsNotRun(t *testing.T) {
	fixture := startFixture(t, launcher.Worker{Name: "w1", DataCentre: "dc1", Rack: "r1"})
	body := `{"RequestID":"once","ClientAccount":"desk","Queue":"swap","Tasks":1}`
	_, first := fixture.send(http.MethodPost, "/v1/jobs", fixture.key, body)
	fixture.c.Assert(first.Code, qt.Equals, coder.OK)
	route := fmt.Sprintf("/v1/operator/keys/%s?RequestID=withdraw", keyer.Hash(fixture.key))
	_, withdrawn := fixture.send(http.MethodDelete, route, fixture.fleet.OperatorKey, "")
	fixture.c.Assert(withdrawn.Code, qt.Equals, coder.OK)
	again := fixture.submitUntil(coder.WithdrawnKey, body)
	fixture.c.Assert(again.NotRun, qt.IsFalse, qt.Commentf("%+v", again))
	for _, cell := range fixture.fleet.Cells {
		cell.Kill()
	}
	again = fixture.submitUntil(coder.NotServing, body)
	fixture.c.Assert(again.NotRun, qt.IsFalse, qt.Commentf("%+v", again))
}

// submitUntil repeats a submission until its answer has the given code.
func (fixture *fixture) submitUntil(code coder.Code, body string) responder.Answer {
	for range 100 {
		_, answer := fixture.send(http.MethodPost, "/v1/jobs", fixture.key, body)
		if answer.Code == code {
			return answer
		}
		time.Sleep(100 * time.Millisecond)
	}
	fixture.c.Fatalf("no answer had code %s", code)
	return responder.Answer{}
}
