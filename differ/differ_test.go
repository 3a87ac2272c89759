package differ_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/differ"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

func queue(name modeller.QueueName) modeller.Queue {
	return modeller.Queue{Name: name, Kind: modeller.Batch, Urgency: modeller.Ordinary, Idempotent: true, Size: modeller.Resources{MilliProcessors: 1, MemoryMiB: 1}}
}

// deskTemplate returns the template that the tests change.
func deskTemplate() modeller.Template {
	return modeller.Template{
		Name: "desk", ClientAccount: "desk", Share: 1, Revision: 7,
		Limit:  modeller.Limit{Resources: modeller.Resources{MilliProcessors: 4000, MemoryMiB: 4000}, Tasks: 10},
		Queues: []modeller.Queue{queue("swap"), queue("draw")},
		Keys:   []modeller.KeyHash{"aaaaaaaaaaaaaaaa"},
	}
}

// overview returns a state with the client account desk and another one.
func overview() *messenger.QueryReply {
	return &messenger.QueryReply{
		Templates: []modeller.Template{deskTemplate()},
		Accounts: []messenger.AccountRow{
			{Name: "desk", Share: 1, Live: 6, Used: modeller.Resources{MilliProcessors: 3000, MemoryMiB: 60}, Queues: []messenger.QueueRow{{Queue: queue("swap"), Waiting: 2}, {Queue: queue("draw"), Waiting: 5}}},
			{Name: "wiki", Share: 1},
		},
	}
}

func TestCompare(t *testing.T) {
	for name, test := range map[string]struct {
		change  func(template *modeller.Template)
		changes []differ.Change
		effects []differ.Effect
	}{
		"nothing": {func(*modeller.Template) {}, nil, []differ.Effect{{ClientAccount: "desk", Before: 500, After: 500}}},
		"share": {
			func(template *modeller.Template) { template.Share = 3 },
			[]differ.Change{{"Template", "Share", "1", "3"}},
			[]differ.Effect{{ClientAccount: "desk", Before: 500, After: 750}, {ClientAccount: "wiki", Before: 500, After: 250}},
		},
		"limit below what runs": {
			func(template *modeller.Template) { template.Limit.Tasks = 5 },
			[]differ.Change{{"Template", "LimitTasks", "10", "5"}},
			[]differ.Effect{{ClientAccount: "desk", Before: 500, After: 500, Notes: []string{"It has 6 tasks with 3000m/60MiB/0a running, above the new upper limit: nothing more starts until enough of them have ended."}}},
		},
		"queue opened": {
			func(template *modeller.Template) { template.Queues[0].OpenToAll = true },
			[]differ.Change{{"Queue.swap", "OpenToAll", "false", "true"}},
			[]differ.Effect{{ClientAccount: "desk", Before: 500, After: 500, Notes: []string{"Queue swap accepts work without a key."}}},
		},
		"key removed": {
			func(template *modeller.Template) { template.Keys = nil },
			[]differ.Change{{"Template", "KeyHashes aaaaaaaaaaaa", "granted", ""}},
			[]differ.Effect{{ClientAccount: "desk", Before: 500, After: 500, Notes: []string{"Key aaaaaaaaaaaa stays valid until it is withdrawn."}}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			after := deskTemplate()
			test.change(&after)
			difference := differ.Compare(overview(), &after)
			c.Assert(difference, quicktest.DeepEquals, &differ.Difference{Expected: 7, Changes: test.changes, Effects: test.effects})
		})
	}
}

func TestCompareNotesRemovedQueue(t *testing.T) {
	c := quicktest.New(t)
	after := deskTemplate()
	after.Queues = after.Queues[:1]
	difference := differ.Compare(overview(), &after)
	c.Assert(difference.Changes, quicktest.HasLen, 11)
	c.Assert(difference.Effects[0].Notes, quicktest.DeepEquals, []string{"Queue draw accepts no more work; 5 tasks wait in it."})
}

func TestCompareNotesNewClientAccount(t *testing.T) {
	c := quicktest.New(t)
	after := deskTemplate()
	after.Name, after.ClientAccount, after.Share = "export", "export", 2
	difference := differ.Compare(overview(), &after)
	c.Assert(difference.Expected, quicktest.Equals, modeller.Revision(0))
	c.Assert(difference.Effects, quicktest.DeepEquals, []differ.Effect{
		{ClientAccount: "desk", Before: 500, After: 250},
		{ClientAccount: "wiki", Before: 500, After: 250},
		{ClientAccount: "export", After: 500, Notes: []string{"The client account is new."}},
	})
}
