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
	// minAnswerGap is by how much another VM's newest answer must be newer than the known one to
	// replace it. Its age grows by the transit time of each message, so that two VMs would
	// otherwise go on to exchange one answer for ever.
	minAnswerGap = 500 * time.Millisecond
)

// suspect is what a Table knows of one subject.
type suspect struct {
	// crashes holds the crashes in order of time, counting how many of them count against the
	// subject.
	crashes  []crash
	counting int
	// cleared is whether a request was ever answered successfully.
	cleared bool
	// answeredAt is the time of the newest answer that cleared a part of prompts, zero for none.
	// Crashes from before it don't count, also those that are no longer remembered.
	answeredAt time.Time
	// lastEvidenceAt is the time of the newest crash or answer, triedAt that of the last trial.
	lastEvidenceAt, triedAt time.Time
	// trials counts the trials since the newest answer.
	trials int
	// changedVersion is the table's version at the last change of this entry.
	changedVersion uint64
}

// crash is the end of one instance of a backend server that ran the subject.
type crash struct {
	backend string
	at      time.Time
	cleared bool
}

// clear clears the subject after an answer: a request for good, a part of prompts of all crashes
// up to the answer.
func (s *suspect) clear(subject Subject, answeredAt time.Time) {
	if !subject.PromptPart {
		s.cleared = true
	} else if answeredAt.After(s.answeredAt) {
		s.answeredAt = answeredAt
	}
	for i := range s.crashes {
		c := &s.crashes[i]
		c.cleared = c.cleared || !subject.PromptPart || !c.at.After(answeredAt)
	}
	s.trials = 0
	s.trim()
}

// mergeAnswer applies an answer of which another VM knows and reports whether that changes the
// entry.
func (s *suspect) mergeAnswer(subject Subject, answeredAt time.Time) bool {
	isNewer := answeredAt.Sub(s.answeredAt) >= minAnswerGap
	clearsAny := slices.ContainsFunc(s.crashes, func(c crash) bool { return !c.cleared && !c.at.After(answeredAt) })
	if !isNewer && !clearsAny {
		return false
	}
	known := s.answeredAt
	s.clear(subject, answeredAt)
	if !isNewer {
		s.answeredAt = known
	}
	return true
}

// addCrash adds a crash and reports whether that changes the entry. Of what several VMs say of one
// crash, the earliest time counts and that it was cleared.
func (s *suspect) addCrash(now time.Time, c Crash) bool {
	added := crash{c.Backend, now.Add(-c.Age), c.Cleared}
	added.cleared = added.cleared || !added.at.After(s.answeredAt)
	if i := s.findCrash(c.Backend); i >= 0 {
		known := s.crashes[i]
		if (known.cleared || !added.cleared) && !added.at.Before(known.at) {
			return false
		}
		if known.at.Before(added.at) {
			added.at = known.at
		}
		added.cleared = known.cleared || added.cleared
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
