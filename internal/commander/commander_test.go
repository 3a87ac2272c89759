package commander_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/labstack/echo/v4"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/callerserver"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/internal/commander"
	"github.com/dotterelrill/dotterelrill/journaler"
	"github.com/dotterelrill/dotterelrill/keyer"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/operatorserver"
	"github.com/dotterelrill/dotterelrill/responder"
)

const (
	operatorKey  = "operator-key-of-the-test"
	validKey     = "1111111111111111111111111111111111111111111111111111111111111111"
	withdrawnKey = "2222222222222222222222222222222222222222222222222222222222222222"
	deskSource   = "[Template]\nName = desk\nClientAccount = desk\nShare = 2\nLimitMilliProcessors = 4000\nLimitMemoryMiB = 4000\n[Queue.swap]\nKind = Batch\nMilliProcessors = 100\nMemoryMiB = 16\n"
)

// fakeEntry is an entry that applies commands to the real state machine, without
// a replicated log.
type fakeEntry struct {
	state    *applier.State
	records  []messenger.HistoryRecord
	members  []messenger.MemberRow
	removed  []journaler.ReplicaID
	address  string
	pageSize int
	// refusals is how many proposals are refused as NotServing before one is
	// applied.
	refusals int
}

func startFakeEntry(t *testing.T) *fakeEntry {
	fakeEntry := &fakeEntry{state: applier.New("demo"), pageSize: 2}
	router := echo.New()
	router.HTTPErrorHandler = responder.HandleError
	operatorserver.New(operatorserver.Config{
		BodyLimit: 1 << 20,
		Operators: []operatorserver.Operator{{Name: "ann", Key: keyer.Hash(operatorKey)}},
		Propose:   fakeEntry.propose,
		Query:     fakeEntry.query,
		Job: func(_ context.Context, request *messenger.JobRequest) (*applier.Job, *coder.Refusal) {
			return fakeEntry.state.Jobs[request.Job], nil
		},
		Member: func(_ context.Context, request *messenger.MemberRequest) *coder.Refusal {
			fakeEntry.removed = append(fakeEntry.removed, request.Remove)
			return nil
		},
		History: func(_ context.Context, _ *messenger.HistoryRequest, visit func(*messenger.HistoryRecord) error) error {
			for at := range fakeEntry.records {
				if err := visit(&fakeEntry.records[at]); err != nil {
					return err
				}
			}
			return nil
		},
	}).Register(router)
	callerserver.New(callerserver.Config{BodyLimit: 1 << 20, Propose: fakeEntry.propose}).Register(router)
	server := httptest.NewServer(router)
	t.Cleanup(server.Close)
	fakeEntry.address = server.Listener.Addr().String()
	return fakeEntry
}

func (fakeEntry *fakeEntry) propose(_ context.Context, command *applier.Command) (applier.Result, *coder.Refusal) {
	if fakeEntry.refusals > 0 {
		fakeEntry.refusals--
		return applier.Result{}, &coder.Refusal{Code: coder.NotServing, Detail: "no leader", RetryAfter: 10 * time.Millisecond, NotProposed: true}
	}
	command.Cell = fakeEntry.state.Cell
	command.Time = fakeEntry.state.Now + 1
	result := fakeEntry.state.Apply(fakeEntry.state.Index+1, command)
	fakeEntry.records = append(fakeEntry.records, messenger.HistoryRecord{
		Entry: journaler.Entry{Index: fakeEntry.state.Index}, Command: command, Result: result, Events: fakeEntry.state.Events(),
	})
	return result, nil
}

func (fakeEntry *fakeEntry) query(_ context.Context, request *messenger.QueryRequest) (*messenger.QueryReply, *coder.Refusal) {
	reply := &messenger.QueryReply{Revision: fakeEntry.state.Revision, Members: fakeEntry.members}
	for _, template := range fakeEntry.state.Templates {
		account := fakeEntry.state.Account(template.ClientAccount)
		reply.Templates = append(reply.Templates, *template)
		reply.Accounts = append(reply.Accounts, messenger.AccountRow{Name: template.ClientAccount, Share: template.Share, Limit: template.Limit, Used: account.Used, Live: account.Live})
	}
	if request.DataCentres {
		for name, dataCentre := range fakeEntry.state.DataCentres {
			reply.DataCentres = append(reply.DataCentres, messenger.DataCentreRow{Name: name, Evacuated: dataCentre.Evacuated, Restored: dataCentre.Restored, Workers: len(fakeEntry.state.Workers)})
		}
	}
	if request.StagedAccounts {
		reply.StagedAccounts = messenger.NewStagedAccountRows(fakeEntry.state.Staged, fakeEntry.state.Staged.Now)
	}
	for hash, key := range fakeEntry.state.Keys {
		reply.Keys = append(reply.Keys, messenger.KeyRow{Fingerprint: hash.Fingerprint(), ClientAccount: key.ClientAccount, Granted: key.Granted, Withdrawn: key.Withdrawn})
	}
	for id := fakeEntry.state.LastJob; id > 0 && len(reply.Jobs) < fakeEntry.pageSize; id-- {
		job := fakeEntry.state.Jobs[id]
		if job.Outcome == modeller.NoOutcome && (request.Before == 0 || id < request.Before) {
			reply.Jobs = append([]messenger.JobRow{{Spec: *job.Spec, Open: job.Open}}, reply.Jobs...)
		}
	}
	return reply, nil
}

// runControl runs dotterelctl as an operator and returns its exit status and
// output.
func (fakeEntry *fakeEntry) runControl(arguments ...string) (int, string) {
	var out bytes.Buffer
	common := []string{"-entries", fakeEntry.address, "-key", operatorKey}
	return commander.Main(context.Background(), append(common, arguments...), &out, &out), out.String()
}

func writeTemplate(t *testing.T, source string) string {
	path := filepath.Join(t.TempDir(), "desk.ini")
	quicktest.Assert(t, os.WriteFile(path, []byte(source), 0o600), quicktest.IsNil)
	return path
}

// step is one command with its expected exit status and patterns of its output.
type step struct {
	arguments []string
	status    int
	patterns  []string
}

func (fakeEntry *fakeEntry) runSteps(t *testing.T, steps []step) {
	for _, step := range steps {
		status, text := fakeEntry.runControl(step.arguments...)
		comment := quicktest.Commentf("%v: %s", step.arguments, text)
		quicktest.Assert(t, status, quicktest.Equals, step.status, comment)
		for _, pattern := range step.patterns {
			quicktest.Assert(t, text, quicktest.Matches, "(?s).*"+pattern+".*", comment)
		}
	}
}

func TestTemplateCommands(t *testing.T) {
	fakeEntry := startFakeEntry(t)
	desk := writeTemplate(t, deskSource)
	changed := writeTemplate(t, strings.Replace(deskSource, "Share = 2", "Share = 5", 1))
	faulty := writeTemplate(t, strings.Replace(deskSource, "Share = 2", "Share = none", 1))
	fakeEntry.runSteps(t, []step{
		{[]string{"template", "diff", desk}, 0, []string{"The client account is new", "apply with -expected 0"}},
		{[]string{"template", "apply", desk}, 0, []string{"OK revision 1"}},
		{[]string{"template", "diff", changed}, 0, []string{`Template +Share +2 +5`, "apply with -expected 1"}},
		{[]string{"template", "apply", changed}, 13, []string{"RevisionConflict"}},
		{[]string{"template", "apply", "-expected", "1", changed}, 0, []string{"OK revision 2"}},
		{[]string{"template", "diff", faulty}, 11, []string{"BadTemplate", ":4: Template.Share"}},
		{[]string{"template", "apply", faulty}, 11, []string{"BadTemplate", ":4: Template.Share"}},
		{[]string{"template", "show", "desk"}, 0, []string{"revision 2", "Share = 5"}},
		{[]string{"template", "show", "none"}, 11, []string{"UnknownTemplate"}},
		{[]string{"template", "history", "desk"}, 0, []string{`1 .*operator ann +OK`, `operator ann +RevisionConflict`, `2 .*operator ann +OK`}},
		{[]string{"template", "rollback", "-expected", "2", "desk", "1"}, 0, []string{"OK revision 3"}},
		{[]string{"template", "rollback", "-expected", "2", "desk", "1"}, 13, []string{"RevisionConflict"}},
		{[]string{"template", "rollback", "-expected", "3", "desk", "9"}, 11, []string{"UnknownTemplate"}},
		{[]string{"template", "show", "-json", "desk"}, 0, []string{`"Share": 2`, `"Revision": 3`}},
	})
}

// TestARequestIsRetriedWhileNoEntryServes checks that a command succeeds although
// every entry answers NotServing at first, as after the loss of the leader, and
// that an entry that serves is used without a wait.
func TestARequestIsRetriedWhileNoEntryServes(t *testing.T) {
	c := quicktest.New(t)
	first, second := startFakeEntry(t), startFakeEntry(t)
	template := writeTemplate(t, deskSource)
	entries := first.address + "," + second.address
	first.refusals, second.refusals = 3, 2
	status, printed := first.runControl("-entries", entries, "template", "apply", template)
	c.Check(status, quicktest.Equals, commander.StatusOK, quicktest.Commentf("%s", printed))
	c.Check(second.state.Templates, quicktest.HasLen, 1)

	first.refusals = math.MaxInt
	status, printed = first.runControl("-entries", entries, "key", "grant", "desk")
	c.Check(status, quicktest.Equals, commander.StatusOK, quicktest.Commentf("%s", printed))
	c.Check(first.refusals, quicktest.Equals, math.MaxInt-1)
}

func TestRollbackOmitsWithdrawnKeys(t *testing.T) {
	fakeEntry := startFakeEntry(t)
	desk := writeTemplate(t, strings.Replace(deskSource, "[Queue", "KeyHashes = "+validKey+", "+withdrawnKey+"\n[Queue", 1))
	fakeEntry.runSteps(t, []step{
		{[]string{"template", "apply", desk}, 0, nil},
		{[]string{"key", "withdraw", withdrawnKey[:12]}, 0, nil},
		{[]string{"template", "rollback", "-expected", "1", "desk", "1"}, 0, []string{"OK revision 3"}},
		{[]string{"key", "list"}, 0, []string{`222222222222 +desk +1 +2`}},
	})
	quicktest.Assert(t, fakeEntry.state.Templates["desk"].Keys, quicktest.DeepEquals, []modeller.KeyHash{validKey})
}

func TestCancelSelection(t *testing.T) {
	fakeEntry := startFakeEntry(t)
	source := strings.Replace(deskSource, "[Queue", "KeyHashes = "+string(keyer.Hash(operatorKey))+"\n[Queue", 1) +
		"[Queue.draw]\nKind = Batch\nMilliProcessors = 100\nMemoryMiB = 16\n"
	fakeEntry.runSteps(t, []step{{[]string{"template", "apply", writeTemplate(t, source)}, 0, nil}})
	for at := range 7 {
		fakeEntry.runSteps(t, []step{{[]string{"submit", "desk", []string{"swap", "draw"}[at%2]}, 0, nil}})
	}
	fakeEntry.runSteps(t, []step{
		{[]string{"cancel", "-account", "desk", "-queue", "swap"}, 0, []string{"4 jobs"}},
		{[]string{"cancel", "2"}, 0, []string{"OK job 2"}},
		{[]string{"cancel", "-operator", "2"}, 13, []string{"AlreadyDone"}},
		{[]string{"cancel", "-account", "desk", "4"}, 1, []string{"name one job, or a selection"}},
		{[]string{"cancel", "-account", "desk"}, 0, []string{"2 jobs"}},
	})
	for id, job := range fakeEntry.state.Jobs {
		quicktest.Assert(t, job.Outcome, quicktest.Equals, modeller.NotRun, quicktest.Commentf("job %d", id))
	}
}

func TestHistoryFilters(t *testing.T) {
	fakeEntry := startFakeEntry(t)
	fakeEntry.runSteps(t, []step{
		{[]string{"template", "apply", writeTemplate(t, deskSource)}, 0, nil},
		{[]string{"submit", "desk", "swap"}, 12, nil},
		{[]string{"history", "-kind", "Mistake"}, 11, []string{"BadFilter"}},
	})
	for _, test := range []struct {
		arguments []string
		lines     int
	}{
		{nil, 2},
		{[]string{"-refused"}, 1},
		{[]string{"-kind", "ApplyTemplate"}, 1},
		{[]string{"-account", "desk"}, 2},
		{[]string{"-account", "wiki"}, 0},
		{[]string{"-actor", "ann"}, 1},
		{[]string{"-worker", "w"}, 0},
		{[]string{"-kind", "Submit", "-actor", "ann"}, 0},
	} {
		status, text := fakeEntry.runControl(append([]string{"history"}, test.arguments...)...)
		quicktest.Assert(t, status, quicktest.Equals, 0)
		quicktest.Assert(t, strings.Count(text, "\n"), quicktest.Equals, test.lines, quicktest.Commentf("%v: %s", test.arguments, text))
	}
}

func member(id journaler.ReplicaID, address string, voter bool) messenger.MemberRow {
	return messenger.MemberRow{Member: journaler.Member{ID: id, Address: address, Voter: voter}}
}

// The old replica must not be removed before the new one is a voter.
func TestMemberReplaceWaitsForTheVote(t *testing.T) {
	fakeEntry := startFakeEntry(t)
	fakeEntry.members = []messenger.MemberRow{member("old", "10.0.0.1:7000", true), member("new", "10.0.0.9:7000", false)}
	replace := []string{"member", "replace", "-wait", "700ms", "-address", "10.0.0.9:7000", "old"}
	fakeEntry.runSteps(t, []step{{replace, 1, []string{"nothing was removed"}}})
	quicktest.Assert(t, fakeEntry.removed, quicktest.HasLen, 0)
	fakeEntry.members[1] = member("new", "10.0.0.9:7000", true)
	fakeEntry.runSteps(t, []step{{replace, 0, []string{"OK"}}})
	quicktest.Assert(t, fakeEntry.removed, quicktest.DeepEquals, []journaler.ReplicaID{"old"})
}

func TestWatchStopsAtCount(t *testing.T) {
	fakeEntry := startFakeEntry(t)
	status, text := fakeEntry.runControl("watch", "-plain", "-count", "3", "-every", "1ms")
	quicktest.Assert(t, status, quicktest.Equals, 0)
	quicktest.Assert(t, strings.Count(text, "LEADER"), quicktest.Equals, 3)
}

func TestExitStatusIsCodeClass(t *testing.T) {
	fakeEntry := startFakeEntry(t)
	var out bytes.Buffer
	status := commander.Main(context.Background(), []string{"-entries", fakeEntry.address, "-key", "wrong", "status"}, &out, &out)
	quicktest.Assert(t, status, quicktest.Equals, 12, quicktest.Commentf("%s", out.String()))
	fakeEntry.runSteps(t, []step{
		{[]string{"status"}, 0, []string{"LEADER"}},
		{[]string{"nonsense"}, 2, nil},
		{[]string{"explain", "x"}, 1, []string{"a job is named by its number"}},
	})
}

func TestJSONOutputDecodes(t *testing.T) {
	fakeEntry := startFakeEntry(t)
	fakeEntry.runSteps(t, []step{{[]string{"template", "apply", writeTemplate(t, deskSource)}, 0, nil}})
	for _, arguments := range [][]string{
		{"key", "grant", "desk"}, {"key", "list"}, {"key", "make"}, {"status"}, {"queue", "list"}, {"worker", "list"},
		{"member", "list"}, {"job", "list"}, {"template", "show"}, {"template", "history", "desk"}, {"history"},
		{"template", "diff", writeTemplate(t, deskSource)}, {"cancel", "-account", "desk"}, {"watch", "-count", "1"}, {"explain", "1"},
	} {
		status, text := fakeEntry.runControl(append([]string{"-json"}, arguments...)...)
		comment := quicktest.Commentf("%v: %s", arguments, text)
		quicktest.Check(t, status, quicktest.Equals, 0, comment)
		// The history is a stream of values, one for each record.
		decoder := json.NewDecoder(strings.NewReader(text))
		var err error
		for err == nil {
			var value any
			err = decoder.Decode(&value)
		}
		quicktest.Check(t, err, quicktest.Equals, io.EOF, comment)
	}
}

// subcommands matches the names of subcommands in a command's help.
var subcommands = regexp.MustCompile(`(?m)^  ([a-z]+)  `)

// Every command without subcommands must show an example in its help.
func TestEveryCommandShowsAnExample(t *testing.T) {
	leaves := leafCommands(t, nil)
	quicktest.Assert(t, len(leaves) > 20, quicktest.IsTrue, quicktest.Commentf("%v", leaves))
}

// leafCommands returns the commands without subcommands below the path and checks
// that the help of each shows an example.
func leafCommands(t *testing.T, path []string) []string {
	var out bytes.Buffer
	_ = commander.Main(context.Background(), append(slices.Clone(path), "-h"), &out, &out)
	_, list, found := strings.Cut(out.String(), "SUBCOMMANDS")
	if !found {
		quicktest.Check(t, out.String(), quicktest.Contains, "Example:\n  ", quicktest.Commentf("%v", path))
		return []string{fmt.Sprint(path)}
	}
	list, _, _ = strings.Cut(list, "FLAGS")
	var leaves []string
	for _, match := range subcommands.FindAllStringSubmatch(list, -1) {
		leaves = append(leaves, leafCommands(t, append(slices.Clone(path), match[1]))...)
	}
	return leaves
}
