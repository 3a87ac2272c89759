package inquirer_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/inquirer"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

const (
	short = 10 * time.Millisecond
	long  = 500 * time.Millisecond
)

// attach returns the questions that a process gets, and a way to end it.
func attach(asker *inquirer.Inquirer) (<-chan *stager.Inquiry, context.CancelFunc) {
	got := make(chan *stager.Inquiry, 100)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_ = asker.Attach(ctx, func(inquiry *stager.Inquiry) error {
			if len(inquiry.Workers) > 0 {
				got <- inquiry
			}
			return nil
		})
	}()
	return got, cancel
}

func question(number int, takes time.Duration, latest modeller.Millis) stager.Inquiry {
	return stager.Inquiry{Step: stager.StepID{Job: stager.JobID(fmt.Sprint(number))}, Workers: []modeller.WorkerName{"w"}, Takes: takes, Latest: latest}
}

func next(c *qt.C, got <-chan *stager.Inquiry) stager.StepID {
	select {
	case inquiry := <-got:
		return inquiry.Step
	case <-time.After(2 * time.Second):
		c.Fatal("no question came")
		return stager.StepID{}
	}
}

func quiet(c *qt.C, got <-chan *stager.Inquiry) {
	select {
	case inquiry := <-got:
		c.Fatalf("question %s came too early", inquiry.Step)
	case <-time.After(50 * time.Millisecond):
	}
}

func ready(c *qt.C, asker *inquirer.Inquirer) {
	probe := question(0, short, 0)
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if asker.Ask(probe) {
			asker.Answered(probe.Step)
			return
		}
	}
	c.Fatal("nobody attached")
}

func TestUrgentQuestionsOvertake(t *testing.T) {
	c := qt.New(t)
	asker := inquirer.New(inquirer.Config{Clock: func() time.Duration { return 0 }})
	c.Assert(asker.Ask(question(9, short, 0)), qt.IsFalse, qt.Commentf("nobody is attached"))
	got, cancel := attach(asker)
	defer cancel()
	ready(c, asker)
	next(c, got)
	for number := 1; number <= 2; number++ {
		asker.Ask(question(number, short, 100))
		c.Check(next(c, got).Job, qt.Equals, stager.JobID(fmt.Sprint(number)))
	}
	asker.Ask(question(3, short, 90))
	asker.Ask(question(4, short, 10))
	quiet(c, got)
	asker.Answered(stager.StepID{Job: "1"})
	c.Check(next(c, got).Job, qt.Equals, stager.JobID("4"))
}

// TestLongQuestionsLeaveSomeFree plays more long questions than there are
// processes; a short one must not wait for any of them.
func TestLongQuestionsLeaveSomeFree(t *testing.T) {
	c := qt.New(t)
	asker := inquirer.New(inquirer.Config{Clock: func() time.Duration { return 0 }})
	var all []<-chan *stager.Inquiry
	for range 4 {
		got, cancel := attach(asker)
		defer cancel()
		all = append(all, got)
	}
	ready(c, asker)
	time.Sleep(50 * time.Millisecond)
	for number := 1; number <= 8; number++ {
		asker.Ask(question(number, long, 1))
	}
	asker.Ask(question(20, short, 1000))
	time.Sleep(100 * time.Millisecond)
	counts := make(map[stager.JobID]int)
	for _, got := range all {
		for len(got) > 0 {
			counts[(<-got).Step.Job]++
		}
	}
	c.Check(counts["20"], qt.Equals, 1)
	delete(counts, "20")
	delete(counts, "0")
	c.Check(counts, qt.HasLen, 3, qt.Commentf("one of four is left for short questions"))
}

func TestQuestionsOfALostProcessAreTold(t *testing.T) {
	c := qt.New(t)
	now := time.Duration(0)
	asker := inquirer.New(inquirer.Config{Clock: func() time.Duration { return now }})
	got, cancel := attach(asker)
	ready(c, asker)
	next(c, got)
	asker.Ask(question(1, long, 0))
	next(c, got)
	c.Check(asker.Lost(), qt.HasLen, 0)
	now = 2 * time.Second
	c.Check(asker.Lost(), qt.DeepEquals, []stager.StepID{{Job: "1"}}, qt.Commentf("overdue"))
	c.Check(asker.Lost(), qt.HasLen, 0)
	cancel()
	for until := time.Now().Add(2 * time.Second); asker.Ask(question(2, long, 0)) && time.Now().Before(until); time.Sleep(time.Millisecond) {
	}
	c.Check(len(asker.Lost()) > 0, qt.IsTrue)
}
