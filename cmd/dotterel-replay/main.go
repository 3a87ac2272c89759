// Command dotterel-replay verifies the invariants over a replica's history,
// reports on the history, and measures the placement policy over traces.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/dotterelrill/dotterelrill/internal/reviewer"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	status := reviewer.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}
