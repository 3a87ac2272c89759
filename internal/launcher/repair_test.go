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

// loadGenerator submits jobs from several concurrent callers until it is
// stopped.
type loadGenerator struct {
	fixture  *fixture
	stop     atomic.Bool
	accepted atomic.Int64
	group    sync.WaitGroup
}

func (fixture *fixture) startLoad() *loadGenerator {
	loadGenerator := &loadGenerator{fixture: fixture}
	for caller := range loadCallers {
		loadGenerator.group.Go(func() {
			for number := 0; !loadGenerator.stop.Load(); number++ {
				loadGenerator.submit(fmt.Sprintf("load-%d-%d", caller, number))
			}
		})
	}
	fixture.c.Cleanup(loadGenerator.finish)
	return loadGenerator
}

// submit repeats one request until it is accepted or the load is stopped.
func (loadGenerator *loadGenerator) submit(request string) {
	body := `{"RequestID":"` + request + `","ClientAccount":"desk","Queue":"retry","Tasks":1}`
	for !loadGenerator.stop.Load() {
		answer, err := loadGenerator.fixture.trySubmit(body)
		if err == nil && (answer.Code == coder.OK || answer.Code == coder.Duplicate) {
			loadGenerator.accepted.Add(1)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (loadGenerator *loadGenerator) finish() {
	loadGenerator.stop.Store(true)
	loadGenerator.group.Wait()
}

// trySubmit submits a job without failing the test on an error, since there may
// be no leader at the moment.
func (fixture *fixture) trySubmit(body string) (responder.Answer, error) {
	var answer responder.Answer
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+fixture.fleet.EntryAddress[0]+"/v1/jobs", bytes.NewBufferString(body))
	if err != nil {
		return answer, err
	}
	request.Header.Set("Authorization", "Bearer "+fixture.key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	return answer, json.NewDecoder(response.Body).Decode(&answer)
}

func (fixture *fixture) await(what string, done func() bool) {
	deadline := time.Now().Add(repairTimeout)
	for !done() {
		fixture.c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("timed out waiting for %s", what))
		time.Sleep(50 * time.Millisecond)
	}
}

func (fixture *fixture) members() []messenger.MemberRow {
	_, data := fixture.sendRaw(http.MethodGet, "/v1/operator/overview?Members=true", fixture.fleet.OperatorKey, "")
	var reply messenger.QueryReply
	fixture.c.Assert(json.Unmarshal(data, &reply), qt.IsNil, qt.Commentf("%s", data))
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

func (fixture *fixture) appliedIndex(cell *launcher.Process) uint64 {
	value := launcher.Metric(context.Background(), fixture.fleet.MetricsAddress(cell), "dotterel_cell_applied_index")
	index, _ := strconv.ParseUint(value, 10, 64)
	return index
}

// checkReplicas stops all replicas, verifies their histories and compares their
// states at the last index that all of them have committed.
func (fixture *fixture) checkReplicas() {
	lastCommon := ^uint64(0)
	for _, cell := range fixture.fleet.Cells {
		if cell.Alive() {
			status, err := cell.Stop(15 * time.Second)
			fixture.c.Assert(err, qt.IsNil)
			fixture.c.Check(status, qt.Equals, 0)
		}
		var out bytes.Buffer
		fixture.c.Check(reviewer.Main(context.Background(), []string{"verify", cell.Folder}, &out, &out), qt.Equals, reviewer.StatusOK, qt.Commentf("%s: %s", cell.Name, out.String()))
		last, _, err := journaler.LastCommitted(cell.Folder)
		fixture.c.Assert(err, qt.IsNil)
		lastCommon = min(lastCommon, last)
	}
	var sums []uint32
	for _, cell := range fixture.fleet.Cells {
		state, err := replayer.Replay(replayer.Config{Folder: cell.Folder, Cell: "demo", Last: lastCommon, Visit: func(*messenger.HistoryRecord) error { return nil }})
		fixture.c.Assert(err, qt.IsNil)
		fixture.c.Check(state.Index, qt.Equals, lastCommon, qt.Commentf("%s", cell.Name))
		sum, err := state.Checksum()
		fixture.c.Assert(err, qt.IsNil)
		sums = append(sums, sum)
	}
	fixture.c.Check(sums, qt.DeepEquals, []uint32{sums[0], sums[0], sums[0]}, qt.Commentf("at index %d", lastCommon))
}

// TestALostReplicaIsReplacedAndASecondLostRightAfter deletes a follower's folder
// under load, and kills the leader once the replacement votes.
func TestALostReplicaIsReplacedAndASecondLostRightAfter(t *testing.T) {
	fixture := startFixtureWith(t, launcher.Config{CellSettings: "[Log]\nSnapshotEvery = 100\nTailEntries = 20\n", Workers: repairWorkers()})
	// Large payloads make the snapshot span several pieces, which a new replica
	// must acknowledge before it knows any members.
	payload := strings.Repeat("A", 200_000)
	for job := range 4 {
		_, answer := fixture.send(http.MethodPost, "/v1/jobs", fixture.key, fmt.Sprintf(`{"RequestID":"large-%d","ClientAccount":"desk","Queue":"retry","Tasks":1,"Payload":"%s"}`, job, payload))
		fixture.c.Assert(answer.Code, qt.Equals, coder.OK)
	}
	loadGenerator := fixture.startLoad()
	fixture.await("100 accepted jobs", func() bool { return loadGenerator.accepted.Load() > 100 })
	ctx, cancel := context.WithTimeout(context.Background(), repairTimeout)
	defer cancel()
	leader, err := fixture.fleet.Leader(ctx)
	fixture.c.Assert(err, qt.IsNil)
	lost := 0
	for fixture.fleet.Cells[lost] == leader {
		lost++
	}
	address := fixture.fleet.CellAddress[lost]
	old := voterAt(fixture.members(), address)
	fixture.c.Assert(old, qt.Not(qt.Equals), journaler.ReplicaID(""))
	fixture.fleet.Cells[lost].Kill()
	fixture.c.Assert(os.RemoveAll(fixture.fleet.Cells[lost].Folder), qt.IsNil)
	fixture.c.Assert(fixture.fleet.Cells[lost].Start(), qt.IsNil)
	fixture.await("the replacement", func() bool {
		members := fixture.members()
		id := voterAt(members, address)
		return len(members) == 3 && id != "" && id != old
	})

	leader.Kill()
	before := loadGenerator.accepted.Load()
	fixture.await("accepted jobs with two replicas", func() bool { return loadGenerator.accepted.Load() > before+20 })
	fixture.c.Assert(leader.Start(), qt.IsNil)
	fixture.await("the restarted replica to catch up", func() bool { return fixture.appliedIndex(leader)+50 > fixture.appliedIndex(fixture.fleet.Cells[lost]) })
	loadGenerator.finish()
	fixture.checkReplicas()
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
			fixture := startFixtureWith(t, launcher.Config{CellSettings: test.settings, Workers: repairWorkers()})
			loadGenerator := fixture.startLoad()
			fixture.await("20 accepted jobs", func() bool { return loadGenerator.accepted.Load() > 20 })
			ctx, cancel := context.WithTimeout(context.Background(), repairTimeout)
			defer cancel()
			leader, err := fixture.fleet.Leader(ctx)
			fixture.c.Assert(err, qt.IsNil)
			stopped := fixture.fleet.Cells[0]
			if stopped == leader {
				stopped = fixture.fleet.Cells[1]
			}
			stopped.Kill()
			indexAtStop := fixture.appliedIndex(leader)
			fixture.await("600 applied entries", func() bool { return fixture.appliedIndex(leader) > indexAtStop+600 })
			fixture.c.Assert(stopped.Start(), qt.IsNil)
			fixture.await("the restarted replica to catch up", func() bool { return fixture.appliedIndex(stopped) > indexAtStop+600 })
			loadGenerator.finish()
			fixture.checkReplicas()
			fixture.c.Check(installedSnapshot(fixture.c, stopped.Folder), qt.Equals, test.snapshot)
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
	fixture := startFixtureWith(t, launcher.Config{CellSettings: "", Workers: repairWorkers()})
	ctx, cancel := context.WithTimeout(context.Background(), repairTimeout)
	defer cancel()
	leader, err := fixture.fleet.Leader(ctx)
	fixture.c.Assert(err, qt.IsNil)
	var removed journaler.ReplicaID
	for _, row := range fixture.members() {
		if row.Leader {
			removed = row.Member.ID
		}
	}
	fixture.sendRaw(http.MethodDelete, "/v1/operator/members/"+string(removed), fixture.fleet.OperatorKey, "")
	fixture.await("the removal", func() bool { return len(fixture.members()) == 2 })
	time.Sleep(3 * maxJoinDelay / 2)
	fixture.c.Assert(fixture.members(), qt.HasLen, 2)
	leader.Kill()
	fixture.c.Assert(leader.Start(), qt.IsNil)
	time.Sleep(3 * maxJoinDelay / 2)
	fixture.c.Assert(fixture.members(), qt.HasLen, 2)
	leader.Kill()
	fixture.c.Assert(os.RemoveAll(leader.Folder), qt.IsNil)
	fixture.c.Assert(leader.Start(), qt.IsNil)
	fixture.await("the new replica", func() bool {
		members := fixture.members()
		id := voterAt(members, fixture.fleet.CellAddress[cellIndex(fixture, leader)])
		return len(members) == 3 && id != "" && id != removed
	})
}

func cellIndex(fixture *fixture, cell *launcher.Process) int {
	return slices.Index(fixture.fleet.Cells, cell)
}
