package messenger

import (
	"context"
	"time"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// StagedServer holds the Cell service's functions for staged jobs.
type StagedServer struct {
	Submit   func(ctx context.Context, request *StagedSubmitRequest) (*StagedReply, error)
	Job      func(ctx context.Context, request *StagedJobRequest) (*StagedReply, error)
	Deploy   func(ctx context.Context, request *DeployRequest) (*StagedReply, error)
	Deployed func(ctx context.Context, request *DeployedRequest) (*DeployedReply, error)
	// Announce serves processes of earlier releases, which send each announcement
	// by itself.
	Announce    func(ctx context.Context, request *AnnounceRequest) (*StagedReply, error)
	AnnounceAll func(ctx context.Context, request *AnnounceAllRequest) (*AnnounceAllReply, error)
	Advise      func(ctx context.Context, request *AdviseRequest) (*StagedReply, error)
	Wave        func(ctx context.Context, request *WaveRequest) (*WaveReply, error)
	Evacuate    func(ctx context.Context, request *EvacuateRequest) (*StagedReply, error)
	// Inquiries sends the leader's inquiries to advisers until the context or
	// the replica's leadership ends.
	Inquiries func(ctx context.Context, request *InquiriesRequest, send func(*InquiryMessage) error) error
}

// RequestRoute is the host and path of a caller's HTTP request, and the hash of
// the key that it presented. They determine the client account and queue.
type RequestRoute struct {
	Host, Path string
	// Key is the hash of the caller's key; it is empty if the request had none.
	Key modeller.KeyHash `cbor:",omitzero"`
}

// StagedSubmitRequest submits a staged job. The path ends with the job's ID.
type StagedSubmitRequest struct {
	Cell     modeller.CellName
	Place    RequestRoute
	Payload  string
	Steps    []stager.Step
	Schedule stager.Schedule `cbor:",omitzero"`
	// Resent is true if an earlier try of the request may have reached the log.
	Resent bool `cbor:",omitzero"`
}

// JobOperation selects the operation of a StagedJobRequest.
type JobOperation uint8

// The operations.
const (
	// JobStatus returns the status of a job or, if the path names no job, the
	// number of jobs in the queue that have not started.
	JobStatus JobOperation = iota + 1
	// JobCancel cancels a job.
	JobCancel
)

// StagedJobRequest queries or cancels the job, or queries the queue, that the
// path names.
type StagedJobRequest struct {
	Cell     modeller.CellName
	Place    RequestRoute
	Question JobOperation
}

// StagedReply is the leader's reply to a request about staged jobs.
type StagedReply struct {
	Refusal *coder.Refusal `cbor:",omitempty"`
	// Status is zero if the path names a queue rather than a job; Pending is
	// then the number of jobs that have not started.
	Status  stager.Status `cbor:",omitzero"`
	Pending int           `cbor:",omitzero"`
}

// DeployRequest asks the leader to put a deployment in force.
type DeployRequest struct {
	Cell       modeller.CellName
	Deployment stager.Deployment
}

// DeployedRequest asks for the deployment in force.
type DeployedRequest struct {
	Cell modeller.CellName
}

// DeployedReply returns the newest deployment; Source is the text that the
// operator sent.
type DeployedReply struct {
	Refusal *coder.Refusal `cbor:",omitempty"`
	Version uint64
	Source  []byte
}

// AnnounceRequest forwards a worker's announcement of itself.
type AnnounceRequest struct {
	Cell         modeller.CellName
	Announcement stager.Announcement
	// Gone is true if the worker process has ended.
	Gone bool `cbor:",omitzero"`
}

// AnnounceAllRequest forwards the announcements of several workers.
type AnnounceAllRequest struct {
	Cell          modeller.CellName
	Announcements []stager.Announcement
}

// AnnounceAllReply holds the leader's refusal of the request or, in the order of
// the announcements, its refusal of each; nil means that it was accepted.
type AnnounceAllReply struct {
	Refusal  *coder.Refusal   `cbor:",omitempty"`
	Refusals []*coder.Refusal `cbor:",omitempty"`
}

// AdviseRequest forwards an adviser's answer.
type AdviseRequest struct {
	Cell   modeller.CellName
	Advice stager.Advice
}

// InquiriesRequest subscribes a process that can call advisers.
type InquiriesRequest struct {
	Cell  modeller.CellName
	Entry string
	// Listens is true if the process accepts no inquiries and only follows the
	// leader and the replicas' addresses.
	Listens bool `cbor:",omitzero"`
}

// InquiryMessage is what the leader sends to a subscribed process: an inquiry
// for an adviser, or a zero Inquiry as a heartbeat.
type InquiryMessage struct {
	Inquiry stager.Inquiry
	// Replicas are the addresses of the cell's replicas. They are set in the
	// first message and after a change.
	Replicas []string `cbor:",omitempty"`
	// Forecast is the leader's latest forecaster.Notice, encoded once for all processes,
	// if it has one. It was made ForecastAt after the stream began, on the leader's clock;
	// that is negative if it was made before.
	Forecast   []byte        `cbor:",omitempty"`
	ForecastAt time.Duration `cbor:",omitzero"`
}

// WaveRequest starts a maintenance wave, or asks for the state of wave Number
// if Start is nil.
type WaveRequest struct {
	Cell   modeller.CellName
	Number uint64
	Start  *stager.Wave `cbor:",omitempty"`
}

// WaveReply reports whether maintenance is completed on all VMs of the wave.
type WaveReply struct {
	Refusal   *coder.Refusal `cbor:",omitempty"`
	Completed bool
}

// EvacuateRequest takes a data centre out of service, or puts it back.
type EvacuateRequest struct {
	Cell     modeller.CellName
	Evacuate stager.Evacuate
}

// StagedSubmit calls the StagedSubmit method of the Cell service.
func (client CellClient) StagedSubmit(ctx context.Context, request *StagedSubmitRequest) (*StagedReply, error) {
	return call[StagedSubmitRequest, StagedReply](ctx, client.Connection, "/"+cellService+"/StagedSubmit", request)
}

// StagedJob calls the StagedJob method of the Cell service.
func (client CellClient) StagedJob(ctx context.Context, request *StagedJobRequest) (*StagedReply, error) {
	return call[StagedJobRequest, StagedReply](ctx, client.Connection, "/"+cellService+"/StagedJob", request)
}

// Deploy calls the Deploy method of the Cell service.
func (client CellClient) Deploy(ctx context.Context, request *DeployRequest) (*StagedReply, error) {
	return call[DeployRequest, StagedReply](ctx, client.Connection, "/"+cellService+"/Deploy", request)
}

// Deployed calls the Deployed method of the Cell service.
func (client CellClient) Deployed(ctx context.Context, request *DeployedRequest) (*DeployedReply, error) {
	return call[DeployedRequest, DeployedReply](ctx, client.Connection, "/"+cellService+"/Deployed", request)
}

// AnnounceAll calls the AnnounceAll method of the Cell service.
func (client CellClient) AnnounceAll(ctx context.Context, request *AnnounceAllRequest) (*AnnounceAllReply, error) {
	return call[AnnounceAllRequest, AnnounceAllReply](ctx, client.Connection, "/"+cellService+"/AnnounceAll", request)
}

// Advise calls the Advise method of the Cell service.
func (client CellClient) Advise(ctx context.Context, request *AdviseRequest) (*StagedReply, error) {
	return call[AdviseRequest, StagedReply](ctx, client.Connection, "/"+cellService+"/Advise", request)
}

// Wave calls the Wave method of the Cell service.
func (client CellClient) Wave(ctx context.Context, request *WaveRequest) (*WaveReply, error) {
	return call[WaveRequest, WaveReply](ctx, client.Connection, "/"+cellService+"/Wave", request)
}

// Evacuate calls the Evacuate method of the Cell service.
func (client CellClient) Evacuate(ctx context.Context, request *EvacuateRequest) (*StagedReply, error) {
	return call[EvacuateRequest, StagedReply](ctx, client.Connection, "/"+cellService+"/Evacuate", request)
}

// Inquiries passes each inquiry to visit until the stream ends or visit fails.
func (client CellClient) Inquiries(ctx context.Context, request *InquiriesRequest, visit func(*InquiryMessage) error) error {
	return receive(ctx, client.Connection, "/"+cellService+"/Inquiries", request, visit)
}
