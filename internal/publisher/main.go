// Command publisher writes the generated reference pages into docs/. Run it from the
// root of the repository.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/dotterelrill/dotterelrill/internal/documenter"
)

func main() {
	for _, page := range documenter.Pages() {
		path := filepath.Join("docs", page.File)
		if err := os.WriteFile(path, []byte(page.Text), 0o600); err != nil {
			fmt.Fprintln(os.Stderr, "cannot write page:", err)
			os.Exit(1)
		}
	}
}
