// Package responder owns the shape of the HTTP answers that all interfaces
// share: JSON bodies that carry a numbered code, and the reading of requests
// within their limits.
package responder

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// Answer is the body of every answer that decides something.
type Answer struct {
	Code coder.Code
	Name string
	// NotRun is true only if nothing was run for the request.
	NotRun bool
	// NotProposed is true if nothing was proposed for this sending, while an
	// earlier one under the same RequestID may have been accepted.
	NotProposed bool   `json:",omitempty"`
	Detail      string `json:",omitempty"`
	// RetryAfterMillis is positive if the same request may succeed later.
	RetryAfterMillis int64             `json:",omitempty"`
	Job              modeller.JobID    `json:",omitempty"`
	Revision         modeller.Revision `json:",omitempty"`
	Faults           []string          `json:",omitempty"`
}

// codeKey is where a request's context keeps the code of its answer.
const codeKey = "Code"

// CodeOf returns the code that a request was answered with; one that was
// answered with what it asked for has OK.
func CodeOf(context echo.Context) coder.Code {
	code, _ := context.Get(codeKey).(coder.Code)
	return code
}

// Result answers with what was decided about a command.
func Result(context echo.Context, result applier.Result) error {
	context.Set(codeKey, result.Code)
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

// Refusal answers with why a request was not carried out.
func Refusal(context echo.Context, refusal *coder.Refusal) error {
	return Faults(context, refusal, nil)
}

// Faults answers with a refusal and a list of what was wrong.
func Faults(context echo.Context, refusal *coder.Refusal, faults []string) error {
	context.Set(codeKey, refusal.Code)
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

// Decode reads a JSON body within the limit. It takes one value with known
// fields and nothing behind it.
func Decode(context echo.Context, limit int64, value any) *coder.Refusal {
	reader := http.MaxBytesReader(context.Response(), context.Request().Body, limit)
	decoder := json.NewDecoder(reader)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(value)
	if err == nil {
		_, err = decoder.Token()
		if err == nil {
			err = errors.New("more than one value")
		} else if errors.Is(err, io.EOF) {
			err = nil
		}
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return coder.Refuse(coder.BodyTooLarge, "the body is larger than %d bytes", limit)
	}
	if err != nil {
		return coder.Refuse(coder.Malformed, "the body is not the JSON wanted here: %v", err)
	}
	return nil
}

// Handler answers what the routes themselves fail with, so that an unknown
// route or method has a code too.
func Handler(err error, context echo.Context) {
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
		context.Set(codeKey, coder.Malformed)
		row := coder.Malformed.Row()
		_ = context.JSON(failure.Code, Answer{Code: row.Code, Name: row.Name, NotRun: true, Detail: http.StatusText(failure.Code)})
		return
	}
	_ = Refusal(context, coder.Refuse(coder.Internal, "the request could not be served"))
}
