package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// The queue of all cases.
const (
	queueHost   = "nony24.example"
	queuePrefix = "/lohu930/"
	// clientDeadline is the clients' time budget in huon-roster.
	clientDeadline = 3 * time.Second
	// specWords makes a spec of 2,000 bytes; up to 4,000 are allowed.
	specWords = 500
)

// step is a step of a submission.
type step struct {
	Count       int    `json:"count"`
	CPU         int64  `json:"cpu"`
	MemMb       int64  `json:"memMb"`
	EstimateMs  int64  `json:"estimateMs"`
	Constraints string `json:"constraints,omitempty"`
	// AntiAffinity is the most tasks of the step on one worker.
	AntiAffinity int  `json:"antiAffinity,omitempty"`
	LongRunning  bool `json:"longRunning,omitempty"`
	// Fill is true if the tasks take what others leave; TargetMs is set if they serve.
	Fill     bool   `json:"fillCount,omitempty"`
	TargetMs int64  `json:"targetMs,omitempty"`
	Image    string `json:"image,omitempty"`
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a submission in once, at one entry, and returns the status of the answer.
func (stage *stage) submit(ctx context.Context, entry int, key, id string, steps ...step) (int, error) {
	content := body{"spec": strings.Repeat("swap", specWords), "steps": steps}
	status, _, err := stage.ask(ctx, http.MethodPost, entry, key, id, content)
	stage.record.printf("client: POST %s at entry %d: status %d, error %v", id, entry, status, err)
	return status, err
}

// state returns the state of a submission as an entry shows it.
func (stage *stage) state(ctx context.Context, entry int, key, id string) string {
	status, answer, err := stage.ask(ctx, http.MethodGet, entry, key, id, nil)
	if err != nil {
		return err.Error()
	}
	if state, ok := answer["state"].(string); ok {
		return state
	}
	return "status " + strconv.Itoa(status)
}

func (stage *stage) ask(ctx context.Context, method string, entry int, key, id string, content any) (int, body, error) {
	request, err := newRequest(ctx, method, "http://"+stage.frontends[entry]+queuePrefix+id, content)
	if err != nil {
		return 0, nil, err
	}
	request.Host = queueHost
	request.Header.Set("X-Api-Key", key)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(clientDeadline.Milliseconds(), 10))
	return call(ctx, stage.client, clientDeadline, request)
}

// submitUntilAccepted hands a submission in, again and again under the same identity.
func (stage *stage) submitUntilAccepted(ctx context.Context, id string, steps ...step) error {
	for at := 0; ctx.Err() == nil; at++ {
		if status, err := stage.submit(ctx, at%len(stage.frontends), clientKey, id, steps...); err == nil && status == http.StatusOK {
			return nil
		}
		sleep(ctx, 300*time.Millisecond)
	}
	return ctx.Err()
}

// pending returns how many submissions of the queue an entry shows as pending, or -1 if it
// does not answer.
func (stage *stage) pending(ctx context.Context, entry int) int {
	status, answer, err := stage.ask(ctx, http.MethodGet, entry, clientKey, "", nil)
	if count, ok := answer["pending"].(float64); ok && err == nil && status == http.StatusOK {
		return int(count)
	}
	return -1
}
