package standinrunner

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/certifier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/responder"
	"github.com/dotterelrill/dotterelrill/workerserver"
)

// Runner runs one or more stand-in workers in one process.
type Runner struct {
	settings  *Settings
	logger    log.Logger
	workers   map[modeller.WorkerName]*worker
	http      *http.Client
	certifier *certifier.Certifier
}

const (
	// bodyLimit bounds a request's body, in bytes.
	bodyLimit         = 4 << 20
	heartbeatTimeout  = 4 * time.Second
	fenceInterval     = 20 * time.Millisecond
	leavePollInterval = 50 * time.Millisecond
	// leaveDivisor reserves a tenth of the ShutdownTimeout for the last
	// heartbeat, which is sent after the tasks have ended.
	leaveDivisor = 10
)

// New returns a Runner that has not started yet. It opens the record file and
// loads the certificates.
func New(settings *Settings, logger log.Logger) (*Runner, error) {
	record, err := openRecord(settings.RecordFile)
	if err != nil {
		return nil, err
	}
	runner := &Runner{
		settings:  settings,
		logger:    logger,
		workers:   make(map[modeller.WorkerName]*worker),
		certifier: certifier.New(certifier.Config{Files: settings.TLS, Logger: logger}),
	}
	if err := runner.certifier.Load(); err != nil {
		return nil, err
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	runner.certifier.ConfigureTransport(transport)
	runner.http = &http.Client{Transport: transport, Timeout: heartbeatTimeout}
	for index := range settings.Count {
		name := modeller.WorkerName(settings.Name)
		if settings.Count > 1 {
			name = modeller.WorkerName(fmt.Sprintf("%s-%04d", settings.Name, index+1))
		}
		runner.workers[name] = newWorker(settings, name, record)
	}
	return runner, nil
}

// Run serves starts and stops and sends heartbeats until the context is done.
// Then it waits for running tasks to end, at most for the ShutdownTimeout, and
// reports that the workers have ended.
func (runner *Runner) Run(ctx context.Context) error {
	router := echo.New()
	router.HTTPErrorHandler = responder.HandleError
	router.POST(workerserver.StartPath, runner.handleStart)
	router.POST(workerserver.StopPath, runner.handleStop)
	server := &http.Server{Handler: router, ReadHeaderTimeout: time.Second}
	var group run.Group
	group.Add(func() error {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", cmp.Or(runner.settings.ListenAddress, runner.settings.Address))
		if err == nil {
			err = runner.certifier.Serve(server, listener)
		}
		if !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve starts and stops")
		}
		return nil
	}, func(error) { _ = server.Close() })
	runner.addCertificateReload(&group)
	for _, worker := range runner.workers {
		runner.addWorker(ctx, &group, worker)
	}
	return group.Run()
}

// addCertificateReload adds the actor that loads certificates when their files
// change.
func (runner *Runner) addCertificateReload(group *run.Group) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		runner.certifier.Run(ctx)
		return nil
	}, func(error) { cancel() })
}

func (runner *Runner) addWorker(ctx context.Context, group *run.Group, worker *worker) {
	actorCtx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		stop := context.AfterFunc(ctx, func() { runner.shutDownWorker(worker, cancel) })
		defer stop()
		go runner.runFencing(actorCtx, worker)
		runner.runHeartbeats(actorCtx, worker)
		return nil
	}, func(error) { cancel() })
}

// shutDownWorker waits for the worker's tasks to end, reports that the worker
// has ended and ends its actor.
func (runner *Runner) shutDownWorker(worker *worker, cancel context.CancelFunc) {
	defer cancel()
	worker.startLeaving()
	deadline := time.Now().Add(runner.settings.ShutdownTimeout - runner.settings.ShutdownTimeout/leaveDivisor)
	for !worker.finishLeaving() && time.Now().Before(deadline) {
		time.Sleep(leavePollInterval)
	}
	if worker.finishLeaving() {
		runner.send(worker, worker.heartbeat())
	}
}

func (runner *Runner) runFencing(ctx context.Context, worker *worker) {
	ticker := time.NewTicker(fenceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			worker.fence()
		}
	}
}

func (runner *Runner) runHeartbeats(ctx context.Context, worker *worker) {
	// The first heartbeat is sent at a random time within an interval, so that
	// the heartbeats of many workers are spread evenly.
	timer := time.NewTimer(rand.N(runner.settings.BeatInterval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-worker.heartbeatRequested:
		}
		runner.sendHeartbeat(worker)
		timer.Reset(worker.interval())
	}
}

func (runner *Runner) sendHeartbeat(worker *worker) {
	if withProbability(runner.settings.FreezePercent) {
		worker.freeze()
	}
	heartbeat := worker.heartbeat()
	runner.injectFaults(heartbeat)
	time.Sleep(runner.settings.Lag)
	if withProbability(runner.settings.LosePercent) {
		return
	}
	defer runner.resendLate(worker, heartbeat)
	answer := runner.send(worker, heartbeat)
	if answer == nil || withProbability(runner.settings.AnswerLosePercent) {
		return
	}
	if answer.Refusal != nil {
		logger.Warn(runner.logger, "heartbeat refused", "Worker", worker.description.Name, "Error", answer.Refusal.Error())
		worker.requestFullDescription()
		return
	}
	worker.applyAnswer(heartbeat, answer)
}

// withProbability returns true in the given percentage of calls.
func withProbability(percent int64) bool { return rand.Int64N(100) < percent }

// send sends a heartbeat to the entries in turn, beginning with a random one,
// until one answers. It returns nil if none does.
func (runner *Runner) send(worker *worker, heartbeat *messenger.Heartbeat) *messenger.HeartbeatAnswer {
	body, err := json.Marshal(heartbeat)
	if err != nil {
		return nil
	}
	first := rand.IntN(len(runner.settings.Entries))
	for offset := range runner.settings.Entries {
		entry := runner.settings.Entries[(first+offset)%len(runner.settings.Entries)]
		answer, err := runner.post(entry, body)
		if err == nil {
			return answer
		}
		logger.Warn(runner.logger, "heartbeat not answered", "Worker", worker.description.Name, "Entry", entry, "Error", err.Error())
	}
	return nil
}

func (runner *Runner) post(entry string, body []byte) (*messenger.HeartbeatAnswer, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, runner.certifier.Scheme()+"://"+entry+workerserver.HeartbeatPath, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	response, err := runner.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, eris.New(response.Status)
	}
	answer := &messenger.HeartbeatAnswer{}
	return answer, json.NewDecoder(response.Body).Decode(answer)
}

func (runner *Runner) handleStart(context echo.Context) error {
	if !runner.certifier.Authenticated(context.Request()) {
		return responder.Refusal(context, coder.Refuse(coder.BadCertificate, "starts and stops need a certificate of the system's authority"))
	}
	var start messenger.Start
	if refusal := responder.Decode(context, bodyLimit, &start); refusal != nil {
		return responder.Refusal(context, refusal)
	}
	if worker := runner.workers[start.Worker]; worker != nil && !withProbability(runner.settings.LoseOrderPercent) {
		worker.start(&start)
	}
	return context.NoContent(http.StatusOK)
}

func (runner *Runner) handleStop(context echo.Context) error {
	if !runner.certifier.Authenticated(context.Request()) {
		return responder.Refusal(context, coder.Refuse(coder.BadCertificate, "starts and stops need a certificate of the system's authority"))
	}
	var key messenger.AttemptKey
	if refusal := responder.Decode(context, bodyLimit, &key); refusal != nil {
		return responder.Refusal(context, refusal)
	}
	for _, worker := range runner.workers {
		if worker.knows(key) && !withProbability(runner.settings.LoseOrderPercent) {
			worker.stop(key)
		}
	}
	return context.NoContent(http.StatusOK)
}

func (worker *worker) knows(key messenger.AttemptKey) bool {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	return worker.attempts[key] != nil
}
