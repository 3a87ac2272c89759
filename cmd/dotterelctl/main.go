// Command dotterelctl is the command-line client of a cell for operators,
// callers and reviewers.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/dotterelrill/dotterelrill/internal/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	status := commander.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}
