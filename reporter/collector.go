// Package reporter writes the report that people read after an incident: one
// self-contained HTML page, generated from a history, with the waiting time by
// client account and urgency, share against entitlement and packing over time,
// and the failures with their effects.
//
// A Collector processes the records of a history one by one and keeps sums and
// evenly spaced samples, so that its memory does not grow with the history.
// Checking invariants over the history is left to package verifier.
package reporter

import (
	"maps"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/journaler"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// Limits of the data that a Collector keeps. Waits are in milliseconds; longer
// ones count as maxWaitMillis.
const (
	initialSampleInterval modeller.Millis = 100
	maxSamples                            = 512
	maxFaults                             = 2000
	maxWaitMillis                         = 7 * 24 * 60 * 60 * 1000
	waitSignificantDigits                 = 3
)

// Collector gathers the data of a report. It is not safe for concurrent use.
type Collector struct {
	accounts map[modeller.ClientAccountName]*account
	workers  map[modeller.WorkerName]modeller.Resources
	total    modeller.Resources
	used     modeller.Resources
	waits    map[waitKey]*hdrhistogram.Histogram
	tasks    map[modeller.TaskID]*taskState
	outcomes map[modeller.Outcome]int
	faults   []Fault
	// droppedFaults counts the faults beyond maxFaults.
	droppedFaults int
	samples       []sample
	// sampleInterval doubles, and every second sample is dropped, whenever there
	// are maxSamples.
	sampleInterval modeller.Millis
	nextSample     modeller.Millis
	firstTime      modeller.Millis
	now            modeller.Millis
}

type account struct {
	share   int64
	used    modeller.Resources
	waiting int
}

type waitKey struct {
	account modeller.ClientAccountName
	urgency modeller.Urgency
}

type taskState struct {
	worker  modeller.WorkerName
	started bool
}

// Fault is a failure, or an intervention such as stopping an attempt or withdrawing
// a key.
type Fault struct {
	At     modeller.Millis
	Index  uint64
	What   string
	Detail string
	// Requeued and Ended count the tasks that were requeued and ended by the
	// same log entry.
	Requeued int
	Ended    int
}

// sample holds the shares and the packing at one time.
type sample struct {
	at modeller.Millis
	// processors and memory are the committed fractions of the fleet's capacity.
	processors float64
	memory     float64
	accounts   map[modeller.ClientAccountName]shareSample
}

type shareSample struct {
	// used is the account's dominant share of the fleet. entitled is its
	// fraction of the total weight of accounts with running or waiting tasks.
	used     float64
	entitled float64
}

// NewCollector returns a Collector for a history that begins with the given
// state, or with an empty one if state is nil.
func NewCollector(state *applier.State) *Collector {
	collector := &Collector{
		accounts:       make(map[modeller.ClientAccountName]*account),
		workers:        make(map[modeller.WorkerName]modeller.Resources),
		waits:          make(map[waitKey]*hdrhistogram.Histogram),
		tasks:          make(map[modeller.TaskID]*taskState),
		outcomes:       make(map[modeller.Outcome]int),
		sampleInterval: initialSampleInterval,
	}
	if state == nil {
		return collector
	}
	events := state.InitialEvents()
	for at := range events {
		collector.recordEvent(&events[at])
	}
	return collector
}

// Record processes the next record of the history.
func (collector *Collector) Record(record *messenger.HistoryRecord) {
	if record.Entry.Kind == journaler.EntryNoop {
		collector.addFault(record, "leader changed", "")
	}
	if record.Command != nil {
		collector.advanceClock(record.Command.Time)
		collector.recordCommand(record)
	}
	for at := range record.Events {
		collector.recordEvent(&record.Events[at])
	}
	collector.takeSample()
}

func (collector *Collector) advanceClock(at modeller.Millis) {
	if collector.firstTime == 0 {
		collector.firstTime = at
		collector.nextSample = at
	}
	collector.now = max(collector.now, at)
}

// recordCommand adds a fault for each accepted command that the report lists as a
// failure or intervention.
func (collector *Collector) recordCommand(record *messenger.HistoryRecord) {
	if !record.Result.Code.Successful() {
		return
	}
	command := record.Command
	switch {
	case command.LoseWorker != nil:
		collector.addFault(record, "worker lost", string(command.LoseWorker.Worker)+": "+command.LoseWorker.Reason)
	case command.SetWorker != nil:
		collector.addFault(record, "worker "+command.SetWorker.State.String(), string(command.SetWorker.Worker)+": "+command.SetWorker.Reason)
	case command.Stop != nil:
		collector.addFault(record, "attempt stopped", command.Stop.Task.String()+": "+command.Stop.Reason.String()+", "+command.Stop.Detail)
	case command.Report != nil && command.Report.Phase == modeller.PhaseFailed:
		collector.addFault(record, "attempt failed", command.Report.Task.String()+" on "+string(command.Report.Worker)+": "+command.Report.Detail)
	case command.Evacuate != nil && command.Evacuate.Withdrawn:
		collector.addFault(record, "data centre restored", string(command.Evacuate.DataCentre))
	case command.Evacuate != nil:
		collector.addFault(record, "data centre evacuated", string(command.Evacuate.DataCentre))
	case command.WithdrawKey != nil:
		collector.addFault(record, "key withdrawn", command.WithdrawKey.Key.Fingerprint())
	}
}

func (collector *Collector) addFault(record *messenger.HistoryRecord, what, detail string) {
	if len(collector.faults) >= maxFaults {
		collector.droppedFaults++
		return
	}
	fault := Fault{At: collector.now, Index: record.Entry.Index, What: what, Detail: detail}
	for at := range record.Events {
		switch record.Events[at].Kind {
		case applier.EventTaskRequeued:
			fault.Requeued++
		case applier.EventTaskDone:
			fault.Ended++
		}
	}
	collector.faults = append(collector.faults, fault)
}

func (collector *Collector) recordEvent(event *applier.Event) {
	switch event.Kind {
	case applier.EventConfigured:
		if event.Template != nil {
			collector.account(event.Template.ClientAccount).share = event.Template.Share
		}
	case applier.EventWorkerJoined:
		collector.setCapacity(event.Worker, event.Description.Capacity)
	case applier.EventWorkerLost:
		collector.setCapacity(event.Worker, modeller.Resources{})
	case applier.EventJobAccepted:
		collector.account(event.Spec.ClientAccount).waiting += int(event.Spec.Tasks)
	case applier.EventTaskPlaced:
		collector.recordPlacement(event)
	case applier.EventTaskStarted:
		collector.recordStart(event)
	case applier.EventTaskRequeued:
		collector.releaseResources(event)
		collector.account(event.Spec.ClientAccount).waiting++
	case applier.EventTaskDone:
		collector.endTask(event)
	case applier.EventJobDone:
		collector.outcomes[event.Outcome]++
	}
}

func (collector *Collector) account(name modeller.ClientAccountName) *account {
	if collector.accounts[name] == nil {
		collector.accounts[name] = &account{share: 1}
	}
	return collector.accounts[name]
}

func (collector *Collector) setCapacity(name modeller.WorkerName, capacity modeller.Resources) {
	collector.total = collector.total.Sub(collector.workers[name]).Add(capacity)
	collector.workers[name] = capacity
}

func (collector *Collector) recordPlacement(event *applier.Event) {
	task := collector.tasks[event.Task]
	if task == nil {
		task = &taskState{}
		collector.tasks[event.Task] = task
	}
	task.worker = event.Worker
	account := collector.account(event.Spec.ClientAccount)
	account.waiting--
	account.used = account.used.Add(event.Spec.Size)
	collector.used = collector.used.Add(event.Spec.Size)
}

// recordStart records the waiting time of a task that starts for the first time.
func (collector *Collector) recordStart(event *applier.Event) {
	task := collector.tasks[event.Task]
	if task == nil || task.started {
		return
	}
	task.started = true
	key := waitKey{event.Spec.ClientAccount, event.Spec.Urgency}
	if collector.waits[key] == nil {
		collector.waits[key] = hdrhistogram.New(1, maxWaitMillis, waitSignificantDigits)
	}
	wait := min(max(int64(event.Time-event.Spec.Submitted), 1), maxWaitMillis)
	_ = collector.waits[key].RecordValue(wait)
}

// releaseResources releases the resources that the task's attempt used on its
// worker, and reports whether there were any.
func (collector *Collector) releaseResources(event *applier.Event) bool {
	task := collector.tasks[event.Task]
	if task == nil || task.worker == "" {
		return false
	}
	task.worker = ""
	account := collector.account(event.Spec.ClientAccount)
	account.used = account.used.Sub(event.Spec.Size)
	collector.used = collector.used.Sub(event.Spec.Size)
	return true
}

func (collector *Collector) endTask(event *applier.Event) {
	if !collector.releaseResources(event) {
		collector.account(event.Spec.ClientAccount).waiting--
	}
	delete(collector.tasks, event.Task)
}

// takeSample adds a sample of the current state if the next one is due.
func (collector *Collector) takeSample() {
	if collector.now < collector.nextSample || collector.firstTime == 0 {
		return
	}
	collector.nextSample = collector.now + collector.sampleInterval
	collector.samples = append(collector.samples, collector.currentSample())
	if len(collector.samples) < maxSamples {
		return
	}
	kept := collector.samples[:0]
	for at := range collector.samples {
		if at%2 == 0 {
			kept = append(kept, collector.samples[at])
		}
	}
	collector.samples = kept
	collector.sampleInterval *= 2
}

func (collector *Collector) currentSample() sample {
	sample := sample{
		at:         collector.now,
		processors: fraction(collector.used.MilliProcessors, collector.total.MilliProcessors),
		memory:     fraction(collector.used.MemoryMiB, collector.total.MemoryMiB),
		accounts:   make(map[modeller.ClientAccountName]shareSample, len(collector.accounts)),
	}
	totalWeight := int64(0)
	for _, account := range collector.accounts {
		if account.active() {
			totalWeight += account.share
		}
	}
	for name, account := range collector.accounts {
		share := shareSample{used: account.used.DominantShare(collector.total)}
		if account.active() {
			share.entitled = fraction(account.share, totalWeight)
		}
		sample.accounts[name] = share
	}
	return sample
}

// active reports whether the account has running or waiting tasks. Only active
// accounts have an entitlement.
func (account *account) active() bool {
	return account.waiting > 0 || !account.used.IsZero()
}

func fraction(part, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(part) / float64(total)
}

// accountNames returns the names of the client accounts in ascending order.
func (collector *Collector) accountNames() []modeller.ClientAccountName {
	return slices.Sorted(maps.Keys(collector.accounts))
}
