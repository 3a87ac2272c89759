// Package tracer owns workload traces and replays them against a placement
// policy.
//
// A Trace holds the external inputs of a cell: workers that join and are lost,
// templates, submissions, cancellations, and the run time and resource use of
// each task. Replay applies them to the real applier in virtual time and asks a
// policy for its decisions. It doesn't model the network, the log or the workers,
// except for the recorded run times and fixed delays before a task starts and
// before a stopped task ends. The traces come from seeded generators, so that
// tests and measurements use identical ones; testdata holds the checksum of each
// trace and the outcomes required of a policy.
package tracer

import (
	"hash/crc32"

	"github.com/dotterelrill/dotterelrill/encoder"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// Trace holds all external inputs to one cell, with times in milliseconds since
// its start.
type Trace struct {
	Name string
	// Warm is the end of the warm-up, when measurement begins, and Horizon is the
	// end of the trace.
	Warm, Horizon modeller.Millis
	// Workers join at time zero.
	Workers []modeller.WorkerDescription
	// Templates are applied at time zero.
	Templates []modeller.Template
	// Inputs are sorted by time.
	Inputs []Input
}

// Input is one external event of a trace. Exactly one of its pointers is set.
type Input struct {
	At       modeller.Millis
	Submit   *Submission            `cbor:",omitempty"`
	Cancel   *Cancellation          `cbor:",omitempty"`
	Lose     *modeller.WorkerName   `cbor:",omitempty"`
	Template *modeller.TemplateName `cbor:",omitempty"`
	// Limit is the new upper limit, if Template is set.
	Limit modeller.Limit `cbor:",omitempty"`
}

// Submission is a job as requested, with the actual run time and resource use of
// its tasks.
type Submission struct {
	ClientAccount modeller.ClientAccountName
	Queue         modeller.QueueName
	Tasks         uint32
	// Size is the requested resources of a task and Declared its declared run
	// time; zero selects the queue's default.
	Size     modeller.Resources
	Declared modeller.Millis
	// RunTime and Used are the actual run time and resource use of each task.
	RunTime modeller.Millis
	Used    modeller.Resources
}

// Cancellation cancels the job of an earlier submission, which it identifies by
// its index among all submissions of the trace, counted from zero.
type Cancellation struct {
	Submission int
}

// content is the part of a trace that its checksum covers: the inputs, and those
// properties of workers and client accounts that affect decisions. It has its own
// types, because the types of other packages gain fields between releases, which
// would change the checksum.
type content struct {
	Inputs   []Input
	Workers  []workerContent
	Accounts []accountContent
}

type workerContent struct {
	Name       modeller.WorkerName
	DataCentre modeller.DataCentreName
	Rack       modeller.RackName
	Capacity   modeller.Resources
	Slots      int64
}

type accountContent struct {
	Name   modeller.ClientAccountName
	Share  int64
	Limit  modeller.Limit
	Queues []queueContent
}

type queueContent struct {
	Name          modeller.QueueName
	Kind          modeller.Kind
	Urgency       modeller.Urgency
	Idempotent    bool
	Size          modeller.Resources
	RunTime       modeller.Millis
	DeadlineAfter modeller.Millis
}

// Checksum returns the CRC-32C of the trace's encoded content. The error is that
// of the encoder.
func (trace *Trace) Checksum() (uint32, error) {
	data, err := encoder.Marshal(trace.content())
	if err != nil {
		return 0, err
	}
	return crc32.Checksum(data, crc32.MakeTable(crc32.Castagnoli)), nil
}

func (trace *Trace) content() content {
	covered := content{Inputs: trace.Inputs}
	for _, worker := range trace.Workers {
		covered.Workers = append(covered.Workers, workerContent{worker.Name, worker.DataCentre, worker.Rack, worker.Capacity, worker.Slots})
	}
	for index := range trace.Templates {
		covered.Accounts = append(covered.Accounts, newAccountContent(&trace.Templates[index]))
	}
	return covered
}

func newAccountContent(template *modeller.Template) accountContent {
	account := accountContent{Name: template.ClientAccount, Share: template.Share, Limit: template.Limit}
	for _, queue := range template.Queues {
		account.Queues = append(account.Queues, queueContent{
			queue.Name, queue.Kind, queue.Urgency, queue.Idempotent, queue.Size, queue.RunTime, queue.DeadlineAfter,
		})
	}
	return account
}
