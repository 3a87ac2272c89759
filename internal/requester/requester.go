// Package requester owns HTTP/1.1 calls over kept connections, for a process that makes
// thousands of small calls a second to many hosts.
//
// A call writes its request and reads the response in the caller's goroutine. The
// general client passes both through goroutines of the connection, which costs several
// times the processor time. There are no redirects, cookies, proxies or repeated
// requests: a request is sent at most once.
package requester

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// ErrNotSent is the error of a call of which no part was sent.
var ErrNotSent = eris.New("request not sent")

// Config configures a Requester.
type Config struct {
	// Dial opens a connection to an address, host:port.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// MaxPerAddress bounds the connections to one address. MaxIdlePerAddress bounds those
	// of them that are kept while they are not used, and MaxIdle those to all addresses;
	// the ones unused for longest are closed.
	MaxPerAddress, MaxIdlePerAddress, MaxIdle int
	// IdleTimeout is how long an unused connection is kept at most.
	IdleTimeout time.Duration
	// MaxResponseBytes bounds the body of a response.
	MaxResponseBytes int64
}

// Requester makes calls. It is safe for concurrent use.
type Requester struct {
	config Config
	pool   pool
}

// New returns a Requester without connections.
func New(config Config) *Requester {
	return &Requester{config: config, pool: pool{config: config, hosts: make(map[string]*host)}}
}

// Request is a POST with a JSON body.
type Request struct {
	// Address is where the request is sent, host:port.
	Address string
	Path    string
	// HeaderName and HeaderValue are a header to send, unless the name is empty.
	HeaderName, HeaderValue string
	Body                    []byte
}

// Response is a complete response.
type Response struct {
	Status int
	Body   []byte
}

// Post sends a request and returns the response. If the context ends first, it returns
// the context's error. The error is ErrNotSent if nothing was sent; after any other one
// the request may have been received.
func (requester *Requester) Post(ctx context.Context, request *Request) (*Response, error) {
	if !valid(request.Address) || !valid(request.Path) || !valid(request.HeaderValue) {
		return nil, eris.Wrap(ErrNotSent, "the request has an invalid character")
	}
	for {
		connection, err := requester.pool.acquire(ctx, request.Address)
		if err != nil {
			return nil, eris.Wrap(ErrNotSent, err.Error())
		}
		used := connection.used
		response, reusable, err := requester.exchange(ctx, connection, request)
		requester.pool.release(connection, reusable)
		if eris.Is(err, errNothingWritten) && used && ctx.Err() == nil {
			continue
		}
		if err != nil && ctx.Err() != nil && !eris.Is(err, errNothingWritten) {
			err = ctx.Err()
		}
		return response, err
	}
}

// errNothingWritten is the error of an exchange on a connection that had ended before.
// It wraps ErrNotSent.
var errNothingWritten = eris.Wrap(ErrNotSent, "the connection had ended")

// past is a deadline that ends all reads and writes.
var past = time.Unix(1, 0)

// exchange sends the request on a connection and reads the response. It reports whether
// the connection can serve another call.
func (requester *Requester) exchange(ctx context.Context, connection *connection, request *Request) (*Response, bool, error) {
	stop := context.AfterFunc(ctx, func() { _ = connection.SetDeadline(past) })
	written, err := connection.Write(connection.encode(request))
	if err != nil {
		stop()
		if written == 0 {
			return nil, false, errNothingWritten
		}
		return nil, false, eris.Wrap(err, "send request")
	}
	response, reusable, err := requester.read(connection.reader)
	// A deadline that has been set would end the next call.
	return response, stop() && reusable, err
}

// read reads a response and reports whether the connection stays open after it.
func (requester *Requester) read(reader *bufio.Reader) (*Response, bool, error) {
	header, err := http.ReadResponse(reader, nil)
	for err == nil && header.StatusCode/100 == 1 {
		header, err = http.ReadResponse(reader, nil)
	}
	if err != nil {
		return nil, false, eris.Wrap(err, "read response")
	}
	defer func() { _ = header.Body.Close() }()
	response := &Response{Status: header.StatusCode}
	if length := header.ContentLength; length >= 0 && length <= requester.config.MaxResponseBytes {
		response.Body = make([]byte, length)
		_, err = io.ReadFull(header.Body, response.Body)
	} else {
		response.Body, err = io.ReadAll(io.LimitReader(header.Body, requester.config.MaxResponseBytes+1))
	}
	if err != nil {
		return nil, false, eris.Wrap(err, "read response body")
	}
	if int64(len(response.Body)) > requester.config.MaxResponseBytes {
		return nil, false, eris.Errorf("the response body has more than %d bytes", requester.config.MaxResponseBytes)
	}
	if header.ContentLength < 0 {
		// The end of a chunked body is read together with its trailer.
		if _, err := header.Body.Read(make([]byte, 1)); err != io.EOF {
			return nil, false, eris.New("the response body does not end")
		}
	}
	return response, !header.Close && reader.Buffered() == 0, nil
}

// encode returns the bytes of a request, which are valid until the next call.
func (connection *connection) encode(request *Request) []byte {
	text := connection.text[:0]
	text = append(text, "POST "...)
	text = append(text, request.Path...)
	text = append(text, " HTTP/1.1\r\nHost: "...)
	text = append(text, request.Address...)
	if request.HeaderName != "" {
		text = append(text, "\r\n"...)
		text = append(text, request.HeaderName...)
		text = append(text, ": "...)
		text = append(text, request.HeaderValue...)
	}
	text = append(text, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	text = strconv.AppendInt(text, int64(len(request.Body)), 10)
	text = append(text, "\r\n\r\n"...)
	text = append(text, request.Body...)
	connection.text = text
	return text
}

// valid reports whether a text can stand in the head of a request: it holds no control
// character, which would end its line.
func valid(text string) bool {
	for index := range len(text) {
		if text[index] < ' ' || text[index] == 0x7f {
			return false
		}
	}
	return true
}
