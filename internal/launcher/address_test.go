package launcher_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/internal/launcher"
)

// Addresses from consecutive calls must differ although no process listens on the
// earlier ones yet. With this many calls a repetition is nearly certain if
// returned addresses are not remembered.
func TestAddressesAreAllocatedOnce(t *testing.T) {
	c := qt.New(t)
	const calls = 2000
	seen := make(map[string]bool)
	for range calls {
		addresses, err := launcher.FreeAddresses(1)
		c.Assert(err, qt.IsNil)
		c.Assert(seen[addresses[0]], qt.IsFalse)
		seen[addresses[0]] = true
	}
}
