// Package documenter generates the reference pages in docs/ for result codes and
// settings.
//
// The pages are generated from the same declarations that the programs use. A test
// compares the committed pages with the generated ones, so that documentation and
// behaviour cannot diverge.
package documenter

import (
	"fmt"
	"strings"

	"github.com/dotterelrill/dotterelrill/coder"
	"github.com/dotterelrill/dotterelrill/configurer"
	"github.com/dotterelrill/dotterelrill/internal/cellrunner"
	"github.com/dotterelrill/dotterelrill/internal/entryrunner"
	"github.com/dotterelrill/dotterelrill/internal/standinrunner"
	"github.com/dotterelrill/dotterelrill/templater"
)

// Page is one generated page.
type Page struct {
	// File is the page's file name in docs/.
	File string
	Text string
}

// Pages returns all generated pages.
func Pages() []Page {
	return []Page{{File: "CODES.md", Text: codesPage()}, {File: "CONFIG.md", Text: configPage()}}
}

// generatedNotice tells readers that the page is generated and how to update it.
const generatedNotice = "This page is written by `make docs`; a test compares it with the code.\n"

func codesPage() string {
	var text strings.Builder
	text.WriteString("# Result codes\n\n" + generatedNotice + "\n")
	text.WriteString("Every answer, log line and record carries one of these numbers. A number is never given a second meaning.\n")
	text.WriteString("\"Not run\" says that the code proves that no attempt was started for the request. \"Again\" says that the same request, with the same RequestID, can succeed later.\n\n")
	text.WriteString("| code | name | HTTP | not run | again | meaning |\n|---|---|---|---|---|---|\n")
	for _, row := range coder.Rows() {
		fmt.Fprintf(&text, "| %d | %s | %d | %s | %s | %s |\n", row.Code, row.Name, row.Status, yesIfSet(row.NotRun), yesIfSet(row.Retry), escapeCell(row.Help))
	}
	return text.String()
}

func yesIfSet(set bool) string {
	if set {
		return "yes"
	}
	return ""
}

// escapeCell escapes vertical bars, which would end the cell of a Markdown table.
func escapeCell(text string) string { return strings.ReplaceAll(text, "|", "\\|") }

func configPage() string {
	var text strings.Builder
	text.WriteString("# Settings\n\n" + generatedNotice + "\n")
	text.WriteString("Settings are INI files. A program reads its file at its start, checks it as a whole, and prints every fault at once with file, line and what is allowed; `-check` does only that.\n")
	text.WriteString("Units stand in the names (MiB, Bytes, MilliProcessors, thousandths of a core) or in the value (500ms, 2s, 5m, 1h).\n")
	for _, set := range []*configurer.Set{
		new(cellrunner.Settings).Set(),
		new(entryrunner.Settings).Set(),
		new(standinrunner.Settings).Set(),
	} {
		fmt.Fprintf(&text, "\n## %s\n\n", set.Program)
		writeKeys(&text, set.Keys)
	}
	text.WriteString("\n## Templates\n\n")
	text.WriteString("A section `[Parameters]` may state `Name = default` lines; `${Name}` in any value stands for the parameter, whose value can be given when the template is applied.\n\n")
	writeKeys(&text, templater.Keys())
	return text.String()
}

func writeKeys(text *strings.Builder, keys []configurer.Key) {
	text.WriteString("| section | key | allowed | default | meaning |\n|---|---|---|---|---|\n")
	for index := range keys {
		key := &keys[index]
		defaultText := "`" + key.Default + "`"
		switch {
		case key.Required:
			defaultText = "required"
		case key.Default == "":
			defaultText = "none"
		}
		fmt.Fprintf(text, "| %s | %s | %s | %s | %s |\n", key.Section, key.Name, escapeCell(key.Allowed), defaultText, escapeCell(key.Help))
	}
}
