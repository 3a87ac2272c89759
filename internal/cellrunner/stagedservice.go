package cellrunner

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/inquirer"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/stager"
)

// stagedServer returns the handlers of the calls about staged jobs.
func (runner *Runner) stagedServer() messenger.StagedServer {
	return messenger.StagedServer{
		Submit:      runner.stagedSubmit,
		Job:         runner.stagedJob,
		Deploy:      runner.deploy,
		Deployed:    runner.deployed,
		Announce:    runner.announce,
		AnnounceAll: runner.announceAll,
		Advise:      runner.advise,
		Wave:        runner.wave,
		Evacuate:    runner.evacuate,
		Inquiries:   runner.inquiries,
	}
}

func stagedReply(refusal *coder.Refusal) (*messenger.StagedReply, error) {
	return &messenger.StagedReply{Refusal: refusal}, nil
}

func (runner *Runner) stagedSubmit(ctx context.Context, request *messenger.StagedSubmitRequest) (*messenger.StagedReply, error) {
	conductor, refusal := runner.requireConductor(request.Cell)
	if refusal != nil {
		return stagedReply(refusal)
	}
	submit := &stager.Submit{Payload: request.Payload, Steps: request.Steps, Schedule: request.Schedule}
	acceptedBefore := false
	refusal = runner.readStaged(request.Cell, func(state *stager.State) *coder.Refusal {
		queue, account, refusal := state.Deployment.Route(request.Place.Host, request.Place.Path, request.Place.Key)
		if refusal != nil {
			// The key or queue may have been removed since an earlier try was accepted.
			acceptedBefore = request.Resent && state.Accepted(request.Place.Host, request.Place.Path)
			return refusal
		}
		submit.ID = stager.JobID(strings.TrimPrefix(request.Place.Path, queue.Prefix))
		submit.Queue, submit.ClientAccount = queue.Name, account
		return nil
	})
	if acceptedBefore {
		return stagedReply(nil)
	}
	if refusal != nil {
		return stagedReply(refusal)
	}
	return stagedReply(conductor.Submit(ctx, submit))
}

func (runner *Runner) stagedJob(ctx context.Context, request *messenger.StagedJobRequest) (*messenger.StagedReply, error) {
	conductor, refusal := runner.requireConductor(request.Cell)
	if refusal != nil {
		return stagedReply(refusal)
	}
	answer := &messenger.StagedReply{}
	var id stager.JobID
	answer.Refusal = runner.readStaged(request.Cell, func(state *stager.State) *coder.Refusal {
		queue, _, refusal := state.Deployment.Route(request.Place.Host, request.Place.Path, request.Place.Key)
		if refusal != nil {
			return refusal
		}
		id = stager.JobID(strings.TrimPrefix(request.Place.Path, queue.Prefix))
		if id == "" && request.Question == messenger.JobStatus {
			answer.Pending = state.Pending(queue.Name) + conductor.Unbegun(queue.Name)
			return nil
		}
		if job := state.Jobs[id]; job != nil {
			answer.Status = job.Status()
			return nil
		}
		return coder.Refuse(coder.UnknownJob, "no job %s", id)
	})
	if answer.Refusal == nil && request.Question == messenger.JobCancel {
		return stagedReply(conductor.Cancel(ctx, id))
	}
	return answer, nil
}

func (runner *Runner) deploy(ctx context.Context, request *messenger.DeployRequest) (*messenger.StagedReply, error) {
	conductor, refusal := runner.requireConductor(request.Cell)
	if refusal != nil {
		return stagedReply(refusal)
	}
	return stagedReply(conductor.Deploy(ctx, &request.Deployment))
}

func (runner *Runner) deployed(_ context.Context, request *messenger.DeployedRequest) (*messenger.DeployedReply, error) {
	answer := &messenger.DeployedReply{}
	answer.Refusal = runner.readStaged(request.Cell, func(state *stager.State) *coder.Refusal {
		answer.Version, answer.Source = state.Deployment.Version, state.Deployment.Source
		return nil
	})
	return answer, nil
}

func (runner *Runner) announce(ctx context.Context, request *messenger.AnnounceRequest) (*messenger.StagedReply, error) {
	announcement := request.Announcement
	announcement.Gone = request.Gone
	reply, err := runner.announceAll(ctx, &messenger.AnnounceAllRequest{Cell: request.Cell, Announcements: []stager.Announcement{announcement}})
	if err != nil {
		return nil, err
	}
	if reply.Refusal == nil {
		reply.Refusal = reply.Refusals[0]
	}
	return stagedReply(reply.Refusal)
}

func (runner *Runner) announceAll(ctx context.Context, request *messenger.AnnounceAllRequest) (*messenger.AnnounceAllReply, error) {
	conductor, refusal := runner.requireConductor(request.Cell)
	if refusal != nil {
		return &messenger.AnnounceAllReply{Refusal: refusal}, nil
	}
	refusals, refusal := conductor.AnnounceAll(ctx, request.Announcements)
	return &messenger.AnnounceAllReply{Refusal: refusal, Refusals: refusals}, nil
}

func (runner *Runner) advise(_ context.Context, request *messenger.AdviseRequest) (*messenger.StagedReply, error) {
	conductor, refusal := runner.requireConductor(request.Cell)
	if refusal == nil {
		conductor.Advise(&request.Advice)
	}
	return stagedReply(refusal)
}

func (runner *Runner) wave(ctx context.Context, request *messenger.WaveRequest) (*messenger.WaveReply, error) {
	answer := &messenger.WaveReply{}
	conductor, refusal := runner.requireConductor(request.Cell)
	if refusal == nil && request.Start != nil {
		refusal = conductor.StartWave(ctx, request.Start)
	}
	if refusal != nil {
		answer.Refusal = refusal
		return answer, nil
	}
	answer.Refusal = runner.readStaged(request.Cell, func(state *stager.State) *coder.Refusal {
		wave := state.Waves[request.Number]
		if wave == nil {
			return coder.Refuse(coder.UnknownWave, "no wave %d", request.Number)
		}
		answer.Completed = wave.Completed()
		return nil
	})
	return answer, nil
}

func (runner *Runner) evacuate(ctx context.Context, request *messenger.EvacuateRequest) (*messenger.StagedReply, error) {
	conductor, refusal := runner.requireConductor(request.Cell)
	if refusal != nil {
		return stagedReply(refusal)
	}
	return stagedReply(conductor.Evacuate(ctx, &request.Evacuate))
}

// inquiries streams questions for advisers to a process that can call them,
// until this leadership ends. It includes the addresses of the replicas
// whenever they change.
func (runner *Runner) inquiries(ctx context.Context, request *messenger.InquiriesRequest, send func(*messenger.InquiryMessage) error) error {
	leadership, refusal := runner.requireLeadership(request.Cell)
	if refusal != nil {
		return refusal
	}
	ctx, cancel := leadership.boundContext(ctx)
	defer cancel()
	began := runner.clock()
	var sentReplicas []string
	sendInquiry := func(inquiry *stager.Inquiry) error {
		if !runner.node.Load().Leads() {
			return runner.withhold(inquiry)
		}
		message := &messenger.InquiryMessage{Inquiry: *inquiry}
		if current := runner.replicaAddresses(); !slices.Equal(current, sentReplicas) {
			message.Replicas, sentReplicas = current, current
		}
		if conductor := leadership.stagedService.conductor.Load(); conductor != nil && len(inquiry.Workers) == 0 {
			if notice := conductor.Notice(); notice != nil {
				message.Forecast, message.ForecastAt = notice.Data, notice.At-began
			}
		}
		return send(message)
	}
	if request.Listens {
		return sendKeepalives(ctx, sendInquiry)
	}
	return leadership.stagedService.inquirer.Attach(ctx, sendInquiry)
}

// withhold is called for an inquiry while this replica holds no lease, as when its disk
// stands still and another one leads. A heartbeat is left out, so that the process
// searches for the leader if this goes on; an inquiry ends the stream, and is asked again.
func (runner *Runner) withhold(inquiry *stager.Inquiry) error {
	if len(inquiry.Workers) == 0 {
		return nil
	}
	return runner.notLeader()
}

// sendKeepalives sends empty questions at the interval that the inquirer uses.
func sendKeepalives(ctx context.Context, send func(*stager.Inquiry) error) error {
	ticker := time.NewTicker(inquirer.HeartbeatInterval)
	defer ticker.Stop()
	for {
		if err := send(&stager.Inquiry{}); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (runner *Runner) replicaAddresses() []string {
	members := runner.node.Load().Status().Members
	addresses := make([]string, 0, len(members))
	for _, member := range members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}
