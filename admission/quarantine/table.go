package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Config holds a Table's limits. Zero fields select the defaults.
type Config struct {
	// MinCrashes is how many backend servers must have crashed while they ran a request
	// before it is refused.
	MinCrashes int
	// SuspectTTL is how long a crash counts, and how long a request is refused after its
	// last crash.
	SuspectTTL time.Duration
	// MaxSuspects limits the number of remembered requests.
	MaxSuspects int
}

const (
	defaultMinCrashes  = 3
	defaultSuspectTTL  = 10 * time.Minute
	defaultMaxSuspects = 4096
)

// Table records the requests that were running on backend servers when these crashed.
//
// Requests that merely ran beside the faulty one become suspects too, each with one
// crash. The faulty request is distinguished by being present at several crashes and
// never being answered. So a request is refused once MinCrashes different backend
// servers have crashed while running it, and any successful answer clears it.
//
// Tables are merged between entry VMs. The result depends neither on the order nor on
// the repetition of messages. A Table is not safe for concurrent use.
type Table struct {
	config   Config
	suspects map[Fingerprint]*suspect
	// version is incremented by each change.
	version uint64
}

type suspect struct {
	// backends are the sorted IDs of the backend server instances that crashed, at most
	// Config.MinCrashes of them.
	backends []string
	// cleared is whether the request was ever answered successfully.
	cleared bool
	// lastEvidenceAt is the time of the newest crash or answer.
	lastEvidenceAt time.Time
	// changedVersion is the table's version at the last change of this entry.
	changedVersion uint64
}

// Suspect is a Table's entry as it is sent to other entry VMs.
type Suspect struct {
	Request  Fingerprint
	Backends []string
	Cleared  bool
	// Age is the time since the newest crash or answer.
	Age time.Duration
}

// NewTable returns an empty table.
func NewTable(config Config) *Table {
	config.MinCrashes = cmp.Or(config.MinCrashes, defaultMinCrashes)
	config.SuspectTTL = cmp.Or(config.SuspectTTL, defaultSuspectTTL)
	config.MaxSuspects = cmp.Or(config.MaxSuspects, defaultMaxSuspects)
	return &Table{config: config, suspects: make(map[Fingerprint]*suspect)}
}

// Len returns how many requests are remembered.
func (t *Table) Len() int { return len(t.suspects) }

// RecordCrash records that an instance of a backend server crashed while it ran the
// requests. It returns the requests that are newly refused.
func (t *Table) RecordCrash(now time.Time, backend string, running []Fingerprint) (refused []Fingerprint) {
	for _, request := range running {
		if t.merge(now, Suspect{Request: request, Backends: []string{backend}}) {
			refused = append(refused, request)
		}
	}
	return refused
}

// RecordSuccess records that a request was answered successfully. It reports whether the
// request had been a suspect.
func (t *Table) RecordSuccess(now time.Time, request Fingerprint) bool {
	if s := t.suspects[request]; s == nil || s.cleared {
		return false
	}
	t.merge(now, Suspect{Request: request, Cleared: true})
	return true
}

// RefusedFor reports whether a request must be refused, and for how much longer.
func (t *Table) RefusedFor(now time.Time, request Fingerprint) (remaining time.Duration, refused bool) {
	s := t.suspects[request]
	if s == nil || !t.isQuarantined(s) {
		return 0, false
	}
	remaining = s.lastEvidenceAt.Add(t.config.SuspectTTL).Sub(now)
	return remaining, remaining > 0
}

func (t *Table) isQuarantined(s *suspect) bool {
	return !s.cleared && len(s.backends) >= t.config.MinCrashes
}

// Merge applies entries of another entry VM's table. It returns the requests that are
// newly refused.
func (t *Table) Merge(now time.Time, entries []Suspect) (refused []Fingerprint) {
	for _, entry := range entries {
		if t.merge(now, entry) {
			refused = append(refused, entry.Request)
		}
	}
	return refused
}

// merge applies one entry and reports whether the request is newly refused.
func (t *Table) merge(now time.Time, entry Suspect) bool {
	if entry.Age < 0 || entry.Age >= t.config.SuspectTTL {
		return false
	}
	s := t.suspects[entry.Request]
	if s == nil {
		t.evictIfFull()
		s = &suspect{}
		t.suspects[entry.Request] = s
	}
	wasQuarantined := t.isQuarantined(s)
	changed := entry.Cleared && !s.cleared
	s.cleared = s.cleared || entry.Cleared
	for _, backend := range entry.Backends {
		changed = t.addBackend(s, backend) || changed
	}
	if !changed {
		return false
	}
	if evidenceAt := now.Add(-entry.Age); evidenceAt.After(s.lastEvidenceAt) {
		s.lastEvidenceAt = evidenceAt
	}
	t.version++
	s.changedVersion = t.version
	return t.isQuarantined(s) && !wasQuarantined
}

func (t *Table) addBackend(s *suspect, backend string) bool {
	index, known := slices.BinarySearch(s.backends, backend)
	if known || len(s.backends) >= t.config.MinCrashes {
		return false
	}
	s.backends = slices.Insert(s.backends, index, backend)
	return true
}

// evictIfFull removes the least suspicious entry if the table is full: the oldest one,
// preferring requests that are not quarantined.
func (t *Table) evictIfFull() {
	if len(t.suspects) < t.config.MaxSuspects {
		return
	}
	var victim Fingerprint
	var leastSuspicious *suspect
	for request, s := range t.suspects {
		if leastSuspicious == nil || t.evictsBefore(s, leastSuspicious) {
			victim, leastSuspicious = request, s
		}
	}
	delete(t.suspects, victim)
}

// evictsBefore reports whether a must be evicted rather than b.
func (t *Table) evictsBefore(a, b *suspect) bool {
	if x, y := t.isQuarantined(a), t.isQuarantined(b); x != y {
		return y
	}
	return a.lastEvidenceAt.Before(b.lastEvidenceAt)
}

// Expire removes entries older than Config.SuspectTTL.
func (t *Table) Expire(now time.Time) {
	for request, s := range t.suspects {
		if now.Sub(s.lastEvidenceAt) >= t.config.SuspectTTL {
			delete(t.suspects, request)
		}
	}
}

// ChangedSince returns up to maxEntries entries that changed after a version, oldest
// change first, and the version up to which they are complete.
func (t *Table) ChangedSince(now time.Time, version uint64, maxEntries int) (entries []Suspect, next uint64) {
	if version >= t.version {
		return nil, t.version
	}
	var changed []Fingerprint
	for request, s := range t.suspects {
		if s.changedVersion > version {
			changed = append(changed, request)
		}
	}
	slices.SortFunc(changed, func(a, b Fingerprint) int {
		return cmp.Compare(t.suspects[a].changedVersion, t.suspects[b].changedVersion)
	})
	next = t.version
	if len(changed) > maxEntries {
		changed = changed[:maxEntries]
		next = t.suspects[changed[maxEntries-1]].changedVersion
	}
	for _, request := range changed {
		entries = append(entries, t.entryFor(now, request))
	}
	return entries, next
}

// Quarantined returns the entries of requests that are refused now.
func (t *Table) Quarantined(now time.Time) []Suspect {
	var entries []Suspect
	for request := range t.suspects {
		if _, refused := t.RefusedFor(now, request); refused {
			entries = append(entries, t.entryFor(now, request))
		}
	}
	slices.SortFunc(entries, func(a, b Suspect) int { return cmp.Compare(a.Request, b.Request) })
	return entries
}

func (t *Table) entryFor(now time.Time, request Fingerprint) Suspect {
	s := t.suspects[request]
	return Suspect{Request: request, Backends: slices.Clone(s.backends), Cleared: s.cleared, Age: max(0, now.Sub(s.lastEvidenceAt))}
}
