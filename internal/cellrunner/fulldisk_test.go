package cellrunner_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/conductor"
	"github.com/dotterelrill/dotterelrill/internal/cellrunner"
	"github.com/dotterelrill/dotterelrill/internal/launcher"
	"github.com/dotterelrill/dotterelrill/locator"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/relayer"
	"github.com/dotterelrill/dotterelrill/stager"
)

const (
	// changeTimeout bounds one try of a change.
	changeTimeout = 900 * time.Millisecond
	// ackTimeout bounds the time until a change is acknowledged once all disks have
	// room; while one is full, there only has to be an acknowledgement, within
	// quorumTimeout.
	ackTimeout    = 4 * time.Second
	quorumTimeout = 20 * time.Second
	// restartDelay is the delay before a replica that has ended is started again.
	restartDelay = 200 * time.Millisecond
)

// diskReplica is a replica of a cell whose disk can be full. It is started again, as
// a process is by its supervisor, whenever it ends.
type diskReplica struct {
	address, metricsAddress string
	settings                *cellrunner.Settings
	full                    atomic.Bool
	// refuses, if set, reports whether the disk is full for a write to the named file.
	refuses func(name string) bool
	// fault, if set, replaces what the disk does.
	fault atomic.Pointer[diskFault]
	// stop tells the running process to stop, as SIGTERM does.
	stop atomic.Pointer[context.CancelFunc]
	// wiped is true if the process is to find an empty disk at its next start.
	wiped atomic.Bool
	// logs is the file of its log; empty means none.
	logs string
	// ends counts how often the replica has ended by itself.
	ends atomic.Int64
}

// write fails while the disk is full, after a random part of the data.
func (diskReplica *diskReplica) write(file *os.File, data []byte) (int, error) {
	if fault := diskReplica.fault.Load(); fault != nil {
		return fault.write(file, data)
	}
	if !diskReplica.full.Load() && (diskReplica.refuses == nil || !diskReplica.refuses(filepath.Base(file.Name()))) {
		return file.Write(data)
	}
	count, _ := file.Write(data[:rand.IntN(len(data))])
	return count, syscall.ENOSPC
}

func (diskReplica *diskReplica) supervise(ctx context.Context) {
	for ctx.Err() == nil {
		if diskReplica.wiped.Swap(false) {
			diskReplica.wipe()
		}
		runner := cellrunner.New(diskReplica.settings, diskReplica.logger())
		runner.Write = diskReplica.write
		runner.Sync = diskReplica.sync
		runner.ServeStagedJobs(unreachableWorkers())
		processCtx, stop := context.WithCancel(ctx)
		diskReplica.stop.Store(&stop)
		if err := runner.Run(processCtx); err != nil {
			diskReplica.ends.Add(1)
		}
		stop()
		time.Sleep(restartDelay)
	}
}

func (diskReplica *diskReplica) logger() log.Logger {
	if diskReplica.logs == "" {
		return log.NewNopLogger()
	}
	file, err := os.OpenFile(diskReplica.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return log.NewNopLogger()
	}
	return log.With(log.NewLogfmtLogger(log.NewSyncWriter(file)), "T", log.TimestampFormat(time.Now, "05.000"))
}

// sync does nothing: no machine loses power here, and a sync of a busy disk may take
// seconds.
func (diskReplica *diskReplica) sync(file *os.File) error {
	if fault := diskReplica.fault.Load(); fault != nil {
		return fault.sync(file)
	}
	return nil
}

func unreachableWorkers() cellrunner.WorkerCalls {
	notSent := conductor.Answer{Outcome: conductor.NotSent}
	return cellrunner.WorkerCalls{
		Start: func(context.Context, conductor.Target, *conductor.StartOrder) conductor.Answer { return notSent },
		Stop:  func(context.Context, conductor.Target, *conductor.StopOrder) conductor.Answer { return notSent },
		Hold: func(context.Context, conductor.Target, *conductor.HoldOrder) conductor.HoldAnswer {
			return conductor.HoldAnswer{Answer: notSent}
		},
	}
}

// ready reports whether the replica leads, or follows a leader.
func (diskReplica *diskReplica) ready() bool {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+diskReplica.metricsAddress+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// diskCell is a cell whose disks can be full, and a process that sends it changes.
type diskCell struct {
	c        *qt.C
	replicas []*diskReplica
	locator  *locator.Locator
	relayer  *relayer.Relayer
	version  uint64
	// processes are the supervisors of the replicas.
	processes sync.WaitGroup
}

// startDiskCell starts a cell that the first founders replicas form and the others
// join. It runs until the context ends.
func startDiskCell(ctx context.Context, c *qt.C, count, founders int) *diskCell {
	cell := newDiskCell(c, count, founders)
	cell.start(ctx)
	return cell
}

func newDiskCell(c *qt.C, count, founders int) *diskCell {
	cell := &diskCell{c: c}
	addresses, err := launcher.FreeAddresses(2 * count)
	c.Assert(err, qt.IsNil)
	for at := range count {
		replica := &diskReplica{address: addresses[at], metricsAddress: addresses[count+at], settings: &cellrunner.Settings{}}
		text := fmt.Sprintf("[Cell]\nName = c\nAddress = %s\nBootstrap = %s\nForm = %t\nDataFolder = %s\nMetricsAddress = %s\n"+
			"[Log]\nElectionTimeout = 450ms\nSnapshotEvery = 20\nTailEntries = 5\nSegmentBytes = 4096\nRetainBytes = 1048576\n",
			replica.address, strings.Join(addresses[:founders], ","), at < founders, c.TempDir(), replica.metricsAddress)
		c.Assert(replica.settings.Set().Parse("cell.ini", []byte(text)), qt.HasLen, 0)
		cell.replicas = append(cell.replicas, replica)
	}
	c.Cleanup(cell.processes.Wait)
	cell.locator = locator.New(locator.Config{Addresses: addresses[:founders]})
	c.Cleanup(cell.locator.Close)
	cell.relayer = relayer.New(relayer.Config{Cell: "c", Name: "operator", Locator: cell.locator, Logger: log.NewNopLogger()})
	return cell
}

func (cell *diskCell) start(ctx context.Context) {
	for _, replica := range cell.replicas {
		cell.run(ctx, replica)
	}
	go cell.relayer.Run(ctx)
}

// run runs a replica until the context ends.
func (cell *diskCell) run(ctx context.Context, replica *diskReplica) {
	cell.processes.Go(func() { replica.supervise(ctx) })
}

// change sends the next change until it is acknowledged, and returns how long that
// took. It returns false if the timeout passes first.
func (cell *diskCell) change(timeout time.Duration) (time.Duration, bool) {
	cell.version++
	deployment := &stager.Deployment{Version: cell.version, Source: fmt.Append(nil, "version ", cell.version)}
	startedAt := time.Now()
	for time.Since(startedAt) < timeout {
		ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
		refusal := cell.relayer.Deploy(ctx, deployment)
		cancel()
		if refusal == nil {
			return time.Since(startedAt), true
		}
	}
	return timeout, false
}

// members returns the members that the leader knows.
func (cell *diskCell) members() []messenger.MemberRow {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	reply, refusal := locator.Ask(ctx, cell.locator, messenger.CellClient.Query, func(reply *messenger.QueryReply) *coder.Refusal { return reply.Refusal },
		&messenger.QueryRequest{Cell: "c", Members: true})
	if refusal != nil {
		return nil
	}
	return reply.Members
}

// countVoters returns the numbers of members and voters that the leader knows.
func (cell *diskCell) countVoters() (int, int) {
	members := cell.members()
	voters := 0
	for _, row := range members {
		if row.Member.Voter {
			voters++
		}
	}
	return len(members), voters
}

// awaitWhole waits until every replica leads or follows and the cell has its most
// voters.
func (cell *diskCell) awaitWhole(timeout time.Duration) {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if cell.isWhole() {
			return
		}
	}
	members, voters := cell.countVoters()
	for at, replica := range cell.replicas {
		cell.c.Logf("replica %d: ready %t, full %t, ended %d times", at, replica.ready(), replica.full.Load(), replica.ends.Load())
	}
	cell.c.Fatalf("%d members, %d voters, %s after the disk had room", members, voters, timeout)
}

func (cell *diskCell) isWhole() bool {
	for _, replica := range cell.replicas {
		if !replica.ready() {
			return false
		}
	}
	count := len(cell.replicas)
	members, voters := cell.countVoters()
	return members == count && voters == count-1+count%2
}

// TestDisksThatAreFullInTurnLeaveACellThatAcceptsChanges fills the disks of all
// replicas one after the other, never two at once.
func TestDisksThatAreFullInTurnLeaveACellThatAcceptsChanges(t *testing.T) {
	stall := measureStall(t.Context())
	for _, size := range []struct{ count, founders int }{{3, 3}, {4, 3}, {5, 3}, {6, 3}} {
		t.Run(fmt.Sprint(size.count, " replicas"), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			cell := startDiskCell(ctx, c, size.count, size.founders)
			cell.awaitWhole(quorumTimeout)
			longest := time.Duration(0)
			for round := range 2 {
				for at, replica := range cell.replicas {
					replica.full.Store(true)
					for until := time.Now().Add(fullSpans[(round+at)%len(fullSpans)]); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
						took, acknowledged := cell.change(quorumTimeout)
						longest = max(longest, took)
						c.Check(acknowledged, qt.IsTrue, qt.Commentf("not acknowledged for %s while the disk of replica %d was full; the test's process stood still for up to %s", took, at, time.Duration(stall.Load())))
					}
					replica.full.Store(false)
				}
			}
			took, acknowledged := cell.change(ackTimeout)
			c.Check(acknowledged, qt.IsTrue, qt.Commentf("%s after the last disk had room; the test's process stood still for up to %s", took, time.Duration(stall.Load())))
			cell.awaitWhole(ackTimeout)
			c.Logf("at most %s to an acknowledgement while a disk was full, %s after that; the process stood still for up to %s", longest, took, time.Duration(stall.Load()))
			for at, replica := range cell.replicas {
				c.Check(replica.ends.Load() > 0, qt.IsTrue, qt.Commentf("the full disk of replica %d ended nothing", at))
			}
		})
	}
}

// TestAFullDiskWhileJoiningEndsNoReplica has the disk of a joining replica full at each
// write of its identity, and while it creates its log.
func TestAFullDiskWhileJoiningEndsNoReplica(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	cell := newDiskCell(c, 3, 2)
	joining := cell.replicas[2]
	var mutex sync.Mutex
	writes := make(map[string]int)
	joining.refuses = func(name string) bool {
		mutex.Lock()
		defer mutex.Unlock()
		writes[name]++
		return name == "Identity.new" && writes[name]%2 == 1 || strings.HasSuffix(name, ".segment") && writes[name] == 1
	}
	cell.start(ctx)
	cell.awaitWhole(quorumTimeout)
	saved := func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return writes["Identity.new"] == 6
	}
	for until := time.Now().Add(ackTimeout); !saved() && time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		c.Assert(joining.ends.Load(), qt.Equals, int64(0))
	}
	c.Check(saved(), qt.IsTrue, qt.Commentf("the identity is saved when it is made, when it belongs to a cell and when it has a vote"))
	c.Check(joining.ends.Load(), qt.Equals, int64(0))
}

// measureStall returns the longest time for which the process's timers have been late,
// which tells a busy machine from a cell that accepts nothing.
func measureStall(ctx context.Context) *atomic.Int64 {
	stall := &atomic.Int64{}
	go func() {
		for last := time.Now(); ctx.Err() == nil; last = time.Now() {
			time.Sleep(stallInterval)
			stall.Store(max(stall.Load(), int64(time.Since(last)-stallInterval)))
		}
	}()
	return stall
}

// stallInterval is the interval at which measureStall looks at the clock.
const stallInterval = 10 * time.Millisecond

// fullSpans are how long disks are full: shorter and longer than the time after which
// a silent voter's vote goes to a learner.
var fullSpans = []time.Duration{time.Second, 3 * time.Second, 2 * time.Second, 3500 * time.Millisecond}
