package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
)

// process is one program of the deploy file.
type process struct {
	name    string
	command *exec.Cmd
	exited  chan struct{}
}

// startProcess starts a role's program with the settings, in a folder of its own.
func startProcess(root, folder, name string, role role, settings string) (*process, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	path := filepath.Join(folder, "settings.ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, "log.txt"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	var arguments []string
	for _, argument := range role.command[1:] {
		arguments = append(arguments, strings.ReplaceAll(argument, settingsPath, path))
	}
	program, err := filepath.Abs(filepath.Join(root, role.command[0]))
	if err != nil {
		return nil, err
	}
	// The stage kills the processes itself, and waits for them.
	command := exec.CommandContext(context.Background(), program, arguments...)
	command.Dir, command.Stdout, command.Stderr = root, log, log
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	process := &process{name: name, command: command, exited: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(process.exited)
	}()
	return process, nil
}

func (process *process) pid() int { return process.command.Process.Pid }

func (process *process) running() bool {
	select {
	case <-process.exited:
		return false
	default:
		return true
	}
}

// killAll kills processes and waits until they have ended.
func killAll(processes []*process) {
	var group sync.WaitGroup
	for _, process := range processes {
		group.Go(func() {
			_ = process.command.Process.Kill()
			<-process.exited
		})
	}
	group.Wait()
}
