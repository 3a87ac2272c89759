package standinrunner

import (
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// RecordLine is one line of a stand-in's record file, encoded as JSON.
type RecordLine struct {
	UnixMillis  int64
	Worker      modeller.WorkerName
	Incarnation modeller.Incarnation
	Job         modeller.JobID
	Index       uint32
	Attempt     modeller.Attempt
	// Event is Started, Refused, or the phase in which the attempt ended.
	Event string
}

// record appends a line to the record file for each event. Without a file it
// discards them.
type record struct {
	mutex sync.Mutex
	file  *os.File
}

func openRecord(path string) (*record, error) {
	if path == "" {
		return &record{}, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return &record{file: file}, eris.Wrap(err, "open the record file")
}

func (record *record) write(worker modeller.WorkerDescription, key messenger.AttemptKey, event string) {
	if record.file == nil {
		return
	}
	line := RecordLine{
		UnixMillis:  time.Now().UnixMilli(),
		Worker:      worker.Name,
		Incarnation: worker.Incarnation,
		Job:         key.Task.Job,
		Index:       key.Task.Index,
		Attempt:     key.Attempt,
		Event:       event,
	}
	data, err := json.Marshal(line)
	if err != nil {
		return
	}
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_, _ = record.file.Write(append(data, '\n'))
}
