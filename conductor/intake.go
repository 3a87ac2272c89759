package conductor

import (
	"context"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/stager"
)

// request hands a request to the owner and waits until what it brought about is
// committed. Decide returns why it is refused, or nil.
func (conductor *Conductor) request(ctx context.Context, decide func() *coder.Refusal) *coder.Refusal {
	reply := make(chan *coder.Refusal, 1)
	posted := conductor.post(func() {
		if refusal := decide(); refusal != nil {
			reply <- refusal
			return
		}
		conductor.after(func(err error) { reply <- undecided(err) })
	})
	if !posted {
		return coder.Refuse(coder.NotLeader, "the leadership is over")
	}
	select {
	case refusal := <-reply:
		return refusal
	case <-ctx.Done():
	case <-conductor.done:
		select {
		case refusal := <-reply:
			return refusal
		default:
		}
	}
	return coder.Refuse(coder.Unknown, "the request was not decided in time")
}

// undecided is what is known of a request whose batch failed: it may be
// committed by another leader.
func undecided(err error) *coder.Refusal {
	if err == nil {
		return nil
	}
	return coder.Refuse(coder.Unknown, "the batch was not confirmed: %v", err)
}

// refused turns the state's refusal into what the asker is told.
func refused(code coder.Code, err error) *coder.Refusal {
	if err == nil {
		return nil
	}
	return coder.Refuse(code, "%v", err)
}

// Submit takes a job in. One that was accepted before is acknowledged again.
func (conductor *Conductor) Submit(ctx context.Context, submit *stager.Submit) *coder.Refusal {
	return conductor.request(ctx, func() *coder.Refusal {
		if conductor.state.Jobs[submit.ID] != nil {
			logger.Info(conductor.config.Logger, "job acknowledged again", "Job", submit.ID)
			return nil
		}
		if err := conductor.do(&stager.Command{Submit: submit}); err != nil {
			return refused(coder.Malformed, err)
		}
		conductor.dirty = true
		conductor.measures.accepted.Inc()
		logger.Info(conductor.config.Logger, "job accepted", "Job", submit.ID, "ClientAccount", submit.ClientAccount, "Queue", submit.Queue,
			"Steps", len(submit.Steps), "Deployment", conductor.version(), "Open", len(conductor.state.Open()))
		return nil
	})
}

func (conductor *Conductor) version() uint64 {
	if conductor.state.Deployment == nil {
		return 0
	}
	return conductor.state.Deployment.Version
}

// Cancel ends a job and stops what runs of it.
func (conductor *Conductor) Cancel(ctx context.Context, id stager.JobID) *coder.Refusal {
	return conductor.request(ctx, func() *coder.Refusal {
		job := conductor.state.Jobs[id]
		if job == nil {
			return coder.Refuse(coder.UnknownJob, "no job %s", id)
		}
		live := job.Live()
		if err := conductor.do(&stager.Command{Cancel: &stager.Cancel{Job: id}}); err != nil {
			return refused(coder.UnknownJob, err)
		}
		conductor.abandon(job)
		logger.Info(conductor.config.Logger, "job cancelled", "Job", id, "Status", job.Status().String(), "Live", live)
		return nil
	})
}

// Deploy puts a deployment in force. One that is not newer is acknowledged and
// changes nothing.
func (conductor *Conductor) Deploy(ctx context.Context, deployment *stager.Deployment) *coder.Refusal {
	return conductor.request(ctx, func() *coder.Refusal {
		if faults := deployment.Check(); len(faults) > 0 {
			logger.Warn(conductor.config.Logger, "deployment refused", "Version", deployment.Version, "Fault", faults[0])
			return coder.Refuse(coder.BadTemplate, "%s", faults[0])
		}
		if current := conductor.state.Deployment; current != nil && deployment.Version <= current.Version {
			return conductor.redeploy(current, deployment)
		}
		if err := conductor.do(&stager.Command{Deploy: deployment}); err != nil {
			return refused(coder.BadTemplate, err)
		}
		conductor.dirty = true
		logger.Info(conductor.config.Logger, "deployment accepted", "Version", deployment.Version, "Queues", len(deployment.Queues), "ClientAccounts", len(deployment.Accounts))
		return nil
	})
}

// redeploy answers a deployment that is not newer than the one in force.
func (conductor *Conductor) redeploy(current, deployment *stager.Deployment) *coder.Refusal {
	same := deployment.Version != current.Version || deployment.Digest == current.Digest
	logger.Info(conductor.config.Logger, "deployment not newer", "Version", deployment.Version, "InForce", current.Version, "SameContent", same)
	if !same {
		return coder.Refuse(coder.RevisionConflict, "version %d is in force with other content", current.Version)
	}
	return nil
}

// Announce takes up what a worker says of itself. It is acknowledged once a
// change is committed, so that a later leader knows it too.
func (conductor *Conductor) Announce(ctx context.Context, announcement *stager.Announcement) *coder.Refusal {
	return conductor.request(ctx, func() *coder.Refusal { return conductor.meet(announcement) })
}

// Depart takes up that a worker has ended.
func (conductor *Conductor) Depart(ctx context.Context, announcement *stager.Announcement) *coder.Refusal {
	return conductor.request(ctx, func() *coder.Refusal {
		link := conductor.links[announcement.Worker.Name]
		if link != nil && (announcement.Worker.Life == 0 || announcement.Worker.Life == link.life) {
			conductor.bury(link, "the worker has ended")
		}
		return nil
	})
}

// Advise takes up an adviser's answer.
func (conductor *Conductor) Advise(advice *stager.Advice) {
	conductor.post(func() { conductor.advised(advice) })
}

// StartWave takes up an upkeep wave.
func (conductor *Conductor) StartWave(ctx context.Context, wave *stager.Wave) *coder.Refusal {
	return conductor.request(ctx, func() *coder.Refusal {
		return refused(coder.Malformed, conductor.do(&stager.Command{Wave: wave}))
	})
}
