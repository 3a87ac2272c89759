package standinrunner

import (
	"bytes"
	"time"

	"github.com/dotterelrill/dotterelrill/messenger"
)

// injectFaults omits all running attempts from a heartbeat (LiePercent) and
// corrupts the answers in it (DamagePercent).
func (runner *Runner) injectFaults(heartbeat *messenger.Heartbeat) {
	if withProbability(runner.settings.LiePercent) {
		heartbeat.Running = nil
	}
	for index := range heartbeat.Reports {
		answer := heartbeat.Reports[index].Answer
		if answer == nil || !withProbability(runner.settings.DamagePercent) {
			continue
		}
		damaged := *answer
		damaged.Body = append(bytes.Clone(answer.Body), '!')
		heartbeat.Reports[index].Answer = &damaged
	}
}

// resendLate sends a heartbeat a second time, after the next one, as if the
// network had delayed it (RepeatPercent).
func (runner *Runner) resendLate(worker *worker, heartbeat *messenger.Heartbeat) {
	if !withProbability(runner.settings.RepeatPercent) {
		return
	}
	time.AfterFunc(worker.interval()*3/2, func() {
		if answer := runner.send(worker, heartbeat); answer != nil && answer.Refusal == nil {
			worker.applyAnswer(heartbeat, answer)
		}
	})
}

// freeze holds the worker's mutex for the time of Freeze, so that the worker
// neither sends heartbeats nor handles starts and stops, as if its process were
// paused. Its tasks continue, and are recorded as running until they are stopped.
func (worker *worker) freeze() {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	time.Sleep(worker.settings.Freeze)
}
