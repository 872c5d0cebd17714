package contract

import (
	"maps"

	"bergamotreel/internal/strictini"
)

// ChangeKind is the kind of difference of a section or a key.
type ChangeKind string

const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change describes how one section differs.
type Change struct {
	Section string
	Kind    ChangeKind
	Keys    []KeyChange
}

// KeyChange describes how one key differs. Old is empty for an added key, New for a
// removed one.
type KeyChange struct {
	Key  string
	Kind ChangeKind
	Old  string
	New  string
}

// Diff returns the sections that differ, in the order of Join. Both arguments are
// canonical sections as returned by Split. The text of a section that is not valid
// INI is treated as one without keys.
func Diff(old, new map[string]string) []Change {
	var changes []Change
	for _, name := range sortedSections(mergeSections(old, new)) {
		if change, differs := diffSection(name, old, new); differs {
			changes = append(changes, change)
		}
	}
	return changes
}

func mergeSections(a, b map[string]string) map[string]string {
	all := maps.Clone(a)
	if all == nil {
		all = map[string]string{}
	}
	maps.Copy(all, b)
	return all
}

func diffSection(name string, old, new map[string]string) (Change, bool) {
	oldText, hadSection := old[name]
	newText, hasSection := new[name]
	change := Change{Section: name, Kind: Changed}
	switch {
	case !hadSection:
		change.Kind = Added
	case !hasSection:
		change.Kind = Removed
	case oldText == newText:
		return Change{}, false
	}
	change.Keys = diffKeys(readKeys(name, oldText), readKeys(name, newText))
	return change, true
}

func readKeys(name, text string) strictini.Section {
	section, _ := readSection(name, text)
	return section
}

func diffKeys(old, new strictini.Section) []KeyChange {
	var changes []KeyChange
	for _, key := range old.Keys {
		value, ok := new.Get(key.Name)
		if !ok {
			changes = append(changes, KeyChange{key.Name, Removed, key.Value, ""})
		} else if value != key.Value {
			changes = append(changes, KeyChange{key.Name, Changed, key.Value, value})
		}
	}
	for _, key := range new.Keys {
		if _, ok := old.Get(key.Name); !ok {
			changes = append(changes, KeyChange{key.Name, Added, "", key.Value})
		}
	}
	return changes
}

// ChangedSections returns the sections to publish to turn old into new: the text of
// each section that differs, empty for a section to remove.
func ChangedSections(old, new map[string]string) map[string]string {
	changed := map[string]string{}
	for _, change := range Diff(old, new) {
		changed[change.Section] = new[change.Section]
	}
	return changed
}
