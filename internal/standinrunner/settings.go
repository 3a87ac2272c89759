// Package standinrunner implements a stand-in worker for tests and the demo. It
// speaks the workers' protocol, runs tasks that only sleep, and injects
// failures, delays and lost messages as configured. It is a fake of the
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
	set.String(&settings.Name, configurer.Key{Section: "Worker", Name: "Name", Required: true, Help: "Name of the worker; if Count is above 1, the prefix of the workers' names."})
	set.Int(&settings.Count, 1, 5000, configurer.Key{Section: "Worker", Name: "Count", Default: "1", Help: "Number of workers that the process emulates."})
	set.String(&settings.DataCentre, configurer.Key{Section: "Worker", Name: "DataCentre", Required: true, Help: "Data centre of the worker."})
	set.String(&settings.Rack, configurer.Key{Section: "Worker", Name: "Rack", Required: true, Help: "Rack of the worker."})
	set.Address(&settings.Address, configurer.Key{Section: "Worker", Name: "Address", Required: true, Help: "Address at which the worker receives orders."})
	set.Address(&settings.ListenAddress, configurer.Key{Section: "Worker", Name: "ListenAddress", Help: "Address to listen on, if it differs from Address, to which entries connect."})
	set.Addresses(&settings.Entries, configurer.Key{Section: "Worker", Name: "Entries", Required: true, Help: "Addresses of entries. Each heartbeat is sent to a random one, and to the next ones if it does not answer."})
	set.Int(&settings.Processors, 1, 4096, configurer.Key{Section: "Worker", Name: "Processors", Default: "32", Help: "Processor cores."})
	set.Int(&settings.MemoryMiB, 1, 64<<20, configurer.Key{Section: "Worker", Name: "MemoryMiB", Default: "131072", Help: "Memory in MiB."})
	set.Int(&settings.Accelerators, 0, 1024, configurer.Key{Section: "Worker", Name: "Accelerators", Default: "0", Help: "Accelerators."})
	set.Int(&settings.Slots, 1, 10_000, configurer.Key{Section: "Worker", Name: "Slots", Default: "8", Help: "Maximum number of concurrent tasks that the worker reports."})
	set.Duration(&settings.BeatInterval, 10*time.Millisecond, time.Minute, configurer.Key{Section: "Worker", Name: "BeatInterval", Default: "1s", Help: "Interval between heartbeats, unless the leader requests a longer one; changes of tasks are reported immediately."})
	set.String(&settings.RecordFile, configurer.Key{Section: "Worker", Name: "RecordFile", Help: "File to which the worker appends a record of the attempts that it ran, as JSON lines; empty for none."})
	set.Duration(&settings.ShutdownTimeout, time.Second, time.Minute, configurer.Key{Section: "Worker", Name: "ShutdownTimeout", Default: "10s", Help: "Timeout of a graceful stop, in which running tasks may finish."})
	set.Int(&settings.FailPercent, 0, 100, configurer.Key{Section: "Faults", Name: "FailPercent", Default: "0", Help: "Percentage of attempts that fail."})
	set.Int(&settings.LosePercent, 0, 100, configurer.Key{Section: "Faults", Name: "LosePercent", Default: "0", Help: "Percentage of heartbeats that are not sent."})
	set.Int(&settings.AnswerLosePercent, 0, 100, configurer.Key{Section: "Faults", Name: "AnswerLosePercent", Default: "0", Help: "Percentage of answers to heartbeats that are ignored."})
	set.Duration(&settings.Lag, 0, time.Minute, configurer.Key{Section: "Faults", Name: "Lag", Default: "0s", Help: "Delay before each heartbeat is sent."})
	set.Bool(&settings.Clockless, configurer.Key{Section: "Faults", Name: "Clockless", Default: "false", Help: "Whether the worker does not report its clock."})
	set.Int(&settings.LoseOrderPercent, 0, 100, configurer.Key{Section: "Faults", Name: "LoseOrderPercent", Default: "0", Help: "Percentage of orders that are acknowledged and then ignored."})
	set.Int(&settings.DamagePercent, 0, 100, configurer.Key{Section: "Faults", Name: "DamagePercent", Default: "0", Help: "Percentage of task answers that are sent with a body that does not match their checksum."})
	set.Int(&settings.RepeatPercent, 0, 100, configurer.Key{Section: "Faults", Name: "RepeatPercent", Default: "0", Help: "Percentage of heartbeats that are sent again after the next one."})
	set.Int(&settings.LiePercent, 0, 100, configurer.Key{Section: "Faults", Name: "LiePercent", Default: "0", Help: "Percentage of heartbeats that omit the list of running attempts."})
	set.Int(&settings.FreezePercent, 0, 100, configurer.Key{Section: "Faults", Name: "FreezePercent", Default: "0", Help: "Percentage of heartbeats before which the worker freezes: for the duration of Freeze it sends no heartbeat and handles no order, while its tasks keep running."})
	set.Duration(&settings.Freeze, 0, 10*time.Minute, configurer.Key{Section: "Faults", Name: "Freeze", Default: "0s", Help: "Duration of a freeze."})
	settings.TLS.Declare(set)
	return set
}
