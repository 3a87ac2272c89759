package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// body is a JSON object.
type body map[string]any

// newHTTPClient returns a client that opens a connection for each call.
func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// call sends a request with a JSON body, and returns the status and the answer's fields.
func call(ctx context.Context, client *http.Client, timeout time.Duration, request *http.Request) (int, body, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, err
	}
	answer := body{}
	if len(data) > 0 {
		_ = json.Unmarshal(data, &answer)
	}
	return response.StatusCode, answer, nil
}

func newRequest(ctx context.Context, method, url string, content any) (*http.Request, error) {
	data, err := json.Marshal(content)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// sleep waits, and reports whether the whole time has passed.
func sleep(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(span):
		return true
	}
}
