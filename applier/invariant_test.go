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

// requestIdentity identifies a request. Requests that differ in kind, sender or
// RequestID are independent.
type requestIdentity struct {
	kind      string
	sender    string
	requestID modeller.RequestID
}

// attempt is a live attempt, as recorded from its placement and reports.
type attempt struct {
	placement applier.Placement
	started   bool
}

// recordedResult is the first accepted result of a request.
type recordedResult struct {
	content string
	result  applier.Result
	at      modeller.Millis
}

// model is a reference model of the state, built by the test from the commands
// and their results alone.
type model struct {
	t        *rapid.T
	state    *applier.State
	verifier *verifier.Verifier
	index    uint64
	history  []*applier.Command
	// events holds the events of the last command.
	events []applier.Event

	keyOwners         map[modeller.KeyHash]modeller.ClientAccountName
	withdrawnKeys     map[modeller.KeyHash]bool
	results           map[requestIdentity]recordedResult
	contentsByRequest map[requestIdentity][]string
	live              map[modeller.TaskID]*attempt
	mayHaveRun        map[modeller.TaskID]bool
	outcomes          map[modeller.JobID]modeller.Outcome
	revisions         map[modeller.TemplateName]modeller.Revision
}

func newModel(t *rapid.T) *model {
	return &model{
		t: t, state: applier.New("c"), verifier: verifier.New(nil),
		keyOwners: map[modeller.KeyHash]modeller.ClientAccountName{}, withdrawnKeys: map[modeller.KeyHash]bool{}, results: map[requestIdentity]recordedResult{}, contentsByRequest: map[requestIdentity][]string{},
		live: map[modeller.TaskID]*attempt{}, mayHaveRun: map[modeller.TaskID]bool{}, outcomes: map[modeller.JobID]modeller.Outcome{},
		revisions: map[modeller.TemplateName]modeller.Revision{},
	}
}

func (model *model) require(holds bool, invariant string, command *applier.Command, result applier.Result) {
	if !holds {
		model.t.Fatalf("entry %d: %s\n%s\n%+v", model.index, invariant, formatCommand(command), result)
	}
}

// drawNext draws a new command or repeats an earlier one.
func (model *model) drawNext() *applier.Command {
	if len(model.history) > 0 && rapid.IntRange(0, 5).Draw(model.t, "again") == 0 {
		return model.history[rapid.IntRange(0, len(model.history)-1).Draw(model.t, "past")]
	}
	command := drawCommand(model.t, model.state)
	model.history = append(model.history, command)
	return command
}

func (model *model) step() (*applier.Command, applier.Result) {
	return model.apply(model.drawNext())
}

// apply applies a command and checks every invariant against the result.
func (model *model) apply(proposed *applier.Command) (*applier.Command, applier.Result) {
	command := encodeAndDecode(model.t, proposed)
	model.index++
	before := model.state.Revision
	registered := model.registrations()
	result := model.state.Apply(model.index, command)
	model.events = model.state.Events()
	record := &messenger.HistoryRecord{Entry: journaler.Entry{Index: model.index}, Command: command, Result: result, Events: model.events}
	model.verifier.Record(record)
	for _, violation := range model.verifier.Violations() {
		model.require(false, violation.String(), command, result)
	}
	model.checkRequest(command, result)
	model.checkAuthorisation(command, result)
	model.checkAttempts(command, result)
	model.checkOutcomes(command, result)
	if lose := command.LoseWorker; lose != nil && result.Code == coder.OK {
		same := lose.Entry == 0 || lose.Entry == registered[lose.Worker].entry
		model.require(same && registered[lose.Worker].incarnation == lose.Incarnation, "only the current registration of the current incarnation is lost", command, result)
	}
	if apply := command.ApplyTemplate; apply != nil && result.Code == coder.OK {
		model.require(model.revisions[apply.Template.Name] == apply.Expected, "a change expects the template's current revision", command, result)
	}
	model.require(model.state.Revision >= before && model.state.Revision <= before+1, "the revision increases by at most one", command, result)
	for name, template := range model.state.Templates {
		model.require(template.Revision >= model.revisions[name], "a template's revision never decreases", command, result)
		model.revisions[name] = template.Revision
	}
	if fault := compareUsage(model.state); fault != "" {
		model.require(false, fault, command, result)
	}
	return command, result
}

// registration identifies one registration of a worker, from JoinWorker to
// LoseWorker.
type registration struct {
	incarnation modeller.Incarnation
	entry       uint64
}

func (model *model) registrations() map[modeller.WorkerName]registration {
	byName := map[modeller.WorkerName]registration{}
	for name, worker := range model.state.Workers {
		byName[name] = registration{incarnation: worker.Description.Incarnation, entry: worker.Entry}
	}
	return byName
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
func identifyRequest(command *applier.Command) (requestIdentity, string) {
	body := *command
	body.Time, body.Actor, body.RequestID = 0, "", ""
	identity := requestIdentity{kind: "operator", sender: command.Actor, requestID: command.RequestID}
	switch {
	case command.Submit != nil:
		submit := *command.Submit
		identity.kind, identity.sender = "keyed", string(submit.ClientAccount)
		if submit.Key == "" {
			identity.kind = "open"
		}
		submit.Key = ""
		body.Submit = &submit
	case command.Cancel != nil && !command.Cancel.Operator:
		identity.kind, identity.sender = "cancel", string(command.Cancel.Key)
	case command.Cancel == nil && command.ApplyTemplate == nil && command.GrantKey == nil && command.WithdrawKey == nil && command.Evacuate == nil:
		return requestIdentity{}, ""
	}
	data, _ := encoder.Marshal(body)
	return identity, string(data)
}

// checkRequest compares a result with the first one for the same request.
func (model *model) checkRequest(command *applier.Command, result applier.Result) {
	identity, content := identifyRequest(command)
	if content == "" || command.Cell != "c" {
		return
	}
	others := slices.DeleteFunc(slices.Clone(model.contentsByRequest[identity]), func(other string) bool { return other == content })
	model.contentsByRequest[identity] = append(model.contentsByRequest[identity], content)
	model.require(result.Code != coder.RequestIDReused || len(others) > 0, "a RequestID conflicts only with one of the same scope", command, result)
	first, known := model.results[identity]
	job := model.state.Jobs[first.result.Job]
	retained := known && (model.state.Now-first.at < applier.Retention || command.Submit != nil && job != nil && job.Outcome == modeller.NoOutcome)
	if result.Code == coder.OK {
		model.require(!retained, "a RequestID has one accepted result", command, result)
		model.results[identity] = recordedResult{content: content, result: result, at: model.state.Now}
	}
	if retained && first.content == content {
		model.require(sameAnswer(first.result, result), "a repeated request gets its first result", command, result)
	}
	model.require(!retained || first.content == content || !result.Code.Successful(), "a RequestID with other content is refused", command, result)
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
func (model *model) checkAuthorisation(command *applier.Command, result applier.Result) {
	if !result.Code.Successful() {
		return
	}
	switch {
	case command.Submit != nil && command.Submit.Key != "":
		key := command.Submit.Key
		model.require(model.keyOwners[key] == command.Submit.ClientAccount && !model.withdrawnKeys[key], "work is accepted only with a valid key of the account", command, result)
	case command.Submit != nil:
		model.require(command.Submit.Queue == "open", "only open queues accept work without a key", command, result)
	case command.Cancel != nil && !command.Cancel.Operator:
		key := command.Cancel.Key
		job := model.state.Jobs[command.Cancel.Job]
		model.require(job == nil || model.keyOwners[key] == job.Spec.ClientAccount, "a job is cancelled only with a key of its account", command, result)
		model.require(!model.withdrawnKeys[key], "a withdrawn key cannot cancel a job", command, result)
	}
	if result.Code != coder.OK {
		return
	}
	switch {
	case command.ApplyTemplate != nil:
		for _, key := range command.ApplyTemplate.Template.Keys {
			model.recordGrant(key, command.ApplyTemplate.Template.ClientAccount, command, result)
		}
	case command.GrantKey != nil:
		model.recordGrant(command.GrantKey.Key, command.GrantKey.ClientAccount, command, result)
	case command.WithdrawKey != nil:
		model.recordWithdrawal(command, result)
	}
}

func (model *model) recordGrant(key modeller.KeyHash, account modeller.ClientAccountName, command *applier.Command, result applier.Result) {
	model.require(len(key) == 64 && slices.Contains(append(keys, keyHash("dd", "1")), key), "only a well-formed key hash is granted", command, result)
	model.require(!model.withdrawnKeys[key], "a withdrawn key is never granted again", command, result)
	model.require(model.keyOwners[key] == "" || model.keyOwners[key] == account, "a key belongs to one account", command, result)
	model.keyOwners[key] = account
}

func (model *model) recordWithdrawal(command *applier.Command, result applier.Result) {
	found := 0
	for key := range model.keyOwners {
		if len(command.WithdrawKey.Key) >= 12 && key[:len(command.WithdrawKey.Key)] == command.WithdrawKey.Key {
			found++
			model.withdrawnKeys[key] = true
		}
	}
	model.require(found == 1, "exactly one key is withdrawn", command, result)
}

// checkAttempts tracks attempts from the accepted placements and reports, and
// checks that no task has two live attempts.
func (model *model) checkAttempts(command *applier.Command, result applier.Result) {
	if result.Code != coder.OK {
		return
	}
	switch {
	case command.Place != nil:
		job := model.state.Jobs[command.Place.Job]
		isQueued := func(task applier.Task) bool { return task.State == modeller.TaskQueued }
		model.require(job.Spec.Kind != modeller.Gang || !slices.ContainsFunc(job.Tasks, isQueued), "all tasks of a gang are placed together", command, result)
		model.require(!job.Cancelled, "cancelled work is not placed", command, result)
		for _, placement := range command.Place.Tasks {
			id := modeller.TaskID{Job: command.Place.Job, Index: placement.Index}
			_, live := model.live[id]
			model.require(!live, "no task has two live attempts", command, result)
			model.require(job.Spec.Idempotent || !model.mayHaveRun[id], "work that is not idempotent runs at most once", command, result)
			worker := model.state.Workers[placement.Worker]
			model.require(worker.State != modeller.WorkerDraining, "a draining worker gets no new work", command, result)
			model.require(!model.state.Evacuated(worker), "an evacuated data centre gets no new work", command, result)
			model.live[id] = &attempt{placement: placement}
		}
	case command.Report != nil:
		report := command.Report
		current := model.live[report.Task]
		matches := current != nil && current.placement.Attempt == report.Attempt && current.placement.Worker == report.Worker && current.placement.Incarnation == report.Incarnation
		model.require(matches, "only the worker of the current attempt reports", command, result)
		model.recordReport(report)
	case command.LoseWorker != nil:
		for id := range model.live {
			if job := model.state.Jobs[id.Job]; job == nil || !job.Tasks[id.Index].State.Live() {
				delete(model.live, id)
				model.mayHaveRun[id] = true
			}
		}
	}
}

func (model *model) recordReport(report *applier.Report) {
	if report.Phase == modeller.PhaseStarted {
		model.live[report.Task].started = true
		return
	}
	if report.Phase != modeller.PhaseRefused || model.live[report.Task].started {
		model.mayHaveRun[report.Task] = true
	}
	delete(model.live, report.Task)
}

func (model *model) checkOutcomes(command *applier.Command, result applier.Result) {
	for id, job := range model.state.Jobs {
		first, known := model.outcomes[id]
		model.require(!known || first == job.Outcome, "a job's outcome never changes", command, result)
		if job.Outcome != modeller.NoOutcome {
			model.outcomes[id] = job.Outcome
		}
		model.require(job.Spec.Size.Valid() && (job.Spec.Deadline == 0 || job.Spec.Deadline > job.Spec.Submitted), "an accepted job has a valid size and deadline", command, result)
		model.require(job.Outcome == modeller.NoOutcome || job.Outcome == expectedOutcome(job.Tasks), "a job's outcome is the most severe of its tasks'", command, result)
		for index := range job.Tasks {
			answer := job.Tasks[index].Answer
			model.require(answer == nil || string(answer.Body) == "x" && answer.Checksum == checksumOfX, "a stored answer matches its checksum", command, result)
			ran := model.mayHaveRun[modeller.TaskID{Job: id, Index: uint32(index)}]
			notRun := job.Tasks[index].Outcome == modeller.NotRun || job.Outcome == modeller.NotRun
			model.require(!notRun || !ran, "NotRun is reported only if no attempt may have run", command, result)
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

// usage is the recounted usage of one worker or account.
type usage struct {
	used    modeller.Resources
	live    int64
	waiting uint32
}

// compareUsage recounts the usage from the exported state and returns the
// invariant that the derived usage violates, empty if none.
func compareUsage(state *applier.State) string {
	byWorker := map[modeller.WorkerName]usage{}
	byAccount := map[modeller.ClientAccountName]usage{}
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

func (usage usage) addAttempt(job *applier.Job) usage {
	usage.used = usage.used.Add(job.Spec.Size)
	usage.live++
	return usage
}

func (usage usage) addTask(task *applier.Task, job *applier.Job) usage {
	if waiting(*task) {
		usage.waiting++
	}
	if live(*task) {
		return usage.addAttempt(job)
	}
	return usage
}

func compareWorkers(state *applier.State, usages map[modeller.WorkerName]usage) string {
	for name, counted := range usages {
		if state.Workers[name] == nil && counted.live > 0 {
			return "live attempts are on registered workers"
		}
	}
	for name, worker := range state.Workers {
		counted := usages[name]
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

func compareAccounts(state *applier.State, usages map[modeller.ClientAccountName]usage) string {
	for _, name := range accounts {
		account := state.Account(name)
		if account == nil {
			continue
		}
		counted := usage{used: account.Used, live: account.Live}
		for queued := range maps.Values(account.Waiting) {
			counted.waiting += queued
		}
		if counted != usages[name] {
			return "an account's usage equals a recount"
		}
	}
	return ""
}

// prepare applies templates and registers workers, so that jobs can be placed
// from the first step on.
func (model *model) prepare() {
	for index, name := range accounts {
		template := modeller.Template{
			Name: modeller.TemplateName(name), ClientAccount: name, Share: 1, Keys: []modeller.KeyHash{keys[index]},
			Limit: modeller.Limit{Tasks: 8, Resources: modeller.Resources{MilliProcessors: 10000, MemoryMiB: 4000, Accelerators: 2}},
		}
		for _, queue := range queues {
			drawn := drawQueue(model.t, queue)
			drawn.DeadlineAfter = 0
			template.Queues = append(template.Queues, drawn)
		}
		model.history = append(model.history, &applier.Command{Cell: "c", Actor: "operator x", RequestID: modeller.RequestID("begin " + name), ApplyTemplate: &applier.ApplyTemplate{Template: template}})
	}
	for _, name := range workers {
		description := modeller.WorkerDescription{Name: name, Incarnation: 1, Slots: 3, Capacity: modeller.Resources{MilliProcessors: 4000, MemoryMiB: 1000, Accelerators: 1}}
		model.history = append(model.history, &applier.Command{Cell: "c", JoinWorker: &applier.JoinWorker{Worker: description}})
	}
	for _, command := range model.history {
		model.apply(command)
	}
}

func TestAnyCommandSequenceKeepsTheInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newModel(t)
		if rapid.IntRange(0, 9).Draw(t, "prepared") > 0 {
			model.prepare()
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			model.step()
		}
	})
}

func TestRestoredStateAppliesEntriesAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newModel(t)
		model.prepare()
		for range rapid.IntRange(0, 60).Draw(t, "before") {
			model.step()
		}
		replica := restoreCopy(t, model.state)
		if fault := compareUsage(replica); fault != "" {
			t.Fatal(fault)
		}
		for range rapid.IntRange(0, 60).Draw(t, "after") {
			command, result := model.step()
			model.require(replica.Apply(model.index, command) == result, "a restored state returns equal results", command, result)
			model.require(checksum(t, replica) == checksum(t, model.state), "equal entries give equal states", command, result)
			model.require(reflect.DeepEqual(replica.Events(), model.events), "a restored state emits equal events", command, result)
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
