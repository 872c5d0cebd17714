package streamversion

import (
	"slices"
	"time"
)

// View is what one VM knows of the versions at which streams of a service may have begun.
type View struct {
	// Versions are those that served between From and To and some earlier ones, in any order.
	Versions []string
	// From and To bound the time of which the VM knows every version that served. The view covers
	// nothing if From isn't before To.
	From, To time.Time
}

// Merge returns the versions of all views, sorted, and whether the views together cover the TTL before the given
// time, so that a stream that its caller took up then began at one of them.
func Merge(at time.Time, views ...View) (versions []string, complete bool) {
	for _, view := range views {
		versions = append(versions, view.Versions...)
	}
	slices.Sort(versions)
	versions = slices.Compact(versions)
	missing := at
	for missing.After(at.Add(-TTL)) {
		earliest := missing
		for _, view := range views {
			if !view.To.Before(missing) && view.From.Before(earliest) {
				earliest = view.From
			}
		}
		if !earliest.Before(missing) {
			return versions, false
		}
		missing = earliest
	}
	return versions, true
}
