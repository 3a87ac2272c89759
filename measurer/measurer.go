// Package measurer owns the metrics by which placement policies are compared
// over a trace: waiting time, packing, cost of deciding, and distance of each
// client account's usage from its share.
//
// It observes a replay only through the applier's events and state, so a policy
// cannot influence its own evaluation. Decision times are read from the wall
// clock in the single goroutine that runs the replay and vary with the load of
// the machine; all other metrics are deterministic for a trace and a seed.
package measurer

import (
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/encoder"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/tracer"
)

// NamedPolicy is a placement policy that can be measured, with the name under which
// the tables list it.
type NamedPolicy struct {
	Name string
	// Make returns a new instance of the policy, which calls decided after each
	// decision.
	Make func(random *rand.Rand, decided func()) tracer.Policy
}

// Measures holds the metrics of one policy over one trace.
type Measures struct {
	Trace, Policy string
	// Waits holds, for each urgency, the times in milliseconds from submission
	// to the first start of each task. Tasks still waiting at the end of the
	// trace are included with their waiting time so far.
	Waits [modeller.Deferrable + 1]*hdrhistogram.Histogram
	// Unstarted counts, for each urgency, the tasks still waiting at the end of
	// the trace.
	Unstarted [modeller.Deferrable + 1]int
	Packing   Packing
	Cost      Cost
	Distance  Distance
	// Deadlines counts the jobs whose deadline lies within the trace, and Missed
	// those of them that ended late or not at all.
	Deadlines, Missed int
	// Stops counts the attempts that the policy stopped. Repeated is the run
	// time of requeued attempts in core seconds, which has to be repeated.
	Stops    int
	Repeated float64
	// Ordinary holds the waiting times of ordinary work in milliseconds, by client
	// account.
	Ordinary map[modeller.ClientAccountName]*hdrhistogram.Histogram
	// Excess counts the samples, one a second and client account, in which the
	// account used more than its upper limit, for example after the limit was lowered.
	Excess int
	// Refused counts the decisions that the applier rejected.
	Refused int
	// Done counts the tasks that succeeded.
	Done int
}

// Cost holds the resources that a policy used for its decisions.
type Cost struct {
	Decisions int
	Starts    int
	Total     time.Duration
	// Each is the histogram of the time per decision in nanoseconds.
	Each *hdrhistogram.Histogram
	// Bytes is the total encoded length of the accepted decisions.
	Bytes int
	// Cancels counts the waiting tasks that were cancelled, and CancelTotal is
	// the time that the policy took to handle their events.
	Cancels     int
	CancelTotal time.Duration
	// Memory is the heap that the policy occupies at the end, in bytes.
	Memory int64
}

// PerDecision returns the mean time per decision, including the time that the
// policy takes to observe events.
func (cost *Cost) PerDecision() time.Duration {
	return cost.Total / time.Duration(max(cost.Decisions, 1))
}

const (
	maxWaitMillis    = int64(24 * time.Hour / time.Millisecond)
	maxDecisionNanos = int64(10 * time.Second)
	histogramDigits  = 3
	sampleInterval   = modeller.Millis(1000)
)

type measurer struct {
	measures      *Measures
	trace         *tracer.Trace
	waiting       map[modeller.JobID]*waitingJob
	started       map[modeller.TaskID]modeller.Millis
	deadlines     map[modeller.JobID]modeller.Millis
	usage         *usage
	lastSample    modeller.Millis
	decisionStart time.Time
	// policy is the policy under measurement. Clearing this last
	// reference lets the garbage collector free the policy, and the drop in heap
	// use is the policy's memory.
	policy *tracer.Policy
	// used, capacity, live (placed tasks) and slots are totals of the fleet.
	used, capacity modeller.Resources
	live, slots    int64
}

type waitingJob struct {
	spec         *applier.Spec
	tasks        int
	initialTasks int
}

// Measure replays the trace under the policy and returns its metrics. The seed
// initialises the policy's random number generator.
func Measure(trace *tracer.Trace, policy NamedPolicy, seed uint64) (*Measures, error) {
	measurer := &measurer{
		measures:   newMeasures(trace.Name, policy.Name),
		trace:      trace,
		waiting:    make(map[modeller.JobID]*waitingJob),
		started:    make(map[modeller.TaskID]modeller.Millis),
		deadlines:  make(map[modeller.JobID]modeller.Millis),
		usage:      newUsage(),
		lastSample: -sampleInterval,
	}
	state, err := tracer.Replay(tracer.Config{
		Trace:   trace,
		Policy:  measurer.withTiming(policy.Make(rand.New(rand.NewPCG(seed, seed)), measurer.recordDecision)),
		Event:   measurer.observe,
		Decided: measurer.recordCommand,
		Planned: measurer.sampleAfterPlan,
	})
	if err != nil {
		return nil, err
	}
	measurer.finish()
	heapWithPolicy := heapInUse()
	measurer.policy = nil
	measurer.measures.Cost.Memory = heapWithPolicy - heapInUse()
	runtime.KeepAlive(state)
	return measurer.measures, nil
}

func newMeasures(trace, policy string) *Measures {
	measures := &Measures{Trace: trace, Policy: policy, Ordinary: make(map[modeller.ClientAccountName]*hdrhistogram.Histogram)}
	for urgency := range measures.Waits {
		measures.Waits[urgency] = hdrhistogram.New(1, maxWaitMillis, histogramDigits)
	}
	measures.Cost.Each = hdrhistogram.New(1, maxDecisionNanos, histogramDigits)
	return measures
}

func heapInUse() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// withTiming wraps a policy so that the time spent in it is added to its cost.
func (measurer *measurer) withTiming(policy tracer.Policy) tracer.Policy {
	cost := &measurer.measures.Cost
	measurer.policy = &policy
	return tracer.Policy{
		Name: policy.Name,
		Observe: func(event *applier.Event) {
			start := time.Now()
			measurer.policy.Observe(event)
			elapsed := time.Since(start)
			cost.Total += elapsed
			if event.Kind == applier.EventTaskDone && event.Attempt == 0 {
				cost.Cancels++
				cost.CancelTotal += elapsed
			}
		},
		Plan: func(now modeller.Millis) []*applier.Command {
			start := time.Now()
			measurer.decisionStart = start
			commands := measurer.policy.Plan(now)
			cost.Total += time.Since(start)
			return commands
		},
		Undo: func(command *applier.Command, notBefore modeller.Millis) { measurer.policy.Undo(command, notBefore) },
	}
}

// recordDecision adds the time since the previous decision, or since the start of
// planning, to the histogram. The policy calls it after each decision.
func (measurer *measurer) recordDecision() {
	now := time.Now()
	_ = measurer.measures.Cost.Each.RecordValue(int64(now.Sub(measurer.decisionStart)))
	measurer.decisionStart = now
}

func (measurer *measurer) recordCommand(command *applier.Command, result applier.Result) {
	cost := &measurer.measures.Cost
	cost.Decisions++
	if result.Code != coder.OK {
		measurer.measures.Refused++
		return
	}
	body := applier.Command{Place: command.Place, Stop: command.Stop, Refuse: command.Refuse}
	if data, err := encoder.Marshal(body); err == nil {
		cost.Bytes += len(data)
	}
	if command.Place != nil {
		cost.Starts += len(command.Place.Tasks)
	}
	if command.Stop != nil {
		measurer.measures.Stops++
	}
}

func (measurer *measurer) observe(event *applier.Event) {
	measurer.usage.observe(event)
	switch event.Kind {
	case applier.EventWorkerJoined:
		measurer.capacity = measurer.capacity.Add(event.Description.Capacity)
		measurer.slots += event.Description.Slots
	case applier.EventWorkerLost:
		measurer.capacity = measurer.capacity.Sub(event.Description.Capacity)
		measurer.slots -= event.Description.Slots
	case applier.EventJobAccepted:
		measurer.waiting[event.Spec.ID] = &waitingJob{spec: event.Spec, tasks: int(event.Spec.Tasks), initialTasks: int(event.Spec.Tasks)}
		measurer.recordDeadline(event.Spec)
	case applier.EventTaskPlaced:
		measurer.changeWaiting(event, -1)
		measurer.used = measurer.used.Add(event.Spec.Size)
		measurer.live++
	case applier.EventTaskStarted:
		measurer.taskStarted(event)
	case applier.EventTaskRequeued:
		measurer.taskRequeued(event)
	case applier.EventTaskDone:
		measurer.taskDone(event)
	case applier.EventJobDone:
		measurer.jobDone(event)
	}
}

func (measurer *measurer) recordDeadline(spec *applier.Spec) {
	if spec.Deadline > 0 && spec.Deadline <= measurer.trace.Horizon {
		measurer.deadlines[spec.ID] = spec.Deadline
		measurer.measures.Deadlines++
	}
}

func (measurer *measurer) changeWaiting(event *applier.Event, change int) {
	job := measurer.waiting[event.Spec.ID]
	if job == nil {
		job = &waitingJob{spec: event.Spec}
		measurer.waiting[event.Spec.ID] = job
	}
	job.tasks += change
	if job.tasks == 0 {
		delete(measurer.waiting, event.Spec.ID)
	}
}

func (measurer *measurer) taskStarted(event *applier.Event) {
	measurer.started[event.Task] = event.Time
	if event.Attempt == 1 && event.Spec.Submitted >= measurer.trace.Warm {
		measurer.measures.recordWait(event.Spec, event.Time-event.Spec.Submitted)
	}
}

func (measures *Measures) recordWait(spec *applier.Spec, wait modeller.Millis) {
	_ = measures.Waits[spec.Urgency].RecordValue(int64(wait))
	if spec.Urgency != modeller.Ordinary {
		return
	}
	if measures.Ordinary[spec.ClientAccount] == nil {
		measures.Ordinary[spec.ClientAccount] = hdrhistogram.New(1, maxWaitMillis, histogramDigits)
	}
	_ = measures.Ordinary[spec.ClientAccount].RecordValue(int64(wait))
}

// OthersOrdinary returns the 99th percentile of the waiting times of ordinary
// work in milliseconds, over all client accounts except the excluded one.
func (measures *Measures) OthersOrdinary(excluded modeller.ClientAccountName) int64 {
	merged := hdrhistogram.New(1, maxWaitMillis, histogramDigits)
	for name, waits := range measures.Ordinary {
		if name != excluded {
			merged.Merge(waits)
		}
	}
	return merged.ValueAtQuantile(99)
}

func (measurer *measurer) taskRequeued(event *applier.Event) {
	measurer.changeWaiting(event, 1)
	measurer.release(event)
	if started, ok := measurer.started[event.Task]; ok {
		seconds := float64(event.Time-started) / float64(time.Second/time.Millisecond)
		measurer.measures.Repeated += seconds * float64(event.Spec.Size.MilliProcessors) / 1000
		delete(measurer.started, event.Task)
	}
}

func (measurer *measurer) release(event *applier.Event) {
	measurer.used = measurer.used.Sub(event.Spec.Size)
	measurer.live--
}

func (measurer *measurer) taskDone(event *applier.Event) {
	if event.Outcome == modeller.NotRun || event.Attempt == 0 {
		measurer.changeWaiting(event, -1)
		return
	}
	delete(measurer.started, event.Task)
	measurer.release(event)
	if event.Outcome == modeller.Succeeded {
		measurer.measures.Done++
	}
}

func (measurer *measurer) jobDone(event *applier.Event) {
	deadline, ok := measurer.deadlines[event.Spec.ID]
	if ok && event.Time > deadline {
		measurer.measures.Missed++
	}
	delete(measurer.deadlines, event.Spec.ID)
}

// sampleAfterPlan samples packing, limits and shares once a second of virtual
// time. It runs after planning, so that a sample shows only the tasks that the
// policy left waiting.
func (measurer *measurer) sampleAfterPlan(now modeller.Millis, state *applier.State) {
	if now < measurer.lastSample+sampleInterval {
		return
	}
	measurer.lastSample = now
	if now < measurer.trace.Warm {
		return
	}
	measurer.samplePacking(state)
	for _, template := range state.Templates {
		account := state.Account(template.ClientAccount)
		if account.Live > template.Limit.Tasks || !account.Used.Fits(template.Limit.Resources) {
			measurer.measures.Excess++
		}
	}
	measurer.usage.sample(now, measurer)
}

// finish adds the tasks still waiting and the deadlines still open at the end of
// the trace to the metrics.
func (measurer *measurer) finish() {
	for _, job := range measurer.waiting {
		urgency := job.spec.Urgency
		measurer.measures.Unstarted[urgency] += job.tasks
		wait := int64(measurer.trace.Horizon - job.spec.Submitted)
		_ = measurer.measures.Waits[urgency].RecordValues(wait, int64(job.tasks))
	}
	measurer.measures.Missed += len(measurer.deadlines)
	measurer.measures.Distance = measurer.usage.distance()
}
