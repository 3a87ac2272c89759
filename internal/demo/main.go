// Command demo runs the system end to end as separate processes on loopback: a
// cell of three replicas, two entries and three stand-in workers serve two
// client accounts while the leader and a worker are killed. It exits with
// status 0 only if every job has an outcome and every replica's history
// satisfies all checked invariants.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/callerserver"
	"github.com/dotterelrill/dotterelrill/internal/commander"
	"github.com/dotterelrill/dotterelrill/internal/launcher"
	"github.com/dotterelrill/dotterelrill/internal/reviewer"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/responder"
)

func main() {
	programs := flag.String("programs", "bin", "folder of the built programs")
	templates := flag.String("templates", "examples", "folder of the templates")
	flag.Parse()
	if err := run(*programs, *templates); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
	fmt.Println("demo: every checked invariant holds")
}

// demoTimeout bounds the duration of the demo, without building the programs.
const demoTimeout = 50 * time.Second

func run(programs, templates string) error {
	folder, err := os.MkdirTemp("", "dotterel-demo-")
	if err != nil {
		return eris.Wrap(err, "create a folder")
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	fleet, err := launcher.Start(launcher.Config{
		Folder: folder, Programs: programs, Cells: 3, Entries: 2,
		Workers: []launcher.Worker{
			{Name: "hobart-1", DataCentre: "dc1", Rack: "r1"},
			{Name: "burnie-1", DataCentre: "dc2", Rack: "r1"},
			{Name: "launceston-1", DataCentre: "dc2", Rack: "r2"},
		},
	})
	if err != nil {
		return err
	}
	defer fleet.Kill()
	running := &demo{ctx: ctx, fleet: fleet, templates: templates}
	if err := running.runScenario(); err != nil {
		return eris.Wrapf(err, "settings, logs and data are in %s", folder)
	}
	if err := running.verifyHistories(); err != nil {
		return eris.Wrapf(err, "settings, logs and data are in %s", folder)
	}
	return os.RemoveAll(folder)
}

type demo struct {
	ctx       context.Context
	fleet     *launcher.Fleet
	templates string
	keys      map[string]string
	jobs      []submittedJob
}

type submittedJob struct {
	id      modeller.JobID
	account string
	queue   string
	tasks   string
}

// runScenario applies the templates, submits jobs before and after it kills the
// leader and a worker, restarts the leader and waits for all outcomes.
func (demo *demo) runScenario() error {
	if err := demo.fleet.AwaitReady(demo.ctx); err != nil {
		return err
	}
	fmt.Println("cell formed; applying templates")
	if err := demo.applyTemplates(); err != nil {
		return err
	}
	if err := demo.submitAll(); err != nil {
		return err
	}
	leader, err := demo.fleet.Leader(demo.ctx)
	if err != nil {
		return err
	}
	fmt.Println("killing the leader", leader.Name, "and worker", demo.fleet.Workers[0].Name)
	leader.Kill()
	demo.fleet.Workers[0].Kill()
	if err := demo.submitAll(); err != nil {
		return err
	}
	if err := leader.Start(); err != nil {
		return err
	}
	return demo.awaitOutcomes()
}

func (demo *demo) applyTemplates() error {
	demo.keys = make(map[string]string)
	for _, arguments := range [][]string{
		{"template", "apply", "-set", "Desk=north", filepath.Join(demo.templates, "desk.ini")},
		{"template", "apply", filepath.Join(demo.templates, "wiki.ini")},
	} {
		if _, err := demo.control(demo.fleet.OperatorKey, arguments...); err != nil {
			return err
		}
	}
	for _, account := range []string{"desk-north", "wiki"} {
		printed, err := demo.control(demo.fleet.OperatorKey, "key", "grant", account)
		if err != nil {
			return err
		}
		_, key, _ := strings.Cut(printed, "Key ")
		demo.keys[account] = strings.TrimSpace(key)
	}
	return nil
}

// control runs one dotterelctl command and returns its standard output.
func (demo *demo) control(key string, arguments ...string) (string, error) {
	var stdout, stderr bytes.Buffer
	all := append([]string{"-entries", strings.Join(demo.fleet.EntryAddress, ","), "-key", key}, arguments...)
	if status := commander.Main(demo.ctx, all, &stdout, &stderr); status != commander.StatusOK {
		return "", eris.Errorf("dotterelctl %s: status %d: %s", strings.Join(arguments, " "), status, stderr.String())
	}
	return stdout.String(), nil
}

func (demo *demo) submitAll() error {
	work := []submittedJob{
		{account: "desk-north", queue: "reshuffle", tasks: "6"},
		{account: "desk-north", queue: "draw", tasks: "4"},
		{account: "wiki", queue: "export", tasks: "5"},
		{account: "desk-north", queue: "swap", tasks: "2"},
		{account: "desk-north", queue: "lookup", tasks: "1"},
		{account: "wiki", queue: "status", tasks: "1"},
	}
	for _, job := range work {
		printed, err := demo.control(demo.keys[job.account], "submit", "-json", "-tasks", job.tasks, job.account, job.queue)
		if err != nil {
			return err
		}
		var answer responder.Answer
		if err := json.Unmarshal([]byte(printed), &answer); err != nil {
			return eris.Wrap(err, "decode a submission's answer")
		}
		job.id = answer.Job
		demo.jobs = append(demo.jobs, job)
	}
	fmt.Println("submitted", len(work), "jobs")
	return nil
}

// awaitOutcomes waits for every job's outcome and prints a table of them.
func (demo *demo) awaitOutcomes() error {
	fmt.Printf("%-5s %-12s %-10s %-6s %-11s %s\n", "JOB", "ACCOUNT", "QUEUE", "TASKS", "OUTCOME", "ANSWERS")
	for _, job := range demo.jobs {
		printed, err := demo.control(demo.keys[job.account], "job", "show", "-json", "-wait", "40s", fmt.Sprint(job.id))
		if err != nil {
			return err
		}
		var answer callerserver.JobAnswer
		if err := json.Unmarshal([]byte(printed), &answer); err != nil {
			return eris.Wrap(err, "decode a job's answer")
		}
		if answer.Outcome == "" {
			return eris.Errorf("job %d has no outcome", job.id)
		}
		answered := 0
		for _, task := range answer.Tasks {
			if len(task.Body) > 0 {
				answered++
			}
		}
		fmt.Printf("%-5d %-12s %-10s %-6s %-11s %d complete\n", job.id, job.account, job.queue, job.tasks, answer.Outcome, answered)
	}
	return nil
}

// verifyHistories explains one job, stops the replicas and verifies the history
// of each.
func (demo *demo) verifyHistories() error {
	printed, err := demo.control(demo.fleet.OperatorKey, "explain", fmt.Sprint(demo.jobs[1].id))
	if err != nil {
		return err
	}
	fmt.Print(printed)
	for _, cell := range demo.fleet.Cells {
		if status, err := cell.Stop(15 * time.Second); err != nil || status != 0 {
			return eris.Errorf("%s stopped with status %d: %v", cell.Name, status, err)
		}
		if status := reviewer.Main(demo.ctx, []string{"verify", cell.Folder}, os.Stdout, os.Stderr); status != reviewer.StatusOK {
			return eris.Errorf("the history of %s violates an invariant", cell.Name)
		}
	}
	return nil
}
