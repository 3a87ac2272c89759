package planner_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/planner"
)

// TestRetriesOfAnAccountStayWithinItsBudget checks that a client account whose
// tasks all fail gets no more early retries than its initial budget and its
// first attempts allow, because its retries would delay other accounts.
func TestRetriesOfAnAccountStayWithinItsBudget(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(1, planner.Mechanisms{})
	fixture.template("failing", 1000)
	for index := range 50 {
		fixture.join(fmt.Sprintf("w%d", index), 8, fmt.Sprintf("r%d", index%5), "dc1")
	}
	const tasks = 300
	fixture.submit("failing", "bulk", tasks, 1)
	retries := 0
	for range 100 {
		fixture.now += 100
		fixture.plan()
		for _, id := range fixture.live() {
			if fixture.state.Jobs[id.Job].Tasks[id.Index].Attempt > 1 {
				retries++
			}
			fixture.end(id, modeller.PhaseFailed)
		}
	}
	c.Check(retries >= 50, qt.IsTrue, qt.Commentf("%d retries within 10 s", retries))
	c.Check(retries <= 50+tasks/5, qt.IsTrue, qt.Commentf("%d retries within 10 s", retries))
}
