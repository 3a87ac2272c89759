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

// attach attaches a process, and returns the inquiries that it gets and a
// function that detaches it.
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

func newInquiry(number int, takes time.Duration, latest modeller.Millis) stager.Inquiry {
	return stager.Inquiry{Step: stager.StepID{Job: stager.JobID(fmt.Sprint(number))}, Workers: []modeller.WorkerName{"w"}, Takes: takes, Latest: latest}
}

func inquiryID(number int) stager.InquiryID {
	return stager.InquiryID{Step: stager.StepID{Job: stager.JobID(fmt.Sprint(number))}}
}

func next(c *qt.C, got <-chan *stager.Inquiry) stager.StepID {
	select {
	case inquiry := <-got:
		return inquiry.Step
	case <-time.After(2 * time.Second):
		c.Fatal("no inquiry came")
		return stager.StepID{}
	}
}

func expectNone(c *qt.C, got <-chan *stager.Inquiry) {
	select {
	case inquiry := <-got:
		c.Fatalf("inquiry %s came too early", inquiry.Step)
	case <-time.After(50 * time.Millisecond):
	}
}

func waitUntilAttached(c *qt.C, asker *inquirer.Inquirer) {
	probe := newInquiry(0, short, 0)
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if asker.Ask(probe) {
			asker.Answered(probe.ID())
			return
		}
	}
	c.Fatal("no process attached")
}

func TestUrgentInquiriesOvertake(t *testing.T) {
	c := qt.New(t)
	asker := inquirer.New(inquirer.Config{Clock: func() time.Duration { return 0 }})
	c.Assert(asker.Ask(newInquiry(9, short, 0)), qt.IsFalse, qt.Commentf("no process is attached"))
	got, cancel := attach(asker)
	defer cancel()
	waitUntilAttached(c, asker)
	next(c, got)
	for number := 1; number <= 2; number++ {
		asker.Ask(newInquiry(number, short, 100))
		c.Check(next(c, got).Job, qt.Equals, stager.JobID(fmt.Sprint(number)))
	}
	asker.Ask(newInquiry(3, short, 90))
	asker.Ask(newInquiry(4, short, 10))
	expectNone(c, got)
	asker.Answered(stager.InquiryID{Step: stager.StepID{Job: "1"}})
	c.Check(next(c, got).Job, qt.Equals, stager.JobID("4"))
}

// TestLongInquiriesLeaveProcessesFree asks more long inquiries than there are
// processes; a short one must not wait for any of them.
func TestLongInquiriesLeaveProcessesFree(t *testing.T) {
	c := qt.New(t)
	asker := inquirer.New(inquirer.Config{Clock: func() time.Duration { return 0 }})
	var all []<-chan *stager.Inquiry
	for range 4 {
		got, cancel := attach(asker)
		defer cancel()
		all = append(all, got)
	}
	waitUntilAttached(c, asker)
	time.Sleep(50 * time.Millisecond)
	for number := 1; number <= 8; number++ {
		asker.Ask(newInquiry(number, long, 1))
	}
	asker.Ask(newInquiry(20, short, 1000))
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
	c.Check(counts, qt.HasLen, 3, qt.Commentf("one of four is left for short inquiries"))
}

func TestInquiriesOfALostProcessAreReported(t *testing.T) {
	c := qt.New(t)
	now := time.Duration(0)
	asker := inquirer.New(inquirer.Config{Clock: func() time.Duration { return now }})
	got, cancel := attach(asker)
	waitUntilAttached(c, asker)
	next(c, got)
	asker.Ask(newInquiry(1, long, 0))
	next(c, got)
	c.Check(asker.Lost(), qt.HasLen, 0)
	now = 2 * time.Second
	c.Check(asker.Lost(), qt.DeepEquals, []stager.InquiryID{{Step: stager.StepID{Job: "1"}}}, qt.Commentf("overdue"))
	c.Check(asker.Lost(), qt.HasLen, 0)
	cancel()
	for until := time.Now().Add(2 * time.Second); asker.Ask(newInquiry(2, long, 0)) && time.Now().Before(until); time.Sleep(time.Millisecond) {
	}
	c.Check(len(asker.Lost()) > 0, qt.IsTrue)
}

// TestThousandsOfWaitingInquiriesCostLittle lets 3,000 inquiries wait, as after a lost
// leader on a large deployment. An answer must not cost a look at every process for each
// of them; the bound is a hundred times what it takes then.
func TestThousandsOfWaitingInquiriesCostLittle(t *testing.T) {
	c := qt.New(t)
	asker := inquirer.New(inquirer.Config{Clock: func() time.Duration { return 0 }})
	for range 150 {
		_, cancel := attach(asker)
		defer cancel()
	}
	waitUntilAttached(c, asker)
	time.Sleep(50 * time.Millisecond)
	for number := 1; number <= 3000; number++ {
		asker.Ask(newInquiry(number, long, 1))
	}
	startedAt := time.Now()
	for range 100 {
		asker.Answered(stager.InquiryID{Step: stager.StepID{Job: "unknown"}})
	}
	c.Check(time.Since(startedAt) < 100*time.Millisecond, qt.IsTrue, qt.Commentf("%s for 100 answers", time.Since(startedAt)))
	c.Check(asker.Idle(), qt.Equals, 0)
}

func TestAWithdrawnInquiryIsNotSent(t *testing.T) {
	c := qt.New(t)
	asker := inquirer.New(inquirer.Config{Clock: func() time.Duration { return 0 }})
	got, cancel := attach(asker)
	defer cancel()
	waitUntilAttached(c, asker)
	next(c, got)
	for number := 1; number <= 3; number++ {
		asker.Ask(newInquiry(number, long, modeller.Millis(number)))
	}
	c.Check(next(c, got).Job, qt.Equals, stager.JobID("1"))
	asker.Withdraw(stager.StepID{Job: "2"})
	asker.Answered(stager.InquiryID{Step: stager.StepID{Job: "1"}})
	c.Check(next(c, got).Job, qt.Equals, stager.JobID("3"))
}

// TestALostAnswerDoesNotKeepItsProcessFromWork loses an answer while its process stays
// attached. Once such answers had been lost at all processes, no adviser was asked any more.
func TestALostAnswerDoesNotKeepItsProcessFromWork(t *testing.T) {
	c := qt.New(t)
	now := time.Duration(0)
	asker := inquirer.New(inquirer.Config{Clock: func() time.Duration { return now }})
	got, cancel := attach(asker)
	defer cancel()
	waitUntilAttached(c, asker)
	next(c, got)
	asker.Ask(newInquiry(1, long, 0))
	next(c, got)
	now = long + time.Second
	c.Check(asker.Lost(), qt.HasLen, 1)
	asker.Ask(newInquiry(2, long, 0))
	expectNone(c, got)
	now += 2 * time.Second
	c.Check(asker.Lost(), qt.HasLen, 0)
	c.Check(next(c, got).Job, qt.Equals, stager.JobID("2"))
}

// TestFreeTellsWhetherAnInquiryWouldWait guards against inquiries that wait while their
// steps keep room idle.
func TestFreeTellsWhetherAnInquiryWouldWait(t *testing.T) {
	c := qt.New(t)
	asker := inquirer.New(inquirer.Config{Clock: func() time.Duration { return 0 }})
	c.Check(asker.Free(long), qt.IsFalse, qt.Commentf("no process is attached"))
	for range 8 {
		_, cancel := attach(asker)
		defer cancel()
	}
	waitUntilAttached(c, asker)
	time.Sleep(50 * time.Millisecond)
	sent := 0
	for ; asker.Free(long); sent++ {
		asker.Ask(newInquiry(sent, long, 1))
	}
	c.Check(sent, qt.Equals, 7, qt.Commentf("one of eight is left for short inquiries"))
	c.Check(asker.Free(short), qt.IsTrue)
	asker.Ask(newInquiry(20, long, 1))
	c.Check(asker.Free(long), qt.IsFalse)
	c.Check(asker.Free(short), qt.IsTrue, qt.Commentf("a long inquiry waits"))
	asker.Withdraw(newInquiry(20, long, 1).Step)
	asker.Answered(inquiryID(0))
	c.Check(asker.Free(long), qt.IsTrue)
}

// TestABurstOfShortInquiriesKeepsMoreProcessesFree guards against urgent short inquiries
// that wait behind long ones: the processes kept free follow the load of short ones of the
// last second.
func TestABurstOfShortInquiriesKeepsMoreProcessesFree(t *testing.T) {
	c := qt.New(t)
	now := time.Duration(0)
	asker := inquirer.New(inquirer.Config{Clock: func() time.Duration { return now }})
	for range 16 {
		_, cancel := attach(asker)
		defer cancel()
	}
	waitUntilAttached(c, asker)
	time.Sleep(50 * time.Millisecond)
	freeForLong := func() int {
		sent := 0
		for ; asker.Free(long); sent++ {
			asker.Ask(newInquiry(1000+sent, long, 1))
		}
		for number := range sent {
			asker.Answered(inquiryID(1000 + number))
		}
		return sent
	}
	c.Check(freeForLong(), qt.Equals, 14)
	// 2.9 seconds of work for advisers in one second keep three processes busy.
	for number := range int(2900 * time.Millisecond / short) {
		for !asker.Free(short) {
			time.Sleep(time.Millisecond)
		}
		asker.Ask(newInquiry(number, short, 1))
		asker.Answered(inquiryID(number))
	}
	// The processes take what was queued for them.
	time.Sleep(100 * time.Millisecond)
	c.Check(freeForLong(), qt.Equals, 10)
	now += 10 * time.Second
	c.Check(freeForLong(), qt.Equals, 14)
}

// TestWaitingInquiriesAreLostWithTheLastProcess guards against a step that keeps the room of
// its question for as long as no process is attached.
func TestWaitingInquiriesAreLostWithTheLastProcess(t *testing.T) {
	c := qt.New(t)
	asker := inquirer.New(inquirer.Config{Clock: func() time.Duration { return 0 }})
	got, cancel := attach(asker)
	waitUntilAttached(c, asker)
	next(c, got)
	asker.Ask(newInquiry(1, long, 0))
	next(c, got)
	asker.Ask(newInquiry(2, long, 0))
	cancel()
	lost := make(map[stager.InquiryID]bool)
	for until := time.Now().Add(2 * time.Second); len(lost) < 2 && time.Now().Before(until); time.Sleep(time.Millisecond) {
		for _, id := range asker.Lost() {
			lost[id] = true
		}
	}
	c.Check(lost, qt.DeepEquals, map[stager.InquiryID]bool{inquiryID(1): true, inquiryID(2): true})
}

// TestLongInquiriesAreNotStarvedByShortOnes guards against a long inquiry that is never sent
// while less urgent short ones follow one another: a process was free for it only once it
// had none of them in flight.
func TestLongInquiriesAreNotStarvedByShortOnes(t *testing.T) {
	c := qt.New(t)
	asker := inquirer.New(inquirer.Config{Clock: func() time.Duration { return 0 }})
	got, cancel := attach(asker)
	defer cancel()
	waitUntilAttached(c, asker)
	next(c, got)
	asker.Ask(newInquiry(1, short, 1000))
	for number := 2; number <= 20; number++ {
		// The long inquiry is the more urgent one, and comes first whenever an answer arrives.
		if asker.Free(long) {
			return
		}
		asker.Ask(newInquiry(number, short, 1000))
		asker.Answered(stager.InquiryID{Step: next(c, got)})
	}
	c.Fatal("no process was free for a long inquiry")
}
