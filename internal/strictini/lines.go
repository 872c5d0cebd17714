package strictini

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// FileProblem is a Problem with its place in a file. Line counts from 1; 0 where
// no line can be named.
type FileProblem struct {
	File string
	Line int
	Problem
}

// Error implements error: "file: line N: [section] key: reason".
func (p *FileProblem) Error() string {
	if p.Line == 0 {
		return p.File + ": " + p.Problem.Error()
	}
	return fmt.Sprintf("%s: line %d: %s", p.File, p.Line, p.Problem.Error())
}

// InFile gives a problem its place in the file with the given text.
func NewFileProblem(file, text string, problem *Problem) *FileProblem {
	return &FileProblem{File: file, Line: FindLine(text, problem.Section, problem.Key), Problem: *problem}
}

// maxShown bounds how many mistakes are printed: a file of the wrong kind has one
// on each line, and the first ones tell as much.
const maxShown = 20

// FileProblems are the mistakes in a file, in the order of its lines.
type FileProblems []*FileProblem

// AllInFile gives problems their places in the file with the given text.
func NewFileProblems(file, text string, problems []*Problem) FileProblems {
	var all FileProblems
	for _, problem := range problems {
		all = append(all, NewFileProblem(file, text, problem))
	}
	all.sort()
	// A section that stands ten times is one mistake.
	return slices.CompactFunc(all, func(a, b *FileProblem) bool { return *a == *b })
}

func (p FileProblems) sort() {
	slices.SortStableFunc(p, func(a, b *FileProblem) int { return cmp.Compare(a.Line, b.Line) })
}

// Err is nil without problems, a *FileProblem for one, else all in order.
func (p FileProblems) Err() error {
	switch len(p) {
	case 0:
		return nil
	case 1:
		return p[0]
	}
	p.sort()
	return p
}

// Error implements error: how many there are, then a line for each of the first
// twenty.
func (p FileProblems) Error() string {
	lines := []string{fmt.Sprintf("%d mistakes", len(p))}
	for _, problem := range p[:min(len(p), maxShown)] {
		lines = append(lines, problem.Error())
	}
	if more := len(p) - maxShown; more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(lines, "\n")
}

// Unwrap has errors.As find the first *FileProblem.
func (p FileProblems) Unwrap() []error {
	var all []error
	for _, problem := range p {
		all = append(all, problem)
	}
	return all
}

// Line returns the number of the line, from 1, where a key stands: the last one
// where it stands twice. Where the section has no such key, or key is empty, it
// returns the line of the section's header, and 0 where there is none either.
// It is for messages, and takes any text.
func FindLine(text, section, key string) int {
	found, number := 0, 0
	here, keySeen := false, false
	for line := range strings.Lines(text) {
		number++
		line = strings.TrimSpace(line)
		if name, ok := headerName(line); ok {
			here = name == section
			if here && !keySeen {
				found = number
			}
			continue
		}
		name, _, isPair := strings.Cut(line, "=")
		if here && isPair && key != "" && strings.TrimSpace(name) == key {
			found, keySeen = number, true
		}
	}
	return found
}

// headerName returns the name in a section's header.
func headerName(line string) (string, bool) {
	if !strings.HasPrefix(line, "[") || !strings.HasSuffix(line, "]") {
		return "", false
	}
	return line[1 : len(line)-1], true
}

// lineWithoutPair returns the number of the first line that is neither a header,
// nor a comment, nor "key = value"; 0 for none.
func lineWithoutPair(text string) int {
	number := 0
	for line := range strings.Lines(text) {
		number++
		line = strings.TrimSpace(line)
		if line == "" || strings.ContainsAny(line[:1], ";#[") || strings.Contains(line, "=") {
			continue
		}
		return number
	}
	return 0
}
