package launcher_test

import (
	"encoding/json"
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/callerserver"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/internal/launcher"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

func (fixture *fixture) workerState(name modeller.WorkerName) modeller.WorkerState {
	_, data := fixture.sendRaw(http.MethodGet, "/v1/operator/overview?Workers=true", fixture.fleet.OperatorKey, "")
	var reply messenger.QueryReply
	fixture.c.Assert(json.Unmarshal(data, &reply), qt.IsNil)
	for _, row := range reply.Workers {
		if row.Description.Name == name {
			return row.State
		}
	}
	return 0
}

// TestAWorkerThatFailsEverythingIsQuarantined expects that the tasks which
// failed on the worker succeed on other workers, which are not quarantined.
func TestAWorkerThatFailsEverythingIsQuarantined(t *testing.T) {
	fixture := startFixture(t,
		launcher.Worker{Name: "bad", DataCentre: "dc1", Rack: "r1", Settings: "BeatInterval = 200ms", Faults: "FailPercent = 100"},
		launcher.Worker{Name: "good-1", DataCentre: "dc1", Rack: "r2", Settings: "BeatInterval = 200ms"},
		launcher.Worker{Name: "good-2", DataCentre: "dc2", Rack: "r1", Settings: "BeatInterval = 200ms"})
	deadline := time.Now().Add(30 * time.Second)
	job := 0
	for fixture.workerState("bad") != modeller.WorkerQuarantined {
		fixture.c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("the worker was not quarantined"))
		job++
		body := `{"RequestID":"retry-` + strconv.Itoa(job) + `","ClientAccount":"desk","Queue":"retry","Tasks":3}`
		_, answer := fixture.send(http.MethodPost, "/v1/jobs", fixture.key, body)
		fixture.c.Assert(answer.Code, qt.Equals, coder.OK)
		time.Sleep(100 * time.Millisecond)
	}
	for id := range job {
		_, data := fixture.sendRaw(http.MethodGet, "/v1/jobs/"+strconv.Itoa(id+1)+"?WaitMillis=30000", fixture.key, "")
		var shown callerserver.JobAnswer
		fixture.c.Assert(json.Unmarshal(data, &shown), qt.IsNil)
		fixture.c.Check(shown.Outcome, qt.Equals, "Succeeded", qt.Commentf("%s", data))
	}
	fixture.c.Check(fixture.workerState("good-1"), qt.Equals, modeller.WorkerUp)
	fixture.c.Check(fixture.workerState("good-2"), qt.Equals, modeller.WorkerUp)
}
