package explainer

import (
	"fmt"
	"strings"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/modeller"
)

func describeCommand(command *applier.Command) string {
	switch {
	case command.Submit != nil:
		submit := command.Submit
		return fmt.Sprintf("submitted %d task(s) to %s/%s %s, request %s", submit.Work.Tasks, submit.ClientAccount, submit.Queue, keyText(submit.Key), command.RequestID)
	case command.Cancel != nil && command.Cancel.Operator:
		return "asked to cancel as an operator, request " + string(command.RequestID)
	case command.Cancel != nil:
		return fmt.Sprintf("asked to cancel %s, request %s", keyText(command.Cancel.Key), command.RequestID)
	case command.Place != nil:
		return describePlacement(command.Place)
	case command.Stop != nil:
		return fmt.Sprintf("stopped task %s, attempt %d: %s, %s", command.Stop.Task, command.Stop.Attempt, command.Stop.Reason, command.Stop.Detail)
	case command.Report != nil:
		return describeReport(command.Report)
	case command.Refuse != nil:
		return fmt.Sprintf("refused the job, %s: %s", codeText(command.Refuse.Code), command.Refuse.Reason)
	}
	return describeCellCommand(command)
}

// describeCellCommand describes the commands that do not concern a single job.
func describeCellCommand(command *applier.Command) string {
	switch {
	case command.LoseWorker != nil:
		lose := command.LoseWorker
		return fmt.Sprintf("declared worker %s (incarnation %d) lost: %s", lose.Worker, lose.Incarnation, lose.Reason)
	case command.JoinWorker != nil:
		worker := command.JoinWorker.Worker
		return fmt.Sprintf("worker %s (incarnation %d) joined with %s in %d slots", worker.Name, worker.Incarnation, worker.Capacity, worker.Slots)
	case command.SetWorker != nil:
		return fmt.Sprintf("set worker %s to %s: %s", command.SetWorker.Worker, command.SetWorker.State, command.SetWorker.Reason)
	case command.ApplyTemplate != nil:
		return fmt.Sprintf("applied template %s over revision %d", command.ApplyTemplate.Template.Name, command.ApplyTemplate.Expected)
	case command.GrantKey != nil:
		return fmt.Sprintf("granted key %s to %s", command.GrantKey.Key.Fingerprint(), command.GrantKey.ClientAccount)
	case command.WithdrawKey != nil:
		return fmt.Sprintf("withdrew key %s", command.WithdrawKey.Key.Fingerprint())
	case command.Evacuate != nil && command.Evacuate.Withdrawn:
		return fmt.Sprintf("restored data centre %s, request %s", command.Evacuate.DataCentre, command.RequestID)
	case command.Evacuate != nil:
		return fmt.Sprintf("evacuated data centre %s, request %s", command.Evacuate.DataCentre, command.RequestID)
	case command.Tick != nil:
		return "advanced the time"
	}
	return "a command of a kind unknown to this release"
}

func keyText(hash modeller.KeyHash) string {
	if hash == "" {
		return "without a key"
	}
	return "under key " + hash.Fingerprint()
}

func codeText(code coder.Code) string { return fmt.Sprintf("%s (%d)", code, uint16(code)) }

func describeReport(report *applier.Report) string {
	text := fmt.Sprintf("reported task %s, attempt %d: %s", report.Task, report.Attempt, report.Phase)
	if report.Answer != nil {
		text += fmt.Sprintf(", %d bytes of answer", report.Answer.Length)
	}
	if report.Detail != "" {
		text += ": " + report.Detail
	}
	return text
}

func describePlacement(place *applier.Place) string {
	var parts []string
	for _, task := range place.Tasks {
		parts = append(parts, fmt.Sprintf("placed task %d, attempt %d, on %s", task.Index, task.Attempt, task.Worker))
	}
	parts = append(parts, place.Reason, fmt.Sprintf("score %.3f, revision %d", place.Score, place.Revision))
	for _, runnerUp := range place.RunnersUp {
		parts = append(parts, fmt.Sprintf("not %s (%.3f)", runnerUp.Worker, runnerUp.Score))
	}
	return strings.Join(parts, "; ")
}
