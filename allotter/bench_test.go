package allotter_test

import (
	"fmt"
	"testing"

	"github.com/dotterelrill/dotterelrill/allotter"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// BenchmarkPass measures one pass over a nearly full fleet of 350 workers: 300
// jobs are running, 10 gangs wait for room, and 30 steps wait for an adviser.
func BenchmarkPass(b *testing.B) {
	load := newFixture(&testing.T{}, 350, true)
	size := modeller.Resources{MilliProcessors: 3000, MemoryMiB: 100}
	load.endings = make(map[modeller.WorkerName][]allotter.Ending)
	for index := range 300 {
		id := fmt.Sprint("old", index)
		load.submit(id, "swap", step(2, 3, 1000))
		worker := modeller.WorkerName(fmt.Sprintf("w%02d", index))
		load.apply(stager.Command{Place: &stager.Place{Step: stager.StepID{Job: stager.JobID(id)}, Tasks: []stager.Placed{
			{Index: 0, Attempt: 1, Worker: worker, Life: 1}, {Index: 1, Attempt: 1, Worker: worker, Life: 1},
		}}})
		load.endings[worker] = []allotter.Ending{{At: 3000, Size: size}, {At: 4000, Size: size}}
	}
	for index := range 10 {
		gang := step(60, 8, 5000)
		gang.Gang = true
		load.submit(fmt.Sprint("gang", index), "draw", gang)
	}
	for index := range 30 {
		load.submit(fmt.Sprint("new", index), "swap", step(3, 2, 500))
	}
	load.run()
	for _, question := range load.asked {
		if question.Step.Job[0] == 'g' {
			load.answer(question, func(name modeller.WorkerName) bool { return name[len(name)-1]%3 == 0 })
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		load.run()
	}
}
