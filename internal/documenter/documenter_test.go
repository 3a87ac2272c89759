package documenter_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/configurer"
	"github.com/dotterelrill/dotterelrill/internal/cellrunner"
	"github.com/dotterelrill/dotterelrill/internal/documenter"
	"github.com/dotterelrill/dotterelrill/internal/entryrunner"
	"github.com/dotterelrill/dotterelrill/internal/standinrunner"
	"github.com/dotterelrill/dotterelrill/templater"
)

const docsFolder = "../../docs"

func TestCommittedPagesMatchTheCode(t *testing.T) {
	for _, page := range documenter.Pages() {
		t.Run(page.File, func(t *testing.T) {
			c := quicktest.New(t)
			committed, err := os.ReadFile(filepath.Join(docsFolder, page.File))
			c.Assert(err, quicktest.IsNil)
			c.Assert(string(committed), quicktest.Equals, page.Text, quicktest.Commentf("run make docs"))
		})
	}
}

func TestEveryKeyIsExplained(t *testing.T) {
	keys := templater.Keys()
	for _, set := range []*configurer.Set{new(cellrunner.Settings).Set(), new(entryrunner.Settings).Set(), new(standinrunner.Settings).Set()} {
		keys = append(keys, set.Keys...)
	}
	for _, key := range keys {
		t.Run(key.Section+"."+key.Name, func(t *testing.T) {
			c := quicktest.New(t)
			c.Assert(key.Help, quicktest.Not(quicktest.Equals), "")
			c.Assert(key.Allowed, quicktest.Not(quicktest.Equals), "")
		})
	}
}
