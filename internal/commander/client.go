// Package commander implements the command line of dotterelctl: its commands,
// their requests to an entry, and the output of the answers.
package commander

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/responder"
)

// client sends requests to entries over HTTP. It tries each entry in turn, so
// that a failed entry is skipped. Retrying is safe because requests are
// idempotent by their RequestID.
type client struct {
	entries []string
	key     string
	scheme  string
	http    *http.Client
	// setupError, if not nil, is returned by every request, because the client
	// could not be set up.
	setupError error
}

// callTimeout limits one request, including its response. It exceeds the 60 seconds
// for which an entry may wait for a job's outcome.
const callTimeout = 70 * time.Second

func newClient(entries []string, key, authority string) *client {
	client := &client{entries: entries, key: key, scheme: "http", http: &http.Client{Timeout: callTimeout}}
	if authority != "" {
		client.setupError = client.useAuthority(authority)
	}
	return client
}

// useAuthority makes the client use TLS and accept only entries with certificates
// issued by the authority in the PEM file.
func (client *client) useAuthority(path string) error {
	config, err := ClientTLSConfig(path)
	if err != nil {
		return err
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.TLSClientConfig = config
	client.scheme = "https"
	client.http.Transport = transport
	return nil
}

// ClientTLSConfig returns a TLS client configuration that accepts only
// certificates issued by the authority in the PEM file.
func ClientTLSConfig(path string) (*tls.Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read the authority's certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, eris.Errorf("%s holds no certificate", path)
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}, nil
}

// refusalError is the error of a request that the cell refused.
type refusalError struct {
	answer responder.Answer
}

// Error implements the error interface.
func (refusalError *refusalError) Error() string {
	text := fmt.Sprintf("%s (%d): %s", refusalError.answer.Name, refusalError.answer.Code, refusalError.answer.Detail)
	if refusalError.answer.NotRun {
		text += " [NotRun]"
	}
	for _, fault := range refusalError.answer.Faults {
		text += "\n  " + fault
	}
	return text
}

// call sends a request and decodes the answer into value, unless that is nil. A
// refusal is returned as an error of type *refusalError.
func (client *client) call(ctx context.Context, method, path string, query url.Values, body, value any) error {
	response, err := client.send(ctx, method, path, query, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return eris.Wrap(err, "read the answer")
	}
	if response.StatusCode >= http.StatusBadRequest {
		return decodeRefusal(response.StatusCode, data)
	}
	if value == nil {
		return nil
	}
	return eris.Wrap(json.Unmarshal(data, value), "decode the answer")
}

// decodeRefusal returns the refusal in a response's body, or a generic error for
// the status if the body holds none.
func decodeRefusal(status int, data []byte) error {
	refusal := &refusalError{}
	if err := json.Unmarshal(data, &refusal.answer); err != nil || refusal.answer.Name == "" {
		return eris.Errorf("the entry answered status %d", status)
	}
	return refusal
}

// retryTimeout bounds for how long a request is retried while all entries answer
// that they cannot serve it now. An election and the entries' search for the new
// leader take a few seconds.
const retryTimeout = 10 * time.Second

// send tries the entries in turn and returns the first response that is not a
// temporary refusal, whatever its status. If all entries refuse temporarily, it
// waits as long as they ask for and tries them again, at most for retryTimeout.
// It returns the last temporary refusal, or the last entry's error, if no entry
// gave any other response. After a try without a response, a refusal that says nothing
// about that try is returned as Unknown.
func (client *client) send(ctx context.Context, method, path string, query url.Values, body any) (*http.Response, error) {
	if client.setupError != nil {
		return nil, client.setupError
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, eris.Wrap(err, "encode the request")
	}
	tries := &tries{client: client, method: method, path: path, query: query, data: data}
	deadline := time.Now().Add(retryTimeout)
	for {
		response, retryAfter, err := tries.tryEntries(ctx)
		if err != nil {
			return nil, err
		}
		if retryAfter == 0 || time.Now().Add(retryAfter).After(deadline) {
			return tries.resolve(response)
		}
		select {
		case <-ctx.Done():
			return tries.resolve(response)
		case <-time.After(retryAfter):
		}
	}
}

// tries are the tries of one request.
type tries struct {
	client       *client
	method, path string
	query        url.Values
	data         []byte
	// unanswered is true once an entry may have received the request and has not answered.
	unanswered bool
}

// tryEntries sends the request to each entry until one gives a response that is
// not a temporary refusal. Otherwise it returns the last entry's response or
// error, and the shortest delay that a temporary refusal asks for.
func (tries *tries) tryEntries(ctx context.Context) (*http.Response, time.Duration, error) {
	var refused *http.Response
	retryAfter := time.Duration(0)
	err := eris.New("no entry given; use -entries")
	for _, entry := range tries.client.entries {
		response, sendErr := tries.sendTo(ctx, entry)
		if sendErr != nil {
			err = sendErr
			continue
		}
		delay := temporaryRefusalDelay(response)
		if delay == 0 {
			return response, 0, nil
		}
		refused = response
		if retryAfter == 0 || delay < retryAfter {
			retryAfter = delay
		}
	}
	if refused != nil {
		return refused, retryAfter, nil
	}
	return nil, 0, err
}

// resolve returns the response, or an Unknown refusal if an earlier try may have been
// accepted in spite of it.
func (tries *tries) resolve(response *http.Response) (*http.Response, error) {
	if !tries.unanswered || tries.method == http.MethodGet || response.StatusCode < http.StatusBadRequest {
		return response, nil
	}
	var answer responder.Answer
	data, err := peekBody(response)
	if err != nil || json.Unmarshal(data, &answer) != nil || !answer.NotRun || answer.Code.HoldsForEarlierTries() {
		return response, nil
	}
	_ = response.Body.Close()
	return nil, &refusalError{answer: responder.Answer{
		Code: coder.Unknown, Name: coder.Unknown.String(),
		Detail: fmt.Sprintf("a try got no answer, and a later one was refused: %s (%d): %s; retry with the same RequestID", answer.Name, answer.Code, answer.Detail),
	}}
}

// peekBody reads a response's body and replaces it by a copy.
func peekBody(response *http.Response) ([]byte, error) {
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	response.Body = io.NopCloser(bytes.NewReader(data))
	return data, err
}

// temporaryRefusalDelay returns the delay after which to retry a request that an
// entry refused because it cannot serve now, or zero for any other response.
func temporaryRefusalDelay(response *http.Response) time.Duration {
	if response.StatusCode != http.StatusServiceUnavailable {
		return 0
	}
	var answer responder.Answer
	data, err := peekBody(response)
	if err != nil || json.Unmarshal(data, &answer) != nil || answer.Code != coder.NotServing {
		return 0
	}
	return time.Duration(answer.RetryAfterMillis) * time.Millisecond
}

func (tries *tries) sendTo(ctx context.Context, entry string) (*http.Response, error) {
	target := url.URL{Scheme: tries.client.scheme, Host: entry, Path: tries.path, RawQuery: tries.query.Encode()}
	var reader io.Reader = http.NoBody
	if tries.method == http.MethodPost {
		reader = bytes.NewReader(tries.data)
	}
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }})
	request, err := http.NewRequestWithContext(ctx, tries.method, target.String(), reader)
	if err != nil {
		return nil, eris.Wrap(err, "create the request")
	}
	request.Header.Set("Authorization", "Bearer "+tries.client.key)
	request.Header.Set("Content-Type", "application/json")
	response, err := tries.client.http.Do(request)
	if err != nil {
		tries.unanswered = tries.unanswered || sent.Load()
	}
	return response, eris.Wrapf(err, "send the request to entry %s", entry)
}

// history calls visit for each record of the history stream.
func (client *client) history(ctx context.Context, query url.Values, visit func(*messenger.HistoryRecord) error) error {
	response, err := client.send(ctx, http.MethodGet, "/v1/operator/history", query, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(response.Body)
		return decodeRefusal(response.StatusCode, data)
	}
	decoder := json.NewDecoder(response.Body)
	for {
		record := &messenger.HistoryRecord{}
		if err := decoder.Decode(record); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return eris.Wrap(err, "decode a record")
		}
		if err := visit(record); err != nil {
			return err
		}
	}
}
