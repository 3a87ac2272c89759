package modeller

import "fmt"

// Resources is an amount of the resources that a worker offers or a task needs.
type Resources struct {
	// MilliProcessors is in thousandths of a processor core.
	MilliProcessors int64
	// MemoryMiB is in mebibytes.
	MemoryMiB int64
	// Accelerators is a number of whole devices.
	Accelerators int64
}

// The largest amounts that a single task or worker may declare. They keep sums
// over the largest fleet far below an overflow.
const (
	MaxMilliProcessors = 4_096_000
	MaxMemoryMiB       = 64 * 1024 * 1024
	MaxAccelerators    = 1024
)

// Add returns the sum of two amounts.
func (resources Resources) Add(other Resources) Resources {
	return Resources{
		MilliProcessors: resources.MilliProcessors + other.MilliProcessors,
		MemoryMiB:       resources.MemoryMiB + other.MemoryMiB,
		Accelerators:    resources.Accelerators + other.Accelerators,
	}
}

// Sub returns the difference of two amounts; it may be negative.
func (resources Resources) Sub(other Resources) Resources {
	return resources.Add(other.Times(-1))
}

// Times returns the amount multiplied by n.
func (resources Resources) Times(n int64) Resources {
	return Resources{
		MilliProcessors: resources.MilliProcessors * n,
		MemoryMiB:       resources.MemoryMiB * n,
		Accelerators:    resources.Accelerators * n,
	}
}

// Fits reports whether the amount is at most the other in every dimension.
func (resources Resources) Fits(other Resources) bool {
	return resources.MilliProcessors <= other.MilliProcessors &&
		resources.MemoryMiB <= other.MemoryMiB &&
		resources.Accelerators <= other.Accelerators
}

// IsZero reports whether the amount is zero in every dimension.
func (resources Resources) IsZero() bool {
	return resources == Resources{}
}

// Valid reports whether a task or worker may declare the amount: processors and
// memory are positive, accelerators are not negative, and none exceeds its
// maximum.
func (resources Resources) Valid() bool {
	return resources.MilliProcessors > 0 && resources.MilliProcessors <= MaxMilliProcessors &&
		resources.MemoryMiB > 0 && resources.MemoryMiB <= MaxMemoryMiB &&
		resources.Accelerators >= 0 && resources.Accelerators <= MaxAccelerators
}

// DominantShare returns the largest fraction of the total that the amount takes
// in any dimension. Dimensions in which the total is zero are ignored.
func (resources Resources) DominantShare(total Resources) float64 {
	share := fraction(resources.MilliProcessors, total.MilliProcessors)
	share = max(share, fraction(resources.MemoryMiB, total.MemoryMiB))
	return max(share, fraction(resources.Accelerators, total.Accelerators))
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// String returns the amount in the form 500m/1024MiB/1a: thousandths of a
// processor core, mebibytes of memory and accelerators.
func (resources Resources) String() string {
	return fmt.Sprintf("%dm/%dMiB/%da", resources.MilliProcessors, resources.MemoryMiB, resources.Accelerators)
}
