package standinrunner

import (
	"encoding/json"
	"hash/crc32"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/leaser"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// worker implements one worker's side of the protocol. It is safe for
// concurrent use.
type worker struct {
	settings    *Settings
	description modeller.WorkerDescription
	record      *record
	// heartbeatRequested requests a heartbeat before the interval is over.
	heartbeatRequested chan struct{}

	mutex  sync.Mutex
	holder *leaser.Holder
	// descriptionAcknowledged is true once a heartbeat with the full
	// description was acknowledged.
	descriptionAcknowledged bool
	// requestedInterval is the interval between heartbeats that the last answer
	// requested.
	requestedInterval modeller.Millis
	// attempts holds every attempt of this incarnation, also ended and refused
	// ones, so that none is run twice.
	attempts map[messenger.AttemptKey]*attempt
	leaving  bool
	// mustStay is true while a service that the leaving worker handed over does
	// not run elsewhere yet. The worker must not end before.
	mustStay bool
	// gone is true once the worker runs nothing and accepts no more starts.
	gone bool
}

type attempt struct {
	running bool
	// startUnacknowledged is true until the start's report has been
	// acknowledged.
	startUnacknowledged bool
	stop                chan struct{}
	// finalReport is the report on the attempt's end, nil once it has been
	// acknowledged.
	finalReport *applier.Report
}

// instructions is the JSON payload with which tests control how a task runs.
type instructions struct {
	RunMillis int64
	Fail      bool
	Answer    string
}

func newWorker(settings *Settings, name modeller.WorkerName, record *record) *worker {
	startedAt := time.Now()
	return &worker{
		settings: settings,
		description: modeller.WorkerDescription{
			Name:        name,
			Incarnation: modeller.Incarnation(rand.Uint64()>>1 | 1),
			DataCentre:  modeller.DataCentreName(settings.DataCentre),
			Rack:        modeller.RackName(settings.Rack),
			Capacity:    modeller.Resources{MilliProcessors: settings.Processors * 1000, MemoryMiB: settings.MemoryMiB, Accelerators: settings.Accelerators},
			Slots:       settings.Slots,
			Address:     settings.Address,
		},
		holder:             &leaser.Holder{Clock: func() modeller.Millis { return modeller.Millis(time.Since(startedAt).Milliseconds()) }},
		record:             record,
		heartbeatRequested: make(chan struct{}, 1),
		attempts:           make(map[messenger.AttemptKey]*attempt),
	}
}

func (worker *worker) requestHeartbeat() {
	select {
	case worker.heartbeatRequested <- struct{}{}:
	default:
	}
}

// start runs an attempt unless it is known, past its deadline, or for another
// incarnation.
func (worker *worker) start(start *messenger.Start) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	key := messenger.AttemptKey{Task: start.Task, Attempt: start.Attempt}
	if start.Incarnation != worker.description.Incarnation || worker.attempts[key] != nil || worker.gone {
		return
	}
	deadline := worker.deadline(start.Deadline, start.Span)
	if !worker.holder.Admits(deadline) {
		worker.refuse(key, "the start arrived after its deadline")
		return
	}
	worker.renew(deadline)
	created := &attempt{running: true, startUnacknowledged: true, stop: make(chan struct{})}
	worker.attempts[key] = created
	worker.record.write(worker.description, key, "Started")
	go worker.run(start, key, created)
	worker.requestHeartbeat()
}

// deadline returns the end of the lease on the worker's clock. If the worker
// does not report its clock, the lease ends after span from now.
func (worker *worker) deadline(reported, span modeller.Millis) modeller.Millis {
	if worker.settings.Clockless {
		return worker.holder.Clock() + span
	}
	return reported
}

// renew extends the lease to a later deadline. If the previous lease has
// expired, it stops all attempts that ran under it; a process that was paused
// may detect that only now.
func (worker *worker) renew(deadline modeller.Millis) {
	if worker.holder.Renew(deadline) {
		return
	}
	for _, attempt := range worker.attempts {
		attempt.requestStop()
	}
}

// refuse records an attempt as refused, so that it is never run.
func (worker *worker) refuse(key messenger.AttemptKey, detail string) {
	worker.attempts[key] = &attempt{finalReport: worker.report(key, modeller.PhaseRefused, detail)}
	worker.record.write(worker.description, key, "Refused")
	worker.requestHeartbeat()
}

func (worker *worker) report(key messenger.AttemptKey, phase modeller.Phase, detail string) *applier.Report {
	return &applier.Report{
		Task:        key.Task,
		Attempt:     key.Attempt,
		Worker:      worker.description.Name,
		Incarnation: worker.description.Incarnation,
		Phase:       phase,
		Detail:      detail,
	}
}

func (worker *worker) run(start *messenger.Start, key messenger.AttemptKey, running *attempt) {
	instructions := parseInstructions(start)
	runTime := time.Duration(instructions.RunMillis) * time.Millisecond
	if start.Kind == modeller.Service {
		runTime = 365 * 24 * time.Hour
	}
	timer := time.NewTimer(runTime)
	defer timer.Stop()
	select {
	case <-running.stop:
		worker.finish(key, running, worker.report(key, modeller.PhaseStopped, "stopped"))
		return
	case <-timer.C:
	}
	if worker.expired() {
		worker.finish(key, running, worker.report(key, modeller.PhaseStopped, "the lease expired"))
		return
	}
	if instructions.Fail || rand.Int64N(100) < worker.settings.FailPercent {
		worker.finish(key, running, worker.report(key, modeller.PhaseFailed, "the task failed"))
		return
	}
	report := worker.report(key, modeller.PhaseSucceeded, "")
	body := []byte(instructions.Answer)
	report.Answer = &modeller.Answer{Body: body, Length: uint32(len(body)), Checksum: crc32.Checksum(body, castagnoli)}
	report.Used = start.Size
	worker.finish(key, running, report)
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// parseInstructions decodes the payload. It falls back to the declared run time.
func parseInstructions(start *messenger.Start) instructions {
	parsed := instructions{RunMillis: int64(start.RunTime), Answer: "done " + start.Task.String()}
	_ = json.Unmarshal(start.Payload, &parsed)
	return parsed
}

func (worker *worker) finish(key messenger.AttemptKey, ended *attempt, report *applier.Report) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	ended.running = false
	ended.finalReport = report
	worker.record.write(worker.description, key, report.Phase.String())
	worker.requestHeartbeat()
}

// stop stops an attempt. One whose start has not arrived yet is recorded as
// refused.
func (worker *worker) stop(key messenger.AttemptKey) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	found := worker.attempts[key]
	if found == nil {
		worker.refuse(key, "stopped before the start arrived")
		return
	}
	found.requestStop()
}

func (attempt *attempt) requestStop() {
	if !attempt.running {
		return
	}
	select {
	case <-attempt.stop:
	default:
		close(attempt.stop)
	}
}

// expired reports whether the lease has expired. A process that was paused may
// detect that late, when its tasks have already ended.
func (worker *worker) expired() bool {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	return !worker.holder.Valid()
}

// fence stops all attempts once the lease has expired.
func (worker *worker) fence() {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	if worker.holder.Valid() {
		return
	}
	for _, attempt := range worker.attempts {
		attempt.requestStop()
	}
}

// heartbeat returns a heartbeat with the worker's current state and all reports
// that have not been acknowledged.
func (worker *worker) heartbeat() *messenger.Heartbeat {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	heartbeat := &messenger.Heartbeat{Worker: worker.description, Clock: worker.holder.Clock(), Clockless: worker.settings.Clockless, Leaving: worker.leaving, Gone: worker.gone}
	if worker.descriptionAcknowledged {
		heartbeat.Worker = heartbeat.Worker.Brief()
	}
	for key, attempt := range worker.attempts {
		if attempt.running || attempt.finalReport != nil {
			heartbeat.Running = append(heartbeat.Running, key)
		}
		if attempt.startUnacknowledged {
			heartbeat.Reports = append(heartbeat.Reports, *worker.report(key, modeller.PhaseStarted, ""))
		}
		if attempt.finalReport != nil {
			heartbeat.Reports = append(heartbeat.Reports, *attempt.finalReport)
		}
	}
	return heartbeat
}

// applyAnswer applies the answer to a heartbeat: the lease, the interval, the
// acknowledged reports, and the starts and stops in it.
func (worker *worker) applyAnswer(heartbeat *messenger.Heartbeat, answer *messenger.HeartbeatAnswer) {
	worker.mutex.Lock()
	worker.renew(worker.deadline(answer.Deadline, answer.Span))
	worker.requestedInterval = answer.Interval
	worker.mustStay = answer.Stay
	worker.descriptionAcknowledged = true
	for index := range heartbeat.Reports {
		worker.acknowledge(&heartbeat.Reports[index], answer.Done)
	}
	worker.mutex.Unlock()
	for index := range answer.Starts {
		worker.start(&answer.Starts[index])
	}
	for _, key := range answer.Stops {
		worker.stop(key)
	}
}

// acknowledge drops a report if it is among those that the cell has handled.
func (worker *worker) acknowledge(report *applier.Report, acknowledged []messenger.ReportKey) {
	attempt := worker.attempts[messenger.AttemptKey{Task: report.Task, Attempt: report.Attempt}]
	key := messenger.ReportKey{Task: report.Task, Attempt: report.Attempt, Phase: report.Phase}
	if attempt == nil || !slices.Contains(acknowledged, key) {
		return
	}
	if report.Phase == modeller.PhaseStarted {
		attempt.startUnacknowledged = false
	} else {
		attempt.finalReport = nil
	}
}

// requestFullDescription makes the next heartbeat carry the full description,
// and sends it immediately if the refused one did not carry it.
func (worker *worker) requestFullDescription() {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	if worker.descriptionAcknowledged {
		worker.descriptionAcknowledged = false
		worker.requestHeartbeat()
	}
}

// interval returns the time until the next heartbeat: the configured interval,
// or the one that the cell requested if that is longer.
func (worker *worker) interval() time.Duration {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	return max(worker.settings.BeatInterval, time.Duration(worker.requestedInterval)*time.Millisecond)
}

// finishLeaving reports whether nothing runs, all reports are acknowledged, and
// the cell no longer requires the worker to stay until its services run
// elsewhere. From then on the worker accepts no starts.
func (worker *worker) finishLeaving() bool {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	if worker.mustStay {
		return false
	}
	for _, attempt := range worker.attempts {
		if attempt.running || attempt.finalReport != nil {
			return false
		}
	}
	worker.gone = true
	return true
}

func (worker *worker) startLeaving() {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.leaving = true
	worker.requestHeartbeat()
}
