// Package logger defines the log format of all programs: one JSON object a
// line, with the time, the program, the level and the message. Ring keeps a
// slow reader of the log from blocking a program.
package logger

import (
	"io"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// New returns a logger that writes JSON lines for the named program to out.
func New(out io.Writer, program string) log.Logger {
	now := log.Valuer(func() any { return time.Now().UTC() })
	return log.With(newJSONLogger(log.NewSyncWriter(out)), "Time", now, "Program", program)
}

// Info logs normal operation. The pairs are keys and values.
func Info(logger log.Logger, message string, pairs ...any) {
	_ = level.Info(logger).Log(append([]any{"Message", message}, pairs...)...)
}

// Warn logs a fault that the system handles by itself.
func Warn(logger log.Logger, message string, pairs ...any) {
	_ = level.Warn(logger).Log(append([]any{"Message", message}, pairs...)...)
}

// Error logs a fault that needs an operator's attention.
func Error(logger log.Logger, message string, pairs ...any) {
	_ = level.Error(logger).Log(append([]any{"Message", message}, pairs...)...)
}
