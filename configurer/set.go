// Package configurer owns the reading of settings: one INI file for each
// program, checked as a whole before the program starts.
//
// A program declares its settings in a Set, each with its section, key, kind,
// range, default and help. Load reads a file into the declared places and
// returns every fault at once, each as one line that names the file, the key,
// what was wrong and what is allowed. docs/CONFIG.md is printed from the same
// declarations.
package configurer

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"gopkg.in/ini.v1"
)

// Fault is one thing wrong with a file.
type Fault struct {
	File string
	// Line is zero if the fault is about something that is not there.
	Line    int
	Section string
	Key     string
	Problem string
	Allowed string
}

// Error returns the fault as one line.
func (fault Fault) Error() string {
	place := fault.File
	if fault.Line > 0 {
		place = fmt.Sprintf("%s:%d", fault.File, fault.Line)
	}
	name := fault.Section
	if fault.Key != "" {
		name += "." + fault.Key
	}
	return fmt.Sprintf("%s: %s: %s; allowed: %s", place, name, fault.Problem, fault.Allowed)
}

// Key is a declared setting.
type Key struct {
	Section string
	Name    string
	// Allowed describes kind, unit and range for people.
	Allowed string
	// Default is used if the file does not state the key; a key that is
	// required has none.
	Default  string
	Required bool
	Help     string
	// parse stores the value and returns what is wrong with it.
	parse func(text string) string
}

// Set holds the declared settings of one program.
type Set struct {
	Program string
	Keys    []Key
	// WriteFile writes a file, to see whether a folder takes one; nil stands for
	// os.WriteFile. Tests set it to bring about failures.
	WriteFile func(path string, data []byte, mode os.FileMode) error
	// checks look at all values together, once each is well by itself.
	checks []func() []Fault
}

// Check declares a condition on several settings.
func (set *Set) Check(check func() []Fault) {
	set.checks = append(set.checks, check)
}

func (set *Set) add(key Key) {
	set.Keys = append(set.Keys, key)
}

// String declares a text.
func (set *Set) String(place *string, key Key) {
	key.Allowed = orDefault(key.Allowed, "a text")
	key.parse = func(text string) string {
		*place = text
		if text == "" && key.Required {
			return "must not be empty"
		}
		return ""
	}
	set.add(key)
}

// Strings declares a list separated by commas.
func (set *Set) Strings(place *[]string, key Key) {
	key.Allowed = orDefault(key.Allowed, "texts separated by commas")
	key.parse = func(text string) string {
		*place = SplitList(text)
		if len(*place) == 0 && key.Required {
			return "must not be empty"
		}
		return ""
	}
	set.add(key)
}

// Int declares a whole number within a range.
func (set *Set) Int(place *int64, least, most int64, key Key) {
	key.Allowed = fmt.Sprintf("a whole number from %d to %d", least, most)
	key.parse = func(text string) string {
		value, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return fmt.Sprintf("%q is not a whole number", text)
		}
		if value < least || value > most {
			return fmt.Sprintf("%d is out of range", value)
		}
		*place = value
		return ""
	}
	set.add(key)
}

// Duration declares a time span within a range.
func (set *Set) Duration(place *time.Duration, least, most time.Duration, key Key) {
	key.Allowed = fmt.Sprintf("a duration with its unit (ms, s, m, h) from %s to %s", least, most)
	key.parse = func(text string) string {
		value, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Sprintf("%q is not a duration with a unit", text)
		}
		if value < least || value > most {
			return fmt.Sprintf("%s is out of range", value)
		}
		*place = value
		return ""
	}
	set.add(key)
}

// Bool declares a choice of true or false.
func (set *Set) Bool(place *bool, key Key) {
	key.Allowed = "true or false"
	key.parse = func(text string) string {
		value, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Sprintf("%q is neither true nor false", text)
		}
		*place = value
		return ""
	}
	set.add(key)
}

// Address declares a numeric IP address with a port.
func (set *Set) Address(place *string, key Key) {
	key.Allowed = "an IP number and a port, as 127.0.0.1:7000"
	key.parse = func(text string) string {
		*place = text
		return addressProblem(text)
	}
	set.add(key)
}

// Addresses declares a list of different addresses.
func (set *Set) Addresses(place *[]string, key Key) {
	key.Allowed = "different IP numbers with ports, separated by commas"
	key.parse = func(text string) string {
		*place = SplitList(text)
		for at, address := range *place {
			if problem := addressProblem(address); problem != "" {
				return problem
			}
			if slices.Contains((*place)[:at], address) {
				return fmt.Sprintf("duplicate address %s", address)
			}
		}
		return ""
	}
	set.add(key)
}

func addressProblem(text string) string {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return fmt.Sprintf("%q is not an address with a port", text)
	}
	if net.ParseIP(host) == nil {
		return fmt.Sprintf("%q is not an IP number", host)
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		return fmt.Sprintf("%q is not a port from 1 to 65535", port)
	}
	return ""
}

// Folder declares a folder that can be read and written; it is made if it does
// not exist.
func (set *Set) Folder(place *string, key Key) {
	key.Allowed = "a folder that this user can read and write"
	key.parse = func(text string) string {
		*place = text
		return set.folderProblem(text)
	}
	set.add(key)
}

// folderProblem returns what is wrong with a folder. A full disk is nothing that
// a change of the settings would mend, so it is left to whoever writes there.
func (set *Set) folderProblem(path string) string {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return fmt.Sprintf("cannot be made: %v", err)
	}
	if _, err := os.ReadDir(path); err != nil {
		return fmt.Sprintf("cannot be read: %v", err)
	}
	probe := filepath.Join(path, ".probe")
	write := set.WriteFile
	if write == nil {
		write = os.WriteFile
	}
	if err := write(probe, nil, 0o600); err != nil && !errors.Is(err, syscall.ENOSPC) {
		return fmt.Sprintf("cannot be written: %v", err)
	}
	if err := os.Remove(probe); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Sprintf("cannot be written: %v", err)
	}
	return ""
}

// SplitList splits a list at its commas and drops empty parts.
func SplitList(text string) []string {
	var parts []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}

func orDefault(text, other string) string {
	if text == "" {
		return other
	}
	return text
}

// Load reads the file into the declared places and returns all faults.
func (set *Set) Load(path string) []Fault {
	data, err := os.ReadFile(path)
	if err != nil {
		return []Fault{{File: path, Section: "file", Problem: err.Error(), Allowed: "a readable INI file"}}
	}
	return set.Parse(path, data)
}

// Parse reads a file's content into the declared places and returns all
// faults.
func (set *Set) Parse(path string, data []byte) []Fault {
	file, err := ini.Load(data)
	if err != nil {
		return []Fault{{File: path, Section: "file", Problem: err.Error(), Allowed: "INI: [Section] and Key = value lines"}}
	}
	lines := Lines(data)
	faults := lines.Duplicates(path)
	faults = append(faults, set.unknown(path, file, lines)...)
	for _, key := range set.Keys {
		if fault, bad := set.load(path, file, lines, &key); bad {
			faults = append(faults, fault)
		}
	}
	if len(faults) > 0 {
		return faults
	}
	for _, check := range set.checks {
		for _, fault := range check() {
			fault.File = path
			fault.Line = lines.Line(fault.Section, fault.Key)
			faults = append(faults, fault)
		}
	}
	return faults
}

func (set *Set) load(path string, file *ini.File, lines LineIndex, key *Key) (Fault, bool) {
	fault := Fault{File: path, Section: key.Section, Key: key.Name, Allowed: key.Allowed}
	text := key.Default
	stated := file.HasSection(key.Section) && file.Section(key.Section).HasKey(key.Name)
	if stated {
		text = file.Section(key.Section).Key(key.Name).String()
		fault.Line = lines.Line(key.Section, key.Name)
	} else if key.Required {
		fault.Problem = "missing"
		return fault, true
	}
	if text == "" && !key.Required && key.Default == "" {
		return fault, false
	}
	fault.Problem = key.parse(text)
	return fault, fault.Problem != ""
}

func (set *Set) unknown(path string, file *ini.File, lines LineIndex) []Fault {
	var faults []Fault
	for _, section := range file.Sections() {
		name := section.Name()
		allowed := set.keysOf(name)
		if len(allowed) == 0 && (name != ini.DefaultSection || len(section.Keys()) > 0) {
			faults = append(faults, Fault{
				File: path, Line: lines.Line(name, ""), Section: name,
				Problem: "unknown section", Allowed: strings.Join(set.sections(), ", "),
			})
			continue
		}
		for _, key := range section.Keys() {
			if !slices.Contains(allowed, key.Name()) {
				faults = append(faults, Fault{
					File: path, Line: lines.Line(name, key.Name()), Section: name, Key: key.Name(),
					Problem: "unknown key", Allowed: strings.Join(allowed, ", "),
				})
			}
		}
	}
	return faults
}

func (set *Set) keysOf(section string) []string {
	var names []string
	for _, key := range set.Keys {
		if key.Section == section {
			names = append(names, key.Name)
		}
	}
	return names
}

func (set *Set) sections() []string {
	var names []string
	for _, key := range set.Keys {
		if !slices.Contains(names, key.Section) {
			names = append(names, key.Section)
		}
	}
	return names
}
