// Command rigger runs one case of an independent review: it starts the programs of the
// deploy file on loopback addresses, plays the platform around them (workers, clients and
// the operator) and checks one rule by what these have seen.
//
// It ends with status 1 if the rule was broken, 0 if it held, and 2 if the case could not
// run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"
)

// The exit statuses of a case.
const (
	statusHeld      = 0
	statusBroken    = 1
	statusCannotRun = 2
)

// maxCaseTime bounds a case, with a margin for the end of all processes.
const maxCaseTime = 110 * time.Second

// scenarios are the cases by name. Each returns the breaks of its rule.
var scenarios = map[string]func(context.Context, *rig, bool) ([]string, error){
	"restarting-workers":    runRestartingWorkers,
	"lasting-failures":      runLastingFailures,
	"scheduled-backlog":     runScheduledBacklog,
	"deadly-task":           runDeadlyTask,
	"filler-beside-serving": runFillerBesideServing,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	recordPath := flag.String("record", "record.txt", "file that the record is written to")
	programs := flag.String("programs", "target", "folder of the built programs")
	flag.Parse()
	scenario := scenarios[*name]
	if scenario == nil {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return statusCannotRun
	}
	record, err := newRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusCannotRun
	}
	defer record.close()
	ctx, cancel := context.WithTimeout(context.Background(), maxCaseTime)
	defer cancel()
	rig, err := startRig(ctx, record, *programs)
	if err != nil {
		record.add("cannot run: %v", err)
		return statusCannotRun
	}
	defer rig.end()
	breaks, err := scenario(ctx, rig, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.add("cannot run: %v", err)
		return statusCannotRun
	}
	if len(breaks) == 0 {
		record.add("the rule held")
		return statusHeld
	}
	for _, broken := range breaks {
		record.add("BROKEN: %s", broken)
	}
	return statusBroken
}
