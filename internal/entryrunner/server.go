package entryrunner

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
)

const readHeaderTimeout = 5 * time.Second

// addServer adds the HTTP server for callers, operators and workers. When it
// ends, the entry ends.
func (runner *Runner) addServer(ctx context.Context, group *run.Group) {
	server := &http.Server{Addr: runner.settings.Address, Handler: runner.router(), ReadHeaderTimeout: readHeaderTimeout}
	closed := make(chan struct{})
	group.Add(func() error {
		stop := context.AfterFunc(ctx, func() {
			defer close(closed)
			runner.shutDown(server)
		})
		err := runner.certifier.Serve(server)
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
	mux.HandleFunc("/metrics", func(writer http.ResponseWriter, _ *http.Request) { runner.writeMetrics(writer) })
	mux.HandleFunc("/healthy", func(writer http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintln(writer, "ok") })
	mux.HandleFunc("/ready", runner.ready)
	server := &http.Server{Addr: runner.settings.MetricsAddress, Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	group.Add(func() error {
		if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
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
