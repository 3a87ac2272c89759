package applier

import (
	"crypto/sha256"
	"fmt"
	"strings"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/modeller"
)

func (state *State) applyTemplate(apply *ApplyTemplate) Result {
	template := apply.Template
	if code, detail := checkTemplate(&template); code != coder.OK {
		return refuse(code, detail)
	}
	current := modeller.Revision(0)
	if old := state.Templates[template.Name]; old != nil {
		current = old.Revision
		if old.ClientAccount != template.ClientAccount {
			return refuse(coder.BadTemplate, "a template cannot change its client account")
		}
	}
	if apply.Expected != current {
		detail := fmt.Sprintf("expected revision %d, the template has %d", apply.Expected, current)
		return Result{Code: coder.RevisionConflict, Detail: detail, Revision: current}
	}
	if other := state.accounts[template.ClientAccount]; current == 0 && other != nil && other.Template != nil {
		return refuse(coder.BadTemplate, "the client account is described by template "+string(other.Template.Name))
	}
	if code, detail := state.checkGrants(&template); code != coder.OK {
		return refuse(code, detail)
	}
	state.Revision++
	template.Revision = state.Revision
	state.Templates[template.Name] = &template
	state.ensureAccount(template.ClientAccount).Template = &template
	for _, hash := range template.Keys {
		state.grant(hash, template.ClientAccount)
	}
	state.emit(Event{Kind: EventConfigured, Template: &template, Revision: state.Revision})
	return Result{Revision: state.Revision}
}

// checkTemplate enforces the constraints that the rest of the state relies on.
// The templater rejects most faulty templates earlier, with messages that name
// the file and line.
func checkTemplate(template *modeller.Template) (coder.Code, string) {
	limit := template.Limit
	switch {
	case template.Name == "" || template.ClientAccount == "":
		return coder.BadTemplate, "a template needs a name and a client account"
	case template.Share < 1:
		return coder.BadTemplate, "Share must be at least 1"
	case limit.Tasks < 0 || !(modeller.Resources{}).Fits(limit.Resources):
		return coder.BadTemplate, "an upper limit must not be negative"
	}
	seen := make(map[modeller.QueueName]bool)
	for _, queue := range template.Queues {
		if queue.Name == "" || seen[queue.Name] {
			return coder.BadTemplate, "queue names must be given and differ"
		}
		seen[queue.Name] = true
		if !queue.Size.Valid() || queue.Kind.String() == "Invalid" || queue.Urgency.String() == "Invalid" {
			return coder.BadTemplate, "queue " + string(queue.Name) + " has an impossible size, kind or urgency"
		}
		if !validSpan(queue.RunTime) || !validSpan(queue.DeadlineAfter) {
			return coder.BadTemplate, "queue " + string(queue.Name) + " has an impossible run time or deadline"
		}
	}
	return coder.OK, ""
}

func (state *State) checkGrants(template *modeller.Template) (coder.Code, string) {
	for _, hash := range template.Keys {
		if !validKeyHash(hash) {
			return coder.BadTemplate, invalidHashDetail
		}
		key := state.Keys[hash]
		if key == nil {
			continue
		}
		if key.Withdrawn != 0 {
			return coder.WithdrawnKey, "key " + hash.Fingerprint() + " was withdrawn and cannot come back"
		}
		if key.ClientAccount != template.ClientAccount {
			return coder.KeyInUse, "key " + hash.Fingerprint() + " belongs to another client account"
		}
	}
	return coder.OK, ""
}

const invalidHashDetail = "a key hash has 64 hexadecimal digits in lower case"

// validKeyHash reports whether a hash is 64 lower-case hexadecimal digits, the
// only form in which hashes are compared.
func validKeyHash(hash modeller.KeyHash) bool {
	if len(hash) != 2*sha256.Size {
		return false
	}
	for _, digit := range []byte(hash) {
		if (digit < '0' || digit > '9') && (digit < 'a' || digit > 'f') {
			return false
		}
	}
	return true
}

// validSpan reports whether a duration is within 0 and maxSpan, so that adding
// it to a valid time cannot overflow.
func validSpan(span modeller.Millis) bool { return span >= 0 && span <= maxSpan }

// grant records a key at the current revision, unless it is recorded already.
// The caller has checked that the key may be granted to the account.
func (state *State) grant(hash modeller.KeyHash, account modeller.ClientAccountName) {
	if state.Keys[hash] == nil {
		state.Keys[hash] = &Key{ClientAccount: account, Granted: state.Revision}
	}
}

func (state *State) grantKey(grant *GrantKey) Result {
	account := state.accounts[grant.ClientAccount]
	if account == nil || account.Template == nil {
		return refuse(coder.UnknownAccount, "no template describes "+string(grant.ClientAccount))
	}
	if !validKeyHash(grant.Key) {
		return refuse(coder.Malformed, invalidHashDetail)
	}
	if key := state.Keys[grant.Key]; key != nil {
		if key.Withdrawn != 0 {
			return refuse(coder.WithdrawnKey, "the key was withdrawn and cannot come back")
		}
		return refuse(coder.KeyInUse, "the key is granted already")
	}
	state.Revision++
	state.grant(grant.Key, grant.ClientAccount)
	state.emit(Event{Kind: EventConfigured, Revision: state.Revision})
	return Result{Revision: state.Revision}
}

func (state *State) withdrawKey(withdraw *WithdrawKey) Result {
	hash, ok := state.findKey(withdraw.Key)
	if !ok {
		return refuse(coder.WrongKey, "no single key has this hash or fingerprint")
	}
	key := state.Keys[hash]
	if key.Withdrawn != 0 {
		return Result{Code: coder.Duplicate, Revision: key.Withdrawn}
	}
	state.Revision++
	key.Withdrawn = state.Revision
	state.emit(Event{Kind: EventConfigured, Revision: state.Revision})
	return Result{Revision: state.Revision}
}

// findKey returns the key whose hash begins with prefix. It returns false if
// the prefix is shorter than a fingerprint or does not match exactly one key.
func (state *State) findKey(prefix modeller.KeyHash) (modeller.KeyHash, bool) {
	if len(prefix) < modeller.FingerprintLength {
		return "", false
	}
	found := modeller.KeyHash("")
	for hash := range state.Keys {
		if !strings.HasPrefix(string(hash), string(prefix)) {
			continue
		}
		if found != "" {
			return "", false
		}
		found = hash
	}
	return found, found != ""
}

// checkKey checks that a key is valid and belongs to the account.
func (state *State) checkKey(hash modeller.KeyHash, account modeller.ClientAccountName) (coder.Code, string) {
	key := state.Keys[hash]
	if key == nil || key.ClientAccount != account {
		return coder.WrongKey, "the key does not belong to " + string(account)
	}
	return state.checkKeyValid(hash)
}

// checkKeyValid checks that a key was granted to some account and is not
// withdrawn.
func (state *State) checkKeyValid(hash modeller.KeyHash) (coder.Code, string) {
	key := state.Keys[hash]
	switch {
	case hash == "":
		return coder.MissingKey, "no key came with the request"
	case key == nil:
		return coder.WrongKey, "the key belongs to no client account"
	case key.Withdrawn != 0:
		return coder.WithdrawnKey, "the key " + hash.Fingerprint() + " was withdrawn"
	}
	return coder.OK, ""
}
