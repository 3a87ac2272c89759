package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/dotterelrill/dotterelrill/internal/launcher"
)

// The settings of the installation, as in the pages' first example of a settings file.
const (
	holdMaxMs    = 6000
	gangWaitMs   = 3000
	heartbeatMs  = 1500
	memoryMb     = 284
	replicaCount = 3
	entryCount   = 2
	portCount    = 7
	queueHost    = "nony24.example"
	queuePrefix  = "/lohu930/"
	serviceName  = "huvo11a"
)

// tenantKeys are the keys of the tenants, one each.
var tenantKeys = []string{"6x73d3zji9n73hh2b9wu", "3fexd9dnn2ctnfzs989a"}

// rig is a small installation with the platform around it.
type rig struct {
	*record
	fleet    *launcher.Fleet
	folder   string
	hosts    []string
	ports    []string
	replicas []*launcher.Process
	entries  []*launcher.Process
	workers  []*worker
	version  int

	endsMutex sync.Mutex
	// lastEnds is when the last run of each task ended.
	lastEnds map[string]time.Time
}

// startRig starts three replicas and two entries, each on a machine of its own.
func startRig(ctx context.Context, record *record, programs string) (*rig, error) {
	folder, err := os.MkdirTemp("", "rigger-")
	if err != nil {
		return nil, err
	}
	rig := &rig{record: record, folder: folder, lastEnds: make(map[string]time.Time), fleet: launcher.New(launcher.Config{Folder: folder, Programs: programs})}
	if err := rig.start(ctx); err != nil {
		rig.end()
		return nil, err
	}
	return rig, nil
}

func (rig *rig) start(ctx context.Context) error {
	if err := rig.drawAddresses(ctx); err != nil {
		return err
	}
	for index := range replicaCount {
		process, err := rig.startProgram("cell", index)
		if err != nil {
			return err
		}
		rig.replicas = append(rig.replicas, process)
	}
	for index := range entryCount {
		process, err := rig.startProgram("entry", index)
		if err != nil {
			return err
		}
		rig.entries = append(rig.entries, process)
	}
	return nil
}

// end ends all processes and removes their files.
func (rig *rig) end() {
	for _, worker := range rig.workers {
		worker.crash()
	}
	rig.fleet.Kill()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(rig.folder)
	}
}

// drawAddresses draws a loopback address for each machine and for each worker, and ports
// that are the same on all machines.
func (rig *rig) drawAddresses(ctx context.Context) error {
	pid := os.Getpid()
	for index := range 200 {
		rig.hosts = append(rig.hosts, fmt.Sprintf("127.%d.%d.%d", 100+pid%100, pid/100%250, index+1))
	}
	for range portCount {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", rig.hosts[0]+":0")
		if err != nil {
			return err
		}
		defer func() { _ = listener.Close() }()
		rig.ports = append(rig.ports, strconv.Itoa(listener.Addr().(*net.TCPAddr).Port))
	}
	return nil
}

// The uses of the ports.
const (
	portInternal = iota
	portInternalEnd
	portFrontend
	portReadiness
	portControl
	portWorker
)

func (rig *rig) address(machine, port int) string {
	return net.JoinHostPort(rig.hosts[machine], rig.ports[port])
}

// startProgram starts a program of the deploy file on a machine, with the settings that its
// template renders.
func (rig *rig) startProgram(program string, machine int) (*launcher.Process, error) {
	template, err := os.ReadFile(filepath.Join("deploy", program+".ini"))
	if err != nil {
		return nil, err
	}
	var seeds []string
	for index := range replicaCount {
		seeds = append(seeds, rig.address(index, portControl))
	}
	name := program + strconv.Itoa(machine+1)
	settings := fields{
		"ip": rig.hosts[machine], "nodeName": name, "seeds": seeds, "bootstrap": true, "dataDir": filepath.Join(rig.folder, "data-"+name),
		"internalPorts.0": rig.ports[portInternal], "internalPorts.1": rig.ports[portInternalEnd],
		"bindAddrs.frontend": rig.address(machine, portFrontend), "bindAddrs.readiness": rig.address(machine, portReadiness),
		"bindAddrs.controlPlane": rig.address(machine, portControl), "zones": []string{"hobart"},
		"bounds.holdMaxMs": holdMaxMs, "bounds.gangWaitMs": gangWaitMs, "bounds.remotePenalty": 3,
		"limits.maxFds": 4100, "limits.memoryMb": memoryMb,
	}
	return rig.fleet.StartProgram(program, name, settings.render(string(template)))
}

// pause waits unless the case ends.
func pause(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// shortID is the id of a job for the record.
func shortID(id string) string { return strings.TrimLeft(id, "0") }

// noteEnd records that a run of a task ended.
func (rig *rig) noteEnd(task string) {
	rig.endsMutex.Lock()
	defer rig.endsMutex.Unlock()
	rig.lastEnds[task] = time.Now()
}

// lastEnd returns when the last run of a task ended.
func (rig *rig) lastEnd(task string) time.Time {
	rig.endsMutex.Lock()
	defer rig.endsMutex.Unlock()
	return rig.lastEnds[task]
}

// begun returns the runs of a job that have begun, on all workers.
func (rig *rig) begun(id string) []begunRun {
	var found []begunRun
	for _, worker := range rig.workers {
		worker.mutex.Lock()
		for _, begun := range worker.begins {
			if strings.HasPrefix(begun.task, id+".") {
				found = append(found, begun)
			}
		}
		worker.mutex.Unlock()
	}
	return found
}

// running reports whether a run of a task is at work on any worker.
func (rig *rig) running(task string) bool {
	for _, worker := range rig.workers {
		worker.mutex.Lock()
		atWork := worker.life != nil && worker.life.runs[task] != nil
		worker.mutex.Unlock()
		if atWork {
			return true
		}
	}
	return false
}

// addWorkers starts workers of the installation's usual size.
func (rig *rig) addWorkers(ctx context.Context, count int) error {
	for index := range count {
		if _, err := rig.addWorker(ctx, index, body{"cpu": 32000, "memMb": 131072, "gpu": 0}); err != nil {
			return err
		}
	}
	return nil
}

// warmUp runs a job with a task on each worker, so that the leader has channels to all.
func (rig *rig) warmUp(ctx context.Context) error {
	id := "00000000000000a0"
	if !rig.submit(ctx, id, job(400, len(rig.workers), 20000)).accepted() || rig.awaitState(ctx, id, 10*time.Second, "completed") != "completed" {
		return errors.New("the first job is not completed")
	}
	pause(ctx, time.Second)
	return nil
}
