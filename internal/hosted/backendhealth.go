package hosted

import (
	"maps"
	"time"

	"go.uber.org/zap"
)

const (
	// lackingFor is how long a backend server that turned a unit away is not asked
	// for it again: the news of what it holds is there by then.
	missingUnitTTL = 400 * time.Millisecond
	// downFirst is after how long a backend server that accepts no connection is tried
	// again; it doubles up to downMost. Failure: a crashed engine is listed for
	// seconds, and requests for the models that it held are sent there again and again,
	// while the planner takes these for loaded.
	minProbeBackoff = 400 * time.Millisecond
	maxProbeBackoff = 1600 * time.Millisecond
	// cutOffFrom is how many backend servers of a failure domain must accept no
	// connection for the domain to count as cut off, once its entry VMs are silent. One
	// may just have crashed.
	minUnreachableForCutOff = 2
	// probeMost bounds one try.
	probeTimeout = 600 * time.Millisecond
)

// unreachable notes that no connection to a backend server came about.
func (t *backendTable) markUnreachable(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.entries[id]
	if b == nil || b.probeBackoff > 0 {
		return
	}
	t.logger.Info("backend server unreachable", zap.String("backend", id), zap.String("address", b.Address))
	b.probeBackoff = minProbeBackoff
	b.probeAt = now.Add(b.probeBackoff)
	t.hasUnreachable = true
}

// failedAgain puts off the next try.
func (t *backendTable) extendProbeBackoff(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.entries[id]; b != nil && b.probeBackoff > 0 {
		b.probeBackoff = min(2*b.probeBackoff, maxProbeBackoff)
		b.probeAt = now.Add(b.probeBackoff)
	}
}

// reached notes that a backend server answered.
func (t *backendTable) markReachable(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.entries[id]; b != nil && b.probeBackoff > 0 {
		b.probeBackoff, b.probeAt = 0, time.Time{}
		t.logger.Info("backend server reachable again", zap.String("backend", id))
	}
}

// downIn counts the backend servers of a failure domain that are taken for dead.
func (t *backendTable) countUnreachable(domain string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, b := range t.entries {
		if b.Domain == domain && b.probeBackoff > 0 {
			count++
		}
	}
	return count
}

// down are the backend servers that are taken for dead.
func (t *backendTable) unreachableIDs() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasUnreachable {
		return nil
	}
	var out []string
	for id, b := range t.entries {
		if b.probeBackoff > 0 {
			out = append(out, id)
		}
	}
	t.hasUnreachable = len(out) > 0
	return out
}

// toProbe are those that are to be tried again now. Until one accepts a connection no
// request is sent there: each would wait out the time of a connection that isn't
// answered.
func (t *backendTable) dueProbes(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for id, b := range t.entries {
		if b.probeBackoff > 0 && !now.Before(b.probeAt) {
			b.probeAt = now.Add(probeTimeout)
			out = append(out, id)
		}
	}
	return out
}

// lacks notes that a backend server turned a unit away.
func (t *backendTable) recordMissingUnit(now time.Time, id, unit string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.entries[id]; b != nil {
		b.missingUnits[unit] = now.Add(missingUnitTTL)
		t.missingUnitsUntil = b.missingUnits[unit]
	}
}

// lackingNow are the backend servers that turned a unit away lately.
func (t *backendTable) idsMissingUnits(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !now.Before(t.missingUnitsUntil) {
		return nil
	}
	var out []string
	for id, b := range t.entries {
		maps.DeleteFunc(b.missingUnits, func(_ string, until time.Time) bool { return !now.Before(until) })
		if len(b.missingUnits) > 0 {
			out = append(out, id)
		}
	}
	return out
}
