package callerserver_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/labstack/echo/v4"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/callerserver"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/internal/weigher"
)

// FuzzSubmission guards against a body from a caller that makes the server panic or
// allocate more than a multiple of its size.
func FuzzSubmission(f *testing.F) {
	for _, seed := range weigher.Seeds(`{"RequestID":"a","ClientAccount":"a","Queue":"a","Tasks":1,"Size":{"MilliProcessors":1},"Payload":"YQ=="}`, `{"Payload":[`, `{"Size":[`) {
		f.Add([]byte(seed))
	}
	router := echo.New()
	callerserver.New(callerserver.Config{
		BodyLimit: 262_144,
		Propose: func(context.Context, *applier.Command) (applier.Result, *coder.Refusal) {
			return applier.Result{}, nil
		},
	}).Register(router)
	f.Fuzz(func(t *testing.T, data []byte) {
		weigher.Check(t, data, func() {
			router.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/jobs", bytes.NewReader(data)))
		})
	})
}
