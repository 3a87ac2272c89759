package applier

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strconv"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/encoder"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// Apply validates one command, carries it out if it is allowed, and returns the
// result. Index is the log index of the command's entry.
func (state *State) Apply(index uint64, command *Command) Result {
	state.Index = index
	if command.Cell != state.Cell {
		return refuse(coder.WrongCell, "the command names cell "+string(command.Cell))
	}
	if command.Time <= maxTime {
		state.Now = max(state.Now, command.Time)
	}
	state.enforceRetention()
	scope := command.scope()
	if scope == "" {
		return state.dispatch(command)
	}
	return state.applyIdempotent(scope, command)
}

func refuse(code coder.Code, detail string) Result {
	return Result{Code: code, Detail: detail}
}

// scope returns the namespace of the command's RequestID. It is empty for
// commands that need no RequestID because they name an attempt or a revision.
func (command *Command) scope() string {
	switch {
	case command.Submit != nil:
		return submitScope(command.Submit.ClientAccount, command.Submit.Key != "")
	case command.Cancel != nil && !command.Cancel.Operator:
		return "cancel/" + string(command.Cancel.Key)
	case command.Cancel != nil, command.ApplyTemplate != nil, command.GrantKey != nil, command.WithdrawKey != nil, command.Evacuate != nil:
		return "operator/" + strconv.Quote(command.Actor)
	}
	return ""
}

// submitScope returns separate scopes for submissions with and without a key.
// The account name is quoted so that a name containing a slash cannot produce
// the RequestKey of another account.
func submitScope(account modeller.ClientAccountName, keyed bool) string {
	if keyed {
		return "account/" + strconv.Quote(string(account))
	}
	return "open/" + strconv.Quote(string(account))
}

func requestKey(scope string, request modeller.RequestID) RequestKey {
	return RequestKey(scope + "/" + string(request))
}

// applyIdempotent applies a command at most once per RequestID and returns the
// recorded result for a repeated one. Results that allow a retry are not
// recorded.
func (state *State) applyIdempotent(scope string, command *Command) Result {
	if command.RequestID == "" || len(command.RequestID) > MaxRequestID {
		return refuse(coder.MissingRequestID, fmt.Sprintf("a RequestID has 1 to %d characters", MaxRequestID))
	}
	content, err := command.contentDigest()
	if err != nil {
		return refuse(coder.Malformed, err.Error())
	}
	if code, detail := state.checkCaller(command); code != coder.OK {
		return refuse(code, detail)
	}
	key := requestKey(scope, command.RequestID)
	if first, ok := state.Requests[key]; ok {
		return first.duplicateResult(content)
	}
	result := state.dispatch(command)
	if result.Code.Row().Retry {
		return result
	}
	state.Requests[key] = &Request{Content: content, Result: result}
	if command.Submit == nil || result.Code != coder.OK {
		state.Finished = append(state.Finished, Expiry{At: state.Now + Retention, Request: key})
	}
	return result
}

// checkCaller verifies the caller's key before a RequestID is looked up or
// recorded.
func (state *State) checkCaller(command *Command) (coder.Code, string) {
	switch {
	case command.Submit != nil && state.accounts[command.Submit.ClientAccount] == nil:
		return coder.UnknownAccount, "no client account " + string(command.Submit.ClientAccount)
	case command.Submit != nil && command.Submit.Key != "":
		return state.checkKey(command.Submit.Key, command.Submit.ClientAccount)
	case command.Cancel != nil && !command.Cancel.Operator:
		return state.checkKeyValid(command.Cancel.Key)
	}
	return coder.OK, ""
}

func (request *Request) duplicateResult(content [32]byte) Result {
	if request.Content != content {
		return refuse(coder.RequestIDReused, "the RequestID was used with other content")
	}
	result := request.Result
	if result.Code == coder.OK {
		result.Code = coder.Duplicate
	}
	return result
}

// contentDigest returns the SHA-256 digest of the command's body. It leaves the
// submission's key out, since the caller may have rotated it between retries.
func (command *Command) contentDigest() ([32]byte, error) {
	body := Command{
		ApplyTemplate: command.ApplyTemplate,
		GrantKey:      command.GrantKey,
		WithdrawKey:   command.WithdrawKey,
		Cancel:        command.Cancel,
		Evacuate:      command.Evacuate,
	}
	if command.Submit != nil {
		submit := *command.Submit
		submit.Key = ""
		body.Submit = &submit
	}
	data, err := encoder.Marshal(body)
	return sha256.Sum256(data), err
}

func (state *State) dispatch(command *Command) Result {
	switch {
	case command.Staged != nil:
		return state.applyStaged(command.Staged)
	case command.ApplyTemplate != nil:
		return state.applyTemplate(command.ApplyTemplate)
	case command.GrantKey != nil:
		return state.grantKey(command.GrantKey)
	case command.WithdrawKey != nil:
		return state.withdrawKey(command.WithdrawKey)
	case command.Submit != nil:
		return state.submit(command.Submit, command.RequestID)
	case command.Cancel != nil:
		return state.cancel(command.Cancel)
	case command.Evacuate != nil:
		return state.evacuate(command.Evacuate)
	case command.JoinWorker != nil:
		return state.joinWorker(command.JoinWorker)
	case command.LoseWorker != nil:
		return state.loseWorker(command.LoseWorker)
	case command.SetWorker != nil:
		return state.setWorker(command.SetWorker)
	case command.Place != nil:
		return state.place(command.Place)
	case command.Stop != nil:
		return state.stop(command.Stop)
	case command.Report != nil:
		return state.report(command.Report)
	case command.Refuse != nil:
		return state.refuseJob(command.Refuse)
	case command.Tick != nil:
		return Result{Revision: state.Revision}
	}
	return refuse(coder.UnknownCommandKind, "the entry holds no command of this release")
}

// openJobs returns the IDs of the jobs without an outcome, in ascending order.
func (state *State) openJobs() []modeller.JobID {
	var ids []modeller.JobID
	for id, job := range state.Jobs {
		if job.Outcome == modeller.NoOutcome {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
