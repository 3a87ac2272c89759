// Package modeller defines the value types that all packages of dotterelrill
// share: identifiers, quantities with their units, templates, and the
// descriptions of jobs, tasks and workers.
//
// It has data types and arithmetic on them only. Which changes of these values
// are allowed over time is decided by the applier.
package modeller

import (
	"fmt"
	"strconv"
	"strings"
)

// Identifiers and units. They are separate types so that the compiler rejects
// one where another is expected.
type (
	// CellName is the name of the cell that a message or record belongs to.
	CellName string
	// ClientAccountName is the name of a client account, which shares and limits
	// apply to.
	ClientAccountName string
	// QueueName is the name of a queue, unique within its client account.
	QueueName string
	// TemplateName is the name of a template, unique within a cell.
	TemplateName string
	// WorkerName is the name of a worker, the same for all its incarnations.
	WorkerName string
	// DataCentreName is the name of a data centre.
	DataCentreName string
	// RackName is the name of a rack within a data centre.
	RackName string
	// OperatorName is the name of an operator in records.
	OperatorName string
	// RequestID is chosen by the sender of a request and makes it idempotent.
	RequestID string
	// KeyHash is the SHA-256 of a key in lower-case hexadecimal.
	KeyHash string
	// JobID numbers the jobs of a cell from 1, in order of acceptance.
	JobID uint64
	// Attempt numbers the attempts of one task from 1.
	Attempt uint32
	// Incarnation identifies one process lifetime of a worker.
	Incarnation uint64
	// Revision numbers the accepted configuration changes of a cell; it never
	// decreases.
	Revision uint64
	// Millis is a time or duration in milliseconds. Times in the state count
	// from the Unix epoch and are stamped by the leader; times in a worker's
	// messages are from that worker's monotonic clock.
	Millis int64
)

// FingerprintLength is the number of leading characters of a key's hash that
// records show.
const FingerprintLength = 12

// Fingerprint returns the first FingerprintLength characters of the hash, which
// records may show.
func (hash KeyHash) Fingerprint() string {
	if len(hash) <= FingerprintLength {
		return string(hash)
	}
	return string(hash[:FingerprintLength])
}

// TaskID identifies a task by its job and its index within the job, from 0.
type TaskID struct {
	Job   JobID
	Index uint32
}

// String returns the TaskID in the form job.index.
func (id TaskID) String() string {
	return fmt.Sprintf("%d.%d", id.Job, id.Index)
}

// ParseTaskID parses the form that TaskID.String returns.
func ParseTaskID(text string) (TaskID, error) {
	job, index, found := strings.Cut(text, ".")
	if !found {
		return TaskID{}, fmt.Errorf("task %q is not of the form job.index", text)
	}
	jobNumber, err := strconv.ParseUint(job, 10, 64)
	if err != nil {
		return TaskID{}, fmt.Errorf("task %q: job: %w", text, err)
	}
	indexNumber, err := strconv.ParseUint(index, 10, 32)
	if err != nil {
		return TaskID{}, fmt.Errorf("task %q: index: %w", text, err)
	}
	return TaskID{Job: JobID(jobNumber), Index: uint32(indexNumber)}, nil
}
