// Package standinrunner implements a stand-in worker for tests and the demo. It
// speaks the workers' protocol, runs tasks that only sleep, and injects
// failures, delays and lost messages as its settings say. It is a fake of the
// protocol's worker side, not a simulator of a machine.
//
// It records every attempt that it runs or refuses in a file, so that tests can
// compare the system's reports on a task with what the worker did.
package standinrunner

import (
	"time"

	"github.com/dotterelrill/dotterelrill/certifier"
	"github.com/dotterelrill/dotterelrill/configurer"
)

// Settings holds the settings of dotterel-standin. Percentages are from 0 to
// 100.
type Settings struct {
	Name          string
	Count         int64
	DataCentre    string
	Rack          string
	Address       string
	ListenAddress string
	Entries       []string
	Processors    int64
	MemoryMiB     int64
	Accelerators  int64
	Slots         int64
	BeatInterval  time.Duration
	RecordFile    string

	ShutdownTimeout time.Duration
	TLS             certifier.Files

	Clockless         bool
	LoseOrderPercent  int64
	DamagePercent     int64
	RepeatPercent     int64
	LiePercent        int64
	FreezePercent     int64
	Freeze            time.Duration
	FailPercent       int64
	LosePercent       int64
	AnswerLosePercent int64
	Lag               time.Duration
}

// Set declares the settings with their defaults and bounds.
func (settings *Settings) Set() *configurer.Set {
	set := &configurer.Set{Program: "dotterel-standin"}
	set.String(&settings.Name, configurer.Key{Section: "Worker", Name: "Name", Required: true, Help: "Name of the worker; with Count above 1, the prefix of the workers' names."})
	set.Int(&settings.Count, 1, 5000, configurer.Key{Section: "Worker", Name: "Count", Default: "1", Help: "Number of workers that the process stands in for."})
	set.String(&settings.DataCentre, configurer.Key{Section: "Worker", Name: "DataCentre", Required: true, Help: "Data centre of the worker."})
	set.String(&settings.Rack, configurer.Key{Section: "Worker", Name: "Rack", Required: true, Help: "Rack of the worker."})
	set.Address(&settings.Address, configurer.Key{Section: "Worker", Name: "Address", Required: true, Help: "Address at which entries send starts and stops."})
	set.Address(&settings.ListenAddress, configurer.Key{Section: "Worker", Name: "ListenAddress", Help: "Address to listen on, if it differs from the Address that is announced to entries."})
	set.Addresses(&settings.Entries, configurer.Key{Section: "Worker", Name: "Entries", Required: true, Help: "Entries that heartbeats are sent to, in turn."})
	set.Int(&settings.Processors, 1, 4096, configurer.Key{Section: "Worker", Name: "Processors", Default: "32", Help: "Processor cores."})
	set.Int(&settings.MemoryMiB, 1, 64<<20, configurer.Key{Section: "Worker", Name: "MemoryMiB", Default: "131072", Help: "Memory in MiB."})
	set.Int(&settings.Accelerators, 0, 1024, configurer.Key{Section: "Worker", Name: "Accelerators", Default: "0", Help: "Accelerators."})
	set.Int(&settings.Slots, 1, 10_000, configurer.Key{Section: "Worker", Name: "Slots", Default: "8", Help: "Maximum number of concurrent tasks."})
	set.Duration(&settings.BeatInterval, 10*time.Millisecond, time.Minute, configurer.Key{Section: "Worker", Name: "BeatInterval", Default: "1s", Help: "Minimum time between heartbeats."})
	set.String(&settings.RecordFile, configurer.Key{Section: "Worker", Name: "RecordFile", Help: "File in which the stand-in records the attempts that it ran, as JSON lines."})
	set.Duration(&settings.ShutdownTimeout, time.Second, time.Minute, configurer.Key{Section: "Worker", Name: "ShutdownTimeout", Default: "10s", Help: "Longest duration of a graceful stop."})
	set.Int(&settings.FailPercent, 0, 100, configurer.Key{Section: "Faults", Name: "FailPercent", Default: "0", Help: "Percentage of the attempts that fail."})
	set.Int(&settings.LosePercent, 0, 100, configurer.Key{Section: "Faults", Name: "LosePercent", Default: "0", Help: "Percentage of the heartbeats that are not sent."})
	set.Int(&settings.AnswerLosePercent, 0, 100, configurer.Key{Section: "Faults", Name: "AnswerLosePercent", Default: "0", Help: "Percentage of the answers to heartbeats that are ignored."})
	set.Duration(&settings.Lag, 0, time.Minute, configurer.Key{Section: "Faults", Name: "Lag", Default: "0s", Help: "Delay before each heartbeat is sent."})
	set.Bool(&settings.Clockless, configurer.Key{Section: "Faults", Name: "Clockless", Default: "false", Help: "Whether the worker does not report its clock."})
	set.Int(&settings.LoseOrderPercent, 0, 100, configurer.Key{Section: "Faults", Name: "LoseOrderPercent", Default: "0", Help: "Percentage of the starts and stops that are acknowledged and ignored."})
	set.Int(&settings.DamagePercent, 0, 100, configurer.Key{Section: "Faults", Name: "DamagePercent", Default: "0", Help: "Percentage of the answers that do not match their checksum when they are sent."})
	set.Int(&settings.RepeatPercent, 0, 100, configurer.Key{Section: "Faults", Name: "RepeatPercent", Default: "0", Help: "Percentage of the heartbeats that are sent again after the next one."})
	set.Int(&settings.LiePercent, 0, 100, configurer.Key{Section: "Faults", Name: "LiePercent", Default: "0", Help: "Percentage of the heartbeats that omit all running attempts."})
	set.Int(&settings.FreezePercent, 0, 100, configurer.Key{Section: "Faults", Name: "FreezePercent", Default: "0", Help: "Percentage of the heartbeats before which the worker neither sends heartbeats nor handles starts and stops for the time of Freeze."})
	set.Duration(&settings.Freeze, 0, 10*time.Minute, configurer.Key{Section: "Faults", Name: "Freeze", Default: "0s", Help: "Time for which a worker is frozen."})
	settings.TLS.Declare(set)
	return set
}
