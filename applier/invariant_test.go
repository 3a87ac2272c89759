package applier_test

import (
	"cmp"
	"maps"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/encoder"
	"github.com/dotterelrill/dotterelrill/journaler"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/verifier"
)

// asked identifies a request: its kind, its sender and its RequestID. Requests
// that differ in one of them are independent.
type asked struct {
	kind    string
	who     string
	request modeller.RequestID
}

// attempt is a live attempt, as recorded from its placement and reports.
type attempt struct {
	placement applier.Placement
	started   bool
}

// answered is the first accepted result of a request.
type answered struct {
	content string
	result  applier.Result
	at      modeller.Millis
}

// books is a reference model of the state, built by the test from the commands
// and their results alone.
type books struct {
	t        *rapid.T
	state    *applier.State
	verifier *verifier.Verifier
	index    uint64
	past     []*applier.Command
	// told holds the events of the last command.
	told []applier.Event

	owners    map[modeller.KeyHash]modeller.ClientAccountName
	withdrawn map[modeller.KeyHash]bool
	answers   map[asked]answered
	contents  map[asked][]string
	live      map[modeller.TaskID]*attempt
	mayRun    map[modeller.TaskID]bool
	outcomes  map[modeller.JobID]modeller.Outcome
	revisions map[modeller.TemplateName]modeller.Revision
}

func newModel(t *rapid.T) *books {
	return &books{
		t: t, state: applier.New("c"), verifier: verifier.New(nil),
		owners: map[modeller.KeyHash]modeller.ClientAccountName{}, withdrawn: map[modeller.KeyHash]bool{}, answers: map[asked]answered{}, contents: map[asked][]string{},
		live: map[modeller.TaskID]*attempt{}, mayRun: map[modeller.TaskID]bool{}, outcomes: map[modeller.JobID]modeller.Outcome{},
		revisions: map[modeller.TemplateName]modeller.Revision{},
	}
}

func (books *books) require(holds bool, invariant string, command *applier.Command, result applier.Result) {
	if !holds {
		books.t.Fatalf("entry %d: %s\n%s\n%+v", books.index, invariant, formatCommand(command), result)
	}
}

// drawNext draws a new command or repeats an earlier one.
func (books *books) drawNext() *applier.Command {
	if len(books.past) > 0 && rapid.IntRange(0, 5).Draw(books.t, "again") == 0 {
		return books.past[rapid.IntRange(0, len(books.past)-1).Draw(books.t, "past")]
	}
	command := drawCommand(books.t, books.state)
	books.past = append(books.past, command)
	return command
}

func (books *books) step() (*applier.Command, applier.Result) {
	return books.apply(books.drawNext())
}

// apply applies a command and checks every invariant against the result.
func (books *books) apply(proposed *applier.Command) (*applier.Command, applier.Result) {
	command := encodeAndDecode(books.t, proposed)
	books.index++
	before := books.state.Revision
	registered := books.registrations()
	result := books.state.Apply(books.index, command)
	books.told = books.state.Events()
	record := &messenger.HistoryRecord{Entry: journaler.Entry{Index: books.index}, Command: command, Result: result, Events: books.told}
	books.verifier.Record(record)
	for _, violation := range books.verifier.Breaches() {
		books.require(false, violation.String(), command, result)
	}
	books.checkRequest(command, result)
	books.checkAuthorisation(command, result)
	books.checkAttempts(command, result)
	books.checkOutcomes(command, result)
	if lose := command.LoseWorker; lose != nil && result.Code == coder.OK {
		same := lose.Entry == 0 || lose.Entry == registered[lose.Worker].entry
		books.require(same && registered[lose.Worker].incarnation == lose.Incarnation, "only the current registration of the current incarnation is lost", command, result)
	}
	if apply := command.ApplyTemplate; apply != nil && result.Code == coder.OK {
		books.require(books.revisions[apply.Template.Name] == apply.Expected, "a change expects the template's current revision", command, result)
	}
	books.require(books.state.Revision >= before && books.state.Revision <= before+1, "the revision increases by at most one", command, result)
	for name, template := range books.state.Templates {
		books.require(template.Revision >= books.revisions[name], "a template's revision never decreases", command, result)
		books.revisions[name] = template.Revision
	}
	if fault := compareUsage(books.state); fault != "" {
		books.require(false, fault, command, result)
	}
	return command, result
}

// stay identifies one registration of a worker, from JoinWorker to LoseWorker.
type stay struct {
	incarnation modeller.Incarnation
	entry       uint64
}

func (books *books) registrations() map[modeller.WorkerName]stay {
	stays := map[modeller.WorkerName]stay{}
	for name, worker := range books.state.Workers {
		stays[name] = stay{incarnation: worker.Description.Incarnation, entry: worker.Entry}
	}
	return stays
}

// encodeAndDecode returns the command as replicas decode it from the log.
func encodeAndDecode(t *rapid.T, command *applier.Command) *applier.Command {
	data, err := encoder.Marshal(command)
	if err != nil {
		t.Fatal(err)
	}
	decoded := &applier.Command{}
	if err := encoder.Unmarshal(data, decoded); err != nil {
		t.Fatal(err)
	}
	return decoded
}

// identifyRequest returns the identity and the content of a request. Both are
// empty for the leader's own commands.
func identifyRequest(command *applier.Command) (asked, string) {
	body := *command
	body.Time, body.Actor, body.RequestID = 0, "", ""
	identity := asked{kind: "operator", who: command.Actor, request: command.RequestID}
	switch {
	case command.Submit != nil:
		submit := *command.Submit
		identity.kind, identity.who = "keyed", string(submit.ClientAccount)
		if submit.Key == "" {
			identity.kind = "open"
		}
		submit.Key = ""
		body.Submit = &submit
	case command.Cancel != nil && !command.Cancel.Operator:
		identity.kind, identity.who = "cancel", string(command.Cancel.Key)
	case command.Cancel == nil && command.ApplyTemplate == nil && command.GrantKey == nil && command.WithdrawKey == nil:
		return asked{}, ""
	}
	data, _ := encoder.Marshal(body)
	return identity, string(data)
}

// checkRequest compares a result with the first one for the same request.
func (books *books) checkRequest(command *applier.Command, result applier.Result) {
	identity, content := identifyRequest(command)
	if content == "" || command.Cell != "c" {
		return
	}
	others := slices.DeleteFunc(slices.Clone(books.contents[identity]), func(other string) bool { return other == content })
	books.contents[identity] = append(books.contents[identity], content)
	books.require(result.Code != coder.RequestIDReused || len(others) > 0, "a RequestID conflicts only with one of the same scope", command, result)
	first, known := books.answers[identity]
	job := books.state.Jobs[first.result.Job]
	retained := known && (books.state.Now-first.at < applier.Retention || command.Submit != nil && job != nil && job.Outcome == modeller.NoOutcome)
	if result.Code == coder.OK {
		books.require(!retained, "a RequestID has one accepted result", command, result)
		books.answers[identity] = answered{content: content, result: result, at: books.state.Now}
	}
	if retained && first.content == content {
		books.require(sameAnswer(first.result, result), "a repeated request gets its first result", command, result)
	}
	books.require(!retained || first.content == content || !result.Code.Good(), "a RequestID with other content is refused", command, result)
}

// sameAnswer reports whether a repeated request got its first result, or was
// refused because its key is no longer valid.
func sameAnswer(first, again applier.Result) bool {
	if again.Code == coder.WrongKey || again.Code == coder.WithdrawnKey {
		return true
	}
	return again.Code == coder.Duplicate && again.Job == first.Job && again.Revision == first.Revision
}

// checkAuthorisation checks accepted commands against the granted and withdrawn
// keys that the test has recorded.
func (books *books) checkAuthorisation(command *applier.Command, result applier.Result) {
	if !result.Code.Good() {
		return
	}
	switch {
	case command.Submit != nil && command.Submit.Key != "":
		key := command.Submit.Key
		books.require(books.owners[key] == command.Submit.ClientAccount && !books.withdrawn[key], "work is accepted only with a valid key of the account", command, result)
	case command.Submit != nil:
		books.require(command.Submit.Queue == "open", "only open queues accept work without a key", command, result)
	case command.Cancel != nil && !command.Cancel.Operator:
		key := command.Cancel.Key
		job := books.state.Jobs[command.Cancel.Job]
		books.require(job == nil || books.owners[key] == job.Spec.ClientAccount, "a job is cancelled only with a key of its account", command, result)
		books.require(!books.withdrawn[key], "a withdrawn key cannot cancel a job", command, result)
	}
	if result.Code != coder.OK {
		return
	}
	switch {
	case command.ApplyTemplate != nil:
		for _, key := range command.ApplyTemplate.Template.Keys {
			books.recordGrant(key, command.ApplyTemplate.Template.ClientAccount, command, result)
		}
	case command.GrantKey != nil:
		books.recordGrant(command.GrantKey.Key, command.GrantKey.ClientAccount, command, result)
	case command.WithdrawKey != nil:
		books.recordWithdrawal(command, result)
	}
}

func (books *books) recordGrant(key modeller.KeyHash, account modeller.ClientAccountName, command *applier.Command, result applier.Result) {
	books.require(len(key) == 64 && slices.Contains(append(keys, keyHash("dd", "1")), key), "only a well-formed key hash is granted", command, result)
	books.require(!books.withdrawn[key], "a withdrawn key is never granted again", command, result)
	books.require(books.owners[key] == "" || books.owners[key] == account, "a key belongs to one account", command, result)
	books.owners[key] = account
}

func (books *books) recordWithdrawal(command *applier.Command, result applier.Result) {
	found := 0
	for key := range books.owners {
		if len(command.WithdrawKey.Key) >= 12 && key[:len(command.WithdrawKey.Key)] == command.WithdrawKey.Key {
			found++
			books.withdrawn[key] = true
		}
	}
	books.require(found == 1, "exactly one key is withdrawn", command, result)
}

// checkAttempts tracks attempts from the accepted placements and reports, and
// checks that no task has two live attempts.
func (books *books) checkAttempts(command *applier.Command, result applier.Result) {
	if result.Code != coder.OK {
		return
	}
	switch {
	case command.Place != nil:
		job := books.state.Jobs[command.Place.Job]
		isQueued := func(task applier.Task) bool { return task.State == modeller.TaskQueued }
		books.require(job.Spec.Kind != modeller.Gang || !slices.ContainsFunc(job.Tasks, isQueued), "all tasks of a gang are placed together", command, result)
		books.require(!job.Cancelled, "cancelled work is not placed", command, result)
		for _, placement := range command.Place.Tasks {
			id := modeller.TaskID{Job: command.Place.Job, Index: placement.Index}
			_, live := books.live[id]
			books.require(!live, "no task has two live attempts", command, result)
			books.require(job.Spec.Idempotent || !books.mayRun[id], "work that is not idempotent runs at most once", command, result)
			worker := books.state.Workers[placement.Worker]
			books.require(worker.State != modeller.WorkerDraining, "a draining worker gets no new work", command, result)
			books.live[id] = &attempt{placement: placement}
		}
	case command.Report != nil:
		report := command.Report
		current := books.live[report.Task]
		matches := current != nil && current.placement.Attempt == report.Attempt && current.placement.Worker == report.Worker && current.placement.Incarnation == report.Incarnation
		books.require(matches, "only the worker of the current attempt reports", command, result)
		books.recordReport(report)
	case command.LoseWorker != nil:
		for id := range books.live {
			if job := books.state.Jobs[id.Job]; job == nil || !job.Tasks[id.Index].State.Live() {
				delete(books.live, id)
				books.mayRun[id] = true
			}
		}
	}
}

func (books *books) recordReport(report *applier.Report) {
	if report.Phase == modeller.PhaseStarted {
		books.live[report.Task].started = true
		return
	}
	if report.Phase != modeller.PhaseRefused || books.live[report.Task].started {
		books.mayRun[report.Task] = true
	}
	delete(books.live, report.Task)
}

func (books *books) checkOutcomes(command *applier.Command, result applier.Result) {
	for id, job := range books.state.Jobs {
		first, known := books.outcomes[id]
		books.require(!known || first == job.Outcome, "a job's outcome never changes", command, result)
		if job.Outcome != modeller.NoOutcome {
			books.outcomes[id] = job.Outcome
		}
		books.require(job.Spec.Size.Sane() && (job.Spec.Deadline == 0 || job.Spec.Deadline > job.Spec.Submitted), "an accepted job has a valid size and deadline", command, result)
		books.require(job.Outcome == modeller.NoOutcome || job.Outcome == expectedOutcome(job.Tasks), "a job's outcome is the most severe of its tasks'", command, result)
		for index := range job.Tasks {
			answer := job.Tasks[index].Answer
			books.require(answer == nil || string(answer.Body) == "x" && answer.Checksum == checksumOfX, "a stored answer matches its checksum", command, result)
			ran := books.mayRun[modeller.TaskID{Job: id, Index: uint32(index)}]
			notRun := job.Tasks[index].Outcome == modeller.NotRun || job.Outcome == modeller.NotRun
			books.require(!notRun || !ran, "NotRun is reported only if no attempt may have run", command, result)
		}
	}
}

// expectedOutcome returns the outcome that a job with these tasks must have.
func expectedOutcome(tasks []applier.Task) modeller.Outcome {
	outcomes := map[modeller.Outcome]bool{}
	for index := range tasks {
		outcomes[tasks[index].Outcome] = true
	}
	if len(outcomes) == 1 {
		return tasks[0].Outcome
	}
	for _, outcome := range []modeller.Outcome{modeller.MayHaveRun, modeller.Failed} {
		if outcomes[outcome] {
			return outcome
		}
	}
	return modeller.Cancelled
}

// tally is the recounted usage of one worker or account.
type tally struct {
	used    modeller.Resources
	live    int64
	waiting uint32
}

// compareUsage recounts the usage from the exported state and returns the
// invariant that the derived usage violates, empty if none.
func compareUsage(state *applier.State) string {
	byWorker := map[modeller.WorkerName]tally{}
	byAccount := map[modeller.ClientAccountName]tally{}
	for _, job := range state.Jobs {
		account := byAccount[job.Spec.ClientAccount]
		open := uint32(0)
		for index := range job.Tasks {
			task := &job.Tasks[index]
			if unfinished(*task) {
				open++
			}
			if live(*task) {
				byWorker[task.Worker] = byWorker[task.Worker].addAttempt(job)
			}
			account = account.addTask(task, job)
		}
		byAccount[job.Spec.ClientAccount] = account
		if open != job.Open || (open == 0) != (job.Outcome != modeller.NoOutcome) {
			return "a job has an outcome exactly when no task is open"
		}
	}
	return cmp.Or(compareWorkers(state, byWorker), compareAccounts(state, byAccount))
}

func (tally tally) addAttempt(job *applier.Job) tally {
	tally.used = tally.used.Add(job.Spec.Size)
	tally.live++
	return tally
}

func (tally tally) addTask(task *applier.Task, job *applier.Job) tally {
	if waiting(*task) {
		tally.waiting++
	}
	if live(*task) {
		return tally.addAttempt(job)
	}
	return tally
}

func compareWorkers(state *applier.State, tallies map[modeller.WorkerName]tally) string {
	for name, counted := range tallies {
		if state.Workers[name] == nil && counted.live > 0 {
			return "live attempts are on registered workers"
		}
	}
	for name, worker := range state.Workers {
		counted := tallies[name]
		if counted.used != worker.Used() || counted.live != int64(worker.Live()) {
			return "a worker's usage equals a recount"
		}
		if !counted.used.Fits(worker.Description.Capacity) || counted.live > worker.Description.Slots {
			return "no worker is committed beyond its capacity or slots"
		}
	}
	for _, job := range state.Jobs {
		for index := range job.Tasks {
			task := &job.Tasks[index]
			if live(*task) && state.Workers[task.Worker].Description.Incarnation != task.Incarnation {
				return "live attempts are on the worker's current incarnation"
			}
		}
	}
	return ""
}

func compareAccounts(state *applier.State, tallies map[modeller.ClientAccountName]tally) string {
	for _, name := range accounts {
		account := state.Account(name)
		if account == nil {
			continue
		}
		counted := tally{used: account.Used, live: account.Live}
		for queued := range maps.Values(account.Waiting) {
			counted.waiting += queued
		}
		if counted != tallies[name] {
			return "an account's usage equals a recount"
		}
	}
	return ""
}

// prepare applies templates and registers workers, so that jobs can be placed
// from the first step on.
func (books *books) prepare() {
	for index, name := range accounts {
		template := modeller.Template{
			Name: modeller.TemplateName(name), ClientAccount: name, Share: 1, Keys: []modeller.KeyHash{keys[index]},
			Limit: modeller.Limit{Tasks: 8, Resources: modeller.Resources{MilliProcessors: 10000, MemoryMiB: 4000, Accelerators: 2}},
		}
		for _, queue := range queues {
			drawn := drawQueue(books.t, queue)
			drawn.DeadlineAfter = 0
			template.Queues = append(template.Queues, drawn)
		}
		books.past = append(books.past, &applier.Command{Cell: "c", Actor: "operator x", RequestID: modeller.RequestID("begin " + name), ApplyTemplate: &applier.ApplyTemplate{Template: template}})
	}
	for _, name := range workers {
		description := modeller.WorkerDescription{Name: name, Incarnation: 1, Slots: 3, Capacity: modeller.Resources{MilliProcessors: 4000, MemoryMiB: 1000, Accelerators: 1}}
		books.past = append(books.past, &applier.Command{Cell: "c", JoinWorker: &applier.JoinWorker{Worker: description}})
	}
	for _, command := range books.past {
		books.apply(command)
	}
}

func TestAnyCommandSequenceKeepsTheInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		books := newModel(t)
		if rapid.IntRange(0, 9).Draw(t, "prepared") > 0 {
			books.prepare()
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			books.step()
		}
	})
}

func TestRestoredStateAppliesEntriesAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		books := newModel(t)
		books.prepare()
		for range rapid.IntRange(0, 60).Draw(t, "before") {
			books.step()
		}
		replica := restoreCopy(t, books.state)
		if fault := compareUsage(replica); fault != "" {
			t.Fatal(fault)
		}
		for range rapid.IntRange(0, 60).Draw(t, "after") {
			command, result := books.step()
			books.require(replica.Apply(books.index, command) == result, "a restored state returns equal results", command, result)
			books.require(checksum(t, replica) == checksum(t, books.state), "equal entries give equal states", command, result)
			books.require(reflect.DeepEqual(replica.Events(), books.told), "a restored state emits equal events", command, result)
		}
	})
}

func restoreCopy(t *rapid.T, state *applier.State) *applier.State {
	data, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	replica, err := applier.Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	return replica
}

func checksum(t *rapid.T, state *applier.State) uint32 {
	sum, err := state.Checksum()
	if err != nil {
		t.Fatal(err)
	}
	return sum
}
