package main

import (
	"fmt"
	"hash/crc32"
	"runtime"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/encoder"
	"github.com/dotterelrill/dotterelrill/internal/fitter"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/templater"
)

// shape is the content of a built replica state.
type shape struct {
	workers int
	// running is the number of running tasks, each in a job of its own.
	running int
	// finished is the number of finished jobs, each with finishedTasks tasks.
	finished      int
	finishedTasks uint32
	templates     int
}

// baseShape is the shape before a dimension changes one of its fields.
var baseShape = shape{workers: 500, running: 500, finished: 500, finishedTasks: 1, templates: 10}

// dimension is a series of states that differ from baseShape in one field, which
// set sets to each of the sizes in turn.
type dimension struct {
	name  string
	sizes []int
	set   func(shape *shape, size int)
}

var dimensions = []dimension{
	{"worker", []int{500, 1000, 2000, 2700}, func(shape *shape, size int) { shape.workers = size }},
	{"running task in a job of its own", []int{500, 1000, 2000, 4000}, func(shape *shape, size int) { shape.running = size }},
	{"finished job of one task", []int{500, 5000, 10000, 20000}, func(shape *shape, size int) { shape.finished = size }},
	{"further finished task of 500 jobs", []int{1, 50, 100, 200}, func(shape *shape, size int) { shape.finishedTasks = uint32(size) }},
	{"template", []int{10, 50, 100, 190}, func(shape *shape, size int) { shape.templates = size }},
}

// builder builds a state by applying commands, as a replica applies its log. It
// keeps the total time of applying them and the encoded size in bytes of the first
// command of each name.
type builder struct {
	state        *applier.State
	index        uint64
	applyTime    time.Duration
	encodedBytes map[string]int
}

func (builder *builder) apply(name string, command *applier.Command) (applier.Result, error) {
	builder.index++
	command.Cell = "demo"
	command.Time = modeller.Millis(builder.index)
	command.Actor = "measurement"
	if _, known := builder.encodedBytes[name]; !known {
		data, err := encoder.Marshal(command)
		if err != nil {
			return applier.Result{}, err
		}
		builder.encodedBytes[name] = len(data)
	}
	startedAt := time.Now()
	result := builder.state.Apply(builder.index, command)
	builder.applyTime += time.Since(startedAt)
	builder.state.Events()
	if result.Code != coder.OK {
		return result, eris.Errorf("%s: %s: %s", name, result.Code, result.Detail)
	}
	return result, nil
}

func build(shape shape) (*builder, error) {
	builder := &builder{state: applier.New("demo"), encodedBytes: make(map[string]int)}
	for number := range shape.templates {
		parsed, faults := templater.Parse("team.ini", template(number, 0), nil)
		if len(faults) > 0 {
			return nil, faults[0]
		}
		if _, err := builder.apply("ApplyTemplate", &applier.Command{RequestID: nextRequestID(builder), ApplyTemplate: &applier.ApplyTemplate{Template: parsed}}); err != nil {
			return nil, err
		}
	}
	for number := range shape.workers {
		if _, err := builder.apply("JoinWorker", &applier.Command{JoinWorker: &applier.JoinWorker{Worker: describeWorker(number)}}); err != nil {
			return nil, err
		}
	}
	for range shape.finished {
		if err := builder.runJob(shape.finishedTasks, shape.workers, true); err != nil {
			return nil, err
		}
	}
	for range shape.running {
		if err := builder.runJob(1, shape.workers, false); err != nil {
			return nil, err
		}
	}
	return builder, nil
}

func nextRequestID(builder *builder) modeller.RequestID {
	return modeller.RequestID(fmt.Sprintf("00000000-0000-0000-0000-%012d", builder.index))
}

func describeWorker(number int) modeller.WorkerDescription {
	return modeller.WorkerDescription{
		Name:        modeller.WorkerName(fmt.Sprintf("worker-%04d", number)),
		Incarnation: modeller.Incarnation(number + 1),
		DataCentre:  modeller.DataCentreName(fmt.Sprintf("dc%d", number%6)),
		Rack:        modeller.RackName(fmt.Sprintf("rack-%03d", number/16)),
		Capacity:    modeller.Resources{MilliProcessors: 32_000, MemoryMiB: 131_072},
		Slots:       10_000,
		Address:     "127.0.0.1:7000",
	}
}

// runJob submits a job and places and starts its tasks; finish has them succeed too.
func (builder *builder) runJob(tasks uint32, workers int, finish bool) error {
	submit := &applier.Submit{ClientAccount: "team-0000", Queue: "batch", Work: modeller.Work{Tasks: tasks}}
	result, err := builder.apply("Submit", &applier.Command{RequestID: nextRequestID(builder), Submit: submit})
	if err != nil {
		return err
	}
	for index := range tasks {
		worker := describeWorker(int(builder.index) % workers)
		if err := builder.runTask(modeller.TaskID{Job: result.Job, Index: index}, &worker, finish); err != nil {
			return err
		}
	}
	return nil
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func (builder *builder) runTask(task modeller.TaskID, worker *modeller.WorkerDescription, finish bool) error {
	place := &applier.Place{
		Job:       task.Job,
		Tasks:     []applier.Placement{{Index: task.Index, Attempt: 1, Worker: worker.Name, Incarnation: worker.Incarnation}},
		Reason:    "best of 8 sampled for packing",
		RunnersUp: []applier.RunnerUp{{Worker: "worker-0001", Score: 0.5}, {Worker: "worker-0002", Score: 0.25}},
		Revision:  builder.state.Revision,
	}
	if _, err := builder.apply("Place", &applier.Command{Place: place}); err != nil {
		return err
	}
	phases := []modeller.Phase{modeller.PhaseStarted, modeller.PhaseSucceeded}
	if !finish {
		phases = phases[:1]
	}
	for _, phase := range phases {
		report := &applier.Report{Task: task, Attempt: 1, Worker: worker.Name, Incarnation: worker.Incarnation, Phase: phase}
		if phase.Final() {
			body := []byte("done " + task.String())
			report.Answer = &modeller.Answer{Body: body, Length: uint32(len(body)), Checksum: crc32.Checksum(body, castagnoli)}
		}
		if _, err := builder.apply("Report "+phase.String(), &applier.Command{Report: report}); err != nil {
			return err
		}
	}
	return nil
}

// stateQuantities are measured at each size, in this order.
var stateQuantities = []string{"HeapBytes", "SnapshotBytes", "SnapshotMicroseconds", "RestoreMicroseconds"}

func measureStates() error {
	fmt.Printf("## State: one more of each\n\n| one more | quantity | at zero | slope | largest residual |\n|---|---|---|---|---|\n")
	for _, dimension := range dimensions {
		if err := dimension.measure(); err != nil {
			return eris.Wrapf(err, "grow %s", dimension.name)
		}
	}
	return printCommands()
}

func (dimension *dimension) measure() error {
	points := make([][]fitter.Point, len(stateQuantities))
	for _, size := range dimension.sizes {
		grown := baseShape
		dimension.set(&grown, size)
		values, err := measureState(grown)
		if err != nil {
			return err
		}
		for at, value := range values {
			points[at] = append(points[at], fitter.Point{Size: float64(size), Value: value})
		}
	}
	for at, name := range stateQuantities {
		line, err := fitter.Fit(points[at])
		if err != nil {
			return err
		}
		fmt.Printf("| %s | %s | %.4g | %.4g | %.3g |\n", dimension.name, name, line.Intercept, line.Slope, line.Residual)
	}
	return nil
}

func measureState(shape shape) ([]float64, error) {
	before := heapBytes()
	builder, err := build(shape)
	if err != nil {
		return nil, err
	}
	heap := heapBytes() - before
	builder.encodedBytes = nil
	startedAt := time.Now()
	data, err := builder.state.Snapshot()
	if err != nil {
		return nil, err
	}
	encodeDuration := time.Since(startedAt)
	startedAt = time.Now()
	if _, err := applier.Restore(data); err != nil {
		return nil, err
	}
	restoreDuration := time.Since(startedAt)
	runtime.KeepAlive(builder)
	return []float64{heap, float64(len(data)), float64(encodeDuration.Microseconds()), float64(restoreDuration.Microseconds())}, nil
}

// heapBytes returns the size of live heap objects. It collects twice, as sync.Pool
// releases its objects only at the second collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// commandNames are the commands in the lifecycle of a task, in order.
var commandNames = []string{"ApplyTemplate", "JoinWorker", "Submit", "Place", "Report Started", "Report Succeeded"}

func printCommands() error {
	builder, err := build(baseShape)
	if err != nil {
		return err
	}
	fmt.Printf("\n| log entry | bytes of its command |\n|---|---|\n")
	for _, name := range commandNames {
		fmt.Printf("| %s | %d |\n", name, builder.encodedBytes[name])
	}
	fmt.Printf("\napplying: %d commands, %.2f microseconds each on average\n", builder.index, float64(builder.applyTime.Microseconds())/float64(builder.index))
	return nil
}
