// Package programmer implements what the main functions of the daemons share:
// it parses the command line, loads and checks the settings file, sets up the
// log and handles signals. SIGINT and SIGTERM stop a daemon gracefully, a
// second one ends it immediately, and SIGHUP reloads its settings.
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

// Exit statuses of the daemons. StatusSettings is for faults of the command
// line or the settings file.
const (
	StatusOK       = 0
	StatusFailed   = 1
	StatusSettings = 2
)

// Daemon describes a program that runs until a signal stops it.
type Daemon struct {
	Settings *configurer.Set
	// Run runs the program until the context is done. A non-nil error makes the
	// exit status StatusFailed.
	Run func(ctx context.Context, logger log.Logger) error
	// Reload applies a changed settings file, as far as a running program can.
	// It is nil if the program reads its settings only when it starts.
	Reload func(path string) error
}

// Main runs a daemon with the command line's arguments, without the program's
// name, and returns its exit status. With -check it only checks the settings.
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
	hangups := notifyHangups()
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
	return serve(daemon, *path, hangups, logger.New(ring, program))
}

// notifyHangups returns a channel of SIGHUPs. The signal stays handled until the process
// has exited, since it would end a process that no longer handles it.
func notifyHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// reloadOnHangup reloads the settings on each SIGHUP, until the process exits. A program
// without Reload ignores the signal.
func reloadOnHangup(hangups <-chan os.Signal, daemon Daemon, path string, programLogger log.Logger) {
	for range hangups {
		if daemon.Reload == nil {
			logger.Info(programLogger, "settings are read only at startup")
			continue
		}
		if err := daemon.Reload(path); err != nil {
			logger.Warn(programLogger, "settings not reloaded", "Error", err.Error())
			continue
		}
		logger.Info(programLogger, "settings reloaded")
	}
}

func serve(daemon Daemon, path string, hangups <-chan os.Signal, programLogger log.Logger) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// A second signal ends the program immediately, as signals do by default.
	context.AfterFunc(ctx, stop)
	go reloadOnHangup(hangups, daemon, path, programLogger)
	logger.Info(programLogger, "started")
	if err := daemon.Run(ctx, programLogger); err != nil {
		logger.Error(programLogger, "terminated with an error", "Error", err.Error())
		return StatusFailed
	}
	logger.Info(programLogger, "stopped")
	return StatusOK
}
