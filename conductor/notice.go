package conductor

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/dotterelrill/dotterelrill/encoder"
	"github.com/dotterelrill/dotterelrill/forecaster"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// Notice is an encoded forecaster.Notice, and when it was made, on Config.Clock.
type Notice struct {
	At   time.Duration
	Data []byte
}

// Notice returns the latest notice for the entries, or nil.
func (conductor *Conductor) Notice() *Notice { return conductor.notice.Load() }

// classKey names the jobs of a queue and client account.
type classKey struct {
	queue   modeller.QueueName
	account modeller.ClientAccountName
}

// jobClass is what is known about the jobs of a queue and client account for the notice.
type jobClass struct {
	// quietSince is when the last job was accepted.
	quietSince time.Duration
	// refused covers the jobs that were refused as too late since then.
	refused forecaster.Shapes
	// closed covers the jobs that no notice allows to be accepted before closedUntil.
	closed      forecaster.Shapes
	closedUntil time.Duration
}

const (
	// quietSpan is how long no job of a class must have been accepted before entries may
	// refuse its jobs: within it, an entry can't tell a new job from the retry of one that
	// was accepted. Callers retry for forecaster.ReturnSpan; the rest is for the way.
	quietSpan = time.Duration(forecaster.ReturnSpan)*time.Millisecond + 500*time.Millisecond
	// closedSpan is how long a notice binds the leader: its validity, and a margin for
	// clocks that run at different rates.
	closedSpan = forecaster.NoticeValidity + 100*time.Millisecond
)

// class returns the class of a job.
func (conductor *Conductor) class(submit *stager.Submit) *jobClass {
	key := classKey{submit.Queue, submit.ClientAccount}
	class := conductor.admission.classes[key]
	if class == nil {
		// What earlier leaders accepted is not known.
		class = &jobClass{quietSince: conductor.startedAt}
		conductor.admission.classes[key] = class
	}
	return class
}

// closed reports whether a notice in force covers a job.
func (conductor *Conductor) closed(submit *stager.Submit) bool {
	class := conductor.class(submit)
	return conductor.config.Clock() < class.closedUntil && class.closed.Cover(submit.Steps, submit.Schedule)
}

// noteAccepted records that a job was accepted.
func (conductor *Conductor) noteAccepted(submit *stager.Submit) {
	if conductor.config.Settings.Admission {
		class := conductor.class(submit)
		class.quietSince, class.refused = conductor.config.Clock(), forecaster.Shapes{}
	}
}

// publishNotice makes the notice for the entries.
func (conductor *Conductor) publishNotice() {
	admission := conductor.admission
	if !conductor.config.Settings.AdmissionAtEntries || len(admission.classes) == 0 || conductor.state.Deployment == nil || !conductor.config.Leads() {
		conductor.notice.Store(nil)
		return
	}
	now := conductor.config.Clock()
	var notice forecaster.Notice
	for index := range conductor.state.Deployment.Accounts {
		account := &conductor.state.Deployment.Accounts[index]
		for index := range conductor.state.Deployment.Queues {
			queue := &conductor.state.Deployment.Queues[index]
			class := admission.classes[classKey{queue.Name, account.Name}]
			if class != nil && len(account.Keys) > 0 && conductor.closeClass(class, queue, account.Name, now) {
				notice.Closures = append(notice.Closures, forecaster.Closure{Host: queue.Host, Prefix: queue.Prefix, Keys: account.Keys, Shapes: class.closed})
			}
		}
	}
	if admission.closures != len(notice.Closures) {
		logger.Info(conductor.config.Logger, "jobs refused at entries", "Classes", len(notice.Closures), "Before", admission.closures)
		admission.closures = len(notice.Closures)
	}
	if len(notice.Closures) == 0 {
		conductor.notice.Store(nil)
		return
	}
	data, err := encoder.Marshal(&notice)
	if err != nil {
		logger.Error(conductor.config.Logger, "cannot encode the forecast for entries", "Error", err.Error())
		return
	}
	conductor.notice.Store(&Notice{At: now, Data: data})
}

// closeClass closes a class, if all jobs of the range that was refused are too late
// beyond doubt. It returns false if they are not.
func (conductor *Conductor) closeClass(class *jobClass, queue *stager.Queue, account modeller.ClientAccountName, now time.Duration) bool {
	if class.refused.MostSteps == 0 || now-class.quietSince < quietSpan || queue.Slack < 1 || conductor.extendedPrefix(queue) {
		return false
	}
	if now < class.closedUntil && !class.refused.Include(&class.closed) {
		return false
	}
	conductor.refreshView()
	if !conductor.beyondDoubt(&class.refused, queue, account) {
		class.refused = forecaster.Shapes{}
		return false
	}
	class.closed, class.closedUntil = class.refused, now+closedSpan
	return true
}

// beyondDoubt reports whether all jobs of a range are too late, also those that are
// submitted when the notice expires. It takes the place of the shortest job, which has
// the least ahead of it, and the deadline of the longest.
func (conductor *Conductor) beyondDoubt(shapes *forecaster.Shapes, queue *stager.Queue, account modeller.ClientAccountName) bool {
	pool := conductor.admission.pools[queue.Pool]
	if pool == nil || pool.room.Total() == 0 || shapes.LeastNeed == 0 {
		return false
	}
	shortest := jobShape{path: conductor.runTime(queue.Name, shapes.ShortestRun), need: shapes.LeastNeed}
	longest := jobShape{path: min(conductor.runTime(queue.Name, shapes.LongestRun), maxPath) * modeller.Millis(shapes.MostSteps), need: shapes.LeastNeed}
	question := conductor.question(queue, account, pool, shortest, 0)
	question.Path, question.Objective = longest.path, objectiveOf(queue, longest.path)
	decision, forecast := forecaster.Decide(question, forecaster.Returning{})
	return decision == forecaster.TooLate && forecast.Earliest > question.Deadline()+millis(closedSpan)
}

// extendedPrefix reports whether another queue's prefix begins with that of a queue, so
// that an entry can't tell their jobs apart.
func (conductor *Conductor) extendedPrefix(queue *stager.Queue) bool {
	return slices.ContainsFunc(conductor.state.Deployment.Queues, func(other stager.Queue) bool {
		return other.Host == queue.Host && len(other.Prefix) > len(queue.Prefix) && strings.HasPrefix(other.Prefix, queue.Prefix)
	})
}

// acceptsFrom returns from when a new conductor may accept jobs. A notice of the previous
// one may be in force until then if there is a backlog: an entry could refuse the retry of a
// job that this one accepts. The backlog may be young, as a notice for one class rests on
// the jobs of all others too.
func acceptsFrom(config *Config) time.Duration {
	if !config.Settings.AdmissionAtEntries {
		return 0
	}
	if !slices.ContainsFunc(config.State.Open(), hasWaitingTasks) {
		return 0
	}
	return config.Clock() + closedSpan
}

func hasWaitingTasks(job *stager.Job) bool {
	for occurrence := range job.Occurrences() {
		for step := range uint32(len(job.Steps)) {
			if waitingTasks(job, occurrence, step) > 0 {
				return true
			}
		}
	}
	return false
}

// awaitAcceptance waits until jobs may be accepted, or until the context ends.
func (conductor *Conductor) awaitAcceptance(ctx context.Context) {
	if wait := conductor.acceptsAt - conductor.config.Clock(); wait > 0 {
		select {
		case <-ctx.Done():
		case <-conductor.done:
		case <-time.After(wait):
		}
	}
}
