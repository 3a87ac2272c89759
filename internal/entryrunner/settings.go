// Package entryrunner assembles an entry: the HTTP interfaces for callers,
// operators and workers, the access to the leader, and the session that follows
// the leader's configuration and delivers its orders. It is the program
// dotterel-entry without its command line.
package entryrunner

import (
	"strings"
	"time"

	"github.com/dotterelrill/dotterelrill/certifier"
	"github.com/dotterelrill/dotterelrill/configurer"
	"github.com/dotterelrill/dotterelrill/keyer"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/operatorserver"
)

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

	operators []operatorserver.Operator
}

// Set returns the declarations of the settings, bound to the fields.
func (settings *Settings) Set() *configurer.Set {
	set := &configurer.Set{Program: "dotterel-entry"}
	set.String(&settings.CellName, configurer.Key{Section: "Cell", Name: "Name", Required: true, Help: "Name of the cell; every message carries it."})
	set.Addresses(&settings.Cells, configurer.Key{Section: "Cell", Name: "Addresses", Required: true, Help: "Addresses of the cell's replicas. Replaced ones are learned from the configuration."})
	set.String(&settings.Name, configurer.Key{Section: "Entry", Name: "Name", Required: true, Help: "Name of this entry in logs."})
	set.String(&settings.DataCentre, configurer.Key{Section: "Entry", Name: "DataCentre", Required: true, Help: "Data centre that this entry stands in; orders to workers there go through it."})
	set.Address(&settings.Address, configurer.Key{Section: "Entry", Name: "Address", Required: true, Help: "Where callers, operators and workers are served."})
	set.Address(&settings.MetricsAddress, configurer.Key{Section: "Entry", Name: "MetricsAddress", Required: true, Help: "Where /metrics, /healthy and /ready are served."})
	set.Int(&settings.BodyLimit, 1024, 16<<20, configurer.Key{Section: "Entry", Name: "BodyLimit", Default: "262144", Help: "Largest body in bytes that callers and operators may send."})
	set.Int(&settings.BeatLimit, 1024, 64<<20, configurer.Key{Section: "Entry", Name: "BeatLimit", Default: "4194304", Help: "Largest body in bytes that workers may send."})
	set.Duration(&settings.ShutdownTimeout, 2*time.Second, time.Minute, configurer.Key{Section: "Entry", Name: "ShutdownTimeout", Default: "10s", Help: "The longest that a graceful stop takes."})
	set.Duration(&settings.DrainDelay, 0, time.Minute, configurer.Key{Section: "Entry", Name: "DrainDelay", Default: "2s", Help: "How long a stopping entry says that it is not ready before it closes its listener, so that the balancer turns elsewhere."})
	set.Strings(&settings.OperatorKeys, configurer.Key{Section: "Entry", Name: "OperatorKeys", Allowed: "NAME:HASH pairs separated by commas, each hash the SHA-256 of an operator's key in hexadecimal", Help: "Who may use the operators' interface."})
	set.Int(&settings.WorkerConnections, 1, 10_000, configurer.Key{Section: "Workers", Name: "Connections", Default: "60", Help: "Connections that one worker grants to all entries together."})
	set.Int(&settings.MostEntries, 1, 1000, configurer.Key{Section: "Workers", Name: "MostEntries", Default: "12", Help: "Most entries that share a worker's connections."})
	set.Int(&settings.AdmissionRate, 1, 1_000_000, configurer.Key{Section: "Admission", Name: "Rate", Default: "200", Help: "Submissions a second that one client account may bring to this entry."})
	set.Int(&settings.AdmissionBurst, 1, 1_000_000, configurer.Key{Section: "Admission", Name: "Burst", Default: "1000", Help: "Submissions that one client account may bring at once after a pause."})
	set.Int(&settings.MostInFlight, 1, 100_000, configurer.Key{Section: "Admission", Name: "MostInFlight", Default: "128", Help: "Submissions of one client account that may be undecided at this entry."})
	settings.TLS.Declare(set)
	set.Check(settings.check)
	return set
}

func (settings *Settings) check() []configurer.Fault {
	var faults []configurer.Fault
	if settings.Address == settings.MetricsAddress {
		faults = append(faults, configurer.Fault{Section: "Entry", Key: "MetricsAddress", Problem: "duplicate address " + settings.Address, Allowed: "an address that is used once"})
	}
	if settings.DrainDelay+cancelWaitsMargin > settings.ShutdownTimeout {
		faults = append(faults, configurer.Fault{Section: "Entry", Key: "DrainDelay", Problem: "leaves no time to finish requests", Allowed: "at least 2s less than ShutdownTimeout"})
	}
	if settings.WorkerConnections < settings.MostEntries {
		faults = append(faults, configurer.Fault{Section: "Workers", Key: "MostEntries", Problem: "leaves no connection for an entry", Allowed: "at most Connections"})
	}
	settings.operators = nil
	for _, pair := range settings.OperatorKeys {
		name, text, _ := strings.Cut(pair, ":")
		hash, err := keyer.Parse(text)
		if err != nil || name == "" {
			faults = append(faults, configurer.Fault{Section: "Entry", Key: "OperatorKeys", Problem: "a part is not NAME:HASH", Allowed: "NAME:HASH with 64 hexadecimal digits"})
			continue
		}
		settings.operators = append(settings.operators, operatorserver.Operator{Name: modeller.OperatorName(name), Key: hash})
	}
	return faults
}
