package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/callerserver"
	"github.com/dotterelrill/dotterelrill/internal/launcher"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/operatorserver"
	"github.com/dotterelrill/dotterelrill/responder"
)

// client sends requests to a fleet as an operator and as a caller. It is safe for
// concurrent use.
type client struct {
	fleet *launcher.Fleet

	mutex        sync.Mutex
	requestCount int
	// revisions holds the revision of each template that the operator applied last,
	// by the template's number.
	revisions map[int]modeller.Revision
}

func newClient(fleet *launcher.Fleet) *client {
	return &client{fleet: fleet, revisions: make(map[int]modeller.Revision)}
}

// nextEntry returns the entries' addresses in turn.
func (client *client) nextEntry() string {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.requestCount++
	return client.fleet.EntryAddress[client.requestCount%len(client.fleet.EntryAddress)]
}

func (client *client) post(ctx context.Context, path, key string, body any) (responder.Answer, error) {
	var answer responder.Answer
	data, err := json.Marshal(body)
	if err != nil {
		return answer, eris.Wrap(err, "encode a request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+client.nextEntry()+path, bytes.NewReader(data))
	if err != nil {
		return answer, eris.Wrap(err, "create a request")
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer, eris.Wrap(err, "send a request")
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return answer, eris.Wrap(err, "decode an answer")
	}
	if response.StatusCode != http.StatusOK {
		return answer, eris.Errorf("%s: %s", answer.Name, answer.Detail)
	}
	return answer, nil
}

// submit submits a job to a queue of the first template.
func (client *client) submit(ctx context.Context, queue modeller.QueueName, tasks uint32) error {
	_, err := client.post(ctx, "/v1/jobs", "", callerserver.SubmitRequest{
		RequestID:     modeller.RequestID(uuid.NewString()),
		ClientAccount: "team-0000",
		Queue:         queue,
		Tasks:         tasks,
	})
	return err
}

// apply applies the next revision of a template. Callers must not apply one
// template concurrently.
func (client *client) apply(ctx context.Context, number int) (modeller.Revision, error) {
	client.mutex.Lock()
	expected := client.revisions[number]
	client.mutex.Unlock()
	answer, err := client.post(ctx, "/v1/operator/templates", client.fleet.OperatorKey, operatorserver.TemplateRequest{
		RequestID: modeller.RequestID(uuid.NewString()),
		Expected:  expected,
		File:      "team.ini",
		Source:    template(number, int(expected)),
	})
	if err != nil {
		return 0, err
	}
	client.mutex.Lock()
	client.revisions[number] = answer.Revision
	client.mutex.Unlock()
	return answer.Revision, nil
}

// queueNames are the queues of every template. Only the first two receive jobs.
var queueNames = []string{"batch", "service", "swap", "reshuffle"}

// template returns the source of a template, of about the same length as those in
// examples/.
func template(number, change int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "; A team's desk, change %d.\n[Template]\nName = team-%04d\nClientAccount = team-%04d\nShare = %d\n", change, number, number, 1+change%7)
	text.WriteString("LimitMilliProcessors = 100000000\nLimitMemoryMiB = 100000000\nLimitTasks = 100000\n")
	for at, name := range queueNames {
		kind := "Batch"
		if name == "service" {
			kind = "Service"
		}
		urgency := []string{"Urgent", "Ordinary", "Deferrable"}[at%3]
		fmt.Fprintf(&text, "\n[Queue.%s]\nKind = %s\nUrgency = %s\nIdempotent = true\nOpenToAll = true\nMilliProcessors = 100\nMemoryMiB = 16\nRunTime = 20ms\nMaxWaiting = 1000000\n", name, kind, urgency)
	}
	return text.String()
}
