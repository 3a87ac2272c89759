package reviewer

import (
	"context"
	"io"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/dotterelrill/dotterelrill/measurer"
	"github.com/dotterelrill/dotterelrill/tracer"
)

func measureCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlags("dotterel-replay measure", stderr)
	seed := flags.Uint64("seed", tracer.Seed, "seed of the trace generators and the policies")
	traces := flags.String("traces", "HuonSaturday,WissensstubeNight,PlanPeak,PlanPart50", "names of the traces to replay")
	faults := flags.Bool("faults", false, "measure input faults instead, each with its mechanism enabled and disabled")
	policies := flags.String("policies", "first-fit,previous,present", "names of the policies to measure")
	return &ffcli.Command{
		Name:       "measure",
		ShortUsage: "dotterel-replay measure [flags]",
		ShortHelp:  "Replay traces under each policy and print the measures as a table.",
		LongHelp:   "Example:\n  dotterel-replay measure -traces HuonSaturday",
		FlagSet:    flags,
		Exec: func(context.Context, []string) error {
			if *faults {
				return measurer.WriteFaults(stdout, measurer.Faults(*seed), *seed)
			}
			return measureTraces(stdout, *seed, strings.Split(*traces, ","), strings.Split(*policies, ","))
		},
	}
}

func measureTraces(stdout io.Writer, seed uint64, names, policies []string) error {
	var all []*measurer.Measures
	for _, name := range names {
		trace, err := tracer.Generate(name, seed)
		if err != nil {
			return err
		}
		for _, policy := range measurer.All() {
			if !slices.Contains(policies, policy.Name) {
				continue
			}
			measures, err := measurer.Measure(trace, policy, seed)
			if err != nil {
				return err
			}
			all = append(all, measures)
		}
	}
	return measurer.Write(stdout, all)
}
