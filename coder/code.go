// Package coder owns the numbered result codes shared by every program, protocol
// and record of dotterelrill.
//
// A code is the result of a request. Its row in the table gives the HTTP status
// for it, whether it guarantees that nothing was run, and whether a retry can
// succeed. docs/CODES.md is generated from this table, so that the page cannot
// differ from the code. The package does not choose codes: the applier and the
// servers do.
package coder

import (
	"fmt"
	"net/http"
	"time"
)

// Code is a numbered result. Numbers are stable: they are stored in histories
// that outlive any release, so a retired number is never reused.
type Code uint16

// Codes of successful requests.
const (
	OK        Code = 0
	Duplicate Code = 1
)

// Codes of malformed or invalid input. Row.NotRun tells which of them guarantee
// that nothing was run.
const (
	Malformed          Code = 100
	BodyTooLarge       Code = 101
	UnknownQueue       Code = 102
	UnknownAccount     Code = 103
	BadSize            Code = 104
	BadGang            Code = 105
	RequestIDReused    Code = 106
	MissingRequestID   Code = 107
	UnknownJob         Code = 108
	BadTemplate        Code = 109
	UnknownTemplate    Code = 110
	CanNeverRun        Code = 111
	UnknownWorker      Code = 112
	KindNotAllowed     Code = 113
	BadFilter          Code = 114
	UnknownMember      Code = 115
	UnknownCommandKind Code = 116
	UnknownWave        Code = 117
	UnknownDataCentre  Code = 118
)

// Codes of failed authentication or authorisation. Row.NotRun tells which of
// them guarantee that nothing was run.
const (
	MissingKey     Code = 200
	WrongKey       Code = 201
	WithdrawnKey   Code = 202
	NotOperator    Code = 203
	NotYourJob     Code = 204
	KeyInUse       Code = 205
	BadCertificate Code = 206
)

// Codes of conflicts with the current state.
const (
	RevisionConflict   Code = 300
	StaleAttempt       Code = 301
	StaleIncarnation   Code = 302
	WrongState         Code = 303
	AlreadyDone        Code = 304
	MemberConflict     Code = 305
	IncarnationUnnamed Code = 306
	ChangeUnnamed      Code = 307
)

// Codes of exceeded limits and missing capacity.
const (
	NoCapacity       Code = 400
	NoSlots          Code = 401
	UpperLimit       Code = 402
	QueueFull        Code = 403
	Overloaded       Code = 404
	WorkerLeaving    Code = 405
	GangIncomplete   Code = 406
	RetriesExhausted Code = 407
	LeaseUncertain   Code = 408
	Quarantined      Code = 409
	AnswerTooLarge   Code = 410
	ForecastTooLate  Code = 411
)

// Codes of the system's own availability and faults.
const (
	NotLeader     Code = 500
	NoQuorum      Code = 501
	Unknown       Code = 502
	ShuttingDown  Code = 503
	Internal      Code = 504
	WrongCell     Code = 505
	AnswerCorrupt Code = 506
	NotServing    Code = 508
	// 507 is retired.
)

// Row describes one code, for the servers and for docs/CODES.md.
type Row struct {
	Code Code
	Name string
	// Status is the HTTP status of an answer with the code.
	Status int
	// NotRun is true only if the code guarantees that no attempt was started for
	// the request, including earlier sendings of it. It is false for codes of
	// requests that an entry refuses by itself, which guarantee that only for
	// the refused sending.
	NotRun bool
	// Retry is true if the same request can succeed later unchanged.
	Retry bool
	// Provisional is true if the refusal rests on the keys, queues or workers of the
	// moment. An earlier sending of the request may have been accepted before they
	// changed.
	Provisional bool
	// Help explains the code in a sentence, for docs/CODES.md.
	Help string
}

var rows = []Row{
	{OK, "OK", http.StatusOK, false, false, false, "The request was carried out."},
	{Duplicate, "Duplicate", http.StatusOK, false, false, false, "The request was carried out before with this RequestID; this is the answer given then."},

	{Malformed, "Malformed", http.StatusBadRequest, true, false, false, "The request could not be parsed, or a field has a value that is not allowed."},
	{BodyTooLarge, "BodyTooLarge", http.StatusRequestEntityTooLarge, true, false, false, "The body is larger than the setting BodyLimit allows."},
	{UnknownQueue, "UnknownQueue", http.StatusNotFound, true, false, true, "The client account has no queue of this name."},
	{UnknownAccount, "UnknownAccount", http.StatusNotFound, true, false, true, "There is no client account of this name."},
	{BadSize, "BadSize", http.StatusBadRequest, true, false, false, "A declared size or run time is out of its allowed range."},
	{BadGang, "BadGang", http.StatusBadRequest, true, false, true, "The number of tasks is not allowed for the queue's kind."},
	{RequestIDReused, "RequestIDReused", http.StatusConflict, true, false, false, "The RequestID was used before with other content; nothing was run for this request."},
	{MissingRequestID, "MissingRequestID", http.StatusBadRequest, true, false, false, "The request carries no RequestID, or one that is too long."},
	{UnknownJob, "UnknownJob", http.StatusNotFound, false, false, false, "No job has this number, or its record has passed its retention."},
	{BadTemplate, "BadTemplate", http.StatusBadRequest, true, false, false, "The template has errors; each is listed with its file and line."},
	{UnknownTemplate, "UnknownTemplate", http.StatusNotFound, true, false, false, "There is no template of this name."},
	{CanNeverRun, "CanNeverRun", http.StatusUnprocessableEntity, true, false, true, "The job fits no worker of the fleet, or exceeds the client account's upper limit by itself."},
	{UnknownWorker, "UnknownWorker", http.StatusNotFound, false, false, false, "No worker has this name."},
	{KindNotAllowed, "KindNotAllowed", http.StatusBadRequest, true, false, true, "The queue does not accept work of this kind."},
	{BadFilter, "BadFilter", http.StatusBadRequest, false, false, false, "The filter of a listing could not be parsed."},
	{UnknownMember, "UnknownMember", http.StatusNotFound, false, false, false, "No replica of the cell has this identity."},
	{UnknownCommandKind, "UnknownCommandKind", http.StatusInternalServerError, true, false, false, "A log entry contains a command that this release does not support."},
	{UnknownWave, "UnknownWave", http.StatusNotFound, false, false, false, "No maintenance wave has this number."},
	{UnknownDataCentre, "UnknownDataCentre", http.StatusNotFound, false, false, false, "No worker of this data centre was ever announced, and the settings do not list it."},

	{MissingKey, "MissingKey", http.StatusUnauthorized, true, false, true, "The request carries no key and the queue is not open to all."},
	{WrongKey, "WrongKey", http.StatusForbidden, true, false, true, "The key does not belong to the client account."},
	{WithdrawnKey, "WithdrawnKey", http.StatusForbidden, false, false, true, "The key was withdrawn. This request had no effect, but an earlier one with the same RequestID may have been accepted."},
	{NotOperator, "NotOperator", http.StatusForbidden, true, false, true, "The request needs an operator's key."},
	{NotYourJob, "NotYourJob", http.StatusForbidden, false, false, true, "The job belongs to another client account."},
	{KeyInUse, "KeyInUse", http.StatusConflict, false, false, false, "The key is already granted to a client account."},
	{BadCertificate, "BadCertificate", http.StatusForbidden, true, false, true, "The peer's certificate is not accepted."},

	{RevisionConflict, "RevisionConflict", http.StatusConflict, false, false, false, "The current revision differs from the one that the change expects; the answer gives the current one."},
	{StaleAttempt, "StaleAttempt", http.StatusConflict, false, false, false, "The report is about an attempt that is no longer the task's current one."},
	{StaleIncarnation, "StaleIncarnation", http.StatusConflict, false, false, false, "The message is from or for an incarnation that is not the worker's current one."},
	{WrongState, "WrongState", http.StatusConflict, false, false, false, "The job, task or worker is not in a state that allows this."},
	{AlreadyDone, "AlreadyDone", http.StatusConflict, false, false, false, "The job already has its outcome."},
	{MemberConflict, "MemberConflict", http.StatusConflict, false, true, false, "Another membership change is in progress."},
	{IncarnationUnnamed, "IncarnationUnnamed", http.StatusTemporaryRedirect, false, false, false, "The end of a worker that runs tasks does not name its incarnation; the answer gives the one to name."},
	{ChangeUnnamed, "ChangeUnnamed", http.StatusTemporaryRedirect, false, false, false, "The order would undo a change that it does not name; the answer gives the time of the change to name."},

	{NoCapacity, "NoCapacity", http.StatusConflict, false, true, false, "The worker's processors, memory or accelerators would be over-committed."},
	{NoSlots, "NoSlots", http.StatusConflict, false, true, false, "The worker has no free slot."},
	{UpperLimit, "UpperLimit", http.StatusConflict, false, true, false, "The client account would have more running than its upper limit."},
	{QueueFull, "QueueFull", http.StatusTooManyRequests, true, true, false, "The queue has too many waiting tasks; the answer gives the time to retry after."},
	{Overloaded, "Overloaded", http.StatusServiceUnavailable, false, true, false, "Too many requests at once, of the client account or in total; the answer gives the time to retry after. This request had no effect, but an earlier one with the same RequestID may have been accepted."},
	{WorkerLeaving, "WorkerLeaving", http.StatusConflict, false, true, false, "The worker is draining and gets no new work."},
	{GangIncomplete, "GangIncomplete", http.StatusConflict, false, true, false, "A gang must be placed with all its tasks at once."},
	{RetriesExhausted, "RetriesExhausted", http.StatusConflict, false, false, false, "The task failed and has no retries left."},
	{LeaseUncertain, "LeaseUncertain", http.StatusConflict, false, true, false, "The worker's lease may not have expired yet, so the worker cannot be declared lost."},
	{Quarantined, "Quarantined", http.StatusConflict, false, true, false, "The worker is in quarantine."},
	{AnswerTooLarge, "AnswerTooLarge", http.StatusConflict, false, false, false, "The task ran and returned an answer above the size limit, which was discarded."},
	{ForecastTooLate, "ForecastTooLate", http.StatusServiceUnavailable, true, true, false, "The job is forecast to finish after its callers have stopped waiting, and was neither accepted nor run, by this or an earlier sending; the answer gives the time to retry after."},

	{NotLeader, "NotLeader", http.StatusServiceUnavailable, false, true, false, "The replica is not the leader; the answer may give the leader's address."},
	{NoQuorum, "NoQuorum", http.StatusServiceUnavailable, false, true, false, "The cell has no quorum and cannot commit new entries."},
	{Unknown, "Unknown", http.StatusGatewayTimeout, false, true, false, "The outcome of the request is not known; retry with the same RequestID."},
	{ShuttingDown, "ShuttingDown", http.StatusServiceUnavailable, false, true, false, "The program is shutting down; retry with another one."},
	{Internal, "Internal", http.StatusInternalServerError, false, true, false, "Internal error; the log has the details."},
	{WrongCell, "WrongCell", http.StatusMisdirectedRequest, true, false, false, "The message names another cell."},
	{AnswerCorrupt, "AnswerCorrupt", http.StatusBadGateway, false, true, false, "An answer did not match its length or checksum and was discarded."},
	{NotServing, "NotServing", http.StatusServiceUnavailable, false, true, false, "The entry cannot serve the request now; the answer gives the time to retry after. This request had no effect, but an earlier one with the same RequestID may have been accepted."},
}

var byCode = indexRows()

func indexRows() map[Code]Row {
	index := make(map[Code]Row, len(rows))
	for _, row := range rows {
		index[row.Code] = row
	}
	return index
}

// Rows returns a copy of the table of all codes, in ascending order.
func Rows() []Row {
	return append([]Row(nil), rows...)
}

// Row returns the code's row of the table. A code that is not in the table gets
// the row of Internal, since only a bug can produce one.
func (code Code) Row() Row {
	row, ok := byCode[code]
	if !ok {
		row = byCode[Internal]
		row.Code = code
	}
	return row
}

// String returns the code's name, or CodeN for a code N that is not in the
// table.
func (code Code) String() string {
	row, ok := byCode[code]
	if !ok {
		return fmt.Sprintf("Code%d", uint16(code))
	}
	return row.Name
}

// HoldsForEarlierTries reports whether a refusal with the code means that no earlier try
// of the same request was accepted either. That is so if it follows from the content of
// the request.
func (code Code) HoldsForEarlierTries() bool {
	row := code.Row()
	return !row.Retry && !row.Provisional
}

// Successful reports whether the code means that the request was carried out.
func (code Code) Successful() bool {
	return code < Malformed
}

// Refusal is an error with the code to be returned to the sender of a request.
type Refusal struct {
	Code Code
	// Detail describes what was wrong and what is allowed. It never contains a
	// key.
	Detail string
	// RetryAfter is the delay after which the same request may succeed, zero if
	// none is known.
	RetryAfter time.Duration
	// NotProposed is true if no command was proposed for this sending of the
	// request. An earlier one with the same RequestID may still have been
	// accepted.
	NotProposed bool
	// Leader is the address of the leader if Code is NotLeader and the leader is
	// known, otherwise empty.
	Leader string
	// Name is what the request has to name: the worker's incarnation if Code is
	// IncarnationUnnamed, or the Unix millisecond of the change if it is ChangeUnnamed. It is
	// zero otherwise.
	Name int64 `json:",omitzero" cbor:",omitzero"`
}

// Refuse returns a Refusal whose Detail is formatted as by fmt.Sprintf.
func Refuse(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Error implements the error interface.
func (refusal *Refusal) Error() string {
	return fmt.Sprintf("%s (%d): %s", refusal.Code, uint16(refusal.Code), refusal.Detail)
}
