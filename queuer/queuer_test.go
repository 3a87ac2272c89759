package queuer_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/queuer"
)

// TestNextIsTheAccountFurthestBelowItsShare removes the waiting items one by one
// while the used resources of the accounts change.
func TestNextIsTheAccountFurthestBelowItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := queuer.New()
		queue.SetFleetCapacity(modeller.Resources{MilliProcessors: 1000, MemoryMiB: 1000})
		accounts := make([]*queuer.Account, rapid.IntRange(1, 6).Draw(t, "accounts"))
		for index := range accounts {
			accounts[index] = queue.NewAccount(modeller.ClientAccountName(rune('a' + index)))
			accounts[index].Weight = rapid.Int64Range(1, 4).Draw(t, "weight")
		}
		waiting := make(map[*queuer.Account]int)
		for id := range rapid.IntRange(1, 30).Draw(t, "jobs") {
			account := rapid.SampledFrom(accounts).Draw(t, "account")
			queue.Add(queuer.NewItem(modeller.JobID(id), account, queuer.Ordinary))
			waiting[account]++
		}
		for len(waiting) > 0 {
			changed := rapid.SampledFrom(accounts).Draw(t, "changed")
			changed.Used = modeller.Resources{MilliProcessors: rapid.Int64Range(0, 1000).Draw(t, "used")}
			queue.UpdateShare(changed)
			next := queue.Next(queuer.Ordinary)
			for account := range waiting {
				if next.WeightedShare() > account.WeightedShare() {
					t.Fatalf("%s goes before %s, which is further below its share", next.Name, account.Name)
				}
			}
			var first *queuer.Item
			next.Each(queuer.Ordinary, 1, func(item *queuer.Item) bool {
				first = item
				return false
			})
			queue.Remove(first)
			if waiting[next]--; waiting[next] == 0 {
				delete(waiting, next)
			}
		}
		if next := queue.Next(queuer.Ordinary); next != nil {
			t.Fatalf("%s is next but has no waiting items", next.Name)
		}
	})
}

func TestPromotedItemIsFoundInItsNewClass(t *testing.T) {
	c := qt.New(t)
	queue := queuer.New()
	account := queue.NewAccount("a")
	item := queuer.NewItem(1, account, queuer.Deferrable)
	item.PromoteAt = 100
	queue.Add(item)
	promote := func(item *queuer.Item) { item.Class = queuer.Due }
	queue.Promote(99, promote)
	c.Check(queue.Next(queuer.Due), qt.IsNil)
	queue.Promote(100, promote)
	c.Check(queue.Next(queuer.Due), qt.Equals, account)
	c.Check(queue.Next(queuer.Deferrable), qt.IsNil)
}
