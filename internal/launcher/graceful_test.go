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
func (path *path) submit(id string, tasks int, run time.Duration) modeller.JobID {
	payload, err := json.Marshal(map[string]any{"RunMillis": run.Milliseconds(), "Answer": "done"})
	path.c.Assert(err, qt.IsNil)
	body, err := json.Marshal(callerserver.SubmitRequest{RequestID: modeller.RequestID(id), ClientAccount: "desk", Queue: "swap", Tasks: uint32(tasks), Payload: payload})
	path.c.Assert(err, qt.IsNil)
	_, answer := path.send(http.MethodPost, "/v1/jobs", path.key, string(body))
	path.c.Assert(answer.Code, qt.Equals, coder.OK, qt.Commentf("%+v", answer))
	return answer.Job
}

// awaitOutcome waits up to 20 s for the job to end and returns the answer.
func (path *path) awaitOutcome(job modeller.JobID) callerserver.JobAnswer {
	_, data := path.sendRaw(http.MethodGet, fmt.Sprintf("/v1/jobs/%d?WaitMillis=20000", job), path.key, "")
	var answer callerserver.JobAnswer
	path.c.Assert(json.Unmarshal(data, &answer), qt.IsNil, qt.Commentf("%s", data))
	return answer
}

func TestStoppingEntryReportsNotReadyBeforeItCloses(t *testing.T) {
	path := startPathWith(t, launcher.Config{
		EntrySettings: "ShutdownTimeout = 4s\nDrainDelay = 1s\n",
		Workers:       []launcher.Worker{{Name: "w1", DataCentre: "dc1", Rack: "r1"}},
	})
	job := path.submit("long", 1, 15*time.Second)
	entry := path.fleet.Entries[0]
	waiting := make(chan responder.Answer, 1)
	go func() {
		defer close(waiting)
		_, data := path.sendRaw(http.MethodGet, fmt.Sprintf("/v1/jobs/%d?WaitMillis=30000", job), path.key, "")
		var answer responder.Answer
		_ = json.Unmarshal(data, &answer)
		waiting <- answer
	}()
	time.Sleep(300 * time.Millisecond)

	entry.Signal(syscall.SIGTERM)
	url := "http://" + path.fleet.MetricsAddress(entry) + "/ready"
	ready := http.StatusOK
	for until := time.Now().Add(5 * time.Second); ready == http.StatusOK && time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, http.NoBody)
		path.c.Assert(err, qt.IsNil)
		response, err := http.DefaultClient.Do(request)
		path.c.Assert(err, qt.IsNil, qt.Commentf("the metrics listener must report not ready instead of closing"))
		_ = response.Body.Close()
		ready = response.StatusCode
	}
	path.c.Assert(ready, qt.Equals, http.StatusServiceUnavailable)
	connection, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", path.fleet.EntryAddress[0])
	path.c.Assert(err, qt.IsNil, qt.Commentf("the entry must keep accepting connections until load balancers have seen that it is not ready"))
	_ = connection.Close()

	assertStopped(path.c, entry)
	answer := <-waiting
	path.c.Check(answer.Code, qt.Equals, coder.ShuttingDown, qt.Commentf("%+v", answer))
	path.c.Check(answer.NotRun, qt.IsFalse)
}

func TestStoppingLeaderHandsOverUnderLoad(t *testing.T) {
	path := startPath(t, launcher.Worker{Name: "w1", DataCentre: "dc1", Rack: "r1"}, launcher.Worker{Name: "w2", DataCentre: "dc2", Rack: "r1"})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	leader, err := path.fleet.Leader(ctx)
	path.c.Assert(err, qt.IsNil)
	preVotes := path.countLogged("PreCandidate")
	var jobs []modeller.JobID
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		leader.Signal(syscall.SIGTERM)
		assertStopped(path.c, leader)
	}()
	for number := 0; number < 20 || !closed(ended); number++ {
		jobs = append(jobs, path.submit(fmt.Sprint("load-", number), 1, 100*time.Millisecond))
	}
	for _, job := range jobs {
		path.c.Assert(path.awaitOutcome(job).Outcome, qt.Equals, "Succeeded")
	}
	path.c.Check(path.countLogged("leadership not handed over"), qt.Equals, 0)
	path.c.Check(path.countLogged("PreCandidate"), qt.Equals, preVotes, qt.Commentf("a leadership transfer needs no pre-vote"))
}

// countLogged counts the occurrences of text in the logs of all replicas.
func (path *path) countLogged(text string) int {
	count := 0
	for _, cell := range path.fleet.Cells {
		logText, err := os.ReadFile(cell.LogFile())
		path.c.Assert(err, qt.IsNil)
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
	path := startPath(t, launcher.Worker{Name: "w1", DataCentre: "dc1", Rack: "r1"}, launcher.Worker{Name: "w2", DataCentre: "dc2", Rack: "r1"})
	path.submit("first", 4, time.Second)
	time.Sleep(500 * time.Millisecond)
	leavingSince := time.Now()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		path.fleet.Workers[0].Signal(syscall.SIGTERM)
		assertStopped(path.c, path.fleet.Workers[0])
	}()
	var jobs []modeller.JobID
	ticker := time.NewTicker(submissionInterval)
	defer ticker.Stop()
	for number := 0; number < 20 || !closed(ended) || time.Since(leavingSince) < maxDrainDelay; number++ {
		<-ticker.C
		jobs = append(jobs, path.submit(fmt.Sprint("load-", number), 1, 200*time.Millisecond))
	}
	for _, job := range jobs {
		path.c.Assert(path.awaitOutcome(job).Outcome, qt.Equals, "Succeeded")
	}
	running := 0
	for _, line := range path.readRecord("w1") {
		if line.Event != "Started" {
			running--
			continue
		}
		running++
		path.c.Check(line.UnixMillis < leavingSince.Add(maxDrainDelay).UnixMilli(), qt.IsTrue, qt.Commentf("started %d ms after the worker announced its departure", line.UnixMillis-leavingSince.UnixMilli()))
	}
	path.c.Check(running, qt.Equals, 0)
}

// readRecord returns the lines of a stand-in's record file.
func (path *path) readRecord(worker string) []standinrunner.Line {
	data, err := os.ReadFile(path.fleet.RecordFile(worker))
	path.c.Assert(err, qt.IsNil)
	var lines []standinrunner.Line
	for scanner := bufio.NewScanner(bytes.NewReader(data)); scanner.Scan(); {
		var line standinrunner.Line
		path.c.Assert(json.Unmarshal(scanner.Bytes(), &line), qt.IsNil)
		lines = append(lines, line)
	}
	return lines
}

// TestLeavingWorkerHandsOverItsServices expects the services of a leaving worker
// to run on another worker before it exits, not only once its lease has expired.
func TestLeavingWorkerHandsOverItsServices(t *testing.T) {
	path := startPath(t, launcher.Worker{Name: "w1", DataCentre: "dc1", Rack: "r1"}, launcher.Worker{Name: "w2", DataCentre: "dc2", Rack: "r1"})
	_, answer := path.send(http.MethodPost, "/v1/jobs", path.key, `{"RequestID":"site","ClientAccount":"desk","Queue":"site","Tasks":4}`)
	path.c.Assert(answer.Code, qt.Equals, coder.OK, qt.Commentf("%+v", answer))
	started := func() int { return len(path.readRecord("w1")) + len(path.readRecord("w2")) }
	for until := time.Now().Add(10 * time.Second); started() < 4 && time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
	}
	leaving, staying := path.fleet.Workers[0], "w2"
	if len(path.readRecord("w1")) == 0 {
		leaving, staying = path.fleet.Workers[1], "w1"
	}
	leaving.Signal(syscall.SIGTERM)
	assertStopped(path.c, leaving)
	running := make(map[uint32]bool)
	for _, line := range path.readRecord(staying) {
		running[line.Index] = line.Event == "Started"
	}
	path.c.Check(running, qt.DeepEquals, map[uint32]bool{0: true, 1: true, 2: true, 3: true})
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
	path := startPath(t, launcher.Worker{Name: "w1", DataCentre: "dc1", Rack: "r1"})
	path.submit("long", 1, 30*time.Second)
	time.Sleep(time.Second)
	worker := path.fleet.Workers[0]
	worker.Signal(syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond)
	path.c.Assert(worker.Alive(), qt.IsTrue)
	_, err := worker.Stop(time.Second)
	path.c.Check(err, qt.IsNil)
}

func TestHangupEndsNoProgram(t *testing.T) {
	path := startPath(t, launcher.Worker{Name: "w1", DataCentre: "dc1", Rack: "r1"})
	processes := slices.Concat(path.fleet.Cells, path.fleet.Entries)
	for _, process := range processes {
		process.Signal(syscall.SIGHUP)
	}
	path.c.Assert(path.awaitOutcome(path.submit("after", 1, 50*time.Millisecond)).Outcome, qt.Equals, "Succeeded")
	for _, process := range processes {
		path.c.Check(process.Alive(), qt.IsTrue, qt.Commentf("%s", process.Name))
	}
}
