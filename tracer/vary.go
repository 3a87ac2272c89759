package tracer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/dotterelrill/dotterelrill/modeller"
)

// clone returns a copy of the trace, with the suffix added to its name, whose list
// of inputs can be changed independently.
func (trace *Trace) clone(suffix string) *Trace {
	copied := *trace
	copied.Name += suffix
	copied.Inputs = slices.Clone(trace.Inputs)
	return &copied
}

func (trace *Trace) sortInputs() {
	slices.SortStableFunc(trace.Inputs, func(left, right Input) int { return cmp.Compare(left.At, right.At) })
}

// Misdeclared returns a copy of the trace in which each queue's declared run times
// are multiplied by a random factor between 1/maxFactor and maxFactor.
func (trace *Trace) Misdeclared(seed uint64, maxFactor float64) *Trace {
	varied := trace.clone("+misdeclared")
	random := rand.New(rand.NewPCG(seed, seed))
	factors := make(map[modeller.QueueName]float64)
	for index := range varied.Inputs {
		if varied.Inputs[index].Submit == nil {
			continue
		}
		submission := *varied.Inputs[index].Submit
		factor, known := factors[submission.Queue]
		if !known {
			factor = math.Pow(maxFactor, 2*random.Float64()-1)
			factors[submission.Queue] = factor
		}
		submission.Declared = max(modeller.Millis(float64(submission.Declared)*factor), 1)
		varied.Inputs[index].Submit = &submission
	}
	return varied
}

// Shortened returns a copy of the trace in which all declared run times are divided
// by the divisor.
func (trace *Trace) Shortened(divisor int) *Trace {
	varied := trace.clone("+shortened")
	for index := range varied.Inputs {
		if varied.Inputs[index].Submit != nil {
			submission := *varied.Inputs[index].Submit
			submission.Declared = max(submission.Declared/modeller.Millis(divisor), 1)
			varied.Inputs[index].Submit = &submission
		}
	}
	return varied
}

// Flooded returns a copy of the trace in which each submission to one queue of one
// account is repeated, factor times in total.
func (trace *Trace) Flooded(account modeller.ClientAccountName, queue modeller.QueueName, factor int) *Trace {
	varied := trace.clone("+flood")
	varied.Inputs = nil
	for _, input := range trace.Inputs {
		varied.Inputs = append(varied.Inputs, input)
		if input.Submit == nil || input.Submit.ClientAccount != account || input.Submit.Queue != queue {
			continue
		}
		for range factor - 1 {
			varied.Inputs = append(varied.Inputs, input)
		}
	}
	return varied
}

// Halved returns a copy of the trace in which every second worker is lost at the
// given time.
func (trace *Trace) Halved(at modeller.Millis) *Trace {
	varied := trace.clone("+halved")
	for index := 0; index < len(trace.Workers); index += 2 {
		varied.Inputs = append(varied.Inputs, Input{At: at, Lose: &trace.Workers[index].Name})
	}
	varied.sortInputs()
	return varied
}

// Cancelled returns a copy of the trace in which all jobs submitted to the queue, of
// any account, before the given time are cancelled at that time, and their number.
func (trace *Trace) Cancelled(queue modeller.QueueName, at modeller.Millis) (varied *Trace, count int) {
	varied = trace.clone("+cancelled")
	submission := 0
	for _, input := range trace.Inputs {
		if input.Submit == nil {
			continue
		}
		if input.Submit.Queue == queue && input.At < at {
			varied.Inputs = append(varied.Inputs, Input{At: at, Cancel: &Cancellation{Submission: submission}})
			count++
		}
		submission++
	}
	varied.sortInputs()
	return varied, count
}

// Limited returns a copy of the trace in which the upper limit of one account changes
// at the given time.
func (trace *Trace) Limited(account modeller.TemplateName, at modeller.Millis, limit modeller.Limit) *Trace {
	varied := trace.clone("+limited")
	varied.Inputs = append(varied.Inputs, Input{At: at, Template: &account, Limit: limit})
	varied.sortInputs()
	return varied
}
