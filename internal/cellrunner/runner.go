package cellrunner

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/dotterelrill/dotterelrill/budgeter"
	"github.com/dotterelrill/dotterelrill/certifier"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/journaler"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/replicator"
)

// Runner runs one replica of a cell.
type Runner struct {
	settings     *Settings
	logger       log.Logger
	certifier    *certifier.Certifier
	transport    credentials.TransportCredentials
	formation    *formation
	stateMachine *stateMachine
	node         atomic.Pointer[replicator.Node]
	sender       atomic.Pointer[messenger.Sender]
	// leadership is nil unless this replica leads.
	leadership    atomic.Pointer[leadership]
	statusChanged chan struct{}
	stopping      atomic.Bool
	// stopped is closed at shutdown, so that blocked calls return.
	stopped   chan struct{}
	startedAt time.Duration
	// Wall reads the wall clock. Tests may replace it before Run.
	Wall func() time.Time
	// Write and Sync write the replica's files and make them durable; nil means the
	// methods of *os.File. Tests may set them before Run to simulate a full disk.
	Write func(*os.File, []byte) (int, error)
	Sync  func(*os.File) error
	// commandClock is the clock of this replica's current or last leadership.
	commandClock atomic.Pointer[commandClock]
	// workerCalls is nil if the replica does not serve staged jobs.
	workerCalls *WorkerCalls
	counters    *counters
}

// New returns a replica that Run starts.
func New(settings *Settings, logger log.Logger) *Runner {
	certificates := certifier.New(certifier.Config{Files: settings.TLS, Logger: logger})
	return &Runner{
		settings:      settings,
		certifier:     certificates,
		transport:     certificates.TransportCredentials(),
		logger:        logger,
		stateMachine:  newStateMachine(modeller.CellName(settings.CellName), logger),
		statusChanged: make(chan struct{}, 1),
		stopped:       make(chan struct{}),
		startedAt:     bootTime(),
		Wall:          time.Now,
		counters:      newCounters(),
	}
}

func (runner *Runner) cellName() modeller.CellName {
	return modeller.CellName(runner.settings.CellName)
}

// clock returns the time since New was called. It includes time for which the VM
// was suspended, so that a resumed replica notices that its leases have expired.
func (runner *Runner) clock() time.Duration { return bootTime() - runner.startedAt }

// bootTime returns the time since the VM booted, including time in suspension.
func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err)
	}
	return time.Duration(now.Nano())
}

// Run runs the replica until ctx is done. It then transfers leadership to another
// replica if it leads, finishes the calls in flight and returns.
func (runner *Runner) Run(ctx context.Context) error {
	if err := runner.certifier.Load(); err != nil {
		return err
	}
	var identity *identity
	err := runner.waitForRoom(ctx, func() (err error) {
		identity, err = loadIdentity(runner.journalConfig())
		return err
	})
	if err != nil {
		return errUnlessDone(ctx, err)
	}
	runner.formation = &formation{runner: runner}
	runner.formation.identity.Store(identity)
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", cmp.Or(runner.settings.ListenAddress, runner.settings.Address))
	if err != nil {
		return eris.Wrap(err, "listen for replicas and entries")
	}
	server := messenger.NewServer(runner.transport)
	(&messenger.ReplicaServer{Step: runner.step, Identify: runner.formation.identify, Join: runner.join}).Register(server)
	runner.cellServer().Register(server)

	var group run.Group
	group.Add(func() error { return server.Serve(listener) }, func(error) { stopServer(server) })
	runner.addMetricsServer(&group)
	// The group stops all actors when the first one returns, so reloading must not
	// end with ctx, before the replica has transferred leadership.
	runner.addActor(context.WithoutCancel(ctx), &group, runner.reloadCertificates)
	runner.addReplica(ctx, &group)
	return group.Run()
}

// stopServer stops the server: calls in flight get a second to finish.
func stopServer(server *grpc.Server) {
	timer := time.AfterFunc(time.Second, server.Stop)
	server.GracefulStop()
	timer.Stop()
}

// reloadCertificates loads certificate files again when they change.
func (runner *Runner) reloadCertificates(ctx context.Context) error {
	runner.certifier.Run(ctx)
	return nil
}

func (runner *Runner) step(address string, message replicator.Message) {
	node := runner.node.Load()
	if node == nil {
		return
	}
	if message.Cell == runner.settings.CellName && message.To == node.Status().ID {
		runner.sender.Load().Learn(message.From, address)
	}
	node.Step(message)
}

func (runner *Runner) addMetricsServer(group *run.Group) {
	mux := http.NewServeMux()
	mux.Handle("/metrics", budgeter.ServeMetrics(runner.writeMetrics))
	mux.HandleFunc("/healthy", func(writer http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintln(writer, "ok") })
	mux.HandleFunc("/ready", runner.ready)
	server := &http.Server{Handler: mux}
	guard := budgeter.NewSideGuard("metrics", runner.settings.Limits, runner.counters.set, runner.logger)
	guard.Apply(server)
	group.Add(func() error {
		listener, err := guard.Listen(runner.settings.MetricsAddress)
		if err == nil {
			err = server.Serve(listener)
		}
		if !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve metrics")
		}
		return nil
	}, func(error) { _ = server.Close() })
}

// ready is the readiness check: it succeeds if the replica knows a leader of its
// cell and is not shutting down.
func (runner *Runner) ready(writer http.ResponseWriter, _ *http.Request) {
	node := runner.node.Load()
	if node == nil || node.Status().Leader == "" || runner.stopping.Load() {
		http.Error(writer, "no leader", http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(writer, "ok")
}

// addReplica adds the actor that forms or joins the cell and then runs the node
// until ctx is done.
func (runner *Runner) addReplica(ctx context.Context, group *run.Group) {
	actorCtx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		stop := context.AfterFunc(ctx, func() { runner.shutDown(cancel) })
		defer stop()
		return runner.replicate(actorCtx)
	}, func(error) { cancel() })
}

// shutDown transfers leadership before it cancels the replica's actor. The
// transfer may take half of ShutdownTimeout.
func (runner *Runner) shutDown(cancel context.CancelFunc) {
	defer cancel()
	runner.stopping.Store(true)
	close(runner.stopped)
	node := runner.node.Load()
	if node == nil {
		return
	}
	ctx, done := context.WithTimeout(context.Background(), runner.settings.ShutdownTimeout/2)
	defer done()
	if err := node.Transfer(ctx); err != nil {
		logger.Warn(runner.logger, "leadership not handed over", "Error", err.Error())
	}
}

// fullDiskRetryDelay is the delay before something is written again that a full disk
// prevented.
const fullDiskRetryDelay = 500 * time.Millisecond

// waitForRoom calls write until it fails for another reason than a full disk or the
// context ends. It returns the last error.
func (runner *Runner) waitForRoom(ctx context.Context, write func() error) error {
	for {
		err := write()
		if !errors.Is(err, syscall.ENOSPC) || ctx.Err() != nil {
			return err
		}
		logger.Warn(runner.logger, "disk full; the write is retried", "Error", err.Error())
		select {
		case <-ctx.Done():
		case <-time.After(fullDiskRetryDelay):
		}
	}
}

// errUnlessDone returns the error, or nil if the replica was to stop anyway.
func errUnlessDone(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (runner *Runner) replicate(ctx context.Context) error {
	if !runner.formation.identity.Load().Formed {
		if err := runner.formation.run(ctx); err != nil {
			return errUnlessDone(ctx, err)
		}
	}
	var node *replicator.Node
	var journal *journaler.Journal
	err := runner.waitForRoom(ctx, func() (err error) {
		node, journal, err = runner.openNode(ctx)
		return err
	})
	if err != nil {
		return errUnlessDone(ctx, err)
	}
	defer func() { _ = journal.Close() }()
	var group run.Group
	runner.addActor(ctx, &group, node.Run)
	runner.addActor(ctx, &group, runner.watchLeadership)
	runner.addActor(ctx, &group, runner.formation.joinUntilVoter)
	runner.addActor(ctx, &group, runner.formation.announceToRelays)
	runner.addActor(ctx, &group, runner.manageMembership)
	return group.Run()
}

func (runner *Runner) addActor(ctx context.Context, group *run.Group, actor func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error { return actor(ctx) }, func(error) { cancel() })
}

// journalConfig returns the configuration of the journal, without its Replica.
func (runner *Runner) journalConfig() journaler.Config {
	return journaler.Config{
		Folder:       runner.settings.DataFolder,
		Cell:         runner.settings.CellName,
		SegmentBytes: runner.settings.SegmentBytes,
		RetainBytes:  runner.settings.RetainBytes,
		RetainAge:    runner.settings.RetainAge,
		Write:        runner.Write,
		Sync:         runner.Sync,
	}
}

// openNode recovers the journal and creates the node from the recovered state.
func (runner *Runner) openNode(ctx context.Context) (*replicator.Node, *journaler.Journal, error) {
	identity := runner.formation.identity.Load()
	config := runner.journalConfig()
	config.Replica = identity.ID
	journal, recovered, err := journaler.Open(config)
	if err != nil {
		return nil, nil, err
	}
	logger.Info(runner.logger, "journal opened", "Replica", identity.ID, "Entries", len(recovered.Entries), "TornBytes", recovered.TornBytes)
	if recovered.Snapshot != nil {
		if err := runner.stateMachine.restore(recovered.Snapshot); err != nil {
			return nil, nil, err
		}
	}
	sender := messenger.NewSender(ctx, runner.settings.Address, runner.transport)
	node, err := replicator.NewNode(replicator.NodeConfig{
		Core: replicator.CoreConfig{
			Cell:              runner.settings.CellName,
			ID:                identity.ID,
			Initial:           identity.Initial,
			HeartbeatInterval: runner.settings.HeartbeatInterval,
			ElectionTimeout:   runner.settings.ElectionTimeout,
			Jitter:            rand.N[time.Duration],
			KeepEntries:       uint64(runner.settings.TailEntries),
		},
		Journal:       journal,
		StateMachine:  replicator.StateMachine{Apply: runner.stateMachine.apply, Snapshot: runner.stateMachine.snapshot, Restore: runner.stateMachine.restore},
		Send:          sender.Send,
		Clock:         runner.clock,
		TickInterval:  runner.settings.HeartbeatInterval / 4,
		SnapshotEvery: uint64(runner.settings.SnapshotEvery),
		Changed:       func(status replicator.Status) { runner.handleStatus(sender, status) },
	}, recovered)
	if err != nil {
		return nil, nil, err
	}
	runner.sender.Store(sender)
	runner.node.Store(node)
	return node, journal, nil
}

// handleStatus is called by the node on each change of its status and must not
// block.
func (runner *Runner) handleStatus(sender *messenger.Sender, status replicator.Status) {
	// A joining replica has no membership of its own yet. The sender keeps the
	// members from the leader's reply to Join.
	if len(status.Members) > 0 {
		sender.SetMembers(status.ID, status.Members)
	}
	logger.Info(runner.logger, "replica status", "Role", status.Role, "Term", status.Term, "Leader", status.Leader, "Members", len(status.Members), "Settled", status.Settled)
	select {
	case runner.statusChanged <- struct{}{}:
	default:
	}
}

const membershipInterval = 200 * time.Millisecond

// manageMembership promotes learners that have caught up to voters while this
// replica leads, and removes the old replica whose address a learner has taken
// over.
func (runner *Runner) manageMembership(ctx context.Context) error {
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if runner.leadership.Load() != nil {
			runner.advanceMembership(ctx)
		}
	}
}

func (runner *Runner) advanceMembership(ctx context.Context) {
	node := runner.node.Load()
	next := NextMembers(node.Status().Members, node.CaughtUp, node.Silent, runner.settings.lossesBorne())
	if next == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := node.ChangeMembers(ctx, next); err != nil {
		logger.Warn(runner.logger, "membership change failed", "Error", err.Error())
		return
	}
	logger.Info(runner.logger, "membership changed", "Members", len(next))
}

// NextMembers returns the membership after the next single change, or nil if
// none is due. An even number of voters tolerates no more losses than one fewer
// and has no quorum if a partition splits it in halves, so their number is odd
// between changes: one replica of an even number stays a learner.
//
// The vote of a lost voter goes to a caught-up learner: as long as a voter that is gone for
// good counts, the cell tolerates one loss less. A voter is lost if it is silent, since its
// successor may be at another address, or if a new replica has taken its address, which
// shows that its disk is gone. A silent one stays a member, and catches up if it returns.
// The learner is promoted first: with one voter fewer, the cell would have no quorum if the
// leader were lost between the two changes, even if the silent voter had returned.
//
// A lost voter without a caught-up learner keeps its vote while entries would otherwise be on
// too few disks. With lossesBorne disks that may be lost at once, one more than that hold each
// entry if twice as many and one vote. Votes beyond these only raise the quorum: while the
// cell could bear fewer losses, lost voters are demoted. If lossesBorne is zero, none is.
func NextMembers(members []journaler.Member, caughtUp, silent func(journaler.ReplicaID) bool, lossesBorne int) []journaler.Member {
	voters := countMembers(members, func(member journaler.Member) bool { return member.Voter })
	lost := lostVoters(members, caughtUp, silent)
	if len(lost) > 0 && voters%2 == 0 && voters > minVoters {
		return withoutVote(members, lost, caughtUp)
	}
	limit := maxVoters(countMembers(members, func(member journaler.Member) bool { return member.Voter || caughtUp(member.ID) }))
	for index, learner := range members {
		if learner.Voter || !caughtUp(learner.ID) {
			continue
		}
		replaced := indexAtSameAddress(members, learner)
		if replaced >= 0 && (!members[replaced].Voter || len(lost) == 1) {
			return slices.Delete(slices.Clone(members), replaced, replaced+1)
		}
		if len(lost) > 0 || voters < limit {
			next := slices.Clone(members)
			next[index].Voter = true
			return next
		}
	}
	return withoutExcessVote(members, lost, caughtUp, silent, lossesBorne)
}

// withoutExcessVote returns the membership with one vote fewer, or nil if none is in excess.
// No learner has caught up that could take a vote over.
func withoutExcessVote(members []journaler.Member, lost []journaler.ReplicaID, caughtUp, silent func(journaler.ReplicaID) bool, lossesBorne int) []journaler.Member {
	voters := countMembers(members, func(member journaler.Member) bool { return member.Voter })
	if len(lost) > 0 {
		if lossesBorne > 0 && voters > 2*lossesBorne+1 && bearable(voters, len(lost)) < lossesBorne {
			return withoutVote(members, lost, caughtUp)
		}
		return nil
	}
	// A learner that lags for a moment may get a vote soon; a silent one may not return.
	limit := maxVoters(countMembers(members, func(member journaler.Member) bool { return member.Voter || !silent(member.ID) }))
	if voters > max(limit, minVoters) {
		return withoutSurplusVote(members, caughtUp)
	}
	return nil
}

// bearable returns how many more voters may be lost before the rest is no quorum.
func bearable(voters, lost int) int { return voters - lost - (voters/2 + 1) }

// lostVoters returns the voters that are lost, first those whose disk is gone.
func lostVoters(members []journaler.Member, caughtUp, silent func(journaler.ReplicaID) bool) []journaler.ReplicaID {
	var emptied, quiet []journaler.ReplicaID
	for _, member := range members {
		switch {
		case !member.Voter:
		case superseded(members, member, caughtUp):
			emptied = append(emptied, member.ID)
		case silent(member.ID):
			quiet = append(quiet, member.ID)
		}
	}
	return append(emptied, quiet...)
}

// superseded reports whether a new replica has taken the voter's address.
func superseded(members []journaler.Member, voter journaler.Member, caughtUp func(journaler.ReplicaID) bool) bool {
	successor := indexAtSameAddress(members, voter)
	return successor >= 0 && (!members[successor].Voter || caughtUp(members[successor].ID))
}

// indexAtSameAddress returns the position of another member at the member's address, or -1.
func indexAtSameAddress(members []journaler.Member, member journaler.Member) int {
	return slices.IndexFunc(members, func(other journaler.Member) bool {
		return other.Address == member.Address && other.ID != member.ID
	})
}

func countMembers(members []journaler.Member, matches func(journaler.Member) bool) int {
	count := 0
	for _, member := range members {
		if matches(member) {
			count++
		}
	}
	return count
}

// minVoters is the number of voters below which none is demoted: entries would be
// committed on a single disk.
const minVoters = 2

// withoutVote removes a lost voter whose successor at its address has caught up, or else
// demotes the first of the lost ones.
func withoutVote(members []journaler.Member, lost []journaler.ReplicaID, caughtUp func(journaler.ReplicaID) bool) []journaler.Member {
	next := slices.Clone(members)
	for index, member := range members {
		if successor := indexAtSameAddress(members, member); successor >= 0 && slices.Contains(lost, member.ID) && caughtUp(members[successor].ID) {
			return slices.Delete(next, index, index+1)
		}
	}
	next[slices.IndexFunc(next, func(member journaler.Member) bool { return member.ID == lost[0] })].Voter = false
	return next
}

// withoutSurplusVote demotes a voter that has caught up, which the leader itself never
// counts as. It returns nil if there is none.
func withoutSurplusVote(members []journaler.Member, caughtUp func(journaler.ReplicaID) bool) []journaler.Member {
	at := slices.IndexFunc(members, func(member journaler.Member) bool { return member.Voter && caughtUp(member.ID) })
	if at < 0 {
		return nil
	}
	next := slices.Clone(members)
	next[at].Voter = false
	return next
}

// maxVoters returns the largest odd number that is not above members.
func maxVoters(members int) int { return members - 1 + members%2 }
