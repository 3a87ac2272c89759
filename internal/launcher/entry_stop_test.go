package launcher_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/callerserver"
	"github.com/dotterelrill/dotterelrill/internal/launcher"
)

// An entry that is asked to stop must deliver the complete answer to a caller
// that waits for its job.
func TestStoppingEntryAnswersWaitingCallers(t *testing.T) {
	fixture := startFixture(t, launcher.Worker{Name: "worker-1", DataCentre: "dc2", Rack: "r1"})
	// {"RunMillis":3000}
	body := `{"RequestID":"long","ClientAccount":"desk","Queue":"swap","Tasks":1,"Payload":"eyJSdW5NaWxsaXMiOjMwMDB9"}`
	_, answer := fixture.send(http.MethodPost, "/v1/jobs", fixture.key, body)
	waited := make(chan []byte, 1)
	go func() {
		// A request that is cut off fails the test in this goroutine; closing
		// the channel then unblocks the receiver.
		defer close(waited)
		_, data := fixture.sendRawTo(0, http.MethodGet, fmt.Sprintf("/v1/jobs/%d?WaitMillis=8000", answer.Job), fixture.key, "")
		waited <- data
	}()
	time.Sleep(time.Second)
	status, err := fixture.fleet.Entries[0].Stop(20 * time.Second)
	fixture.c.Assert(err, qt.IsNil)
	fixture.c.Assert(status, qt.Equals, 0)
	data := <-waited
	var job callerserver.JobAnswer
	fixture.c.Assert(json.Unmarshal(data, &job), qt.IsNil, qt.Commentf("%s", data))
	fixture.c.Assert(strings.TrimSpace(job.Outcome), qt.Equals, "Succeeded", qt.Commentf("%s", data))
}
