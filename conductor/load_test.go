package conductor_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/dotterelrill/dotterelrill/conductor"
	"github.com/dotterelrill/dotterelrill/inquirer"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// loadClass is a kind of job of the large deployment that the load tests play.
type loadClass struct {
	queue     modeller.QueueName
	perSecond float64
	steps     int
	meanTasks int
	cores     float64
	memoryMiB int64
	runTime   time.Duration
	gang      bool
	// decide and perWorker are how long the adviser takes, good is the share of
	// workers that it approves.
	decide, perWorker time.Duration
	good              float64
	slack             float64
	allowance         modeller.Millis
	rank              int
}

// loadFleet is a fleet and the load that it is played with.
type loadFleet struct {
	classes  []loadClass
	workers  int
	capacity modeller.Resources
	// advisers is how many processes call the adviser.
	advisers int
	// widest bounds the tasks of a step; zero means five times the usual number.
	widest int
	// accounts is how many client accounts hand jobs in, in turn.
	accounts int
	// admits is true if jobs may be refused for the forecast.
	admits bool
	// unordered leaves the ranks of queues and the weights of accounts out, and lets
	// questions wait for an adviser.
	unordered bool
}

// largeFleet is the users' deployment of 1,100 workers, with queues of one rank.
var largeFleet = loadFleet{classes: loadClasses, workers: 1100, capacity: modeller.Resources{MilliProcessors: 32000, MemoryMiB: 131072}, advisers: 150, accounts: 1}

// loadClasses are the requests of the users' large deployment: 1,100 workers of 32
// cores, 80% of which they use on average.
var loadClasses = []loadClass{
	{queue: "season-draw", perSecond: 10, steps: 1, meanTasks: 40, cores: 9, memoryMiB: 34000, runTime: 4 * time.Second, gang: true, decide: 390 * time.Millisecond, perWorker: 5600 * time.Microsecond, good: 0.35, slack: 2.2, allowance: 1000},
	{queue: "weekly-reshuffle", perSecond: 8.4, steps: 2, meanTasks: 40, cores: 5.5, memoryMiB: 20000, runTime: 2700 * time.Millisecond, decide: 140 * time.Millisecond, perWorker: 2 * time.Millisecond, good: 0.45, slack: 4, allowance: 3000},
	{queue: "single-swap", perSecond: 114, steps: 1, meanTasks: 4, cores: 7.8, memoryMiB: 29000, runTime: time.Second, decide: 14 * time.Millisecond, perWorker: 200 * time.Microsecond, good: 0.7, slack: 1.5, allowance: 250},
}

const (
	// commitDelay is the time from a batch's proposal to its commit.
	commitDelay = 12 * time.Millisecond
	callDelay   = 3 * time.Millisecond
	// ticketValidity is how long an approval is valid.
	ticketValidity = 2500 * time.Millisecond
)

// loadRig is a conductor whose workers, advisers and log run in the test process, in
// simulated time: what it measures does not depend on the machine. The processor time of
// the leader is not part of it.
type loadRig struct {
	c         *qt.C
	fleet     loadFleet
	conductor *conductor.Conductor
	inquirer  *inquirer.Inquirer
	startedAt time.Time
	workers   map[modeller.WorkerName]*loadWorker
	// late counts starts that were rejected because their ticket had expired.
	late atomic.Int64
	// starts counts the starts, holds the long polls, and advices the adviser's answers
	// by queue.
	starts, holds atomic.Int64

	mutex     sync.Mutex
	state     *stager.State
	lastBatch chan struct{}
	submitted map[stager.JobID]time.Time
	waits     map[modeller.QueueName][]time.Duration
	// times holds the time from the submission of each job to its completion.
	times   map[modeller.QueueName][]time.Duration
	results map[modeller.QueueName]*loadResult
	advices map[modeller.QueueName]int
}

// loadResult counts the jobs of one class.
type loadResult struct{ submitted, onTime, ended, refused int }

// loadWorker is a simulated worker. Its mutex guards everything but the rig.
type loadWorker struct {
	rig     *loadRig
	name    modeller.WorkerName
	mutex   sync.Mutex
	changed chan struct{}
	running map[stager.TaskID]modeller.Attempt
	ended   []conductor.EndedAttempt
	ends    uint64
}

func newLoadRig(t testing.TB, fleet loadFleet) *loadRig {
	rig := &loadRig{
		c: qt.New(t), fleet: fleet, startedAt: time.Now(), workers: make(map[modeller.WorkerName]*loadWorker), state: stager.New(),
		submitted: make(map[stager.JobID]time.Time), waits: make(map[modeller.QueueName][]time.Duration), times: make(map[modeller.QueueName][]time.Duration), results: make(map[modeller.QueueName]*loadResult), advices: make(map[modeller.QueueName]int),
	}
	deployment := &stager.Deployment{Version: 1, Pools: []stager.Pool{{Name: "p"}}, Accounts: fleet.accountList()}
	for _, class := range fleet.classes {
		rig.results[class.queue] = &loadResult{}
		deployment.Queues = append(deployment.Queues, stager.Queue{
			Name: class.queue, Host: "h", Prefix: "/" + string(class.queue) + "/", Pool: "p", MostFailures: 3, Slack: class.slack, Allowance: class.allowance, Timeout: 3000, Rank: fleet.rankOf(&class),
			Advised: &stager.AdviserTiming{Decide: class.decide, PerWorker: class.perWorker, Validity: ticketValidity},
		})
	}
	rig.c.Assert(rig.state.Apply(&stager.Batch{Term: 1, Sequence: 1, Now: 1, Commands: []stager.Command{{Begin: &stager.Begin{KeepEnded: 100_000}}, {Deploy: deployment}}}), qt.IsNil)
	copied := rig.state.Clone()
	rig.inquirer = inquirer.New(inquirer.Config{Clock: rig.clock})
	config := conductor.Config{
		State: copied, Clock: rig.clock, Now: rig.now, Leads: func() bool { return true }, Propose: rig.propose,
		Start: rig.start, Stop: rig.stop, Hold: rig.hold, Ask: rig.inquirer.Ask, Answered: rig.inquirer.Answered, Lost: rig.inquirer.Lost, Withdraw: rig.inquirer.Withdraw, IdleAdvisers: rig.inquirer.Idle,
		Settings: conductor.Settings{Lease: 6 * time.Second, StaleAfter: 4 * time.Second, GangWait: 5 * time.Second, Admission: fleet.admits}, Logger: log.NewNopLogger(),
	}
	if !fleet.unordered {
		config.AdviserFree = rig.inquirer.Free
	}
	rig.conductor = conductor.New(config)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		// All goroutines must have ended when the simulated time ends.
		time.Sleep(time.Minute)
	})
	go func() { _ = rig.conductor.Run(ctx) }()
	for range fleet.advisers {
		go rig.runAdviser(ctx)
	}
	rig.announceAll(ctx)
	return rig
}

func (rig *loadRig) clock() time.Duration { return time.Since(rig.startedAt) + time.Hour }
func (rig *loadRig) now() modeller.Millis { return modeller.Millis(time.Now().UnixMilli()) }

// announceAll announces all workers, and then each again every 1.5 seconds.
func (rig *loadRig) announceAll(ctx context.Context) {
	announcements := make([]stager.Announcement, 0, rig.fleet.workers)
	for index := range rig.fleet.workers {
		name := modeller.WorkerName(fmt.Sprintf("w%04d", index))
		rig.workers[name] = &loadWorker{rig: rig, name: name, changed: make(chan struct{}), running: make(map[stager.TaskID]modeller.Attempt)}
		announcements = append(announcements, stager.Announcement{Number: 1, Clock: rig.now(), Worker: stager.Worker{
			Name: name, Life: 1, Pool: "p", Rack: modeller.RackName(fmt.Sprint("r", index/20)), Address: string(name),
			Capacity: rig.fleet.capacity,
		}})
	}
	_, refusal := rig.conductor.AnnounceAll(ctx, announcements)
	rig.c.Assert(refusal == nil, qt.IsTrue)
	go func() {
		const batch = 25
		for number := uint64(2); ctx.Err() == nil; number++ {
			for at := 0; at < len(announcements); at += batch {
				part := slices.Clone(announcements[at:min(at+batch, len(announcements))])
				for index := range part {
					part[index].Number, part[index].Clock = number, rig.now()
				}
				_, _ = rig.conductor.AnnounceAll(ctx, part)
				time.Sleep(1500 * time.Millisecond * batch / time.Duration(rig.fleet.workers))
			}
		}
	}()
}

func (rig *loadRig) propose(_ context.Context, batch *stager.Batch) (func(context.Context) error, error) {
	rig.mutex.Lock()
	previous, done := rig.lastBatch, make(chan struct{})
	rig.lastBatch = done
	rig.mutex.Unlock()
	proposedAt := time.Now()
	return func(context.Context) error {
		defer close(done)
		if previous != nil {
			<-previous
		}
		time.Sleep(time.Until(proposedAt.Add(commitDelay)))
		rig.mutex.Lock()
		defer rig.mutex.Unlock()
		err := rig.state.Apply(batch)
		rig.observe(batch)
		return err
	}, nil
}

// observe records the first placements and the ends of jobs. The mutex must be held.
func (rig *loadRig) observe(batch *stager.Batch) {
	now := time.Now()
	for at := range batch.Commands {
		command := &batch.Commands[at]
		if place := command.Place; place != nil && place.Step.Step == 0 && place.Tasks[0].Attempt == 1 && place.Tasks[0].Index == 0 {
			if submittedAt, counted := rig.submitted[place.Step.Job]; counted {
				queue := rig.state.Jobs[place.Step.Job].Queue
				rig.waits[queue] = append(rig.waits[queue], now.Sub(submittedAt))
			}
		}
		if end := command.End; end != nil {
			job := rig.state.Jobs[end.Task.Job]
			if startedAt, open := rig.submitted[job.ID]; open && job.Status() == stager.Completed {
				delete(rig.submitted, job.ID)
				rig.results[job.Queue].ended++
				rig.times[job.Queue] = append(rig.times[job.Queue], now.Sub(startedAt))
				if now.Sub(startedAt) <= rig.classOf(job.ID).objective() {
					rig.results[job.Queue].onTime++
				}
			}
		}
	}
}

// classOf returns the class of a job, whose ID begins with the queue.
func (rig *loadRig) classOf(job stager.JobID) *loadClass {
	return &rig.fleet.classes[slices.IndexFunc(rig.fleet.classes, func(class loadClass) bool { return strings.HasPrefix(string(job), string(class.queue)) })]
}

// objective is within what time a job of the class is worth most: its chain of steps
// and one call for advice on 30 workers a step, times the slack, and the allowance.
func (class *loadClass) objective() time.Duration {
	chain := time.Duration(class.steps) * (class.runTime + class.decide + 30*class.perWorker)
	return time.Duration(float64(chain)*class.slack) + time.Duration(class.allowance)*time.Millisecond
}

func (rig *loadRig) runAdviser(ctx context.Context) {
	busy := make(chan struct{}, 1)
	_ = rig.inquirer.Attach(ctx, func(inquiry *stager.Inquiry) error {
		if len(inquiry.Workers) == 0 {
			return nil
		}
		go func() {
			busy <- struct{}{}
			time.Sleep(callDelay + inquiry.Takes)
			<-busy
			rig.conductor.Advise(rig.advice(inquiry))
		}()
		return nil
	})
}

// advice approves the share of workers that is usual for the step's queue, the same
// ones for each question about the step.
func (rig *loadRig) advice(inquiry *stager.Inquiry) *stager.Advice {
	good := rig.classOf(inquiry.Step.Job).good
	advice := &stager.Advice{Step: inquiry.Step, Part: inquiry.Part, Asked: inquiry.Workers}
	rig.mutex.Lock()
	rig.advices[rig.classOf(inquiry.Step.Job).queue]++
	rig.mutex.Unlock()
	for _, name := range inquiry.Workers {
		if approves(inquiry.Step, name, good) {
			ticket := stager.Ticket(fmt.Sprint(time.Now().Add(ticketValidity).UnixMilli()))
			advice.Tickets = append(advice.Tickets, stager.WorkerTicket{Worker: name, Ticket: ticket})
		}
	}
	return advice
}

func approves(step stager.StepID, worker modeller.WorkerName, good float64) bool {
	hash := uint32(2166136261)
	for _, letter := range step.String() + string(worker) {
		hash = (hash ^ uint32(letter)) * 16777619
	}
	return float64(hash%1000) < 1000*good
}

func (rig *loadRig) start(_ context.Context, target conductor.Target, order *conductor.StartOrder) conductor.Answer {
	rig.starts.Add(1)
	time.Sleep(callDelay)
	worker := rig.workers[target.Worker]
	var until int64
	if _, err := fmt.Sscan(string(order.Ticket), &until); err != nil || time.Now().UnixMilli() > until {
		rig.late.Add(1)
		return conductor.Answer{Outcome: conductor.Rejected, Reason: conductor.BadTicket, Clock: rig.now()}
	}
	runTime := modeller.Millis(0)
	if _, err := fmt.Sscan(order.Payload, &runTime); err != nil {
		return conductor.Answer{Outcome: conductor.Rejected}
	}
	worker.mutex.Lock()
	worker.running[order.Task] = order.Attempt
	worker.mutex.Unlock()
	time.AfterFunc(time.Duration(runTime)*time.Millisecond, func() { worker.end(order.Task, order.Attempt, stager.Succeeding) })
	return conductor.Answer{Outcome: conductor.Obeyed, Clock: rig.now()}
}

func (rig *loadRig) stop(_ context.Context, target conductor.Target, order *conductor.StopOrder) conductor.Answer {
	time.Sleep(callDelay)
	rig.workers[target.Worker].end(order.Task, order.Attempt, stager.Stopping)
	return conductor.Answer{Outcome: conductor.Obeyed, Clock: rig.now()}
}

func (worker *loadWorker) end(task stager.TaskID, attempt modeller.Attempt, how stager.Ending) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	if worker.running[task] != attempt {
		return
	}
	delete(worker.running, task)
	worker.ends++
	worker.ended = append(worker.ended, conductor.EndedAttempt{Number: worker.ends, Task: task, Attempt: attempt, How: how})
	close(worker.changed)
	worker.changed = make(chan struct{})
}

func (rig *loadRig) hold(ctx context.Context, target conductor.Target, order *conductor.HoldOrder) conductor.HoldAnswer {
	rig.holds.Add(1)
	time.Sleep(callDelay)
	worker := rig.workers[target.Worker]
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.ended = slices.DeleteFunc(worker.ended, func(ended conductor.EndedAttempt) bool { return ended.Number <= order.Observed })
	if changed := worker.changed; len(worker.ended) == 0 && order.Wait > 0 {
		worker.mutex.Unlock()
		timer := time.NewTimer(order.Wait)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
		worker.mutex.Lock()
	}
	holdAnswer := conductor.HoldAnswer{Answer: conductor.Answer{Outcome: conductor.Obeyed, Clock: rig.now()}, Life: 1, Ended: slices.Clone(worker.ended)}
	for task, attempt := range worker.running {
		holdAnswer.Running = append(holdAnswer.Running, conductor.RunningAttempt{Task: task, Attempt: attempt, Percent: rand.IntN(100)})
	}
	return holdAnswer
}

// accountName returns the name of a client account.
func accountName(number int) modeller.ClientAccountName {
	return modeller.ClientAccountName(fmt.Sprintf("a%02d", number))
}

// accountList returns the fleet's accounts. Each may hand in twice what it does on average.
func (fleet *loadFleet) accountList() []stager.Account {
	perSecond := 0.0
	for _, class := range fleet.classes {
		perSecond += class.perSecond
	}
	var accounts []stager.Account
	for number := range fleet.accounts {
		account := stager.Account{Name: accountName(number)}
		if !fleet.unordered {
			account.Weight = int64(2*perSecond/float64(fleet.accounts)) + 1
		}
		accounts = append(accounts, account)
	}
	return accounts
}

// rankOf returns the rank of a class's queue.
func (fleet *loadFleet) rankOf(class *loadClass) int {
	if fleet.unordered {
		return 0
	}
	return class.rank
}

// play submits jobs at factor times the usual rate for a span. Jobs of a class come
// at equal intervals; the number of their tasks is drawn.
func (rig *loadRig) play(ctx context.Context, span time.Duration, factor float64) {
	var group sync.WaitGroup
	for index, class := range rig.fleet.classes {
		group.Go(func() {
			random := rand.New(rand.NewPCG(uint64(index), 7))
			until := time.Now().Add(span)
			interval := time.Duration(float64(time.Second) / class.perSecond / factor)
			for number := 0; time.Now().Before(until); number++ {
				id := stager.JobID(fmt.Sprintf("%s-%d-%d", class.queue, until.UnixNano(), number))
				go rig.submit(ctx, id, accountName(number%rig.fleet.accounts), &class, 1+int(random.ExpFloat64()*float64(class.meanTasks-1)))
				time.Sleep(interval)
			}
		})
	}
	group.Wait()
}

func (rig *loadRig) submit(ctx context.Context, id stager.JobID, account modeller.ClientAccountName, class *loadClass, tasks int) {
	submit := &stager.Submit{ID: id, ClientAccount: account, Queue: class.queue, Payload: fmt.Sprint(class.runTime.Milliseconds())}
	widest := 5 * class.meanTasks
	if rig.fleet.widest > 0 {
		widest = min(widest, rig.fleet.widest)
	}
	for index := range class.steps {
		step := stager.Step{
			Tasks: uint32(min(tasks, widest)), Size: modeller.Resources{MilliProcessors: int64(class.cores * 1000), MemoryMiB: class.memoryMiB},
			RunTime: modeller.Millis(class.runTime.Milliseconds()), Gang: class.gang,
		}
		if index > 0 {
			step.After = []uint32{uint32(index - 1)}
		}
		submit.Steps = append(submit.Steps, step)
	}
	rig.mutex.Lock()
	rig.submitted[id] = time.Now()
	rig.results[class.queue].submitted++
	rig.mutex.Unlock()
	if refusal := rig.conductor.Submit(ctx, submit); refusal != nil {
		rig.mutex.Lock()
		delete(rig.submitted, id)
		rig.results[class.queue].refused++
		rig.mutex.Unlock()
	}
}

// report returns, for each class, the share of jobs that were on time of those whose
// time was over, and the median and 95th percentile of the waits for the first start.
func (rig *loadRig) report() string {
	rig.mutex.Lock()
	defer rig.mutex.Unlock()
	text := fmt.Sprintf("%d starts, %d rejected for their tickets; %d holds; answers of advisers: %v\n", rig.starts.Load(), rig.late.Load(), rig.holds.Load(), rig.advices)
	for _, class := range rig.fleet.classes {
		waits, result := slices.Sorted(slices.Values(rig.waits[class.queue])), rig.results[class.queue]
		if len(waits) == 0 {
			continue
		}
		text += fmt.Sprintf("%-18s submitted %4d refused %4d ended %4d on time %4d; first start: half within %s, 95%% within %s\n", class.queue, result.submitted, result.refused, result.ended, result.onTime,
			waits[len(waits)/2].Round(time.Millisecond), waits[len(waits)*95/100].Round(time.Millisecond))
	}
	return text
}

// firstStarts returns within what time half and 95 of 100 of the jobs that have started
// were given their first start.
func (rig *loadRig) firstStarts() (half, most time.Duration) {
	rig.mutex.Lock()
	defer rig.mutex.Unlock()
	var all []time.Duration
	for _, waits := range rig.waits {
		all = append(all, waits...)
	}
	slices.Sort(all)
	return all[len(all)/2], all[len(all)*95/100]
}

// onTime returns the share of the jobs of a class that ended on time, of those that
// have ended or whose time is over.
func (rig *loadRig) onTime(class *loadClass) float64 {
	rig.mutex.Lock()
	defer rig.mutex.Unlock()
	result, overdue := rig.results[class.queue], 0
	for id, at := range rig.submitted {
		if rig.classOf(id) == class && time.Since(at) > class.objective() {
			overdue++
		}
	}
	return float64(result.onTime) / float64(max(1, result.ended+overdue))
}

// TestTheLargeFleetServesItsUsualLoad plays the load of 1,100 workers, of whose room 80%
// is used. Half of the jobs must start within 120 ms and 95 of 100 within 1.5 s, the
// users' target.
func TestTheLargeFleetServesItsUsualLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		rig := newLoadRig(t, largeFleet)
		rig.play(t.Context(), 20*time.Second, 1)
		t.Log("\n" + rig.report())
		half, most := rig.firstStarts()
		c.Check(half <= 120*time.Millisecond, qt.IsTrue, qt.Commentf("half within %s", half))
		c.Check(most <= 1500*time.Millisecond, qt.IsTrue, qt.Commentf("95%% within %s", most))
	})
}

// TestABurstPassesWithoutHarm plays a burst of all jobs at the highest rate of the
// deployment's days. At least 78% of each class must be on time, the users' target for
// days with trouble, and the short urgent jobs must not wait for the wide ones.
func TestABurstPassesWithoutHarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		rig := newLoadRig(t, largeFleet)
		rig.play(t.Context(), 5*time.Second, 1)
		rig.play(t.Context(), 4*time.Second, 2.3)
		rig.play(t.Context(), 15*time.Second, 1)
		t.Log("\n" + rig.report())
		for at := range loadClasses {
			onTime := rig.onTime(&loadClasses[at])
			c.Check(onTime >= 0.78, qt.IsTrue, qt.Commentf("%s: %.3f on time", loadClasses[at].queue, onTime))
		}
		half, _ := rig.firstStarts()
		c.Check(half <= 120*time.Millisecond, qt.IsTrue, qt.Commentf("half within %s", half))
	})
}

// TestTheUsualLoadIsNotRefused guards against admission control that refuses jobs while
// the fleet has room for all of them.
func TestTheUsualLoadIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fleet := largeFleet
		fleet.admits = true
		rig := newLoadRig(t, fleet)
		rig.play(t.Context(), 8*time.Second, 1)
		t.Log("\n" + rig.report())
		for at := range loadClasses {
			rig.mutex.Lock()
			result := *rig.results[loadClasses[at].queue]
			rig.mutex.Unlock()
			c.Check(result.refused, qt.Equals, 0, qt.Commentf("%s", loadClasses[at].queue))
		}
	})
}
