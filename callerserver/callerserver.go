// Package callerserver owns the HTTP interface for callers: it submits jobs,
// returns their outcomes and answers, and cancels them. Bodies are JSON.
//
// A caller authenticates with its client account's key as a bearer token. Only
// the hash of the key leaves this package. The applier authorises requests; this
// package checks their form and translates results into HTTP responses.
package callerserver

import (
	"context"
	"hash/crc32"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/keyer"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/responder"
)

// Limits of requests.
const (
	maxRequestIDLength = 128
	maxWait            = 60 * time.Second
	// decisionTimeout is the deadline of a proposal and of a query at the leader.
	decisionTimeout = 10 * time.Second
)

// Config describes a Server.
type Config struct {
	// BodyLimit is the maximum size of a request body in bytes.
	BodyLimit int64
	// Admit decides on admission before a submission goes to the cell; nil
	// admits all. The function that it returns is called once the submission is
	// decided.
	Admit func(submit *applier.Submit) (func(), *coder.Refusal)
	// Propose proposes a command to the cell and returns its result.
	Propose func(ctx context.Context, command *applier.Command) (applier.Result, *coder.Refusal)
	// Job returns a job from the leader's state.
	Job func(ctx context.Context, request *messenger.JobRequest) (*applier.Job, *coder.Refusal)
}

// Server handles the requests of callers.
type Server struct {
	config Config
}

// New returns a server for callers.
func New(config Config) *Server {
	return &Server{config: config}
}

// Register adds the routes.
func (server *Server) Register(router *echo.Echo) {
	router.POST("/v1/jobs", server.submit)
	router.GET("/v1/jobs/:id", server.show)
	router.DELETE("/v1/jobs/:id", server.cancel)
}

// SubmitRequest is the body of a submission.
type SubmitRequest struct {
	RequestID     modeller.RequestID
	ClientAccount modeller.ClientAccountName
	Queue         modeller.QueueName
	// Tasks is the number of tasks in the job.
	Tasks uint32
	// Size is the resource request of each task; zero means the queue's default.
	Size modeller.Resources
	// RunTimeMillis is the caller's estimate of a task's run time; zero means
	// the queue's default.
	RunTimeMillis modeller.Millis
	// Payload is passed to the worker unchanged.
	Payload []byte
}

func (server *Server) submit(context echo.Context) error {
	var request SubmitRequest
	if refusal := responder.Decode(context, server.config.BodyLimit, &request); refusal != nil {
		return responder.Refusal(context, refusal)
	}
	if refusal := checkRequestID(request.RequestID); refusal != nil {
		return responder.Refusal(context, refusal)
	}
	submit := &applier.Submit{
		ClientAccount: request.ClientAccount,
		Queue:         request.Queue,
		Key:           callerKey(context),
		Work:          modeller.Work{Tasks: request.Tasks, Size: request.Size, RunTime: request.RunTimeMillis, Payload: request.Payload},
	}
	if server.config.Admit != nil {
		done, refusal := server.config.Admit(submit)
		if refusal != nil {
			return responder.Refusal(context, refusal)
		}
		defer done()
	}
	return server.proposeAndRespond(context, &applier.Command{RequestID: request.RequestID, Submit: submit})
}

func checkRequestID(id modeller.RequestID) *coder.Refusal {
	if id == "" || len(id) > maxRequestIDLength {
		return coder.Refuse(coder.MissingRequestID, "a RequestID has 1 to %d characters", maxRequestIDLength)
	}
	return nil
}

func callerKey(context echo.Context) modeller.KeyHash {
	return keyer.Hash(keyer.Bearer(context.Request().Header.Get(echo.HeaderAuthorization)))
}

func (server *Server) proposeAndRespond(request echo.Context, command *applier.Command) error {
	ctx, cancel := context.WithTimeout(request.Request().Context(), decisionTimeout)
	defer cancel()
	command.Actor = "key " + callerKey(request).Fingerprint()
	result, refusal := server.config.Propose(ctx, command)
	if refusal != nil {
		return responder.Refusal(request, refusal)
	}
	return responder.Result(request, result)
}

func (server *Server) cancel(context echo.Context) error {
	id, refusal := jobID(context)
	if refusal != nil {
		return responder.Refusal(context, refusal)
	}
	request := modeller.RequestID(context.QueryParam("RequestID"))
	if refusal := checkRequestID(request); refusal != nil {
		return responder.Refusal(context, refusal)
	}
	return server.proposeAndRespond(context, &applier.Command{RequestID: request, Cancel: &applier.Cancel{Job: id, Key: callerKey(context)}})
}

func jobID(context echo.Context) (modeller.JobID, *coder.Refusal) {
	number, err := strconv.ParseUint(context.Param("id"), 10, 64)
	if err != nil || number == 0 {
		return 0, coder.Refuse(coder.Malformed, "a job is named by its number")
	}
	return modeller.JobID(number), nil
}

// JobAnswer is the response body that describes a job.
type JobAnswer struct {
	Job     modeller.JobID
	Outcome string
	// Code is the reason if the job was refused after its acceptance.
	Code   coder.Code
	Detail string `json:",omitempty"`
	Tasks  []TaskAnswer
}

// TaskAnswer describes a task in a JobAnswer.
type TaskAnswer struct {
	Index   uint32
	State   string
	Outcome string
	Attempt modeller.Attempt
	Detail  string `json:",omitempty"`
	// Body is the task's complete answer; Length is its size in bytes and
	// Checksum its CRC-32C, both as the worker reported them.
	Body     []byte `json:",omitempty"`
	Length   uint32
	Checksum uint32
}

func (server *Server) show(request echo.Context) error {
	id, refusal := jobID(request)
	if refusal != nil {
		return responder.Refusal(request, refusal)
	}
	wait, refusal := parseWait(request)
	if refusal != nil {
		return responder.Refusal(request, refusal)
	}
	job, refusal := server.awaitOutcome(request.Request().Context(), &messenger.JobRequest{Job: id, Key: callerKey(request)}, wait)
	if refusal != nil {
		return responder.Refusal(request, refusal)
	}
	answer, intact := newJobAnswer(job)
	if !intact {
		return responder.Refusal(request, coder.Refuse(coder.AnswerCorrupt, "an answer was corrupted in transit; retry"))
	}
	return request.JSON(http.StatusOK, answer)
}

func parseWait(context echo.Context) (time.Duration, *coder.Refusal) {
	text := context.QueryParam("WaitMillis")
	if text == "" {
		return 0, nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis < 0 || millis > maxWait.Milliseconds() {
		return 0, coder.Refuse(coder.Malformed, "WaitMillis is a whole number from 0 to %d", maxWait.Milliseconds())
	}
	return time.Duration(millis) * time.Millisecond, nil
}

// maxLeaderWait is the longest wait of one query at the leader. It is short so
// that a waiting request follows a change of leader.
const maxLeaderWait = time.Second

// awaitOutcome queries the job until it has an outcome or the wait is over, and
// returns its last state.
func (server *Server) awaitOutcome(ctx context.Context, request *messenger.JobRequest, wait time.Duration) (*applier.Job, *coder.Refusal) {
	deadline := time.Now().Add(wait)
	for {
		remaining := time.Until(deadline)
		request.Wait = modeller.Millis(min(max(remaining, 0), maxLeaderWait).Milliseconds())
		ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
		job, refusal := server.config.Job(ctx, request)
		cancel()
		if refusal != nil || job.Outcome != modeller.NoOutcome || remaining <= 0 {
			return job, refusal
		}
	}
}

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// newJobAnswer describes a job for its caller. It reports false if an answer in
// it does not match its length or checksum.
func newJobAnswer(job *applier.Job) (JobAnswer, bool) {
	answer := JobAnswer{Job: job.Spec.ID, Outcome: job.Outcome.String(), Code: job.Code, Detail: job.Detail}
	for index := range job.Tasks {
		task := &job.Tasks[index]
		taskAnswer := TaskAnswer{
			Index:   uint32(index),
			State:   task.State.String(),
			Outcome: task.Outcome.String(),
			Attempt: task.Attempt,
			Detail:  task.Detail,
		}
		if task.Answer != nil {
			taskAnswer.Body, taskAnswer.Length, taskAnswer.Checksum = task.Answer.Body, task.Answer.Length, task.Answer.Checksum
			if int(taskAnswer.Length) != len(taskAnswer.Body) || crc32.Checksum(taskAnswer.Body, castagnoliTable) != taskAnswer.Checksum {
				return JobAnswer{}, false
			}
		}
		answer.Tasks = append(answer.Tasks, taskAnswer)
	}
	return answer, true
}
