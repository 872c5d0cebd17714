// Package harness starts a small deployment of entry VMs as separate processes on loopback, with stand-ins of the
// platform's store and of backend servers, for the cases of the second review.
package harness

import (
	"encoding/json"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// tag matches a placeholder or the begin or end of a section of a settings template.
var tag = regexp.MustCompile(`\{\{([#^/]?)([^}|]*)(\|json)?\}\}`)

// Render fills in a settings template as the platform's page on deploying describes it. It supports placeholders,
// sections over tables and values, {{@}} and {{,}}.
func Render(template string, fields map[string]any) string {
	out := &strings.Builder{}
	render(out, template, fields, "", true)
	return out.String()
}

func render(out *strings.Builder, template string, fields map[string]any, key string, isLast bool) {
	for {
		at := tag.FindStringSubmatchIndex(template)
		if at == nil {
			out.WriteString(template)
			return
		}
		out.WriteString(template[:at[0]])
		sign, name := template[at[2]:at[3]], template[at[4]:at[5]]
		template = template[at[1]:]
		switch {
		case sign == "#" || sign == "^":
			end := "{{/" + name + "}}"
			body, rest, _ := strings.Cut(template, end)
			renderSection(out, body, fields, lookup(fields, name), sign == "^")
			template = rest
		case name == "@":
			out.WriteString(key)
		case name == ",":
			if !isLast {
				out.WriteString(",")
			}
		default:
			out.WriteString(format(lookup(fields, name)))
		}
	}
}

func renderSection(out *strings.Builder, body string, fields map[string]any, value any, isInverted bool) {
	table, isTable := value.(map[string]any)
	isSet := value != nil && value != false
	switch {
	case isInverted == isSet:
	case !isTable:
		render(out, body, fields, "", true)
	default:
		keys := slices.Sorted(maps.Keys(table))
		for i, key := range keys {
			render(out, body, fields, key, i == len(keys)-1)
		}
	}
}

// lookup returns the value of a dotted name, nil if there is none.
func lookup(fields map[string]any, name string) any {
	var value any = fields
	for _, part := range strings.Split(name, ".") {
		switch known := value.(type) {
		case map[string]any:
			value = known[part]
		case []any:
			index, err := strconv.Atoi(part)
			if err != nil || index >= len(known) {
				return nil
			}
			value = known[index]
		default:
			return nil
		}
	}
	return value
}

func format(value any) string {
	switch known := value.(type) {
	case nil:
		return ""
	case string:
		return known
	case []any:
		texts := make([]string, len(known))
		for i, entry := range known {
			texts[i] = format(entry)
		}
		return strings.Join(texts, ",")
	case map[string]any:
		text, _ := json.Marshal(known)
		return string(text)
	default:
		return fmt.Sprint(known)
	}
}
