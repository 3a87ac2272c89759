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

// worker is one worker's side of the protocol. It is safe for concurrent use.
type worker struct {
	settings    *Settings
	description modeller.WorkerDescription
	record      *record
	// nudge asks for a beat before the interval is over.
	nudge chan struct{}

	mutex  sync.Mutex
	holder *leaser.Holder
	// known is true once a beat with the whole description was answered.
	known bool
	// told is how long the last answer wants the worker to wait between beats.
	told modeller.Millis
	// attempts holds every attempt ever heard of, so that none is run twice.
	attempts map[messenger.AttemptKey]*attempt
	leaving  bool
	// stay is true while the cell wants a leaving worker to wait.
	stay bool
	// gone is true once the worker runs nothing and never will.
	gone bool
}

type attempt struct {
	running bool
	// started is true until the start has been reported.
	started bool
	stop    chan struct{}
	// final is what remains to be reported about the attempt's end.
	final *applier.Report
}

// program is how a payload tells a stand-in what to do.
type program struct {
	RunMillis int64
	Fail      bool
	Answer    string
}

func newWorker(settings *Settings, name modeller.WorkerName, record *record) *worker {
	begun := time.Now()
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
		holder:   &leaser.Holder{Clock: func() modeller.Millis { return modeller.Millis(time.Since(begun).Milliseconds()) }},
		record:   record,
		nudge:    make(chan struct{}, 1),
		attempts: make(map[messenger.AttemptKey]*attempt),
	}
}

func (worker *worker) beatSoon() {
	select {
	case worker.nudge <- struct{}{}:
	default:
	}
}

// start runs an attempt unless it is known, late, or for another incarnation.
func (worker *worker) start(start *messenger.Start) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	key := messenger.AttemptKey{Task: start.Task, Attempt: start.Attempt}
	if start.Incarnation != worker.description.Incarnation || worker.attempts[key] != nil || worker.gone {
		return
	}
	deadline := worker.deadline(start.Deadline, start.Span)
	if !worker.holder.Admits(deadline) {
		worker.refuse(key, "the start came after its deadline")
		return
	}
	worker.renew(deadline)
	made := &attempt{running: true, started: true, stop: make(chan struct{})}
	worker.attempts[key] = made
	worker.record.note(worker.description, key, "Started")
	go worker.run(start, key, made)
	worker.beatSoon()
}

// deadline returns the end of a lease on the worker's clock. If the worker does
// not state its clock, it is given a span from now.
func (worker *worker) deadline(stated, span modeller.Millis) modeller.Millis {
	if worker.settings.Clockless {
		return worker.holder.Clock() + span
	}
	return stated
}

// renew takes up a later deadline, and stops all that ran under a lease that is
// over, which a process that was paused may find out only now.
func (worker *worker) renew(deadline modeller.Millis) {
	if worker.holder.Renew(deadline) {
		return
	}
	for _, attempt := range worker.attempts {
		attempt.halt()
	}
}

// refuse notes an attempt that is not run now and never will be.
func (worker *worker) refuse(key messenger.AttemptKey, detail string) {
	worker.attempts[key] = &attempt{final: worker.report(key, modeller.PhaseRefused, detail)}
	worker.record.note(worker.description, key, "Refused")
	worker.beatSoon()
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
	program := parseProgram(start)
	wait := time.Duration(program.RunMillis) * time.Millisecond
	if start.Kind == modeller.Service {
		wait = 365 * 24 * time.Hour
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-running.stop:
		worker.end(key, running, worker.report(key, modeller.PhaseStopped, "stopped"))
		return
	case <-timer.C:
	}
	if worker.expired() {
		worker.end(key, running, worker.report(key, modeller.PhaseStopped, "the lease was over"))
		return
	}
	if program.Fail || rand.Int64N(100) < worker.settings.FailPercent {
		worker.end(key, running, worker.report(key, modeller.PhaseFailed, "the task failed"))
		return
	}
	report := worker.report(key, modeller.PhaseSucceeded, "")
	body := []byte(program.Answer)
	report.Answer = &modeller.Answer{Body: body, Length: uint32(len(body)), Checksum: crc32.Checksum(body, castagnoli)}
	report.Used = start.Size
	worker.end(key, running, report)
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// parseProgram takes the declared run time if the payload says nothing.
func parseProgram(start *messenger.Start) program {
	parsed := program{RunMillis: int64(start.RunTime), Answer: "done " + start.Task.String()}
	_ = json.Unmarshal(start.Payload, &parsed)
	return parsed
}

func (worker *worker) end(key messenger.AttemptKey, ended *attempt, report *applier.Report) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	ended.running = false
	ended.final = report
	worker.record.note(worker.description, key, report.Phase.String())
	worker.beatSoon()
}

// stop ends an attempt; one that never came is refused for ever.
func (worker *worker) stop(key messenger.AttemptKey) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	found := worker.attempts[key]
	if found == nil {
		worker.refuse(key, "stopped before it came")
		return
	}
	found.halt()
}

func (attempt *attempt) halt() {
	if !attempt.running {
		return
	}
	select {
	case <-attempt.stop:
	default:
		close(attempt.stop)
	}
}

// expired reports whether the lease is over, which a process that was paused
// may find out late.
func (worker *worker) expired() bool {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	return !worker.holder.Holds()
}

// fence stops everything once the lease is over.
func (worker *worker) fence() {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	if worker.holder.Holds() {
		return
	}
	for _, attempt := range worker.attempts {
		attempt.halt()
	}
}

// beat describes the worker as it is now.
func (worker *worker) beat() *messenger.Beat {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	beat := &messenger.Beat{Worker: worker.description, Clock: worker.holder.Clock(), Clockless: worker.settings.Clockless, Leaving: worker.leaving, Gone: worker.gone}
	if worker.known {
		beat.Worker = beat.Worker.Brief()
	}
	for key, attempt := range worker.attempts {
		if attempt.running || attempt.final != nil {
			beat.Running = append(beat.Running, key)
		}
		if attempt.started {
			beat.Reports = append(beat.Reports, *worker.report(key, modeller.PhaseStarted, ""))
		}
		if attempt.final != nil {
			beat.Reports = append(beat.Reports, *attempt.final)
		}
	}
	return beat
}

// take carries out what the answer to a beat says.
func (worker *worker) take(beat *messenger.Beat, answer *messenger.BeatAnswer) {
	worker.mutex.Lock()
	worker.renew(worker.deadline(answer.Deadline, answer.Span))
	worker.told = answer.Interval
	worker.stay = answer.Stay
	worker.known = true
	for at := range beat.Reports {
		worker.settle(&beat.Reports[at], answer.Done)
	}
	worker.mutex.Unlock()
	for at := range answer.Starts {
		worker.start(&answer.Starts[at])
	}
	for _, key := range answer.Stops {
		worker.stop(key)
	}
}

// settle forgets a report that the cell has decided about.
func (worker *worker) settle(report *applier.Report, done []messenger.ReportKey) {
	attempt := worker.attempts[messenger.AttemptKey{Task: report.Task, Attempt: report.Attempt}]
	key := messenger.ReportKey{Task: report.Task, Attempt: report.Attempt, Phase: report.Phase}
	if attempt == nil || !slices.Contains(done, key) {
		return
	}
	if report.Phase == modeller.PhaseStarted {
		attempt.started = false
	} else {
		attempt.final = nil
	}
}

// describe makes the next beat whole, and has it sent soon if the refused one
// was not.
func (worker *worker) describe() {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	if worker.known {
		worker.known = false
		worker.beatSoon()
	}
}

// interval returns how long to wait until the next beat.
func (worker *worker) interval() time.Duration {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	return max(worker.settings.BeatInterval, time.Duration(worker.told)*time.Millisecond)
}

// part reports whether nothing runs, nothing remains to be reported, and what
// was handed on runs elsewhere. From then on the worker takes no start.
func (worker *worker) part() bool {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	if worker.stay {
		return false
	}
	for _, attempt := range worker.attempts {
		if attempt.running || attempt.final != nil {
			return false
		}
	}
	worker.gone = true
	return true
}

func (worker *worker) leave() {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.leaving = true
	worker.beatSoon()
}
