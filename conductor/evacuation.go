package conductor

import (
	"context"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// Evacuate takes a data centre out of service, or puts it back. Once it returns nil, no
// start is sent to the workers of an evacuated data centre; one that is on its way is
// answered or given up within maxStarts times startTimeout.
//
// An order may arrive late, after others. One that would undo a change has to name it, so
// that its sender has learned of the change.
//
// An order that is in force already is committed again rather than only acknowledged: a
// replica that no longer leads without knowing it could otherwise acknowledge one that a
// later leader has withdrawn.
func (conductor *Conductor) Evacuate(ctx context.Context, evacuate *stager.Evacuate) *coder.Refusal {
	return conductor.request(ctx, func() *coder.Refusal {
		name := evacuate.DataCentre
		if _, known := conductor.state.DataCentres[name]; !known && !slices.Contains(conductor.config.Settings.DataCentres, string(name)) {
			logger.Warn(conductor.config.Logger, "evacuation refused", "DataCentre", name, "Withdrawn", evacuate.Withdrawn, "Reason", "unknown data centre")
			return coder.Refuse(coder.UnknownDataCentre, "no data centre %s", name)
		}
		repeated := conductor.state.DataCentres.Evacuated(name) != evacuate.Withdrawn
		if change := conductor.state.DataCentres[name].Changed(); !repeated && evacuate.After != change {
			logger.Info(conductor.config.Logger, "evacuation refused", "DataCentre", name, "Withdrawn", evacuate.Withdrawn, "Reason", "another change is the last one",
				"Named", int64(evacuate.After), "Changed", int64(change))
			refusal := coder.Refuse(coder.ChangeUnnamed, "data centre %s was changed at %d, which the order has to name", name, change)
			refusal.Name = int64(change)
			return refusal
		}
		if err := conductor.applyCommand(&stager.Command{Evacuate: evacuate}); err != nil {
			return toRefusal(coder.Malformed, err)
		}
		conductor.instruments.countEvacuation(evacuate, repeated)
		logger.Info(conductor.config.Logger, "evacuation ordered", "DataCentre", name, "Withdrawn", evacuate.Withdrawn, "Repeated", repeated,
			"Live", len(conductor.liveIn(name)))
		if !repeated && evacuate.Withdrawn {
			conductor.forbidStartsUntilCommit(name)
		}
		conductor.placementPending = true
		conductor.reconcileDataCentre(name)
		return nil
	})
}

// forbidStartsUntilCommit forbids starts in a restored data centre until the withdrawal
// of its evacuation is committed: if it never is, the evacuation is still in force.
func (conductor *Conductor) forbidStartsUntilCommit(name modeller.DataCentreName) {
	conductor.restoring[name]++
	conductor.afterCommit(func(err error) {
		if err == nil {
			conductor.restoring[name]--
		}
	})
}

// reconcileDataCentre reconciles the attempts in a data centre, so that those whose start
// was not sent are placed elsewhere at once.
func (conductor *Conductor) reconcileDataCentre(name modeller.DataCentreName) {
	for _, live := range conductor.liveIn(name) {
		if live.connection.attempts[live.attempt.id] == live.attempt {
			conductor.reconcile(live.connection, live.attempt)
		}
	}
}

// liveIn returns the live attempts in a data centre, by worker and task.
func (conductor *Conductor) liveIn(name modeller.DataCentreName) []liveAttempt {
	var found []liveAttempt
	for _, connection := range conductor.sortedConnections {
		worker := conductor.state.Workers[connection.name]
		if worker == nil || worker.DataCentre != name {
			continue
		}
		for _, attempt := range connection.sortedAttempts() {
			found = append(found, liveAttempt{connection, attempt})
		}
	}
	return found
}

// startForbidden reports whether no start may be sent to a worker because its data centre
// is evacuated.
func (conductor *Conductor) startForbidden(connection *connection) bool {
	worker := conductor.state.Workers[connection.name]
	return worker != nil && (conductor.state.Evacuated(worker) || conductor.restoring[worker.DataCentre] > 0)
}

// withholdStart handles an attempt that would be started, or started again, in an
// evacuated data centre. One of which no start was sent ends at once and is placed
// elsewhere. One whose start was not answered may run, or begin late: it is stopped, and
// placed elsewhere once that is confirmed. A task with a disruption budget, or that lasts
// and has none, may only be stopped here if it does not run, so its worker is asked first.
func (conductor *Conductor) withholdStart(connection *connection, attempt *attempt) {
	if worker := conductor.state.Workers[connection.name]; !conductor.state.Evacuated(worker) {
		// The withdrawal is being committed; the next tick sends the start.
		return
	}
	job := conductor.state.Jobs[attempt.id.Job]
	if attempt.startUnconfirmed && !attempt.asked && job != nil && !job.Over() && (job.Steps[attempt.id.Step].Lasting || job.Steps[attempt.id.Step].MostAway > 0) {
		attempt.asked, attempt.awaitingReport = true, true
		conductor.ensureHold(connection)
		return
	}
	conductor.instruments.startsWithheld.Inc()
	conductor.stopAttempt(connection, attempt, "its data centre is evacuated")
}

const (
	// returnPeriod is how long after the withdrawal of an evacuation cold workers are
	// spared. What is cold later has another cause.
	returnPeriod = time.Minute
	// returnNotice is how long after the withdrawal a worker is only used once it has
	// announced itself again, and so told whether it is cold. Workers announce
	// themselves every second.
	returnNotice = 2 * time.Second
)

// returned reports whether a worker may get work again after the evacuation of its data
// centre was withdrawn. The workers that announce that they are cold return one after the
// other, spread evenly over the time for which they remain cold: a burst of work that
// begins on all of them at once would be slow as a whole.
func (conductor *Conductor) returned(connection *connection, worker *stager.Worker, now time.Duration) bool {
	restored := conductor.state.DataCentres[worker.DataCentre].Restored
	if restored == 0 {
		return true
	}
	elapsed := time.Duration(max(0, conductor.config.Now()-restored)) * time.Millisecond
	switch {
	case elapsed >= returnPeriod:
		return true
	case elapsed < returnNotice && connection.announcedAt < now-elapsed:
		return false
	case connection.coldUntil <= now:
		return true
	}
	cold := elapsed + connection.coldUntil - now
	return float64(elapsed) >= returnRank(connection.name)*float64(cold)
}

// returnRank returns a worker's place, from 0 to 1, in the order in which the workers of
// a restored data centre return. It depends on the name alone, so that a later leader
// goes on with the same order.
func returnRank(name modeller.WorkerName) float64 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	return float64(hash.Sum32()) / math.MaxUint32
}

// clearEvacuationGauges clears the gauges at the end of a leadership: the next leader
// sets its own.
func (conductor *Conductor) clearEvacuationGauges() {
	for name := range conductor.evacuations {
		conductor.instruments.setEvacuated(name, false, 0)
	}
}

// evacuationLogInterval is how often the progress of an evacuation is logged.
const evacuationLogInterval = time.Second

// checkEvacuations moves work out of the evacuated data centres, and reports what is
// left there.
func (conductor *Conductor) checkEvacuations() {
	now := conductor.config.Clock()
	report := now >= conductor.nextEvacuationLogAt
	if report {
		conductor.nextEvacuationLogAt = now + evacuationLogInterval
	}
	conductor.forgetMoves()
	for _, name := range slices.Sorted(maps.Keys(conductor.state.DataCentres)) {
		dataCentre := conductor.state.DataCentres[name]
		if dataCentre.Evacuated == 0 {
			if conductor.evacuations[name] {
				delete(conductor.evacuations, name)
				conductor.instruments.setEvacuated(name, false, 0)
			}
			continue
		}
		conductor.evacuations[name] = true
		live := conductor.liveIn(name)
		conductor.move(live)
		if report {
			conductor.instruments.setEvacuated(name, true, len(live))
			logger.Info(conductor.config.Logger, "data centre evacuated", "DataCentre", name, "Live", len(live), "Moving", len(conductor.moves),
				"SinceMillis", int64(conductor.config.Now()-dataCentre.Evacuated))
		}
	}
}
