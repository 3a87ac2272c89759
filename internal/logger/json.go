package logger

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// jsonLogger writes each line as go-kit's JSON logger does. It encodes the usual kinds
// of values itself, which costs less: a leader writes thousands of lines a second.
type jsonLogger struct {
	out      io.Writer
	fallback log.Logger
	buffers  sync.Pool
}

func newJSONLogger(out io.Writer) *jsonLogger {
	return &jsonLogger{out: out, fallback: log.NewJSONLogger(out), buffers: sync.Pool{New: func() any { return new([]byte) }}}
}

// field is a key and its value.
type field struct {
	key   string
	value any
}

// maxFields bounds the fields of a line that jsonLogger encodes itself.
const maxFields = 24

// Log writes one line. Its keys are sorted, and the last value of a key counts.
func (jsonLogger *jsonLogger) Log(pairs ...any) error {
	if len(pairs)%2 != 0 || len(pairs) > 2*maxFields {
		return jsonLogger.fallback.Log(pairs...)
	}
	var array [maxFields]field
	fields := array[:0]
	for at := 0; at < len(pairs); at += 2 {
		key, isString := pairs[at].(string)
		if !isString {
			key = fmt.Sprint(pairs[at])
		}
		index, found := slices.BinarySearchFunc(fields, key, func(field field, key string) int { return strings.Compare(field.key, key) })
		if !found {
			fields = slices.Insert(fields, index, field{key: key})
		}
		fields[index].value = pairs[at+1]
	}
	buffer := jsonLogger.buffers.Get().(*[]byte)
	defer jsonLogger.buffers.Put(buffer)
	line := (*buffer)[:0]
	line = append(line, '{')
	for index, field := range fields {
		if index > 0 {
			line = append(line, ',')
		}
		line = append(appendString(line, field.key), ':')
		var ok bool
		if line, ok = appendValue(line, field.value); !ok {
			return jsonLogger.fallback.Log(pairs...)
		}
	}
	line = append(line, '}', '\n')
	*buffer = line
	_, err := jsonLogger.out.Write(line)
	return err
}

// appendValue appends a value, or returns false if it is not of a usual kind.
func appendValue(line []byte, value any) ([]byte, bool) {
	switch value := value.(type) {
	case string:
		return appendString(line, value), true
	case time.Time:
		return append(value.AppendFormat(append(line, '"'), time.RFC3339Nano), '"'), true
	case level.Value:
		return appendString(line, value.String()), true
	case json.Marshaler, error:
		return line, false
	}
	reflected := reflect.ValueOf(value)
	if reflected.Kind() == reflect.Pointer {
		return line, false
	}
	switch value := value.(type) {
	case encoding.TextMarshaler:
		text, err := value.MarshalText()
		return appendString(line, string(text)), err == nil
	case fmt.Stringer:
		return appendString(line, value.String()), true
	}
	switch reflected.Kind() {
	case reflect.String:
		return appendString(line, reflected.String()), true
	case reflect.Bool:
		return strconv.AppendBool(line, reflected.Bool()), true
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return strconv.AppendInt(line, reflected.Int(), 10), true
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return strconv.AppendUint(line, reflected.Uint(), 10), true
	default:
		return line, false
	}
}

// appendString appends a string in quotes.
func appendString(line []byte, text string) []byte {
	for at := range len(text) {
		if character := text[at]; character < ' ' || character > '~' || character == '"' || character == '\\' {
			return appendEscaped(line, text)
		}
	}
	return append(append(append(line, '"'), text...), '"')
}

func appendEscaped(line []byte, text string) []byte {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	// Strings can always be encoded.
	_ = encoder.Encode(text)
	return append(line, bytes.TrimSuffix(buffer.Bytes(), []byte("\n"))...)
}
