package allotter_test

import (
	"fmt"
	"testing"

	"github.com/dotterelrill/dotterelrill/allotter"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
)

// BenchmarkPass is one pass over a fleet of 350 workers that is nearly full: 300
// jobs run, 10 gangs wait for room, 30 steps for their adviser.
func BenchmarkPass(b *testing.B) {
	load := newLoad(&testing.T{}, 350, true)
	size := modeller.Resources{MilliProcessors: 3000, MemoryMiB: 100}
	load.endings = make(map[modeller.WorkerName][]allotter.Ending)
	for at := range 300 {
		id := fmt.Sprint("old", at)
		load.submit(id, "swap", step(2, 3, 1000))
		worker := modeller.WorkerName(fmt.Sprintf("w%02d", at))
		load.do(stager.Command{Place: &stager.Place{Step: stager.StepID{Job: stager.JobID(id)}, Tasks: []stager.Placed{
			{Index: 0, Attempt: 1, Worker: worker, Life: 1}, {Index: 1, Attempt: 1, Worker: worker, Life: 1},
		}}})
		load.endings[worker] = []allotter.Ending{{At: 3000, Size: size}, {At: 4000, Size: size}}
	}
	for at := range 10 {
		gang := step(60, 8, 5000)
		gang.Gang = true
		load.submit(fmt.Sprint("gang", at), "draw", gang)
	}
	for at := range 30 {
		load.submit(fmt.Sprint("new", at), "swap", step(3, 2, 500))
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
