package conductor

import (
	"context"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/stager"
)

// request runs decide on the owning goroutine and waits until the changes that it made
// or relied on are committed. decide returns a refusal, or nil: a refusal too may rely on
// a change that is never committed. A refusal that relied on the state alone is returned
// only while this replica is certain to lead: one that was paused may decide by a state that
// lacks what the next leader has accepted. A request whose caller has
// stopped waiting is dropped: an overloaded leader would otherwise spend its time on
// answers that nobody receives, and be late with the others too.
func (conductor *Conductor) request(ctx context.Context, decide func() *coder.Refusal) *coder.Refusal {
	reply := make(chan *coder.Refusal, 1)
	posted := conductor.post(func() {
		if ctx.Err() != nil {
			return
		}
		refusal := decide()
		conductor.afterCommit(func(err error) {
			switch {
			case err != nil:
				refusal = commitRefusal(err)
			case refusal != nil && !conductor.config.Leads():
				refusal = coder.Refuse(coder.NotLeader, "this replica may no longer be the leader")
			}
			reply <- refusal
		})
	})
	if !posted {
		return coder.Refuse(coder.NotLeader, "this replica is no longer the leader")
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

// commitRefusal returns the refusal of a request whose batch failed. The outcome is
// unknown, because another leader may still commit the batch.
func commitRefusal(err error) *coder.Refusal {
	return coder.Refuse(coder.Unknown, "the batch was not confirmed as committed: %v", err)
}

// toRefusal returns an error of the state as a refusal, or nil.
func toRefusal(code coder.Code, err error) *coder.Refusal {
	if err == nil {
		return nil
	}
	return coder.Refuse(code, "%v", err)
}

// Submit accepts a job, or refuses it if it is forecast to finish too late. A job that was
// accepted before is acknowledged again, whatever the load.
func (conductor *Conductor) Submit(ctx context.Context, submit *stager.Submit) *coder.Refusal {
	conductor.awaitAcceptance(ctx)
	return conductor.request(ctx, func() *coder.Refusal {
		if conductor.state.Jobs[submit.ID] != nil {
			logger.Info(conductor.config.Logger, "job acknowledged again", "Job", submit.ID)
			return nil
		}
		if refusal := conductor.admit(submit); refusal != nil {
			return refusal
		}
		if err := conductor.applyCommand(&stager.Command{Submit: submit}); err != nil {
			return toRefusal(coder.Malformed, err)
		}
		conductor.noteAccepted(submit)
		conductor.placementPending = true
		conductor.instruments.jobsAccepted.Inc()
		job := conductor.state.Jobs[submit.ID]
		if job.Excess {
			conductor.instruments.countExcess(job)
		}
		logger.Info(conductor.config.Logger, "job accepted", "Job", submit.ID, "ClientAccount", submit.ClientAccount, "Queue", submit.Queue,
			"Steps", len(submit.Steps), "Excess", job.Excess, "Deployment", conductor.deploymentVersion(), "Open", len(conductor.state.Open()))
		return nil
	})
}

func (conductor *Conductor) deploymentVersion() uint64 {
	if conductor.state.Deployment == nil {
		return 0
	}
	return conductor.state.Deployment.Version
}

// Cancel cancels a job and stops its running tasks.
func (conductor *Conductor) Cancel(ctx context.Context, id stager.JobID) *coder.Refusal {
	return conductor.request(ctx, func() *coder.Refusal {
		job := conductor.state.Jobs[id]
		if job == nil {
			return coder.Refuse(coder.UnknownJob, "no job %s", id)
		}
		live := job.Live()
		if err := conductor.applyCommand(&stager.Command{Cancel: &stager.Cancel{Job: id}}); err != nil {
			return toRefusal(coder.UnknownJob, err)
		}
		conductor.unbegun.remove(id)
		conductor.stopJob(job)
		logger.Info(conductor.config.Logger, "job cancelled", "Job", id, "Status", job.Status().String(), "Live", live)
		return nil
	})
}

// Deploy puts a deployment in force. One that is not newer is acknowledged and
// changes nothing, unless it has the same version with other content.
func (conductor *Conductor) Deploy(ctx context.Context, deployment *stager.Deployment) *coder.Refusal {
	return conductor.request(ctx, func() *coder.Refusal {
		if faults := deployment.Check(); len(faults) > 0 {
			logger.Warn(conductor.config.Logger, "deployment refused", "Version", deployment.Version, "Fault", faults[0])
			return coder.Refuse(coder.BadTemplate, "%s", faults[0])
		}
		if current := conductor.state.Deployment; current != nil && deployment.Version <= current.Version {
			return conductor.acknowledgeDeployment(current, deployment)
		}
		if err := conductor.applyCommand(&stager.Command{Deploy: deployment}); err != nil {
			return toRefusal(coder.BadTemplate, err)
		}
		conductor.placementPending = true
		logger.Info(conductor.config.Logger, "deployment accepted", "Version", deployment.Version, "Queues", len(deployment.Queues), "ClientAccounts", len(deployment.Accounts))
		return nil
	})
}

// acknowledgeDeployment answers a deployment that is not newer than the one in
// force.
func (conductor *Conductor) acknowledgeDeployment(current, deployment *stager.Deployment) *coder.Refusal {
	same := deployment.Version != current.Version || deployment.Digest == current.Digest
	logger.Info(conductor.config.Logger, "deployment not newer", "Version", deployment.Version, "InForce", current.Version, "SameContent", same)
	if !same {
		return coder.Refuse(coder.RevisionConflict, "version %d is in force with other content", current.Version)
	}
	return nil
}

// AnnounceAll handles the announcements of several workers. It returns a refusal, or
// nil, for each, or one refusal for all. A change is acknowledged once it is
// committed, so that a later leader knows the worker too.
func (conductor *Conductor) AnnounceAll(ctx context.Context, announcements []stager.Announcement) ([]*coder.Refusal, *coder.Refusal) {
	refusals := make([]*coder.Refusal, len(announcements))
	refusal := conductor.request(ctx, func() *coder.Refusal {
		for at := range announcements {
			if announcements[at].Gone {
				refusals[at] = conductor.depart(&announcements[at])
			} else {
				refusals[at] = conductor.handleAnnouncement(&announcements[at])
			}
		}
		return nil
	})
	if refusal != nil {
		return nil, refusal
	}
	return refusals, nil
}

// depart handles the announcement that a worker has ended. It may have been delayed until a
// later incarnation has begun under the same name, so one that names no incarnation proves
// nothing about the present one, even if that has announced that it is leaving and does not
// answer. If the worker has work, its sender is told the incarnation to name: a sender that
// sends it again has learned the name, so neither it nor an earlier incarnation runs on.
// Otherwise the worker's lease decides.
func (conductor *Conductor) depart(announcement *stager.Announcement) *coder.Refusal {
	connection := conductor.connections[announcement.Worker.Name]
	if connection == nil {
		return nil
	}
	named, current := announcement.Worker.Life, connection.target().Life
	if named == 0 && len(connection.attempts) > 0 {
		logger.Info(conductor.config.Logger, "end of a worker names no incarnation", "Worker", connection.name,
			"Life", int64(current), "Live", len(connection.attempts))
		if current == 0 {
			return nil
		}
		refusal := coder.Refuse(coder.IncarnationUnnamed, "the worker runs tasks; its end has to name incarnation %d", current)
		refusal.Name = int64(current)
		return refusal
	}
	if named != 0 && named != current {
		return nil
	}
	conductor.dropIncarnation(connection, departed, "the worker has ended")
	return nil
}

// Advise handles an adviser's answer. It does not wait.
func (conductor *Conductor) Advise(advice *stager.Advice) {
	conductor.post(func() { conductor.handleAdvice(advice) })
}

// StartWave starts a maintenance wave.
func (conductor *Conductor) StartWave(ctx context.Context, wave *stager.Wave) *coder.Refusal {
	return conductor.request(ctx, func() *coder.Refusal {
		return toRefusal(coder.Malformed, conductor.applyCommand(&stager.Command{Wave: wave}))
	})
}
