package settings

import (
	"fmt"

	"bergamotreel/internal/strictini"
)

// Problem is one error in the settings, or one found when they are applied, such as a
// port in use. Section and Key are empty if it concerns no particular section or key.
type Problem = strictini.FileProblem

// NewProblem formats a Problem in the settings file, with the line of the key.
func (s *Settings) NewProblem(section, key, format string, args ...any) *Problem {
	problem := &strictini.Problem{Section: section, Key: key, Reason: fmt.Sprintf(format, args...)}
	return strictini.NewFileProblem(s.File, s.source, problem)
}
