package forecaster

import (
	"math/bits"

	"github.com/dotterelrill/dotterelrill/modeller"
)

// Place is what decides about the order in which waiting work is served.
type Place struct {
	// Rank is that of the queue, lower first.
	Rank int
	// Need is what the work needs at once.
	Need Processors
	// LatestStart is when it must start to be on time, from the time of observation.
	LatestStart modeller.Millis
}

// class groups waiting work of about the same place.
type class struct {
	rank, needBits, startBits int
	ahead                     Ahead
}

// startUnit is the resolution of latest starts. Beyond it they are grouped by powers of
// two.
const startUnit modeller.Millis = 125

func classOf(place Place) class {
	return class{rank: place.Rank, needBits: bits.Len64(uint64(max(0, place.Need))), startBits: bits.Len64(uint64(max(0, place.LatestStart/startUnit)))}
}

// aheadOf returns the work of a class that is ahead of another one. Within a rank the
// order is by need or by latest start: work counts as ahead only if it is so by both.
// Work of a lower rank that becomes late before the other does goes behind it then, and
// counts as late.
func (class *class) aheadOf(other *class) Ahead {
	switch {
	case class.rank > other.rank, class.rank == other.rank && (class.needBits > other.needBits || class.startBits > other.startBits):
		return Ahead{}
	case class.rank < other.rank && class.startBits <= other.startBits:
		return Ahead{Late: class.ahead.OnTime.Add(class.ahead.Late)}
	}
	return class.ahead
}

// Waiting sums up waiting work by its place. The zero value is empty.
type Waiting struct {
	// classes has an element for each class in use, in no particular order: there are
	// a few dozen.
	classes []class
}

// Add adds waiting work.
func (waiting *Waiting) Add(place Place, ahead Ahead) {
	added := classOf(place)
	added.ahead = ahead
	for index := range waiting.classes {
		if class := &waiting.classes[index]; class.rank == added.rank && class.needBits == added.needBits && class.startBits == added.startBits {
			class.ahead = class.ahead.add(ahead)
			return
		}
	}
	waiting.classes = append(waiting.classes, added)
}

// Before returns the work ahead of a job. A nil receiver is empty.
func (waiting *Waiting) Before(place Place) Ahead {
	var sum Ahead
	if waiting == nil {
		return sum
	}
	asked := classOf(place)
	for index := range waiting.classes {
		sum = sum.add(waiting.classes[index].aheadOf(&asked))
	}
	return sum
}
