// Package programmer owns what the daemons' mains have in common: the command
// line, the settings file, the log and the signals.
package programmer

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/peterbourgon/ff/v3"

	"github.com/dotterelrill/dotterelrill/configurer"
	"github.com/dotterelrill/dotterelrill/internal/logger"
)

// Exit statuses of the daemons.
const (
	StatusOK       = 0
	StatusFailed   = 1
	StatusSettings = 2
)

// Daemon describes a program that runs until it is told to stop.
type Daemon struct {
	Settings *configurer.Set
	// Run works until the context ends.
	Run func(ctx context.Context, logger log.Logger) error
	// Reload takes up a settings file that has changed, as far as a running
	// program can. It is nil if the program reads its settings once.
	Reload func(path string) error
}

// Main runs a daemon and returns its exit status.
func Main(daemon Daemon, arguments []string, stderr io.Writer) int {
	program := daemon.Settings.Program
	flags := flag.NewFlagSet(program, flag.ContinueOnError)
	flags.SetOutput(stderr)
	path := flags.String("config", "", "path of the settings file (INI)")
	check := flags.Bool("check", false, "check the settings and exit")
	if err := ff.Parse(flags, arguments, ff.WithEnvVarPrefix("DOTTEREL")); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return StatusOK
		}
		_, _ = fmt.Fprintln(stderr, err)
		return StatusSettings
	}
	if faults := daemon.Settings.Load(*path); len(faults) > 0 {
		for _, fault := range faults {
			_, _ = fmt.Fprintln(stderr, fault.Error())
		}
		return StatusSettings
	}
	if *check {
		return StatusOK
	}
	ring := logger.NewRing(stderr)
	defer ring.Close()
	return serve(daemon, *path, logger.New(ring, program))
}

// reloadOnHangup takes up the settings with each SIGHUP, which does not end the
// program.
func reloadOnHangup(ctx context.Context, daemon Daemon, path string, lines log.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		if daemon.Reload == nil {
			logger.Info(lines, "settings not reloaded: the program reads them only at start")
			continue
		}
		if err := daemon.Reload(path); err != nil {
			logger.Warn(lines, "settings not reloaded", "Error", err.Error())
			continue
		}
		logger.Info(lines, "settings reloaded")
	}
}

func serve(daemon Daemon, path string, lines log.Logger) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// A second signal ends the program at once, as signals do by default.
	context.AfterFunc(ctx, stop)
	go reloadOnHangup(ctx, daemon, path, lines)
	logger.Info(lines, "started")
	if err := daemon.Run(ctx, lines); err != nil {
		logger.Error(lines, "daemon failed", "Error", err.Error())
		return StatusFailed
	}
	logger.Info(lines, "stopped")
	return StatusOK
}
