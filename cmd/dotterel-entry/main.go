// Command dotterel-entry serves callers, operators and workers on an entry VM
// and passes their requests on to the cell. It is stateless: no data in it has
// to survive a restart.
package main

import (
	"context"
	"os"

	"github.com/go-kit/log"

	"github.com/dotterelrill/dotterelrill/budgeter"
	"github.com/dotterelrill/dotterelrill/internal/entryrunner"
	"github.com/dotterelrill/dotterelrill/internal/programmer"
)

func main() {
	settings := &entryrunner.Settings{}
	daemon := programmer.Daemon{
		Settings: settings.Set(),
		Run: func(ctx context.Context, logger log.Logger) error {
			budgeter.LimitMemory(settings.MemoryMiB)
			return entryrunner.New(settings, logger).Run(ctx)
		},
	}
	os.Exit(programmer.Main(daemon, os.Args[1:], os.Stderr))
}
