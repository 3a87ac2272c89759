// Package operatorserver owns the HTTP interface for operators and reviewers:
// templates, keys, workers, data centres, members, overviews and the history. Bodies are JSON.
//
// Operators authenticate with keys of their own; each entry has the hashes of
// these keys in its settings. No route places a task manually: operators
// influence placement only through templates.
package operatorserver

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/journaler"
	"github.com/dotterelrill/dotterelrill/keyer"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/responder"
	"github.com/dotterelrill/dotterelrill/stager"
	"github.com/dotterelrill/dotterelrill/templater"
)

// decisionTimeout is the deadline of a proposal.
const decisionTimeout = 10 * time.Second

// Operator is a person with access to the interface, and the hash of their key.
type Operator struct {
	Name modeller.OperatorName
	Key  modeller.KeyHash
}

// Config describes a Server.
type Config struct {
	// BodyLimit is the maximum size of a request body in bytes.
	BodyLimit int64
	Operators []Operator
	// Propose proposes a command to the cell and returns its result.
	Propose func(ctx context.Context, command *applier.Command) (applier.Result, *coder.Refusal)
	// Query returns an overview of the leader's state.
	Query func(ctx context.Context, request *messenger.QueryRequest) (*messenger.QueryReply, *coder.Refusal)
	// Job returns a job from the leader's state.
	Job func(ctx context.Context, request *messenger.JobRequest) (*applier.Job, *coder.Refusal)
	// Member changes the cell's members.
	Member func(ctx context.Context, request *messenger.MemberRequest) *coder.Refusal
	// History passes the log's records to visit, in log order.
	History func(ctx context.Context, request *messenger.HistoryRequest, visit func(*messenger.HistoryRecord) error) error
}

// Server handles the requests of operators.
type Server struct {
	config Config
}

// New returns a server for operators.
func New(config Config) *Server {
	return &Server{config: config}
}

// operatorContextKey is the key of the operator's name in a request's context.
const operatorContextKey = "Operator"

// Register adds the routes.
func (server *Server) Register(router *echo.Echo) {
	group := router.Group("/v1/operator", server.authenticate)
	group.POST("/templates", server.applyTemplate)
	group.POST("/templates/:name/rollback", server.rollback)
	group.POST("/keys", server.grantKey)
	group.DELETE("/keys/:key", server.withdrawKey)
	group.DELETE("/jobs/:id", server.cancel)
	group.GET("/jobs/:id", server.job)
	group.POST("/workers/:name/drain", server.drain)
	group.POST("/data-centres/:name/evacuation", server.evacuate)
	group.DELETE("/data-centres/:name/evacuation", server.restore)
	group.DELETE("/members/:id", server.removeMember)
	group.GET("/overview", server.overview)
	group.GET("/history", server.history)
}

// authenticate rejects requests without an operator's key. It compares the hash
// of the key with every operator's in constant time, against timing attacks.
func (server *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(context echo.Context) error {
		hash := keyer.Hash(keyer.Bearer(context.Request().Header.Get(echo.HeaderAuthorization)))
		name := modeller.OperatorName("")
		for _, operator := range server.config.Operators {
			if keyer.Equal(operator.Key, hash) {
				name = operator.Name
			}
		}
		if name == "" {
			return responder.Refusal(context, coder.Refuse(coder.NotOperator, "the request requires an operator's key"))
		}
		context.Set(operatorContextKey, name)
		return next(context)
	}
}

// actorOf returns the name of the request's operator as recorded in the log.
func actorOf(context echo.Context) string {
	name, _ := context.Get(operatorContextKey).(modeller.OperatorName)
	return "operator " + string(name)
}

func (server *Server) proposeAndRespond(request echo.Context, command *applier.Command) error {
	ctx, cancel := context.WithTimeout(request.Request().Context(), decisionTimeout)
	defer cancel()
	command.Actor = actorOf(request)
	result, refusal := server.config.Propose(ctx, command)
	if refusal != nil {
		return responder.Refusal(request, refusal)
	}
	return responder.Result(request, result)
}

// TemplateRequest is the body of a request to apply a template.
type TemplateRequest struct {
	RequestID modeller.RequestID
	// Expected is the template's current revision as the operator knows it. The
	// request is refused if another one is in force.
	Expected modeller.Revision
	// File is the template's file name, for use in fault messages.
	File       string
	Source     string
	Parameters map[string]string
}

func (server *Server) applyTemplate(context echo.Context) error {
	var request TemplateRequest
	if refusal := responder.Decode(context, server.config.BodyLimit, &request); refusal != nil {
		return responder.Refusal(context, refusal)
	}
	template, faults := templater.Parse(request.File, request.Source, request.Parameters)
	if len(faults) > 0 {
		lines := make([]string, 0, len(faults))
		for _, fault := range faults {
			lines = append(lines, fault.Error())
		}
		return responder.Faults(context, coder.Refuse(coder.BadTemplate, "the template has %d faults", len(faults)), lines)
	}
	apply := &applier.ApplyTemplate{Expected: request.Expected, Template: template}
	return server.proposeAndRespond(context, &applier.Command{RequestID: request.RequestID, ApplyTemplate: apply})
}

// KeyRequest is the body of a request to grant a key.
type KeyRequest struct {
	RequestID     modeller.RequestID
	ClientAccount modeller.ClientAccountName
	// Key is the hash of the key; the key itself stays with its creator.
	Key modeller.KeyHash
}

func (server *Server) grantKey(context echo.Context) error {
	var request KeyRequest
	if refusal := responder.Decode(context, server.config.BodyLimit, &request); refusal != nil {
		return responder.Refusal(context, refusal)
	}
	hash, err := keyer.Parse(string(request.Key))
	if err != nil {
		return responder.Refusal(context, coder.Refuse(coder.Malformed, "%v", err))
	}
	grant := &applier.GrantKey{ClientAccount: request.ClientAccount, Key: hash}
	return server.proposeAndRespond(context, &applier.Command{RequestID: request.RequestID, GrantKey: grant})
}

func (server *Server) withdrawKey(context echo.Context) error {
	withdraw := &applier.WithdrawKey{Key: modeller.KeyHash(context.Param("key"))}
	return server.proposeAndRespond(context, &applier.Command{RequestID: requestID(context), WithdrawKey: withdraw})
}

func requestID(context echo.Context) modeller.RequestID {
	return modeller.RequestID(context.QueryParam("RequestID"))
}

func (server *Server) cancel(context echo.Context) error {
	id, refusal := jobID(context)
	if refusal != nil {
		return responder.Refusal(context, refusal)
	}
	cancel := &applier.Cancel{Job: id, Operator: true}
	return server.proposeAndRespond(context, &applier.Command{RequestID: requestID(context), Cancel: cancel})
}

func jobID(context echo.Context) (modeller.JobID, *coder.Refusal) {
	number, err := strconv.ParseUint(context.Param("id"), 10, 64)
	if err != nil || number == 0 {
		return 0, coder.Refuse(coder.Malformed, "a job is named by its number")
	}
	return modeller.JobID(number), nil
}

func (server *Server) job(context echo.Context) error {
	id, refusal := jobID(context)
	if refusal != nil {
		return responder.Refusal(context, refusal)
	}
	job, refusal := server.config.Job(context.Request().Context(), &messenger.JobRequest{Job: id, Operator: true})
	if refusal != nil {
		return responder.Refusal(context, refusal)
	}
	return context.JSON(http.StatusOK, job)
}

func (server *Server) drain(context echo.Context) error {
	name := modeller.WorkerName(context.Param("name"))
	reply, refusal := server.config.Query(context.Request().Context(), &messenger.QueryRequest{Workers: true})
	if refusal != nil {
		return responder.Refusal(context, refusal)
	}
	for _, row := range reply.Workers {
		if row.Description.Name == name {
			set := &applier.SetWorker{Worker: name, Incarnation: row.Description.Incarnation, State: modeller.WorkerDraining, Reason: "drained by " + actorOf(context)}
			return server.proposeAndRespond(context, &applier.Command{SetWorker: set})
		}
	}
	return responder.Refusal(context, coder.Refuse(coder.UnknownWorker, "no worker %s", name))
}

// EvacuationRequest is the body of a request to evacuate a data centre.
type EvacuationRequest struct {
	RequestID modeller.RequestID
}

func (server *Server) evacuate(context echo.Context) error {
	var request EvacuationRequest
	if refusal := responder.Decode(context, server.config.BodyLimit, &request); refusal != nil {
		return responder.Refusal(context, refusal)
	}
	evacuate := &stager.Evacuate{DataCentre: modeller.DataCentreName(context.Param("name"))}
	return server.proposeAndRespond(context, &applier.Command{RequestID: request.RequestID, Evacuate: evacuate})
}

func (server *Server) restore(context echo.Context) error {
	restore := &stager.Evacuate{DataCentre: modeller.DataCentreName(context.Param("name")), Withdrawn: true}
	return server.proposeAndRespond(context, &applier.Command{RequestID: requestID(context), Evacuate: restore})
}

func (server *Server) removeMember(context echo.Context) error {
	request := &messenger.MemberRequest{Remove: journaler.ReplicaID(context.Param("id"))}
	if refusal := server.config.Member(context.Request().Context(), request); refusal != nil {
		return responder.Refusal(context, refusal)
	}
	return responder.Result(context, applier.Result{})
}

// maxOverviewJobs is the maximum number of jobs in an overview.
const maxOverviewJobs = 1000

func (server *Server) overview(context echo.Context) error {
	before, err := parseOptional(context.QueryParam("Before"))
	if err != nil {
		return responder.Refusal(context, coder.Refuse(coder.BadFilter, "Before must be a job's number"))
	}
	request := &messenger.QueryRequest{
		Accounts:       context.QueryParam("Accounts") != "",
		Workers:        context.QueryParam("Workers") != "",
		Jobs:           context.QueryParam("Jobs") != "",
		Keys:           context.QueryParam("Keys") != "",
		Members:        context.QueryParam("Members") != "",
		Templates:      context.QueryParam("Templates") != "",
		DataCentres:    context.QueryParam("DataCentres") != "",
		StagedAccounts: context.QueryParam("StagedAccounts") != "",
		ClientAccount:  modeller.ClientAccountName(context.QueryParam("ClientAccount")),
		Open:           context.QueryParam("Open") != "",
		Before:         modeller.JobID(before),
		Most:           maxOverviewJobs,
	}
	reply, refusal := server.config.Query(context.Request().Context(), request)
	if refusal != nil {
		return responder.Refusal(context, refusal)
	}
	return context.JSON(http.StatusOK, reply)
}

// history streams the records that match the filter as JSON lines.
func (server *Server) history(context echo.Context) error {
	request := &messenger.HistoryRequest{Follow: context.QueryParam("Follow") != ""}
	number, err := parseOptional(context.QueryParam("From"))
	if err == nil {
		request.From = number
		number, err = parseOptional(context.QueryParam("Job"))
	}
	if err != nil {
		return responder.Refusal(context, coder.Refuse(coder.BadFilter, "From and Job must be whole numbers"))
	}
	request.Job = modeller.JobID(number)
	filter, refusal := parseFilter(context)
	if refusal != nil {
		return responder.Refusal(context, refusal)
	}
	response := context.Response()
	response.Header().Set(echo.HeaderContentType, "application/x-ndjson")
	encoder := json.NewEncoder(response)
	return server.config.History(context.Request().Context(), request, func(record *messenger.HistoryRecord) error {
		if !filter.matches(record) {
			return nil
		}
		if err := encoder.Encode(record); err != nil {
			return err
		}
		response.Flush()
		return nil
	})
}

func parseOptional(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}
