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
	for _, workers := range []int{48, 350, 1100, 2700} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) { benchmarkPass(b, workers) })
	}
}

func benchmarkPass(b *testing.B, workers int) {
	fixture := newFixture(&testing.T{}, workers, true)
	size := modeller.Resources{MilliProcessors: 3000, MemoryMiB: 100}
	fixture.endings = make(map[modeller.WorkerName][]allotter.ExpectedRelease)
	for index := range workers * 6 / 7 {
		id := fmt.Sprint("old", index)
		fixture.submit(id, "swap", step(2, 3, 1000))
		worker := modeller.WorkerName(fmt.Sprintf("w%02d", index))
		fixture.apply(stager.Command{Place: &stager.Place{Step: stager.StepID{Job: stager.JobID(id)}, Tasks: []stager.TaskPlacement{
			{Index: 0, Attempt: 1, Worker: worker, Life: 1}, {Index: 1, Attempt: 1, Worker: worker, Life: 1},
		}}})
		fixture.endings[worker] = []allotter.ExpectedRelease{{At: 3000, Size: size}, {At: 4000, Size: size}}
	}
	for index := range 10 {
		gang := step(60, 8, 5000)
		gang.Gang = true
		fixture.submit(fmt.Sprint("gang", index), "draw", gang)
	}
	for index := range 30 {
		fixture.submit(fmt.Sprint("new", index), "swap", step(3, 2, 500))
	}
	fixture.run()
	for _, question := range fixture.questions {
		if question.Step.Job[0] == 'g' {
			fixture.answer(question, func(name modeller.WorkerName) bool { return name[len(name)-1]%3 == 0 })
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		fixture.run()
	}
}
