package entryrunner

import (
	"slices"
	"time"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// comeBack is when to ask again an entry that cannot serve for the moment.
const comeBack = time.Second

// admit refuses what the configuration or the client account's allowance shows
// to be in vain, before it costs the cell anything. The applier decides again.
func (runner *Runner) admit(submit *applier.Submit) (func(), *coder.Refusal) {
	if runner.stopping.Load() {
		return nil, busy("this entry is stopping; ask another one")
	}
	if !runner.current() {
		return nil, busy("this entry has no current configuration")
	}
	configuration := runner.configuration.Load()
	if slices.Contains(configuration.Withdrawn, submit.Key) {
		return nil, coder.Refuse(coder.WithdrawnKey, "the key %s was withdrawn", submit.Key.Fingerprint())
	}
	return runner.limiter.Admit(submit.ClientAccount, grants(configuration, submit.Key, submit.ClientAccount))
}

func busy(detail string) *coder.Refusal {
	refusal := coder.Refuse(coder.NotServing, "%s", detail)
	refusal.RetryAfter = comeBack
	refusal.NotProposed = true
	return refusal
}

// grants reports whether the key is known to belong to the client account. One
// that was granted a moment ago may not be known yet.
func grants(configuration *messenger.Configuration, key modeller.KeyHash, account modeller.ClientAccountName) bool {
	return slices.Contains(configuration.Granted, messenger.GrantedKey{Key: key, ClientAccount: account})
}
