package workerserver_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/labstack/echo/v4"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/internal/weigher"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/workerserver"
)

// FuzzHeartbeat guards against a body from a worker that makes the server panic or
// allocate more than a multiple of its size.
func FuzzHeartbeat(f *testing.F) {
	const worker = `{"Worker":{"Name":"a","Incarnation":1},`
	for _, seed := range weigher.Seeds(worker+`"Running":[{}],"Reports":[{}],"Clock":1}`, worker+`"Running":[`, worker+`"Reports":[`) {
		f.Add([]byte(seed))
	}
	router := echo.New()
	workerserver.New(workerserver.Config{
		BodyLimit:     4 << 20,
		Authenticated: func(*http.Request) bool { return true },
		Beat: func(context.Context, *messenger.Heartbeat) (*messenger.HeartbeatAnswer, *coder.Refusal) {
			return &messenger.HeartbeatAnswer{}, nil
		},
	}).Register(router)
	f.Fuzz(func(t *testing.T, data []byte) {
		weigher.Check(t, data, func() {
			router.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(t.Context(), http.MethodPost, workerserver.HeartbeatPath, bytes.NewReader(data)))
		})
	})
}
