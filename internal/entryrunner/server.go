package entryrunner

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/budgeter"
	"github.com/dotterelrill/dotterelrill/rationer"
)

// addServer adds the HTTP server for callers, operators and workers. When it
// ends, the entry ends.
func (runner *Runner) addServer(ctx context.Context, group *run.Group) {
	server := &http.Server{Handler: runner.router()}
	guard := runner.newGuard()
	guard.Apply(server)
	closed := make(chan struct{})
	group.Add(func() error {
		stop := context.AfterFunc(ctx, func() {
			defer close(closed)
			runner.shutDown(server)
		})
		listener, err := guard.Listen(runner.settings.Address)
		if err == nil {
			err = runner.certifier.Serve(server, listener)
		}
		if !errors.Is(err, http.ErrServerClosed) {
			stop()
			return eris.Wrapf(err, "serve at %s", runner.settings.Address)
		}
		if !stop() {
			<-closed
		}
		return nil
	}, func(error) { _ = server.Close() })
}

// newGuard returns the guard of the listener for callers, operators and workers.
func (runner *Runner) newGuard() *budgeter.Guard {
	settings := runner.settings
	bytes := settings.Limits.Bytes(settings.MemoryMiB, max(settings.BodyLimit, settings.BeatLimit))
	return budgeter.NewGuard(budgeter.GuardConfig{
		Kind: "callers", Limits: settings.Limits,
		Bytes: bytes, Connections: budgeter.Connections(bytes, rationer.Divide(rationer.Descriptors(int(settings.Descriptors))).Workers),
		ClientOf:  func(request *http.Request) string { return request.Header.Get(echo.HeaderAuthorization) },
		Encrypted: runner.certifier.Enabled(), Logger: runner.logger, Metrics: runner.metrics.set,
	})
}

// cancelWaitsMargin is how long before the end of ShutdownTimeout waiting
// requests are refused with ShuttingDown. It is longer than one wait at the
// leader, so that they are answered before the server closes.
const cancelWaitsMargin = 2 * time.Second

// shutDown stops accepting submissions, reports not ready for DrainDelay so that
// the load balancer stops sending requests, and then finishes the requests in
// flight, within ShutdownTimeout in total.
func (runner *Runner) shutDown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), runner.settings.ShutdownTimeout)
	defer cancel()
	runner.stopping.Store(true)
	cancelTimer := time.AfterFunc(runner.settings.ShutdownTimeout-cancelWaitsMargin, runner.cancelWaits)
	defer cancelTimer.Stop()
	time.Sleep(runner.settings.DrainDelay)
	_ = server.Shutdown(ctx)
}

// addMetrics adds the HTTP server for metrics and health checks. It serves until
// all other parts have ended.
func (runner *Runner) addMetrics(group *run.Group) {
	mux := http.NewServeMux()
	mux.Handle("/metrics", budgeter.ServeMetrics(runner.writeMetrics))
	mux.HandleFunc("/healthy", func(writer http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintln(writer, "ok") })
	mux.HandleFunc("/ready", runner.ready)
	server := &http.Server{Handler: mux}
	guard := budgeter.NewSideGuard("metrics", runner.settings.Limits, runner.metrics.set, runner.logger)
	guard.Apply(server)
	group.Add(func() error {
		listener, err := guard.Listen(runner.settings.MetricsAddress)
		if err == nil {
			err = server.Serve(listener)
		}
		if !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrapf(err, "serve metrics at %s", runner.settings.MetricsAddress)
		}
		return nil
	}, func(error) { _ = server.Close() })
}

// ready answers the load balancer's readiness check: 200 if the entry accepts
// submissions, else 503.
func (runner *Runner) ready(writer http.ResponseWriter, _ *http.Request) {
	switch {
	case runner.stopping.Load():
		http.Error(writer, "stopping", http.StatusServiceUnavailable)
	case !runner.configurationCurrent():
		http.Error(writer, "no current configuration", http.StatusServiceUnavailable)
	default:
		_, _ = fmt.Fprintln(writer, "ok")
	}
}
