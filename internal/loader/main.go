// Command loader is a load generator that measures the throughput and latency of
// the real programs on loopback: the submissions accepted a second, and the times
// from sending a submission until it is accepted and until its task starts on a
// stand-in worker, according to the stand-in's record.
package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/callerserver"
	"github.com/dotterelrill/dotterelrill/internal/launcher"
	"github.com/dotterelrill/dotterelrill/internal/standinrunner"
	"github.com/dotterelrill/dotterelrill/keyer"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/operatorserver"
	"github.com/dotterelrill/dotterelrill/responder"
)

func main() {
	programs := flag.String("programs", "bin", "folder of the built programs")
	callers := flag.Int("callers", 32, "concurrent callers")
	jobs := flag.Int("jobs", 3000, "jobs in all")
	rate := flag.Float64("rate", 0, "submissions a second over all callers; 0 for no limit")
	flood := flag.Float64("flood", 0, "submissions a second of a second client account, in an additional run; 0 for none")
	admission := flag.Int("admission", 100_000, "submissions a second that an entry admits of one client account")
	flag.Parse()
	workload := &workload{account: "load", callers: *callers, jobs: *jobs, rate: *rate}
	if err := run(workload, *programs, *flood, *admission); err != nil {
		fmt.Fprintln(os.Stderr, "measurement failed:", err)
		os.Exit(1)
	}
}

// measurementTimeout bounds the whole measurement.
const measurementTimeout = 3 * time.Minute

// workload is the load of one client account: its parameters and what was measured.
// rate is in submissions a second over all callers; 0 means no limit.
type workload struct {
	account modeller.ClientAccountName
	key     string
	callers int
	jobs    int
	rate    float64

	fleet       *launcher.Fleet
	submissions atomic.Int64
	startedAt   time.Time

	mutex sync.Mutex
	// sentAt holds the sending time of each accepted job.
	sentAt      map[modeller.JobID]time.Time
	refused     int
	acceptTimes *hdrhistogram.Histogram
}

const template = `[Template]
Name = %[1]s
ClientAccount = %[1]s
LimitMilliProcessors = 1000000
LimitMemoryMiB = 1000000
KeyHashes = %[2]s
[Queue.urgent]
Kind = Batch
Urgency = Urgent
MilliProcessors = 100
MemoryMiB = 16
RunTime = 20ms
MaxWaiting = 1000000
`

func run(workload *workload, programs string, flood float64, admission int) error {
	folder, err := os.MkdirTemp("", "dotterel-load-")
	if err != nil {
		return eris.Wrap(err, "create a folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	ctx, cancel := context.WithTimeout(context.Background(), measurementTimeout)
	defer cancel()
	workers := []launcher.Worker{}
	for index := range 6 {
		workers = append(workers, launcher.Worker{Name: fmt.Sprintf("worker-%d", index), DataCentre: fmt.Sprintf("dc%d", index%2+1), Rack: "r1", Settings: "Slots = 64"})
	}
	fleet, err := launcher.Start(launcher.Config{
		Folder: folder, Programs: programs, Cells: 3, Entries: 2, Workers: workers,
		EntrySettings: fmt.Sprintf("[Admission]\nRate = %d\nBurst = %d\nMostInFlight = 10000\n", admission, admission),
	})
	if err != nil {
		return err
	}
	defer fleet.Kill()
	if err := fleet.AwaitReady(ctx); err != nil {
		return err
	}
	// Workers send their first heartbeat within their heartbeat interval.
	time.Sleep(firstHeartbeatDelay)
	if err := workload.measure(ctx, fleet); err != nil || flood == 0 {
		return err
	}
	return measureFlood(ctx, fleet, workload, flood)
}

const firstHeartbeatDelay = 2 * time.Second

// measureFlood repeats the baseline load, which must have a rate, while a second
// client account sends submissions at the given rate a second.
func measureFlood(ctx context.Context, fleet *launcher.Fleet, baseline *workload, rate float64) error {
	repeated := &workload{account: "again", callers: baseline.callers, jobs: baseline.jobs, rate: baseline.rate}
	seconds := float64(baseline.jobs) / baseline.rate
	flood := &workload{account: "flood", callers: 4 * baseline.callers, jobs: int(rate * seconds), rate: rate}
	floodErr := make(chan error, 1)
	go func() { floodErr <- flood.measure(ctx, fleet) }()
	if err := repeated.measure(ctx, fleet); err != nil {
		return err
	}
	return <-floodErr
}

// measure submits all jobs, waits until they have started and prints the figures.
func (workload *workload) measure(ctx context.Context, fleet *launcher.Fleet) error {
	workload.fleet = fleet
	if err := workload.prepare(ctx); err != nil {
		return err
	}
	workload.submitAll(ctx)
	duration := time.Since(workload.startedAt)
	if err := workload.awaitStarts(ctx); err != nil {
		return err
	}
	return workload.printFigures(duration)
}

// prepare applies the client account's template, with a new key.
func (workload *workload) prepare(ctx context.Context) error {
	workload.key = keyer.Generate()
	workload.sentAt = make(map[modeller.JobID]time.Time)
	workload.acceptTimes = newHistogram()
	source := fmt.Sprintf(template, workload.account, keyer.Hash(workload.key))
	body, err := json.Marshal(operatorserver.TemplateRequest{RequestID: modeller.RequestID(workload.account), File: "load.ini", Source: source})
	if err != nil {
		return eris.Wrap(err, "encode the template")
	}
	_, err = workload.post(ctx, 0, "/v1/operator/templates", workload.fleet.OperatorKey, body)
	return err
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

func (workload *workload) post(ctx context.Context, entry int, path, key string, body []byte) (responder.Answer, error) {
	var answer responder.Answer
	target := "http://" + workload.fleet.EntryAddress[entry%len(workload.fleet.EntryAddress)] + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return answer, eris.Wrap(err, "create a request")
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer, eris.Wrap(err, "send a request")
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return answer, eris.Wrap(err, "decode an answer")
	}
	if response.StatusCode != http.StatusOK {
		return answer, eris.Errorf("%s: %s", answer.Name, answer.Detail)
	}
	return answer, nil
}

func (workload *workload) submitAll(ctx context.Context) {
	http.DefaultTransport.(*http.Transport).MaxIdleConnsPerHost = workload.callers
	workload.startedAt = time.Now()
	var group sync.WaitGroup
	for caller := range workload.callers {
		group.Go(func() { workload.runCaller(ctx, caller) })
	}
	group.Wait()
}

func (workload *workload) runCaller(ctx context.Context, caller int) {
	for ctx.Err() == nil {
		number := workload.submissions.Add(1)
		if number > int64(workload.jobs) {
			return
		}
		if workload.rate > 0 {
			time.Sleep(time.Until(workload.startedAt.Add(time.Duration(float64(number) / workload.rate * float64(time.Second)))))
		}
		workload.submit(ctx, caller)
	}
}

func (workload *workload) submit(ctx context.Context, caller int) {
	request := callerserver.SubmitRequest{RequestID: modeller.RequestID(uuid.NewString()), ClientAccount: workload.account, Queue: "urgent", Tasks: 1}
	body, err := json.Marshal(request)
	if err != nil {
		return
	}
	sentAt := time.Now()
	answer, err := workload.post(ctx, caller, "/v1/jobs", workload.key, body)
	duration := time.Since(sentAt)
	workload.mutex.Lock()
	defer workload.mutex.Unlock()
	if err != nil {
		workload.refused++
		return
	}
	workload.sentAt[answer.Job] = sentAt
	_ = workload.acceptTimes.RecordValue(duration.Microseconds())
}

// awaitStarts waits until the stand-ins' records have a start of every accepted job.
func (workload *workload) awaitStarts(ctx context.Context) error {
	for {
		if workload.allStarted() {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.New("not every accepted job has started")
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func (workload *workload) allStarted() bool {
	starts := workload.readStarts()
	for job := range workload.sentAt {
		if _, started := starts[job]; !started {
			return false
		}
	}
	return true
}

// readStarts reads from the stand-ins' records when each job first started, in Unix
// milliseconds.
func (workload *workload) readStarts() map[modeller.JobID]int64 {
	starts := make(map[modeller.JobID]int64)
	for _, worker := range workload.fleet.Workers {
		file, err := os.Open(workload.fleet.RecordFile(worker.Name))
		if err != nil {
			continue
		}
		scanner := bufio.NewScanner(file)
		for scanner.Scan() {
			var line standinrunner.RecordLine
			if err := json.Unmarshal(scanner.Bytes(), &line); err != nil || line.Event != "Started" {
				continue
			}
			if first, seen := starts[line.Job]; !seen || line.UnixMillis < first {
				starts[line.Job] = line.UnixMillis
			}
		}
		_ = file.Close()
	}
	return starts
}

func (workload *workload) printFigures(duration time.Duration) error {
	starts := workload.readStarts()
	waits := newHistogram()
	for job, sentAt := range workload.sentAt {
		_ = waits.RecordValue(max(1, 1000*(starts[job]-sentAt.UnixMilli())))
	}
	fmt.Printf("%s: jobs accepted %d, refused %d, in %.2f s: %.0f accepted a second\n", workload.account, len(workload.sentAt), workload.refused, duration.Seconds(), float64(len(workload.sentAt))/duration.Seconds())
	for _, row := range []struct {
		name      string
		histogram *hdrhistogram.Histogram
	}{{"submit to accepted", workload.acceptTimes}, {"submit to start", waits}} {
		fmt.Printf("%-20s median %6.1f ms  p99 %6.1f ms  max %6.1f ms\n", row.name,
			float64(row.histogram.ValueAtQuantile(50))/1000, float64(row.histogram.ValueAtQuantile(99))/1000, float64(row.histogram.Max())/1000)
	}
	return nil
}
