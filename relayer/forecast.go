package relayer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sys/unix"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/encoder"
	"github.com/dotterelrill/dotterelrill/forecaster"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/messenger"
)

// bootTime returns the time since the machine was started, with that for which it was
// suspended: a forecast must not outlive a pause of the VM.
func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err)
	}
	return time.Duration(now.Nano())
}

// keepForecast keeps a notice for the session. The leader counts its age from when the
// stream began there, which was after requestedAt: the notice is at most as old as that
// makes it, however long the message took.
func (relayer *Relayer) keepForecast(session *session, message *messenger.InquiryMessage, requestedAt time.Duration) {
	kept := &forecast{until: requestedAt + message.ForecastAt + forecaster.NoticeValidity}
	if err := encoder.Unmarshal(message.Forecast, &kept.Notice); err != nil {
		logger.Warn(relayer.config.Logger, "forecast not understood", "Error", err.Error())
		return
	}
	session.forecast.Store(kept)
}

// refuseByForecast refuses a job that the leader refuses beyond doubt, so that a flood
// costs the leader little. It returns nil if the leader has to decide: while there is no
// session, and once the forecast is stale.
func (relayer *Relayer) refuseByForecast(request *messenger.StagedSubmitRequest) *coder.Refusal {
	relayer.mutex.Lock()
	session := relayer.session
	relayer.mutex.Unlock()
	if session == nil || session.ctx.Err() != nil {
		return nil
	}
	kept := session.forecast.Load()
	if kept == nil || relayer.config.Clock() >= kept.until {
		return nil
	}
	for index := range kept.Closures {
		closure := &kept.Closures[index]
		if !closure.Covers(request.Place.Host, request.Place.Path, request.Place.Key, request.Steps, request.Schedule) {
			continue
		}
		relayer.config.Metrics.GetOrCreateCounter(fmt.Sprintf("dotterel_entry_jobs_refused_total{cause=\"TooLate\",prefix=%q}", closure.Prefix)).Inc()
		refusal := coder.Refuse(coder.ForecastTooLate, "the job would finish after its callers have stopped waiting")
		refusal.RetryAfter = time.Duration(forecaster.ReturnAfter(0, rand.Float64())) * time.Millisecond
		refusal.NotProposed = true
		return refusal
	}
	return nil
}
