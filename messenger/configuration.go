package messenger

import (
	"maps"
	"slices"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/journaler"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// FollowRequest subscribes an entry to the configuration and its changes.
type FollowRequest struct {
	Cell  modeller.CellName
	Entry string
	// Known is the revision in force at the entry; the first reply holds only
	// what changed after it. Zero means that the entry has no configuration.
	Known modeller.Revision
}

// Configuration is the configuration that entries follow, or an update of it.
// It is immutable; a newer one has a higher revision.
type Configuration struct {
	Revision modeller.Revision
	// Since is zero for a full configuration. Otherwise this is an update with
	// only the changes made after revision Since.
	Since modeller.Revision
	// Templates are sorted by name, Withdrawn and Granted by key hash.
	Templates []modeller.Template
	// Withdrawn holds the hashes of keys that are no longer valid.
	Withdrawn []modeller.KeyHash
	Granted   []GrantedKey
	// Members are the cell's current replicas, so that entries learn the
	// addresses of replacements. A message without members only confirms that
	// the revision is current.
	Members []journaler.Member
}

// GrantedKey is a valid key and the client account that it belongs to.
type GrantedKey struct {
	Key           modeller.KeyHash
	ClientAccount modeller.ClientAccountName
}

// ConfigurationSince returns the changes made after the revision, or the full
// configuration if the revision is zero or newer than the state.
func ConfigurationSince(state *applier.State, since modeller.Revision) *Configuration {
	if since > state.Revision {
		since = 0
	}
	changes := &Configuration{Revision: state.Revision, Since: since}
	for _, name := range slices.Sorted(maps.Keys(state.Templates)) {
		if template := state.Templates[name]; template.Revision > since {
			changes.Templates = append(changes.Templates, *template)
		}
	}
	for _, hash := range slices.Sorted(maps.Keys(state.Keys)) {
		key := state.Keys[hash]
		switch {
		case key.Withdrawn > since:
			changes.Withdrawn = append(changes.Withdrawn, hash)
		case key.Withdrawn == 0 && key.Granted > since:
			changes.Granted = append(changes.Granted, GrantedKey{Key: hash, ClientAccount: key.ClientAccount})
		}
	}
	return changes
}

// Merge returns the configuration with the changes applied; the receiver may be
// nil. It returns nil if the changes start after the configuration's revision,
// since the changes between the two would be lost.
func (configuration *Configuration) Merge(changes *Configuration) *Configuration {
	if changes.Since == 0 {
		return changes
	}
	if configuration == nil || changes.Since > configuration.Revision {
		return nil
	}
	merged := *changes
	merged.Since = 0
	merged.Templates = mergeTemplates(configuration.Templates, changes.Templates)
	merged.Withdrawn = slices.Concat(configuration.Withdrawn, changes.Withdrawn)
	slices.Sort(merged.Withdrawn)
	merged.Withdrawn = slices.Compact(merged.Withdrawn)
	merged.Granted = mergeGranted(configuration.Granted, changes)
	return &merged
}

func mergeTemplates(templates, changed []modeller.Template) []modeller.Template {
	byName := make(map[modeller.TemplateName]modeller.Template, len(templates)+len(changed))
	for _, template := range slices.Concat(templates, changed) {
		byName[template.Name] = template
	}
	var merged []modeller.Template
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		merged = append(merged, byName[name])
	}
	return merged
}

func mergeGranted(granted []GrantedKey, changes *Configuration) []GrantedKey {
	accounts := make(map[modeller.KeyHash]modeller.ClientAccountName, len(granted)+len(changes.Granted))
	for _, key := range slices.Concat(granted, changes.Granted) {
		accounts[key.Key] = key.ClientAccount
	}
	for _, hash := range changes.Withdrawn {
		delete(accounts, hash)
	}
	var merged []GrantedKey
	for _, hash := range slices.Sorted(maps.Keys(accounts)) {
		merged = append(merged, GrantedKey{Key: hash, ClientAccount: accounts[hash]})
	}
	return merged
}
