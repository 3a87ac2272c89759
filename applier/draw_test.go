package applier_test

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"pgregory.net/rapid"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// The values that commands are drawn from. The sets are small, so that
// collisions are common; one account name is another with a separator and a
// suffix, and two keys share their fingerprint.
var (
	accounts     = []modeller.ClientAccountName{"a", "a/b"}
	queues       = []modeller.QueueName{"once", "again", "gang", "gangOnce", "open"}
	workers      = []modeller.WorkerName{"w1", "w2", "w3"}
	requests     = []modeller.RequestID{"1", "2", "b/1", "3", "4", "5", "6", "7", "8", "9"}
	operators    = []string{"operator x", "operator y"}
	keys         = []modeller.KeyHash{keyHash("aa", "1"), keyHash("aa", "2"), keyHash("bb", "1"), keyHash("cc", "1")}
	rareKeys     = []modeller.KeyHash{"", "short", modeller.KeyHash(strings.Repeat("Z", 64)), keyHash("dd", "1")}
	extremeSizes = []int64{math.MinInt64, -1, 0, math.MaxInt64 / 2, math.MaxInt64}
)

func keyHash(prefix, suffix string) modeller.KeyHash {
	return modeller.KeyHash(prefix + strings.Repeat("0", 64-len(prefix)-len(suffix)) + suffix)
}

// pick draws from the common values, and once in 16 draws from the rare ones.
func pick[Value any](t *rapid.T, label string, common, rare []Value) Value {
	if len(rare) > 0 && rapid.IntRange(0, 15).Draw(t, label+"Rare") == 0 {
		return rapid.SampledFrom(rare).Draw(t, label)
	}
	return rapid.SampledFrom(common).Draw(t, label)
}

func drawSize(t *rapid.T) modeller.Resources {
	return modeller.Resources{
		MilliProcessors: pick(t, "processors", []int64{500, 1000, 3000}, extremeSizes),
		MemoryMiB:       pick(t, "memory", []int64{100, 400}, extremeSizes),
		Accelerators:    pick(t, "accelerators", []int64{0, 0, 1}, extremeSizes),
	}
}

// drawCommand draws a command that the state often accepts and often refuses.
func drawCommand(t *rapid.T, state *applier.State) *applier.Command {
	command := &applier.Command{
		Cell:  pick(t, "cell", []modeller.CellName{"c"}, []modeller.CellName{"other", ""}),
		Time:  state.Now + pick(t, "time", []modeller.Millis{0, 1, 50, -20}, []modeller.Millis{25 * 3600 * 1000, 13 * 3600 * 1000, math.MaxInt64 - state.Now, -math.MaxInt64}),
		Actor: rapid.SampledFrom(operators).Draw(t, "actor"),
	}
	kinds := []func(*rapid.T, *applier.State, *applier.Command){
		drawTemplate, drawKeyChange, drawSubmit, drawSubmit, drawCancel, drawJoin, drawJoin, drawWorkerChange,
		drawPlace, drawPlace, drawPlace, drawPlace, drawStop, drawReport, drawReport, drawReport, drawReport, drawRefuse, drawEvacuate,
	}
	rapid.SampledFrom(kinds).Draw(t, "kind")(t, state, command)
	return command
}

func drawRequest(t *rapid.T, command *applier.Command) {
	command.RequestID = pick(t, "request", requests, []modeller.RequestID{"", modeller.RequestID(strings.Repeat("r", 5000))})
}

func drawTemplate(t *rapid.T, state *applier.State, command *applier.Command) {
	drawRequest(t, command)
	name := modeller.TemplateName(rapid.SampledFrom(accounts).Draw(t, "template"))
	template := modeller.Template{
		Name:          name,
		ClientAccount: pick(t, "account", []modeller.ClientAccountName{modeller.ClientAccountName(name)}, accounts),
		Share:         pick(t, "share", []int64{1}, []int64{0, -1}),
		Limit: modeller.Limit{
			Tasks:     pick(t, "limit", []int64{2, 5, 8}, []int64{-1, 0, math.MaxInt64}),
			Resources: modeller.Resources{MilliProcessors: pick(t, "limitProcessors", []int64{4000, 10000}, extremeSizes), MemoryMiB: 4000, Accelerators: 2},
		},
		Keys: []modeller.KeyHash{pick(t, "key", keys, rareKeys)},
	}
	for _, queue := range queues {
		template.Queues = append(template.Queues, drawQueue(t, queue))
	}
	expected := modeller.Revision(0)
	if old := state.Templates[name]; old != nil {
		expected = old.Revision
	}
	command.ApplyTemplate = &applier.ApplyTemplate{Expected: expected + pick(t, "expected", []modeller.Revision{0, 0, 0, 1}, nil), Template: template}
}

func drawQueue(t *rapid.T, name modeller.QueueName) modeller.Queue {
	queue := modeller.Queue{
		Name: name, Kind: modeller.Batch, Urgency: modeller.Ordinary, OpenToAll: name == "open", Idempotent: name == "again" || name == "gang" || name == "open",
		Size: modeller.Resources{MilliProcessors: 1000, MemoryMiB: 100}, MaxRetries: 1, MaxWaiting: 12,
		DeadlineAfter: pick(t, "deadline", []modeller.Millis{0}, []modeller.Millis{-1, 1000, math.MaxInt64}),
	}
	if name == "gang" || name == "gangOnce" {
		queue.Kind = modeller.Gang
	}
	return queue
}

func drawKeyChange(t *rapid.T, _ *applier.State, command *applier.Command) {
	drawRequest(t, command)
	key := pick(t, "key", keys, rareKeys)
	if rapid.Bool().Draw(t, "withdraw") {
		length := pick(t, "length", []int{64, 64, 12, 5}, nil)
		command.WithdrawKey = &applier.WithdrawKey{Key: key[:min(length, len(key))]}
		return
	}
	command.GrantKey = &applier.GrantKey{ClientAccount: rapid.SampledFrom(accounts).Draw(t, "account"), Key: key}
}

func drawSubmit(t *rapid.T, _ *applier.State, command *applier.Command) {
	drawRequest(t, command)
	submit := &applier.Submit{
		ClientAccount: pick(t, "account", accounts, []modeller.ClientAccountName{"", "nobody"}),
		Queue:         pick(t, "queue", queues, []modeller.QueueName{"", "none"}),
		Key:           pick(t, "key", keys, rareKeys),
		Work:          modeller.Work{Tasks: pick(t, "tasks", []uint32{1, 2, 3}, []uint32{0, 40, math.MaxUint32}), Payload: []byte{}},
	}
	if rapid.Bool().Draw(t, "sized") {
		submit.Work.Size = drawSize(t)
	}
	command.Submit = submit
}

// drawJob draws a job, in most draws one with a task that satisfies wanted.
func drawJob(t *rapid.T, state *applier.State, wanted func(applier.Task) bool) modeller.JobID {
	var fitting []modeller.JobID
	for _, id := range slices.Sorted(maps.Keys(state.Jobs)) {
		if slices.ContainsFunc(state.Jobs[id].Tasks, wanted) {
			fitting = append(fitting, id)
		}
	}
	if len(fitting) > 0 && rapid.IntRange(0, 9).Draw(t, "fitting") > 0 {
		return rapid.SampledFrom(fitting).Draw(t, "job")
	}
	return modeller.JobID(rapid.Uint64Range(0, uint64(state.LastJob)+1).Draw(t, "anyJob"))
}

func anyTask(applier.Task) bool         { return true }
func waiting(task applier.Task) bool    { return task.State == modeller.TaskQueued }
func live(task applier.Task) bool       { return task.State.Live() }
func requeued(task applier.Task) bool   { return waiting(task) && task.Attempt > 0 }
func unfinished(task applier.Task) bool { return task.State != modeller.TaskDone }

func drawCancel(t *rapid.T, state *applier.State, command *applier.Command) {
	drawRequest(t, command)
	command.Cancel = &applier.Cancel{Job: drawJob(t, state, rapid.SampledFrom([]func(applier.Task) bool{anyTask, unfinished}).Draw(t, "wanted")), Key: pick(t, "key", keys, rareKeys), Operator: rapid.Bool().Draw(t, "operator")}
}

func drawJoin(t *rapid.T, _ *applier.State, command *applier.Command) {
	command.JoinWorker = &applier.JoinWorker{Worker: modeller.WorkerDescription{
		Name:        pick(t, "worker", workers, []modeller.WorkerName{""}),
		Incarnation: pick(t, "incarnation", []modeller.Incarnation{1, 1, 2}, []modeller.Incarnation{0}),
		Capacity: modeller.Resources{
			MilliProcessors: pick(t, "processors", []int64{2000, 4000}, extremeSizes),
			MemoryMiB:       pick(t, "memory", []int64{500, 1000}, extremeSizes), Accelerators: 1,
		},
		DataCentre: pick(t, "dataCentre", dataCentres, nil),
		Slots:      pick(t, "slots", []int64{1, 3, 4}, extremeSizes),
	}}
}

// dataCentres are the data centres of the workers; the empty one is not told.
var dataCentres = []modeller.DataCentreName{"n", "s", ""}

func drawEvacuate(t *rapid.T, _ *applier.State, command *applier.Command) {
	drawRequest(t, command)
	command.Evacuate = &stager.Evacuate{DataCentre: pick(t, "dataCentre", dataCentres, nil), Withdrawn: rapid.Bool().Draw(t, "withdrawn")}
}

func drawWorkerChange(t *rapid.T, state *applier.State, command *applier.Command) {
	name := rapid.SampledFrom(workers).Draw(t, "worker")
	incarnation := pick(t, "incarnation", []modeller.Incarnation{1, 2}, nil)
	if worker := state.Workers[name]; worker != nil && rapid.Bool().Draw(t, "present") {
		incarnation = worker.Description.Incarnation
	}
	if rapid.Bool().Draw(t, "lose") {
		command.LoseWorker = &applier.LoseWorker{Worker: name, Incarnation: incarnation}
		if worker := state.Workers[name]; worker != nil {
			command.LoseWorker.Entry = worker.Entry - pick(t, "entry", []uint64{0, 0, 0, 1}, nil)
		}
		return
	}
	next := pick(t, "state", []modeller.WorkerState{modeller.WorkerUp, modeller.WorkerUp, modeller.WorkerDraining, modeller.WorkerQuarantined}, []modeller.WorkerState{0, 77})
	command.SetWorker = &applier.SetWorker{Worker: name, Incarnation: incarnation, State: next}
}

// drawPlace draws a placement of a job's queued tasks, or one that is based on
// stale state.
func drawPlace(t *rapid.T, state *applier.State, command *applier.Command) {
	place := &applier.Place{Job: drawJob(t, state, waiting)}
	command.Place = place
	job := state.Jobs[place.Job]
	if job == nil {
		return
	}
	allTasks := rapid.IntRange(0, 3).Draw(t, "whole") > 0
	for index := range job.Tasks {
		task := &job.Tasks[index]
		if task.State != modeller.TaskQueued && rapid.IntRange(0, 9).Draw(t, "anyState") > 0 || !allTasks && rapid.Bool().Draw(t, "skip") {
			continue
		}
		name := rapid.SampledFrom(workers).Draw(t, "worker")
		placement := applier.Placement{Index: uint32(index), Attempt: task.Attempt + pick(t, "attempt", []modeller.Attempt{1}, []modeller.Attempt{0, 2}), Worker: name, Incarnation: 1}
		if worker := state.Workers[name]; worker != nil {
			placement.Incarnation = worker.Description.Incarnation + pick(t, "incarnation", []modeller.Incarnation{0}, []modeller.Incarnation{1})
		}
		place.Tasks = append(place.Tasks, placement)
	}
	if len(place.Tasks) > 0 && rapid.IntRange(0, 15).Draw(t, "twice") == 0 {
		place.Tasks = append(place.Tasks, place.Tasks[0])
	}
}

func drawTask(t *rapid.T, state *applier.State) (modeller.TaskID, applier.Task) {
	id := modeller.TaskID{Job: drawJob(t, state, live)}
	job := state.Jobs[id.Job]
	if job == nil {
		return id, applier.Task{}
	}
	if liveIndex := slices.IndexFunc(job.Tasks, live); liveIndex >= 0 && rapid.Bool().Draw(t, "firstLive") {
		id.Index = uint32(liveIndex)
		return id, job.Tasks[liveIndex]
	}
	id.Index = uint32(rapid.IntRange(0, len(job.Tasks)).Draw(t, "index"))
	if int(id.Index) == len(job.Tasks) {
		return id, applier.Task{}
	}
	return id, job.Tasks[id.Index]
}

func drawStop(t *rapid.T, state *applier.State, command *applier.Command) {
	id, task := drawTask(t, state)
	reason := pick(t, "reason", []applier.StopReason{applier.StopPreempt, applier.StopDrain, applier.StopGang}, []applier.StopReason{0, applier.StopCancel, 99})
	command.Stop = &applier.Stop{Task: id, Attempt: task.Attempt, Reason: reason}
}

func drawReport(t *rapid.T, state *applier.State, command *applier.Command) {
	id, task := drawTask(t, state)
	report := &applier.Report{
		Task:        id,
		Attempt:     task.Attempt - pick(t, "attempt", []modeller.Attempt{0, 0, 0, 1}, nil),
		Worker:      pick(t, "worker", []modeller.WorkerName{task.Worker}, workers),
		Incarnation: task.Incarnation + pick(t, "incarnation", []modeller.Incarnation{0, 0, 0, 0, 1}, nil),
		Phase:       rapid.SampledFrom([]modeller.Phase{modeller.PhaseStarted, modeller.PhaseSucceeded, modeller.PhaseFailed, modeller.PhaseRefused, modeller.PhaseStopped, 9, 0}).Draw(t, "phase"),
		Detail:      rapid.SampledFrom([]string{"", "why", strings.Repeat("ä", 5000)}).Draw(t, "detail"),
	}
	if rapid.Bool().Draw(t, "answered") {
		report.Answer = &modeller.Answer{Body: []byte("x"), Length: 1, Checksum: pick(t, "checksum", []uint32{checksumOfX}, []uint32{5})}
	}
	command.Report = report
}

// checksumOfX is the CRC-32C of the body "x".
const checksumOfX = 0xa93c5f93

func drawRefuse(t *rapid.T, state *applier.State, command *applier.Command) {
	command.Refuse = &applier.Refuse{Job: drawJob(t, state, rapid.SampledFrom([]func(applier.Task) bool{waiting, requeued}).Draw(t, "wanted")), Code: pick(t, "code", []coder.Code{coder.CanNeverRun}, []coder.Code{coder.OK}), Reason: "never"}
}

// formatCommand formats a command for a failure message.
func formatCommand(command *applier.Command) string {
	return strings.TrimSpace(fmt.Sprintf("%+v", command))
}
