package explainer

import (
	"fmt"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/modeller"
)

func describeEvent(event *applier.Event) string {
	switch event.Kind {
	case applier.EventJobAccepted:
		return describeAcceptance(event.Spec)
	case applier.EventTaskPlaced:
		return fmt.Sprintf("task %s is committed to %s as attempt %d", event.Task, event.Worker, event.Attempt)
	case applier.EventTaskStarted:
		return fmt.Sprintf("task %s runs on %s", event.Task, event.Worker)
	case applier.EventTaskStopping:
		return fmt.Sprintf("task %s is being stopped (%s)", event.Task, event.Reason)
	case applier.EventTaskRequeued:
		return fmt.Sprintf("task %s was requeued: attempt %d on %s %s", event.Task, event.Attempt, event.Worker, attemptEnding(event))
	case applier.EventTaskDone:
		return fmt.Sprintf("task %s ended: %s", event.Task, taskEnding(event))
	case applier.EventJobDone:
		return fmt.Sprintf("the job ended: %s", event.Outcome)
	}
	return "an event of a kind unknown to this release"
}

func describeAcceptance(spec *applier.Spec) string {
	key := spec.Key
	if key == "" {
		key = "none"
	}
	rerunPolicy := "must not run twice"
	if spec.Idempotent {
		rerunPolicy = fmt.Sprintf("may run again, %d retries", spec.MaxRetries)
	}
	return fmt.Sprintf("accepted: %s %s, %d task(s) of %s, %s, key %s, revision %d", spec.Urgency, spec.Kind, spec.Tasks, spec.Size, rerunPolicy, key, spec.Revision)
}

// attemptEnding describes how the attempt ended and whether it may have run.
func attemptEnding(event *applier.Event) string {
	switch event.Phase {
	case modeller.PhaseRefused:
		return "was refused by the worker and never started"
	case modeller.PhaseFailed:
		return "failed"
	case modeller.PhaseStopped:
		return fmt.Sprintf("was stopped (%s)", event.Reason)
	}
	return "was lost with its worker and may have run"
}

func taskEnding(event *applier.Event) string {
	switch {
	case event.Outcome == modeller.NotRun:
		return "NotRun, no attempt was ever started"
	case event.Outcome == modeller.MayHaveRun:
		return fmt.Sprintf("MayHaveRun, attempt %d on %s was lost or stopped and must not be repeated", event.Attempt, event.Worker)
	case event.Attempt == 0:
		return event.Outcome.String()
	}
	return fmt.Sprintf("%s, attempt %d on %s", event.Outcome, event.Attempt, event.Worker)
}
