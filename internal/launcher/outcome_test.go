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
func (path *path) countStarts() map[modeller.TaskID]int {
	starts := map[modeller.TaskID]int{}
	for _, worker := range path.fleet.Workers {
		data, err := os.ReadFile(path.fleet.RecordFile(worker.Name))
		path.c.Assert(err, qt.IsNil)
		for line := range bytes.Lines(data) {
			var parsed standinrunner.Line
			path.c.Assert(json.Unmarshal(line, &parsed), qt.IsNil)
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
	path := startPath(t,
		launcher.Worker{Name: "w1", DataCentre: "dc1", Rack: "r1", Settings: "BeatInterval = 200ms", Faults: faults},
		launcher.Worker{Name: "w2", DataCentre: "dc2", Rack: "r1", Settings: "BeatInterval = 200ms", Faults: faults})
	const jobs = 24
	for number := range jobs {
		body := fmt.Sprintf(`{"RequestID":"r%d","ClientAccount":"desk","Queue":"swap","Tasks":1,"Payload":"eyJSdW5NaWxsaXMiOjcwMH0="}`, number)
		_, first := path.send(http.MethodPost, "/v1/jobs", path.key, body)
		_, again := path.send(http.MethodPost, "/v1/jobs", path.key, body)
		path.c.Assert(first.Code, qt.Equals, coder.OK)
		path.c.Assert(again.Code, qt.Equals, coder.Duplicate)
		path.c.Assert(again.Job, qt.Equals, first.Job)
		if number%4 == 0 {
			path.send(http.MethodDelete, fmt.Sprintf("/v1/jobs/%d?RequestID=c%d", first.Job, number), path.key, "")
		}
	}
	answers := make([]callerserver.JobAnswer, jobs)
	for number := range answers {
		_, data := path.sendRaw(http.MethodGet, fmt.Sprintf("/v1/jobs/%d?WaitMillis=30000", number+1), path.key, "")
		path.c.Assert(json.Unmarshal(data, &answers[number]), qt.IsNil)
		path.c.Assert(answers[number].Outcome, qt.Not(qt.Equals), "", qt.Commentf("%s", data))
	}
	starts := path.countStarts()
	for number, answer := range answers {
		started := starts[modeller.TaskID{Job: modeller.JobID(number + 1)}]
		path.c.Check(started <= 1, qt.IsTrue, qt.Commentf("job %d was started %d times", number+1, started))
		path.c.Check(answer.Outcome != "NotRun" || started == 0, qt.IsTrue, qt.Commentf("job %d: %+v", number+1, answer))
		path.c.Check(answer.Outcome != "Succeeded" || started == 1, qt.IsTrue, qt.Commentf("job %d: %+v", number+1, answer))
	}
}

// An entry that refuses a repeated request cannot know whether it was accepted
// before, so it must not report that the job has not run.
func TestAnAcceptedRequestIsNeverReportedAsNotRun(t *testing.T) {
	path := startPath(t, launcher.Worker{Name: "w1", DataCentre: "dc1", Rack: "r1"})
	body := `{"RequestID":"once","ClientAccount":"desk","Queue":"swap","Tasks":1}`
	_, first := path.send(http.MethodPost, "/v1/jobs", path.key, body)
	path.c.Assert(first.Code, qt.Equals, coder.OK)
	route := fmt.Sprintf("/v1/operator/keys/%s?RequestID=withdraw", keyer.Hash(path.key))
	_, withdrawn := path.send(http.MethodDelete, route, path.fleet.OperatorKey, "")
	path.c.Assert(withdrawn.Code, qt.Equals, coder.OK)
	again := path.submitUntil(coder.WithdrawnKey, body)
	path.c.Assert(again.NotRun, qt.IsFalse, qt.Commentf("%+v", again))
	for _, cell := range path.fleet.Cells {
		cell.Kill()
	}
	again = path.submitUntil(coder.NotServing, body)
	path.c.Assert(again.NotRun, qt.IsFalse, qt.Commentf("%+v", again))
}

// submitUntil repeats a submission until its answer has the given code.
func (path *path) submitUntil(code coder.Code, body string) responder.Answer {
	for range 100 {
		_, answer := path.send(http.MethodPost, "/v1/jobs", path.key, body)
		if answer.Code == code {
			return answer
		}
		time.Sleep(100 * time.Millisecond)
	}
	path.c.Fatalf("no answer had code %s", code)
	return responder.Answer{}
}
