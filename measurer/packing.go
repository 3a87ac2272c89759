package measurer

import (
	"github.com/dotterelrill/dotterelrill/applier"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// Packing describes how full the fleet was while it was fragmented: while a task
// was left waiting that would have fitted into the free resources of all workers
// together. All shares are fractions between 0 and 1.
type Packing struct {
	// Samples counts the samples, one a second, that found the fleet fragmented.
	Samples int
	// FirstProcessors and FirstMemory are the committed shares of processors and
	// memory in the first of these samples.
	FirstProcessors, FirstMemory float64
	// Least and Mean are the minimum and mean committed share of the bottleneck:
	// processors, memory or slots, whichever is fullest.
	Least, Mean float64
	// Fragments is the mean share of the processors that stayed free.
	Fragments float64
}

func (measurer *measurer) samplePacking(state *applier.State) {
	if !measurer.fittingTaskWaits(state) {
		return
	}
	packing := &measurer.measures.Packing
	processors := fraction(measurer.used.MilliProcessors, measurer.capacity.MilliProcessors)
	memory := fraction(measurer.used.MemoryMiB, measurer.capacity.MemoryMiB)
	bottleneck := max(processors, memory, fraction(measurer.live, measurer.slots))
	if packing.Samples == 0 {
		packing.FirstProcessors, packing.FirstMemory, packing.Least = processors, memory, bottleneck
	}
	packing.Samples++
	packing.Least = min(packing.Least, bottleneck)
	packing.Mean += (bottleneck - packing.Mean) / float64(packing.Samples)
	packing.Fragments += (1 - processors - packing.Fragments) / float64(packing.Samples)
}

func fraction(part, whole int64) float64 {
	return float64(part) / float64(max(whole, 1))
}

// fittingTaskWaits reports whether a task (or a whole gang) is waiting that would
// fit into the free resources of all workers together and that its account's
// upper limit allows.
func (measurer *measurer) fittingTaskWaits(state *applier.State) bool {
	free := measurer.capacity.Sub(measurer.used)
	for _, job := range measurer.waiting {
		needed := int64(1)
		if job.spec.Kind == modeller.Gang {
			needed = int64(job.tasks)
		}
		if measurer.live+needed > measurer.slots || !job.spec.Size.Times(needed).Fits(free) {
			continue
		}
		if allowedTasks(state.Account(job.spec.ClientAccount), job.spec.Size, needed) >= needed {
			return true
		}
	}
	return false
}

// allowedTasks returns how many of the wanted tasks the account's upper limit still
// allows.
func allowedTasks(account *applier.Account, size modeller.Resources, wanted int64) int64 {
	limit := account.Template.Limit
	free := limit.Resources.Sub(account.Used)
	wanted = min(wanted, limit.Tasks-account.Live)
	wanted = min(wanted, free.MilliProcessors/max(size.MilliProcessors, 1))
	return max(min(wanted, free.MemoryMiB/max(size.MemoryMiB, 1)), 0)
}
