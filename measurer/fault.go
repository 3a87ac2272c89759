package measurer

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/planner"
	"github.com/dotterelrill/dotterelrill/tracer"
)

// Fault is a trace with faulty or extreme input, together with the policy that
// has the mechanism for handling it (On) and one that lacks it (Off).
type Fault struct {
	Name    string
	Trace   *tracer.Trace
	On, Off NamedPolicy
	// Figure names the metric by which On and Off are compared, and Read formats
	// its value.
	Figure string
	Read   func(measures *Measures) string
}

// Times and factors of the faults that are injected into the large traces.
const (
	faultAt                = modeller.Millis(20 * 60 * 1000)
	cancelAt               = modeller.Millis(25 * 60 * 1000)
	declarationErrorFactor = 10
	floodFactor            = 10
)

// Faults returns the input faults that the present policy has mechanisms for,
// from traces generated with the seed.
func Faults(seed uint64) []Fault {
	huon := tracer.HuonSaturday(seed)
	night := tracer.WissensstubeNight(seed)
	overtaken := tracer.Overtaken(seed)
	cancelled, _ := night.Cancelled("reindex", cancelAt)
	lowered := modeller.Limit{Resources: modeller.Resources{MilliProcessors: 200_000, MemoryMiB: 800 * 1024}, Tasks: 50}
	return []Fault{
		{"endless ordinary work", overtaken, Present(), Without("no-rising", planner.Mechanisms{Promotion: true}), "deadlines missed", readMissed},
		{"run times declared too short", overtaken.Shortened(declarationErrorFactor), Present(), Without("no-correction", planner.Mechanisms{Correction: true}), "deadlines missed", readMissed},
		{"run times up to 10x off", huon.Misdeclared(seed, declarationErrorFactor), Present(), Without("no-correction", planner.Mechanisms{Correction: true}), "share distance max/mean", readShare},
		{"jobs that can never run", tracer.Outsized(seed), Present(), Without("no-refusal", planner.Mechanisms{Refusal: true}), "left waiting", readUnstarted},
		{"flood from one account", huon.Flooded("hobart-football", "swap", floodFactor), Present(), Previous(), "others' ordinary p99 ms", readOthers},
		{"no flood", huon, Present(), Previous(), "others' ordinary p99 ms", readOthers},
		{"half the workers lost", huon.Halved(faultAt), Present(), Without("no-preemption", planner.Mechanisms{Preemption: true}), "urgent p99/max ms", readUrgent},
		{"previews over a full night", night, Present(), Without("no-preemption", planner.Mechanisms{Preemption: true}), "urgent p99/max ms", readUrgent},
		{"wave of cancellations", cancelled, Present(), Previous(), "cost of a cancelled task/of a decision", readCancels},
		{"limit lowered", huon.Limited("hobart-football", faultAt, lowered), Present(), Without("no-limit-stops", planner.Mechanisms{LimitStops: true}), "seconds above the limit", readExcess},
	}
}

func readMissed(measures *Measures) string {
	return fmt.Sprintf("%d of %d", measures.Missed, measures.Deadlines)
}

func readShare(measures *Measures) string {
	return fmt.Sprintf("%.1f%%/%.1f%%", 100*measures.Distance.Largest, 100*measures.Distance.Mean)
}

func readUnstarted(measures *Measures) string {
	return fmt.Sprint(measures.Unstarted[modeller.Ordinary])
}

func readOthers(measures *Measures) string {
	return fmt.Sprint(measures.OthersOrdinary("hobart-football"))
}

func readUrgent(measures *Measures) string {
	urgent := measures.Waits[modeller.Urgent]
	return fmt.Sprintf("%d/%d", urgent.ValueAtQuantile(99), urgent.Max())
}

func readCancels(measures *Measures) string {
	cost := &measures.Cost
	return fmt.Sprintf("%v/%v (%d)", cost.CancelTotal/time.Duration(max(cost.Cancels, 1)), cost.PerDecision(), cost.Cancels)
}

func readExcess(measures *Measures) string {
	return fmt.Sprint(measures.Excess)
}

// WriteFaults measures each fault with its mechanism enabled and disabled, and
// writes the results as a table with one row per fault.
func WriteFaults(out io.Writer, faults []Fault, seed uint64) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "Fault\tTrace\tFigure\tOn\tOff\tOff policy")
	for index := range faults {
		fault := &faults[index]
		on, err := Measure(fault.Trace, fault.On, seed)
		if err != nil {
			return err
		}
		off, err := Measure(fault.Trace, fault.Off, seed)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", fault.Name, fault.Trace.Name, fault.Figure, fault.Read(on), fault.Read(off), fault.Off.Name)
	}
	return table.Flush()
}
