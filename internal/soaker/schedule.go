package soaker

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dotterelrill/dotterelrill/internal/forwarder"
)

// Kind is a kind of fault.
type Kind uint8

// The kinds of faults.
const (
	// Kill kills a process and restarts it.
	Kill Kind = iota
	// Pause stops a process with SIGSTOP for a while.
	Pause
	// Cut partitions two processes in both directions, without connection resets.
	Cut
	// CutOneWay holds back what one process sends to the other.
	CutOneWay
	// Isolate partitions a process from all others in both directions.
	Isolate
	// Mute holds back what a process sends to all others, Deafen what they send
	// to it.
	Mute
	Deafen
	// Delay delays what one process sends to the other.
	Delay
	// KillAll kills and restarts all processes whose names have the target as
	// prefix, at the same time.
	KillAll
)

// weightedKinds is the list that kinds are drawn from; a kind that is listed
// several times is drawn more often.
var weightedKinds = []Kind{Kill, Kill, Kill, Pause, Pause, Cut, CutOneWay, CutOneWay, Isolate, Mute, Deafen, Delay, KillAll}

var kindNames = []string{"Kill", "Pause", "Cut", "CutOneWay", "Isolate", "Mute", "Deafen", "Delay", "KillAll"}

// String returns the kind's name.
func (kind Kind) String() string { return kindNames[kind] }

// Leader and Follower denote the replica that has the role when the fault
// begins.
const (
	Leader   forwarder.ProcessName = "leader"
	Follower forwarder.ProcessName = "follower"
)

// All denotes every process.
const All forwarder.ProcessName = ""

// Fault is one injected fault.
type Fault struct {
	// At is the start, counted from the beginning of the schedule.
	At     time.Duration
	Kind   Kind
	Target forwarder.ProcessName
	// Other is the second process of Cut, CutOneWay and Delay.
	Other forwarder.ProcessName
	// For is the duration.
	For time.Duration
}

// String describes the fault.
func (fault Fault) String() string {
	text := fmt.Sprintf("%s %s for %s", fault.Kind, fault.Target, fault.For)
	if fault.Other != "" {
		text += " towards " + string(fault.Other)
	}
	return text
}

// Bounds of the generated faults. The longest fault outlasts the lease term and
// several election timeouts.
const (
	minGap           = 50 * time.Millisecond
	minFaultDuration = 100 * time.Millisecond
	maxFaultDuration = leaseTerm + leaseTerm/2
)

// Schedule returns the faults of a run in the order of their starts:
// Config.Schedule if it is set, and otherwise a schedule generated from the seed.
// Faults may overlap.
func Schedule(config Config) []Fault {
	if config.Schedule != nil {
		return config.Schedule
	}
	random := rand.New(rand.NewPCG(config.Seed, 0))
	var schedule []Fault
	for at := minGap; at < config.FaultTime; at += minGap + time.Duration(random.Int64N(int64(config.Gap))) {
		fault := Fault{At: at, Kind: weightedKinds[random.IntN(len(weightedKinds))]}
		fault.For = minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		fault.Target = pickTarget(random)
		switch fault.Kind {
		case Cut, CutOneWay, Delay:
			fault.Other = pickOther(random, fault.Target)
		case KillAll:
			fault.Target = []forwarder.ProcessName{"cell", "entry", All}[random.IntN(3)]
			fault.For /= 4
		}
		schedule = append(schedule, fault)
	}
	return schedule
}

func pickTarget(random *rand.Rand) forwarder.ProcessName {
	switch random.IntN(4) {
	case 0:
		return Leader
	case 1:
		return Follower
	case 2:
		return processName("entry", random.IntN(entryCount))
	}
	return processName("worker", random.IntN(workerCount))
}

// pickOther returns a random process that the target has connections with.
func pickOther(random *rand.Rand, target forwarder.ProcessName) forwarder.ProcessName {
	switch target {
	case Leader:
		return []forwarder.ProcessName{Follower, processName("entry", random.IntN(entryCount))}[random.IntN(2)]
	case Follower:
		return Leader
	}
	if target[0] == 'w' {
		return processName("entry", random.IntN(entryCount))
	}
	return []forwarder.ProcessName{Leader, processName("worker", random.IntN(workerCount))}[random.IntN(2)]
}

func processName(program string, index int) forwarder.ProcessName {
	return forwarder.ProcessName(fmt.Sprintf("%s%d", program, index+1))
}
