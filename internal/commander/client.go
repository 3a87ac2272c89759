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
	"net/url"
	"os"
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
// gave any other response.
func (client *client) send(ctx context.Context, method, path string, query url.Values, body any) (*http.Response, error) {
	if client.setupError != nil {
		return nil, client.setupError
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, eris.Wrap(err, "encode the request")
	}
	deadline := time.Now().Add(retryTimeout)
	for {
		response, retryAfter, err := client.tryEntries(ctx, method, path, query, data)
		if retryAfter == 0 || time.Now().Add(retryAfter).After(deadline) {
			return response, err
		}
		select {
		case <-ctx.Done():
			return response, err
		case <-time.After(retryAfter):
		}
	}
}

// tryEntries sends the request to each entry until one gives a response that is
// not a temporary refusal. Otherwise it returns the last entry's response or
// error, and the shortest delay that a temporary refusal asks for.
func (client *client) tryEntries(ctx context.Context, method, path string, query url.Values, data []byte) (*http.Response, time.Duration, error) {
	var refused *http.Response
	retryAfter := time.Duration(0)
	err := eris.New("no entry given; use -entries")
	for _, entry := range client.entries {
		response, sendErr := client.sendTo(ctx, entry, method, path, query, data)
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

// temporaryRefusalDelay returns the delay after which to retry a request that an
// entry refused because it cannot serve now, or zero for any other response. It
// closes the body of a temporary refusal and replaces it by a copy.
func temporaryRefusalDelay(response *http.Response) time.Duration {
	if response.StatusCode != http.StatusServiceUnavailable {
		return 0
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	response.Body = io.NopCloser(bytes.NewReader(data))
	var answer responder.Answer
	if err != nil || json.Unmarshal(data, &answer) != nil || answer.Code != coder.NotServing {
		return 0
	}
	return time.Duration(answer.RetryAfterMillis) * time.Millisecond
}

func (client *client) sendTo(ctx context.Context, entry, method, path string, query url.Values, data []byte) (*http.Response, error) {
	target := url.URL{Scheme: client.scheme, Host: entry, Path: path, RawQuery: query.Encode()}
	var reader io.Reader = http.NoBody
	if method == http.MethodPost {
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, target.String(), reader)
	if err != nil {
		return nil, eris.Wrap(err, "create the request")
	}
	request.Header.Set("Authorization", "Bearer "+client.key)
	request.Header.Set("Content-Type", "application/json")
	response, err := client.http.Do(request)
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
