package streamversion

import (
	"fmt"
	"strings"
)

// unlistedPrefix marks the names of unlisted versions.
const unlistedPrefix = "unlisted:"

// UnlistedVersion returns a name for the software version of one start of a backend server that the list doesn't name
// yet. A stream that begins there can go on at the same start, or where the version serves that the list names for
// it later.
func UnlistedVersion(backend string, start int64) string {
	return fmt.Sprintf("%s%s@%d", unlistedPrefix, backend, start)
}

// IsUnlisted reports whether a version is named by UnlistedVersion.
func IsUnlisted(version string) bool { return strings.HasPrefix(version, unlistedPrefix) }
