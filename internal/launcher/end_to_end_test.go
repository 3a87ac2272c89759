package launcher_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/callerserver"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/internal/launcher"
	"github.com/dotterelrill/dotterelrill/internal/reviewer"
	"github.com/dotterelrill/dotterelrill/keyer"
	"github.com/dotterelrill/dotterelrill/responder"
)

// programs is the folder with the built programs.
var programs string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	return launcher.RunWithPrograms(func(folder string) int {
		programs = folder
		return m.Run()
	})
}

const deskTemplate = `[Template]
Name = desk
ClientAccount = desk
LimitMilliProcessors = 16000
LimitMemoryMiB = 65536
[Queue.swap]
Kind = Batch
Idempotent = false
MilliProcessors = 1000
MemoryMiB = 512
RunTime = 50ms
[Queue.retry]
Kind = Batch
MilliProcessors = 500
MemoryMiB = 64
RunTime = 50ms
MaxRetries = 20
[Queue.site]
Kind = Service
MilliProcessors = 1000
MemoryMiB = 512
RunTime = 1h
[Queue.draw]
Kind = Gang
MilliProcessors = 4000
MemoryMiB = 512
RunTime = 50ms
`

// fixture is a running fleet with one client account.
type fixture struct {
	c     *qt.C
	fleet *launcher.Fleet
	key   string
}

func startFixture(t *testing.T, workers ...launcher.Worker) *fixture {
	return startFixtureWith(t, launcher.Config{Workers: workers})
}

// startFixtureWith starts three replicas and two entries with the additions in
// config, and applies the template of the client account desk.
func startFixtureWith(t *testing.T, config launcher.Config) *fixture {
	c := qt.New(t)
	config.Folder, config.Programs, config.Cells, config.Entries = t.TempDir(), programs, 3, 2
	fleet, err := launcher.Start(config)
	c.Assert(err, qt.IsNil)
	t.Cleanup(fleet.Kill)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	c.Assert(fleet.AwaitReady(ctx), qt.IsNil)
	fixture := &fixture{c: c, fleet: fleet, key: keyer.Generate()}
	source := strings.Replace(deskTemplate, "[Queue.swap]", "KeyHashes = "+string(keyer.Hash(fixture.key))+"\n[Queue.swap]", 1)
	body, err := json.Marshal(map[string]any{"RequestID": "template", "File": "desk.ini", "Source": source})
	c.Assert(err, qt.IsNil)
	_, answer := fixture.send(http.MethodPost, "/v1/operator/templates", fleet.OperatorKey, string(body))
	c.Assert(answer.Code, qt.Equals, coder.OK, qt.Commentf("%+v", answer))
	return fixture
}

// send sends a request to the first entry and returns the HTTP status and the
// decoded answer.
func (fixture *fixture) send(method, route, key, body string) (int, responder.Answer) {
	status, data := fixture.sendRaw(method, route, key, body)
	var answer responder.Answer
	fixture.c.Assert(json.Unmarshal(data, &answer), qt.IsNil, qt.Commentf("%s", data))
	return status, answer
}

func (fixture *fixture) sendRaw(method, route, key, body string) (int, []byte) {
	return fixture.sendRawTo(0, method, route, key, body)
}

// sendRawTo sends a request to one of the entries and returns the HTTP status
// and the body.
func (fixture *fixture) sendRawTo(entry int, method, route, key, body string) (int, []byte) {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+fixture.fleet.EntryAddress[entry]+route, bytes.NewBufferString(body))
	fixture.c.Assert(err, qt.IsNil)
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := http.DefaultClient.Do(request)
	fixture.c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	fixture.c.Assert(err, qt.IsNil)
	return response.StatusCode, data
}

func TestBadInputIsRefusedWithItsCode(t *testing.T) {
	fixture := startFixture(t)
	tests := []struct {
		name, key, body string
		code            coder.Code
	}{
		{"no key", "", `{"RequestID":"a","ClientAccount":"desk","Queue":"swap","Tasks":1}`, coder.MissingKey},
		{"wrong key", "nonsense", `{"RequestID":"a","ClientAccount":"desk","Queue":"swap","Tasks":1}`, coder.WrongKey},
		{"unknown queue", fixture.key, `{"RequestID":"b","ClientAccount":"desk","Queue":"none","Tasks":1}`, coder.UnknownQueue},
		{"unknown account", "", `{"RequestID":"c","ClientAccount":"none","Queue":"swap","Tasks":1}`, coder.UnknownAccount},
		{"malformed", fixture.key, `{"RequestID":`, coder.Malformed},
		{"unknown field", fixture.key, `{"RequestID":"d","Colour":"red"}`, coder.Malformed},
		{"two values", fixture.key, `{"RequestID":"d"}{}`, coder.Malformed},
		{"wrong type", fixture.key, `{"RequestID":"d","Tasks":"many"}`, coder.Malformed},
		{"negative tasks", fixture.key, `{"RequestID":"d","Tasks":-1}`, coder.Malformed},
		{"too large", fixture.key, `{"RequestID":"e","Payload":"` + strings.Repeat("A", 300_000) + `"}`, coder.BodyTooLarge},
		{"negative size", fixture.key, `{"RequestID":"f","ClientAccount":"desk","Queue":"swap","Tasks":1,"Size":{"MilliProcessors":-1,"MemoryMiB":1}}`, coder.BadSize},
		{"absurd size", fixture.key, `{"RequestID":"g","ClientAccount":"desk","Queue":"swap","Tasks":1,"Size":{"MilliProcessors":9000000000000000000,"MemoryMiB":1}}`, coder.BadSize},
		{"over the limit", fixture.key, `{"RequestID":"h","ClientAccount":"desk","Queue":"draw","Tasks":5}`, coder.CanNeverRun},
		{"gang of none", fixture.key, `{"RequestID":"i","ClientAccount":"desk","Queue":"draw","Tasks":0}`, coder.BadGang},
		{"no RequestID", fixture.key, `{"ClientAccount":"desk","Queue":"swap","Tasks":1}`, coder.MissingRequestID},
	}
	for _, test := range tests {
		fixture.c.Run(test.name, func(c *qt.C) {
			status, answer := fixture.send(http.MethodPost, "/v1/jobs", test.key, test.body)
			c.Check(answer.Code, qt.Equals, test.code, qt.Commentf("%+v", answer))
			c.Check(status, qt.Equals, test.code.Row().Status)
			c.Check(answer.NotRun, qt.IsTrue)
		})
	}
	_, answer := fixture.send(http.MethodPost, "/v1/workers/beat", "", `{"Worker":`)
	fixture.c.Check(answer.Code, qt.Equals, coder.Malformed)
	status, _ := fixture.send(http.MethodGet, "/v1/nothing", "", "")
	fixture.c.Check(status, qt.Equals, http.StatusNotFound)
	for _, process := range append(fixture.fleet.Cells, fixture.fleet.Entries...) {
		fixture.c.Check(process.Alive(), qt.IsTrue)
	}
}

func TestWorkGoesOnWhenTheLeaderIsKilled(t *testing.T) {
	fixture := startFixture(t, launcher.Worker{Name: "w1", DataCentre: "dc1", Rack: "r1"}, launcher.Worker{Name: "w2", DataCentre: "dc2", Rack: "r1"})
	body := `{"RequestID":"once","ClientAccount":"desk","Queue":"swap","Tasks":2,"Payload":"` + "eyJBbnN3ZXIiOiJ3aG9sZSJ9" + `"}`
	_, first := fixture.send(http.MethodPost, "/v1/jobs", fixture.key, body)
	fixture.c.Assert(first.Code, qt.Equals, coder.OK)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	leader, err := fixture.fleet.Leader(ctx)
	fixture.c.Assert(err, qt.IsNil)
	leader.Kill()

	_, again := fixture.send(http.MethodPost, "/v1/jobs", fixture.key, body)
	fixture.c.Check(again.Code, qt.Equals, coder.Duplicate)
	fixture.c.Check(again.Job, qt.Equals, first.Job)
	_, other := fixture.send(http.MethodPost, "/v1/jobs", fixture.key, strings.Replace(body, `"Tasks":2`, `"Tasks":1`, 1))
	fixture.c.Check(other.Code, qt.Equals, coder.RequestIDReused)

	_, data := fixture.sendRaw(http.MethodGet, "/v1/jobs/1?WaitMillis=20000", fixture.key, "")
	var job callerserver.JobAnswer
	fixture.c.Assert(json.Unmarshal(data, &job), qt.IsNil)
	fixture.c.Assert(job.Outcome, qt.Equals, "Succeeded", qt.Commentf("%s", data))
	fixture.c.Check(string(job.Tasks[0].Body), qt.Equals, "whole")

	fixture.c.Assert(leader.Start(), qt.IsNil)
	time.Sleep(time.Second)
	for _, cell := range fixture.fleet.Cells {
		status, err := cell.Stop(15 * time.Second)
		fixture.c.Assert(err, qt.IsNil)
		fixture.c.Check(status, qt.Equals, 0)
		var out bytes.Buffer
		fixture.c.Check(reviewer.Main(ctx, []string{"verify", cell.Folder}, &out, &out), qt.Equals, reviewer.StatusOK, qt.Commentf("%s", out.String()))
	}
}

func TestSettingsAreCheckedAsAWhole(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "cell.ini")
	text := "[Cell]\nName = x\nAddress = localhost:1\nBootstrap = 127.0.0.1:1, 127.0.0.1:1\nDataFolder = /dev/null/x\nMetricsAddress = 127.0.0.1:2\nColour = red\n[Log]\nElectionTimeout = 5\n[Paint]\nShade = 3\n"
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	command := exec.CommandContext(context.Background(), filepath.Join(programs, "dotterel-cell"), "-config", path)
	output, err := command.CombinedOutput()
	c.Assert(err, qt.IsNotNil)
	c.Check(command.ProcessState.ExitCode(), qt.Equals, 2)
	for _, want := range []string{
		":7: Cell.Colour: unknown key", ":10: Paint: unknown section", ":3: Cell.Address:", ":4: Cell.Bootstrap: duplicate address",
		":5: Cell.DataFolder: cannot be made", ":9: Log.ElectionTimeout: \"5\" is not a duration with a unit",
	} {
		c.Check(string(output), qt.Contains, want)
	}
	c.Check(strings.Count(string(output), "allowed: "), qt.Equals, 6)
}
