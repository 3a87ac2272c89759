package soaker

import (
	"context"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/dotterelrill/dotterelrill/internal/forwarder"
	"github.com/dotterelrill/dotterelrill/internal/launcher"
)

// span is a period in which a process was killed or paused.
type span struct {
	from, to time.Time
	// killed is true if the process was killed at from, with all that it ran.
	killed bool
}

// faults injects faults and records the outages of each process.
type faults struct {
	soaker    *Soaker
	processes map[forwarder.Name]*process
	group     sync.WaitGroup

	mutex sync.Mutex
	// leader is the last known leader.
	leader forwarder.Name
	spans  map[forwarder.Name][]span
}

type process struct {
	*launcher.Process
	// mutex serialises kills and pauses of the process.
	mutex sync.Mutex
}

func newFaults(soaker *Soaker) *faults {
	made := &faults{soaker: soaker, processes: make(map[forwarder.Name]*process), spans: make(map[forwarder.Name][]span)}
	for _, processes := range [][]*launcher.Process{soaker.fleet.Cells, soaker.fleet.Entries, soaker.fleet.Workers} {
		for _, started := range processes {
			made.processes[forwarder.Name(started.Name)] = &process{Process: started}
		}
	}
	return made
}

// run injects the schedule's faults until the context ends, and waits for those in
// progress.
func (faults *faults) run(ctx context.Context, schedule []Fault) {
	startedAt := time.Now()
	for _, fault := range schedule {
		select {
		case <-ctx.Done():
			faults.group.Wait()
			return
		case <-time.After(time.Until(startedAt.Add(fault.At))):
		}
		fault.Target, fault.Other = faults.resolve(fault.Target), faults.resolve(fault.Other)
		faults.soaker.recordEvent("%s", fault)
		faults.group.Go(func() { faults.inject(ctx, fault) })
	}
	faults.group.Wait()
}

const resolveTimeout = 100 * time.Millisecond

// resolve returns the process that has a role now. The leader is the last known
// one if no replica leads.
func (faults *faults) resolve(name forwarder.Name) forwarder.Name {
	if name != Leader && name != Follower {
		return name
	}
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	leader, err := faults.soaker.fleet.Leader(ctx)
	if err == nil {
		faults.leader = forwarder.Name(leader.Name)
	}
	if faults.leader == "" {
		faults.leader = processName("cell", 0)
	}
	if name == Leader {
		return faults.leader
	}
	if faults.leader == processName("cell", 0) {
		return processName("cell", 1)
	}
	return processName("cell", 0)
}

// inject injects one fault and returns when it is over.
func (faults *faults) inject(ctx context.Context, fault Fault) {
	links := []forwarder.Link{{From: fault.Target, To: fault.Other}, {From: fault.Other, To: fault.Target}}
	network := faults.soaker.network
	switch fault.Kind {
	case Kill:
		faults.kill(ctx, fault.Target, fault.For)
	case Pause:
		faults.pause(ctx, fault.Target, fault.For)
	case Cut:
		faults.cut(ctx, fault.For, links...)
	case CutOneWay:
		faults.cut(ctx, fault.For, links[0])
	case Isolate:
		faults.cut(ctx, fault.For, forwarder.Around(fault.Target, faults.processNames(All)...)...)
	case Mute:
		faults.cut(ctx, fault.For, forwarder.From(fault.Target, faults.processNames(All)...)...)
	case Deafen:
		faults.cut(ctx, fault.For, forwarder.Towards(fault.Target, faults.processNames(All)...)...)
	case Delay:
		network.Delay(links[0], fault.For/10)
		sleep(ctx, fault.For)
		network.Delay(links[0], 0)
	case KillAll:
		var group sync.WaitGroup
		for _, name := range faults.processNames(fault.Target) {
			group.Go(func() { faults.kill(ctx, name, fault.For) })
		}
		group.Wait()
	}
}

// processNames returns the sorted names of the processes with the prefix.
func (faults *faults) processNames(prefix forwarder.Name) []forwarder.Name {
	var names []forwarder.Name
	for name := range faults.processes {
		if strings.HasPrefix(string(name), string(prefix)) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

func (faults *faults) kill(ctx context.Context, name forwarder.Name, duration time.Duration) {
	process := faults.processes[name]
	process.mutex.Lock()
	defer process.mutex.Unlock()
	process.Kill()
	outage := span{from: time.Now(), killed: true}
	sleep(ctx, duration)
	outage.to = time.Now()
	if err := process.Start(); err != nil {
		faults.soaker.recordViolation("a process can be restarted", "%s: %v", name, err)
	}
	faults.recordOutage(name, outage)
}

func (faults *faults) pause(ctx context.Context, name forwarder.Name, duration time.Duration) {
	process := faults.processes[name]
	process.mutex.Lock()
	defer process.mutex.Unlock()
	process.Signal(syscall.SIGSTOP)
	outage := span{from: time.Now()}
	sleep(ctx, duration)
	outage.to = time.Now()
	process.Signal(syscall.SIGCONT)
	faults.recordOutage(name, outage)
}

func (faults *faults) cut(ctx context.Context, duration time.Duration, links ...forwarder.Link) {
	faults.soaker.network.Cut(links...)
	sleep(ctx, duration)
	faults.soaker.network.Join(links...)
}

func (faults *faults) recordOutage(name forwarder.Name, outage span) {
	faults.mutex.Lock()
	defer faults.mutex.Unlock()
	faults.spans[name] = append(faults.spans[name], outage)
}

// heal waits for the faults in progress and ends all others. It reports a process
// that exited by itself as a violation and restarts it.
func (faults *faults) heal() {
	faults.group.Wait()
	faults.soaker.network.Heal()
	for name, process := range faults.processes {
		if !process.Alive() {
			faults.soaker.recordViolation("no process exits by itself", "%s", name)
			_ = process.Start()
		}
	}
}
