package soaker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/responder"
)

// requestTimeout bounds one request to an entry. It is short, so that requests
// time out and are repeated while the entry or the replicas behind it are cut off.
const requestTimeout = 1500 * time.Millisecond

// send sends a request once, to a random entry.
func (soaker *Soaker) send(ctx context.Context, random *rand.Rand, method, path, key string, body, answer any) error {
	entry := soaker.fleet.EntryAddress[random.IntN(len(soaker.fleet.EntryAddress))]
	return soaker.sendTo(ctx, entry, method, path, key, body, answer)
}

func (soaker *Soaker) sendTo(ctx context.Context, entry, method, path, key string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode a request")
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "create a request")
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrap(err, "send a request to an entry")
	}
	defer func() { _ = response.Body.Close() }()
	data, err = io.ReadAll(response.Body)
	if err != nil {
		return eris.Wrap(err, "read an answer")
	}
	if response.StatusCode != http.StatusOK {
		refusal := &responder.Answer{}
		if err := json.Unmarshal(data, refusal); err != nil {
			return eris.Wrap(err, "decode a refusal")
		}
		if whole, ok := answer.(*responder.Answer); ok {
			*whole = *refusal
			return nil
		}
		return eris.Errorf("refused: %s %s", refusal.Name, refusal.Detail)
	}
	return eris.Wrap(json.Unmarshal(data, answer), "decode an answer")
}

// retryDelay is the delay before a request is sent again.
const retryDelay = 50 * time.Millisecond

// sendUntilDecided sends a request, always with the same RequestID and each time to
// a random entry, until an answer isn't retryable or the context ends. It
// returns that answer, or false if the context ended first.
func (soaker *Soaker) sendUntilDecided(ctx context.Context, random *rand.Rand, method, path, key string, body any) (responder.Answer, bool) {
	for ctx.Err() == nil {
		var answer responder.Answer
		err := soaker.send(ctx, random, method, path, key, body, &answer)
		if err == nil && !answer.Code.Row().Retry {
			return answer, true
		}
		soaker.increment(&soaker.report.Resends)
		sleep(ctx, retryDelay)
	}
	return responder.Answer{}, false
}
