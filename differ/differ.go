// Package differ previews a change of a template before it is applied: which
// values change, and how that affects each client account.
//
// It compares the given state and template only and queries nothing itself, so
// the running and waiting work may differ by the time the template is applied.
package differ

import (
	"fmt"
	"slices"

	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// Change is one changed value of a template. Before is empty for an added value
// and After for a removed one.
type Change struct {
	// Section and Key are the names used in the template's text.
	Section string
	Key     string
	Before  string
	After   string
}

// Effect describes how the change affects one client account.
type Effect struct {
	ClientAccount modeller.ClientAccountName
	// Before and After are the account's entitlements when the fleet is full,
	// in thousandths of the fleet.
	Before int64
	After  int64
	// Notes describe further effects on the account, in full sentences.
	Notes []string
}

// Difference holds the changed values and their effects.
type Difference struct {
	// Expected is the template's current revision, which the request to apply
	// the change must state; 0 for a new template.
	Expected modeller.Revision
	Changes  []Change
	Effects  []Effect
}

// Compare returns the effects of applying a template to the state in the
// overview, which must include accounts and templates.
func Compare(overview *messenger.QueryReply, after *modeller.Template) *Difference {
	before := &modeller.Template{}
	for at := range overview.Templates {
		if overview.Templates[at].Name == after.Name {
			before = &overview.Templates[at]
		}
	}
	difference := &Difference{Expected: before.Revision}
	difference.Changes = compareTemplates(before, after)
	difference.Effects = accountEffects(overview, before, after)
	return difference
}

// templateValue is one key of a template with its value as text.
type templateValue struct{ section, key, text string }

// templateValues lists the values of a template, in a fixed order of keys.
func templateValues(template *modeller.Template) []templateValue {
	if template.Name == "" {
		return nil
	}
	const section = "Template"
	list := []templateValue{
		{section, "ClientAccount", string(template.ClientAccount)},
		{section, "Share", fmt.Sprint(template.Share)},
		{section, "LimitMilliProcessors", fmt.Sprint(template.Limit.Resources.MilliProcessors)},
		{section, "LimitMemoryMiB", fmt.Sprint(template.Limit.Resources.MemoryMiB)},
		{section, "LimitAccelerators", fmt.Sprint(template.Limit.Resources.Accelerators)},
		{section, "LimitTasks", fmt.Sprint(template.Limit.Tasks)},
	}
	for _, key := range template.Keys {
		list = append(list, templateValue{section, "KeyHashes " + key.Fingerprint(), "granted"})
	}
	for at := range template.Queues {
		list = append(list, queueValues(&template.Queues[at])...)
	}
	return list
}

func queueValues(queue *modeller.Queue) []templateValue {
	section := "Queue." + string(queue.Name)
	return []templateValue{
		{section, "Kind", queue.Kind.String()},
		{section, "Urgency", queue.Urgency.String()},
		{section, "OpenToAll", fmt.Sprint(queue.OpenToAll)},
		{section, "Idempotent", fmt.Sprint(queue.Idempotent)},
		{section, "MilliProcessors", fmt.Sprint(queue.Size.MilliProcessors)},
		{section, "MemoryMiB", fmt.Sprint(queue.Size.MemoryMiB)},
		{section, "Accelerators", fmt.Sprint(queue.Size.Accelerators)},
		{section, "RunTime", fmt.Sprintf("%dms", queue.RunTime)},
		{section, "DeadlineAfter", fmt.Sprintf("%dms", queue.DeadlineAfter)},
		{section, "MaxRetries", fmt.Sprint(queue.MaxRetries)},
		{section, "MaxWaiting", fmt.Sprint(queue.MaxWaiting)},
	}
}

func compareTemplates(before, after *modeller.Template) []Change {
	oldValues, newValues := templateValues(before), templateValues(after)
	var changes []Change
	for _, newValue := range newValues {
		at := slices.IndexFunc(oldValues, func(oldValue templateValue) bool {
			return oldValue.section == newValue.section && oldValue.key == newValue.key
		})
		switch {
		case at < 0:
			changes = append(changes, Change{Section: newValue.section, Key: newValue.key, After: newValue.text})
		case oldValues[at].text != newValue.text:
			changes = append(changes, Change{Section: newValue.section, Key: newValue.key, Before: oldValues[at].text, After: newValue.text})
		}
	}
	for _, oldValue := range oldValues {
		if !slices.ContainsFunc(newValues, func(newValue templateValue) bool {
			return oldValue.section == newValue.section && oldValue.key == newValue.key
		}) {
			changes = append(changes, Change{Section: oldValue.section, Key: oldValue.key, Before: oldValue.text})
		}
	}
	return changes
}

// wholeFleet is the entitlement to the whole fleet, in thousandths.
const wholeFleet = 1000

// accountEffects lists every client account whose entitlement changes, and the
// account that the template describes.
func accountEffects(overview *messenger.QueryReply, before, after *modeller.Template) []Effect {
	var sumBefore, sumAfter int64
	for _, account := range overview.Accounts {
		sumBefore += account.Share
	}
	sumAfter = sumBefore - before.Share + after.Share
	var list []Effect
	exists := false
	for at := range overview.Accounts {
		account := &overview.Accounts[at]
		effect := Effect{ClientAccount: account.Name, Before: entitlement(account.Share, sumBefore), After: entitlement(account.Share, sumAfter)}
		if account.Name == after.ClientAccount {
			exists = true
			effect.After = entitlement(after.Share, sumAfter)
			effect.Notes = accountNotes(account, before, after)
		}
		if effect.Before != effect.After || account.Name == after.ClientAccount {
			list = append(list, effect)
		}
	}
	if !exists {
		list = append(list, Effect{ClientAccount: after.ClientAccount, After: entitlement(after.Share, sumAfter), Notes: []string{"The client account is new."}})
	}
	return list
}

// entitlement returns a share's fraction of the sum of shares, in thousandths.
func entitlement(share, sum int64) int64 {
	if sum <= 0 {
		return 0
	}
	return share * wholeFleet / sum
}

// accountNotes describes the effects on the account's running and waiting tasks
// and on its keys.
func accountNotes(account *messenger.AccountRow, before, after *modeller.Template) []string {
	var notes []string
	if !account.Used.Fits(after.Limit.Resources) || account.Live > after.Limit.Tasks {
		notes = append(notes, fmt.Sprintf("It has %d tasks with %s running, above the new upper limit: nothing more starts until enough of them have ended.", account.Live, account.Used))
	}
	for _, row := range account.Queues {
		if _, exists := after.Queue(row.Queue.Name); !exists {
			notes = append(notes, fmt.Sprintf("Queue %s accepts no more work; %d tasks wait in it.", row.Queue.Name, row.Waiting))
		}
	}
	for _, queue := range after.Queues {
		old, known := before.Queue(queue.Name)
		if queue.OpenToAll && (!known || !old.OpenToAll) {
			notes = append(notes, fmt.Sprintf("Queue %s accepts work without a key.", queue.Name))
		}
		if known && old.Idempotent && !queue.Idempotent {
			notes = append(notes, fmt.Sprintf("Queue %s: tasks of new jobs are not started again once an attempt may have run.", queue.Name))
		}
	}
	for _, key := range before.Keys {
		if !slices.Contains(after.Keys, key) {
			notes = append(notes, fmt.Sprintf("Key %s stays valid until it is withdrawn.", key.Fingerprint()))
		}
	}
	return notes
}
