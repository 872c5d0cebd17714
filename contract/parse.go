package contract

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/zeebo/errs"

	"bergamotreel/internal/strictini"
)

// Error is the class of all errors of this package.
var Error = errs.Class("contract")

// Problem is one error in a contract: the section, the key and the reason. Every
// error of Parse, ParseSections, Split and With wraps one.
type Problem = strictini.Problem

// Kinds of sections. All but the customer section have a quoted name in the header.
const (
	SectionCustomer = "customer"
	SectionKey      = "key"
	SectionModel    = "model"
	SectionAdapter  = "adapter"
	SectionService  = "service"
)

// SectionName returns the section name for a kind and a quoted name, as in
// `model "clerk-7b"`.
func SectionName(kind, name string) string {
	return kind + ` "` + name + `"`
}

// Parse parses a complete contract. Its error is the first problem: of the text's
// structure as in Split, or else in the order of the section names.
func Parse(text string) (*Contract, error) {
	sections, err := Split(text)
	if err != nil {
		return nil, err
	}
	return ParseSections(sections)
}

// ParseSections parses a contract from the texts of its sections, keyed by section
// name. Every entry VM applies published sections with it, so the result, errors
// included, must depend on the sections only: a VM that rejects what another accepts
// would diverge from the replicated state. It therefore parses the sections sorted by
// name.
func ParseSections(sections map[string]string) (*Contract, error) {
	c := defaultContract()
	if err := c.addSections(sections); err != nil {
		return nil, Error.Wrap(err)
	}
	if problems := c.check(); len(problems) > 0 {
		return nil, Error.Wrap(problems[0])
	}
	return c, nil
}

// FindProblems returns all problems of a contract's text, in the order of the text. It
// returns none if and only if Parse accepts the text. Checks across sections run only
// if each section is valid by itself, because an adapter of an invalid model would be
// reported as having no base.
func FindProblems(text string) []*Problem {
	sections, problems := strictini.ReadAll(text)
	c := defaultContract()
	for _, section := range sections {
		problems = append(problems, c.addSection(section)...)
	}
	if len(problems) > 0 {
		return problems
	}
	return c.check()
}

// addSections parses the sections into the contract, in the order of their names.
func (c *Contract) addSections(sections map[string]string) error {
	for _, name := range slices.Sorted(maps.Keys(sections)) {
		section, err := readSection(name, sections[name])
		if err != nil {
			return err
		}
		if problems := c.addSection(section); len(problems) > 0 {
			return problems[0]
		}
	}
	return nil
}

// readSection splits the text of one section, without its header, into keys.
func readSection(name, text string) (strictini.Section, error) {
	if strings.ContainsAny(name, "[]\r\n") {
		return strictini.Section{}, &Problem{Section: name, Reason: "bad section name"}
	}
	sections, err := strictini.Read("[" + name + "]\n" + text)
	if err != nil {
		return strictini.Section{}, withSection(name, err)
	}
	if len(sections) != 1 || sections[0].Name != name {
		return strictini.Section{}, &Problem{Section: name, Reason: "holds another section"}
	}
	return sections[0], nil
}

// withSection sets the section of a Problem that names none.
func withSection(name string, err error) error {
	var problem *Problem
	if errors.As(err, &problem) && problem.Section == "" {
		return &Problem{Section: name, Key: problem.Key, Reason: problem.Reason}
	}
	return err
}

// addSection parses one section into the contract and returns its problems.
func (c *Contract) addSection(section strictini.Section) []*Problem {
	kind, name, reason := splitSectionName(section.Name)
	if reason != "" {
		return []*Problem{{Section: section.Name, Reason: reason}}
	}
	switch kind {
	case SectionCustomer:
		return setFields(section, customerFields, c)
	case SectionKey:
		return appendParsed(section, keyFields, Key{Name: name}, &c.Keys)
	case SectionModel:
		return appendParsed(section, modelFields, defaultModel(name), &c.Models)
	case SectionAdapter:
		return appendParsed(section, adapterFields, defaultAdapter(name), &c.Adapters)
	case SectionService:
		return appendParsed(section, serviceFields, defaultService(name), &c.Services)
	}
	return []*Problem{{Section: section.Name, Reason: "unknown section"}}
}

func appendParsed[T any](section strictini.Section, fields []field[T], item T, items *[]T) []*Problem {
	problems := setFields(section, fields, &item)
	*items = append(*items, item)
	return problems
}

// splitSectionName splits a section name such as `model "clerk-7b"` into kind and
// name. reason says why the section name is invalid and is empty for a valid one.
func splitSectionName(section string) (kind, name, reason string) {
	kind, quoted, hasName := strings.Cut(section, " ")
	if kind == SectionCustomer {
		if hasName {
			return "", "", "the customer's section has no name in quotes; its name is a key"
		}
		return kind, "", ""
	}
	if !slices.Contains([]string{SectionKey, SectionModel, SectionAdapter, SectionService}, kind) {
		return "", "", "unknown section"
	}
	if len(quoted) < 2 || quoted[0] != '"' || quoted[len(quoted)-1] != '"' {
		return "", "", "want a name in quotes, as " + SectionName(kind, "NAME")
	}
	name = quoted[1 : len(quoted)-1]
	if reason := checkName(name); reason != "" {
		return "", "", reason
	}
	return kind, name, ""
}

// checkName returns the reason why a name is invalid, or "" if it is valid. Names
// appear in URLs, metric labels and section names, so only characters without a
// special meaning there are allowed.
func checkName(name string) string {
	return checkCharacters("name", name, MaxNameLength, "-_.")
}

func checkCharacters(what, text string, maxLength int, allowed string) string {
	if text == "" {
		return "empty " + what
	}
	if len(text) > maxLength {
		return fmt.Sprintf("%s longer than %d characters", what, maxLength)
	}
	if text[0] == '.' || text[0] == '-' {
		return fmt.Sprintf("%s %q starts with %q", what, text, text[0])
	}
	for _, r := range text {
		alphanumeric := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !alphanumeric && !strings.ContainsRune(allowed, r) {
			return fmt.Sprintf("%s %q may hold only letters, digits and %q", what, text, allowed)
		}
	}
	return ""
}
