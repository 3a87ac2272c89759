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
	if first.level != second.level {
		return first.level < second.level
	}
	return first.Name < second.Name
}

// Swap implements heap.Interface.
func (accountHeap *accountHeap) Swap(left, right int) {
	accounts := accountHeap.accounts
	accounts[left], accounts[right] = accounts[right], accounts[left]
	accounts[left].place[accountHeap.class] = left
	accounts[right].place[accountHeap.class] = right
}

// Push implements heap.Interface.
func (accountHeap *accountHeap) Push(added any) {
	account := added.(*Account)
	account.place[accountHeap.class] = len(accountHeap.accounts)
	accountHeap.accounts = append(accountHeap.accounts, account)
}

// Pop implements heap.Interface.
func (accountHeap *accountHeap) Pop() any {
	last := len(accountHeap.accounts) - 1
	account := accountHeap.accounts[last]
	accountHeap.accounts = accountHeap.accounts[:last]
	account.place[accountHeap.class] = -1
	return account
}

// timerHeap holds the items that wait for promotion, the earliest first.
type timerHeap []*Item

// Len implements heap.Interface.
func (timerHeap timerHeap) Len() int { return len(timerHeap) }

// Less implements heap.Interface.
func (timerHeap timerHeap) Less(left, right int) bool {
	return timerHeap[left].RiseAt < timerHeap[right].RiseAt
}

// Swap implements heap.Interface.
func (timerHeap timerHeap) Swap(left, right int) {
	timerHeap[left], timerHeap[right] = timerHeap[right], timerHeap[left]
	timerHeap[left].timer = left
	timerHeap[right].timer = right
}

// Push implements heap.Interface.
func (timerHeap *timerHeap) Push(added any) {
	item := added.(*Item)
	item.timer = len(*timerHeap)
	*timerHeap = append(*timerHeap, item)
}

// Pop implements heap.Interface.
func (timerHeap *timerHeap) Pop() any {
	last := len(*timerHeap) - 1
	item := (*timerHeap)[last]
	*timerHeap = (*timerHeap)[:last]
	item.timer = -1
	return item
}
