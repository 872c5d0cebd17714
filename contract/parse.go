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

// Problem is one mistake in a contract: the section, the key and the reason.
// Every error of Parse, ParseSections and Split has one inside.
type Problem = strictini.Problem

// Kinds of sections. All but the customer's section carry a name in quotes.
const (
	SectionCustomer = "customer"
	SectionKey      = "key"
	SectionModel    = "model"
	SectionAdapter  = "adapter"
	SectionService  = "service"
)

// SectionName joins a kind and a name as they stand in a contract's text.
func SectionName(kind, name string) string {
	return kind + ` "` + name + `"`
}

// Parse reads a whole contract. It fails on the first mistake, in the order of
// the section names.
func Parse(text string) (*Contract, error) {
	sections, err := Split(text)
	if err != nil {
		return nil, err
	}
	return ParseSections(sections)
}

// ParseSections reads a contract from the texts of its sections, keyed by
// section name. Every entry VM folds published sections with it, so its result,
// errors included, depends on nothing but the sections: a VM that rejected what
// another accepts would fold another state. It reads the sections sorted by
// name for that reason.
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

// Problems returns all mistakes in a contract's text, in the order of the text;
// none exactly where Parse takes it. What no single section shows is looked for
// once all sections can be read: a model with a mistake would seem missing to its
// adapters.
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

// addSections reads sections into the contract, sorted by name.
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

// readSection reads the key lines of one section.
func readSection(name, text string) (strictini.Section, error) {
	if strings.ContainsAny(name, "[]\r\n") {
		return strictini.Section{}, &Problem{Section: name, Reason: "bad section name"}
	}
	sections, err := strictini.Read("[" + name + "]\n" + text)
	if err != nil {
		return strictini.Section{}, inSection(name, err)
	}
	if len(sections) != 1 || sections[0].Name != name {
		return strictini.Section{}, &Problem{Section: name, Reason: "holds another section"}
	}
	return sections[0], nil
}

// inSection names the section of a problem that belongs to none.
func inSection(name string, err error) error {
	var problem *Problem
	if errors.As(err, &problem) && problem.Section == "" {
		return &Problem{Section: name, Key: problem.Key, Reason: problem.Reason}
	}
	return err
}

// addSection reads one section into the contract and returns its mistakes.
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

// splitSectionName splits `model "clerk-7b"` into its kind and its name, or returns
// what is wrong with it.
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

// checkName returns what is wrong with a name, or nothing. Names stand in URLs,
// in metric labels and in section names, so they keep to characters that mean
// nothing there.
func checkName(name string) string {
	return checkCharacters("name", name, MaxNameLength, "-_.")
}

func checkCharacters(what, text string, longest int, others string) string {
	if text == "" {
		return "empty " + what
	}
	if len(text) > longest {
		return fmt.Sprintf("%s longer than %d characters", what, longest)
	}
	if text[0] == '.' || text[0] == '-' {
		return fmt.Sprintf("%s %q starts with %q", what, text, text[0])
	}
	for _, r := range text {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !letter && !strings.ContainsRune(others, r) {
			return fmt.Sprintf("%s %q may hold only letters, digits and %q", what, text, others)
		}
	}
	return ""
}
