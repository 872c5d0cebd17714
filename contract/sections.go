package contract

import (
	"maps"
	"slices"
	"strings"

	"bergamotreel/internal/strictini"
)

// Split splits a contract's text into its sections, keyed by section name. The text
// of each section is canonical: one line "key = value" per key, in the order of the
// reference, without comments. Equivalent texts therefore give the same sections, and
// a publish carries only actual changes. Split checks the names of sections and keys;
// only Parse checks values.
func Split(text string) (map[string]string, error) {
	sections, err := strictini.Read(text)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	texts := make(map[string]string, len(sections))
	for _, section := range sections {
		kind, _, reason := splitSectionName(section.Name)
		if reason != "" {
			return nil, Error.Wrap(&Problem{Section: section.Name, Reason: reason})
		}
		if err := checkKeyNames(section, kind); err != nil {
			return nil, Error.Wrap(err)
		}
		texts[section.Name] = canonicalText(section, kind)
	}
	return texts, nil
}

func checkKeyNames(section strictini.Section, kind string) error {
	for _, key := range section.Keys {
		if !slices.Contains(keyOrder[kind], key.Name) {
			return &Problem{Section: section.Name, Key: key.Name, Reason: "unknown key"}
		}
	}
	return nil
}

// keyOrder holds the keys of each kind of section in the order of the reference.
var keyOrder = map[string][]string{
	SectionCustomer: fieldKeys(customerFields),
	SectionKey:      fieldKeys(keyFields),
	SectionModel:    fieldKeys(modelFields),
	SectionAdapter:  fieldKeys(adapterFields),
	SectionService:  fieldKeys(serviceFields),
}

func fieldKeys[T any](fields []field[T]) []string {
	var keys []string
	for _, f := range fields {
		keys = append(keys, f.key)
	}
	return keys
}

// emptySection is the canonical text of a section without keys. It is not the empty
// string, because an empty text in a publish removes the section.
const emptySection = "; all defaults\n"

func canonicalText(section strictini.Section, kind string) string {
	var text strings.Builder
	for _, name := range keyOrder[kind] {
		if value, ok := section.Get(name); ok {
			text.WriteString(name + " = " + value + "\n")
		}
	}
	if text.Len() == 0 {
		return emptySection
	}
	return text.String()
}

// kindOrder is the order of sections in a joined text.
var kindOrder = []string{SectionCustomer, SectionKey, SectionModel, SectionAdapter, SectionService}

// Join joins sections into one text: the customer section first, then keys, models,
// adapters and services, each kind sorted by name.
func Join(sections map[string]string) string {
	var texts []string
	for _, name := range sortedSections(sections) {
		texts = append(texts, "["+name+"]\n"+sections[name])
	}
	return strings.Join(texts, "\n")
}

func sortedSections(sections map[string]string) []string {
	names := slices.Sorted(maps.Keys(sections))
	slices.SortStableFunc(names, func(a, b string) int { return kindRank(a) - kindRank(b) })
	return names
}

func kindRank(section string) int {
	kind, _, _ := strings.Cut(section, " ")
	return slices.Index(kindOrder, kind)
}
