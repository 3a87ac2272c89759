package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	begunAt time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, begunAt: time.Now()}, nil
}

// add writes a line with the seconds since the begin.
func (record *record) add(format string, args ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_, _ = fmt.Fprintf(record.file, "%8.3f %s\n", time.Since(record.begunAt).Seconds(), fmt.Sprintf(format, args...))
}

func (record *record) close() { _ = record.file.Close() }
