// Command dotterel-cell runs one replica of a cell. It stores the replicated
// log, and while it leads it makes the placement decisions and sends workers
// their starts and stops.
package main

import (
	"context"
	"os"

	"github.com/go-kit/log"

	"github.com/dotterelrill/dotterelrill/budgeter"
	"github.com/dotterelrill/dotterelrill/internal/cellrunner"
	"github.com/dotterelrill/dotterelrill/internal/programmer"
)

func main() {
	settings := &cellrunner.Settings{}
	daemon := programmer.Daemon{
		Settings: settings.Set(),
		Run: func(ctx context.Context, logger log.Logger) error {
			budgeter.LimitMemory(settings.MemoryMiB)
			return cellrunner.New(settings, logger).Run(ctx)
		},
	}
	os.Exit(programmer.Main(daemon, os.Args[1:], os.Stderr))
}
