// Package pathloss decides when an entry VM has lost its own paths to the backend servers of a
// service, as after a partition of the network between them. It answers this load pattern:
// callers' requests arrive at the same rate as before, each is sent to a backend server that no
// longer answers this VM, and each backend server by itself looks as if it had ended.
package pathloss

// minLostBackends is how many backend servers of a service must be lost, and none answer, until
// all of them count as lost: a single one may have a fault of its own.
const minLostBackends = 2

// Monitor follows the direct paths from one entry VM to the backend servers of one service. The
// zero value is ready to use. It is not safe for concurrent use.
type Monitor struct {
	// unanswered are the backend servers that other VMs reach and this one doesn't, since a
	// backend server last answered this VM directly.
	unanswered map[string]bool
	lost       bool
}

// RecordDirectAnswer records that a backend server answered this VM directly. It reports whether
// the paths counted as lost until now.
func (m *Monitor) RecordDirectAnswer() (wasLost bool) {
	wasLost = m.lost
	m.lost = false
	clear(m.unanswered)
	return wasLost
}

// RecordLostPath records that a backend server answers another VM and not this one; listed is
// how many backend servers the service has. It reports whether the paths count as lost from now
// on and didn't before.
func (m *Monitor) RecordLostPath(backend string, listed int) (nowLost bool) {
	if m.unanswered == nil {
		m.unanswered = make(map[string]bool)
	}
	m.unanswered[backend] = true
	return m.Recount(listed)
}

// Recount takes into account how many backend servers the service has now: fewer lost paths count
// for all once others have left the list. It reports whether the paths count as lost from now on
// and didn't before.
func (m *Monitor) Recount(listed int) (nowLost bool) {
	if m.lost || len(m.unanswered) == 0 || len(m.unanswered) < min(minLostBackends, listed) {
		return false
	}
	m.lost = true
	return true
}

// IsLost reports whether the paths to all backend servers of the service count as lost.
func (m *Monitor) IsLost() bool { return m.lost }

// HasRecords reports whether RecordDirectAnswer would change anything.
func (m *Monitor) HasRecords() bool { return len(m.unanswered) > 0 }
