package cellrunner

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/replicator"
)

// measures are what a replica counts. Only a leader counts anything.
type measures struct {
	set *metrics.Set
	// beats counts those that came, answered or refused.
	beats *metrics.Counter
	// placed counts tasks, not proposals.
	placed *metrics.Counter
}

func newMeasures() *measures {
	set := metrics.NewSet()
	return &measures{
		set:    set,
		beats:  set.NewCounter("dotterel_cell_beats_total"),
		placed: set.NewCounter("dotterel_cell_placements_total"),
	}
}

// decided counts a proposal by what was decided about it.
func (measures *measures) decided(command *applier.Command, code coder.Code) {
	measures.set.GetOrCreateCounter(fmt.Sprintf("dotterel_cell_proposals_total{code=%q}", code)).Inc()
	if command.Place != nil && code == coder.OK {
		measures.placed.Add(len(command.Place.Tasks))
	}
}

func (runner *Runner) writeMeasures(writer io.Writer) {
	if node := runner.node.Load(); node != nil {
		status := node.Status()
		leads := 0
		if status.Role == replicator.Leader {
			leads = 1
		}
		_, _ = fmt.Fprintf(writer, "dotterel_cell_leads %d\ndotterel_cell_term %d\ndotterel_cell_commit_index %d\ndotterel_cell_applied_index %d\n",
			leads, status.Term, status.Commit, node.Applied())
	}
	runner.machine.read(func(state *applier.State) {
		waiting, running := tasks(state)
		_, _ = fmt.Fprintf(writer, "dotterel_cell_tasks_waiting %d\ndotterel_cell_tasks_running %d\ndotterel_cell_workers %d\n",
			waiting, running, len(state.Workers))
	})
	runner.measures.set.WritePrometheus(writer)
	metrics.WriteProcessMetrics(writer)
}

// tasks returns how many tasks wait and how many hold a worker.
func tasks(state *applier.State) (int64, int64) {
	var waiting, running int64
	for _, template := range state.Templates {
		account := state.Account(template.ClientAccount)
		running += account.Live
		for _, queued := range account.Waiting {
			waiting += int64(queued)
		}
	}
	return waiting, running
}
