// Package queuer owns the order in which waiting jobs are tried: by urgency,
// between client accounts by their weighted dominant shares, and within one
// account by latest start and age.
//
// Work that has waited for its maximum time, or whose latest start has come, is
// promoted to a class for which the planner reserves a fixed part of its
// decisions, so that lower urgencies cannot starve and higher ones keep the
// greater part. Within every class the accounts are ordered by share, so that
// one account's flood of aged jobs does not delay other accounts' work. Each
// operation takes time logarithmic in the number of waiting jobs. Package queuer
// does not handle workers and their capacity.
package queuer

import (
	"container/heap"

	"github.com/google/btree"

	"github.com/dotterelrill/dotterelrill/modeller"
)

// Class is the priority class of a waiting job; a smaller one goes first.
type Class uint8

// Priority classes, the highest first.
const (
	Urgent Class = iota
	Ordinary
	// Due is deferrable work with a deadline whose latest start has come.
	Due
	// Aged is ordinary or deferrable work that has waited for its maximum time.
	Aged
	Deferrable
	classCount
)

// ClassOf returns the initial class of work of an urgency.
func ClassOf(urgency modeller.Urgency) Class {
	switch urgency {
	case modeller.Urgent:
		return Urgent
	case modeller.Ordinary:
		return Ordinary
	}
	return Deferrable
}

// Item is a waiting job. It belongs to one Queue.
type Item struct {
	Job     modeller.JobID
	Account *Account
	Class   Class
	// Rank orders the items of an account and class; the lowest goes first, and
	// the oldest among equals. While the item waits, only Promote may change it.
	Rank float64
	// PromoteAt is when Promote next considers the item; zero means never.
	PromoteAt modeller.Millis
	queued    bool
	// promotionIndex is the item's index in the promotion heap, or -1.
	promotionIndex int
}

// NewItem returns an item that is not queued.
func NewItem(job modeller.JobID, account *Account, class Class) *Item {
	return &Item{Job: job, Account: account, Class: class, promotionIndex: -1}
}

// Queued reports whether the item waits.
func (item *Item) Queued() bool { return item.queued }

func itemLess(left, right *Item) bool {
	if left.Rank != right.Rank {
		return left.Rank < right.Rank
	}
	return left.Job < right.Job
}

// Account holds a client account's waiting work and the resources it uses.
type Account struct {
	Name modeller.ClientAccountName
	// Weight is at least 1.
	Weight int64
	Used   modeller.Resources
	// weightedShare is the dominant share of the used resources divided by the
	// weight; accounts with a lower one go first.
	weightedShare float64
	waiting       [classCount]*btree.BTreeG[*Item]
	// heapIndex is the account's index in the heap of each class, or -1.
	heapIndex [classCount]int
}

const btreeDegree = 16

// Queue holds all waiting jobs.
type Queue struct {
	fleetCapacity modeller.Resources
	treeNodes     *btree.FreeListG[*Item]
	accounts      []*Account
	readyAccounts [classCount]accountHeap
	// blocked holds the accounts of which no work could be placed.
	blocked    [classCount][]*Account
	promotions promotionHeap
}

// New returns an empty Queue.
func New() *Queue {
	queue := &Queue{treeNodes: btree.NewFreeListG[*Item](btree.DefaultFreeListSize)}
	for class := range queue.readyAccounts {
		queue.readyAccounts[class].class = Class(class)
	}
	return queue
}

// NewAccount adds an account with weight 1 to the queue and returns it.
func (queue *Queue) NewAccount(name modeller.ClientAccountName) *Account {
	account := &Account{Name: name, Weight: 1}
	for class := range account.waiting {
		account.waiting[class] = btree.NewWithFreeListG(btreeDegree, itemLess, queue.treeNodes)
		account.heapIndex[class] = -1
	}
	queue.accounts = append(queue.accounts, account)
	return account
}

// SetFleetCapacity sets the total capacity of the fleet and updates the shares of
// all accounts.
func (queue *Queue) SetFleetCapacity(total modeller.Resources) {
	queue.fleetCapacity = total
	for _, account := range queue.accounts {
		queue.UpdateShare(account)
	}
}

// UpdateShare applies a change of an account's weight or used resources.
func (queue *Queue) UpdateShare(account *Account) {
	account.weightedShare = account.Used.DominantShare(queue.fleetCapacity) / float64(account.Weight)
	for class := range queue.readyAccounts {
		if account.heapIndex[class] >= 0 {
			heap.Fix(&queue.readyAccounts[class], account.heapIndex[class])
		}
	}
}

// WeightedShare returns the account's dominant share of the fleet divided by its
// weight.
func (account *Account) WeightedShare() float64 { return account.weightedShare }

// Add adds an item to the queue, unless it is queued already.
func (queue *Queue) Add(item *Item) {
	if item.queued {
		return
	}
	item.queued = true
	queue.insert(item)
	if item.PromoteAt > 0 {
		heap.Push(&queue.promotions, item)
	}
}

func (queue *Queue) insert(item *Item) {
	account := item.Account
	account.waiting[item.Class].ReplaceOrInsert(item)
	if account.heapIndex[item.Class] < 0 {
		heap.Push(&queue.readyAccounts[item.Class], account)
	}
}

// Remove removes an item from the queue, if it is queued.
func (queue *Queue) Remove(item *Item) {
	if !item.queued {
		return
	}
	item.queued = false
	item.Account.waiting[item.Class].Delete(item)
	if item.promotionIndex >= 0 {
		heap.Remove(&queue.promotions, item.promotionIndex)
	}
}

// Promote calls reclassify for the items whose PromoteAt has come. The function may
// set their Rank, PromoteAt and Class; an item whose PromoteAt is then later than
// now is reclassified again at that time.
func (queue *Queue) Promote(now modeller.Millis, reclassify func(item *Item)) {
	for len(queue.promotions) > 0 && queue.promotions[0].PromoteAt <= now {
		item := heap.Pop(&queue.promotions).(*Item)
		item.Account.waiting[item.Class].Delete(item)
		reclassify(item)
		queue.insert(item)
		if item.PromoteAt > now {
			heap.Push(&queue.promotions, item)
		}
	}
}

// Next returns the account to be tried next for the class, or nil.
func (queue *Queue) Next(class Class) *Account {
	ready := &queue.readyAccounts[class]
	for len(ready.accounts) > 0 {
		first := ready.accounts[0]
		if first.waiting[class].Len() > 0 {
			return first
		}
		heap.Pop(ready)
	}
	return nil
}

// Block makes Next skip the account for the class until Unblock.
func (queue *Queue) Block(account *Account, class Class) {
	if index := account.heapIndex[class]; index >= 0 {
		heap.Remove(&queue.readyAccounts[class], index)
		queue.blocked[class] = append(queue.blocked[class], account)
	}
}

// Unblock lets all accounts be tried again.
func (queue *Queue) Unblock() {
	for class := range queue.blocked {
		for _, account := range queue.blocked[class] {
			if account.heapIndex[class] < 0 && account.waiting[class].Len() > 0 {
				heap.Push(&queue.readyAccounts[class], account)
			}
		}
		queue.blocked[class] = queue.blocked[class][:0]
	}
}

// Each visits items of the account and class until visit returns false: at most
// maxPerEnd in ascending order from the first, and then as many in descending
// order from the last, so that small jobs that fit are found behind many that do
// not. The visit function must not add, remove or promote items.
func (account *Account) Each(class Class, maxPerEnd int, visit func(item *Item) bool) {
	waiting := account.waiting[class]
	visited := 0
	proceed := true
	waiting.Ascend(func(item *Item) bool {
		visited++
		proceed = visit(item)
		return proceed && visited < maxPerEnd
	})
	remaining := min(waiting.Len()-visited, maxPerEnd)
	if !proceed || remaining <= 0 {
		return
	}
	waiting.Descend(func(item *Item) bool {
		remaining--
		return visit(item) && remaining > 0
	})
}
