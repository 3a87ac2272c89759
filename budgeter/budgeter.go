// Package budgeter owns the memory and the descriptors that a listener spends on its
// clients, so that no client can end the process or keep others from being served.
//
// Load it answers: hundreds of connections at once that send heads of very many lines,
// bodies that stop short of their end, or nothing at all. Each connection has an Account
// in a Budget and charges to it what it is about to keep: the connection itself, a head,
// a body, its decoded form, an answer that is not read. When the charges pass the budget,
// the connection that holds most is closed; when the connections pass their number, the
// one that has been without a whole head for longest. A request that was forwarded is
// never closed for either, unless its client does not read the answer, since its caller
// could not know whether it runs. So that forwarded requests leave room for others, a
// client may have no more of them than are left for all clients.
//
// Budget and scanner need no network. Conn and Guard connect them with net/http.
package budgeter

import (
	"errors"
	"math/bits"
	"sync"
	"sync/atomic"
	"time"
)

var (
	// ErrClosed is returned on an account whose connection was closed.
	ErrClosed = errors.New("the connection was closed to free memory")
	// ErrFull is returned if the budget, or the client's part of it, is taken by requests
	// that were forwarded.
	ErrFull = errors.New("no memory is left for the request")
)

// Costs of a connection, in bytes.
const (
	// connectionBytes covers the stack of the goroutine of a connection, its two
	// buffers of 4 KiB and what net/http keeps for it.
	connectionBytes = 20 << 10
	// requestBytes covers a request of ordinary size: its second goroutine, its
	// context, the buffer of a body of up to smallBody bytes and the answer.
	requestBytes = 16 << 10
	// smallBytes is the size up to which connections count as equal. An ordinary
	// request stays below it, so that it is never closed before a larger one.
	smallBytes = 64 << 10
	// answerGrace is how long the writing of an answer protects a forwarded request.
	answerGrace = time.Second
	// phaseGrace is how long a connection is in a phase before it is closed for its
	// descriptor. All workers connect at once after a change of leader, and each must
	// get to send its request.
	phaseGrace = 200 * time.Millisecond
	// Forwarded requests take at most forwardedParts in partsOfAll of the connections
	// and of the bytes, so that the rest can be closed for new ones.
	forwardedParts = 7
	partsOfAll     = 8
)

// Phase is what a connection is at.
type Phase uint8

// The phases, in the order in which connections are closed for their descriptors.
const (
	// Fresh connections have sent nothing or a part of a head.
	Fresh Phase = iota
	// Idle connections have been answered and wait for the next request.
	Idle
	// Reading connections have sent a whole head.
	Reading
	// Forwarded connections have a request that may run.
	Forwarded
)

// Config configures a Budget.
type Config struct {
	// Kind names the clients in logs and metrics, such as callers.
	Kind string
	// Bytes bounds the sum of all charges, and Connections the number of accounts.
	Bytes       int64
	Connections int
	// Report is called for each connection that is closed, without a lock held.
	Report func(cause Cause, address string)
	// Now returns the current time.
	Now func() time.Time
}

// Budget is the memory and the number of connections of one listener. It is safe for
// concurrent use.
type Budget struct {
	config Config

	mutex sync.Mutex
	// held is the sum of the charges of accounts. It is at most config.Bytes whenever
	// mutex is free.
	held     int64
	accounts []*Account
	// forwarded sums up the accounts in phase Forwarded.
	forwarded usage
	// clients holds the clients that have an account.
	clients map[string]*client
	// changes numbers the changes of phases.
	changes uint64
}

// usage is a number of accounts and the sum of their charges.
type usage struct {
	accounts int
	bytes    int64
}

func (usage *usage) add(accounts int, bytes int64) {
	usage.accounts += accounts
	usage.bytes += bytes
}

// client is an address, or the key of a client account once it is known.
type client struct {
	name string
	// held is the sum of the charges of its accounts, and accounts their number.
	held     int64
	accounts int
	// forwarded sums up those of its accounts that are in phase Forwarded.
	forwarded usage
}

// New returns an empty budget.
func New(config Config) *Budget {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Report == nil {
		config.Report = func(Cause, string) {}
	}
	return &Budget{config: config, clients: make(map[string]*client)}
}

// Held returns the sum of the charges.
func (budget *Budget) Held() int64 {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.held
}

// Connections returns the number of open accounts.
func (budget *Budget) Connections() int {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return len(budget.accounts)
}

// Account holds the charges of one connection.
type Account struct {
	budget  *Budget
	address string
	// closeConnection closes the connection. It is called without a lock held.
	closeConnection func()
	// writingSince is when the write in progress began, in Unix nanoseconds, or 0.
	writingSince atomic.Int64

	// The fields below are guarded by the mutex of budget. index is the position in
	// its accounts, or -1 once the account is closed; held is 0 then.
	index  int
	client *client
	held   int64
	phase  Phase
	// changed is the number of the last change of phase, and changedAt the time of the
	// last one to Fresh or Reading.
	changed   uint64
	changedAt time.Time
}

// Open opens an account for a connection from the address. At the limit of connections
// it closes the one that is least likely to be missed. It returns false if none can be
// closed yet.
func (budget *Budget) Open(address string, closeConnection func()) (*Account, bool) {
	account := &Account{budget: budget, address: address, closeConnection: closeConnection}
	budget.mutex.Lock()
	var stalest *Account
	if len(budget.accounts) >= budget.config.Connections {
		if stalest = budget.stalest(); stalest == nil {
			budget.mutex.Unlock()
			return nil, false
		}
		budget.remove(stalest)
	}
	account.index = len(budget.accounts)
	budget.accounts = append(budget.accounts, account)
	account.client = budget.join(address)
	account.setPhase(Fresh)
	budget.mutex.Unlock()
	if stalest != nil {
		budget.config.Report(Descriptors, stalest.address)
		stalest.closeConnection()
	}
	if err := account.Charge(connectionBytes); err != nil {
		account.End()
		return nil, false
	}
	return account, true
}

// join returns the client of the name with one account more. It is called with mutex
// held, as are all methods below that take no lock.
func (budget *Budget) join(name string) *client {
	joined := budget.clients[name]
	if joined == nil {
		joined = &client{name: name}
		budget.clients[name] = joined
	}
	joined.accounts++
	return joined
}

func (budget *Budget) leave(left *client) {
	if left.accounts--; left.accounts == 0 {
		delete(budget.clients, left.name)
	}
}

// remove closes the account.
func (budget *Budget) remove(account *Account) {
	account.add(-account.held)
	account.setPhase(Idle)
	budget.leave(account.client)
	last := budget.accounts[len(budget.accounts)-1]
	budget.accounts[account.index], last.index = last, account.index
	budget.accounts[len(budget.accounts)-1] = nil
	budget.accounts = budget.accounts[:len(budget.accounts)-1]
	account.index = -1
}

func (account *Account) add(bytes int64) {
	account.held += bytes
	account.client.held += bytes
	account.budget.held += bytes
	if account.phase == Forwarded {
		account.client.forwarded.add(0, bytes)
		account.budget.forwarded.add(0, bytes)
	}
}

func (account *Account) setPhase(phase Phase) {
	account.countForwarded(-1)
	account.budget.changes++
	account.phase, account.changed = phase, account.budget.changes
	if phase == Fresh || phase == Reading {
		account.changedAt = account.budget.config.Now()
	}
	account.countForwarded(1)
}

// countForwarded adds the account to the sums of forwarded ones, or removes it with -1,
// if it is in that phase.
func (account *Account) countForwarded(sign int) {
	if account.phase == Forwarded {
		account.client.forwarded.add(sign, int64(sign)*account.held)
		account.budget.forwarded.add(sign, int64(sign)*account.held)
	}
}

// protected reports whether the connection must not be closed.
func (account *Account) protected() bool {
	if account.phase != Forwarded {
		return false
	}
	since := account.writingSince.Load()
	return since == 0 || account.budget.config.Now().UnixNano()-since < int64(answerGrace)
}

// sizeClass is 0 up to smallBytes and grows by one with each doubling.
func (account *Account) sizeClass() int { return bits.Len64(uint64(account.held / smallBytes)) }

// closesBefore reports whether account is closed before other: the larger one, of
// equally large ones the one whose client holds more, then the one that has been in its
// phase for longer. A new connection thus finds room among those that have stopped.
func (account *Account) closesBefore(other *Account) bool {
	if class, otherClass := account.sizeClass(), other.sizeClass(); class != otherClass {
		return class > otherClass
	}
	if account.client != other.client && account.client.held != other.client.held {
		return account.client.held > other.client.held
	}
	return account.changed < other.changed
}

// heaviest returns the connection to close for memory, or nil.
func (budget *Budget) heaviest() *Account {
	var heaviest *Account
	for _, account := range budget.accounts {
		if (heaviest == nil || account.closesBefore(heaviest)) && !account.protected() {
			heaviest = account
		}
	}
	return heaviest
}

// stalest returns the connection to close for its descriptor: one without a whole head,
// else an idle one, else one that reads, in each case the oldest. It returns nil if there
// is none, or if that one must be given more time.
func (budget *Budget) stalest() *Account {
	var stalest *Account
	for _, account := range budget.accounts {
		if (stalest == nil || account.phase < stalest.phase || account.phase == stalest.phase && account.changed < stalest.changed) && !account.protected() {
			stalest = account
		}
	}
	if stalest != nil && stalest.phase != Idle && budget.config.Now().Sub(stalest.changedAt) < phaseGrace {
		return nil
	}
	return stalest
}

// Charge adds to what the connection holds, and closes connections until all charges
// are within the budget. It returns ErrClosed if the connection itself is closed, and
// ErrFull, without a charge, if no connection can be closed. No lock that
// closeConnection takes may be held.
func (account *Account) Charge(bytes int64) error { return account.charge(bytes, nil) }

// charge is Charge with a change that is made under the same lock.
func (account *Account) charge(bytes int64, change func()) error {
	budget := account.budget
	budget.mutex.Lock()
	if account.index < 0 {
		budget.mutex.Unlock()
		return ErrClosed
	}
	if change != nil {
		change()
	}
	account.add(bytes)
	if budget.held <= budget.config.Bytes {
		budget.mutex.Unlock()
		return nil
	}
	closed, err := budget.makeRoom(account, bytes)
	budget.mutex.Unlock()
	for _, victim := range closed {
		budget.config.Report(Memory, victim.address)
		victim.closeConnection()
	}
	return err
}

// makeRoom removes accounts until the charges fit the budget, and returns them.
func (budget *Budget) makeRoom(account *Account, bytes int64) ([]*Account, error) {
	var closed []*Account
	for budget.held > budget.config.Bytes {
		victim := budget.heaviest()
		if victim == nil {
			account.add(-bytes)
			return closed, ErrFull
		}
		budget.remove(victim)
		closed = append(closed, victim)
		if victim == account {
			return closed, ErrClosed
		}
	}
	return closed, nil
}

// Release takes back a part of the charges.
func (account *Account) Release(bytes int64) {
	account.budget.mutex.Lock()
	defer account.budget.mutex.Unlock()
	if account.index >= 0 {
		account.add(-min(bytes, account.held))
	}
}

// BeginHead charges the first bytes of a request's head.
func (account *Account) BeginHead(bytes int64) error {
	return account.charge(requestBytes+bytes, func() { account.setPhase(Fresh) })
}

// BeginRequest charges further bytes of a head that is whole now, and moves the account
// to the client, unless that is empty.
func (account *Account) BeginRequest(bytes int64, name string) error {
	return account.charge(bytes, func() {
		account.setPhase(Reading)
		if name == "" || name == account.client.name {
			return
		}
		budget := account.budget
		account.client.held -= account.held
		budget.leave(account.client)
		account.client = budget.join(name)
		account.client.held += account.held
	})
}

// Forward marks the request as one that may run. It must not be forwarded if the error is
// not nil: ErrClosed if the connection was closed before, or ErrFull if the client has
// as many forwarded requests, or as many bytes in them, as are left for all clients.
func (account *Account) Forward() error {
	budget := account.budget
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if account.index < 0 {
		return ErrClosed
	}
	if account.phase == Forwarded {
		return nil
	}
	own, all := &account.client.forwarded, &budget.forwarded
	if own.accounts+1 > max(budget.config.Connections*forwardedParts/partsOfAll, 1)-all.accounts ||
		own.bytes+account.held > budget.config.Bytes*forwardedParts/partsOfAll-all.bytes {
		return ErrFull
	}
	account.setPhase(Forwarded)
	return nil
}

// EndRequest takes back the charges of an answered request.
func (account *Account) EndRequest() {
	account.budget.mutex.Lock()
	defer account.budget.mutex.Unlock()
	if account.index >= 0 {
		account.add(connectionBytes - account.held)
		account.setPhase(Idle)
	}
}

// isClosed reports whether the account is closed.
func (account *Account) isClosed() bool {
	account.budget.mutex.Lock()
	defer account.budget.mutex.Unlock()
	return account.index < 0
}

// End closes the account of a closed connection.
func (account *Account) End() {
	account.budget.mutex.Lock()
	defer account.budget.mutex.Unlock()
	if account.index >= 0 {
		account.budget.remove(account)
	}
}
