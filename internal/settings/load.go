package settings

import (
	"errors"
	"io"
	"os"
	"slices"
	"strings"

	"bergamotreel/internal/strictini"
)

// Load reads and validates a settings file. Its error wraps a *Problem for each problem
// found.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(&Problem{File: path, Problem: strictini.Problem{Reason: reasonWithoutPath(err)}})
	}
	return Parse(path, string(text))
}

// Parse parses and validates the text of a settings file; file is its name in messages.
// Its error wraps a *Problem for each problem found. Checks across keys run only if each
// key is valid by itself.
func Parse(file, text string) (*Settings, error) {
	s := &Settings{File: file, source: text}
	sections, syntaxProblems := strictini.ReadAll(text)
	if sections == nil && syntaxProblems != nil {
		return nil, Error.Wrap(strictini.NewFileProblems(file, text, syntaxProblems).Err())
	}
	problems := strictini.NewFileProblems(file, text, append(syntaxProblems, findUnknownKeys(sections)...))
	for _, f := range fieldsKindFirst() {
		if problem := f.read(s, sections); problem != nil {
			problems = append(problems, problem)
		}
	}
	if err := problems.Err(); err != nil {
		return nil, Error.Wrap(err)
	}
	s.setAdvertisedDefaults()
	if err := s.Check(); err != nil {
		return nil, err
	}
	return s, nil
}

// fieldsKindFirst returns all fields, with the platform's kind first, because it
// determines which of the others are required.
func fieldsKindFirst() []field {
	return slices.SortedStableFunc(slices.Values(fields), func(a, b field) int {
		switch {
		case isKindField(a) == isKindField(b):
			return 0
		case isKindField(a):
			return -1
		default:
			return 1
		}
	})
}

func isKindField(f field) bool { return f.section == "platform" && f.key == "kind" }

// findUnknownKeys reports sections and keys that are not in the table of fields.
func findUnknownKeys(sections []strictini.Section) (problems []*strictini.Problem) {
	known := map[string]map[string]bool{}
	for _, f := range fields {
		if known[f.section] == nil {
			known[f.section] = map[string]bool{}
		}
		known[f.section][f.key] = true
		if f.secret {
			known[f.section][f.key+fileSuffix] = true
		}
	}
	for _, section := range sections {
		if known[section.Name] == nil {
			problems = append(problems, &strictini.Problem{Section: section.Name, Reason: "unknown section"})
			continue
		}
		for _, key := range section.Keys {
			if !known[section.Name][key.Name] {
				problems = append(problems, &strictini.Problem{Section: section.Name, Key: key.Name, Reason: "unknown key"})
			}
		}
	}
	return problems
}

// read sets the field from the sections, or from its default if the key is not set.
func (f field) read(s *Settings, sections []strictini.Section) *Problem {
	value, key, err := f.find(sections)
	if err != nil {
		return s.NewProblem(f.section, key, "%v", err)
	}
	if value == "" {
		value = f.defaultValue
	}
	if value == "" && f.isRequiredOn(s.Platform.Kind) {
		return s.NewProblem(f.section, key, "missing")
	}
	if value == "" {
		return nil
	}
	if err := f.set(s, value); err != nil {
		return s.NewProblem(f.section, key, "%v", err)
	}
	return nil
}

// find returns the field's text and the key that it comes from. A secret may be in a
// separate file, so that the settings file can be shared without it.
func (f field) find(sections []strictini.Section) (value, key string, err error) {
	for _, section := range sections {
		if section.Name != f.section {
			continue
		}
		value, _ = section.Get(f.key)
		path, hasPath := section.Get(f.key + fileSuffix)
		if !f.secret || !hasPath {
			return value, f.key, nil
		}
		key = f.key + fileSuffix
		if value != "" {
			return "", key, errors.New("give the secret or its file, not both")
		}
		value, err = readSecret(path)
		return value, key, err
	}
	return "", f.key, nil
}

// maxSecretBytes bounds how much of a secret's file is read, so that the path of a
// device cannot exhaust the memory.
const maxSecretBytes = 4096

func readSecret(path string) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", errors.New(reasonWithoutPath(err))
	}
	defer file.Close()
	content, err := io.ReadAll(io.LimitReader(file, maxSecretBytes))
	if err != nil {
		return "", errors.New(reasonWithoutPath(err))
	}
	return strings.TrimSpace(string(content)), nil
}

// reasonWithoutPath returns the text of an error without the path, which the problem
// already names.
func reasonWithoutPath(err error) string {
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		return "cannot read: " + pathError.Err.Error()
	}
	return err.Error()
}
