package documenter_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/configurer"
	"github.com/dotterelrill/dotterelrill/internal/cellrunner"
	"github.com/dotterelrill/dotterelrill/internal/entryrunner"
	"github.com/dotterelrill/dotterelrill/internal/standinrunner"
	"github.com/dotterelrill/dotterelrill/keyer"
	"github.com/dotterelrill/dotterelrill/templater"
)

const examplesFolder = "../../examples"

// TestExampleSettingsHaveNoFaults checks the settings files that OPERATIONS.md starts
// from, with the placeholder for the operator's key hash replaced.
func TestExampleSettingsHaveNoFaults(t *testing.T) {
	for kind, set := range map[string]func() *configurer.Set{
		"cell":   func() *configurer.Set { return new(cellrunner.Settings).Set() },
		"entry":  func() *configurer.Set { return new(entryrunner.Settings).Set() },
		"worker": func() *configurer.Set { return new(standinrunner.Settings).Set() },
	} {
		paths, err := filepath.Glob(filepath.Join(examplesFolder, "settings", kind+"-*.ini"))
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, len(paths) > 0, quicktest.IsTrue)
		for _, path := range paths {
			t.Run(filepath.Base(path), func(t *testing.T) {
				c := quicktest.New(t)
				data, err := os.ReadFile(path)
				c.Assert(err, quicktest.IsNil)
				text := strings.ReplaceAll(string(data), "OPERATOR-HASH", string(keyer.Hash("key")))
				text = strings.ReplaceAll(text, "data/", t.TempDir()+"/")
				c.Assert(set().Parse(path, []byte(text)), quicktest.HasLen, 0)
			})
		}
	}
}

func TestExampleTemplatesHaveNoFaults(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join(examplesFolder, "*.ini"))
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, len(paths) > 0, quicktest.IsTrue)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			c := quicktest.New(t)
			data, err := os.ReadFile(path)
			c.Assert(err, quicktest.IsNil)
			_, faults := templater.Parse(path, string(data), nil)
			c.Assert(faults, quicktest.HasLen, 0)
		})
	}
}
