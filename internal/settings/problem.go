package settings

import (
	"fmt"

	"bergamotreel/internal/strictini"
)

// Problem is one mistake in the settings, or one found by using them (a port
// that is taken). Section and Key are empty where it belongs to none.
type Problem = strictini.FileProblem

// Problem makes a Problem of this file, with the line of the key.
func (s *Settings) NewProblem(section, key, format string, args ...any) *Problem {
	problem := &strictini.Problem{Section: section, Key: key, Reason: fmt.Sprintf(format, args...)}
	return strictini.NewFileProblem(s.File, s.source, problem)
}
