// Command sloper measures the marginal cost of a worker, a running task, a start
// and a configuration change for each role of the system, for docs/CAPACITY.md.
//
// It starts the real programs on loopback with stand-in workers, increases one
// quantity stepwise, reads the resource usage of each process from the kernel's
// accounting, and fits straight lines, whose slopes are the marginal costs. A
// second part builds replica states of increasing size in this process and measures
// their memory and snapshots. The command prints every point, each line with its
// largest residual, and the usage that the lines predict at the design size.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

// measurementTimeout bounds the whole measurement.
const measurementTimeout = 15 * time.Minute

type options struct {
	programs string
	// window is the duration of the measurement at each size, which begins after
	// settle has passed.
	window time.Duration
	settle time.Duration
	// only names the one experiment to run; empty runs all.
	only string
}

func main() {
	var options options
	flag.StringVar(&options.programs, "programs", "bin", "folder of the built programs")
	flag.DurationVar(&options.window, "window", 8*time.Second, "duration of the measurement at each size")
	flag.DurationVar(&options.settle, "settle", 3*time.Second, "delay between reaching a size and its measurement")
	flag.StringVar(&options.only, "only", "", "run one experiment: State, Workers, Interval, Running, Starts, Changes or Templates")
	flag.Parse()
	if err := run(&options); err != nil {
		fmt.Fprintln(os.Stderr, "measurement failed:", err)
		os.Exit(1)
	}
}

func run(options *options) error {
	ctx, cancel := context.WithTimeout(context.Background(), measurementTimeout)
	defer cancel()
	if options.only == "" || options.only == "State" {
		if err := measureStates(); err != nil {
			return err
		}
	}
	measured := make(slopes)
	for _, experiment := range experiments() {
		if options.only != "" && options.only != experiment.name {
			continue
		}
		lines, err := experiment.run(ctx, options)
		if err != nil {
			return eris.Wrapf(err, "experiment %s", experiment.name)
		}
		measured[experiment.name] = lines
	}
	if options.only == "" {
		printDesignSize(measured)
	}
	return nil
}
