package entryrunner

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	"github.com/dotterelrill/dotterelrill/responder"
)

// measures holds the entry's metrics.
type measures struct {
	set *metrics.Set
	// beats counts answered heartbeats. delivered and failed count orders by
	// the result of their delivery to the worker.
	beats     *metrics.Counter
	delivered *metrics.Counter
	failed    *metrics.Counter
}

func newEntryMetrics() *measures {
	set := metrics.NewSet()
	return &measures{
		set:       set,
		beats:     set.NewCounter("dotterel_entry_beats_total"),
		delivered: set.NewCounter(`dotterel_entry_orders_total{result="delivered"}`),
		failed:    set.NewCounter(`dotterel_entry_orders_total{result="failed"}`),
	}
}

// observeRequest is middleware that counts requests by route and result code
// and records their duration. Unknown routes share the label "other", so that
// callers cannot create metrics with arbitrary labels.
func (measures *measures) observeRequest(next echo.HandlerFunc) echo.HandlerFunc {
	return func(context echo.Context) error {
		startedAt := time.Now()
		if err := next(context); err != nil {
			context.Error(err)
		}
		route := context.Path()
		if context.Handler() == nil || route == "" {
			route = "other"
		}
		code := responder.CodeOf(context)
		measures.set.GetOrCreateCounter(fmt.Sprintf("dotterel_entry_requests_total{route=%q,code=%q}", route, code)).Inc()
		measures.set.GetOrCreateHistogram(fmt.Sprintf("dotterel_entry_request_seconds{route=%q}", route)).UpdateDuration(startedAt)
		return nil
	}
}

func (runner *Runner) writeMetrics(writer io.Writer) {
	if configuration := runner.configuration.Load(); configuration != nil {
		_, _ = fmt.Fprintf(writer, "dotterel_entry_configuration_revision %d\n", configuration.Revision)
	}
	runner.measures.set.WritePrometheus(writer)
	metrics.WriteProcessMetrics(writer)
}
