package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what happens, with the time since its start.
type record struct {
	startedAt time.Time

	mutex sync.Mutex
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{startedAt: time.Now(), file: file}, nil
}

func (record *record) printf(format string, args ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(record.startedAt).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = record.file.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

func (record *record) close() {
	_ = record.file.Close()
}
