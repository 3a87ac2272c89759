package tracer

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/dotterelrill/dotterelrill/modeller"
)

// Units of time in milliseconds.
const (
	second = modeller.Millis(1000)
	minute = 60 * second
	hour   = 60 * minute
)

const mebibytesPerGibibyte = 1024

func resources(processors, gibibytes float64) modeller.Resources {
	return modeller.Resources{
		MilliProcessors: int64(processors * 1000),
		MemoryMiB:       int64(gibibytes * mebibytesPerGibibyte),
	}
}

// fleet describes a set of identical workers. They are numbered rack by rack, and
// the racks are divided evenly among the data centres.
type fleet struct {
	workers, perRack int
	dataCentres      []modeller.DataCentreName
	capacity         modeller.Resources
	slots            int64
}

func (fleet *fleet) describe() []modeller.WorkerDescription {
	workers := make([]modeller.WorkerDescription, fleet.workers)
	racks := (fleet.workers + fleet.perRack - 1) / fleet.perRack
	for index := range workers {
		rack := index / fleet.perRack
		workers[index] = modeller.WorkerDescription{
			Name:        modeller.WorkerName(fmt.Sprintf("w%04d", index)),
			Incarnation: 1,
			DataCentre:  fleet.dataCentres[rack*len(fleet.dataCentres)/racks],
			Rack:        modeller.RackName(fmt.Sprintf("r%03d", rack)),
			Capacity:    fleet.capacity,
			Slots:       fleet.slots,
		}
	}
	return workers
}

// generator generates the inputs of one trace from a seed.
type generator struct {
	random *rand.Rand
	trace  *Trace
}

func newGenerator(seed uint64, trace *Trace) *generator {
	return &generator{random: rand.New(rand.NewPCG(seed, seed)), trace: trace}
}

func (generator *generator) sortedTrace() *Trace {
	slices.SortStableFunc(generator.trace.Inputs, func(left, right Input) int { return cmp.Compare(left.At, right.At) })
	return generator.trace
}

// between returns a random number, uniformly distributed over the range.
func (generator *generator) between(low, high float64) float64 {
	return low + generator.random.Float64()*(high-low)
}

func (generator *generator) duration(shortest, longest modeller.Millis) modeller.Millis {
	return modeller.Millis(generator.between(float64(shortest), float64(longest)))
}

func (generator *generator) submit(at modeller.Millis, submission Submission) {
	if submission.Declared == 0 {
		submission.Declared = submission.RunTime
	}
	if submission.Used.IsZero() {
		submission.Used = submission.Size
	}
	generator.trace.Inputs = append(generator.trace.Inputs, Input{At: at, Submit: &submission})
}

// arrivals calls submit for each arrival of a Poisson process with the given rate.
func (generator *generator) arrivals(from, until modeller.Millis, perSecond float64, submit func(at modeller.Millis)) {
	at := float64(from)
	for {
		at += generator.random.ExpFloat64() / perSecond * float64(second)
		if modeller.Millis(at) >= until {
			return
		}
		submit(modeller.Millis(at))
	}
}

// template returns the template of an account whose queues are open to all, so
// that submissions need no key.
func template(account string, share int64, limit modeller.Limit, queues ...modeller.Queue) modeller.Template {
	described := modeller.Template{
		Name:          modeller.TemplateName(account),
		ClientAccount: modeller.ClientAccountName(account),
		Share:         share,
		Limit:         limit,
		Queues:        slices.Clone(queues),
	}
	for index := range described.Queues {
		described.Queues[index].OpenToAll = true
		described.Queues[index].MaxWaiting = maxWaitingTasks
		described.Queues[index].MaxRetries = 3
	}
	return described
}

// maxWaitingTasks is a waiting limit that no trace reaches.
const maxWaitingTasks = 1 << 20
