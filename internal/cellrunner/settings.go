// Package cellrunner runs one replica of a cell. It connects the journal, the
// replicated log, the applied state, the control loops of the leader, and the
// gRPC services for other replicas, entries and operators. The program
// dotterel-cell is this package and a command line.
//
// It owns the replica's life cycle: the identity in the data folder, forming or
// joining a cell, changes of the membership, the beginning and end of a
// leadership, and the transfer of leadership at shutdown. A replica that leads
// runs one goroutine each for placement, quarantine, the expiry of leases, the
// delivery of orders and staged jobs; all of them end with the leadership.
//
// Each decision of the leader is a proposal to the log and takes effect only
// when the committed entry is applied. Only the leader answers reads, and it
// checks that it still leads after it has read, so that a replica which was
// paused does not return stale state.
//
// Consensus is left to package replicator, files to journaler, the state and its
// transitions to applier, the placement policy to planner, leases to leaser, the
// decision on quarantine to quarantiner, and staged jobs to conductor.
package cellrunner

import (
	"time"

	"github.com/dotterelrill/dotterelrill/certifier"
	"github.com/dotterelrill/dotterelrill/conductor"
	"github.com/dotterelrill/dotterelrill/configurer"
)

// Settings is the configuration that dotterel-cell reads from its file. Set
// declares the key, range, default and help of each field.
type Settings struct {
	CellName      string
	Address       string
	ListenAddress string
	Bootstrap     []string
	// Form allows replicas with empty data folders to form a new cell.
	Form            bool
	MetricsAddress  string
	DataFolder      string
	ShutdownTimeout time.Duration

	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	SnapshotEvery     int64
	SegmentBytes      int64
	TailEntries       int64
	RetainBytes       int64
	RetainAge         time.Duration

	LeaseTerm  time.Duration
	LeaseFresh time.Duration
	// LeaseGreatestDelay is the maximum delay of a message to a worker that does
	// not report its clock; zero gives such workers no lease.
	LeaseGreatestDelay time.Duration
	TLS                certifier.Files
	// Staged configures the conductor of staged jobs.
	Staged          conductor.Terms
	StagedKeepEnded time.Duration
	// BeatsPerSecond is the rate of heartbeats of all workers together above which
	// they are told to send less often.
	BeatsPerSecond int64

	QuarantineThreshold int64
	QuarantineWindow    time.Duration
	QuarantineFirstStay time.Duration
	QuarantineMostStay  time.Duration
	QuarantinePercent   int64
}

// Set declares the keys that are read into settings.
func (settings *Settings) Set() *configurer.Set {
	set := &configurer.Set{Program: "dotterel-cell"}
	set.String(&settings.CellName, configurer.Key{Section: "Cell", Name: "Name", Required: true, Help: "Name of the cell; every message and record carries it."})
	set.Address(&settings.Address, configurer.Key{Section: "Cell", Name: "Address", Required: true, Help: "Where other replicas and entries reach this one."})
	set.Address(&settings.ListenAddress, configurer.Key{Section: "Cell", Name: "ListenAddress", Help: "Where to listen, if that differs from the Address that others are told of."})
	set.Addresses(&settings.Bootstrap, configurer.Key{Section: "Cell", Name: "Bootstrap", Required: true, Help: "Addresses of the cell's replicas, this one included. Replicas with empty folders form a new cell from it once; later it only tells where to ask."})
	set.Bool(&settings.Form, configurer.Key{Section: "Cell", Name: "Form", Default: "true", Help: "Whether replicas with empty folders may form a new cell from Bootstrap; if not, they only join one."})
	set.Folder(&settings.DataFolder, configurer.Key{Section: "Cell", Name: "DataFolder", Required: true, Help: "The one folder for everything that must survive."})
	set.Address(&settings.MetricsAddress, configurer.Key{Section: "Cell", Name: "MetricsAddress", Required: true, Help: "Where /metrics, /healthy and /ready are served."})
	set.Duration(&settings.ShutdownTimeout, time.Second, time.Minute, configurer.Key{Section: "Cell", Name: "ShutdownTimeout", Default: "10s", Help: "The longest that a graceful stop takes."})
	set.Duration(&settings.HeartbeatInterval, 10*time.Millisecond, time.Second, configurer.Key{Section: "Log", Name: "HeartbeatInterval", Default: "100ms", Help: "How often the leader lets the other replicas hear of it."})
	set.Duration(&settings.ElectionTimeout, 50*time.Millisecond, 30*time.Second, configurer.Key{Section: "Log", Name: "ElectionTimeout", Default: "600ms", Help: "Silence of the leader after which a replica stands for election; up to half as much again by chance."})
	set.Int(&settings.SnapshotEvery, 10, 10_000_000, configurer.Key{Section: "Log", Name: "SnapshotEvery", Default: "20000", Help: "Entries between two snapshots."})
	set.Int(&settings.SegmentBytes, 4096, 1<<30, configurer.Key{Section: "Log", Name: "SegmentBytes", Default: "16777216", Help: "Size in bytes from which on a new segment of the log is begun."})
	set.Int(&settings.TailEntries, 0, 1_000_000, configurer.Key{Section: "Log", Name: "TailEntries", Default: "5000", Help: "Entries kept in memory behind a snapshot, so that a replica that is a little behind gets these instead of the snapshot."})
	set.Int(&settings.RetainBytes, 1<<20, 1<<50, configurer.Key{Section: "Log", Name: "RetainBytes", Default: "10737418240", Help: "Size in bytes from which on the oldest history is given up."})
	set.Duration(&settings.RetainAge, time.Minute, 10*365*24*time.Hour, configurer.Key{Section: "Log", Name: "RetainAge", Default: "2160h", Help: "Age from which on history is given up."})
	set.Duration(&settings.LeaseTerm, time.Second, 10*time.Minute, configurer.Key{Section: "Lease", Name: "Term", Default: "5s", Help: "How long a worker may go on without an answer to its beats."})
	set.Duration(&settings.LeaseGreatestDelay, 0, 10*time.Minute, configurer.Key{Section: "Lease", Name: "GreatestDelay", Default: "0s", Help: "The longest that a message takes to a worker that cannot state its clock; 0s gives such workers no lease."})
	set.Duration(&settings.LeaseFresh, 500*time.Millisecond, 10*time.Minute, configurer.Key{Section: "Lease", Name: "Fresh", Default: "2500ms", Help: "How long after its last beat a worker may get new work."})
	set.Int(&settings.QuarantineThreshold, 1, 1000, configurer.Key{Section: "Quarantine", Name: "Threshold", Default: "3", Help: "Different jobs that a worker must fail, of queues that others run, before it is put in quarantine."})
	set.Duration(&settings.QuarantineWindow, time.Second, 24*time.Hour, configurer.Key{Section: "Quarantine", Name: "Window", Default: "10m", Help: "How long a failure or success counts."})
	set.Duration(&settings.QuarantineFirstStay, time.Second, time.Hour, configurer.Key{Section: "Quarantine", Name: "FirstStay", Default: "30s", Help: "Length of a first quarantine; each further one is twice as long."})
	set.Duration(&settings.QuarantineMostStay, time.Second, 24*time.Hour, configurer.Key{Section: "Quarantine", Name: "MostStay", Default: "10m", Help: "The longest quarantine."})
	set.Int(&settings.QuarantinePercent, 1, 100, configurer.Key{Section: "Quarantine", Name: "MostPercent", Default: "20", Help: "Largest part of the workers in quarantine at once, in percent; one worker is always allowed."})
	set.Int(&settings.BeatsPerSecond, 1, 100_000, configurer.Key{Section: "Lease", Name: "BeatsPerSecond", Default: "500", Help: "Rate of all workers' beats together above which they are told to beat less often, though at least twice within Fresh."})
	set.Duration(&settings.Staged.Lease, time.Second, 10*time.Minute, configurer.Key{Section: "Staged", Name: "Lease", Default: "6s", Help: "How long a worker may go on with staged jobs without a renewal; no more than workers grant."})
	set.Duration(&settings.Staged.StaleAfter, time.Second, 10*time.Minute, configurer.Key{Section: "Staged", Name: "StaleAfter", Default: "4s", Help: "Age of a worker's last sign of life from which on it gets no new tasks of staged jobs."})
	set.Duration(&settings.Staged.GangWait, 100*time.Millisecond, 10*time.Minute, configurer.Key{Section: "Staged", Name: "GangWait", Default: "3s", Help: "How long the first task of a gang waits at its worker for the others."})
	set.Duration(&settings.StagedKeepEnded, time.Minute, 30*24*time.Hour, configurer.Key{Section: "Staged", Name: "KeepEnded", Default: "1h", Help: "How long a staged job that is over can be asked for, and its identity is not taken anew."})
	settings.TLS.Declare(set)
	set.Check(settings.check)
	return set
}

func (settings *Settings) check() []configurer.Fault {
	var faults []configurer.Fault
	if settings.Address == settings.MetricsAddress {
		faults = append(faults, configurer.Fault{Section: "Cell", Key: "MetricsAddress", Problem: "duplicate address " + settings.Address, Allowed: "an address that is used once"})
	}
	if settings.ElectionTimeout < 3*settings.HeartbeatInterval {
		faults = append(faults, configurer.Fault{Section: "Log", Key: "ElectionTimeout", Problem: "shorter than three heartbeats", Allowed: "at least three times HeartbeatInterval"})
	}
	if settings.LeaseFresh >= settings.LeaseTerm {
		faults = append(faults, configurer.Fault{Section: "Lease", Key: "Fresh", Problem: "not shorter than the term", Allowed: "less than Term"})
	}
	if settings.QuarantineMostStay < settings.QuarantineFirstStay {
		faults = append(faults, configurer.Fault{Section: "Quarantine", Key: "MostStay", Problem: "shorter than the first stay", Allowed: "at least FirstStay"})
	}
	return faults
}
