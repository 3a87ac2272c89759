package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// The sizes of the deployment: those of huon-roster's machines with a disk, each with a
// replica and an entry, and fewer workers.
const (
	machineCount = 3
	holdMax      = 6 * time.Second
	gangWait     = 3 * time.Second
	serviceName  = "desk"
)

// The ports of every machine. Each machine has a loopback address of its own.
const (
	frontendPort, readinessPort, controlPort, workerPort = "8183", "8184", "8180", "8080"

	firstInternalPort, lastInternalPort = "7420", "7435"
)

// stage is a running deployment with its stand-ins.
type stage struct {
	root    string
	folder  string
	record  *record
	history *history
	trouble bool
	// proxied is true if the connections to the replicas' inner port pass proxies.
	proxied bool
	client  *http.Client
	// network is the prefix of all loopback addresses of this run.
	network string
	// ctx ends when the stage is closed.
	ctx    context.Context
	cancel context.CancelFunc

	cells, entries []*process
	proxies        []*proxy
	workers        []*worker
	// controls and frontends are the addresses for workers and operators, and for clients.
	controls, frontends []string
	version             uint64
}

func newStage(root string, record *record, trouble bool) (*stage, error) {
	folder, err := os.MkdirTemp("", "stage")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	stage := &stage{
		root: root, folder: folder, record: record, history: &history{record: record}, trouble: trouble, client: newHTTPClient(),
		network: fmt.Sprintf("127.%d.%d.", 2+rand.IntN(250), rand.IntN(255)), ctx: ctx, cancel: cancel,
	}
	for at := range machineCount {
		stage.controls = append(stage.controls, net.JoinHostPort(stage.machineIP(at), controlPort))
		stage.frontends = append(stage.frontends, net.JoinHostPort(stage.machineIP(at), frontendPort))
	}
	return stage, nil
}

func (stage *stage) machineIP(at int) string { return stage.network + strconv.Itoa(1+at) }

// listenIP returns where a replica listens behind its proxy: at another address than the
// one that it tells the others.
func (stage *stage) listenIP(at int) string { return stage.network + strconv.Itoa(101+at) }

// startSystem starts the replicas and entries.
func (stage *stage) startSystem() error {
	cell, err := readRole(stage.root, "cell")
	if err != nil {
		return err
	}
	entry, err := readRole(stage.root, "entry")
	if err != nil {
		return err
	}
	for at := range machineCount {
		if err := stage.startMachine(at, cell, entry); err != nil {
			return err
		}
	}
	stage.record.printf("%d replicas and %d entries are started", machineCount, machineCount)
	return nil
}

// startMachine starts a machine's replica and entry.
func (stage *stage) startMachine(at int, cell, entry role) error {
	values, name := stage.settings(at), fmt.Sprintf("cell-%d", at)
	settings := render(cell.template, values)
	if stage.proxied {
		internal := net.JoinHostPort(stage.listenIP(at), firstInternalPort)
		proxy, err := startProxy(stage.ctx, net.JoinHostPort(stage.machineIP(at), firstInternalPort), internal)
		if err != nil {
			return err
		}
		stage.proxies = append(stage.proxies, proxy)
		settings = strings.Replace(settings, "[Cell]\n", "[Cell]\nListenAddress = "+internal+"\n", 1)
	}
	process, err := startProcess(stage.root, filepath.Join(stage.folder, name), name, cell, settings)
	if err != nil {
		return err
	}
	stage.cells = append(stage.cells, process)
	name = fmt.Sprintf("entry-%d", at)
	process, err = startProcess(stage.root, filepath.Join(stage.folder, name), name, entry, render(entry.template, values))
	if err != nil {
		return err
	}
	stage.entries = append(stage.entries, process)
	return nil
}

// settings returns the settings of a machine, as the platform has them.
func (stage *stage) settings(at int) map[string]string {
	ip, seeds := stage.machineIP(at), ""
	for each, control := range stage.controls {
		if each > 0 {
			seeds += ","
		}
		seeds += control
	}
	return map[string]string{
		"nodeName": fmt.Sprintf("frontend-%d", at), "ip": ip, "seeds": seeds, "bootstrap": "true",
		"internalPorts.0": firstInternalPort, "internalPorts.1": lastInternalPort,
		"dataDir":           filepath.Join(stage.folder, fmt.Sprintf("cell-%d", at), "data"),
		"bounds.holdMaxMs":  strconv.FormatInt(holdMax.Milliseconds(), 10),
		"bounds.gangWaitMs": strconv.FormatInt(gangWait.Milliseconds(), 10),
		"limits.maxFds":     "4100", "limits.memoryMb": "284",
		"bindAddrs.controlPlane": net.JoinHostPort(ip, controlPort),
		"bindAddrs.frontend":     net.JoinHostPort(ip, frontendPort),
		"bindAddrs.readiness":    net.JoinHostPort(ip, readinessPort),
	}
}

// addWorker starts a worker with 16 cores and 32 GiB.
func (stage *stage) addWorker(label string, behave func(task string, attempt int) behaviour) error {
	at := len(stage.workers)
	added := &worker{
		stage: stage, id: fmt.Sprintf("i-%08x", 0x7f3a0000+at), address: net.JoinHostPort(stage.network+strconv.Itoa(150+at), workerPort),
		label: label, rack: fmt.Sprintf("r1-%d", at/4), behave: behave, capacity: resources{CPU: 16000, MemMb: 32768},
	}
	stage.workers = append(stage.workers, added)
	return added.start(stage.ctx)
}

// tenant is a tenant of the desired state.
type tenant struct {
	Name       string    `json:"name"`
	APIKeys    []string  `json:"apiKeys"`
	Priority   int       `json:"priority"`
	Weight     int       `json:"weight"`
	UpperBound resources `json:"upperBound"`
}

// putConfig puts a desired state with one queue and the tenants in force, and returns when
// it is acknowledged.
func (stage *stage) putConfig(ctx context.Context, tenants ...tenant) error {
	stage.version++
	content := body{
		"version": stage.version,
		"routes": []body{{
			"name": "r-swap", "host": queueHost, "pathPrefix": queuePrefix, "kind": "unsafe", "timeoutMs": 3000, "completionTargetMs": 1000,
			"priority": 1, "service": serviceName, "maxAttempts": 4, "slackFactor": 2.2, "public": false,
		}},
		"services": []body{{"name": serviceName, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "admissionCheck": false, "standby": false}},
		"limits":   body{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  tenants,
	}
	for ctx.Err() == nil {
		for _, control := range stage.controls {
			request, err := newRequest(ctx, http.MethodPut, "http://"+control+"/config", content)
			if err != nil {
				return err
			}
			status, _, err := call(ctx, stage.client, time.Second, request)
			if err == nil && status == http.StatusOK {
				stage.record.printf("operator: desired state %d is acknowledged", stage.version)
				return nil
			}
		}
		sleep(ctx, 200*time.Millisecond)
	}
	return ctx.Err()
}

// close ends all processes and stand-ins.
func (stage *stage) close() {
	stage.cancel()
	for _, worker := range stage.workers {
		worker.close()
	}
	killAll(append(stage.entries, stage.cells...))
	for _, proxy := range stage.proxies {
		proxy.close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(stage.folder)
	}
}

// checkAlive returns an error if a program has ended by itself.
func (stage *stage) checkAlive() error {
	for _, process := range append(append([]*process(nil), stage.cells...), stage.entries...) {
		if !process.running() {
			return fmt.Errorf("%s has ended", process.name)
		}
	}
	return nil
}
