package budgeter

// CountJSON counts the objects and members of a JSON text.
var CountJSON = countJSON

// Held returns the charge of the account, and whether it is open.
func (account *Account) Held() (int64, bool) {
	account.budget.mutex.Lock()
	defer account.budget.mutex.Unlock()
	return account.held, account.index >= 0
}

// Sizes of charges.
const (
	ConnectionBytes = connectionBytes
	RequestBytes    = requestBytes
	SmallBytes      = smallBytes
)

// Head is what a scanner counted.
type Head struct {
	Bytes, Lines, EmptyBytes int
	Done                     bool
	Cost                     int64
}

// ScanHead feeds a scanner with the pieces of a head.
func ScanHead(pieces ...[]byte) Head {
	scanner := scanner{}
	for _, piece := range pieces {
		scanner.feed(piece)
	}
	return Head{Bytes: scanner.bytes, Lines: scanner.lines, EmptyBytes: scanner.emptyBytes, Done: scanner.done, Cost: scanner.cost()}
}

// RefusalOf returns why a head is refused.
func RefusalOf(head []byte, limits Limits) Cause {
	scanner := scanner{}
	scanner.feed(head)
	return scanner.refusal(&limits)
}
