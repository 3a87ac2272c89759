package cellrunner

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/replicator"
)

// counters holds the counters of a replica. They count only while it leads.
type counters struct {
	set *metrics.Set
	// heartbeats counts those received, whether answered or refused.
	heartbeats *metrics.Counter
	// placements counts placed tasks, not proposals.
	placements *metrics.Counter
}

func newCounters() *counters {
	set := metrics.NewSet()
	return &counters{
		set:        set,
		heartbeats: set.NewCounter("dotterel_cell_beats_total"),
		placements: set.NewCounter("dotterel_cell_placements_total"),
	}
}

// countProposal counts a proposal by its result code.
func (counters *counters) countProposal(command *applier.Command, code coder.Code) {
	counters.set.GetOrCreateCounter(fmt.Sprintf("dotterel_cell_proposals_total{code=%q}", code)).Inc()
	if command.Place != nil && code == coder.OK {
		counters.placements.Add(len(command.Place.Tasks))
	}
}

// Metrics returns the set of metrics that the replica exposes, for those of other parts of
// its process.
func (runner *Runner) Metrics() *metrics.Set { return runner.counters.set }

func (runner *Runner) writeMetrics(writer io.Writer) {
	if node := runner.node.Load(); node != nil {
		status := node.Status()
		leads := 0
		if status.Role == replicator.Leader {
			leads = 1
		}
		_, _ = fmt.Fprintf(writer, "dotterel_cell_leads %d\ndotterel_cell_term %d\ndotterel_cell_commit_index %d\ndotterel_cell_applied_index %d\n",
			leads, status.Term, status.Commit, node.Applied())
	}
	runner.stateMachine.read(func(state *applier.State) {
		waiting, running := countTasks(state)
		_, _ = fmt.Fprintf(writer, "dotterel_cell_tasks_waiting %d\ndotterel_cell_tasks_running %d\ndotterel_cell_workers %d\n",
			waiting, running, len(state.Workers))
	})
	runner.counters.set.WritePrometheus(writer)
	metrics.WriteProcessMetrics(writer)
}

// countTasks returns the number of waiting tasks and of tasks that occupy a
// worker.
func countTasks(state *applier.State) (int64, int64) {
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
