package cellrunner_test

import (
	"context"
	"crypto/sha256"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/relayer"
	"github.com/dotterelrill/dotterelrill/stager"
)

var (
	turnSeed  = flag.Uint64("turn.seed", 1, "first seed of the disks that are full in turn")
	turnSeeds = flag.Uint64("turn.seeds", 4, "number of seeds of the disks that are full in turn")
	turnLogs  = flag.String("turn.logs", "", "existing folder for the logs of the replicas; empty means none")
	turnSpans = flag.Int("turn.spans", 3, "number of disks that are full, one after the other")
)

const (
	// stuckTimeout tells a cell that is late from one that accepts nothing any more.
	stuckTimeout = 40 * time.Second
	// changeInterval is the time between two changes of one operator.
	changeInterval = 30 * time.Millisecond
	// The lengths of a span, and of the pause after it and of another fault beside it.
	minFullSpan = 200 * time.Millisecond
	maxFullSpan = 3500 * time.Millisecond
	maxPause    = 1500 * time.Millisecond
	// failingSpan is how long a disk fails writes to end its process.
	failingSpan = 100 * time.Millisecond
	// maxRoomBytes bounds what a nearly full disk takes.
	maxRoomBytes = 3000
	// minTurnReplicas replicas form a cell; the others join it.
	minTurnReplicas = 3
	maxTurnReplicas = 6
	// resentChanges is how many changes each operator sends again.
	resentChanges = 5
)

// diskFault replaces what a disk does.
type diskFault struct {
	write func(*os.File, []byte) (int, error)
	sync  func(*os.File) error
}

func syncs(*os.File) error { return nil }

// withRoom returns a disk that is full after some more bytes.
func withRoom(room int64) *diskFault {
	var left atomic.Int64
	left.Store(room)
	return &diskFault{sync: syncs, write: func(file *os.File, data []byte) (int, error) {
		if left.Add(-int64(len(data))) >= 0 {
			return file.Write(data)
		}
		count, _ := file.Write(data[:rand.IntN(len(data))])
		return count, syscall.ENOSPC
	}}
}

// fullFor returns a disk that is full for the files whose name contains the text.
func fullFor(text string) *diskFault {
	return &diskFault{sync: syncs, write: func(file *os.File, data []byte) (int, error) {
		if !strings.Contains(filepath.Base(file.Name()), text) {
			return file.Write(data)
		}
		count, _ := file.Write(data[:rand.IntN(len(data))])
		return count, syscall.ENOSPC
	}}
}

// fullAtSync returns a disk that takes bytes and has no room for them at the sync.
func fullAtSync() *diskFault {
	return &diskFault{write: (*os.File).Write, sync: func(*os.File) error { return syscall.ENOSPC }}
}

// failing returns a disk whose writes fail for another reason than room.
func failing() *diskFault {
	return &diskFault{sync: syncs, write: func(*os.File, []byte) (int, error) { return 0, syscall.EIO }}
}

// stalled returns a disk whose writes wait until the channel is closed.
func stalled(until <-chan struct{}) *diskFault { return stalledFor("", until) }

// stalledFor returns a disk whose writes to the files whose name contains the text wait
// until the channel is closed.
func stalledFor(text string, until <-chan struct{}) *diskFault {
	return &diskFault{sync: syncs, write: func(file *os.File, data []byte) (int, error) {
		if strings.Contains(filepath.Base(file.Name()), text) {
			<-until
		}
		return file.Write(data)
	}}
}

// wipe empties the disk. The next process may not form a cell.
func (diskReplica *diskReplica) wipe() {
	folder := diskReplica.settings.DataFolder
	files, _ := os.ReadDir(folder)
	for _, file := range files {
		_ = os.RemoveAll(filepath.Join(folder, file.Name()))
	}
	diskReplica.settings.Form = false
}

// turnOperator sends changes until it is told to stop, each until it is acknowledged.
type turnOperator struct {
	relayer *relayer.Relayer
	// versions is shared by all operators.
	versions *atomic.Uint64
	sent     []*stager.Deployment
	refusals []string
}

func (turnOperator *turnOperator) run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(changeInterval):
		}
		turnOperator.sendNext(done)
	}
}

// sendNext sends the next change, unchanged until it is acknowledged or done is closed.
func (turnOperator *turnOperator) sendNext(done <-chan struct{}) {
	version := turnOperator.versions.Add(1)
	source := fmt.Append(nil, "version ", version)
	deployment := &stager.Deployment{Version: version, Source: source, Digest: sha256.Sum256(source)}
	turnOperator.sent = append(turnOperator.sent, deployment)
	for !turnOperator.send(deployment) {
		select {
		case <-done:
			return
		default:
		}
	}
}

// send sends a change once and reports whether it was acknowledged.
func (turnOperator *turnOperator) send(deployment *stager.Deployment) bool {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	refusal := turnOperator.relayer.Deploy(ctx, deployment)
	if refusal != nil && refusal.Code != coder.NotServing && refusal.Code != coder.Unknown {
		turnOperator.refusals = append(turnOperator.refusals, fmt.Sprintf("version %d: %s", deployment.Version, refusal.Error()))
	}
	return refusal == nil
}

// sendUntil sends a change until it is acknowledged and returns how long that took.
func (turnOperator *turnOperator) sendUntil(deployment *stager.Deployment, timeout time.Duration) (time.Duration, bool) {
	for startedAt := time.Now(); ; {
		if turnOperator.send(deployment) {
			return time.Since(startedAt), true
		}
		if time.Since(startedAt) > timeout {
			return timeout, false
		}
	}
}

// turnRun is one seeded sequence of faults.
type turnRun struct {
	c      *qt.C
	random *rand.Rand
	cell   *diskCell
	ctx    context.Context
	// waiting are the replicas that are not started yet.
	waiting []*diskReplica
	// lastFull is the replica whose disk was full last; diskLost is true once one was lost.
	lastFull int
	diskLost bool
	begunAt  time.Time
	events   []string
}

// startNext starts a replica that waits, if there is one.
func (turnRun *turnRun) startNext() {
	if len(turnRun.waiting) > 0 {
		turnRun.note("a replica joins")
		turnRun.cell.run(turnRun.ctx, turnRun.waiting[0])
		turnRun.waiting = turnRun.waiting[1:]
	}
}

func draw(random *rand.Rand, below time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(below)))
}

func (turnRun *turnRun) note(format string, args ...any) {
	turnRun.events = append(turnRun.events, fmt.Sprintf("%s %.2fs ", time.Now().Format("05.000"), time.Since(turnRun.begunAt).Seconds())+fmt.Sprintf(format, args...))
}

// span fills one disk for some time, beside another fault now and then.
func (turnRun *turnRun) span() {
	random, replicas := turnRun.random, turnRun.cell.replicas
	at := random.IntN(len(replicas))
	if at == turnRun.lastFull && random.IntN(4) > 0 {
		at = (at + 1) % len(replicas)
	}
	if random.IntN(2) == 0 {
		at = turnRun.cell.leaderOr(at)
	}
	turnRun.lastFull = at
	released := make(chan struct{})
	name, fault := turnRun.drawFault(released)
	length := minFullSpan + draw(random, maxFullSpan-minFullSpan)
	turnRun.note("disk %d %s for %s", at, name, length)
	replicas[at].fault.Store(fault)
	before := draw(random, length)
	time.Sleep(before)
	turnRun.besideFull(at)
	time.Sleep(length - before)
	replicas[at].fault.Store(nil)
	close(released)
	if random.IntN(3) == 0 {
		time.Sleep(draw(random, maxPause))
	}
}

// drawFault returns a fault of a disk and its name. A stall lasts until the channel is
// closed.
func (turnRun *turnRun) drawFault(released <-chan struct{}) (string, *diskFault) {
	switch turnRun.random.IntN(10) {
	case 0, 1, 2:
		return "full", withRoom(0)
	case 3, 4:
		room := turnRun.random.Int64N(maxRoomBytes)
		return fmt.Sprint("room for ", room), withRoom(room)
	case 5:
		return "full for snapshots", fullFor(".snapshot")
	case 6:
		return "full for the history floor", fullFor("HistoryFloor")
	case 7:
		return "full at sync", fullAtSync()
	case 8:
		return "full for segments", fullFor(".segment")
	}
	return "stalled", stalled(released)
}

// leaderOr returns the replica that leads, or at if none is known.
func (cell *diskCell) leaderOr(at int) int {
	address := cell.locator.LeaderAddress()
	for index, replica := range cell.replicas {
		if replica.address == address {
			return index
		}
	}
	return at
}

// besideFull adds another fault, or none, while the disk of the replica at full is full.
// The disk of a second replica fails for a moment only, which ends its process.
func (turnRun *turnRun) besideFull(full int) {
	random, replicas := turnRun.random, turnRun.cell.replicas
	at := random.IntN(len(replicas))
	switch kind := random.IntN(8); {
	case kind == 0:
		turnRun.stop(at)
	case kind == 1:
		turnRun.stop(full)
	case kind == 2:
		turnRun.startNext()
	case at == full:
	case kind == 3:
		turnRun.note("process %d ends", at)
		replicas[at].fault.Store(failing())
		time.Sleep(failingSpan)
		replicas[at].fault.Store(nil)
	case kind == 4:
		turnRun.note("process %d stands still", at)
		released := make(chan struct{})
		replicas[at].fault.Store(stalled(released))
		time.Sleep(draw(random, maxPause))
		replicas[at].fault.Store(nil)
		close(released)
	case kind == 5 && !turnRun.diskLost && replicas[at].stop.Load() != nil:
		turnRun.diskLost = true
		turnRun.note("disk %d is lost", at)
		replicas[at].fault.Store(failing())
		replicas[at].wiped.Store(true)
		time.Sleep(failingSpan)
		(*replicas[at].stop.Load())()
		replicas[at].fault.Store(nil)
	}
}

func (turnRun *turnRun) stop(at int) {
	if stop := turnRun.cell.replicas[at].stop.Load(); stop != nil {
		turnRun.note("process %d is stopped", at)
		(*stop)()
	}
}

// TestChangesAreAcknowledgedAfterDisksWereFullInTurn fills one disk at a time, each
// beside changes of two operators and sometimes beside another fault, and then sends all
// changes again.
func TestChangesAreAcknowledgedAfterDisksWereFullInTurn(t *testing.T) {
	for seed := *turnSeed; seed < *turnSeed+*turnSeeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runTurn(qt.New(t), seed)
		})
	}
}

func runTurn(c *qt.C, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	ctx, cancel := context.WithCancel(context.Background())
	count := minTurnReplicas + random.IntN(maxTurnReplicas-minTurnReplicas+1)
	cell := newDiskCell(c, count, minTurnReplicas)
	turnRun := &turnRun{c: c, random: random, cell: cell, ctx: ctx, lastFull: -1, begunAt: time.Now()}
	defer cancel()
	defer func() { c.Logf("seed %d, %d replicas\n%s", seed, count, strings.Join(turnRun.events, "\n")) }()
	for at, replica := range cell.replicas {
		if *turnLogs != "" {
			replica.logs = filepath.Join(*turnLogs, fmt.Sprintf("%d-%d.log", seed, at))
		}
		if at >= minTurnReplicas && random.IntN(2) == 0 {
			turnRun.waiting = append(turnRun.waiting, replica)
			continue
		}
		cell.run(ctx, replica)
	}
	operators := turnRun.startOperators()
	turnRun.awaitStarted()
	stopOperators := runOperators(operators)
	for range *turnSpans {
		turnRun.span()
	}
	for len(turnRun.waiting) > 0 {
		turnRun.startNext()
	}
	turnRun.note("all disks have room")
	stall := measureStall(ctx)
	stopOperators()
	longest := turnRun.resend(operators)
	turnRun.note("sent again; the longest wait was %s; the test's process stood still for up to %s", longest, time.Duration(stall.Load()))
	// No leader lasts in a process that stands still for longer than an election timeout.
	bound := ackTimeout
	if time.Duration(stall.Load()) > cell.replicas[0].settings.ElectionTimeout {
		bound = quorumTimeout
	}
	c.Check(longest < bound, qt.IsTrue, qt.Commentf("a change waited %s", longest))
	turnRun.checkNewest(operators)
	cell.awaitWhole(quorumTimeout)
}

// runOperators has the operators send changes until the returned function is called.
func runOperators(operators []*turnOperator) func() {
	done := make(chan struct{})
	var group sync.WaitGroup
	for _, operator := range operators {
		group.Go(func() { operator.run(done) })
	}
	return func() {
		close(done)
		group.Wait()
	}
}

// checkNewest checks that no change was refused and that the newest one is in force.
func (turnRun *turnRun) checkNewest(operators []*turnOperator) {
	for _, operator := range operators {
		turnRun.c.Check(operator.refusals, qt.HasLen, 0)
	}
	ctx, cancel := context.WithTimeout(context.Background(), quorumTimeout)
	defer cancel()
	reply, refusal := operators[0].relayer.Deployed(ctx)
	turnRun.c.Assert(refusal == nil, qt.IsTrue)
	turnRun.c.Check(reply.Version, qt.Equals, operators[0].versions.Load())
}

// awaitStarted waits until all replicas that were started lead or follow.
func (turnRun *turnRun) awaitStarted() {
	for _, replica := range turnRun.cell.replicas {
		for until := time.Now().Add(quorumTimeout); !slices.Contains(turnRun.waiting, replica) && !replica.ready(); time.Sleep(20 * time.Millisecond) {
			turnRun.c.Assert(time.Now().Before(until), qt.IsTrue, qt.Commentf("the replica at %s is not ready", replica.address))
		}
	}
}

func (turnRun *turnRun) startOperators() []*turnOperator {
	versions := &atomic.Uint64{}
	operators := []*turnOperator{{relayer: turnRun.cell.relayer, versions: versions}}
	go turnRun.cell.relayer.Run(turnRun.ctx)
	second := relayer.New(relayer.Config{Cell: "c", Name: "second operator", Locator: turnRun.cell.locator, Logger: log.NewNopLogger()})
	go second.Run(turnRun.ctx)
	return append(operators, &turnOperator{relayer: second, versions: versions})
}

// resend sends the last changes of both operators again, unchanged, and one new one, and
// returns the longest time until an acknowledgement.
func (turnRun *turnRun) resend(operators []*turnOperator) time.Duration {
	longest := time.Duration(0)
	for _, operator := range operators {
		done := make(chan struct{})
		close(done)
		operator.sendNext(done)
		for _, deployment := range operator.sent[max(0, len(operator.sent)-resentChanges):] {
			took, acknowledged := operator.sendUntil(deployment, stuckTimeout)
			longest = max(longest, took)
			turnRun.c.Assert(acknowledged, qt.IsTrue, qt.Commentf("version %d was not acknowledged within %s after all disks had room", deployment.Version, took))
		}
	}
	return longest
}
