package settings

import "fmt"

// Problem is one mistake in the settings, or one found by using them (a port
// that is taken). Section and Key are empty where it belongs to none.
type Problem struct {
	File    string
	Section string
	Key     string
	Reason  string
}

// Error implements error: "file: [section] key: reason".
func (p *Problem) Error() string {
	switch {
	case p.Section == "" && p.Key == "":
		return fmt.Sprintf("%s: %s", p.File, p.Reason)
	case p.Section == "":
		return fmt.Sprintf("%s: %s: %s", p.File, p.Key, p.Reason)
	case p.Key == "":
		return fmt.Sprintf("%s: [%s]: %s", p.File, p.Section, p.Reason)
	}
	return fmt.Sprintf("%s: [%s] %s: %s", p.File, p.Section, p.Key, p.Reason)
}

// Problem makes a Problem of this file.
func (s *Settings) Problem(section, key, format string, args ...any) *Problem {
	return &Problem{File: s.File, Section: section, Key: key, Reason: fmt.Sprintf(format, args...)}
}
