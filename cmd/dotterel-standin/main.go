// Command dotterel-standin runs stand-in workers for tests and the demo.
package main

import (
	"context"
	"os"

	"github.com/go-kit/log"

	"github.com/dotterelrill/dotterelrill/internal/programmer"
	"github.com/dotterelrill/dotterelrill/internal/standinrunner"
)

func main() {
	settings := &standinrunner.Settings{}
	daemon := programmer.Daemon{
		Settings: settings.Set(),
		Run: func(ctx context.Context, logger log.Logger) error {
			runner, err := standinrunner.New(settings, logger)
			if err != nil {
				return err
			}
			return runner.Run(ctx)
		},
	}
	os.Exit(programmer.Main(daemon, os.Args[1:], os.Stderr))
}
