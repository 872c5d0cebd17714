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
	// maxProbesPerInterval is how many probes begin in one probeInterval. A VM that has lost
	// its paths would otherwise probe all backend servers of a large fleet at once.
	maxProbesPerInterval = 32
	// probeTimeout limits one probe; no other probe of the server begins meanwhile.
	probeTimeout = 600 * time.Millisecond
)

// countSlots returns how many requests the backend server runs at once.
func (b *backend) countSlots() int {
	if b.Slots <= 0 {
		return defaultPlainSlots
	}
	return b.Slots
}

// isUnreachable reports whether no path to the backend server is known.
func (b *backend) isUnreachable() bool { return b.probeBackoff > 0 && !b.indirect }

// isDirect reports whether the backend server counts as reached directly.
func (b *backend) isDirect() bool { return b.probeBackoff == 0 }

// isIndirect reports whether the backend server is reached through gateways only.
func (b *backend) isIndirect() bool { return b.probeBackoff > 0 && b.indirect }

// markUnreachable records that a direct connection to a backend server could not be
// established; refused is whether it was refused. It reports whether that was not known.
func (t *backendTable) markUnreachable(now time.Time, id string, refused bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.entries[id]
	if b == nil || b.probeBackoff > 0 {
		return false
	}
	b.probeBackoff = minProbeBackoff
	b.probeAt = now.Add(b.probeBackoff)
	b.indirect, b.pathsChecked, b.refused = false, false, refused
	t.hasUnreachable = true
	t.logger.Info("backend server unreachable", zap.String("backend", id), zap.String("address", b.Address),
		zap.Int("unreachable", t.countUnreachableLocked()), zap.Int("listed", len(t.entries)))
	return true
}

// setIndirect records whether gateways reach a backend server that is marked unreachable. It
// reports whether that changed, and false for unreachable if the server isn't marked any more.
func (t *backendTable) setIndirect(id string, indirect bool) (changed, unreachable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.entries[id]
	if b == nil || b.probeBackoff == 0 {
		return false, false
	}
	changed = b.indirect != indirect || !b.pathsChecked
	b.indirect, b.pathsChecked = indirect, true
	return changed, true
}

// assumeIndirect marks the backend servers of a service for which applies returns true as reached
// through gateways only, and has them probed at once. It returns their IDs. refused is whether
// the connections that showed it were refused.
func (t *backendTable) assumeIndirect(now time.Time, service string, refused bool, applies func(*backend) bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for _, b := range t.entriesOf(service) {
		if !applies(b) {
			continue
		}
		b.probeBackoff, b.probeAt = minProbeBackoff, now
		b.indirect, b.pathsChecked, b.refused = true, true, refused
		ids = append(ids, b.ID)
	}
	t.hasUnreachable = t.hasUnreachable || len(ids) > 0
	return ids
}

// probeSoon makes the probes of a service's unreachable backend servers due.
func (t *backendTable) probeSoon(now time.Time, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.entriesOf(service) {
		if b.probeBackoff > 0 {
			b.probeAt = now
		}
	}
}

// sampleOtherServices returns two reachable backend servers of each service but the given one:
// their paths may be lost too.
func (t *backendTable) sampleOtherServices(service string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entriesOf(service) // builds the index
	var sample []string
	for other, entries := range t.byService {
		if other == service {
			continue
		}
		for _, b := range entries[:min(len(entries), 2)] {
			if b.probeBackoff == 0 {
				sample = append(sample, b.ID)
			}
		}
	}
	return sample
}

// hasMarkedUnreachable reports whether any backend server may be marked unreachable.
func (t *backendTable) hasMarkedUnreachable() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasUnreachable
}

// countService counts the backend servers of a service.
func (t *backendTable) countService(service string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entriesOf(service))
}

// findByAddress returns a copy of the entry with an address.
func (t *backendTable) findByAddress(address string) (backend, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.entries {
		if b.Address == address {
			return *b, true
		}
	}
	return backend{}, false
}

// countUnreachableLocked counts the backend servers that are marked unreachable. Call with mu
// held.
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
		b.indirect, b.pathsChecked = false, false
		t.logger.Info("backend server reachable again", zap.String("backend", id))
	}
}

// countUnreachable counts the unreachable backend servers of a failure domain.
func (t *backendTable) countUnreachable(domain string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, b := range t.entries {
		if b.Domain == domain && b.isUnreachable() {
			count++
		}
	}
	return count
}

// unreachableIDs returns the IDs of the backend servers that neither this VM nor the gateways
// that it asked reach. Others may just have lost their path to this VM.
func (t *backendTable) unreachableIDs() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasUnreachable {
		return nil
	}
	var out []string
	t.hasUnreachable = false
	for id, b := range t.entries {
		if b.probeBackoff == 0 {
			continue
		}
		t.hasUnreachable = true
		if b.pathsChecked && !b.indirect {
			out = append(out, id)
		}
	}
	return out
}

// dueProbes returns the backend servers that are due to be probed. Until a server accepts
// a connection it gets no requests: each would wait for the full connection timeout.
func (t *backendTable) dueProbes(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for id, b := range t.entries {
		if len(out) == maxProbesPerInterval {
			break
		}
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
