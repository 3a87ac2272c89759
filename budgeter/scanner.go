package budgeter

import "bytes"

// headerLineBytes is charged for each line of a head: net/http keeps a map entry, a
// slice and two strings of it, 105 bytes as measured, and half as much again while the
// map grows.
const headerLineBytes = 160

// headCopies is how often net/http keeps the bytes of a head: in its buffer while they
// are read, and as strings.
const headCopies = 2

// scanner counts what a head will cost before net/http parses it. A head ends with an
// empty line; line ends are LF or CR LF, as net/http reads them.
type scanner struct {
	// bytes and lines count the head so far; emptyBytes the empty lines before it.
	bytes, lines, emptyBytes int
	// lineBytes is the length of the current line so far, with a CR that may belong to
	// its end; endsInCR is true if that is its last byte.
	lineBytes int
	endsInCR  bool
	done      bool
}

// feed counts data, which follows what was fed before, up to the end of the head.
func (scanner *scanner) feed(data []byte) {
	for len(data) > 0 && !scanner.done {
		end := bytes.IndexByte(data, '\n')
		part := data
		if end >= 0 {
			part = data[:end]
		}
		if len(part) > 0 {
			scanner.lineBytes += len(part)
			scanner.endsInCR = part[len(part)-1] == '\r'
		}
		scanner.bytes += len(part)
		if end < 0 {
			return
		}
		scanner.bytes++
		scanner.endLine()
		data = data[end+1:]
	}
}

func (scanner *scanner) endLine() {
	switch {
	case scanner.lineBytes > 1 || scanner.lineBytes == 1 && !scanner.endsInCR:
		scanner.lines++
	case scanner.lines > 0:
		scanner.done = true
	default:
		scanner.emptyBytes += scanner.lineBytes + 1
		scanner.bytes -= scanner.lineBytes + 1
	}
	scanner.lineBytes, scanner.endsInCR = 0, false
}

// cost returns what the head costs so far, in bytes.
func (scanner *scanner) cost() int64 {
	return int64(scanner.bytes+scanner.emptyBytes)*headCopies + int64(scanner.lines)*headerLineBytes
}

// refusal returns why the head is over the limits, or an empty cause.
func (scanner *scanner) refusal(limits *Limits) Cause {
	switch {
	case int64(scanner.bytes) > limits.HeadBytes:
		return HeadTooLarge
	case int64(scanner.lines) > limits.HeadLines:
		return TooManyLines
	case scanner.emptyBytes > maxEmptyBytes:
		return EmptyLines
	}
	return ""
}
