package cellrunner

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
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

	"github.com/dotterelrill/dotterelrill/certifier"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/journaler"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/replicator"
)

// Runner is one running replica.
type Runner struct {
	settings  *Settings
	logger    log.Logger
	certifier *certifier.Certifier
	transport credentials.TransportCredentials
	formation *formation
	machine   *machine
	node      atomic.Pointer[replicator.Node]
	sender    atomic.Pointer[messenger.Sender]
	// leadership is nil while the replica does not lead.
	leadership    atomic.Pointer[leadership]
	statusChanged chan struct{}
	stopping      atomic.Bool
	// stopped is closed when waiting calls must end.
	stopped chan struct{}
	begun   time.Duration
	// Wall is the wall clock. It may be replaced before Run.
	Wall func() time.Time
	// stamps is where the time of this replica's present or last leadership begins.
	stamps atomic.Pointer[stamps]
	// staging is nil if the replica serves no staged jobs.
	staging  *Staging
	measures *measures
}

// New returns a replica that has not started yet.
func New(settings *Settings, logger log.Logger) *Runner {
	held := certifier.New(certifier.Config{Files: settings.TLS, Logger: logger})
	return &Runner{
		settings:      settings,
		certifier:     held,
		transport:     held.Transport(),
		logger:        logger,
		machine:       newMachine(modeller.CellName(settings.CellName), logger),
		statusChanged: make(chan struct{}, 1),
		stopped:       make(chan struct{}),
		begun:         bootTime(),
		Wall:          time.Now,
		measures:      newMeasures(),
	}
}

func (runner *Runner) cellName() modeller.CellName {
	return modeller.CellName(runner.settings.CellName)
}

// clock counts from the process's beginning, also while the VM is suspended:
// whoever was away for long must know that its leases are over.
func (runner *Runner) clock() time.Duration { return bootTime() - runner.begun }

// bootTime is the time since the VM was started, suspensions included.
func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err)
	}
	return time.Duration(now.Nano())
}

// Run runs the replica until the context ends. It then hands leadership over,
// finishes what is under way and returns.
func (runner *Runner) Run(ctx context.Context) error {
	if err := runner.certifier.Load(); err != nil {
		return err
	}
	identity, err := loadIdentity(runner.settings)
	if err != nil {
		return err
	}
	runner.formation = &formation{runner: runner}
	runner.formation.known.Store(identity)
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", cmp.Or(runner.settings.ListenAddress, runner.settings.Address))
	if err != nil {
		return eris.Wrap(err, "listen for replicas and entries")
	}
	server := messenger.NewServer(runner.transport)
	(&messenger.ReplicaServer{Step: runner.step, Identify: runner.formation.identify, Join: runner.join}).Register(server)
	runner.server().Register(server)

	var group run.Group
	group.Add(func() error { return server.Serve(listener) }, func(error) { stopServer(server) })
	runner.addMetrics(&group)
	// The renewal must not end before the replica has handed over, since the
	// first actor's end ends all.
	runner.addDuty(context.WithoutCancel(ctx), &group, runner.renew)
	runner.addReplica(ctx, &group)
	return group.Run()
}

// stopServer ends the server, gracefully for a moment.
func stopServer(server *grpc.Server) {
	timer := time.AfterFunc(time.Second, server.Stop)
	server.GracefulStop()
	timer.Stop()
}

// renew is the duty of taking up certificates that change.
func (runner *Runner) renew(ctx context.Context) error {
	runner.certifier.Run(ctx)
	return nil
}

func (runner *Runner) step(message replicator.Message) {
	if node := runner.node.Load(); node != nil {
		node.Step(message)
	}
}

func (runner *Runner) addMetrics(group *run.Group) {
	mux := http.NewServeMux()
	mux.HandleFunc("/metrics", func(writer http.ResponseWriter, _ *http.Request) { runner.writeMeasures(writer) })
	mux.HandleFunc("/healthy", func(writer http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintln(writer, "ok") })
	mux.HandleFunc("/ready", runner.ready)
	server := &http.Server{Addr: runner.settings.MetricsAddress, Handler: mux, ReadHeaderTimeout: time.Second}
	group.Add(func() error {
		if err := server.ListenAndServe(); err != http.ErrServerClosed {
			return eris.Wrap(err, "serve metrics")
		}
		return nil
	}, func(error) { _ = server.Close() })
}

// ready tells the platform whether the replica belongs to a cell with a leader.
func (runner *Runner) ready(writer http.ResponseWriter, _ *http.Request) {
	node := runner.node.Load()
	if node == nil || node.Status().Leader == "" || runner.stopping.Load() {
		http.Error(writer, "no leader", http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(writer, "ok")
}

// addReplica adds the actor that forms or joins the cell and then drives the
// node until the context ends.
func (runner *Runner) addReplica(ctx context.Context, group *run.Group) {
	actorCtx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		stop := context.AfterFunc(ctx, func() { runner.shutDown(cancel) })
		defer stop()
		return runner.replicate(actorCtx)
	}, func(error) { cancel() })
}

// shutDown hands leadership over before it ends the actor.
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

// fullDiskPause is how long after a full disk kept the journal from being opened
// it is tried again.
const fullDiskPause = 500 * time.Millisecond

func (runner *Runner) replicate(ctx context.Context) error {
	if !runner.formation.known.Load().Formed {
		if err := runner.formation.run(ctx); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
	}
	node, journal, err := runner.openNode(ctx)
	for errors.Is(err, syscall.ENOSPC) && ctx.Err() == nil {
		logger.Warn(runner.logger, "the disk takes no more", "Error", err.Error())
		select {
		case <-ctx.Done():
		case <-time.After(fullDiskPause):
		}
		node, journal, err = runner.openNode(ctx)
	}
	if err != nil {
		return err
	}
	defer func() { _ = journal.Close() }()
	var group run.Group
	runner.addDuty(ctx, &group, node.Run)
	runner.addDuty(ctx, &group, runner.watchLeadership)
	runner.addDuty(ctx, &group, runner.formation.keepJoining)
	runner.addDuty(ctx, &group, runner.formation.introduce)
	runner.addDuty(ctx, &group, runner.keepMembers)
	return group.Run()
}

func (runner *Runner) addDuty(ctx context.Context, group *run.Group, duty func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error { return duty(ctx) }, func(error) { cancel() })
}

// openNode reads the journal back and makes the node from it.
func (runner *Runner) openNode(ctx context.Context) (*replicator.Node, *journaler.Journal, error) {
	identity := runner.formation.known.Load()
	journal, recovered, err := journaler.Open(journaler.Config{
		Folder:       runner.settings.DataFolder,
		Cell:         runner.settings.CellName,
		Replica:      identity.ID,
		SegmentBytes: runner.settings.SegmentBytes,
		RetainBytes:  runner.settings.RetainBytes,
		RetainAge:    runner.settings.RetainAge,
	})
	if err != nil {
		return nil, nil, err
	}
	logger.Info(runner.logger, "journal opened", "Replica", identity.ID, "Entries", len(recovered.Entries), "TornBytes", recovered.TornBytes)
	if recovered.Snapshot != nil {
		if err := runner.machine.restore(recovered.Snapshot); err != nil {
			return nil, nil, err
		}
	}
	sender := messenger.NewSender(ctx, runner.transport)
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
		Machine:       replicator.Machine{Apply: runner.machine.apply, Snapshot: runner.machine.snapshot, Restore: runner.machine.restore},
		Send:          sender.Send,
		Clock:         runner.clock,
		TickInterval:  runner.settings.HeartbeatInterval / 4,
		SnapshotEvery: uint64(runner.settings.SnapshotEvery),
		Changed:       func(status replicator.Status) { runner.noteStatus(sender, status) },
	}, recovered)
	if err != nil {
		return nil, nil, err
	}
	runner.sender.Store(sender)
	runner.node.Store(node)
	return node, journal, nil
}

// noteStatus is called by the node's agreement and must not wait.
func (runner *Runner) noteStatus(sender *messenger.Sender, status replicator.Status) {
	// A replica that is being taken in knows no members yet but those that the
	// leader told it of.
	if len(status.Members) > 0 {
		sender.SetMembers(status.ID, status.Members)
	}
	logger.Info(runner.logger, "replica status", "Role", status.Role, "Term", status.Term, "Leader", status.Leader, "Members", len(status.Members), "Settled", status.Settled)
	select {
	case runner.statusChanged <- struct{}{}:
	default:
	}
}

const membersInterval = 200 * time.Millisecond

// keepMembers is the leader's duty of bringing learners that have caught up to
// a vote, and of removing the identity whose address they have taken over.
func (runner *Runner) keepMembers(ctx context.Context) error {
	ticker := time.NewTicker(membersInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if runner.leadership.Load() != nil {
			runner.stepMembers(ctx)
		}
	}
}

func (runner *Runner) stepMembers(ctx context.Context) {
	node := runner.node.Load()
	next := NextMembers(node.Status().Members, node.CaughtUp)
	if next == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeMost)
	defer cancel()
	if err := node.ChangeMembers(ctx, next); err != nil {
		logger.Warn(runner.logger, "membership change failed", "Error", err.Error())
		return
	}
	logger.Info(runner.logger, "membership changed", "Members", len(next))
}

// NextMembers returns the next single change of the membership, or nil. An old
// identity goes as soon as the new one at its address has caught up, and a
// learner gets the vote that is free then. An even number of voters bears no more
// losses than one fewer and has no majority when it is cut in halves, so one
// replica of an even number stays a learner.
func NextMembers(members []journaler.Member, caughtUp func(journaler.ReplicaID) bool) []journaler.Member {
	voters := 0
	for _, member := range members {
		if member.Voter {
			voters++
		}
	}
	for at, learner := range members {
		if learner.Voter || !caughtUp(learner.ID) {
			continue
		}
		old := slices.IndexFunc(members, func(member journaler.Member) bool {
			return member.Address == learner.Address && member.ID != learner.ID
		})
		next := slices.Clone(members)
		if old >= 0 {
			return slices.Delete(next, old, old+1)
		}
		if voters >= mostVoters(len(members)) {
			continue
		}
		next[at].Voter = true
		return next
	}
	return nil
}

// mostVoters is the largest odd number of so many members.
func mostVoters(members int) int { return members - 1 + members%2 }
