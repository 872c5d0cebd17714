package strictini

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// FileProblem is a Problem with its position in a file. Line counts from 1; 0 means
// that the line is unknown.
type FileProblem struct {
	File string
	Line int
	Problem
}

// Error implements error. The format is "file: line N: [section] key: reason".
func (p *FileProblem) Error() string {
	if p.Line == 0 {
		return p.File + ": " + p.Problem.Error()
	}
	return fmt.Sprintf("%s: line %d: %s", p.File, p.Line, p.Problem.Error())
}

// NewFileProblem adds to a problem its position in the file with the given text.
func NewFileProblem(file, text string, problem *Problem) *FileProblem {
	return &FileProblem{File: file, Line: FindLine(text, problem.Section, problem.Key), Problem: *problem}
}

// maxPrintedProblems bounds the problems that are printed: a file of another format has
// one on each line, and the first ones are sufficient to see that.
const maxPrintedProblems = 20

// FileProblems are the problems of a file, in the order of its lines.
type FileProblems []*FileProblem

// NewFileProblems adds to problems their positions in the file with the given text,
// sorts them by line and drops duplicates.
func NewFileProblems(file, text string, problems []*Problem) FileProblems {
	var all FileProblems
	for _, problem := range problems {
		all = append(all, NewFileProblem(file, text, problem))
	}
	all.sort()
	// A section that occurs ten times is reported once.
	return slices.CompactFunc(all, func(a, b *FileProblem) bool { return *a == *b })
}

func (p FileProblems) sort() {
	slices.SortStableFunc(p, func(a, b *FileProblem) int { return cmp.Compare(a.Line, b.Line) })
}

// Err returns nil if there are no problems, the *FileProblem if there is one, and else
// all of them in the order of the lines.
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

// Error implements error. It gives the number of problems and one line for each of the
// first twenty.
func (p FileProblems) Error() string {
	lines := []string{fmt.Sprintf("%d mistakes", len(p))}
	for _, problem := range p[:min(len(p), maxPrintedProblems)] {
		lines = append(lines, problem.Error())
	}
	if omitted := len(p) - maxPrintedProblems; omitted > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", omitted))
	}
	return strings.Join(lines, "\n")
}

// Unwrap lets errors.As find the first *FileProblem.
func (p FileProblems) Unwrap() []error {
	var all []error
	for _, problem := range p {
		all = append(all, problem)
	}
	return all
}

// FindLine returns the line number of a key, counted from 1, or of its last occurrence
// if it has several. If the section has no such key, or key is empty, it returns the
// line of the section's header, or 0 if there is no such section. It is meant for
// messages and accepts any text, valid or not.
func FindLine(text, section, key string) int {
	found, number := 0, 0
	inSection, keyFound := false, false
	for line := range strings.Lines(text) {
		number++
		line = strings.TrimSpace(line)
		if name, ok := headerName(line); ok {
			inSection = name == section
			if inSection && !keyFound {
				found = number
			}
			continue
		}
		name, _, isPair := strings.Cut(line, "=")
		if inSection && isPair && key != "" && strings.TrimSpace(name) == key {
			found, keyFound = number, true
		}
	}
	return found
}

// headerName returns the section name if the line is a section header.
func headerName(line string) (string, bool) {
	if !strings.HasPrefix(line, "[") || !strings.HasSuffix(line, "]") {
		return "", false
	}
	return line[1 : len(line)-1], true
}

// findMalformedLine returns the number of the first line that is not blank, a section
// header, a comment or "key = value", or 0 if there is none.
func findMalformedLine(text string) int {
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
