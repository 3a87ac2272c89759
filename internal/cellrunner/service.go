package cellrunner

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/journaler"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// cellServer returns the handlers of the calls from entries and operators.
func (runner *Runner) cellServer() *messenger.CellServer {
	return &messenger.CellServer{
		Propose: runner.proposeForEntry,
		Beat:    runner.heartbeat,
		Report:  runner.report,
		Job:     runner.job,
		Query:   runner.query,
		Member:  runner.removeMember,
		Orders:  runner.orders,
		Follow:  runner.follow,
		History: runner.history,
		Staged:  runner.stagedServer(),
	}
}

// requireLeadership returns the current leadership, or a refusal if the request
// is for another cell, the replica is shutting down, or it does not lead.
func (runner *Runner) requireLeadership(cell modeller.CellName) (*leadership, *coder.Refusal) {
	if cell != runner.cellName() {
		return nil, coder.Refuse(coder.WrongCell, "this is cell %s", runner.cellName())
	}
	if runner.stopping.Load() {
		refusal := runner.notLeader()
		refusal.Code = coder.ShuttingDown
		return nil, refusal
	}
	node := runner.node.Load()
	leadership := runner.leadership.Load()
	if node == nil || leadership == nil || !node.Leads() {
		return nil, runner.notLeader()
	}
	return leadership, nil
}

// notLeader returns a NotLeader refusal with the leader's address if that is
// known.
func (runner *Runner) notLeader() *coder.Refusal {
	refusal := coder.Refuse(coder.NotLeader, "this replica is not the leader")
	node := runner.node.Load()
	if node == nil {
		return refusal
	}
	status := node.Status()
	for _, member := range status.Members {
		if member.ID == status.Leader && member.ID != status.ID {
			refusal.Leader = member.Address
		}
	}
	return refusal
}

// allowedFromEntry reports whether entries may propose the command. The
// commands of the leader's control loops are not accepted from outside.
func allowedFromEntry(command *applier.Command) bool {
	return command.ApplyTemplate != nil || command.GrantKey != nil || command.WithdrawKey != nil ||
		command.Submit != nil || command.Cancel != nil || command.SetWorker != nil || command.Evacuate != nil
}

func (runner *Runner) proposeForEntry(ctx context.Context, request *messenger.ProposeRequest) (*messenger.ProposeReply, error) {
	if _, refusal := runner.requireLeadership(request.Command.Cell); refusal != nil {
		return &messenger.ProposeReply{Refusal: refusal}, nil
	}
	if !allowedFromEntry(&request.Command) {
		return &messenger.ProposeReply{Refusal: coder.Refuse(coder.Malformed, "entries may not propose this command")}, nil
	}
	if refusal := runner.checkEvacuation(request.Command.Evacuate); refusal != nil {
		return &messenger.ProposeReply{Refusal: refusal}, nil
	}
	result, err := runner.propose(ctx, &request.Command)
	if err != nil {
		return &messenger.ProposeReply{Refusal: runner.refusalOf(err)}, nil
	}
	return &messenger.ProposeReply{Result: result}, nil
}

// job returns a job. If the request has a Wait, in milliseconds, it first waits
// that long for the job's outcome.
func (runner *Runner) job(ctx context.Context, request *messenger.JobRequest) (*messenger.JobReply, error) {
	if _, refusal := runner.requireLeadership(request.Cell); refusal != nil {
		return &messenger.JobReply{Refusal: refusal}, nil
	}
	if request.Wait > 0 {
		runner.awaitJob(ctx, request)
	}
	// The state is returned only if this replica still leads after the read:
	// a replica that was paused meanwhile could return stale state.
	reply := &messenger.JobReply{}
	runner.stateMachine.read(func(state *applier.State) { lookUpJob(state, request, reply) })
	if _, refusal := runner.requireLeadership(request.Cell); refusal != nil {
		return &messenger.JobReply{Refusal: refusal}, nil
	}
	return reply, nil
}

func (runner *Runner) awaitJob(ctx context.Context, request *messenger.JobRequest) {
	waiter := runner.stateMachine.addWaiter(request.Job)
	if waiter == nil {
		return
	}
	defer runner.stateMachine.removeWaiter(request.Job, waiter)
	select {
	case <-waiter:
	case <-ctx.Done():
	case <-runner.stopped:
	case <-time.After(time.Duration(request.Wait) * time.Millisecond):
	}
}

func lookUpJob(state *applier.State, request *messenger.JobRequest, reply *messenger.JobReply) {
	job := state.Jobs[request.Job]
	if job == nil {
		reply.Refusal = coder.Refuse(coder.UnknownJob, "no job %d", request.Job)
		return
	}
	if !request.Operator && !mayRead(state, job, request.Key) {
		reply.Refusal = coder.Refuse(coder.NotYourJob, "the key does not belong to the job's client account")
		return
	}
	found := *job
	found.Tasks = slices.Clone(job.Tasks)
	reply.Job = &found
}

// mayRead reports whether a key may read a job: any valid key of the job's client
// account may, and no key is needed if the job was submitted without one.
func mayRead(state *applier.State, job *applier.Job, hash modeller.KeyHash) bool {
	if job.Spec.Key == "" {
		return true
	}
	key := state.Keys[hash]
	return key != nil && key.Withdrawn == 0 && key.ClientAccount == job.Spec.ClientAccount
}

// boundContext returns a child of ctx that is also cancelled when the leadership
// ends.
func (leadership *leadership) boundContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(leadership.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// orders streams orders for workers to an entry until this leadership ends.
func (runner *Runner) orders(ctx context.Context, request *messenger.OrdersRequest, send func(*messenger.Order) error) error {
	leadership, refusal := runner.requireLeadership(request.Cell)
	if refusal != nil {
		return refusal
	}
	ctx, cancel := leadership.boundContext(ctx)
	defer cancel()
	return leadership.dispatcher.Attach(ctx, request.DataCentre, send)
}

// followInterval is the time between two confirmations of the current revision to
// an entry, which bound the age of the entry's configuration.
const followInterval = 500 * time.Millisecond

// follow streams configuration changes to an entry while this replica leads.
func (runner *Runner) follow(ctx context.Context, request *messenger.FollowRequest, send func(*messenger.Configuration) error) error {
	known := request.Known
	first := true
	var members []journaler.Member
	for {
		if _, refusal := runner.requireLeadership(request.Cell); refusal != nil {
			return refusal
		}
		changed := *runner.stateMachine.configurationChanged.Load()
		// A change of the membership does not change the revision, so it is detected
		// separately.
		current := runner.node.Load().Status().Members
		update := runner.configurationSince(known, first || !slices.Equal(members, current))
		members = current
		if err := send(update); err != nil {
			return err
		}
		known, first = update.Revision, false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-runner.stopped:
			return runner.notLeader()
		case <-changed:
		case <-time.After(followInterval):
		}
	}
}

// configurationSince returns the changes after the known revision. If there are
// none and this is not the first message of a stream, it only confirms the
// revision.
func (runner *Runner) configurationSince(known modeller.Revision, first bool) *messenger.Configuration {
	var update *messenger.Configuration
	runner.stateMachine.read(func(state *applier.State) {
		if !first && state.Revision == known {
			update = &messenger.Configuration{Revision: known, Since: known}
			return
		}
		update = messenger.ConfigurationSince(state, known)
	})
	if first || update.Revision != known {
		update.Members = runner.node.Load().Status().Members
	}
	return update
}

func (runner *Runner) query(_ context.Context, request *messenger.QueryRequest) (*messenger.QueryReply, error) {
	if _, refusal := runner.requireLeadership(request.Cell); refusal != nil {
		return &messenger.QueryReply{Refusal: refusal}, nil
	}
	status := runner.node.Load().Status()
	reply := &messenger.QueryReply{Leader: status.Leader, Term: status.Term}
	if request.Members {
		for _, member := range status.Members {
			reply.Members = append(reply.Members, messenger.MemberRow{Member: member, Leader: member.ID == status.Leader})
		}
	}
	runner.stateMachine.read(func(state *applier.State) {
		fillQuery(state, request, reply)
		if request.StagedAccounts && state.Staged != nil {
			reply.StagedAccounts = messenger.NewStagedAccountRows(state.Staged, runner.now())
		}
	})
	if _, refusal := runner.requireLeadership(request.Cell); refusal != nil {
		return &messenger.QueryReply{Refusal: refusal}, nil
	}
	return reply, nil
}

func fillQuery(state *applier.State, request *messenger.QueryRequest, reply *messenger.QueryReply) {
	reply.Index = state.Index
	reply.Now = state.Now
	reply.Revision = state.Revision
	if request.Templates {
		for _, name := range slices.Sorted(maps.Keys(state.Templates)) {
			reply.Templates = append(reply.Templates, *state.Templates[name])
		}
	}
	if request.Accounts {
		reply.Accounts = accountRows(state)
	}
	if request.Workers {
		for _, name := range slices.Sorted(maps.Keys(state.Workers)) {
			worker := state.Workers[name]
			reply.Workers = append(reply.Workers, messenger.WorkerRow{
				Description: worker.Description, State: worker.State, Reason: worker.Reason, Used: worker.Used(), Live: worker.Live(),
			})
		}
	}
	if request.DataCentres {
		reply.DataCentres = dataCentreRows(state)
	}
	if request.Keys {
		for _, hash := range slices.Sorted(maps.Keys(state.Keys)) {
			key := state.Keys[hash]
			reply.Keys = append(reply.Keys, messenger.KeyRow{
				Fingerprint: hash.Fingerprint(), ClientAccount: key.ClientAccount, Granted: key.Granted, Withdrawn: key.Withdrawn,
			})
		}
	}
	if request.Jobs {
		reply.Jobs = jobRows(state, request)
	}
}

func accountRows(state *applier.State) []messenger.AccountRow {
	var rows []messenger.AccountRow
	for _, name := range slices.Sorted(maps.Keys(state.Templates)) {
		template := state.Templates[name]
		account := state.Account(template.ClientAccount)
		row := messenger.AccountRow{
			Name: template.ClientAccount, Template: name, Share: template.Share, Limit: template.Limit,
			Used: account.Used, Live: account.Live,
		}
		for _, queue := range template.Queues {
			row.Queues = append(row.Queues, messenger.QueueRow{Queue: queue, Waiting: account.Waiting[queue.Name]})
		}
		rows = append(rows, row)
	}
	return rows
}

// jobRows returns the newest jobs that match the request, at most request.Most,
// by ascending ID.
func jobRows(state *applier.State, request *messenger.QueryRequest) []messenger.JobRow {
	var rows []messenger.JobRow
	ids := slices.Sorted(maps.Keys(state.Jobs))
	slices.Reverse(ids)
	for _, id := range ids {
		job := state.Jobs[id]
		if request.ClientAccount != "" && job.Spec.ClientAccount != request.ClientAccount || request.Open && job.Outcome != modeller.NoOutcome ||
			request.Before != 0 && id >= request.Before {
			continue
		}
		if len(rows) >= request.Most {
			break
		}
		rows = append(rows, jobRow(job))
	}
	slices.Reverse(rows)
	return rows
}

func jobRow(job *applier.Job) messenger.JobRow {
	row := messenger.JobRow{Spec: *job.Spec, Open: job.Open, Outcome: job.Outcome, Detail: job.Detail, Ended: job.Ended}
	row.Spec.Payload = nil
	for index := range job.Tasks {
		if job.Tasks[index].State.Live() {
			row.Running++
		}
	}
	return row
}

func (runner *Runner) join(ctx context.Context, request *messenger.JoinRequest) (*messenger.JoinReply, error) {
	if _, refusal := runner.requireLeadership(request.Cell); refusal != nil {
		return &messenger.JoinReply{Refusal: refusal}, nil
	}
	members := runner.node.Load().Status().Members
	if isMember(members, request.Member.ID) {
		return &messenger.JoinReply{Members: members}, nil
	}
	learner := request.Member
	learner.Voter = false
	members = append(slices.Clone(members), learner)
	reply := runner.changeMembers(ctx, members)
	reply.Members = members
	return reply, nil
}

func (runner *Runner) removeMember(ctx context.Context, request *messenger.MemberRequest) (*messenger.JoinReply, error) {
	if _, refusal := runner.requireLeadership(request.Cell); refusal != nil {
		return &messenger.JoinReply{Refusal: refusal}, nil
	}
	members := slices.Clone(runner.node.Load().Status().Members)
	if !isMember(members, request.Remove) {
		return &messenger.JoinReply{Refusal: coder.Refuse(coder.UnknownMember, "no replica %s", request.Remove)}, nil
	}
	rest := slices.DeleteFunc(members, func(member journaler.Member) bool { return member.ID == request.Remove })
	return runner.changeMembers(ctx, rest), nil
}

func (runner *Runner) changeMembers(ctx context.Context, members []journaler.Member) *messenger.JoinReply {
	if err := runner.node.Load().ChangeMembers(ctx, members); err != nil {
		return &messenger.JoinReply{Refusal: coder.Refuse(coder.MemberConflict, "%v", err)}
	}
	return &messenger.JoinReply{}
}
