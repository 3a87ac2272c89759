// Package launcher starts the real programs as processes on loopback, for the
// demo, the measurements and the end-to-end tests. It allocates addresses,
// writes the settings files, and signals and stops the processes that it
// started. It is not part of the product, whose processes start no other
// processes.
package launcher

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/internal/forwarder"
	"github.com/dotterelrill/dotterelrill/keyer"
)

// Config describes a fleet of processes.
type Config struct {
	// Folder holds the settings files, logs and data of all processes.
	Folder string
	// Programs is the folder with the built programs.
	Programs string
	Cells    int
	// Absent is the number of further replicas that are listed in the Bootstrap
	// setting but not started.
	Absent  int
	Entries int
	Workers []Worker
	// CellSettings is appended to the settings file of each replica.
	CellSettings string
	// EntrySettings is appended to the settings file of each entry.
	EntrySettings string
	// TLS is the section on certificates, appended to every settings file.
	TLS string
	// Network, if set, carries all connections between the processes, so that
	// tests can interrupt them.
	Network *forwarder.Network
}

// Worker describes a stand-in worker.
type Worker struct {
	Name       string
	DataCentre string
	Rack       string
	// Settings is appended to the section Worker; Faults is the content of the
	// section Faults.
	Settings string
	Faults   string
}

// Fleet is a set of running processes.
type Fleet struct {
	config Config
	// OperatorKey is an operator's key that all entries accept.
	OperatorKey      string
	CellAddress      []string
	EntryAddress     []string
	Cells            []*Process
	Entries          []*Process
	Workers          []*Process
	metricsAddresses map[*Process]string
	forwarders       []*forwarder.Forwarder
	mutex            sync.Mutex
	// processes holds every process, to find the one that opened a connection.
	processes []*Process
}

// Process is one running program.
type Process struct {
	Name         string
	Folder       string
	programPath  string
	settingsPath string
	pid          atomic.Int64
	command      *exec.Cmd
	done         chan struct{}
	waitError    error
}

// New returns a fleet without processes.
func New(config Config) *Fleet {
	return &Fleet{config: config, OperatorKey: keyer.Generate(), metricsAddresses: make(map[*Process]string)}
}

// Start writes the settings files and starts all processes. If one cannot be
// started, it kills the others and returns the error.
func Start(config Config) (*Fleet, error) {
	fleet := New(config)
	var err error
	if fleet.CellAddress, err = FreeAddresses(config.Cells + config.Absent); err != nil {
		return nil, err
	}
	if fleet.EntryAddress, err = FreeAddresses(config.Entries); err != nil {
		return nil, err
	}
	for index := range config.Cells {
		process, err := fleet.startCell(index)
		if err != nil {
			fleet.Kill()
			return nil, err
		}
		fleet.Cells = append(fleet.Cells, process)
	}
	for index := range config.Entries {
		process, err := fleet.startEntry(index)
		if err != nil {
			fleet.Kill()
			return nil, err
		}
		fleet.Entries = append(fleet.Entries, process)
	}
	for _, worker := range config.Workers {
		if _, err := fleet.StartWorker(worker); err != nil {
			fleet.Kill()
			return nil, err
		}
	}
	return fleet, nil
}

func (fleet *Fleet) startCell(index int) (*Process, error) {
	name := fmt.Sprintf("cell%d", index+1)
	return fleet.StartCell(name, fleet.CellAddress[index])
}

// StartCell starts a replica that others reach at address, with a data folder of
// the given name. The caller may add the process to Cells.
func (fleet *Fleet) StartCell(name, address string) (*Process, error) {
	addresses, err := FreeAddresses(1)
	if err != nil {
		return nil, err
	}
	listen, err := fleet.ListenAddress(name, address)
	if err != nil {
		return nil, err
	}
	folder := filepath.Join(fleet.config.Folder, name)
	text := fmt.Sprintf("[Cell]\nName = demo\nAddress = %s\nListenAddress = %s\nBootstrap = %s\nDataFolder = %s\nMetricsAddress = %s\n%s",
		address, listen, strings.Join(fleet.CellAddress, ", "), folder, addresses[0], fleet.config.CellSettings)
	process, err := fleet.StartProgram("dotterel-cell", name, text)
	if err == nil {
		process.Folder = folder
		fleet.metricsAddresses[process] = addresses[0]
	}
	return process, err
}

func (fleet *Fleet) startEntry(index int) (*Process, error) {
	addresses, err := FreeAddresses(1)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("entry%d", index+1)
	listen, err := fleet.ListenAddress(name, fleet.EntryAddress[index])
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf("[Cell]\nName = demo\nAddresses = %s\n[Entry]\nName = %s\nDataCentre = dc%d\nAddress = %s\nMetricsAddress = %s\nOperatorKeys = demo:%s\n%s",
		strings.Join(fleet.CellAddress, ", "), name, index+1, listen, addresses[0], keyer.Hash(fleet.OperatorKey), fleet.config.EntrySettings)
	process, err := fleet.StartProgram("dotterel-entry", name, text)
	if err == nil {
		fleet.metricsAddresses[process] = addresses[0]
	}
	return process, err
}

// StartWorker starts a stand-in worker and adds it to Workers.
func (fleet *Fleet) StartWorker(worker Worker) (*Process, error) {
	addresses, err := FreeAddresses(1)
	if err != nil {
		return nil, err
	}
	listen, err := fleet.ListenAddress(worker.Name, addresses[0])
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf("[Worker]\nName = %s\nDataCentre = %s\nRack = %s\nAddress = %s\nListenAddress = %s\nEntries = %s\nRecordFile = %s\n%s\n",
		worker.Name, worker.DataCentre, worker.Rack, addresses[0], listen, strings.Join(fleet.EntryAddress, ", "),
		fleet.RecordFile(worker.Name), worker.Settings)
	if worker.Faults != "" {
		text += "[Faults]\n" + worker.Faults
	}
	process, err := fleet.StartProgram("dotterel-standin", worker.Name, text)
	if err == nil {
		fleet.Workers = append(fleet.Workers, process)
	}
	return process, err
}

// RecordFile returns the path of the file in which a stand-in records the
// attempts that it ran.
func (fleet *Fleet) RecordFile(name string) string {
	return filepath.Join(fleet.config.Folder, name+".record")
}

// StartProgram starts a program with the given settings text. The caller may add
// the process to Cells, Entries or Workers.
func (fleet *Fleet) StartProgram(program, name, settings string) (*Process, error) {
	if err := os.MkdirAll(fleet.config.Folder, 0o700); err != nil {
		return nil, eris.Wrap(err, "create the fleet's folder")
	}
	settingsPath := filepath.Join(fleet.config.Folder, name+".ini")
	if err := os.WriteFile(settingsPath, []byte(settings+"\n"+fleet.config.TLS), 0o600); err != nil {
		return nil, eris.Wrap(err, "write settings")
	}
	process := &Process{Name: name, programPath: filepath.Join(fleet.config.Programs, program), settingsPath: settingsPath}
	fleet.mutex.Lock()
	fleet.processes = append(fleet.processes, process)
	fleet.mutex.Unlock()
	return process, process.Start()
}

// Start starts the process, or restarts it after it has ended. Its output is
// appended to its log file.
func (process *Process) Start() error {
	logFile, err := os.OpenFile(process.LogFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "open the log")
	}
	defer func() { _ = logFile.Close() }()
	process.command = exec.CommandContext(context.Background(), process.programPath, "-config", process.settingsPath)
	process.command.Stdout, process.command.Stderr = logFile, logFile
	process.done = make(chan struct{})
	if err := process.command.Start(); err != nil {
		return eris.Wrapf(err, "start %s", process.Name)
	}
	process.pid.Store(int64(process.command.Process.Pid))
	go func(command *exec.Cmd, done chan struct{}) {
		process.waitError = command.Wait()
		close(done)
	}(process.command, process.done)
	return nil
}

// Signal sends the process a signal.
func (process *Process) Signal(signal syscall.Signal) {
	_ = process.command.Process.Signal(signal)
}

// PID returns the ID of the operating system's process.
func (process *Process) PID() int { return process.command.Process.Pid }

// Settings returns the path of the process's settings file.
func (process *Process) Settings() string { return process.settingsPath }

// LogFile returns the path of the process's log file.
func (process *Process) LogFile() string {
	return strings.TrimSuffix(process.settingsPath, ".ini") + ".log"
}

// Kill ends the process with SIGKILL and waits until it has ended.
func (process *Process) Kill() {
	process.Signal(syscall.SIGKILL)
	<-process.done
}

// Stop asks the process to end with SIGTERM and returns its exit status, or -1
// and an error if it has not ended after timeout.
func (process *Process) Stop(timeout time.Duration) (int, error) {
	process.Signal(syscall.SIGTERM)
	return process.Wait(timeout)
}

// Wait waits until the process has ended and returns its exit status, or -1 and
// an error after timeout.
func (process *Process) Wait(most time.Duration) (int, error) {
	select {
	case <-process.done:
	case <-time.After(most):
		if process.Alive() {
			return -1, eris.Errorf("%s did not stop within %s", process.Name, most)
		}
	}
	return process.command.ProcessState.ExitCode(), nil
}

// Alive reports whether the process is still running.
func (process *Process) Alive() bool {
	select {
	case <-process.done:
		return false
	default:
		return true
	}
}

// Kill ends all processes that the fleet started, the last one first, and closes
// the forwarders.
func (fleet *Fleet) Kill() {
	fleet.mutex.Lock()
	processes := slices.Clone(fleet.processes)
	fleet.mutex.Unlock()
	for _, process := range slices.Backward(processes) {
		if process.pid.Load() != 0 {
			process.Kill()
		}
	}
	for _, forwarder := range fleet.forwarders {
		forwarder.Close()
	}
}

// AwaitReady waits until all replicas and entries report that they are ready. It
// fails if one of them ends or the context is done.
func (fleet *Fleet) AwaitReady(ctx context.Context) error {
	for process, address := range fleet.metricsAddresses {
		for !isReady(ctx, address) {
			if err := fleet.checkAlive(); err != nil {
				return err
			}
			select {
			case <-ctx.Done():
				return eris.Wrapf(ctx.Err(), "wait for %s", process.Name)
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

// checkAlive returns an error if a replica or an entry has ended.
func (fleet *Fleet) checkAlive() error {
	for process := range fleet.metricsAddresses {
		if !process.Alive() {
			return eris.Errorf("%s ended: %v", process.Name, process.waitError)
		}
	}
	return nil
}

func isReady(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/ready", http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Leader waits until a replica leads and returns its process.
func (fleet *Fleet) Leader(ctx context.Context) (*Process, error) {
	for {
		for _, process := range fleet.Cells {
			if process.Alive() && isLeader(ctx, fleet.metricsAddresses[process]) {
				return process, nil
			}
		}
		select {
		case <-ctx.Done():
			return nil, errors.Join(eris.New("no replica leads"), ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
}
