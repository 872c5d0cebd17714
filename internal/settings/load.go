package settings

import (
	"errors"
	"io"
	"os"
	"slices"
	"strings"

	"bergamotreel/internal/strictini"
)

// Load reads and checks a settings file. Its error holds a *Problem for each
// mistake.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(&Problem{File: path, Problem: strictini.Problem{Reason: reasonOf(err)}})
	}
	return Parse(path, string(text))
}

// Parse reads and checks the text of a settings file; file is its name for
// messages. Its error holds a *Problem for each mistake; what no single key shows
// is looked for once all keys can be read.
func Parse(file, text string) (*Settings, error) {
	s := &Settings{File: file, source: text}
	sections, mistakes := strictini.ReadAll(text)
	if sections == nil && mistakes != nil {
		return nil, Error.Wrap(strictini.NewFileProblems(file, text, mistakes).Err())
	}
	problems := strictini.NewFileProblems(file, text, append(mistakes, checkKnown(sections)...))
	for _, f := range kindFirst() {
		if problem := f.read(s, sections); problem != nil {
			problems = append(problems, problem)
		}
	}
	if err := problems.Err(); err != nil {
		return nil, Error.Wrap(err)
	}
	s.fillAdvertised()
	if err := s.Check(); err != nil {
		return nil, err
	}
	return s, nil
}

// kindFirst are all fields, but first the one that decides which of the others are
// required.
func kindFirst() []field {
	return slices.SortedStableFunc(slices.Values(fields), func(a, b field) int {
		switch {
		case isKind(a) == isKind(b):
			return 0
		case isKind(a):
			return -1
		default:
			return 1
		}
	})
}

func isKind(f field) bool { return f.section == "platform" && f.key == "kind" }

// checkKnown finds sections and keys that the table of fields doesn't have.
func checkKnown(sections []strictini.Section) (problems []*strictini.Problem) {
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

// read sets the field from the sections or from its default.
func (f field) read(s *Settings, sections []strictini.Section) *Problem {
	value, key, err := f.find(sections)
	if err != nil {
		return s.NewProblem(f.section, key, "%v", err)
	}
	if value == "" {
		value = f.byDefault
	}
	if value == "" && f.requiredIn(s.Platform.Kind) {
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

// find returns the field's text and the key it came from; a secret may stand in
// a file of its own, so that the settings themselves can be shown around.
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

// maxSecretBytes bounds a secret's file: a path to a device must not fill the
// memory.
const maxSecretBytes = 4096

func readSecret(path string) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", errors.New(reasonOf(err))
	}
	defer file.Close()
	content, err := io.ReadAll(io.LimitReader(file, maxSecretBytes))
	if err != nil {
		return "", errors.New(reasonOf(err))
	}
	return strings.TrimSpace(string(content)), nil
}

// reasonOf drops the path that the problem names already.
func reasonOf(err error) string {
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		return "cannot read: " + pathError.Err.Error()
	}
	return err.Error()
}
