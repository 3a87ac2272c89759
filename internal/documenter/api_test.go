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

// example is what a route's request and answer decode into; nil stands for no
// body.
type example struct{ request, answer func() any }

func of[Body any]() any { return new(Body) }

var examples = map[string]example{
	"POST /v1/jobs":                              {of[callerserver.SubmitRequest], of[responder.Answer]},
	"GET /v1/jobs/:id":                           {nil, of[callerserver.JobAnswer]},
	"DELETE /v1/jobs/:id":                        {nil, of[responder.Answer]},
	"POST /v1/operator/templates":                {of[operatorserver.TemplateRequest], of[responder.Answer]},
	"POST /v1/operator/templates/:name/rollback": {of[operatorserver.RollbackRequest], of[responder.Answer]},
	"POST /v1/operator/keys":                     {of[operatorserver.KeyRequest], of[responder.Answer]},
	"DELETE /v1/operator/keys/:key":              {nil, of[responder.Answer]},
	"GET /v1/operator/jobs/:id":                  {nil, of[applier.Job]},
	"DELETE /v1/operator/jobs/:id":               {nil, of[responder.Answer]},
	"POST /v1/operator/workers/:name/drain":      {nil, of[responder.Answer]},
	"DELETE /v1/operator/members/:id":            {nil, of[responder.Answer]},
	"GET /v1/operator/overview":                  {nil, of[messenger.QueryReply]},
	"GET /v1/operator/history":                   {nil, of[messenger.HistoryRecord]},
	"POST " + workerserver.HeartbeatPath:         {of[messenger.Heartbeat], of[messenger.HeartbeatAnswer]},
	"POST " + workerserver.StartPath:             {of[messenger.Start], nil},
	"POST " + workerserver.StopPath:              {of[messenger.AttemptKey], nil},
}

// registered returns the routes of an entry, and those that workers serve.
func registered() []string {
	router := echo.New()
	callerserver.New(callerserver.Config{}).Register(router)
	operatorserver.New(operatorserver.Config{}).Register(router)
	workerserver.New(workerserver.Config{}).Register(router)
	routes := []string{"POST " + workerserver.StartPath, "POST " + workerserver.StopPath}
	for _, route := range router.Routes() {
		// A group with middleware registers a route of its own for what is not
		// found in it.
		if route.Method != echo.RouteNotFound {
			routes = append(routes, route.Method+" "+route.Path)
		}
	}
	slices.Sort(routes)
	return routes
}

var (
	headings = regexp.MustCompile(`(?m)^### ([A-Z]+ /\S+)$`)
	blocks   = regexp.MustCompile("(?s)```json (request|answer)\n(.*?)```")
)

// documented returns each route's section of the page.
func documented(c *quicktest.C) map[string]string {
	page, err := os.ReadFile(filepath.Join(docsFolder, "API.md"))
	c.Assert(err, quicktest.IsNil)
	places := headings.FindAllSubmatchIndex(page, -1)
	sections := make(map[string]string)
	for at, place := range places {
		end := len(page)
		if at+1 < len(places) {
			end = places[at+1][0]
		}
		sections[string(page[place[2]:place[3]])] = string(page[place[1]:end])
	}
	return sections
}

func TestEveryRouteIsDocumented(t *testing.T) {
	c := quicktest.New(t)
	var routes []string
	for route := range documented(c) {
		routes = append(routes, route)
	}
	slices.Sort(routes)
	c.Assert(routes, quicktest.DeepEquals, registered())
}

func TestExamplesDecode(t *testing.T) {
	for route, section := range documented(quicktest.New(t)) {
		t.Run(route, func(t *testing.T) {
			c := quicktest.New(t)
			wanted := examples[route]
			bodies := make(map[string]string)
			for _, block := range blocks.FindAllStringSubmatch(section, -1) {
				bodies[block[1]] = block[2]
			}
			decode(c, bodies["request"], wanted.request)
			decode(c, bodies["answer"], wanted.answer)
		})
	}
}

func decode(c *quicktest.C, body string, into func() any) {
	c.Helper()
	if into == nil {
		c.Assert(body, quicktest.Equals, "")
		return
	}
	decoder := json.NewDecoder(strings.NewReader(body))
	decoder.DisallowUnknownFields()
	c.Assert(decoder.Decode(into()), quicktest.IsNil, quicktest.Commentf("%s", body))
}
