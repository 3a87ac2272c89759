package launcher_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/internal/launcher"
	"github.com/dotterelrill/dotterelrill/internal/standinrunner"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/responder"
)

// A start message that was lost must be resent before the worker's next
// heartbeat, since heartbeat intervals are long in a large fleet.
func TestALostStartIsResentBeforeTheNextHeartbeat(t *testing.T) {
	fixture := startFixtureWith(t, launcher.Config{
		CellSettings: "[Lease]\nTerm = 60s\nFresh = 40s\n",
		Workers:      []launcher.Worker{{Name: "worker-1", DataCentre: "dc1", Rack: "r1", Settings: "BeatInterval = 10s"}},
	})
	fixture.awaitStart(fixture.submitRemotely("before"), 20*time.Second)
	// Wait until the extra heartbeats caused by the first job have been sent.
	time.Sleep(time.Second)
	localEntry := fixture.fleet.Entries[0]
	localEntry.Signal(syscall.SIGSTOP)
	defer localEntry.Signal(syscall.SIGCONT)
	fixture.awaitStart(fixture.submitRemotely("behind"), 5*time.Second)
}

// submitRemotely submits a job through the entry that is in another data centre
// than the worker.
func (fixture *fixture) submitRemotely(request modeller.RequestID) modeller.JobID {
	body := fmt.Sprintf(`{"RequestID": %q, "ClientAccount": "desk", "Queue": "swap", "Tasks": 1}`, request)
	_, data := fixture.sendRawTo(1, http.MethodPost, "/v1/jobs", fixture.key, body)
	var answer responder.Answer
	fixture.c.Assert(json.Unmarshal(data, &answer), qt.IsNil)
	fixture.c.Assert(answer.Code, qt.Equals, coder.OK, qt.Commentf("%s", data))
	return answer.Job
}

// awaitStart waits until the stand-in has recorded that the job started.
func (fixture *fixture) awaitStart(job modeller.JobID, timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for !fixture.hasStarted(job) {
		fixture.c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("job %d has not started within %s", job, timeout))
		time.Sleep(20 * time.Millisecond)
	}
}

func (fixture *fixture) hasStarted(job modeller.JobID) bool {
	data, err := os.ReadFile(fixture.fleet.RecordFile("worker-1"))
	fixture.c.Assert(err, qt.IsNil)
	for text := range strings.Lines(string(data)) {
		var line standinrunner.RecordLine
		if json.Unmarshal([]byte(text), &line) == nil && line.Job == job && line.Event == "Started" {
			return true
		}
	}
	return false
}
