package entryrunner

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	"github.com/dotterelrill/dotterelrill/responder"
)

// entryMetrics holds the metrics of an entry.
type entryMetrics struct {
	set *metrics.Set
	// heartbeats counts answered heartbeats. ordersDelivered and ordersFailed
	// count orders by the result of their delivery to the worker.
	heartbeats      *metrics.Counter
	ordersDelivered *metrics.Counter
	ordersFailed    *metrics.Counter
}

func newEntryMetrics() *entryMetrics {
	set := metrics.NewSet()
	return &entryMetrics{
		set:             set,
		heartbeats:      set.NewCounter("dotterel_entry_beats_total"),
		ordersDelivered: set.NewCounter(`dotterel_entry_orders_total{result="delivered"}`),
		ordersFailed:    set.NewCounter(`dotterel_entry_orders_total{result="failed"}`),
	}
}

// observeRequest is middleware that counts requests by route and result code
// and records their duration. Unknown routes share the label "other", so that
// callers cannot create metrics with arbitrary labels.
func (entryMetrics *entryMetrics) observeRequest(next echo.HandlerFunc) echo.HandlerFunc {
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
		entryMetrics.set.GetOrCreateCounter(fmt.Sprintf("dotterel_entry_requests_total{route=%q,code=%q}", route, code)).Inc()
		entryMetrics.set.GetOrCreateHistogram(fmt.Sprintf("dotterel_entry_request_seconds{route=%q}", route)).UpdateDuration(startedAt)
		return nil
	}
}

func (runner *Runner) writeMetrics(writer io.Writer) {
	if configuration := runner.configuration.Load(); configuration != nil {
		_, _ = fmt.Fprintf(writer, "dotterel_entry_configuration_revision %d\n", configuration.Revision)
	}
	runner.metrics.set.WritePrometheus(writer)
	metrics.WriteProcessMetrics(writer)
}
