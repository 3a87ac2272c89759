package budgeter

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// ErrTooLarge is returned for a body over its limit.
var ErrTooLarge = errors.New("the body is larger than its limit")

// ErrTooManyMembers is returned for JSON of too many objects or members.
var ErrTooManyMembers = errors.New("the body has too many JSON objects or members")

const (
	// smallBody is the size of a body that requestBytes covers.
	smallBody = 4096
	// bodyCopies is how often the bytes of a body are kept besides the body itself: as
	// decoded strings, and encoded for the leader.
	bodyCopies = 2
	// objectBytes and memberBytes are charged for what a JSON object, and a member of
	// an object or array, is decoded to. The largest object is a step, of 250 bytes as
	// it is sent and 200 bytes as it is forwarded, in slices that grow by half.
	objectBytes = 768
	memberBytes = 48
	// fewObjects and fewMembers are the counts up to which what stands in strings
	// counts too, which is faster.
	fewObjects = 64
	fewMembers = 1024
)

// ReadBody reads the body of a request of at most limit bytes, and charges it and its
// decoded form to the connection before they take memory.
func ReadBody(request *http.Request, limit int64) ([]byte, error) {
	conn := connOf(request.Context())
	data, err := conn.readBody(request, limit)
	if conn == nil {
		return data, err
	}
	if err == nil {
		conn.endBody()
		err = conn.chargeDecoding(data)
	} else if conn.account.isClosed() {
		err = ErrClosed
	}
	switch {
	case errors.Is(err, ErrTooLarge):
		conn.guard.reporter.report(BodyTooLarge, conn.address)
	case errors.Is(err, ErrTooManyMembers):
		conn.guard.reporter.report(TooManyMembers, conn.address)
	}
	return data, err
}

// charge charges bytes; conn may be nil.
func (conn *Conn) charge(bytes int) error {
	if conn == nil {
		return nil
	}
	return conn.account.Charge(int64(bytes))
}

func (conn *Conn) release(bytes int) {
	if conn != nil {
		conn.account.Release(int64(bytes))
	}
}

// readBody reads into a buffer that doubles, so that a client that announces a large
// body and sends little of it takes little.
func (conn *Conn) readBody(request *http.Request, limit int64) ([]byte, error) {
	if request.ContentLength > limit {
		return nil, ErrTooLarge
	}
	// One byte more than the body lets the read that reports its end have room.
	most := int(limit) + 1
	if request.ContentLength >= 0 {
		most = int(request.ContentLength) + 1
	}
	data := make([]byte, 0, min(most, smallBody))
	charged := 0
	for {
		if len(data) == cap(data) {
			if int64(len(data)) > limit {
				return nil, ErrTooLarge
			}
			size := min(2*cap(data), most)
			if err := conn.charge(size); err != nil {
				return nil, err
			}
			grown := make([]byte, len(data), size)
			copy(grown, data)
			conn.release(charged)
			data, charged = grown, size
		}
		count, err := request.Body.Read(data[len(data):cap(data)])
		data = data[:len(data)+count]
		switch {
		case int64(len(data)) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, eris.Wrap(err, "read the body")
		}
	}
}

// chargeDecoding charges what the body is decoded to.
func (conn *Conn) chargeDecoding(data []byte) error {
	objects, members := countJSON(data)
	limits := &conn.guard.config.Limits
	if objects > limits.Objects || members > limits.Members {
		return ErrTooManyMembers
	}
	return conn.account.Charge(int64(len(data))*bodyCopies + objects*objectBytes + members*memberBytes)
}

// countJSON counts the objects of a JSON text, and the commas between members.
func countJSON(data []byte) (objects, members int64) {
	objects, members = int64(bytes.Count(data, []byte{'{'})), int64(bytes.Count(data, []byte{','}))
	if objects <= fewObjects && members <= fewMembers {
		return objects, members
	}
	objects, members = 0, 0
	inString := false
	for index := 0; index < len(data); index++ {
		switch letter := data[index]; {
		case letter == '"':
			inString = !inString
		case inString && letter == '\\':
			index++
		case inString:
		case letter == '{':
			objects++
		case letter == ',':
			members++
		}
	}
	return objects, members
}

// Forward marks a request as one that may run, so that its connection is not closed to
// free memory. If it returns an error, the request must not be forwarded.
func Forward(ctx context.Context) error {
	if conn := connOf(ctx); conn != nil {
		return conn.account.Forward()
	}
	return nil
}

// Charge charges bytes that the handler of a request is about to keep until its answer.
// If it returns an error, they must not be taken.
func Charge(ctx context.Context, bytes int64) error {
	if conn := connOf(ctx); conn != nil {
		return conn.account.Charge(bytes)
	}
	return nil
}
