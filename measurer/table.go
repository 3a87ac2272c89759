package measurer

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/dotterelrill/dotterelrill/modeller"
)

// Write writes the measures as a table with one row per trace and policy.
func Write(out io.Writer, all []*Measures) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "Trace\tPolicy\tUrgent p50/p99/max ms\tOrdinary p50/p99 s\tDeferrable p50/p99 s\tUnstarted\tFirst proc/mem\tBottleneck min/mean\tFragments\tShare distance max/mean (windows)\tMissed\tStops (core s)\tDone\tDecision mean/p99\tBytes/start\tMemory KiB")
	for _, measures := range all {
		_, _ = fmt.Fprintln(table, row(measures))
	}
	return table.Flush()
}

func row(measures *Measures) string {
	urgent := measures.Waits[modeller.Urgent]
	packing, cost, distance := &measures.Packing, &measures.Cost, &measures.Distance
	text := fmt.Sprintf("%s\t%s\t%d/%d/%d", measures.Trace, measures.Policy, urgent.ValueAtQuantile(50), urgent.ValueAtQuantile(99), urgent.Max())
	for _, urgency := range []modeller.Urgency{modeller.Ordinary, modeller.Deferrable} {
		wait := measures.Waits[urgency]
		text += fmt.Sprintf("\t%.1f/%.1f", toSeconds(wait.ValueAtQuantile(50)), toSeconds(wait.ValueAtQuantile(99)))
	}
	text += fmt.Sprintf("\t%d", measures.Unstarted[modeller.Urgent]+measures.Unstarted[modeller.Ordinary]+measures.Unstarted[modeller.Deferrable])
	if packing.Samples == 0 {
		text += "\t-\t-\t-"
	} else {
		text += fmt.Sprintf("\t%.1f%%/%.1f%%\t%.1f%%/%.1f%%\t%.1f%%", 100*packing.FirstProcessors, 100*packing.FirstMemory, 100*packing.Least, 100*packing.Mean, 100*packing.Fragments)
	}
	if distance.Windows == 0 {
		text += "\t-"
	} else {
		text += fmt.Sprintf("\t%.1f%%/%.1f%% (%d; %s at %d min)", 100*distance.Largest, 100*distance.Mean, distance.Windows, distance.Account, distance.Window/millisPerMinute)
	}
	text += fmt.Sprintf("\t%d of %d\t%d (%.0f)\t%d", measures.Missed, measures.Deadlines, measures.Stops, measures.Repeated, measures.Done)
	decisionP99 := time.Duration(cost.Each.ValueAtQuantile(99))
	return text + fmt.Sprintf("\t%v/%v\t%d\t%d", cost.PerDecision(), decisionP99, cost.Bytes/max(cost.Starts, 1), cost.Memory/1024)
}

const millisPerMinute = 60_000

func toSeconds(millis int64) float64 {
	return float64(millis) / float64(time.Second/time.Millisecond)
}
