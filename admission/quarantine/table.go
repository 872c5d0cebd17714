package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Config holds a Table's limits; zero fields get defaults.
type Config struct {
	// Crashes is how many backend servers must have ended while they ran a request before
	// it is refused.
	MinCrashes int
	// Memory is how long an end counts, and how long a request is refused after the last.
	SuspectTTL time.Duration
	// Most bounds the requests that are remembered.
	MaxSuspects int
}

const (
	defaultCrashes = 3
	defaultMemory  = 10 * time.Minute
	defaultMost    = 4096
)

// Table is what an entry VM knows of requests that ran on backend servers as these ended.
//
// Requests that merely ran beside the one at fault are suspects too, each once for an end.
// What tells them apart: a request that crashes what runs it is there at each of several
// ends and is never answered. So a request is refused once enough different backend
// servers have ended under it, and any successful answer clears it.
//
// Tables are merged between entry VMs. The verdicts depend neither on the order nor on the
// repetition of messages. A Table is not safe for concurrent use.
type Table struct {
	config   Config
	suspects map[Fingerprint]*suspect
	// version grows with each change.
	version uint64
}

type suspect struct {
	// backends are the starts of backend servers that ended, sorted, at most
	// Config.Crashes of them.
	backends []string
	// cleared is whether the request was once answered.
	cleared bool
	// at is the time of the newest end or answer.
	at time.Time
	// changed is the table's version at the last change.
	changed uint64
}

// Suspect is a Table's entry as it is sent to other entry VMs.
type Suspect struct {
	Request  Fingerprint
	Backends []string
	Cleared  bool
	// Age is how long ago the newest end or answer was.
	Age time.Duration
}

// NewTable makes an empty table.
func NewTable(config Config) *Table {
	config.MinCrashes = cmp.Or(config.MinCrashes, defaultCrashes)
	config.SuspectTTL = cmp.Or(config.SuspectTTL, defaultMemory)
	config.MaxSuspects = cmp.Or(config.MaxSuspects, defaultMost)
	return &Table{config: config, suspects: make(map[Fingerprint]*suspect)}
}

// Len is how many requests are remembered.
func (t *Table) Len() int { return len(t.suspects) }

// Crashed notes that a start of a backend server ended while it ran the requests. It
// returns those that are refused from now on.
func (t *Table) RecordCrash(now time.Time, backend string, running []Fingerprint) (refused []Fingerprint) {
	for _, request := range running {
		if t.merge(now, Suspect{Request: request, Backends: []string{backend}}) {
			refused = append(refused, request)
		}
	}
	return refused
}

// Answered notes that a request was answered successfully. It tells whether it had been a
// suspect.
func (t *Table) RecordSuccess(now time.Time, request Fingerprint) bool {
	if s := t.suspects[request]; s == nil || s.cleared {
		return false
	}
	t.merge(now, Suspect{Request: request, Cleared: true})
	return true
}

// Refused tells whether a request is to be refused, and for how long.
func (t *Table) RefusedFor(now time.Time, request Fingerprint) (left time.Duration, refused bool) {
	s := t.suspects[request]
	if s == nil || !t.condemned(s) {
		return 0, false
	}
	left = s.at.Add(t.config.SuspectTTL).Sub(now)
	return left, left > 0
}

func (t *Table) condemned(s *suspect) bool {
	return !s.cleared && len(s.backends) >= t.config.MinCrashes
}

// Merge takes entries of another entry VM's table. It returns the requests that are
// refused from now on.
func (t *Table) Merge(now time.Time, entries []Suspect) (refused []Fingerprint) {
	for _, entry := range entries {
		if t.merge(now, entry) {
			refused = append(refused, entry.Request)
		}
	}
	return refused
}

// merge takes one entry; it tells whether the request is refused from now on.
func (t *Table) merge(now time.Time, entry Suspect) bool {
	if entry.Age < 0 || entry.Age >= t.config.SuspectTTL {
		return false
	}
	s := t.suspects[entry.Request]
	if s == nil {
		t.makeRoom()
		s = &suspect{}
		t.suspects[entry.Request] = s
	}
	before := t.condemned(s)
	changed := entry.Cleared && !s.cleared
	s.cleared = s.cleared || entry.Cleared
	for _, backend := range entry.Backends {
		changed = t.addBackend(s, backend) || changed
	}
	if !changed {
		return false
	}
	if at := now.Add(-entry.Age); at.After(s.at) {
		s.at = at
	}
	t.version++
	s.changed = t.version
	return t.condemned(s) && !before
}

func (t *Table) addBackend(s *suspect, backend string) bool {
	at, known := slices.BinarySearch(s.backends, backend)
	if known || len(s.backends) >= t.config.MinCrashes {
		return false
	}
	s.backends = slices.Insert(s.backends, at, backend)
	return true
}

// makeRoom drops the oldest of the least suspicious entries where the table is full.
func (t *Table) makeRoom() {
	if len(t.suspects) < t.config.MaxSuspects {
		return
	}
	var victim Fingerprint
	var least *suspect
	for request, s := range t.suspects {
		if least == nil || t.before(s, least) {
			victim, least = request, s
		}
	}
	delete(t.suspects, victim)
}

// before tells whether a is to be dropped rather than b.
func (t *Table) before(a, b *suspect) bool {
	if x, y := t.condemned(a), t.condemned(b); x != y {
		return y
	}
	return a.at.Before(b.at)
}

// Expire drops what is older than Config.Memory.
func (t *Table) Expire(now time.Time) {
	for request, s := range t.suspects {
		if now.Sub(s.at) >= t.config.SuspectTTL {
			delete(t.suspects, request)
		}
	}
}

// Since returns entries that changed after a version, oldest change first and at most so
// many, and the version up to which they go.
func (t *Table) ChangedSince(now time.Time, version uint64, most int) (entries []Suspect, next uint64) {
	if version >= t.version {
		return nil, t.version
	}
	var changed []Fingerprint
	for request, s := range t.suspects {
		if s.changed > version {
			changed = append(changed, request)
		}
	}
	slices.SortFunc(changed, func(a, b Fingerprint) int {
		return cmp.Compare(t.suspects[a].changed, t.suspects[b].changed)
	})
	next = t.version
	if len(changed) > most {
		changed = changed[:most]
		next = t.suspects[changed[most-1]].changed
	}
	for _, request := range changed {
		entries = append(entries, t.entry(now, request))
	}
	return entries, next
}

// Condemned returns the entries of requests that are refused now.
func (t *Table) Quarantined(now time.Time) []Suspect {
	var entries []Suspect
	for request := range t.suspects {
		if _, refused := t.RefusedFor(now, request); refused {
			entries = append(entries, t.entry(now, request))
		}
	}
	slices.SortFunc(entries, func(a, b Suspect) int { return cmp.Compare(a.Request, b.Request) })
	return entries
}

func (t *Table) entry(now time.Time, request Fingerprint) Suspect {
	s := t.suspects[request]
	return Suspect{Request: request, Backends: slices.Clone(s.backends), Cleared: s.cleared, Age: max(0, now.Sub(s.at))}
}
