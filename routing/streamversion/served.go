package streamversion

import (
	"maps"
	"slices"
	"time"
)

// Served decides what a shared record of served versions must hold, so that entry VMs that all start at
// once know at which versions streams may have begun before. Several VMs write the record, each from
// what it knows itself. It is not safe for concurrent use.
type Served struct {
	// recorded are the versions of each service in the record as it was last read or written.
	recorded map[string][]string
	// outdated is whether all of the record has to be written anew.
	outdated bool
	// foreignSince is when a version was first seen in the record that this VM doesn't know.
	foreignSince map[serviceVersion]time.Time
}

type serviceVersion struct{ service, version string }

// NewServed returns the state for an empty record.
func NewServed() *Served {
	return &Served{foreignSince: make(map[serviceVersion]time.Time)}
}

// SetRecorded replaces what is known of the record. outdated is whether readers may take it for an older
// one, so that it has to be written anew.
func (s *Served) SetRecorded(recorded map[string][]string, outdated bool) {
	s.recorded, s.outdated = recorded, outdated
}

// HasSeveral reports whether the record has several versions of a service.
func (s *Served) HasSeveral(service string) bool { return len(s.recorded[service]) > 1 }

// HasAnySeveral reports whether the record has several versions of any service.
func (s *Served) HasAnySeveral() bool {
	for service := range s.recorded {
		if s.HasSeveral(service) {
			return true
		}
	}
	return false
}

// Changes returns the services whose record has to change and their versions, sorted, given the versions that
// this VM knows. A version that another VM recorded stays for TTL. A model with one version of its weights is a
// reason to write only if the record has several.
func (s *Served) Changes(now time.Time, known map[string][]string) map[string][]string {
	changes, isDue := make(map[string][]string), s.outdated
	if s.outdated {
		maps.Copy(changes, s.recorded)
	}
	foreign := make(map[serviceVersion]time.Time)
	for service, versions := range known {
		want := slices.Clone(versions)
		for _, version := range s.recorded[service] {
			if slices.Contains(versions, version) {
				continue
			}
			key := serviceVersion{service, version}
			since, seen := s.foreignSince[key]
			if !seen {
				since = now
			}
			foreign[key] = since
			if now.Sub(since) < TTL {
				want = append(want, version)
			}
		}
		slices.Sort(want)
		if len(versions) > 0 && (s.outdated || !slices.Equal(want, slices.Sorted(slices.Values(s.recorded[service])))) {
			changes[service] = want
			isDue = isDue || !isModelScope(service) || len(want) > 1 || s.HasSeveral(service)
		}
	}
	s.foreignSince = foreign
	if !isDue {
		clear(changes)
	}
	return changes
}

// Add records that the changes were written.
func (s *Served) Add(changes map[string][]string) {
	recorded := maps.Clone(s.recorded)
	if recorded == nil {
		recorded = make(map[string][]string)
	}
	maps.Copy(recorded, changes)
	s.recorded, s.outdated = recorded, false
}
