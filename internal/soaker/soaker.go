// Package soaker is a fault-injection test: it runs the real programs on loopback
// through a seeded schedule of faults while callers and operators use them, and
// then checks the system's invariants against the replicas' histories, the
// stand-in workers' records of what they ran, and the answers that callers and
// operators recorded.
//
// The seed determines the schedule and the workload. The outcome also depends on
// the machine's timing, so running a seed again approximates the first run but
// doesn't reproduce it exactly. Short runs are tests; make soak starts longer
// ones. The package is not part of the product.
package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/internal/forwarder"
	"github.com/dotterelrill/dotterelrill/internal/launcher"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// Config describes a run.
type Config struct {
	Seed     uint64
	Folder   string
	Programs string
	// FaultTime is how long faults are injected.
	FaultTime time.Duration
	// Settle is how long the system may take after the last fault until every
	// accepted job has an outcome.
	Settle time.Duration
	// Gap bounds the random part of the time between the starts of two faults.
	Gap time.Duration
	// Schedule, if set, replaces the schedule generated from the seed.
	Schedule []Fault
}

// Report is the result of a run.
type Report struct {
	// Violations lists the violated invariants; a successful run has none.
	Violations []string
	// Events lists the injected faults with their times since the run's start, as
	// context for a failure.
	Events   []string
	Jobs     int
	Outcomes map[string]int
	Attempts int
	Resends  int
	Changes  int
}

// String summarises the run in one line.
func (report *Report) String() string {
	return fmt.Sprintf("%d faults, %d jobs accepted %v, %d attempts started, %d requests sent again, %d configuration changes, %d violations",
		len(report.Events), report.Jobs, report.Outcomes, report.Attempts, report.Resends, report.Changes, len(report.Violations))
}

// Size of the fleet. callerCount is the number of callers of each team.
const (
	cellCount   = 3
	entryCount  = 3
	workerCount = 5
	callerCount = 2
)

// The lease term is short, so that leases expire within short runs.
const (
	leaseTerm      = 2 * time.Second
	cellSettings   = "[Log]\nSnapshotEvery = 400\n[Lease]\nTerm = 2s\nFresh = 1s\n"
	workerSettings = "BeatInterval = 200ms\nShutdownTimeout = 5s"
)

// Soaker holds the state of one run.
type Soaker struct {
	config        Config
	network       *forwarder.Network
	fleet         *launcher.Fleet
	teams         []*team
	startedAt     time.Time
	injector      *injector
	submissionLog *submissionLog

	mutex  sync.Mutex
	report Report
}

// Run injects the schedule's faults under load and checks the invariants. Violated
// invariants are in the report; the error is for a fleet that didn't start.
func Run(ctx context.Context, config Config) (*Report, error) {
	soaker, err := start(ctx, config, workerConfigs(config.Seed))
	if err != nil {
		return nil, err
	}
	defer soaker.fleet.Kill()
	soaker.runLoad(ctx)
	soaker.settle(ctx)
	soaker.check(ctx)
	return &soaker.report, nil
}

// start starts a fleet whose connections run through a network that can be cut,
// and applies the teams' first templates.
func start(ctx context.Context, config Config, workers []launcher.Worker) (*Soaker, error) {
	soaker := &Soaker{config: config, network: forwarder.NewNetwork(), submissionLog: newSubmissionLog(), startedAt: time.Now()}
	soaker.report.Outcomes = make(map[string]int)
	fleet, err := launcher.Start(launcher.Config{
		Folder: config.Folder, Programs: config.Programs,
		Cells: cellCount, Entries: entryCount, Workers: workers,
		CellSettings: cellSettings, Network: soaker.network,
	})
	if err != nil {
		return nil, err
	}
	soaker.fleet = fleet
	soaker.injector = newInjector(soaker)
	err = fleet.AwaitReady(ctx)
	if err == nil {
		err = soaker.configure(ctx)
	}
	if err != nil {
		fleet.Kill()
		return nil, err
	}
	return soaker, nil
}

// workerConfigs returns the configurations of the stand-in workers. Depending on
// the seed, the first one fails either all of its tasks or none, and the second
// one loses some messages.
func workerConfigs(seed uint64) []launcher.Worker {
	random := rand.New(rand.NewPCG(seed, 1))
	all := make([]launcher.Worker, workerCount)
	for at := range all {
		all[at] = launcher.Worker{
			Name:       fmt.Sprintf("worker%d", at+1),
			DataCentre: fmt.Sprintf("dc%d", at%entryCount+1),
			Rack:       fmt.Sprintf("r%d", at/2+1),
			Settings:   workerSettings,
		}
	}
	all[0].Faults = fmt.Sprintf("FailPercent = %d\n", random.IntN(2)*100)
	all[1].Faults = fmt.Sprintf("LosePercent = %d\nAnswerLosePercent = %d\n", random.IntN(20), random.IntN(20))
	return all
}

// runLoad runs callers and operators while faults are injected.
func (soaker *Soaker) runLoad(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, soaker.config.FaultTime)
	defer cancel()
	var group sync.WaitGroup
	for index, team := range soaker.teams {
		for number := range callerCount {
			random := rand.New(rand.NewPCG(soaker.config.Seed, uint64(100+10*index+number)))
			name := fmt.Sprintf("%s-%d", team.account, number)
			group.Go(func() { soaker.runCaller(ctx, name, team, random) })
		}
		group.Go(func() { soaker.runOperators(ctx, team, rand.New(rand.NewPCG(soaker.config.Seed, uint64(200+index)))) })
		group.Go(func() { soaker.rotateKeys(ctx, team, rand.New(rand.NewPCG(soaker.config.Seed, uint64(300+index)))) })
	}
	group.Go(func() { soaker.injector.run(ctx, Schedule(soaker.config)) })
	group.Wait()
}

// settle ends all faults and waits until each accepted job has an outcome.
func (soaker *Soaker) settle(ctx context.Context) {
	soaker.injector.heal()
	soaker.recordEvent("healed")
	ctx, cancel := context.WithTimeout(ctx, soaker.config.Settle)
	defer cancel()
	if err := soaker.fleet.AwaitReady(ctx); err != nil {
		soaker.recordViolation("every process serves again after the faults have ended", "%v", err)
		return
	}
	soaker.decideSubmissions(ctx)
	soaker.awaitOutcomes(ctx)
}

// recordViolation adds a violated invariant to the report.
func (soaker *Soaker) recordViolation(invariant, format string, args ...any) {
	soaker.mutex.Lock()
	defer soaker.mutex.Unlock()
	soaker.report.Violations = append(soaker.report.Violations, invariant+": "+fmt.Sprintf(format, args...))
}

// recordEvent adds an event, with the time since the run's start, to the report.
func (soaker *Soaker) recordEvent(format string, args ...any) {
	soaker.mutex.Lock()
	defer soaker.mutex.Unlock()
	at := time.Since(soaker.startedAt).Round(time.Millisecond)
	soaker.report.Events = append(soaker.report.Events, fmt.Sprintf("%8s %s", at, fmt.Sprintf(format, args...)))
}

func (soaker *Soaker) increment(counter *int) {
	soaker.mutex.Lock()
	defer soaker.mutex.Unlock()
	*counter++
}

// team is a client account with its API key.
type team struct {
	account modeller.ClientAccountName
	key     string
	// revision is the template's revision last known to the operators.
	revision modeller.Revision
}

const templateText = `[Template]
Name = ACCOUNT
ClientAccount = ACCOUNT
Share = SHARE
LimitMilliProcessors = 48000
LimitMemoryMiB = 65536
LimitTasks = 24
KeyHashes = HASH
[Queue.ordinary]
Kind = Batch
MilliProcessors = 2000
MemoryMiB = 512
RunTime = 100ms
MaxRetries = 20
[Queue.once]
Kind = Batch
Urgency = Urgent
Idempotent = false
MilliProcessors = 1000
MemoryMiB = 512
RunTime = 100ms
[Queue.gang]
Kind = Gang
MilliProcessors = 2000
MemoryMiB = 512
RunTime = 100ms
MaxRetries = 20
[Queue.service]
Kind = Service
Urgency = Deferrable
MilliProcessors = 1000
MemoryMiB = 256
RunTime = 1h
MaxRetries = 100
`

func (team *team) template(hash modeller.KeyHash, share int) string {
	return strings.NewReplacer("ACCOUNT", string(team.account), "HASH", string(hash), "SHARE", fmt.Sprint(share)).Replace(templateText)
}

// errNotSettled reports that a request was not decided within Config.Settle.
var errNotSettled = eris.New("no decision within the settle time")
