package documenter_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/labstack/echo/v4"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/callerserver"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/operatorserver"
	"github.com/dotterelrill/dotterelrill/responder"
	"github.com/dotterelrill/dotterelrill/workerserver"
)

// example creates the values into which the documented request and answer of a route
// are decoded. A nil function means that there is no body.
type example struct{ request, answer func() any }

func newBody[Body any]() any { return new(Body) }

var routeBodies = map[string]example{
	"POST /v1/jobs":                                     {newBody[callerserver.SubmitRequest], newBody[responder.Answer]},
	"GET /v1/jobs/:id":                                  {nil, newBody[callerserver.JobAnswer]},
	"DELETE /v1/jobs/:id":                               {nil, newBody[responder.Answer]},
	"POST /v1/operator/templates":                       {newBody[operatorserver.TemplateRequest], newBody[responder.Answer]},
	"POST /v1/operator/templates/:name/rollback":        {newBody[operatorserver.RollbackRequest], newBody[responder.Answer]},
	"POST /v1/operator/keys":                            {newBody[operatorserver.KeyRequest], newBody[responder.Answer]},
	"DELETE /v1/operator/keys/:key":                     {nil, newBody[responder.Answer]},
	"GET /v1/operator/jobs/:id":                         {nil, newBody[applier.Job]},
	"DELETE /v1/operator/jobs/:id":                      {nil, newBody[responder.Answer]},
	"POST /v1/operator/workers/:name/drain":             {nil, newBody[responder.Answer]},
	"POST /v1/operator/data-centres/:name/evacuation":   {newBody[operatorserver.EvacuationRequest], newBody[responder.Answer]},
	"DELETE /v1/operator/data-centres/:name/evacuation": {nil, newBody[responder.Answer]},
	"DELETE /v1/operator/members/:id":                   {nil, newBody[responder.Answer]},
	"GET /v1/operator/overview":                         {nil, newBody[messenger.QueryReply]},
	"GET /v1/operator/history":                          {nil, newBody[messenger.HistoryRecord]},
	"POST " + workerserver.HeartbeatPath:                {newBody[messenger.Heartbeat], newBody[messenger.HeartbeatAnswer]},
	"POST " + workerserver.StartPath:                    {newBody[messenger.Start], nil},
	"POST " + workerserver.StopPath:                     {newBody[messenger.AttemptKey], nil},
}

// registeredRoutes returns the routes that an entry serves, and those that workers
// serve, sorted.
func registeredRoutes() []string {
	router := echo.New()
	callerserver.New(callerserver.Config{}).Register(router)
	operatorserver.New(operatorserver.Config{}).Register(router)
	workerserver.New(workerserver.Config{}).Register(router)
	routes := []string{"POST " + workerserver.StartPath, "POST " + workerserver.StopPath}
	for _, route := range router.Routes() {
		// Echo adds a not-found route for each group with middleware.
		if route.Method != echo.RouteNotFound {
			routes = append(routes, route.Method+" "+route.Path)
		}
	}
	slices.Sort(routes)
	return routes
}

var (
	routeHeading = regexp.MustCompile(`(?m)^### ([A-Z]+ /\S+)$`)
	bodyBlock    = regexp.MustCompile("(?s)```json (request|answer)\n(.*?)```")
)

// documentedRoutes returns the section of API.md for each route.
func documentedRoutes(c *quicktest.C) map[string]string {
	page, err := os.ReadFile(filepath.Join(docsFolder, "API.md"))
	c.Assert(err, quicktest.IsNil)
	matches := routeHeading.FindAllSubmatchIndex(page, -1)
	sections := make(map[string]string)
	for index, match := range matches {
		end := len(page)
		if index+1 < len(matches) {
			end = matches[index+1][0]
		}
		sections[string(page[match[2]:match[3]])] = string(page[match[1]:end])
	}
	return sections
}

func TestEveryRouteIsDocumented(t *testing.T) {
	c := quicktest.New(t)
	var routes []string
	for route := range documentedRoutes(c) {
		routes = append(routes, route)
	}
	slices.Sort(routes)
	c.Assert(routes, quicktest.DeepEquals, registeredRoutes())
}

func TestExamplesDecode(t *testing.T) {
	for route, section := range documentedRoutes(quicktest.New(t)) {
		t.Run(route, func(t *testing.T) {
			c := quicktest.New(t)
			expected := routeBodies[route]
			bodies := make(map[string]string)
			for _, block := range bodyBlock.FindAllStringSubmatch(section, -1) {
				bodies[block[1]] = block[2]
			}
			decode(c, bodies["request"], expected.request)
			decode(c, bodies["answer"], expected.answer)
		})
	}
}

func decode(c *quicktest.C, body string, newTarget func() any) {
	c.Helper()
	if newTarget == nil {
		c.Assert(body, quicktest.Equals, "")
		return
	}
	decoder := json.NewDecoder(strings.NewReader(body))
	decoder.DisallowUnknownFields()
	c.Assert(decoder.Decode(newTarget()), quicktest.IsNil, quicktest.Commentf("%s", body))
}
