package main

import (
	"fmt"
	"strings"
)

// fields are the settings of one process as the platform renders them: texts, lists of
// texts and truth values, by name.
type fields map[string]any

// render fills in a settings template. It knows what the project's own templates use:
// values, and sections for values that are present or absent and for each key of a list.
func (fields fields) render(template string) string {
	var text strings.Builder
	for {
		before, rest, found := strings.Cut(template, "{{")
		text.WriteString(before)
		if !found {
			return text.String()
		}
		tag, after, _ := strings.Cut(rest, "}}")
		template = after
		if tag[0] != '#' && tag[0] != '^' {
			text.WriteString(fields.value(tag))
			continue
		}
		inner, behind, _ := strings.Cut(after, "{{/"+tag[1:]+"}}")
		template = behind
		if fields.present(tag[1:]) == (tag[0] == '#') {
			text.WriteString(fields.section(tag[1:], inner))
		}
	}
}

func (fields fields) value(name string) string {
	switch value := fields[name].(type) {
	case nil:
		return ""
	case []string:
		return strings.Join(value, ",")
	default:
		return fmt.Sprint(value)
	}
}

func (fields fields) present(name string) bool {
	value := fields.value(name)
	return value != "" && value != "false"
}

// section renders a section once for each element of a list, or once.
func (fields fields) section(name, inner string) string {
	list, isList := fields[name].([]string)
	if !isList {
		return fields.render(inner)
	}
	var parts []string
	for _, element := range list {
		parts = append(parts, strings.ReplaceAll(strings.ReplaceAll(inner, "{{@}}", element), "{{,}}", ""))
	}
	return strings.Join(parts, ",")
}
