package budgeter_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelrill/dotterelrill/budgeter"
)

// fleet is a budget with its connections, of which closed ones are remembered.
type fleet struct {
	budget   *budgeter.Budget
	accounts []*budgeter.Account
	phases   map[*budgeter.Account]budgeter.Phase
	closed   []*budgeter.Account
	now      time.Time
}

func newFleet(bytes int64, connections int) *fleet {
	fleet := &fleet{phases: make(map[*budgeter.Account]budgeter.Phase), now: time.Unix(1, 0)}
	fleet.budget = budgeter.New(budgeter.Config{Bytes: bytes, Connections: connections, Now: func() time.Time { return fleet.now }})
	return fleet
}

func (fleet *fleet) open(address string) *budgeter.Account {
	var opened *budgeter.Account
	account, ok := fleet.budget.Open(address, func() { fleet.closed = append(fleet.closed, opened) })
	if !ok {
		return nil
	}
	opened = account
	fleet.accounts = append(fleet.accounts, account)
	return account
}

// TestChargesStayWithinTheBudget guards against a sequence of requests after which
// connections hold more than the budget, or in which a connection is closed while one
// that holds more than twice as much, or a forwarded request is, though others are not.
func TestChargesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budgetBytes = 1 << 20
		fleet := newFleet(budgetBytes, 20)
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) { fleet.open(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "address")) },
			"step": func(t *rapid.T) {
				if len(fleet.accounts) > 0 {
					fleet.step(t, rapid.SampledFrom(fleet.accounts).Draw(t, "account"))
				}
			},
			"": func(t *rapid.T) {
				if held := fleet.budget.Held(); held < 0 || held > budgetBytes {
					t.Fatalf("%d bytes are held", held)
				}
				sum, open := int64(0), 0
				for _, account := range fleet.accounts {
					held, isOpen := account.Held()
					sum += held
					if isOpen {
						open++
					}
				}
				if sum != fleet.budget.Held() || open != fleet.budget.Connections() || open > 20 {
					t.Fatalf("%d open accounts hold %d, the budget says %d and %d", open, sum, fleet.budget.Connections(), fleet.budget.Held())
				}
			},
		})
	})
}

// step makes one change to an account and checks which others it closes.
func (fleet *fleet) step(t *rapid.T, account *budgeter.Account) {
	before := make(map[*budgeter.Account]int64)
	for _, other := range fleet.accounts {
		if held, open := other.Held(); open {
			before[other] = held
		}
	}
	fleet.closed = nil
	bytes := rapid.Int64Range(0, 400_000).Draw(t, "bytes")
	if _, open := account.Held(); !open {
		if err := account.Charge(bytes); err == nil {
			t.Fatalf("a closed connection was charged")
		}
		return
	}
	switch rapid.SampledFrom([]string{"head", "request", "forward", "end", "charge", "close"}).Draw(t, "change") {
	case "head":
		before[account] += bytes + budgeter.RequestBytes
		fleet.phases[account] = budgeter.Fresh
		_ = account.BeginHead(bytes)
	case "request":
		before[account] += bytes
		fleet.phases[account] = budgeter.Reading
		_ = account.BeginRequest(bytes, rapid.SampledFrom([]string{"", "key"}).Draw(t, "client"))
	case "forward":
		if account.Forward() == nil {
			fleet.phases[account] = budgeter.Forwarded
		}
	case "charge":
		before[account] += bytes
		_ = account.Charge(bytes)
	case "end":
		fleet.phases[account] = budgeter.Idle
		account.EndRequest()
	case "close":
		account.End()
		return
	}
	fleet.checkClosed(t, before)
}

func (fleet *fleet) checkClosed(t *rapid.T, before map[*budgeter.Account]int64) {
	for _, closed := range fleet.closed {
		if fleet.phases[closed] == budgeter.Forwarded {
			t.Fatalf("a forwarded request was closed")
		}
		for other, held := range before {
			if _, open := other.Held(); open && fleet.phases[other] != budgeter.Forwarded && held > max(2*before[closed], budgeter.SmallBytes) {
				t.Fatalf("a connection that holds %d was closed while one holds %d", before[closed], held)
			}
		}
	}
}

// TestARequestFindsRoomAmongLargeOnes guards against large bodies that stop short of
// their end and keep an ordinary caller from being served.
func TestARequestFindsRoomAmongLargeOnes(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1<<20, 100)
	for range 20 {
		hostile := fleet.open("hostile")
		_ = hostile.BeginHead(100)
		_ = hostile.BeginRequest(0, "key of its own")
		_ = hostile.Charge(256 << 10)
	}
	ordinary := fleet.open("ordinary")
	c.Assert(ordinary.BeginHead(1000), qt.IsNil)
	c.Assert(ordinary.BeginRequest(0, "key"), qt.IsNil)
	c.Assert(ordinary.Charge(10_000), qt.IsNil)
	c.Assert(ordinary.Forward(), qt.IsNil)
}

// TestARequestFindsRoomAmongSilentConnections guards against connections that send
// nothing and hold the listener's descriptors.
func TestARequestFindsRoomAmongSilentConnections(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1<<20, 10)
	idle := fleet.open("idle")
	idle.EndRequest()
	forwarded := fleet.open("forwarded")
	c.Assert(forwarded.Forward(), qt.IsNil)
	silent := make([]*budgeter.Account, 0, 8)
	for range 8 {
		silent = append(silent, fleet.open("hostile"))
	}
	c.Check(fleet.open("ordinary"), qt.IsNil, qt.Commentf("the others have had no time to send a request"))
	fleet.now = fleet.now.Add(time.Second)
	c.Assert(fleet.open("ordinary"), qt.IsNotNil)
	c.Check(fleet.closed, qt.HasLen, 1)
	c.Check(fleet.closed[0] == silent[0], qt.IsTrue)
	c.Check(fleet.budget.Connections(), qt.Equals, 10)
}

// TestConnectionsWaitWhenAllOthersMayRun guards against the loss of answers to requests
// that were forwarded.
func TestConnectionsWaitWhenAllOthersMayRun(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1<<20, 1)
	forwarded := fleet.open("forwarded")
	c.Assert(forwarded.Forward(), qt.IsNil)
	fleet.now = fleet.now.Add(time.Minute)
	c.Check(fleet.open("late"), qt.IsNil)
	c.Check(fleet.closed, qt.HasLen, 0)
	forwarded.EndRequest()
	c.Check(fleet.open("late"), qt.IsNotNil)
}

// TestOneClientLeavesRoomForForwardedRequestsOfOthers guards against a client account
// whose waiting requests keep those of all others from being forwarded.
func TestOneClientLeavesRoomForForwardedRequestsOfOthers(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(8<<20, 80)
	forwarded := 0
	for range 60 {
		account := fleet.open("proxy")
		c.Assert(account.BeginRequest(100, "large"), qt.IsNil)
		if account.Forward() == nil {
			forwarded++
		}
	}
	c.Check(forwarded, qt.Equals, 35)
	for index := range 10 {
		account := fleet.open("proxy")
		c.Assert(account.BeginRequest(100, fmt.Sprintf("small%d", index)), qt.IsNil)
		c.Check(account.Forward(), qt.IsNil)
	}
}

// TestAClosedRequestIsNotForwarded guards against a refusal that is not true: once the
// connection was closed, its request must not run.
func TestAClosedRequestIsNotForwarded(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1<<20, 10)
	closed := fleet.open("a")
	c.Assert(closed.BeginRequest(700_000, ""), qt.IsNil)
	c.Assert(fleet.open("b").Charge(400_000), qt.IsNil)
	c.Check(closed.Forward(), qt.ErrorIs, budgeter.ErrClosed)
}

// TestAFullBudgetOfForwardedRequestsRefuses guards against closing what may run.
func TestAFullBudgetOfForwardedRequestsRefuses(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1<<20, 10)
	forwarded := fleet.open("a")
	c.Assert(forwarded.BeginRequest(800_000, ""), qt.IsNil)
	c.Assert(forwarded.Forward(), qt.IsNil)
	c.Check(forwarded.Charge(300_000), qt.ErrorIs, budgeter.ErrFull)
	held, open := forwarded.Held()
	c.Check(open, qt.IsTrue)
	c.Check(held, qt.Equals, int64(800_000+budgeter.ConnectionBytes))
}

// TestEqualConnectionsOfTheLargerClientAreClosedFirst guards against one client with
// many small connections that has those of others closed.
func TestEqualConnectionsOfTheLargerClientAreClosedFirst(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(10*(budgeter.ConnectionBytes+1000), 100)
	for index := range 12 {
		address := "many"
		if index%4 == 0 {
			address = fmt.Sprintf("one%d", index)
		}
		c.Assert(fleet.open(address).BeginRequest(1000, ""), qt.IsNil)
	}
	c.Check(slices.Equal(fleet.closed, fleet.accounts[1:3]), qt.IsTrue)
}

// TestANewConnectionFindsRoomAmongSmallOnes guards against a budget that is full of small
// requests that stop, none of which is closed for a new connection.
func TestANewConnectionFindsRoomAmongSmallOnes(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(20*(budgeter.ConnectionBytes+1000), 100)
	for range 20 {
		c.Assert(fleet.open("one address").BeginRequest(1000, ""), qt.IsNil)
	}
	ordinary := fleet.open("one address")
	c.Assert(ordinary, qt.IsNotNil)
	c.Assert(ordinary.BeginHead(1000), qt.IsNil)
	c.Assert(ordinary.BeginRequest(0, "key"), qt.IsNil)
	c.Assert(ordinary.Forward(), qt.IsNil)
	c.Check(fleet.closed[0], qt.Equals, fleet.accounts[0])
}
