package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{([#^])([A-Za-z.0-9]+)\}\}(.*?)\{\{/[A-Za-z.0-9]+\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([A-Za-z.0-9]+)\}\}`)
)

// render fills a template of the deploy file. Sections aren't nested there, and a section
// stands for a value that is present or true.
func render(template string, values map[string]string) string {
	template = sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		value := values[parts[2]]
		present := value != "" && value != "false"
		if present == (parts[1] == "#") {
			return parts[3]
		}
		return ""
	})
	return valuePattern.ReplaceAllStringFunc(template, func(name string) string {
		return values[strings.Trim(name, "{}")]
	})
}

// settingsPath is where the commands of the deploy file expect the settings.
const settingsPath = "/etc/dotterelrill/local.yaml"

// role is a role of the deploy file.
type role struct {
	command  []string
	template string
}

// readRole reads a role's command and template from the deploy file.
func readRole(root, name string) (role, error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return role{}, err
	}
	_, section, found := strings.Cut(string(data), "[roles."+name+"]")
	if !found {
		return role{}, fmt.Errorf("the deploy file has no role %s", name)
	}
	section, _, _ = strings.Cut(section, "\n[")
	template, err := os.ReadFile(filepath.Join(root, stringOf(section, "template")))
	if err != nil {
		return role{}, err
	}
	return role{command: strings.Fields(stringOf(section, "run")), template: string(template)}, nil
}

func stringOf(section, key string) string {
	match := regexp.MustCompile(`(?m)^` + key + `\s*=\s*"([^"]*)"`).FindStringSubmatch(section)
	if match == nil {
		return ""
	}
	return match[1]
}
