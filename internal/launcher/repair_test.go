package launcher_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/internal/launcher"
	"github.com/dotterelrill/dotterelrill/internal/reviewer"
	"github.com/dotterelrill/dotterelrill/journaler"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/replayer"
	"github.com/dotterelrill/dotterelrill/responder"
)

// repairTimeout bounds each wait of these tests.
const repairTimeout = 40 * time.Second

func repairWorkers() []launcher.Worker {
	return []launcher.Worker{{Name: "w1", DataCentre: "dc1", Rack: "r1"}, {Name: "w2", DataCentre: "dc2", Rack: "r1"}}
}

const loadCallers = 8

// load submits jobs from several concurrent callers until it is stopped.
type load struct {
	path     *path
	stop     atomic.Bool
	accepted atomic.Int64
	group    sync.WaitGroup
}

func (path *path) startLoad() *load {
	started := &load{path: path}
	for caller := range loadCallers {
		started.group.Go(func() {
			for number := 0; !started.stop.Load(); number++ {
				started.submit(fmt.Sprintf("load-%d-%d", caller, number))
			}
		})
	}
	path.c.Cleanup(started.finish)
	return started
}

// submit repeats one request until it is accepted or the load is stopped.
func (load *load) submit(request string) {
	body := `{"RequestID":"` + request + `","ClientAccount":"desk","Queue":"retry","Tasks":1}`
	for !load.stop.Load() {
		answer, err := load.path.trySubmit(body)
		if err == nil && (answer.Code == coder.OK || answer.Code == coder.Duplicate) {
			load.accepted.Add(1)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (load *load) finish() {
	load.stop.Store(true)
	load.group.Wait()
}

// trySubmit submits a job without failing the test on an error, since there may
// be no leader at the moment.
func (path *path) trySubmit(body string) (responder.Answer, error) {
	var answer responder.Answer
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+path.fleet.EntryAddress[0]+"/v1/jobs", bytes.NewBufferString(body))
	if err != nil {
		return answer, err
	}
	request.Header.Set("Authorization", "Bearer "+path.key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	return answer, json.NewDecoder(response.Body).Decode(&answer)
}

func (path *path) await(what string, done func() bool) {
	deadline := time.Now().Add(repairTimeout)
	for !done() {
		path.c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("timed out waiting for %s", what))
		time.Sleep(50 * time.Millisecond)
	}
}

func (path *path) members() []messenger.MemberRow {
	_, data := path.sendRaw(http.MethodGet, "/v1/operator/overview?Members=true", path.fleet.OperatorKey, "")
	var reply messenger.QueryReply
	path.c.Assert(json.Unmarshal(data, &reply), qt.IsNil, qt.Commentf("%s", data))
	return reply.Members
}

// voterAt returns the ID of the voter at an address, or an empty ID unless that
// voter is the only member there.
func voterAt(members []messenger.MemberRow, address string) journaler.ReplicaID {
	var found journaler.ReplicaID
	for _, row := range members {
		if row.Member.Address != address {
			continue
		}
		if found != "" || !row.Member.Voter {
			return ""
		}
		found = row.Member.ID
	}
	return found
}

func (path *path) appliedIndex(cell *launcher.Process) uint64 {
	value := launcher.Metric(context.Background(), path.fleet.MetricsAddress(cell), "dotterel_cell_applied_index")
	index, _ := strconv.ParseUint(value, 10, 64)
	return index
}

// checkReplicas stops all replicas, verifies their histories and compares their
// states at the last index that all of them have committed.
func (path *path) checkReplicas() {
	lastCommon := ^uint64(0)
	for _, cell := range path.fleet.Cells {
		if cell.Alive() {
			status, err := cell.Stop(15 * time.Second)
			path.c.Assert(err, qt.IsNil)
			path.c.Check(status, qt.Equals, 0)
		}
		var out bytes.Buffer
		path.c.Check(reviewer.Main(context.Background(), []string{"verify", cell.Folder}, &out, &out), qt.Equals, reviewer.StatusOK, qt.Commentf("%s: %s", cell.Name, out.String()))
		last, _, err := journaler.LastCommitted(cell.Folder)
		path.c.Assert(err, qt.IsNil)
		lastCommon = min(lastCommon, last)
	}
	var sums []uint32
	for _, cell := range path.fleet.Cells {
		state, err := replayer.Replay(replayer.Config{Folder: cell.Folder, Cell: "demo", Last: lastCommon, Visit: func(*messenger.HistoryRecord) error { return nil }})
		path.c.Assert(err, qt.IsNil)
		path.c.Check(state.Index, qt.Equals, lastCommon, qt.Commentf("%s", cell.Name))
		sum, err := state.Checksum()
		path.c.Assert(err, qt.IsNil)
		sums = append(sums, sum)
	}
	path.c.Check(sums, qt.DeepEquals, []uint32{sums[0], sums[0], sums[0]}, qt.Commentf("at index %d", lastCommon))
}

// TestALostReplicaIsReplacedAndASecondLostRightAfter deletes a follower's folder
// under load, and kills the leader once the replacement votes.
func TestALostReplicaIsReplacedAndASecondLostRightAfter(t *testing.T) {
	path := startPathWith(t, launcher.Config{CellSettings: "[Log]\nSnapshotEvery = 100\nTailEntries = 20\n", Workers: repairWorkers()})
	// Large payloads make the snapshot span several pieces, which a new replica
	// must acknowledge before it knows any members.
	payload := strings.Repeat("A", 200_000)
	for job := range 4 {
		_, answer := path.send(http.MethodPost, "/v1/jobs", path.key, fmt.Sprintf(`{"RequestID":"large-%d","ClientAccount":"desk","Queue":"retry","Tasks":1,"Payload":"%s"}`, job, payload))
		path.c.Assert(answer.Code, qt.Equals, coder.OK)
	}
	load := path.startLoad()
	path.await("100 accepted jobs", func() bool { return load.accepted.Load() > 100 })
	ctx, cancel := context.WithTimeout(context.Background(), repairTimeout)
	defer cancel()
	leader, err := path.fleet.Leader(ctx)
	path.c.Assert(err, qt.IsNil)
	lost := 0
	for path.fleet.Cells[lost] == leader {
		lost++
	}
	address := path.fleet.CellAddress[lost]
	old := voterAt(path.members(), address)
	path.c.Assert(old, qt.Not(qt.Equals), journaler.ReplicaID(""))
	path.fleet.Cells[lost].Kill()
	path.c.Assert(os.RemoveAll(path.fleet.Cells[lost].Folder), qt.IsNil)
	path.c.Assert(path.fleet.Cells[lost].Start(), qt.IsNil)
	path.await("the replacement", func() bool {
		members := path.members()
		id := voterAt(members, address)
		return len(members) == 3 && id != "" && id != old
	})

	leader.Kill()
	before := load.accepted.Load()
	path.await("accepted jobs with two replicas", func() bool { return load.accepted.Load() > before+20 })
	path.c.Assert(leader.Start(), qt.IsNil)
	path.await("the restarted replica to catch up", func() bool { return path.appliedIndex(leader)+50 > path.appliedIndex(path.fleet.Cells[lost]) })
	load.finish()
	path.checkReplicas()
}

// TestAReplicaThatWasStoppedCatchesUp stops a follower while the leader applies
// hundreds of entries. The follower receives the entries if the leader still has
// them, and a snapshot otherwise.
func TestAReplicaThatWasStoppedCatchesUp(t *testing.T) {
	for _, test := range []struct {
		name, settings string
		snapshot       bool
	}{
		{"by entries", "[Log]\nSnapshotEvery = 100\nTailEntries = 100000\n", false},
		{"by the snapshot", "[Log]\nSnapshotEvery = 100\nTailEntries = 0\n", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			path := startPathWith(t, launcher.Config{CellSettings: test.settings, Workers: repairWorkers()})
			load := path.startLoad()
			path.await("20 accepted jobs", func() bool { return load.accepted.Load() > 20 })
			ctx, cancel := context.WithTimeout(context.Background(), repairTimeout)
			defer cancel()
			leader, err := path.fleet.Leader(ctx)
			path.c.Assert(err, qt.IsNil)
			stopped := path.fleet.Cells[0]
			if stopped == leader {
				stopped = path.fleet.Cells[1]
			}
			stopped.Kill()
			indexAtStop := path.appliedIndex(leader)
			path.await("600 applied entries", func() bool { return path.appliedIndex(leader) > indexAtStop+600 })
			path.c.Assert(stopped.Start(), qt.IsNil)
			path.await("the restarted replica to catch up", func() bool { return path.appliedIndex(stopped) > indexAtStop+600 })
			load.finish()
			path.checkReplicas()
			path.c.Check(installedSnapshot(path.c, stopped.Folder), qt.Equals, test.snapshot)
		})
	}
}

// installedSnapshot reports whether a replica's journal records that it
// installed a snapshot from another replica.
func installedSnapshot(c *qt.C, folder string) bool {
	found := false
	err := journaler.History{
		Folder: folder, Last: ^uint64(0),
		Entry:     func(*journaler.Entry) error { return nil },
		Installed: func(uint64) { found = true },
	}.Read()
	c.Assert(errors.Is(err, os.ErrNotExist), qt.IsFalse)
	return found
}

// maxJoinDelay is longer than a replica takes to request membership.
const maxJoinDelay = time.Second

// TestARemovedReplicaStaysRemoved removes the leader, which learns of its
// removal, and restarts it. It must join again only with an empty folder, as a
// new replica.
func TestARemovedReplicaStaysRemoved(t *testing.T) {
	path := startPathWith(t, launcher.Config{CellSettings: "", Workers: repairWorkers()})
	ctx, cancel := context.WithTimeout(context.Background(), repairTimeout)
	defer cancel()
	leader, err := path.fleet.Leader(ctx)
	path.c.Assert(err, qt.IsNil)
	var removed journaler.ReplicaID
	for _, row := range path.members() {
		if row.Leader {
			removed = row.Member.ID
		}
	}
	path.sendRaw(http.MethodDelete, "/v1/operator/members/"+string(removed), path.fleet.OperatorKey, "")
	path.await("the removal", func() bool { return len(path.members()) == 2 })
	time.Sleep(3 * maxJoinDelay / 2)
	path.c.Assert(path.members(), qt.HasLen, 2)
	leader.Kill()
	path.c.Assert(leader.Start(), qt.IsNil)
	time.Sleep(3 * maxJoinDelay / 2)
	path.c.Assert(path.members(), qt.HasLen, 2)
	leader.Kill()
	path.c.Assert(os.RemoveAll(leader.Folder), qt.IsNil)
	path.c.Assert(leader.Start(), qt.IsNil)
	path.await("the new replica", func() bool {
		members := path.members()
		id := voterAt(members, path.fleet.CellAddress[cellIndex(path, leader)])
		return len(members) == 3 && id != "" && id != removed
	})
}

func cellIndex(path *path, cell *launcher.Process) int { return slices.Index(path.fleet.Cells, cell) }
