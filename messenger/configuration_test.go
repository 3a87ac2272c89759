package messenger_test

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// drawCommand draws a configuration change, which the state may refuse.
func drawCommand(t *rapid.T, state *applier.State) *applier.Command {
	number := rapid.IntRange(0, 3).Draw(t, "Team")
	account := modeller.ClientAccountName(fmt.Sprintf("team-%d", number))
	key := modeller.KeyHash(strings.Repeat(fmt.Sprint(rapid.IntRange(0, 7).Draw(t, "Key")), 64))
	command := &applier.Command{Cell: state.Cell, RequestID: modeller.RequestID(fmt.Sprint(state.Index))}
	switch rapid.IntRange(0, 2).Draw(t, "Change") {
	case 0:
		template := modeller.Template{Name: modeller.TemplateName(account), ClientAccount: account, Share: rapid.Int64Range(1, 9).Draw(t, "Share"), Keys: []modeller.KeyHash{key}}
		command.ApplyTemplate = &applier.ApplyTemplate{Template: template}
		if old := state.Templates[template.Name]; old != nil {
			command.ApplyTemplate.Expected = old.Revision
		}
	case 1:
		command.GrantKey = &applier.GrantKey{ClientAccount: account, Key: key}
	default:
		command.WithdrawKey = &applier.WithdrawKey{Key: key}
	}
	return command
}

// Guards against a merge that drops or resurrects a template or key: after any
// sequence of updates, an entry has the same configuration as one that has just
// received it in full.
func TestMergedChangesEqualFullConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := applier.New("demo")
		var merged *messenger.Configuration
		for range rapid.IntRange(1, 40).Draw(t, "Commands") {
			state.Apply(state.Index+1, drawCommand(t, state))
			if !rapid.Bool().Draw(t, "Follows") {
				continue
			}
			known := modeller.Revision(0)
			if merged != nil {
				// An update from an earlier revision overlaps what is known.
				known = merged.Revision - modeller.Revision(rapid.Uint64Range(0, uint64(merged.Revision)).Draw(t, "Behind"))
			}
			merged = merged.Merge(messenger.ConfigurationSince(state, known))
			if full := messenger.ConfigurationSince(state, 0); !reflect.DeepEqual(merged, full) {
				t.Fatalf("merged %+v, full %+v", merged, full)
			}
		}
	})
}

func TestMergeRejectsRevisionGap(t *testing.T) {
	c := quicktest.New(t)
	known := &messenger.Configuration{Revision: 4}
	c.Assert(known.Merge(&messenger.Configuration{Revision: 7, Since: 5}), quicktest.IsNil)
	c.Assert((*messenger.Configuration)(nil).Merge(&messenger.Configuration{Revision: 7, Since: 5}), quicktest.IsNil)
	c.Assert(known.Merge(&messenger.Configuration{Revision: 7, Since: 4}).Revision, quicktest.Equals, modeller.Revision(7))
}
