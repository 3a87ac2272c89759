// Package coder owns the numbered result codes that every program, protocol
// and record of dotterelrill shares.
//
// A code says what was decided about a request; its row in the table says
// which HTTP status carries it, whether it promises that nothing ran, and
// whether asking again later can help. docs/CODES.md is printed from this
// table, so that page and behaviour cannot drift apart. The package decides
// nothing itself: the applier and the servers choose the codes.
package coder

import (
	"fmt"
	"net/http"
	"time"
)

// Code is a numbered result. Numbers are stable: they stand in histories that
// outlive any release, so a retired number is never given a second meaning.
type Code uint16

// The codes of success.
const (
	OK        Code = 0
	Duplicate Code = 1
)

// The codes of malformed or inadmissible input; nothing was run.
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
)

// The codes of authority; nothing was run.
const (
	MissingKey     Code = 200
	WrongKey       Code = 201
	WithdrawnKey   Code = 202
	NotOperator    Code = 203
	NotYourJob     Code = 204
	KeyInUse       Code = 205
	BadCertificate Code = 206
)

// The codes of conflict.
const (
	RevisionConflict Code = 300
	StaleAttempt     Code = 301
	StaleIncarnation Code = 302
	WrongState       Code = 303
	AlreadyDone      Code = 304
	MemberConflict   Code = 305
)

// The codes of limits.
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
)

// The codes of the system's own state.
const (
	NotLeader     Code = 500
	NoQuorum      Code = 501
	Unknown       Code = 502
	ShuttingDown  Code = 503
	Internal      Code = 504
	WrongCell     Code = 505
	AnswerCorrupt Code = 506
	LogFull       Code = 507
	NotServing    Code = 508
)

// Row describes one code for the documentation and for the servers.
type Row struct {
	Code Code
	Name string
	// Status is the HTTP status that carries the code.
	Status int
	// NotRun is true only if the code proves that no attempt was started for
	// the request that it answers, whenever it was sent. What an entry refuses
	// by itself proves that of the one sending only.
	NotRun bool
	// Retry is true if the same request can succeed later without a change.
	Retry bool
	// Help says what happened, for people.
	Help string
}

var rows = []Row{
	{OK, "OK", http.StatusOK, false, false, "The request was carried out."},
	{Duplicate, "Duplicate", http.StatusOK, false, false, "The request was carried out before under this RequestID; this is its first answer."},

	{Malformed, "Malformed", http.StatusBadRequest, true, false, "The request could not be parsed, or a field has a value that is not allowed."},
	{BodyTooLarge, "BodyTooLarge", http.StatusRequestEntityTooLarge, true, false, "The body is larger than the setting BodyLimit allows."},
	{UnknownQueue, "UnknownQueue", http.StatusNotFound, true, false, "The client account has no queue of this name."},
	{UnknownAccount, "UnknownAccount", http.StatusNotFound, true, false, "There is no client account of this name."},
	{BadSize, "BadSize", http.StatusBadRequest, true, false, "A declared size is negative, zero where it must not be, or absurd."},
	{BadGang, "BadGang", http.StatusBadRequest, true, false, "The number of tasks is not allowed for the queue's kind."},
	{RequestIDReused, "RequestIDReused", http.StatusConflict, true, false, "The RequestID was used before with other content; nothing was run for this one."},
	{MissingRequestID, "MissingRequestID", http.StatusBadRequest, true, false, "The request carries no RequestID, or one that is too long."},
	{UnknownJob, "UnknownJob", http.StatusNotFound, false, false, "No job has this number, or its record has passed its retention."},
	{BadTemplate, "BadTemplate", http.StatusBadRequest, true, false, "The template has faults; each is listed with its file and line."},
	{UnknownTemplate, "UnknownTemplate", http.StatusNotFound, true, false, "There is no template of this name."},
	{CanNeverRun, "CanNeverRun", http.StatusUnprocessableEntity, true, false, "No worker that could ever be would fit a task of this size."},
	{UnknownWorker, "UnknownWorker", http.StatusNotFound, false, false, "No worker has this name."},
	{KindNotAllowed, "KindNotAllowed", http.StatusBadRequest, true, false, "The queue does not take work of this kind."},
	{BadFilter, "BadFilter", http.StatusBadRequest, false, false, "The filter of a listing could not be understood."},
	{UnknownMember, "UnknownMember", http.StatusNotFound, false, false, "No replica of the cell has this identity."},
	{UnknownCommandKind, "UnknownCommandKind", http.StatusInternalServerError, true, false, "A log entry holds a command that this release does not know."},

	{MissingKey, "MissingKey", http.StatusUnauthorized, true, false, "The request carries no key and the queue is not open to all."},
	{WrongKey, "WrongKey", http.StatusForbidden, true, false, "The key does not belong to the client account."},
	{WithdrawnKey, "WithdrawnKey", http.StatusForbidden, false, false, "The key was withdrawn. Nothing comes of this sending, but an earlier one under the same RequestID may have been accepted."},
	{NotOperator, "NotOperator", http.StatusForbidden, true, false, "The request needs an operator's key."},
	{NotYourJob, "NotYourJob", http.StatusForbidden, false, false, "The job belongs to another client account."},
	{KeyInUse, "KeyInUse", http.StatusConflict, false, false, "The key is granted to another client account already."},
	{BadCertificate, "BadCertificate", http.StatusForbidden, true, false, "The peer's certificate is not accepted."},

	{RevisionConflict, "RevisionConflict", http.StatusConflict, false, false, "The configuration has another revision than the change expected; the answer names the current one."},
	{StaleAttempt, "StaleAttempt", http.StatusConflict, false, false, "The report is about an attempt that is no longer the task's current one."},
	{StaleIncarnation, "StaleIncarnation", http.StatusConflict, false, false, "The message is from or for an earlier incarnation of the worker."},
	{WrongState, "WrongState", http.StatusConflict, false, false, "The job, task or worker is not in a state that allows this."},
	{AlreadyDone, "AlreadyDone", http.StatusConflict, false, false, "The job has its outcome already."},
	{MemberConflict, "MemberConflict", http.StatusConflict, false, true, "Another membership change is in progress."},

	{NoCapacity, "NoCapacity", http.StatusConflict, false, true, "The worker's processors, memory or accelerators would be over-committed."},
	{NoSlots, "NoSlots", http.StatusConflict, false, true, "The worker has no free slot."},
	{UpperLimit, "UpperLimit", http.StatusConflict, false, true, "The client account would have more running than its upper limit."},
	{QueueFull, "QueueFull", http.StatusTooManyRequests, true, true, "The client account has too much waiting; the answer says when to come back."},
	{Overloaded, "Overloaded", http.StatusServiceUnavailable, false, true, "The client account brings too much at once; the answer says when to come back. Nothing comes of this sending, but an earlier one under the same RequestID may have been accepted."},
	{WorkerLeaving, "WorkerLeaving", http.StatusConflict, false, true, "The worker is leaving and gets no new work."},
	{GangIncomplete, "GangIncomplete", http.StatusConflict, false, true, "A gang must be placed with all its tasks at once."},
	{RetriesExhausted, "RetriesExhausted", http.StatusConflict, false, false, "The task failed and its retry budget is spent."},
	{LeaseUncertain, "LeaseUncertain", http.StatusConflict, false, true, "The worker's lease may still be running; it cannot be declared lost yet."},
	{Quarantined, "Quarantined", http.StatusConflict, false, true, "The worker is in quarantine."},
	{AnswerTooLarge, "AnswerTooLarge", http.StatusConflict, false, false, "The task ran and handed back more than an answer may hold; nothing of it is passed on."},

	{NotLeader, "NotLeader", http.StatusServiceUnavailable, false, true, "The replica asked is not the leader; the answer may name it."},
	{NoQuorum, "NoQuorum", http.StatusServiceUnavailable, false, true, "The cell has no quorum, so nothing new can be decided."},
	{Unknown, "Unknown", http.StatusGatewayTimeout, false, true, "The outcome of the request is not known; ask again with the same RequestID."},
	{ShuttingDown, "ShuttingDown", http.StatusServiceUnavailable, false, true, "The program is stopping; ask another one."},
	{Internal, "Internal", http.StatusInternalServerError, false, true, "A fault of the system itself; the log has the details."},
	{WrongCell, "WrongCell", http.StatusMisdirectedRequest, true, false, "The message names another cell."},
	{AnswerCorrupt, "AnswerCorrupt", http.StatusBadGateway, false, true, "An answer did not match its length or checksum and was not passed on."},
	{LogFull, "LogFull", http.StatusInsufficientStorage, true, true, "The cell's disk takes no more entries."},
	{NotServing, "NotServing", http.StatusServiceUnavailable, false, true, "The entry has nobody to decide this now; the answer says when to come back. Nothing comes of this sending, but an earlier one under the same RequestID may have been accepted."},
}

var byCode = indexRows()

func indexRows() map[Code]Row {
	index := make(map[Code]Row, len(rows))
	for _, row := range rows {
		index[row.Code] = row
	}
	return index
}

// Rows returns the table of all codes in order of their numbers.
func Rows() []Row {
	return append([]Row(nil), rows...)
}

// Row returns the description of a code. An unlisted code is described as an
// internal fault, since only a defect can bring one about.
func (code Code) Row() Row {
	row, ok := byCode[code]
	if !ok {
		row = byCode[Internal]
		row.Code = code
	}
	return row
}

// String returns the code's name.
func (code Code) String() string {
	row, ok := byCode[code]
	if !ok {
		return fmt.Sprintf("Code%d", uint16(code))
	}
	return row.Name
}

// Good reports whether the code stands for a request that was carried out.
func (code Code) Good() bool {
	return code < Malformed
}

// Refusal is an error that carries a code to whoever asked.
type Refusal struct {
	Code Code
	// Detail says what was wrong and what is allowed. It never holds a key.
	Detail string
	// RetryAfter is positive if the same request may succeed after that time.
	RetryAfter time.Duration
	// NotProposed is true if nothing was proposed for this sending. An earlier
	// one under the same RequestID may have been accepted all the same.
	NotProposed bool
	// Leader is the address of the leading replica, if Code is NotLeader and
	// the leader is known.
	Leader string
}

// Refuse returns a refusal with a formatted detail.
func Refuse(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Error implements the error interface.
func (refusal *Refusal) Error() string {
	return fmt.Sprintf("%s (%d): %s", refusal.Code, uint16(refusal.Code), refusal.Detail)
}
