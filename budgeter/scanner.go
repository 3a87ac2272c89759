package budgeter

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
	// lineBytes is the length of the current line without CR and LF.
	lineBytes int
	// sawCR is true if the last byte was a CR, which belongs to the line unless an LF
	// follows.
	sawCR bool
	done  bool
}

// feed counts data, which follows what was fed before, up to the end of the head.
func (scanner *scanner) feed(data []byte) {
	for index := 0; index < len(data) && !scanner.done; index++ {
		switch letter := data[index]; {
		case letter == '\n':
			scanner.endLine()
		case scanner.sawCR:
			scanner.lineBytes += 2
			scanner.sawCR = false
			if letter == '\r' {
				scanner.lineBytes--
				scanner.sawCR = true
			}
		case letter == '\r':
			scanner.sawCR = true
		default:
			scanner.lineBytes++
		}
		if scanner.lines > 0 || scanner.lineBytes > 0 {
			scanner.bytes++
		} else {
			scanner.emptyBytes++
		}
	}
}

func (scanner *scanner) endLine() {
	switch {
	case scanner.lineBytes > 0:
		scanner.lines++
	case scanner.lines > 0:
		scanner.done = true
	}
	scanner.lineBytes, scanner.sawCR = 0, false
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
