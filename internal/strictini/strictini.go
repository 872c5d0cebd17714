// Package strictini reads INI text for people who must be told about every
// mistake. It turns off what the INI library does silently: merging sections of
// one name, keeping the last of two equal keys, inheriting from parent sections,
// continuing lines and expanding variables. It does no I/O, and the same text
// always gives the same result.
package strictini

import (
	"fmt"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// MaxTextBytes bounds a text, so that a hostile one cannot take the memory of
// an entry VM. 4 MiB holds a contract with 39,000 adapters of 100 bytes.
const MaxTextBytes = 4 << 20

// Problem is one mistake in a text. Section and Key are empty where the mistake
// belongs to none.
type Problem struct {
	Section string
	Key     string
	Reason  string
}

// Error implements error: "[section] key: reason".
func (p *Problem) Error() string {
	switch {
	case p.Section == "" && p.Key == "":
		return p.Reason
	case p.Section == "":
		return fmt.Sprintf("%s: %s", p.Key, p.Reason)
	case p.Key == "":
		return fmt.Sprintf("[%s]: %s", p.Section, p.Reason)
	}
	return fmt.Sprintf("[%s] %s: %s", p.Section, p.Key, p.Reason)
}

// Section is one section of a text, with its keys in the order of the text.
type Section struct {
	Name string
	Keys []Key
}

// Key is one line "name = value".
type Key struct {
	Name  string
	Value string
}

// Get returns the value of a key.
func (s Section) Get(name string) (string, bool) {
	for _, key := range s.Keys {
		if key.Name == name {
			return key.Value, true
		}
	}
	return "", false
}

var loadOptions = ini.LoadOptions{
	IgnoreContinuation:         true,
	SpaceBeforeInlineComment:   true,
	PreserveSurroundedQuote:    true,
	KeyValueDelimiters:         "=",
	ChildSectionDelimiter:      "\x00",
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
}

// Read splits a text into its sections, in the order of the text. Its error is
// the first *Problem.
func Read(text string) ([]Section, error) {
	sections, problems := ReadAll(text)
	if len(problems) > 0 {
		return nil, problems[0]
	}
	return sections, nil
}

// ReadAll is Read with all mistakes. The sections beside them are what can be
// read: none of a text that is no INI, the first where two have one name.
func ReadAll(text string) ([]Section, []*Problem) {
	if problems := checkText(text); len(problems) > 0 {
		return nil, problems
	}
	file, err := ini.LoadSources(loadOptions, []byte(text))
	if err != nil {
		return nil, []*Problem{notINI(text, err)}
	}
	var sections []Section
	var problems []*Problem
	seen := map[string]bool{}
	for _, raw := range file.Sections() {
		section, mistakes := readSection(raw)
		problems = append(problems, mistakes...)
		switch {
		case section.Name == ini.DefaultSection:
			for _, key := range section.Keys {
				problems = append(problems, &Problem{Key: key.Name, Reason: "stands before the first section"})
			}
		case seen[section.Name]:
			problems = append(problems, &Problem{Section: section.Name, Reason: "stands twice"})
		default:
			seen[section.Name] = true
			sections = append(sections, section)
		}
	}
	return sections, problems
}

// readSection keeps the first of two equal keys.
func readSection(raw *ini.Section) (Section, []*Problem) {
	section := Section{Name: raw.Name()}
	var problems []*Problem
	for _, key := range raw.Keys() {
		values := key.ValueWithShadows()
		value := key.Value()
		if len(values) > 1 {
			problems = append(problems, &Problem{section.Name, key.Name(), "stands twice"})
		} else if strings.ContainsAny(value, "\r\n") {
			problems = append(problems, &Problem{section.Name, key.Name(), "goes over several lines"})
		}
		section.Keys = append(section.Keys, Key{Name: key.Name(), Value: value})
	}
	return section, problems
}

// checkText refuses what the library would take in a surprising way.
func checkText(text string) []*Problem {
	if len(text) > MaxTextBytes {
		return []*Problem{{Reason: fmt.Sprintf("longer than %d bytes", MaxTextBytes)}}
	}
	if !utf8.ValidString(text) {
		return []*Problem{{Reason: "not UTF-8"}}
	}
	var problems []*Problem
	number := 0
	for line := range strings.Lines(text) {
		number++
		if err := checkLine(line); err != "" {
			problems = append(problems, &Problem{Reason: fmt.Sprintf("line %d: %s", number, err)})
		}
	}
	return problems
}

func checkLine(line string) string {
	line = strings.TrimRight(line, "\r\n")
	for _, r := range line {
		if r != '\t' && (r < ' ' || r == 0x7f || r == '\ufeff') {
			return fmt.Sprintf("control character %U", r)
		}
	}
	line = strings.TrimSpace(line)
	if !strings.HasPrefix(line, "[") {
		return ""
	}
	// The library takes the last bracket and drops what follows it, so a comment
	// with a bracket would become part of the name.
	end := strings.IndexByte(line, ']')
	if end < 0 {
		return "section name without ]"
	}
	if strings.TrimSpace(line[1:end]) != line[1:end] || end == 1 {
		return "section name empty or with spaces around it"
	}
	if line[1:end] == ini.DefaultSection {
		return "unknown section " + ini.DefaultSection
	}
	if end != len(line)-1 {
		return "text after ]; put comments on their own line"
	}
	return ""
}

// notINI names the line that the library can't read, where it can be told.
func notINI(text string, err error) *Problem {
	if number := lineWithoutPair(text); number > 0 {
		return &Problem{Reason: fmt.Sprintf("not INI: line %d is neither [section] nor key = value", number)}
	}
	return &Problem{Reason: "not INI: " + oneLine(err.Error())}
}

func oneLine(text string) string {
	return strings.Join(strings.Fields(text), " ")
}
