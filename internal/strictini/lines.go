package strictini

import (
	"fmt"
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
func InFile(file, text string, problem *Problem) *FileProblem {
	return &FileProblem{File: file, Line: Line(text, problem.Section, problem.Key), Problem: *problem}
}

// Line returns the number of the line, from 1, where a key stands: the last one
// where it stands twice. Where the section has no such key, or key is empty, it
// returns the line of the section's header, and 0 where there is none either.
// It is for messages, and takes any text.
func Line(text, section, key string) int {
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
