package queuer

// accountHeap holds the accounts with waiting work of one class, the one with the
// lowest weighted share first.
type accountHeap struct {
	class    Class
	accounts []*Account
}

// Len implements heap.Interface.
func (accountHeap *accountHeap) Len() int { return len(accountHeap.accounts) }

// Less implements heap.Interface.
func (accountHeap *accountHeap) Less(left, right int) bool {
	first, second := accountHeap.accounts[left], accountHeap.accounts[right]
	if first.weightedShare != second.weightedShare {
		return first.weightedShare < second.weightedShare
	}
	return first.Name < second.Name
}

// Swap implements heap.Interface.
func (accountHeap *accountHeap) Swap(left, right int) {
	accounts := accountHeap.accounts
	accounts[left], accounts[right] = accounts[right], accounts[left]
	accounts[left].heapIndex[accountHeap.class] = left
	accounts[right].heapIndex[accountHeap.class] = right
}

// Push implements heap.Interface.
func (accountHeap *accountHeap) Push(added any) {
	account := added.(*Account)
	account.heapIndex[accountHeap.class] = len(accountHeap.accounts)
	accountHeap.accounts = append(accountHeap.accounts, account)
}

// Pop implements heap.Interface.
func (accountHeap *accountHeap) Pop() any {
	last := len(accountHeap.accounts) - 1
	account := accountHeap.accounts[last]
	accountHeap.accounts = accountHeap.accounts[:last]
	account.heapIndex[accountHeap.class] = -1
	return account
}

// promotionHeap holds the items that wait for promotion, the earliest first.
type promotionHeap []*Item

// Len implements heap.Interface.
func (promotionHeap promotionHeap) Len() int { return len(promotionHeap) }

// Less implements heap.Interface.
func (promotionHeap promotionHeap) Less(left, right int) bool {
	return promotionHeap[left].PromoteAt < promotionHeap[right].PromoteAt
}

// Swap implements heap.Interface.
func (promotionHeap promotionHeap) Swap(left, right int) {
	promotionHeap[left], promotionHeap[right] = promotionHeap[right], promotionHeap[left]
	promotionHeap[left].promotionIndex = left
	promotionHeap[right].promotionIndex = right
}

// Push implements heap.Interface.
func (promotionHeap *promotionHeap) Push(added any) {
	item := added.(*Item)
	item.promotionIndex = len(*promotionHeap)
	*promotionHeap = append(*promotionHeap, item)
}

// Pop implements heap.Interface.
func (promotionHeap *promotionHeap) Pop() any {
	last := len(*promotionHeap) - 1
	item := (*promotionHeap)[last]
	*promotionHeap = (*promotionHeap)[:last]
	item.promotionIndex = -1
	return item
}
