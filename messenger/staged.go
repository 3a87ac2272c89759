package messenger

import (
	"context"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// StagedServer holds what a replica does for entries about staged jobs.
type StagedServer struct {
	Submit   func(ctx context.Context, request *StagedSubmitRequest) (*StagedReply, error)
	Job      func(ctx context.Context, request *StagedJobRequest) (*StagedReply, error)
	Deploy   func(ctx context.Context, request *DeployRequest) (*StagedReply, error)
	Deployed func(ctx context.Context, request *DeployedRequest) (*DeployedReply, error)
	Announce func(ctx context.Context, request *AnnounceRequest) (*StagedReply, error)
	Advise   func(ctx context.Context, request *AdviseRequest) (*StagedReply, error)
	Wave     func(ctx context.Context, request *WaveRequest) (*WaveReply, error)
	// Inquiries sends questions for advisers until the context ends or
	// leadership does.
	Inquiries func(ctx context.Context, request *InquiriesRequest, send func(*Inquiring) error) error
}

// Place is where a caller addressed its request, and the key that it showed.
type Place struct {
	Host, Path string
	// Key is the hash of the caller's key; it is empty if there was none.
	Key modeller.KeyHash `cbor:",omitzero"`
}

// StagedSubmitRequest brings a job in. The path ends with the job's identity.
type StagedSubmitRequest struct {
	Cell     modeller.CellName
	Place    Place
	Payload  string
	Steps    []stager.Step
	Schedule stager.Schedule `cbor:",omitzero"`
}

// JobQuestion is what is wanted of a job or a queue.
type JobQuestion uint8

// The questions.
const (
	// AskStatus wants a job's status, or how many jobs of a queue have not
	// begun if the path names no job.
	AskStatus JobQuestion = iota + 1
	// AskCancel wants a job cancelled.
	AskCancel
)

// StagedJobRequest asks about the job or queue that a path names.
type StagedJobRequest struct {
	Cell     modeller.CellName
	Place    Place
	Question JobQuestion
}

// StagedReply is the leader's answer about staged jobs.
type StagedReply struct {
	Refusal *coder.Refusal `cbor:",omitempty"`
	// Status is zero if the path names a queue and no job.
	Status  stager.Status `cbor:",omitzero"`
	Pending int           `cbor:",omitzero"`
}

// DeployRequest puts a deployment in force.
type DeployRequest struct {
	Cell       modeller.CellName
	Deployment stager.Deployment
}

// DeployedRequest asks for the deployment in force.
type DeployedRequest struct {
	Cell modeller.CellName
}

// DeployedReply is the newest deployment as the operator sent it.
type DeployedReply struct {
	Refusal *coder.Refusal `cbor:",omitempty"`
	Version uint64
	Source  []byte
}

// AnnounceRequest passes on what a worker says of itself.
type AnnounceRequest struct {
	Cell         modeller.CellName
	Announcement stager.Announcement
	// Gone is true if the worker has ended.
	Gone bool `cbor:",omitzero"`
}

// AdviseRequest passes on an adviser's answer.
type AdviseRequest struct {
	Cell   modeller.CellName
	Advice stager.Advice
}

// InquiriesRequest attaches a process that can ask advisers.
type InquiriesRequest struct {
	Cell  modeller.CellName
	Entry string
	// Listens is true if the process only wants to hear of the leader and the
	// replicas.
	Listens bool `cbor:",omitzero"`
}

// Inquiring is what a leader sends to an attached process: a question, or none
// with an empty one.
type Inquiring struct {
	Inquiry stager.Inquiry
	// Replicas are the addresses of the cell's replicas, if they have changed.
	Replicas []string `cbor:",omitempty"`
}

// WaveRequest starts an upkeep wave, or asks for one if Start is nil.
type WaveRequest struct {
	Cell   modeller.CellName
	Number uint64
	Start  *stager.Wave `cbor:",omitempty"`
}

// WaveReply tells whether all VMs of a wave have had their upkeep.
type WaveReply struct {
	Refusal   *coder.Refusal `cbor:",omitempty"`
	Completed bool
}

// StagedSubmit calls the method of the same name.
func (client CellClient) StagedSubmit(ctx context.Context, request *StagedSubmitRequest) (*StagedReply, error) {
	return call[StagedSubmitRequest, StagedReply](ctx, client.Connection, "/"+cellService+"/StagedSubmit", request)
}

// StagedJob calls the method of the same name.
func (client CellClient) StagedJob(ctx context.Context, request *StagedJobRequest) (*StagedReply, error) {
	return call[StagedJobRequest, StagedReply](ctx, client.Connection, "/"+cellService+"/StagedJob", request)
}

// Deploy calls the method of the same name.
func (client CellClient) Deploy(ctx context.Context, request *DeployRequest) (*StagedReply, error) {
	return call[DeployRequest, StagedReply](ctx, client.Connection, "/"+cellService+"/Deploy", request)
}

// Deployed calls the method of the same name.
func (client CellClient) Deployed(ctx context.Context, request *DeployedRequest) (*DeployedReply, error) {
	return call[DeployedRequest, DeployedReply](ctx, client.Connection, "/"+cellService+"/Deployed", request)
}

// Announce calls the method of the same name.
func (client CellClient) Announce(ctx context.Context, request *AnnounceRequest) (*StagedReply, error) {
	return call[AnnounceRequest, StagedReply](ctx, client.Connection, "/"+cellService+"/Announce", request)
}

// Advise calls the method of the same name.
func (client CellClient) Advise(ctx context.Context, request *AdviseRequest) (*StagedReply, error) {
	return call[AdviseRequest, StagedReply](ctx, client.Connection, "/"+cellService+"/Advise", request)
}

// Wave calls the method of the same name.
func (client CellClient) Wave(ctx context.Context, request *WaveRequest) (*WaveReply, error) {
	return call[WaveRequest, WaveReply](ctx, client.Connection, "/"+cellService+"/Wave", request)
}

// Inquiries receives questions until the stream ends.
func (client CellClient) Inquiries(ctx context.Context, request *InquiriesRequest, visit func(*Inquiring) error) error {
	return receive(ctx, client.Connection, "/"+cellService+"/Inquiries", request, visit)
}
