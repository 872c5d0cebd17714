package hosted

import (
	"maps"
	"time"

	"go.uber.org/zap"
)

const (
	// missingUnitTTL is how long a backend server that rejected a request because a unit was
	// not loaded gets no further request for that unit. A newer update or entry that shows
	// what it holds has arrived by then.
	missingUnitTTL = 400 * time.Millisecond
	// minProbeBackoff is the delay before a backend server that accepts no connection is
	// probed; it doubles up to maxProbeBackoff. A crashed engine stays listed for seconds.
	// If it weren't marked unreachable, requests for its models would be sent there
	// repeatedly and the planner would count these models as loaded.
	minProbeBackoff = 400 * time.Millisecond
	maxProbeBackoff = 1600 * time.Millisecond
	// minUnreachableForPartition is how many backend servers of a failure domain must be
	// unreachable for the domain to count as partitioned, once its entry VMs are unreachable
	// too. A single one may just have crashed.
	minUnreachableForPartition = 2
	// probeTimeout limits one probe; no other probe of the server begins meanwhile.
	probeTimeout = 600 * time.Millisecond
)

// markUnreachable records that a connection to a backend server could not be established.
func (t *backendTable) markUnreachable(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.entries[id]
	if b == nil || b.probeBackoff > 0 {
		return
	}
	b.probeBackoff = minProbeBackoff
	b.probeAt = now.Add(b.probeBackoff)
	t.hasUnreachable = true
	t.logger.Info("backend server unreachable", zap.String("backend", id), zap.String("address", b.Address),
		zap.Int("unreachable", t.countUnreachableLocked()), zap.Int("listed", len(t.entries)))
}

// countUnreachableLocked counts the unreachable backend servers. Call with mu held.
func (t *backendTable) countUnreachableLocked() int {
	count := 0
	for _, b := range t.entries {
		if b.probeBackoff > 0 {
			count++
		}
	}
	return count
}

// extendProbeBackoff doubles the delay before the next probe.
func (t *backendTable) extendProbeBackoff(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.entries[id]; b != nil && b.probeBackoff > 0 {
		b.probeBackoff = min(2*b.probeBackoff, maxProbeBackoff)
		b.probeAt = now.Add(b.probeBackoff)
	}
}

// markReachable records that a backend server answered.
func (t *backendTable) markReachable(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.entries[id]; b != nil && b.probeBackoff > 0 {
		b.probeBackoff, b.probeAt = 0, time.Time{}
		t.logger.Info("backend server reachable again", zap.String("backend", id))
	}
}

// countUnreachable counts the unreachable backend servers of a failure domain.
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

// unreachableIDs returns the IDs of the unreachable backend servers.
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

// dueProbes returns the backend servers that are due to be probed. Until a server accepts
// a connection it gets no requests: each would wait for the full connection timeout.
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

// recordMissingUnit records that a backend server rejected a request because the unit was
// not loaded.
func (t *backendTable) recordMissingUnit(now time.Time, id, unit string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.entries[id]; b != nil {
		b.missingUnits[unit] = now.Add(missingUnitTTL)
		t.missingUnitsUntil = b.missingUnits[unit]
	}
}

// idsMissingUnits returns the IDs of the backend servers that recently rejected requests
// because a unit was not loaded.
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
