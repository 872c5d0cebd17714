package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxCrashes limits the crashes that count against one subject, maxClearedCrashes those that are
	// remembered as cleared: other VMs may still send them as if they weren't.
	maxCrashes        = 16
	maxClearedCrashes = 4
)

// suspect is what a Table knows of one subject.
type suspect struct {
	// crashes holds the crashes in order of time, counting how many of them count against the
	// subject.
	crashes  []crash
	counting int
	// cleared is whether a request was ever answered successfully.
	cleared bool
	// lastEvidenceAt is the time of the newest crash or answer, triedAt that of the last trial.
	lastEvidenceAt, triedAt time.Time
	// changedVersion is the table's version at the last change of this entry.
	changedVersion uint64
}

// crash is the end of one instance of a backend server that ran the subject.
type crash struct {
	backend string
	at      time.Time
	cleared bool
}

// clear clears the subject: a request for good, a part of prompts of the known crashes.
func (s *suspect) clear(subject Subject) {
	s.cleared = !subject.PromptPart
	for i := range s.crashes {
		s.crashes[i].cleared = true
	}
	s.trim()
}

// addCrash adds a crash and reports whether that changes the entry. Of what several VMs say of one
// crash, the earliest time counts and that it was cleared.
func (s *suspect) addCrash(now time.Time, c Crash) bool {
	added := crash{c.Backend, now.Add(-c.Age), c.Cleared}
	if i := s.findCrash(c.Backend); i >= 0 {
		known := s.crashes[i]
		if (known.cleared || !c.Cleared) && !added.at.Before(known.at) {
			return false
		}
		if known.at.Before(added.at) {
			added.at = known.at
		}
		added.cleared = known.cleared || c.Cleared
		s.crashes[i] = added
		s.trim()
		return added.cleared != known.cleared
	}
	s.crashes = append(s.crashes, added)
	s.trim()
	return s.findCrash(c.Backend) >= 0
}

// trim sorts the crashes by time, counts them and drops those beyond the limits: the oldest of the
// cleared ones, and of the others the one that follows another most closely, so that those far
// apart remain.
func (s *suspect) trim() {
	slices.SortFunc(s.crashes, func(a, b crash) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.backend, b.backend)) })
	s.counting = 0
	last, closest := -1, -1
	gap := time.Duration(math.MaxInt64)
	for i, c := range s.crashes {
		if c.cleared {
			continue
		}
		s.counting++
		if last >= 0 && c.at.Sub(s.crashes[last].at) < gap {
			closest, gap = i, c.at.Sub(s.crashes[last].at)
		}
		last = i
	}
	if s.counting > maxCrashes {
		s.crashes = slices.Delete(s.crashes, closest, closest+1)
		s.counting--
	}
	for len(s.crashes)-s.counting > maxClearedCrashes {
		oldest := slices.IndexFunc(s.crashes, func(c crash) bool { return c.cleared })
		s.crashes = slices.Delete(s.crashes, oldest, oldest+1)
	}
}

// coversCrashesOf reports whether all crashes that count against another suspect count against this
// one too.
func (s *suspect) coversCrashesOf(other *suspect) bool {
	for _, c := range other.crashes {
		if i := s.findCrash(c.backend); !c.cleared && (i < 0 || s.crashes[i].cleared) {
			return false
		}
	}
	return true
}

// findCrash returns the index of a backend server instance's crash, negative if it is unknown.
func (s *suspect) findCrash(backend string) int {
	return slices.IndexFunc(s.crashes, func(c crash) bool { return c.backend == backend })
}
