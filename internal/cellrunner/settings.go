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

	"github.com/dotterelrill/dotterelrill/budgeter"
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
	Form bool
	// LossesBorne is how many replicas may be lost at once, or 0 if that is not known;
	// LossesBorneDataCentres and LossesBorneRegions are how many of these.
	LossesBorne, LossesBorneDataCentres, LossesBorneRegions int64

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
	Staged          conductor.Settings
	StagedKeepEnded time.Duration
	// BeatsPerSecond is the rate of heartbeats of all workers together above which
	// the workers are asked to send them less often.
	BeatsPerSecond int64

	QuarantineThreshold int64
	QuarantineWindow    time.Duration
	QuarantineFirstStay time.Duration
	QuarantineMostStay  time.Duration
	QuarantinePercent   int64

	// MemoryMiB is the memory that the process may use, or 0 if it is not known.
	MemoryMiB int64
	// Limits bound what clients take of it.
	Limits budgeter.Limits
}

// lossesBorne returns how many disks may be lost at once, or zero if that is not known.
func (settings *Settings) lossesBorne() int {
	if settings.LossesBorneDataCentres > 0 || settings.LossesBorneRegions > 0 {
		return 0
	}
	return int(settings.LossesBorne)
}

// Set declares the keys that are read into settings.
func (settings *Settings) Set() *configurer.Set {
	set := &configurer.Set{Program: "dotterel-cell"}
	set.String(&settings.CellName, configurer.Key{Section: "Cell", Name: "Name", Required: true, Help: "Name of the cell; every message and record includes it."})
	set.Address(&settings.Address, configurer.Key{Section: "Cell", Name: "Address", Required: true, Help: "Address at which other replicas and entries connect to this replica."})
	set.Address(&settings.ListenAddress, configurer.Key{Section: "Cell", Name: "ListenAddress", Help: "Address to listen on, if it differs from Address, to which others connect."})
	set.Addresses(&settings.Bootstrap, configurer.Key{Section: "Cell", Name: "Bootstrap", Required: true, Help: "Addresses of the cell's replicas, including this one. Replicas with empty data folders form a new cell of these addresses once; after that, a replica only contacts them to join or to announce itself."})
	set.Bool(&settings.Form, configurer.Key{Section: "Cell", Name: "Form", Default: "true", Help: "Whether a replica with an empty data folder may form a new cell from Bootstrap; if false, it only joins an existing one."})
	set.Folder(&settings.DataFolder, configurer.Key{Section: "Cell", Name: "DataFolder", Required: true, Help: "Folder for all persistent data of the replica."})
	settings.declareLosses(set)
	set.Address(&settings.MetricsAddress, configurer.Key{Section: "Cell", Name: "MetricsAddress", Required: true, Help: "Address of the endpoints /metrics, /healthy and /ready."})
	set.Duration(&settings.ShutdownTimeout, time.Second, time.Minute, configurer.Key{Section: "Cell", Name: "ShutdownTimeout", Default: "10s", Help: "Timeout of a graceful stop; the transfer of leadership may take half of it."})
	set.Duration(&settings.HeartbeatInterval, 10*time.Millisecond, time.Second, configurer.Key{Section: "Log", Name: "HeartbeatInterval", Default: "100ms", Help: "Interval between the leader's heartbeats to the other replicas."})
	set.Duration(&settings.ElectionTimeout, 50*time.Millisecond, 30*time.Second, configurer.Key{Section: "Log", Name: "ElectionTimeout", Default: "600ms", Help: "Time without contact from the leader after which a replica starts an election; random jitter adds up to half of it."})
	set.Int(&settings.SnapshotEvery, 10, 10_000_000, configurer.Key{Section: "Log", Name: "SnapshotEvery", Default: "20000", Help: "Number of log entries applied between two snapshots."})
	set.Int(&settings.SegmentBytes, 4096, 1<<30, configurer.Key{Section: "Log", Name: "SegmentBytes", Default: "16777216", Help: "Size of a log segment, in bytes, from which a new segment is started."})
	set.Int(&settings.TailEntries, 0, 1_000_000, configurer.Key{Section: "Log", Name: "TailEntries", Default: "5000", Help: "Number of log entries covered by a snapshot that stay in memory, so that a replica that lags slightly is sent these instead of the snapshot."})
	set.Int(&settings.RetainBytes, 1<<20, 1<<50, configurer.Key{Section: "Log", Name: "RetainBytes", Default: "10737418240", Help: "Maximum size of the retained log, in bytes; above it, the oldest history is removed."})
	set.Duration(&settings.RetainAge, time.Minute, 10*365*24*time.Hour, configurer.Key{Section: "Log", Name: "RetainAge", Default: "2160h", Help: "Maximum age of the retained log; older history is removed."})
	set.Duration(&settings.LeaseTerm, time.Second, 10*time.Minute, configurer.Key{Section: "Lease", Name: "Term", Default: "5s", Help: "Duration of a worker's lease: how long it may run tasks without an answer to its heartbeats."})
	set.Duration(&settings.LeaseGreatestDelay, 0, 10*time.Minute, configurer.Key{Section: "Lease", Name: "GreatestDelay", Default: "0s", Help: "Upper bound of the delay of a message to a worker that cannot report its clock; with 0s, such workers get no lease."})
	set.Duration(&settings.LeaseFresh, 500*time.Millisecond, 10*time.Minute, configurer.Key{Section: "Lease", Name: "Fresh", Default: "2500ms", Help: "How long after its last heartbeat a worker is eligible for new work."})
	set.Int(&settings.QuarantineThreshold, 1, 1000, configurer.Key{Section: "Quarantine", Name: "Threshold", Default: "3", Help: "Number of different jobs that must fail on a worker, from queues in which other workers succeed, before it is quarantined."})
	set.Duration(&settings.QuarantineWindow, time.Second, 24*time.Hour, configurer.Key{Section: "Quarantine", Name: "Window", Default: "10m", Help: "How long a failure or success counts towards the decision on quarantine."})
	set.Duration(&settings.QuarantineFirstStay, time.Second, time.Hour, configurer.Key{Section: "Quarantine", Name: "FirstStay", Default: "30s", Help: "Duration of a first quarantine; each further one without a success in between lasts twice as long, up to MostStay."})
	set.Duration(&settings.QuarantineMostStay, time.Second, 24*time.Hour, configurer.Key{Section: "Quarantine", Name: "MostStay", Default: "10m", Help: "Maximum duration of a quarantine."})
	set.Int(&settings.QuarantinePercent, 1, 100, configurer.Key{Section: "Quarantine", Name: "MostPercent", Default: "20", Help: "Maximum share of the workers in quarantine at once, in percent; one worker is always allowed."})
	set.Int(&settings.BeatsPerSecond, 1, 100_000, configurer.Key{Section: "Lease", Name: "BeatsPerSecond", Default: "500", Help: "Target rate of the heartbeats of all workers together, per second. If the fleet exceeds it, the workers are sent a longer heartbeat interval, at most half of Fresh."})
	set.Duration(&settings.Staged.Lease, time.Second, 10*time.Minute, configurer.Key{Section: "Staged", Name: "Lease", Default: "6s", Help: "Duration of a worker's lease for staged jobs: how long it may run their tasks without a renewal. It must not exceed the lease duration that the workers accept."})
	set.Duration(&settings.Staged.StaleAfter, time.Second, 10*time.Minute, configurer.Key{Section: "Staged", Name: "StaleAfter", Default: "4s", Help: "Time since the last contact with a worker from which it is assigned no new tasks of staged jobs."})
	set.Duration(&settings.Staged.GangWait, 100*time.Millisecond, 10*time.Minute, configurer.Key{Section: "Staged", Name: "GangWait", Default: "3s", Help: "How long the first task of a gang waits at its worker for the others; before that time it is not treated as stalled."})
	set.Strings(&settings.Staged.DataCentres, configurer.Key{Section: "Staged", Name: "DataCentres", Help: "Names of data centres that may be evacuated although no worker of theirs was ever announced."})
	set.Bool(&settings.Staged.Admission, configurer.Key{Section: "Staged", Name: "Admission", Default: "false", Help: "Whether a staged job is refused on submission if it is forecast to finish after its callers have stopped waiting, three times its objective; with false, every well-formed job is accepted."})
	set.Bool(&settings.Staged.AdmissionAtEntries, configurer.Key{Section: "Staged", Name: "AdmissionAtEntries", Default: "false", Help: "Whether entries refuse by themselves the staged jobs that the forecast refuses beyond doubt, which spares an overloaded leader. A new leader with a backlog then accepts no job for 850 ms. It takes effect only with Admission."})
	set.Float(&settings.Staged.RemotePenalty, 1, 100, configurer.Key{Section: "Staged", Name: "RemotePenalty", Help: "How many times as long a task runs on a worker of another rack than its data, and a gang that needs one rack on several; used for a queue until it has been observed. Steps may wait for near room if it is above 1; if it is 1 or empty, none waits."})
	set.Duration(&settings.StagedKeepEnded, time.Minute, 30*24*time.Hour, configurer.Key{Section: "Staged", Name: "KeepEnded", Default: "1h", Help: "Retention of a staged job after its end, during which it can be queried and its ID cannot be used for a new job."})
	settings.TLS.Declare(set)
	budgeter.SetMemory(set, &settings.MemoryMiB, "0")
	settings.Limits.Set(set)
	set.Check(settings.check)
	return set
}

func (settings *Settings) declareLosses(set *configurer.Set) {
	set.Int(&settings.LossesBorne, 0, 100, configurer.Key{Section: "Cell", Name: "LossesBorne", Help: "How many replicas the cell has to bear the loss of at once, with their disks. Lost replicas without a successor then lose their votes as long as twice as many and one more remain. With 0 or empty they keep them."})
	set.Int(&settings.LossesBorneDataCentres, 0, 100, configurer.Key{Section: "Cell", Name: "LossesBorneDataCentres", Help: "How many data centres the cell has to bear the loss of at once. If it is above 0, the number of replicas lost with them is not known, and LossesBorne has no effect."})
	set.Int(&settings.LossesBorneRegions, 0, 100, configurer.Key{Section: "Cell", Name: "LossesBorneRegions", Help: "The same for regions."})
}

func (settings *Settings) check() []configurer.Fault {
	var faults []configurer.Fault
	if settings.Address == settings.MetricsAddress {
		faults = append(faults, configurer.Fault{Section: "Cell", Key: "MetricsAddress", Problem: "duplicate address " + settings.Address, Allowed: "an address that differs from Address"})
	}
	if settings.ElectionTimeout < 3*settings.HeartbeatInterval {
		faults = append(faults, configurer.Fault{Section: "Log", Key: "ElectionTimeout", Problem: "shorter than three heartbeat intervals", Allowed: "at least three times HeartbeatInterval"})
	}
	if settings.LeaseFresh >= settings.LeaseTerm {
		faults = append(faults, configurer.Fault{Section: "Lease", Key: "Fresh", Problem: "not shorter than Term", Allowed: "less than Term"})
	}
	if settings.QuarantineMostStay < settings.QuarantineFirstStay {
		faults = append(faults, configurer.Fault{Section: "Quarantine", Key: "MostStay", Problem: "shorter than FirstStay", Allowed: "at least FirstStay"})
	}
	return faults
}
