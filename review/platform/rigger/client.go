package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// body is the body of a request or response.
type body map[string]any

// answer is the answer to a call; its status is 0 if none came.
type answer struct {
	status int
	text   string
}

// call sends a request on a channel of its own.
func call(ctx context.Context, method, address, host, path, key string, content any) answer {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	var data []byte
	if content != nil {
		data, _ = json.Marshal(content)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return answer{}
	}
	request.Close = true
	if host != "" {
		request.Host = host
	}
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("X-Api-Key", key)
		request.Header.Set("X-Deadline-Ms", "3000")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{text: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{text: err.Error()}
	}
	return answer{status: response.StatusCode, text: string(text)}
}

// accepted reports whether the answer is an acknowledgement.
func (answer answer) accepted() bool { return answer.status >= 200 && answer.status < 300 }

// configure sends a desired state to the replicas in turn until one acknowledges it.
func (rig *rig) configure(ctx context.Context) error {
	rig.version += 7
	unlimited := body{"cpu": 0, "memMb": 0, "gpu": 0}
	desired := body{
		"version": rig.version,
		"routes": []body{{
			"name": "r-ihhacru", "host": queueHost, "pathPrefix": queuePrefix, "kind": "unsafe", "timeoutMs": 3000, "completionTargetMs": 1000, "priority": 1,
			"service": serviceName, "maxAttempts": 4, "slackFactor": 4.0, "public": false,
		}},
		"services": []body{{"name": serviceName, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "admissionCheck": false, "standby": false}},
		"limits":   body{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []body{
			{"name": "kaje80", "apiKeys": tenantKeys[:1], "priority": 1, "weight": 31, "upperBound": unlimited},
			{"name": "fexd97", "apiKeys": tenantKeys[1:], "priority": 1, "weight": 31, "upperBound": unlimited},
		},
	}
	for try := 0; ctx.Err() == nil; try++ {
		answered := call(ctx, http.MethodPut, rig.address(try%replicaCount, portControl), "", "/config", "", desired)
		if answered.accepted() {
			rig.add("operator: version %d acknowledged", rig.version)
			return nil
		}
		pause(ctx, 200*time.Millisecond)
	}
	return fmt.Errorf("version %d is not acknowledged", rig.version)
}

// submit submits a job of the first tenant.
func (rig *rig) submit(ctx context.Context, id string, job body) answer {
	return rig.submitAs(ctx, tenantKeys[0], id, job)
}

// submitAs submits a job at one of the entries until it is accepted or rejected.
func (rig *rig) submitAs(ctx context.Context, key, id string, job body) answer {
	answered := answer{}
	for try := range 5 {
		answered = call(ctx, http.MethodPost, rig.address(try%entryCount, portFrontend), queueHost, queuePrefix+id, key, job)
		rig.add("client: POST %s -> %d %s", shortID(id), answered.status, answered.text)
		if answered.status != 0 && answered.status != http.StatusBadGateway && answered.status != http.StatusGatewayTimeout {
			return answered
		}
		pause(ctx, 200*time.Millisecond)
	}
	return answered
}

// state asks an entry for a job's state.
func (rig *rig) state(ctx context.Context, id string) (string, answer) {
	answered := call(ctx, http.MethodGet, rig.address(0, portFrontend), queueHost, queuePrefix+id, tenantKeys[0], nil)
	var shown struct {
		State string `json:"state"`
	}
	if answered.accepted() && json.Unmarshal([]byte(answered.text), &shown) != nil {
		return "", answered
	}
	return shown.State, answered
}

// awaitState asks for a job's state until it is one of those given or the time is over, and
// returns the last one.
func (rig *rig) awaitState(ctx context.Context, id string, limit time.Duration, states ...string) string {
	shown := ""
	for until := time.Now().Add(limit); time.Now().Before(until) && ctx.Err() == nil; pause(ctx, 100*time.Millisecond) {
		state, answered := rig.state(ctx, id)
		if state != shown || !answered.accepted() {
			rig.add("client: GET %s -> %d %s", shortID(id), answered.status, answered.text)
		}
		shown = state
		for _, wanted := range states {
			if shown == wanted {
				return shown
			}
		}
	}
	return shown
}
