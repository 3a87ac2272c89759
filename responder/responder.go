// Package responder owns the form of the HTTP responses that all interfaces
// share, JSON bodies with a numbered code, and the decoding of request bodies
// within a size limit.
package responder

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/budgeter"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// Answer is the JSON body of a response that reports a result or a refusal.
type Answer struct {
	Code coder.Code
	Name string
	// NotRun is true only if nothing was run for the request, by this or an
	// earlier sending.
	NotRun bool
	// NotProposed is true if this sending of the request proposed no command;
	// an earlier one with the same RequestID may have been accepted.
	NotProposed bool   `json:",omitempty"`
	Detail      string `json:",omitempty"`
	// RetryAfterMillis is positive if the same request may succeed later.
	RetryAfterMillis int64             `json:",omitempty"`
	Job              modeller.JobID    `json:",omitempty"`
	Revision         modeller.Revision `json:",omitempty"`
	Faults           []string          `json:",omitempty"`
}

// codeContextKey is the key of the response's code in a request's context.
const codeContextKey = "Code"

// CodeOf returns the code of the response to a request. It is OK if the
// response was not written by this package.
func CodeOf(context echo.Context) coder.Code {
	code, _ := context.Get(codeContextKey).(coder.Code)
	return code
}

// Result responds with the result of a command, under the HTTP status of its
// code.
func Result(context echo.Context, result applier.Result) error {
	context.Set(codeContextKey, result.Code)
	row := result.Code.Row()
	return context.JSON(row.Status, Answer{
		Code:     result.Code,
		Name:     row.Name,
		NotRun:   row.NotRun,
		Detail:   result.Detail,
		Job:      result.Job,
		Revision: result.Revision,
	})
}

// Refusal responds with a refusal, under the HTTP status of its code.
func Refusal(context echo.Context, refusal *coder.Refusal) error {
	return Faults(context, refusal, nil)
}

// Faults responds with a refusal and a list of the faults found in the request.
func Faults(context echo.Context, refusal *coder.Refusal, faults []string) error {
	context.Set(codeContextKey, refusal.Code)
	row := refusal.Code.Row()
	answer := Answer{
		Code:             refusal.Code,
		Name:             row.Name,
		NotRun:           row.NotRun,
		NotProposed:      refusal.NotProposed,
		Detail:           refusal.Detail,
		RetryAfterMillis: refusal.RetryAfter.Milliseconds(),
		Faults:           faults,
	}
	if refusal.RetryAfter > 0 {
		seconds := int((refusal.RetryAfter + time.Second - 1) / time.Second)
		context.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	return context.JSON(row.Status, answer)
}

// noMemoryRetryAfter is the delay after which a request may be sent again that found no
// memory. What holds the memory is answered, or closed, within seconds.
const noMemoryRetryAfter = time.Second

// Decode decodes a request's JSON body into value. The body must not be larger
// than limit bytes and must hold a single value without unknown fields; otherwise
// the refusal is BodyTooLarge or Malformed.
func Decode(context echo.Context, limit int64, value any) *coder.Refusal {
	data, err := budgeter.ReadBody(context.Request(), limit)
	switch {
	case errors.Is(err, budgeter.ErrTooLarge):
		return coder.Refuse(coder.BodyTooLarge, "the body is larger than %d bytes", limit)
	case errors.Is(err, budgeter.ErrClosed), errors.Is(err, budgeter.ErrFull):
		refusal := coder.Refuse(coder.NotServing, "%v", err)
		refusal.RetryAfter, refusal.NotProposed = noMemoryRetryAfter, true
		return refusal
	case err != nil:
		return coder.Refuse(coder.Malformed, "cannot read the body: %v", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	err = decoder.Decode(value)
	if err == nil {
		_, err = decoder.Token()
		if err == nil {
			err = errors.New("more than one value")
		} else if errors.Is(err, io.EOF) {
			err = nil
		}
	}
	if err != nil {
		return coder.Refuse(coder.Malformed, "the body is not the expected JSON: %v", err)
	}
	return nil
}

// HandleError is echo's HTTP error handler. It responds to errors that routing
// or a handler returns, so that an unknown route or method gets a code too.
func HandleError(err error, context echo.Context) {
	if context.Response().Committed {
		return
	}
	var refusal *coder.Refusal
	if errors.As(err, &refusal) {
		_ = Refusal(context, refusal)
		return
	}
	var failure *echo.HTTPError
	if errors.As(err, &failure) && failure.Code < http.StatusInternalServerError {
		context.Set(codeContextKey, coder.Malformed)
		row := coder.Malformed.Row()
		_ = context.JSON(failure.Code, Answer{Code: row.Code, Name: row.Name, NotRun: true, Detail: http.StatusText(failure.Code)})
		return
	}
	_ = Refusal(context, coder.Refuse(coder.Internal, "the request failed with an internal error"))
}
