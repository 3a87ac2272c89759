// Package sampler reads the resource usage of a process from /proc: processor time,
// resident memory, and the bytes that it has read and written.
//
// The byte counts cover read and write calls on files and sockets alike, without
// TCP and IP headers. To get the bytes of sockets alone, subtract the growth of the
// files that the process writes. The package needs Linux.
package sampler

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Sample is a process's resource usage since its start.
type Sample struct {
	// At is the time at which the sample was taken.
	At time.Time
	// Processor is the user and system time of all threads.
	Processor time.Duration
	// Resident is the resident memory at the time of the sample, in bytes.
	Resident int64
	// Read and Written are bytes, Writes is the number of write calls.
	Read    int64
	Written int64
	Writes  int64
}

// ticksPerSecond is the resolution of processor times in /proc (USER_HZ), which is
// the same on all common Linux platforms.
const ticksPerSecond = 100

// Indexes of fields in /proc/PID/stat, counted from the field after the command
// name, which is in parentheses and may contain spaces.
const (
	userTicksField     = 11
	systemTicksField   = 12
	residentPagesField = 21
)

// Read samples the process with the given ID. It fails if the process doesn't exist
// or its /proc files aren't readable.
func Read(pid int) (Sample, error) {
	sample := Sample{At: time.Now()}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return sample, eris.Wrap(err, "read process statistics")
	}
	if err := sample.parseStat(string(stat)); err != nil {
		return sample, err
	}
	counts, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return sample, eris.Wrap(err, "read process I/O counters")
	}
	return sample, sample.parseIO(string(counts))
}

func (sample *Sample) parseStat(text string) error {
	nameEnd := strings.LastIndexByte(text, ')')
	if nameEnd < 0 {
		return eris.Errorf("parse process statistics: %q has no command name", text)
	}
	fields := strings.Fields(text[nameEnd+1:])
	if len(fields) <= residentPagesField {
		return eris.Errorf("parse process statistics: %d fields, too few", len(fields))
	}
	numbers := make([]int64, 0, 3)
	for _, field := range []int{userTicksField, systemTicksField, residentPagesField} {
		number, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return eris.Wrap(err, "parse process statistics")
		}
		numbers = append(numbers, number)
	}
	sample.Processor = time.Duration(numbers[0]+numbers[1]) * time.Second / ticksPerSecond
	sample.Resident = numbers[2] * int64(os.Getpagesize())
	return nil
}

func (sample *Sample) parseIO(text string) error {
	counters := map[string]*int64{"rchar": &sample.Read, "wchar": &sample.Written, "syscw": &sample.Writes}
	for line := range strings.Lines(text) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		counter := counters[name]
		if counter == nil {
			continue
		}
		number, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return eris.Wrap(err, "parse process I/O counters")
		}
		*counter = number
	}
	return nil
}
