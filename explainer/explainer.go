// Package explainer formats the history of a job as text for people: who
// submitted it with which key and revision, each decision with its reasons and
// the runners-up, each attempt, loss, preemption and retry, and the outcome. It
// describes the recorded history and leaves checking it to package verifier.
package explainer

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// Write writes the lines of all records about the job, under a heading.
func Write(out io.Writer, job modeller.JobID, records []messenger.HistoryRecord) error {
	if _, err := fmt.Fprintf(out, "Job %d\n", job); err != nil {
		return err
	}
	for at := range records {
		for _, line := range Lines(job, &records[at]) {
			if _, err := fmt.Fprintln(out, line); err != nil {
				return err
			}
		}
	}
	return nil
}

// Lines describes one record: a line for its command and one for each event of
// the job. A record without a command has no lines.
func Lines(job modeller.JobID, record *messenger.HistoryRecord) []string {
	if record.Command == nil {
		return nil
	}
	prefix := fmt.Sprintf("%s  entry %-6d %-24s", formatTime(record.Command.Time), record.Entry.Index, record.Command.Actor)
	lines := []string{prefix + " " + Describe(record)}
	for at := range record.Events {
		event := &record.Events[at]
		if event.Spec != nil && event.Spec.ID == job {
			lines = append(lines, strings.Repeat(" ", 14)+"-> "+describeEvent(event))
		}
	}
	return lines
}

func formatTime(at modeller.Millis) string {
	return time.UnixMilli(int64(at)).UTC().Format("15:04:05.000")
}

// Describe describes a record's command and, unless it was accepted, its result.
// The record must have a command.
func Describe(record *messenger.HistoryRecord) string {
	text := describeCommand(record.Command)
	if record.Result.Code == coder.Duplicate {
		return text + ": duplicate request, answered with the first result"
	}
	if record.Result.Code.Successful() {
		return text
	}
	return fmt.Sprintf("%s: refused, %s (%d): %s", text, record.Result.Code, uint16(record.Result.Code), record.Result.Detail)
}
