// Package weigher helps fuzz tests to check that a decoder allocates no more than a
// stated multiple of its input. It is not part of the product.
package weigher

import (
	"runtime"
	"strings"
	"testing"
)

const (
	// factor is how many times the size of its input a decoder may allocate in total. A
	// body of the callers' limit, 262,144 bytes, then takes at most 16 MiB, a quarter of
	// the 64 MiB that package platform/hostile gives a process.
	factor = 64
	// fixed is what a decoder may allocate for any input, such as a request's context, a
	// buffer and the decoder's knowledge of a type.
	fixed = 64 << 10
)

// Check fails the test if run, which decodes the input, allocates more than it may. It
// runs it a second time before that, since other goroutines allocate too.
func Check(t *testing.T, input []byte, run func()) {
	t.Helper()
	most := uint64(fixed + factor*len(input))
	allocated := allocatedBy(run)
	if allocated > most {
		allocated = min(allocated, allocatedBy(run))
	}
	if allocated > most {
		t.Errorf("%d bytes of input allocate %d bytes, more than %d", len(input), allocated, most)
	}
}

func allocatedBy(run func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	run()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// repetitions makes a seed so large that what its elements take up exceeds fixed.
const repetitions = 4000

// Seeds returns an example and inputs of many small elements, in each of the objects that
// begin with one of the prefixes and hold a list, such as `{"steps":[`.
func Seeds(example string, prefixes ...string) []string {
	seeds := []string{example, "", "null", strings.Repeat("[", repetitions), strings.Repeat(`{"a":`, repetitions), "{" + strings.Repeat(`"a":0,`, repetitions) + `"a":0}`}
	for _, prefix := range prefixes {
		for _, element := range []string{"{}", "null", `""`, "0", "[]"} {
			seeds = append(seeds, prefix+strings.Repeat(element+",", repetitions)+element+"]}")
		}
	}
	return seeds
}
