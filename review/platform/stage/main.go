// Command stage plays one case of a review: it starts the programs of the deploy file
// as separate processes on loopback addresses, with stand-ins for clients, workers and
// the operator around them, and judges what these see.
//
// It exits with 1 if the case's rule was broken, with 0 if it held, and with 2 if the
// case could not run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusFailed = 2
)

// maxDuration bounds a case.
const maxDuration = 110 * time.Second

// errBroken is returned by a case whose rule was broken.
var errBroken = errors.New("the rule was broken")

// caseFunc plays a case on a deployment that serves.
type caseFunc func(ctx context.Context, stage *stage) error

var cases = map[string]caseFunc{
	"refused-but-run":    playRefusedButRun,
	"late-delete":        playLateDelete,
	"filled-up":          playFilledUp,
	"crash-loop":         playCrashLoop,
	"deadly-task":        playDeadlyTask,
	"start-after-drain":  playStartAfterDrain,
	"pending-undercount": playPendingUndercount,
}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *root, *recordPath))
}

func run(name, root, recordPath string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return statusFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	defer cancel()
	record, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	defer record.close()
	stage, err := newStage(root, record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.printf("the case could not run: %v", err)
		return statusFailed
	}
	defer stage.close()
	err = play(ctx, stage)
	switch {
	case errors.Is(err, errBroken):
		record.printf("%v", err)
		return statusBroken
	case err != nil:
		record.printf("the case could not run: %v", err)
		return statusFailed
	}
	record.printf("the rule held")
	return statusHeld
}
