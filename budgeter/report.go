package budgeter

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"golang.org/x/time/rate"

	"github.com/dotterelrill/dotterelrill/internal/logger"
)

// Cause is why a connection was closed or a request refused.
type Cause string

// The causes.
const (
	Memory      Cause = "Memory"
	Descriptors Cause = "Descriptors"
	// Waited is for a connection that was not closed, but had to wait for room.
	Waited       Cause = "Waited"
	HeadTooLarge Cause = "HeadTooLarge"
	TooManyLines Cause = "TooManyLines"
	EmptyLines   Cause = "EmptyLines"
	HeadTimeout  Cause = "HeadTimeout"
	BodyTooLarge Cause = "BodyTooLarge"
	BodyTimeout  Cause = "BodyTimeout"
	// TooManyMembers is for JSON of too many objects or members.
	TooManyMembers Cause = "TooManyMembers"
	// AnswerTimeout is for a client that does not read its answer.
	AnswerTimeout Cause = "AnswerTimeout"
)

var causes = []Cause{Memory, Descriptors, Waited, HeadTooLarge, TooManyLines, EmptyLines, HeadTimeout, BodyTooLarge, BodyTimeout, TooManyMembers, AnswerTimeout}

// Bounds of the log lines.
const (
	logInterval = time.Second
	logBurst    = 10
)

// reporter counts all refusals and logs a bounded number of them.
type reporter struct {
	kind       string
	logger     log.Logger
	counters   map[Cause]*metrics.Counter
	limiter    *rate.Limiter
	suppressed atomic.Int64
}

func newReporter(kind string, set *metrics.Set, reportLogger log.Logger) *reporter {
	reporter := &reporter{kind: kind, logger: reportLogger, counters: make(map[Cause]*metrics.Counter), limiter: rate.NewLimiter(rate.Every(logInterval), logBurst)}
	for _, cause := range causes {
		reporter.counters[cause] = set.GetOrCreateCounter(fmt.Sprintf("dotterel_connections_refused_total{kind=%q,cause=%q}", kind, cause))
	}
	return reporter
}

func (reporter *reporter) report(cause Cause, address string) {
	reporter.counters[cause].Inc()
	if !reporter.limiter.Allow() {
		reporter.suppressed.Add(1)
		return
	}
	logger.Warn(reporter.logger, "client refused", "Kind", reporter.kind, "Cause", string(cause), "Address", address, "Suppressed", reporter.suppressed.Swap(0))
}
