package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/callerserver"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/operatorserver"
	"github.com/dotterelrill/dotterelrill/responder"
)

const template = `[Template]
Name = load
ClientAccount = load
LimitMilliProcessors = 1000000
LimitMemoryMiB = 1000000
[Queue.urgent]
Kind = Batch
Urgency = Urgent
OpenToAll = true
MilliProcessors = 100
MemoryMiB = 16
RunTime = 5ms
MaxWaiting = 1000000
`

// prepare waits until the fleet serves and applies the template.
func (meter *meter) prepare(ctx context.Context) error {
	http.DefaultTransport.(*http.Transport).MaxIdleConnsPerHost = callerCount
	if err := meter.fleet.AwaitReady(ctx); err != nil {
		return err
	}
	body, err := json.Marshal(operatorserver.TemplateRequest{RequestID: "load", File: "load.ini", Source: template})
	if err != nil {
		return eris.Wrap(err, "encode the template")
	}
	return meter.post(ctx, 0, "/v1/operator/templates", body)
}

// submit sends one request, with one RequestID, until it is accepted.
func (meter *meter) submit(ctx context.Context, caller int) error {
	request := callerserver.SubmitRequest{RequestID: modeller.RequestID(uuid.NewString()), ClientAccount: "load", Queue: "urgent", Tasks: 1}
	body, err := json.Marshal(request)
	if err != nil {
		return eris.Wrap(err, "encode a request")
	}
	for {
		err := meter.post(ctx, caller, "/v1/jobs", body)
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(pollInterval)
	}
}

func (meter *meter) post(ctx context.Context, entry int, path string, body []byte) error {
	url := "http://" + meter.fleet.EntryAddress[entry%len(meter.fleet.EntryAddress)] + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "create a request")
	}
	if path != "/v1/jobs" {
		request.Header.Set("Authorization", "Bearer "+meter.fleet.OperatorKey)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrap(err, "send a request")
	}
	defer func() { _ = response.Body.Close() }()
	var answer responder.Answer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return eris.Wrap(err, "decode an answer")
	}
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("%s: %s", answer.Name, answer.Detail)
	}
	return nil
}
