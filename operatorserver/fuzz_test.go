package operatorserver_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/internal/weigher"
	"github.com/dotterelrill/dotterelrill/keyer"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/operatorserver"
)

// routes are those that take a body.
var routes = []string{"/v1/operator/templates", "/v1/operator/templates/a/rollback", "/v1/operator/keys"}

// FuzzRequest guards against a body from an operator that makes the server panic or
// allocate more than a multiple of its size.
func FuzzRequest(f *testing.F) {
	seeds := weigher.Seeds(`{"RequestID":"a","Expected":1,"File":"a.ini","Source":"[Template]\nName = a\n[Queue.b]\nKind = Batch\n","Parameters":{"a":"b"}}`, `{"Parameters":[`)
	for _, line := range []string{`[a]\n`, `a=b\n`, `$a\n`, `;\n`} {
		seeds = append(seeds, `{"File":"a.ini","Source":"`+strings.Repeat(line, 1000)+`"}`)
	}
	for _, seed := range seeds {
		for route := range routes {
			f.Add(byte(route), []byte(seed))
		}
	}
	const key = "key"
	router := echo.New()
	operatorserver.New(operatorserver.Config{
		BodyLimit: 262_144,
		Operators: []operatorserver.Operator{{Name: "a", Key: keyer.Hash(key)}},
		Propose: func(context.Context, *applier.Command) (applier.Result, *coder.Refusal) {
			return applier.Result{}, nil
		},
		Query: func(context.Context, *messenger.QueryRequest) (*messenger.QueryReply, *coder.Refusal) {
			return &messenger.QueryReply{}, nil
		},
		History: func(context.Context, *messenger.HistoryRequest, func(*messenger.HistoryRecord) error) error {
			return nil
		},
	}).Register(router)
	f.Fuzz(func(t *testing.T, route byte, data []byte) {
		weigher.Check(t, data, func() {
			request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, routes[int(route)%len(routes)], bytes.NewReader(data))
			request.Header.Set(echo.HeaderAuthorization, "Bearer "+key)
			router.ServeHTTP(httptest.NewRecorder(), request)
		})
	})
}
