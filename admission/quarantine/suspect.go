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

// suspect is what a Table knows of one subject: a part of prompts, or a variant of a request.
type suspect struct {
	subject Subject
	// crashes holds the crashes in order of time, counting how many of them count against the
	// subject.
	crashes  []crash
	counting int
	// answeredAt is the time of the newest answer that cleared the subject, zero for none.
	// Crashes from before it don't count, also those that are no longer remembered.
	answeredAt time.Time
	// variantAnswers holds, for a variant of a request, the newest answers to other variants.
	variantAnswers []variantAnswer
	// lastEvidenceAt is the time of the newest crash or answer, triedAt that of the last trial.
	lastEvidenceAt, triedAt time.Time
	// trials counts the trials since the newest answer.
	trials int
	// changedVersion is the table's version at the last change of this entry.
	changedVersion uint64
}

// variantAnswer is an answer to a variant that agrees with another one in some fields.
type variantAnswer struct {
	agreed FieldSet
	at     time.Time
}

// crash is the end of one instance of a backend server that ran the subject.
type crash struct {
	backend string
	at      time.Time
	cleared bool
}

// compareCrashes orders crashes by time.
func compareCrashes(a, b crash) int {
	return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.backend, b.backend))
}

// clear clears the subject of all crashes up to an answer.
func (s *suspect) clear(answeredAt time.Time) {
	if answeredAt.After(s.answeredAt) {
		s.answeredAt = answeredAt
	}
	for i := range s.crashes {
		c := &s.crashes[i]
		c.cleared = c.cleared || !c.at.After(answeredAt)
	}
	s.trials = 0
	s.trim()
}

// clearedUntil returns the time of the newest answer to a request that agrees with this variant in the given fields.
func (s *suspect) clearedUntil(fields FieldSet) time.Time {
	until := s.answeredAt
	for _, answer := range s.variantAnswers {
		if answer.agreed.includes(fields) && answer.at.After(until) {
			until = answer.at
		}
	}
	return until
}

// hasCrashIn reports whether a crash from before the given time, or at it, counts against the requests that agree with this variant
// in the given fields.
func (s *suspect) hasCrashIn(fields FieldSet, until time.Time) bool {
	cleared := s.clearedUntil(fields)
	return slices.ContainsFunc(s.crashes, func(c crash) bool { return !c.cleared && c.at.After(cleared) && !c.at.After(until) })
}

// recordVariantAnswer records an answer to another variant and the fields in which it agrees with this one. It reports
// whether that clears anything.
func (s *suspect) recordVariantAnswer(agreed FieldSet, answeredAt time.Time) bool {
	if !s.hasCrashIn(agreed, answeredAt) {
		return false
	}
	s.setVariantAnswer(agreed, answeredAt)
	return true
}

// mergeVariantAnswer applies an answer to another variant of which another VM knows and reports whether that changes the
// entry.
func (s *suspect) mergeVariantAnswer(agreed FieldSet, answeredAt time.Time) bool {
	if answeredAt.Sub(s.clearedUntil(agreed)) < minAnswerGap && !s.hasCrashIn(agreed, answeredAt) {
		return false
	}
	s.setVariantAnswer(agreed, answeredAt)
	return true
}

// setVariantAnswer sets an answer to another variant and drops those that it makes needless.
func (s *suspect) setVariantAnswer(agreed FieldSet, answeredAt time.Time) {
	s.variantAnswers = slices.DeleteFunc(s.variantAnswers, func(known variantAnswer) bool {
		return known.agreed == agreed || (agreed.includes(known.agreed) && !known.at.After(answeredAt))
	})
	s.variantAnswers = append(s.variantAnswers, variantAnswer{agreed, answeredAt})
}

// mergeAnswer applies an answer of which another VM knows and reports whether that changes the
// entry.
func (s *suspect) mergeAnswer(answeredAt time.Time) bool {
	isNewer := answeredAt.Sub(s.answeredAt) >= minAnswerGap
	clearsAny := slices.ContainsFunc(s.crashes, func(c crash) bool { return !c.cleared && !c.at.After(answeredAt) })
	if !isNewer && !clearsAny {
		return false
	}
	known := s.answeredAt
	s.clear(answeredAt)
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
	slices.SortFunc(s.crashes, compareCrashes)
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

// countingCrashes returns the crashes that count against the subject, in order of time.
func (s *suspect) countingCrashes() []crash {
	return slices.DeleteFunc(slices.Clone(s.crashes), func(c crash) bool { return c.cleared })
}

// covers reports whether all of the crashes count against the subject.
func (s *suspect) covers(crashes []crash) bool {
	for _, c := range crashes {
		if i := s.findCrash(c.backend); i < 0 || s.crashes[i].cleared {
			return false
		}
	}
	return true
}

// findCrash returns the index of a backend server instance's crash, negative if it is unknown.
func (s *suspect) findCrash(backend string) int {
	return slices.IndexFunc(s.crashes, func(c crash) bool { return c.backend == backend })
}
