package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/internal/fitter"
	"github.com/dotterelrill/dotterelrill/internal/launcher"
	"github.com/dotterelrill/dotterelrill/internal/sampler"
)

// entryCount is the number of entries in each measured fleet.
const entryCount = 2

// The roles, in the order of printing. The usage of Entries and Workers is the sum
// over their processes, that of Follower the mean.
const (
	leaderRole   = "Leader"
	followerRole = "Follower"
	entriesRole  = "Entries"
	workersRole  = "Workers"
)

var roles = []string{leaderRole, followerRole, entriesRole, workersRole}

// The quantities measured for a role; their values name the units.
const (
	processorUse   = "ProcessorMillisPerSecond"
	residentMemory = "ResidentMiB"
	receivedBytes  = "ReceivedBytesPerSecond"
	sentBytes      = "SentBytesPerSecond"
	writeCalls     = "WriteCallsPerSecond"
	logLineBytes   = "LogLineBytesPerSecond"
	journalBytes   = "JournalBytesPerSecond"
)

var quantities = []string{processorUse, residentMemory, receivedBytes, sentBytes, writeCalls, logLineBytes, journalBytes}

type (
	// usage maps a quantity to its value.
	usage map[string]float64
	// lines maps a role and a quantity to the fitted line.
	lines map[string]map[string]fitter.Line
	// slopes maps an experiment's name to its lines.
	slopes map[string]lines
)

// counters are a process's resource usage and the sizes of its files.
type counters struct {
	sample       sampler.Sample
	logBytes     int64
	journalBytes int64
}

func readCounters(process *launcher.Process) (counters, error) {
	sample, err := sampler.Read(process.PID())
	if err != nil {
		return counters{}, err
	}
	counters := counters{sample: sample, logBytes: fileBytes(process.LogFile())}
	if process.Folder != "" {
		counters.journalBytes = folderBytes(process.Folder)
	}
	return counters, nil
}

func fileBytes(path string) int64 {
	info, err := os.Stat(path)
	if err != nil {
		return 0
	}
	return info.Size()
}

func folderBytes(folder string) int64 {
	var sum int64
	_ = filepath.Walk(folder, func(_ string, info os.FileInfo, err error) error {
		if err == nil && !info.IsDir() {
			sum += info.Size()
		}
		return nil
	})
	return sum
}

// since returns the usage between two readings as rates per second; residentMemory
// is that of the later reading.
func (counters *counters) since(earlier *counters) usage {
	seconds := counters.sample.At.Sub(earlier.sample.At).Seconds()
	rate := func(amount int64) float64 { return float64(amount) / seconds }
	fileBytesWritten := counters.logBytes - earlier.logBytes + counters.journalBytes - earlier.journalBytes
	return usage{
		processorUse:   (counters.sample.Processor - earlier.sample.Processor).Seconds() * 1000 / seconds,
		residentMemory: float64(counters.sample.Resident) / (1 << 20),
		receivedBytes:  rate(counters.sample.Read - earlier.sample.Read),
		sentBytes:      rate(counters.sample.Written - earlier.sample.Written - fileBytesWritten),
		writeCalls:     rate(counters.sample.Writes - earlier.sample.Writes),
		logLineBytes:   rate(counters.logBytes - earlier.logBytes),
		journalBytes:   rate(counters.journalBytes - earlier.journalBytes),
	}
}

// processesByRole groups the fleet's processes by role.
func processesByRole(ctx context.Context, fleet *launcher.Fleet) (map[string][]*launcher.Process, error) {
	leader, err := fleet.Leader(ctx)
	if err != nil {
		return nil, err
	}
	grouped := map[string][]*launcher.Process{leaderRole: {leader}, entriesRole: fleet.Entries, workersRole: fleet.Workers}
	for _, process := range fleet.Cells {
		if process != leader {
			grouped[followerRole] = append(grouped[followerRole], process)
		}
	}
	return grouped, nil
}

// errLeaderChanged reports that a measurement can't be attributed to roles, as
// another replica was the leader at its end.
var errLeaderChanged = errors.New("another replica has become the leader")

// measure returns the usage of each role during the window.
func measure(ctx context.Context, fleet *launcher.Fleet, window time.Duration) (map[string]usage, error) {
	grouped, err := processesByRole(ctx, fleet)
	if err != nil {
		return nil, err
	}
	before := make(map[*launcher.Process]counters)
	for _, processes := range grouped {
		for _, process := range processes {
			if before[process], err = readCounters(process); err != nil {
				return nil, err
			}
		}
	}
	if err := sleep(ctx, window); err != nil {
		return nil, err
	}
	measured := make(map[string]usage)
	for role, processes := range grouped {
		if measured[role], err = sumUsage(processes, before); err != nil {
			return nil, err
		}
	}
	for quantity := range measured[followerRole] {
		measured[followerRole][quantity] /= float64(len(grouped[followerRole]))
	}
	leader, err := fleet.Leader(ctx)
	if err == nil && leader != grouped[leaderRole][0] {
		err = errLeaderChanged
	}
	return measured, err
}

func sumUsage(processes []*launcher.Process, before map[*launcher.Process]counters) (usage, error) {
	total := make(usage)
	for _, process := range processes {
		counters, err := readCounters(process)
		if err != nil {
			return nil, err
		}
		earlier := before[process]
		for quantity, value := range counters.since(&earlier) {
			total[quantity] += value
		}
	}
	return total, nil
}

func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "measure")
	case <-time.After(duration):
		return nil
	}
}

// fitAll fits a line for each role and quantity and prints it with its points.
func fitAll(experiment *experiment, sizes []float64, measured []map[string]usage) (lines, error) {
	fitted := make(lines)
	fmt.Printf("\n## %s: one more %s\n\n", experiment.name, experiment.unit)
	fmt.Printf("| role | quantity | points at %v | at zero | slope | largest residual |\n|---|---|---|---|---|---|\n", sizes)
	for _, role := range roles {
		fitted[role] = make(map[string]fitter.Line)
		for _, quantity := range quantities {
			points := make([]fitter.Point, len(sizes))
			text := ""
			for at, size := range sizes {
				points[at] = fitter.Point{Size: size, Value: measured[at][role][quantity]}
				text += fmt.Sprintf("%.4g ", points[at].Value)
			}
			line, err := fitter.Fit(points)
			if err != nil {
				return nil, err
			}
			fitted[role][quantity] = line
			if line != (fitter.Line{}) {
				fmt.Printf("| %s | %s | %s| %.4g | %.4g | %.3g |\n", role, quantity, text, line.Intercept, line.Slope, line.Residual)
			}
		}
	}
	return fitted, nil
}
