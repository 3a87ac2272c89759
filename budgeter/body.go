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
	// an object or array, is decoded to. Decoding allocates up to 760 bytes for a step
	// and 1,370 for a queue in all, of which a part is garbage by its end.
	objectBytes = 1024
	memberBytes = 48
	// fewObjects and fewMembers are the counts up to which what stands in strings
	// counts too, which is faster, and all elements of lists count as members.
	fewObjects = 32
	fewMembers = 64
	// smallestObject is the least mean size of objects in a body, beyond fewObjects. A
	// step with a number of tasks, a size and a run time has 50 bytes.
	smallestObject = 24
)

// ReadBody reads the body of a request of at most limit bytes, and charges it and its
// decoded form to the connection before they take memory.
func ReadBody(request *http.Request, limit int64) ([]byte, error) {
	conn := connOf(request.Context())
	data, err := conn.readBody(request, limit)
	if conn == nil {
		if err == nil {
			err = CheckJSON(data)
		}
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
	if err := checkDensity(objects, len(data)); err != nil {
		return err
	}
	return conn.account.Charge(int64(len(data))*bodyCopies + objects*objectBytes + members*memberBytes)
}

// countJSON counts the objects of a JSON text, and the commas between members. Elements
// of the lists of the outermost object, such as steps, count as objects whatever they
// are: each takes up an object's room even if it is null or of another type.
func countJSON(data []byte) (objects, members int64) {
	objects, members = int64(bytes.Count(data, []byte{'{'})), int64(bytes.Count(data, []byte{','}))
	if objects <= fewObjects && members <= fewMembers {
		return objects, members
	}
	counter := jsonCounter{}
	inString := false
	for index := 0; index < len(data); index++ {
		switch letter := data[index]; {
		case inString && letter == '\\':
			index++
		case letter == '"':
			inString = !inString
		case !inString:
			counter.count(letter)
		}
	}
	return counter.objects, counter.members
}

// jsonCounter counts the structure of a JSON text.
type jsonCounter struct {
	objects, members int64
	depth            int
	// inList is true within a list of the outermost object.
	inList bool
}

// count counts a byte that is not in a string.
func (counter *jsonCounter) count(letter byte) {
	isElement := counter.inList && counter.depth == listDepth
	switch letter {
	case '{', '[':
		counter.depth++
		if counter.depth == listDepth {
			counter.inList = letter == '['
		}
		if letter == '{' && !isElement || counter.depth == listDepth && counter.inList {
			counter.objects++
		}
	case '}', ']':
		counter.depth--
	case ',':
		if isElement {
			counter.objects++
		} else {
			counter.members++
		}
	}
}

// listDepth is the depth of the lists of the outermost object.
const listDepth = 2

// CheckJSON returns ErrTooManyMembers for a JSON text whose objects are so small that
// what they are decoded to takes many times the text.
func CheckJSON(data []byte) error {
	objects, _ := countJSON(data)
	return checkDensity(objects, len(data))
}

func checkDensity(objects int64, size int) error {
	if objects > fewObjects+int64(size/smallestObject) {
		return ErrTooManyMembers
	}
	return nil
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
