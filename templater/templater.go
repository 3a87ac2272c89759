// Package templater parses the text form of templates: INI files with
// parameters, written by operators, one for each client account.
//
// Parse validates a text as a whole and returns either the compiled template or
// all faults with their lines. The effects of a template on running work are
// left to packages applier and planner.
package templater

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/dotterelrill/dotterelrill/configurer"
	"github.com/dotterelrill/dotterelrill/keyer"
	"github.com/dotterelrill/dotterelrill/modeller"
)

// Section names in a template.
const (
	templateSection   = "Template"
	parametersSection = "Parameters"
	queuePrefix       = "Queue."
)

// Parse compiles a template's text. The given parameters override the defaults
// in the text's Parameters section; a parameter without a default is a fault.
func Parse(file, source string, parameters map[string]string) (modeller.Template, []configurer.Fault) {
	parsed, err := ini.LoadSources(ini.LoadOptions{}, []byte(source))
	if err != nil {
		fault := configurer.Fault{File: file, Section: "file", Problem: err.Error(), Allowed: "INI: [Section] and Key = value lines"}
		return modeller.Template{}, []configurer.Fault{fault}
	}
	lines := configurer.IndexLines([]byte(source))
	expanded, faults := expand(file, parsed, lines, parameters)
	faults = append(lines.Duplicates(file), faults...)
	template, compileFaults := compile(file, expanded, lines)
	template.Source = source
	return template, append(faults, compileFaults...)
}

// section is a section of the text after parameter substitution.
type section struct {
	name string
	keys []keyValue
}

type keyValue struct{ name, value string }

// expand substitutes the parameters for each ${Name} in the text and drops the
// Parameters section.
func expand(file string, parsed *ini.File, lines configurer.LineIndex, parameters map[string]string) ([]section, []configurer.Fault) {
	values := parsed.Section(parametersSection).KeysHash()
	var faults []configurer.Fault
	for _, name := range slices.Sorted(maps.Keys(parameters)) {
		if _, known := values[name]; !known {
			faults = append(faults, configurer.Fault{
				File: file, Section: parametersSection, Key: name,
				Problem: "unknown parameter", Allowed: parameterNames(values),
			})
		}
		values[name] = parameters[name]
	}
	var sections []section
	for _, source := range parsed.Sections() {
		if source.Name() == parametersSection || source.Name() == ini.DefaultSection && len(source.Keys()) == 0 {
			continue
		}
		target := section{name: source.Name()}
		for _, key := range source.Keys() {
			value, problem := substitute(key.Value(), values)
			if problem != "" {
				faults = append(faults, configurer.Fault{
					File: file, Line: lines.Line(source.Name(), key.Name()), Section: source.Name(), Key: key.Name(),
					Problem: problem, Allowed: parameterNames(values),
				})
			}
			target.keys = append(target.keys, keyValue{key.Name(), value})
		}
		sections = append(sections, target)
	}
	return sections, faults
}

func parameterNames(values map[string]string) string {
	if len(values) == 0 {
		return "no parameters"
	}
	return strings.Join(slices.Sorted(maps.Keys(values)), ", ")
}

// substitute replaces each ${Name} in a text and returns the result, or the
// problem that prevents it.
func substitute(text string, values map[string]string) (string, string) {
	var result strings.Builder
	for {
		before, rest, found := strings.Cut(text, "${")
		result.WriteString(before)
		if !found {
			return result.String(), ""
		}
		name, after, closed := strings.Cut(rest, "}")
		if !closed {
			return "", "a ${ without a closing }"
		}
		value, known := values[name]
		if !known {
			return "", fmt.Sprintf("unknown parameter %s", name)
		}
		result.WriteString(value)
		text = after
	}
}

// compile parses the sections into a template. It declares the keys in a
// configurer.Set, as programs do for their settings.
func compile(file string, sections []section, lines configurer.LineIndex) (modeller.Template, []configurer.Fault) {
	var template modeller.Template
	var faults []configurer.Fault
	hasTemplate := false
	for at := range sections {
		section := &sections[at]
		name, isQueue := strings.CutPrefix(section.name, queuePrefix)
		switch {
		case section.name == templateSection:
			hasTemplate = true
			faults = append(faults, compileTemplate(&template, file, section, lines)...)
		case isQueue && name != "":
			queue, queueFaults := compileQueue(file, modeller.QueueName(name), section, lines)
			template.Queues = append(template.Queues, queue)
			faults = append(faults, queueFaults...)
		default:
			faults = append(faults, configurer.Fault{
				File: file, Line: lines.Line(section.name, ""), Section: section.name,
				Problem: "unknown section", Allowed: "Template, Parameters, Queue.NAME",
			})
		}
	}
	if !hasTemplate {
		faults = append(faults, configurer.Fault{File: file, Section: templateSection, Problem: "missing", Allowed: "one section [Template]"})
	}
	if len(template.Queues) == 0 {
		faults = append(faults, configurer.Fault{File: file, Section: queuePrefix, Problem: "missing", Allowed: "at least one section [Queue.NAME]"})
	}
	return template, faults
}

func compileTemplate(template *modeller.Template, file string, section *section, lines configurer.LineIndex) []configurer.Fault {
	var fields templateFields
	faults := parseSection(fields.settingSet(section.name), file, section, lines)
	template.Name = modeller.TemplateName(fields.name)
	template.ClientAccount = modeller.ClientAccountName(fields.account)
	template.Share = fields.share
	template.Limit = fields.limit
	for _, key := range fields.keyHashes {
		hash, err := keyer.Parse(key)
		if err != nil {
			faults = append(faults, configurer.Fault{
				File: file, Line: lines.Line(section.name, "KeyHashes"), Section: section.name, Key: "KeyHashes",
				Problem: "not a hash", Allowed: err.Error(),
			})
			continue
		}
		template.Keys = append(template.Keys, hash)
	}
	return faults
}

func compileQueue(file string, name modeller.QueueName, section *section, lines configurer.LineIndex) (modeller.Queue, []configurer.Fault) {
	fields := queueFields{queue: modeller.Queue{Name: name}}
	faults := parseSection(fields.settingSet(section.name), file, section, lines)
	queue := fields.queue
	queue.RunTime = modeller.Millis(fields.runTime.Milliseconds())
	queue.DeadlineAfter = modeller.Millis(fields.deadlineAfter.Milliseconds())
	queue.MaxRetries = uint32(fields.maxRetries)
	queue.MaxWaiting = uint32(fields.maxWaiting)
	return queue, faults
}

// parseSection parses one section into its declared variables. The faults name
// lines of the original text, not of the expanded section.
func parseSection(set *configurer.Set, file string, section *section, lines configurer.LineIndex) []configurer.Fault {
	var text strings.Builder
	fmt.Fprintf(&text, "[%s]\n", section.name)
	for _, key := range section.keys {
		fmt.Fprintf(&text, "%s = %s\n", key.name, key.value)
	}
	faults := set.Parse(file, []byte(text.String()))
	for at := range faults {
		faults[at].Line = lines.Line(faults[at].Section, faults[at].Key)
	}
	return faults
}
