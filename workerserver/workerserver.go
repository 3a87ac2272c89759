// Package workerserver owns the HTTP interface with workers: the heartbeats
// that workers send to any entry, and the orders that entries send to workers.
// Bodies are JSON.
//
// A fleet whose workers use another protocol only has to replace this package.
// The leader decides how to handle a heartbeat.
package workerserver

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/certifier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/responder"
)

// heartbeatTimeout is the deadline for answering a heartbeat.
const heartbeatTimeout = 3 * time.Second

// Config describes a Server.
type Config struct {
	// BodyLimit is the maximum size of a request body in bytes.
	BodyLimit int64
	// Authenticated reports whether a request comes with a certificate of the
	// system's certificate authority, or needs none because TLS is off.
	Authenticated func(request *http.Request) bool
	// Beat sends a heartbeat to the leader and returns its answer.
	Beat func(ctx context.Context, heartbeat *messenger.Heartbeat) (*messenger.HeartbeatAnswer, *coder.Refusal)
}

// Server handles the requests of workers.
type Server struct {
	config Config
}

// New returns a server for workers.
func New(config Config) *Server {
	return &Server{config: config}
}

// HeartbeatPath is the path to which workers send heartbeats.
const HeartbeatPath = "/v1/workers/beat"

// Register adds the routes.
func (server *Server) Register(router *echo.Echo) {
	router.POST(HeartbeatPath, server.heartbeat)
}

func (server *Server) heartbeat(request echo.Context) error {
	if !server.config.Authenticated(request.Request()) {
		return responder.Refusal(request, coder.Refuse(coder.BadCertificate, "a worker needs a certificate of the system's authority"))
	}
	var heartbeat messenger.Heartbeat
	if refusal := responder.Decode(request, server.config.BodyLimit, &heartbeat); refusal != nil {
		return responder.Refusal(request, refusal)
	}
	if heartbeat.Worker.Name == "" || heartbeat.Worker.Incarnation == 0 {
		return responder.Refusal(request, coder.Refuse(coder.Malformed, "a heartbeat needs its worker's name and incarnation"))
	}
	ctx, cancel := context.WithTimeout(request.Request().Context(), heartbeatTimeout)
	defer cancel()
	answer, refusal := server.config.Beat(ctx, &heartbeat)
	if refusal != nil {
		return responder.Refusal(request, refusal)
	}
	return request.JSON(http.StatusOK, answer)
}

// The paths at which workers accept orders.
const (
	StartPath = "/v1/start"
	StopPath  = "/v1/stop"
)

// orderTimeout is the time within which a worker must acknowledge an order.
const orderTimeout = 2 * time.Second

// Client sends orders to workers. All its calls to one worker share a limited
// number of connections.
type Client struct {
	http   *http.Client
	scheme string
}

// NewClient returns a client that opens at most the given number of connections
// to each worker, with the certifier's TLS configuration.
func NewClient(connectionsPerWorker int, certifier *certifier.Certifier) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxConnsPerHost = connectionsPerWorker
	transport.MaxIdleConnsPerHost = connectionsPerWorker
	certifier.ConfigureTransport(transport)
	return &Client{http: &http.Client{Transport: transport, Timeout: orderTimeout}, scheme: certifier.Scheme()}
}

// Send sends an order to its worker. It returns an error unless the worker
// responds with status 200.
func (client *Client) Send(ctx context.Context, order *messenger.Order) error {
	if order.Start != nil {
		return client.post(ctx, order.Address, StartPath, order.Start)
	}
	return client.post(ctx, order.Address, StopPath, order.Stop)
}

func (client *Client) post(ctx context.Context, address, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode an order")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, client.scheme+"://"+address+path, bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "create the request of an order")
	}
	request.Header.Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	response, err := client.http.Do(request)
	if err != nil {
		return eris.Wrapf(err, "send an order to %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("worker at %s answered %s", address, response.Status)
	}
	return nil
}
