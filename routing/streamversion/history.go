package streamversion

import (
	"maps"
	"slices"
	"time"
)

// History counts the listed backend servers of each service by their software version, and those of each model, under the
// name of its ModelScope, by the version of its weights. It remembers versions for TTL after the last one has gone. It is not safe for concurrent use.
type History struct {
	services map[string]map[string]*listing
	// beganAt is from when on every change of the list is known, zero before the first list. recovered is whether
	// the versions are known that served before.
	beganAt   time.Time
	recovered bool
	// recoveredModels are the scopes of models of which this is known, allModels whether it is of all.
	recoveredModels map[string]bool
	allModels       bool
}

// listing is the state of one version of a service.
type listing struct {
	servers int
	goneAt  time.Time
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{services: make(map[string]map[string]*listing)} }

// Begin records that the whole list was read. What was listed and dropped since the last known change isn't known.
func (h *History) Begin(now time.Time) {
	h.beganAt, h.recovered, h.recoveredModels, h.allModels = now, false, nil, false
}

// Add counts a listed backend server.
func (h *History) Add(service, version string) {
	versions := h.services[service]
	if versions == nil {
		versions = make(map[string]*listing)
		h.services[service] = versions
	}
	if versions[version] == nil {
		versions[version] = &listing{}
	}
	versions[version].servers++
}

// Remove reverts Add for a backend server that is no longer listed.
func (h *History) Remove(now time.Time, service, version string) {
	if l := h.services[service][version]; l != nil {
		l.servers--
		l.goneAt = now
	}
}

// RecordBegin records that a stream of the service began at a version that no listed backend server may have.
func (h *History) RecordBegin(now time.Time, service, version string) {
	h.Add(service, version)
	h.Remove(now, service, version)
}

// Versions returns the versions that a stream of the service may have begun at, sorted.
func (h *History) Versions(now time.Time, service string) []string {
	versions := h.services[service]
	maps.DeleteFunc(versions, func(_ string, l *listing) bool { return l.servers == 0 && now.Sub(l.goneAt) >= TTL })
	return slices.Sorted(maps.Keys(versions))
}

// HasSeveral reports whether a stream of the service may have begun at several versions.
func (h *History) HasSeveral(now time.Time, service string) bool {
	return len(h.services[service]) > 1 && len(h.Versions(now, service)) > 1
}

// Recover adds the versions of each service that served before the list was known, and counts them as gone
// from now on. complete is whether these are all, except of models of which there are none, unless there are none at all.
func (h *History) Recover(now time.Time, versions map[string][]string, complete bool) {
	for service, names := range versions {
		for _, version := range names {
			if l := h.services[service][version]; l == nil || l.servers == 0 {
				h.Add(service, version)
				h.Remove(now, service, version)
			}
		}
	}
	if !complete {
		return
	}
	h.recovered = true
	h.allModels = h.allModels || len(versions) == 0
	if h.recoveredModels == nil {
		h.recoveredModels = make(map[string]bool)
	}
	for scope := range versions {
		h.recoveredModels[scope] = true
	}
}

// All returns the versions of each service that a stream may have begun at, sorted.
func (h *History) All(now time.Time) map[string][]string {
	all := make(map[string][]string, len(h.services))
	for service := range h.services {
		all[service] = h.Versions(now, service)
	}
	return all
}

// View returns what is known of a service, given when the list was last known to be up to date.
func (h *History) View(now time.Time, service string, confirmedAt time.Time) View {
	from := h.knownFrom(now)
	if isModelScope(service) && h.recovered && !h.allModels && !h.recoveredModels[service] {
		from = h.beganAt
	}
	return View{Versions: h.Versions(now, service), From: from, To: confirmedAt}
}

// IsComplete reports whether Versions has every version of the last TTL that the list has had.
func (h *History) IsComplete(now time.Time) bool { return now.Sub(h.knownFrom(now)) >= TTL }

// knownFrom returns the time from which on every version is known that the list has had.
func (h *History) knownFrom(now time.Time) time.Time {
	switch {
	case h.beganAt.IsZero():
		return now
	case h.recovered:
		return now.Add(-2 * TTL)
	}
	return h.beganAt
}
