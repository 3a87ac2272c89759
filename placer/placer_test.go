package placer_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/dotterelrill/dotterelrill/modeller"
	"github.com/dotterelrill/dotterelrill/placer"
)

func resourcesUpTo(limit int64) *rapid.Generator[modeller.Resources] {
	return rapid.Custom(func(t *rapid.T) modeller.Resources {
		return modeller.Resources{
			MilliProcessors: rapid.Int64Range(0, limit).Draw(t, "processors"),
			MemoryMiB:       rapid.Int64Range(0, limit).Draw(t, "memory"),
			Accelerators:    rapid.Int64Range(0, 2).Draw(t, "accelerators"),
		}
	})
}

// TestScanFindsExactlyTheWorkersWithRoom compares the index with a linear search.
func TestScanFindsExactlyTheWorkersWithRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		positions := rapid.IntRange(1, 40).Draw(t, "places")
		index := placer.New(positions)
		free := make(map[int]modeller.Resources)
		for range rapid.IntRange(0, 120).Draw(t, "changes") {
			position := rapid.IntRange(0, positions-1).Draw(t, "place")
			if rapid.Bool().Draw(t, "close") {
				index.Exclude(position)
				delete(free, position)
				continue
			}
			free[position] = resourcesUpTo(8).Draw(t, "free")
			index.SetFree(position, free[position])
		}
		size := resourcesUpTo(8).Draw(t, "size")
		start := rapid.IntRange(0, positions-1).Draw(t, "start")
		var found, want []int
		index.Scan(size, start, func(position int) bool {
			found = append(found, position)
			return true
		})
		for offset := range positions {
			position := (start + offset) % positions
			if room, ok := free[position]; ok && size.Fits(room) {
				want = append(want, position)
			}
		}
		if !slices.Equal(found, want) {
			t.Fatalf("found %v, want %v", found, want)
		}
	})
}
