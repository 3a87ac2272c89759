package entryrunner

import (
	"slices"
	"time"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// notServingRetryAfter is the delay after which a caller may retry at an entry
// that is temporarily not serving.
const notServingRetryAfter = time.Second

// admit refuses a submission that the configuration or the client account's rate
// limit rules out, before it puts load on the cell. The applier checks admitted
// submissions again. The returned function is called once the submission is
// decided.
func (runner *Runner) admit(submit *applier.Submit) (func(), *coder.Refusal) {
	if runner.stopping.Load() {
		return nil, refuseNotServing("this entry is shutting down; use another entry")
	}
	if !runner.configurationCurrent() {
		return nil, refuseNotServing("this entry has no current configuration")
	}
	configuration := runner.configuration.Load()
	if slices.Contains(configuration.Withdrawn, submit.Key) {
		return nil, coder.Refuse(coder.WithdrawnKey, "the key %s was withdrawn", submit.Key.Fingerprint())
	}
	return runner.limiter.Admit(submit.ClientAccount, hasGrantedKey(configuration, submit.Key, submit.ClientAccount))
}

// refuseNotServing returns a NotServing refusal for a request that was not
// proposed and may be retried.
func refuseNotServing(detail string) *coder.Refusal {
	refusal := coder.Refuse(coder.NotServing, "%s", detail)
	refusal.RetryAfter = notServingRetryAfter
	refusal.NotProposed = true
	return refusal
}

// hasGrantedKey reports whether the configuration grants the key to the client
// account. It may be false for a key that was granted a moment ago, since the
// configuration lags behind the leader.
func hasGrantedKey(configuration *messenger.Configuration, key modeller.KeyHash, account modeller.ClientAccountName) bool {
	return slices.Contains(configuration.Granted, messenger.GrantedKey{Key: key, ClientAccount: account})
}
