package launcher_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/callerserver"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/internal/launcher"
	"github.com/dotterelrill/dotterelrill/internal/standinrunner"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/responder"
)

// shutdownTimeout is the programs' default ShutdownTimeout.
const shutdownTimeout = 10 * time.Second

// assertStopped asserts that a process that was asked to stop exits with status
// 0 within its ShutdownTimeout.
func assertStopped(c *qt.C, process *launcher.Process) {
	status, err := process.Wait(shutdownTimeout)
	c.Assert(err, qt.IsNil)
	c.Check(status, qt.Equals, 0, qt.Commentf("%s", process.Name))
}

// submit submits a job whose tasks each run for the given time and returns its
// ID.
func (fixture *fixture) submit(id string, tasks int, run time.Duration) modeller.JobID {
	payload, err := json.Marshal(map[string]any{"RunMillis": run.Milliseconds(), "Answer": "done"})
	fixture.c.Assert(err, qt.IsNil)
	body, err := json.Marshal(callerserver.SubmitRequest{RequestID: modeller.RequestID(id), ClientAccount: "desk", Queue: "swap", Tasks: uint32(tasks), Payload: payload})
	fixture.c.Assert(err, qt.IsNil)
	_, answer := fixture.send(http.MethodPost, "/v1/jobs", fixture.key, string(body))
	fixture.c.Assert(answer.Code, qt.Equals, coder.OK, qt.Commentf("%+v", answer))
	return answer.Job
}

// awaitOutcome waits up to 20 s for the job to end and returns the answer.
func (fixture *fixture) awaitOutcome(job modeller.JobID) callerserver.JobAnswer {
	_, data := fixture.sendRaw(http.MethodGet, fmt.Sprintf("/v1/jobs/%d?WaitMillis=20000", job), fixture.key, "")
	var answer callerserver.JobAnswer
	fixture.c.Assert(json.Unmarshal(data, &answer), qt.IsNil, qt.Commentf("%s", data))
	return answer
}

func TestStoppingEntryReportsNotReadyBeforeItCloses(t *testing.T) {
	fixture := startFixtureWith(t, launcher.Config{
		EntrySettings: "ShutdownTimeout = 4s\nDrainDelay = 1s\n",
		Workers:       []launcher.Worker{{Name: "w1", DataCentre: "dc1", Rack: "r1"}},
	})
	job := fixture.submit("long", 1, 15*time.Second)
	entry := fixture.fleet.Entries[0]
	waiting := make(chan responder.Answer, 1)
	go func() {
		defer close(waiting)
		_, data := fixture.sendRaw(http.MethodGet, fmt.Sprintf("/v1/jobs/%d?WaitMillis=30000", job), fixture.key, "")
		var answer responder.Answer
		_ = json.Unmarshal(data, &answer)
		waiting <- answer
	}()
	time.Sleep(300 * time.Millisecond)

	entry.Signal(syscall.SIGTERM)
	url := "http://" + fixture.fleet.MetricsAddress(entry) + "/ready"
	ready := http.StatusOK
	for until := time.Now().Add(5 * time.Second); ready == http.StatusOK && time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, http.NoBody)
		fixture.c.Assert(err, qt.IsNil)
		response, err := http.DefaultClient.Do(request)
		fixture.c.Assert(err, qt.IsNil, qt.Commentf("the metrics listener must report not ready instead of closing"))
		_ = response.Body.Close()
		ready = response.StatusCode
	}
	fixture.c.Assert(ready, qt.Equals, http.StatusServiceUnavailable)
	connection, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", fixture.fleet.EntryAddress[0])
	fixture.c.Assert(err, qt.IsNil, qt.Commentf("the entry must keep accepting connections until load balancers have seen that it is not ready"))
	_ = connection.Close()

	assertStopped(fixture.c, entry)
	answer := <-waiting
	fixture.c.Check(answer.Code, qt.Equals, coder.ShuttingDown, qt.Commentf("%+v", answer))
	fixture.c.Check(answer.NotRun, qt.IsFalse)
}

func TestStoppingLeaderHandsOverUnderLoad(t *testing.T) {
	fixture := startFixture(t, launcher.Worker{Name: "w1", DataCentre: "dc1", Rack: "r1"}, launcher.Worker{Name: "w2", DataCentre: "dc2", Rack: "r1"})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	leader, err := fixture.fleet.Leader(ctx)
	fixture.c.Assert(err, qt.IsNil)
	preVotes := fixture.countLogged("PreCandidate")
	var jobs []modeller.JobID
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		leader.Signal(syscall.SIGTERM)
		assertStopped(fixture.c, leader)
	}()
	for number := 0; number < 20 || !closed(ended); number++ {
		jobs = append(jobs, fixture.submit(fmt.Sprint("load-", number), 1, 100*time.Millisecond))
	}
	for _, job := range jobs {
		fixture.c.Assert(fixture.awaitOutcome(job).Outcome, qt.Equals, "Succeeded")
	}
	fixture.c.Check(fixture.countLogged("leadership not handed over"), qt.Equals, 0)
	fixture.c.Check(fixture.countLogged("PreCandidate"), qt.Equals, preVotes, qt.Commentf("a leadership transfer needs no pre-vote"))
}

// countLogged counts the occurrences of text in the logs of all replicas.
func (fixture *fixture) countLogged(text string) int {
	count := 0
	for _, cell := range fixture.fleet.Cells {
		logText, err := os.ReadFile(cell.LogFile())
		fixture.c.Assert(err, qt.IsNil)
		count += bytes.Count(logText, []byte(text))
	}
	return count
}

func closed(ended <-chan struct{}) bool {
	select {
	case <-ended:
		return true
	default:
		return false
	}
}

// maxDrainDelay is how long after it announced its departure a worker may still
// be sent new tasks.
const maxDrainDelay = 2 * time.Second

// submissionInterval limits the load to 100 submissions a second, half of an
// entry's default rate limit for one client account.
const submissionInterval = 10 * time.Millisecond

func TestLeavingWorkerIsDrainedUnderLoad(t *testing.T) {
	fixture := startFixture(t, launcher.Worker{Name: "w1", DataCentre: "dc1", Rack: "r1"}, launcher.Worker{Name: "w2", DataCentre: "dc2", Rack: "r1"})
	fixture.submit("first", 4, time.Second)
	time.Sleep(500 * time.Millisecond)
	leavingSince := time.Now()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		fixture.fleet.Workers[0].Signal(syscall.SIGTERM)
		assertStopped(fixture.c, fixture.fleet.Workers[0])
	}()
	var jobs []modeller.JobID
	ticker := time.NewTicker(submissionInterval)
	defer ticker.Stop()
	for number := 0; number < 20 || !closed(ended) || time.Since(leavingSince) < maxDrainDelay; number++ {
		<-ticker.C
		jobs = append(jobs, fixture.submit(fmt.Sprint("load-", number), 1, 200*time.Millisecond))
	}
	for _, job := range jobs {
		fixture.c.Assert(fixture.awaitOutcome(job).Outcome, qt.Equals, "Succeeded")
	}
	running := 0
	for _, line := range fixture.readRecord("w1") {
		if line.Event != "Started" {
			running--
			continue
		}
		running++
		fixture.c.Check(line.UnixMillis < leavingSince.Add(maxDrainDelay).UnixMilli(), qt.IsTrue, qt.Commentf("started %d ms after the worker announced its departure", line.UnixMillis-leavingSince.UnixMilli()))
	}
	fixture.c.Check(running, qt.Equals, 0)
}

// readRecord returns the lines of a stand-in's record file.
func (fixture *fixture) readRecord(worker string) []standinrunner.RecordLine {
	data, err := os.ReadFile(fixture.fleet.RecordFile(worker))
	fixture.c.Assert(err, qt.IsNil)
	var lines []standinrunner.RecordLine
	for scanner := bufio.NewScanner(bytes.NewReader(data)); scanner.Scan(); {
		var line standinrunner.RecordLine
		fixture.c.Assert(json.Unmarshal(scanner.Bytes(), &line), qt.IsNil)
		lines = append(lines, line)
	}
	return lines
}

// TestLeavingWorkerHandsOverItsServices expects the services of a leaving worker
// to run on another worker before it exits, not only once its lease has expired.
func TestLeavingWorkerHandsOverItsServices(t *testing.T) {
	fixture := startFixture(t, launcher.Worker{Name: "w1", DataCentre: "dc1", Rack: "r1"}, launcher.Worker{Name: "w2", DataCentre: "dc2", Rack: "r1"})
	_, answer := fixture.send(http.MethodPost, "/v1/jobs", fixture.key, `{"RequestID":"site","ClientAccount":"desk","Queue":"site","Tasks":4}`)
	fixture.c.Assert(answer.Code, qt.Equals, coder.OK, qt.Commentf("%+v", answer))
	started := func() int { return len(fixture.readRecord("w1")) + len(fixture.readRecord("w2")) }
	for until := time.Now().Add(10 * time.Second); started() < 4 && time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
	}
	leaving, staying := fixture.fleet.Workers[0], "w2"
	if len(fixture.readRecord("w1")) == 0 {
		leaving, staying = fixture.fleet.Workers[1], "w1"
	}
	leaving.Signal(syscall.SIGTERM)
	assertStopped(fixture.c, leaving)
	running := make(map[uint32]bool)
	for _, line := range fixture.readRecord(staying) {
		running[line.Index] = line.Event == "Started"
	}
	fixture.c.Check(running, qt.DeepEquals, map[uint32]bool{0: true, 1: true, 2: true, 3: true})
}

func TestSignalEndsAProgramWithoutQuorum(t *testing.T) {
	c := qt.New(t)
	fleet, err := launcher.Start(launcher.Config{Folder: t.TempDir(), Programs: programs, Cells: 1, Absent: 2, Entries: 1})
	c.Assert(err, qt.IsNil)
	t.Cleanup(fleet.Kill)
	time.Sleep(500 * time.Millisecond)
	for _, process := range []*launcher.Process{fleet.Cells[0], fleet.Entries[0]} {
		process.Signal(syscall.SIGTERM)
		assertStopped(c, process)
	}
}

func TestSecondSignalEndsAtOnce(t *testing.T) {
	fixture := startFixture(t, launcher.Worker{Name: "w1", DataCentre: "dc1", Rack: "r1"})
	fixture.submit("long", 1, 30*time.Second)
	time.Sleep(time.Second)
	worker := fixture.fleet.Workers[0]
	worker.Signal(syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond)
	fixture.c.Assert(worker.Alive(), qt.IsTrue)
	_, err := worker.Stop(time.Second)
	fixture.c.Check(err, qt.IsNil)
}

func TestHangupEndsNoProgram(t *testing.T) {
	fixture := startFixture(t, launcher.Worker{Name: "w1", DataCentre: "dc1", Rack: "r1"})
	processes := slices.Concat(fixture.fleet.Cells, fixture.fleet.Entries)
	for _, process := range processes {
		process.Signal(syscall.SIGHUP)
	}
	fixture.c.Assert(fixture.awaitOutcome(fixture.submit("after", 1, 50*time.Millisecond)).Outcome, qt.Equals, "Succeeded")
	for _, process := range processes {
		fixture.c.Check(process.Alive(), qt.IsTrue, qt.Commentf("%s", process.Name))
	}
}

func TestHangupDoesNotEndAStoppingProgram(t *testing.T) {
	fixture := startFixtureWith(t, launcher.Config{EntrySettings: "ShutdownTimeout = 4s\nDrainDelay = 1s\n"})
	entry := fixture.fleet.Entries[0]
	entry.Signal(syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond)
	for range 3 {
		fixture.c.Assert(entry.Alive(), qt.IsTrue)
		entry.Signal(syscall.SIGHUP)
		time.Sleep(100 * time.Millisecond)
	}
	assertStopped(fixture.c, entry)
}
