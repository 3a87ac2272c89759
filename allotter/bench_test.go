package allotter_test

import (
	"fmt"
	"testing"

	"github.com/dotterelrill/dotterelrill/allotter"
	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/stager"
	"github.com/dotterelrill/dotterelrill/waiter"
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

// BenchmarkBusyPass measures a pass after a burst on a full fleet: 60 gangs and 150 batch
// steps wait for room on the workers that were approved for them.
func BenchmarkBusyPass(b *testing.B) {
	for _, workers := range []int{350, 1100, 2700} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) { benchmarkBusyPass(b, workers) })
	}
}

func benchmarkBusyPass(b *testing.B, workers int) {
	const gangs, batches = 60, 150
	fixture := newFixture(&testing.T{}, workers, true)
	fixture.endings = make(map[modeller.WorkerName][]allotter.ExpectedRelease)
	size := modeller.Resources{MilliProcessors: 4000, MemoryMiB: 100}
	for index := range workers {
		id, worker := fmt.Sprint("old", index), modeller.WorkerName(fmt.Sprintf("w%02d", index))
		fixture.submit(id, "swap", step(2, 4, 1000))
		fixture.apply(stager.Command{Place: &stager.Place{Step: stager.StepID{Job: stager.JobID(id)}, Tasks: []stager.TaskPlacement{
			{Index: 0, Attempt: 1, Worker: worker, Life: 1}, {Index: 1, Attempt: 1, Worker: worker, Life: 1},
		}}})
		fixture.endings[worker] = []allotter.ExpectedRelease{{At: 3000, Size: size}, {At: 4000, Size: size}}
	}
	for index := range gangs + batches {
		waiting := step(40, 4, 4000)
		waiting.Gang = index < gangs
		id := fmt.Sprint("waiting", index)
		fixture.submit(id, "draw", waiting)
		approval := fixture.approval(stager.StepID{Job: stager.JobID(id)})
		asked := 30
		if waiting.Gang {
			asked = 240
		}
		for at := range asked {
			name := modeller.WorkerName(fmt.Sprintf("w%02d", (at*7+index)%workers))
			if at%3 == 0 {
				approval.Tickets[name] = allotter.Ticket{Ticket: "t", Life: 1, Until: fixture.now + 1_000_000}
			} else {
				approval.Refused[name] = 1
			}
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		fixture.now += 100
		fixture.run()
	}
}

// BenchmarkNearPass measures one pass over 350 workers in racks of 14, one of them with
// room, while 2,000 steps wait whose data lies in a rack, with and without waits.
func BenchmarkNearPass(b *testing.B) {
	for _, penalty := range []float64{0, 2} {
		b.Run(fmt.Sprint("penalty ", penalty), func(b *testing.B) {
			const workers, rackSize, waiting = 350, 14, 2000
			fixture := newFixture(&testing.T{}, workers, false)
			fixture.endings = make(map[modeller.WorkerName][]allotter.ExpectedRelease)
			for index := range workers {
				name := modeller.WorkerName(fmt.Sprintf("w%02d", index))
				fixture.state.Workers[name].Rack = modeller.RackName(fmt.Sprint("r", index/rackSize))
				if index > 0 {
					fixture.occupy(fmt.Sprint("old", index), name, fixture.now+modeller.Millis(100+index))
				}
			}
			for index := range waiting {
				near := step(3, 3, 2000)
				near.DataRack = modeller.RackName(fmt.Sprint("r", 1+index%(workers/rackSize-1)))
				fixture.submit(fmt.Sprint("near", index), "draw", near)
			}
			full := fixture.state
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				fixture.state = full.Clone()
				if penalty > 0 {
					fixture.waiter = waiter.New(waiter.Config{Penalty: penalty})
				}
				b.StartTimer()
				fixture.run()
			}
		})
	}
}
