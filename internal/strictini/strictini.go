// Package strictini parses INI text and reports every error in it. It disables what
// the INI library does silently: merging sections of the same name, keeping the last of
// duplicate keys, inheriting from parent sections, continuing lines and expanding
// variables. It does no I/O, and the same text always gives the same result.
package strictini

import (
	"fmt"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// MaxTextBytes bounds the size of a text, so that a hostile one cannot exhaust the
// memory of an entry VM. 4 MiB holds a contract with 39,000 adapters of 100 bytes each.
const MaxTextBytes = 4 << 20

// Problem is one error in a text. Section and Key are empty if the error concerns no
// particular section or key.
type Problem struct {
	Section string
	Key     string
	Reason  string
}

// Error implements error. The format is "[section] key: reason".
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

// Key is a line "name = value".
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

// Read parses a text into its sections, in the order of the text. Its error is the
// first *Problem.
func Read(text string) ([]Section, error) {
	sections, problems := ReadAll(text)
	if len(problems) > 0 {
		return nil, problems[0]
	}
	return sections, nil
}

// ReadAll parses a text like Read and returns all problems, together with the sections
// that can be parsed. There are no sections if the text is not INI, and the first of
// several with the same name.
func ReadAll(text string) ([]Section, []*Problem) {
	if problems := checkText(text); len(problems) > 0 {
		return nil, problems
	}
	file, err := ini.LoadSources(loadOptions, []byte(text))
	if err != nil {
		return nil, []*Problem{newSyntaxProblem(text, err)}
	}
	var sections []Section
	var problems []*Problem
	seen := map[string]bool{}
	for _, raw := range file.Sections() {
		section, sectionProblems := readSection(raw)
		problems = append(problems, sectionProblems...)
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

// readSection converts a section of the library and reports duplicate keys and values
// that span several lines. Of duplicate keys it keeps the first.
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

// checkText rejects text that the library accepts but interprets in unexpected ways.
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
	// The library ends the name at the last bracket and drops what follows, so a
	// comment with a bracket would become part of the name.
	closing := strings.IndexByte(line, ']')
	if closing < 0 {
		return "section name without ]"
	}
	if strings.TrimSpace(line[1:closing]) != line[1:closing] || closing == 1 {
		return "section name empty or with spaces around it"
	}
	if line[1:closing] == ini.DefaultSection {
		return "unknown section " + ini.DefaultSection
	}
	if closing != len(line)-1 {
		return "text after ]; put comments on their own line"
	}
	return ""
}

// newSyntaxProblem describes a text that the library cannot parse, with the line number
// if it can be determined.
func newSyntaxProblem(text string, err error) *Problem {
	if number := findMalformedLine(text); number > 0 {
		return &Problem{Reason: fmt.Sprintf("not INI: line %d is neither [section] nor key = value", number)}
	}
	return &Problem{Reason: "not INI: " + collapseWhitespace(err.Error())}
}

func collapseWhitespace(text string) string {
	return strings.Join(strings.Fields(text), " ")
}
