package hosted

import (
	"time"

	"bergamotreel/entryvm"
)

const (
	// urgentSignalPeriod is how long after a change every report carries the signals of
	// backend servers (limits, bounds on rejections, leaving). After that only full reports do.
	urgentSignalPeriod = 1500 * time.Millisecond
	// liftedLimitTTL is how long reports carry a lifted limit or bound. It exceeds the time that
	// an older report with it can be in transit.
	liftedLimitTTL = 10 * time.Second
)

// isSignalReportDue reports whether a report must carry the signals of backend servers, which
// last changed at changedAt.
func isSignalReportDue(now, changedAt time.Time, report *entryvm.Report) bool {
	return report.Full || now.Sub(changedAt) <= urgentSignalPeriod
}

// seenVersions holds the newest version of a backend server's signal seen from each origin. VMs
// forward signals to each other, so one returns to where it was seen before, and by its age alone
// it would look newer each time.
type seenVersions map[string]uint64

// record records a version and reports whether it is newer than those seen from its origin.
func (v seenVersions) record(origin string, version uint64) bool {
	if version <= v[origin] {
		return false
	}
	v[origin] = version
	return true
}
