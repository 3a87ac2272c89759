// Package entryrunner assembles an entry: the HTTP interfaces for callers,
// operators and workers, the access to the leader, and the session that follows
// the leader's configuration and delivers its orders. It is the program
// dotterel-entry without its command line.
package entryrunner

import (
	"strings"
	"time"

	"github.com/dotterelrill/dotterelrill/budgeter"
	"github.com/dotterelrill/dotterelrill/certifier"
	"github.com/dotterelrill/dotterelrill/configurer"
	"github.com/dotterelrill/dotterelrill/keyer"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/operatorserver"
)

// defaultMemoryMiB is the memory of an entry that states none. An entry keeps no state,
// and takes 20 MiB without requests.
const defaultMemoryMiB = "100"

// Settings are the settings of dotterel-entry, as read from its file.
type Settings struct {
	CellName        string
	Cells           []string
	Name            string
	DataCentre      string
	Address         string
	MetricsAddress  string
	BodyLimit       int64
	BeatLimit       int64
	ShutdownTimeout time.Duration
	DrainDelay      time.Duration
	OperatorKeys    []string
	// WorkerConnections is the number of connections that a worker accepts from
	// all entries together; each of at most MostEntries entries opens an equal
	// part.
	WorkerConnections int64
	MostEntries       int64
	AdmissionRate     int64
	AdmissionBurst    int64
	MostInFlight      int64

	TLS certifier.Files
	// Descriptors is how many file descriptors the process may have open, and
	// MemoryMiB the memory that it may use, or 0 if it is not known.
	Descriptors int64
	MemoryMiB   int64
	// Limits bound what clients take of it.
	Limits budgeter.Limits

	operators []operatorserver.Operator
}

// Set returns the declarations of the settings, bound to the fields.
func (settings *Settings) Set() *configurer.Set {
	set := &configurer.Set{Program: "dotterel-entry"}
	set.String(&settings.CellName, configurer.Key{Section: "Cell", Name: "Name", Required: true, Help: "Name of the cell; every message includes it."})
	set.Addresses(&settings.Cells, configurer.Key{Section: "Cell", Name: "Addresses", Required: true, Help: "Addresses of the cell's replicas at start; later changes are learned from the configuration that the leader sends."})
	set.String(&settings.Name, configurer.Key{Section: "Entry", Name: "Name", Required: true, Help: "Name of this entry in logs and messages."})
	set.String(&settings.DataCentre, configurer.Key{Section: "Entry", Name: "DataCentre", Required: true, Help: "Data centre of this entry; orders to workers in the same data centre go through it by preference."})
	set.Address(&settings.Address, configurer.Key{Section: "Entry", Name: "Address", Required: true, Help: "Address that callers, operators and workers call."})
	set.Address(&settings.MetricsAddress, configurer.Key{Section: "Entry", Name: "MetricsAddress", Required: true, Help: "Address of the endpoints /metrics, /healthy and /ready."})
	set.Int(&settings.BodyLimit, 1024, 16<<20, configurer.Key{Section: "Entry", Name: "BodyLimit", Default: "262144", Help: "Maximum size of a request body from callers and operators, in bytes."})
	set.Int(&settings.BeatLimit, 1024, 64<<20, configurer.Key{Section: "Entry", Name: "BeatLimit", Default: "4194304", Help: "Maximum size of a heartbeat request body from workers, in bytes."})
	set.Duration(&settings.ShutdownTimeout, 2*time.Second, time.Minute, configurer.Key{Section: "Entry", Name: "ShutdownTimeout", Default: "10s", Help: "Timeout of a graceful stop, including DrainDelay."})
	set.Duration(&settings.DrainDelay, 0, time.Minute, configurer.Key{Section: "Entry", Name: "DrainDelay", Default: "2s", Help: "How long a stopping entry reports that it is not ready before it closes its listener, so that the load balancer routes requests to other entries."})
	set.Strings(&settings.OperatorKeys, configurer.Key{Section: "Entry", Name: "OperatorKeys", Allowed: "NAME:HASH pairs separated by commas, each hash the SHA-256 of an operator's key in hexadecimal", Help: "Operators that may use the operators' interface, with the hashes of their keys."})
	set.Int(&settings.WorkerConnections, 1, 10_000, configurer.Key{Section: "Workers", Name: "Connections", Default: "60", Help: "Maximum number of connections that all entries together open to one worker."})
	set.Int(&settings.MostEntries, 1, 1000, configurer.Key{Section: "Workers", Name: "MostEntries", Default: "12", Help: "Maximum number of entries among which a worker's connections are divided."})
	set.Int(&settings.AdmissionRate, 1, 1_000_000, configurer.Key{Section: "Admission", Name: "Rate", Default: "200", Help: "Sustained rate at which one client account may send submissions to this entry, per second."})
	set.Int(&settings.AdmissionBurst, 1, 1_000_000, configurer.Key{Section: "Admission", Name: "Burst", Default: "1000", Help: "Number of submissions that an idle client account may send to this entry at once."})
	set.Int(&settings.MostInFlight, 1, 100_000, configurer.Key{Section: "Admission", Name: "MostInFlight", Default: "128", Help: "Maximum number of submissions of one client account in flight at this entry."})
	settings.TLS.Declare(set)
	set.Int(&settings.Descriptors, 0, 1<<20, configurer.Key{Section: "Limits", Name: "Descriptors", Default: "0", Help: "Number of file descriptors that the process may have open; the connections of callers, operators and workers are limited so that the process always finds some. With 0 it is the limit that the system sets for the process."})
	budgeter.SetMemory(set, &settings.MemoryMiB, defaultMemoryMiB)
	settings.Limits.Set(set)
	set.Check(settings.check)
	return set
}

func (settings *Settings) check() []configurer.Fault {
	var faults []configurer.Fault
	if settings.Address == settings.MetricsAddress {
		faults = append(faults, configurer.Fault{Section: "Entry", Key: "MetricsAddress", Problem: "duplicate address " + settings.Address, Allowed: "an address that differs from Address"})
	}
	if settings.DrainDelay+cancelWaitsMargin > settings.ShutdownTimeout {
		faults = append(faults, configurer.Fault{Section: "Entry", Key: "DrainDelay", Problem: "leaves too little of ShutdownTimeout to finish requests", Allowed: "at least 2s less than ShutdownTimeout"})
	}
	if settings.WorkerConnections < settings.MostEntries {
		faults = append(faults, configurer.Fault{Section: "Workers", Key: "MostEntries", Problem: "leaves less than one connection per entry", Allowed: "at most Connections"})
	}
	faults = append(faults, settings.Limits.Check(settings.MemoryMiB, max(settings.BodyLimit, settings.BeatLimit))...)
	settings.operators = nil
	for _, pair := range settings.OperatorKeys {
		name, text, _ := strings.Cut(pair, ":")
		hash, err := keyer.Parse(text)
		if err != nil || name == "" {
			faults = append(faults, configurer.Fault{Section: "Entry", Key: "OperatorKeys", Problem: "an item is not NAME:HASH", Allowed: "NAME:HASH with 64 hexadecimal digits"})
			continue
		}
		settings.operators = append(settings.operators, operatorserver.Operator{Name: modeller.OperatorName(name), Key: hash})
	}
	return faults
}
