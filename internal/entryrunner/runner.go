package entryrunner

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"

	"github.com/dotterelrill/dotterelrill/callerserver"
	"github.com/dotterelrill/dotterelrill/certifier"
	"github.com/dotterelrill/dotterelrill/gatherer"
	"github.com/dotterelrill/dotterelrill/limiter"
	"github.com/dotterelrill/dotterelrill/locator"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/operatorserver"
	"github.com/dotterelrill/dotterelrill/responder"
	"github.com/dotterelrill/dotterelrill/workerserver"
)

// Runner is the entry of one process.
type Runner struct {
	settings  *Settings
	logger    log.Logger
	locator   *locator.Locator
	certifier *certifier.Certifier
	workers   *workerserver.Client
	limiter   *limiter.Limiter
	gatherer  *gatherer.Gatherer[messenger.Heartbeat, messenger.HeartbeatAnswer]
	// configuration is nil until the first one is received. Its revision never
	// decreases.
	configuration atomic.Pointer[messenger.Configuration]
	// confirmedAt is when the leader last confirmed that the configuration is
	// current, in nanoseconds since startedAt.
	confirmedAt atomic.Int64
	startedAt   time.Time
	// stopping is true once the entry accepts no new submissions.
	stopping atomic.Bool
	// waitContext is done once requests may no longer wait for an outcome or
	// follow the history; cancelWaits cancels it.
	waitContext context.Context
	cancelWaits context.CancelFunc
	metrics     *entryMetrics
}

// New returns an entry that serves once Run is called.
func New(settings *Settings, logger log.Logger) *Runner {
	connectionsPerEntry := settings.WorkerConnections / settings.MostEntries
	certifier := certifier.New(certifier.Config{Files: settings.TLS, Logger: logger})
	waitContext, cancelWaits := context.WithCancel(context.Background())
	runner := &Runner{
		certifier: certifier,
		settings:  settings,
		logger:    logger,
		locator:   locator.New(locator.Config{Addresses: settings.Cells, Transport: certifier.TransportCredentials()}),
		workers:   workerserver.NewClient(int(connectionsPerEntry), certifier),
		limiter: limiter.New(limiter.Config{
			Rate:         float64(settings.AdmissionRate),
			Burst:        int(settings.AdmissionBurst),
			MostInFlight: int(settings.MostInFlight),
		}),
		startedAt:   time.Now(),
		waitContext: waitContext,
		cancelWaits: cancelWaits,
		metrics:     newEntryMetrics(),
	}
	runner.gatherer = gatherer.New(gatherer.Config[messenger.Heartbeat, messenger.HeartbeatAnswer]{Wait: heartbeatBatchWait, MaxBatch: maxHeartbeatBatch, Timeout: heartbeatBatchTimeout, Send: runner.sendHeartbeats})
	return runner
}

func (runner *Runner) cellName() modeller.CellName {
	return modeller.CellName(runner.settings.CellName)
}

// Run serves until the context ends, then finishes the requests in flight. It
// returns the error of the first part of the entry that fails.
func (runner *Runner) Run(ctx context.Context) error {
	defer runner.locator.Close()
	if err := runner.certifier.Load(); err != nil {
		return err
	}
	var group run.Group
	runner.addServer(ctx, &group)
	runner.addMetrics(&group)
	runner.addActor(&group, runner.certifier.Run)
	runner.addActor(&group, runner.gatherer.Run)
	runner.addActor(&group, runner.runSessions)
	return group.Run()
}

// addActor adds a function to the group that runs until its context ends.
func (runner *Runner) addActor(group *run.Group, execute func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		execute(ctx)
		return nil
	}, func(error) { cancel() })
}

// router returns the HTTP handler of all three interfaces.
func (runner *Runner) router() http.Handler {
	router := echo.New()
	router.HideBanner = true
	router.HTTPErrorHandler = responder.HandleError
	router.Use(runner.metrics.observeRequest)
	callerserver.New(callerserver.Config{
		BodyLimit: runner.settings.BodyLimit,
		Admit:     runner.admit,
		Propose:   runner.propose,
		Job:       runner.job,
	}).Register(router)
	operatorserver.New(operatorserver.Config{
		BodyLimit: runner.settings.BodyLimit,
		Operators: runner.settings.operators,
		Propose:   runner.propose,
		Query:     runner.query,
		Job:       runner.job,
		Member:    runner.member,
		History:   runner.history,
	}).Register(router)
	workerserver.New(workerserver.Config{BodyLimit: runner.settings.BeatLimit, Authenticated: runner.certifier.Authenticated, Beat: runner.beat}).Register(router)
	return router
}
