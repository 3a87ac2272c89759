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

// outage is a period in which a process was killed or paused.
type outage struct {
	from, to time.Time
	// killed is true if the process was killed at from, with all that it ran.
	killed bool
}

// injector injects faults and records the outages of each process.
type injector struct {
	soaker    *Soaker
	processes map[forwarder.ProcessName]*process
	group     sync.WaitGroup

	mutex sync.Mutex
	// leader is the last known leader.
	leader  forwarder.ProcessName
	outages map[forwarder.ProcessName][]outage
}

type process struct {
	*launcher.Process
	// mutex serialises kills and pauses of the process.
	mutex sync.Mutex
}

func newInjector(soaker *Soaker) *injector {
	injector := &injector{soaker: soaker, processes: make(map[forwarder.ProcessName]*process), outages: make(map[forwarder.ProcessName][]outage)}
	for _, processes := range [][]*launcher.Process{soaker.fleet.Cells, soaker.fleet.Entries, soaker.fleet.Workers} {
		for _, started := range processes {
			injector.processes[forwarder.ProcessName(started.Name)] = &process{Process: started}
		}
	}
	return injector
}

// run injects the schedule's faults until the context ends, and waits for those in
// progress.
func (injector *injector) run(ctx context.Context, schedule []Fault) {
	startedAt := time.Now()
	for _, fault := range schedule {
		select {
		case <-ctx.Done():
			injector.group.Wait()
			return
		case <-time.After(time.Until(startedAt.Add(fault.At))):
		}
		fault.Target, fault.Other = injector.resolve(fault.Target), injector.resolve(fault.Other)
		injector.soaker.recordEvent("%s", fault)
		injector.group.Go(func() { injector.inject(ctx, fault) })
	}
	injector.group.Wait()
}

const resolveTimeout = 100 * time.Millisecond

// resolve returns the process that has a role now. The leader is the last known
// one if no replica leads.
func (injector *injector) resolve(name forwarder.ProcessName) forwarder.ProcessName {
	if name != Leader && name != Follower {
		return name
	}
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	leader, err := injector.soaker.fleet.Leader(ctx)
	if err == nil {
		injector.leader = forwarder.ProcessName(leader.Name)
	}
	if injector.leader == "" {
		injector.leader = processName("cell", 0)
	}
	if name == Leader {
		return injector.leader
	}
	if injector.leader == processName("cell", 0) {
		return processName("cell", 1)
	}
	return processName("cell", 0)
}

// inject injects one fault and returns when it is over.
func (injector *injector) inject(ctx context.Context, fault Fault) {
	links := []forwarder.Link{{From: fault.Target, To: fault.Other}, {From: fault.Other, To: fault.Target}}
	network := injector.soaker.network
	switch fault.Kind {
	case Kill:
		injector.kill(ctx, fault.Target, fault.For)
	case Pause:
		injector.pause(ctx, fault.Target, fault.For)
	case Cut:
		injector.cut(ctx, fault.For, links...)
	case CutOneWay:
		injector.cut(ctx, fault.For, links[0])
	case Isolate:
		injector.cut(ctx, fault.For, forwarder.LinksBetween(fault.Target, injector.processNames(All)...)...)
	case Mute:
		injector.cut(ctx, fault.For, forwarder.LinksFrom(fault.Target, injector.processNames(All)...)...)
	case Deafen:
		injector.cut(ctx, fault.For, forwarder.LinksTo(fault.Target, injector.processNames(All)...)...)
	case Delay:
		network.Delay(links[0], fault.For/10)
		sleep(ctx, fault.For)
		network.Delay(links[0], 0)
	case KillAll:
		var group sync.WaitGroup
		for _, name := range injector.processNames(fault.Target) {
			group.Go(func() { injector.kill(ctx, name, fault.For) })
		}
		group.Wait()
	}
}

// processNames returns the sorted names of the processes with the prefix.
func (injector *injector) processNames(prefix forwarder.ProcessName) []forwarder.ProcessName {
	var names []forwarder.ProcessName
	for name := range injector.processes {
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

func (injector *injector) kill(ctx context.Context, name forwarder.ProcessName, duration time.Duration) {
	process := injector.processes[name]
	process.mutex.Lock()
	defer process.mutex.Unlock()
	process.Kill()
	outage := outage{from: time.Now(), killed: true}
	sleep(ctx, duration)
	outage.to = time.Now()
	if err := process.Start(); err != nil {
		injector.soaker.recordViolation("a process can be restarted", "%s: %v", name, err)
	}
	injector.recordOutage(name, outage)
}

func (injector *injector) pause(ctx context.Context, name forwarder.ProcessName, duration time.Duration) {
	process := injector.processes[name]
	process.mutex.Lock()
	defer process.mutex.Unlock()
	process.Signal(syscall.SIGSTOP)
	outage := outage{from: time.Now()}
	sleep(ctx, duration)
	outage.to = time.Now()
	process.Signal(syscall.SIGCONT)
	injector.recordOutage(name, outage)
}

func (injector *injector) cut(ctx context.Context, duration time.Duration, links ...forwarder.Link) {
	injector.soaker.network.Cut(links...)
	sleep(ctx, duration)
	injector.soaker.network.Uncut(links...)
}

func (injector *injector) recordOutage(name forwarder.ProcessName, outage outage) {
	injector.mutex.Lock()
	defer injector.mutex.Unlock()
	injector.outages[name] = append(injector.outages[name], outage)
}

// heal waits for the faults in progress and ends all others. It reports a process
// that exited by itself as a violation and restarts it.
func (injector *injector) heal() {
	injector.group.Wait()
	injector.soaker.network.Heal()
	for name, process := range injector.processes {
		if !process.Alive() {
			injector.soaker.recordViolation("no process exits by itself", "%s", name)
			_ = process.Start()
		}
	}
}
