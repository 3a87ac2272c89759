package configurer

import (
	"fmt"
	"strings"
)

// LineIndex maps the sections and keys of an INI file to their line numbers,
// which the INI library does not keep, so that faults can name the line.
type LineIndex struct {
	lines      map[sectionKey]int
	duplicates []Fault
}

type sectionKey struct{ section, key string }

// IndexLines indexes the content of an INI file.
func IndexLines(data []byte) LineIndex {
	index := LineIndex{lines: make(map[sectionKey]int)}
	section := ""
	number := 0
	for line := range strings.SplitSeq(string(data), "\n") {
		number++
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") && strings.HasSuffix(line, "]") {
			section = strings.TrimSpace(line[1 : len(line)-1])
			index.record(section, "", number)
			continue
		}
		key, _, found := strings.Cut(line, "=")
		if found && !strings.HasPrefix(line, ";") && !strings.HasPrefix(line, "#") {
			index.record(section, strings.TrimSpace(key), number)
		}
	}
	return index
}

func (index *LineIndex) record(section, key string, number int) {
	name := sectionKey{section, key}
	if first, seen := index.lines[name]; seen {
		index.duplicates = append(index.duplicates, Fault{
			Line: number, Section: section, Key: key,
			Problem: fmt.Sprintf("defined again, first on line %d", first),
			Allowed: "each section and key once",
		})
		return
	}
	index.lines[name] = number
}

// Line returns the line of a key, or of a section if the key is empty, or zero.
func (index LineIndex) Line(section, key string) int {
	return index.lines[sectionKey{section, key}]
}

// Duplicates returns a fault for each repeated definition of a section or key.
func (index LineIndex) Duplicates(file string) []Fault {
	faults := make([]Fault, 0, len(index.duplicates))
	for _, fault := range index.duplicates {
		fault.File = file
		faults = append(faults, fault)
	}
	return faults
}
