// Package configurer reads and validates configuration: one INI file for each
// program, validated as a whole before the program starts.
//
// A program declares its settings in a Set, each with its section, key, type,
// range, default and help text. Load parses a file into the declared variables
// and returns all faults together, each as one line with the file, the key, the
// problem and the allowed values. docs/CONFIG.md is generated from the same
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

// Fault is one error in a configuration file.
type Fault struct {
	File string
	// Line is zero if the fault is a missing section, key or file.
	Line    int
	Section string
	Key     string
	Problem string
	Allowed string
}

// Error returns the fault as one line.
func (fault Fault) Error() string {
	location := fault.File
	if fault.Line > 0 {
		location = fmt.Sprintf("%s:%d", fault.File, fault.Line)
	}
	name := fault.Section
	if fault.Key != "" {
		name += "." + fault.Key
	}
	return fmt.Sprintf("%s: %s: %s; allowed: %s", location, name, fault.Problem, fault.Allowed)
}

// Key declares a setting.
type Key struct {
	Section string
	Name    string
	// Allowed describes the type, unit and range in messages and documentation.
	Allowed string
	// Default is the value's text if the key is missing. A required key has
	// no default.
	Default  string
	Required bool
	Help     string
	// parse stores the value and returns the problem with it, or "".
	parse func(text string) string
}

// Set holds the declared settings of one program.
type Set struct {
	Program string
	Keys    []Key
	// WriteFile writes the probe file that tests whether a folder is writable;
	// nil means os.WriteFile. Tests replace it to inject failures.
	WriteFile func(path string, data []byte, mode os.FileMode) error
	// checks validate conditions across settings, once each setting is valid
	// by itself.
	checks []func() []Fault
}

// Check declares a condition across several settings. It runs only if each
// setting is valid by itself.
func (set *Set) Check(check func() []Fault) {
	set.checks = append(set.checks, check)
}

func (set *Set) add(key Key) {
	set.Keys = append(set.Keys, key)
}

// String declares a string setting.
func (set *Set) String(destination *string, key Key) {
	key.Allowed = withDefault(key.Allowed, "a string")
	key.parse = func(text string) string {
		*destination = text
		if text == "" && key.Required {
			return "must not be empty"
		}
		return ""
	}
	set.add(key)
}

// Strings declares a comma-separated list of strings.
func (set *Set) Strings(destination *[]string, key Key) {
	key.Allowed = withDefault(key.Allowed, "strings separated by commas")
	key.parse = func(text string) string {
		*destination = SplitList(text)
		if len(*destination) == 0 && key.Required {
			return "must not be empty"
		}
		return ""
	}
	set.add(key)
}

// Int declares an integer setting within an inclusive range.
func (set *Set) Int(destination *int64, minimum, maximum int64, key Key) {
	key.Allowed = fmt.Sprintf("a whole number from %d to %d", minimum, maximum)
	key.parse = func(text string) string {
		value, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return fmt.Sprintf("%q is not a whole number", text)
		}
		if value < minimum || value > maximum {
			return fmt.Sprintf("%d is out of range", value)
		}
		*destination = value
		return ""
	}
	set.add(key)
}

// Float declares a decimal setting within an inclusive range.
func (set *Set) Float(destination *float64, minimum, maximum float64, key Key) {
	key.Allowed = fmt.Sprintf("a number from %g to %g", minimum, maximum)
	key.parse = func(text string) string {
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Sprintf("%q is not a number", text)
		}
		if !(value >= minimum && value <= maximum) {
			return fmt.Sprintf("%g is out of range", value)
		}
		*destination = value
		return ""
	}
	set.add(key)
}

// Duration declares a duration setting within an inclusive range.
func (set *Set) Duration(destination *time.Duration, minimum, maximum time.Duration, key Key) {
	key.Allowed = fmt.Sprintf("a duration with its unit (ms, s, m, h) from %s to %s", minimum, maximum)
	key.parse = func(text string) string {
		value, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Sprintf("%q is not a duration with a unit", text)
		}
		if value < minimum || value > maximum {
			return fmt.Sprintf("%s is out of range", value)
		}
		*destination = value
		return ""
	}
	set.add(key)
}

// Bool declares a boolean setting.
func (set *Set) Bool(destination *bool, key Key) {
	key.Allowed = "true or false"
	key.parse = func(text string) string {
		value, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Sprintf("%q is neither true nor false", text)
		}
		*destination = value
		return ""
	}
	set.add(key)
}

// Address declares a numeric IP address with a port; host names are invalid.
func (set *Set) Address(destination *string, key Key) {
	key.Allowed = "an IP address and a port, such as 127.0.0.1:7000"
	key.parse = func(text string) string {
		*destination = text
		return addressProblem(text)
	}
	set.add(key)
}

// Addresses declares a comma-separated list of distinct addresses.
func (set *Set) Addresses(destination *[]string, key Key) {
	key.Allowed = "distinct IP addresses with ports, separated by commas"
	key.parse = func(text string) string {
		*destination = SplitList(text)
		for at, address := range *destination {
			if problem := addressProblem(address); problem != "" {
				return problem
			}
			if slices.Contains((*destination)[:at], address) {
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
		return fmt.Sprintf("%q is not an IP address with a port", text)
	}
	if net.ParseIP(host) == nil {
		return fmt.Sprintf("%q is not an IP address", host)
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		return fmt.Sprintf("%q is not a port from 1 to 65535", port)
	}
	return ""
}

// Folder declares a readable and writable folder, created if it does not exist.
func (set *Set) Folder(destination *string, key Key) {
	key.Allowed = "a folder that this user can read and write"
	key.parse = func(text string) string {
		*destination = text
		return set.folderProblem(text)
	}
	set.add(key)
}

// folderProblem returns why the folder is unusable, or "". A full disk is not a
// problem of the configuration, so it is left to the code that writes there.
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

// SplitList splits a comma-separated list and drops empty parts.
func SplitList(text string) []string {
	var parts []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}

func withDefault(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}

// Load parses the file into the declared variables and returns all faults.
func (set *Set) Load(path string) []Fault {
	data, err := os.ReadFile(path)
	if err != nil {
		return []Fault{{File: path, Section: "file", Problem: err.Error(), Allowed: "a readable INI file"}}
	}
	return set.Parse(path, data)
}

// Parse parses a file's content into the declared variables and returns all
// faults.
func (set *Set) Parse(path string, data []byte) []Fault {
	file, err := ini.Load(data)
	if err != nil {
		return []Fault{{File: path, Section: "file", Problem: err.Error(), Allowed: "INI: [Section] and Key = value lines"}}
	}
	lines := IndexLines(data)
	faults := lines.Duplicates(path)
	faults = append(faults, set.unknownKeys(path, file, lines)...)
	for _, key := range set.Keys {
		if fault, invalid := set.loadKey(path, file, lines, &key); invalid {
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

func (set *Set) loadKey(path string, file *ini.File, lines LineIndex, key *Key) (Fault, bool) {
	fault := Fault{File: path, Section: key.Section, Key: key.Name, Allowed: key.Allowed}
	text := key.Default
	present := file.HasSection(key.Section) && file.Section(key.Section).HasKey(key.Name)
	if present {
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

func (set *Set) unknownKeys(path string, file *ini.File, lines LineIndex) []Fault {
	var faults []Fault
	for _, section := range file.Sections() {
		name := section.Name()
		allowed := set.keyNames(name)
		if len(allowed) == 0 && (name != ini.DefaultSection || len(section.Keys()) > 0) {
			faults = append(faults, Fault{
				File: path, Line: lines.Line(name, ""), Section: name,
				Problem: "unknown section", Allowed: strings.Join(set.sectionNames(), ", "),
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

func (set *Set) keyNames(section string) []string {
	var names []string
	for _, key := range set.Keys {
		if key.Section == section {
			names = append(names, key.Name)
		}
	}
	return names
}

func (set *Set) sectionNames() []string {
	var names []string
	for _, key := range set.Keys {
		if !slices.Contains(names, key.Section) {
			names = append(names, key.Section)
		}
	}
	return names
}
