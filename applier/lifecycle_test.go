package applier_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/applier"
)

func TestLifecyclePageMatchesTheTable(t *testing.T) {
	page, err := os.ReadFile("../docs/LIFECYCLE.md")
	qt.Assert(t, err, qt.IsNil)
	var inPage, inCode []string
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| From |") {
			inPage = append(inPage, strings.TrimSpace(line))
		}
	}
	for _, change := range applier.Lifecycle() {
		from := change.From.String()
		if change.From == 0 {
			from = "-"
		}
		inCode = append(inCode, fmt.Sprintf("| %s | %s | %s |", from, change.To, change.Cause))
	}
	qt.Assert(t, inPage, qt.DeepEquals, inCode)
}
