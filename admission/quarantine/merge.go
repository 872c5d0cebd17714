package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Merge applies entries of another entry VM's table. It returns the subjects that are
// newly refused.
func (t *Table) Merge(now time.Time, entries []Suspect) (refused []Subject) {
	wasRefused := make(map[Subject]bool, len(entries))
	for _, entry := range entries {
		wasRefused[entry.Subject] = t.IsRefused(now, entry.Subject)
	}
	for _, entry := range entries {
		t.merge(now, entry)
	}
	for subject, before := range wasRefused {
		if !before && t.IsRefused(now, subject) {
			refused = append(refused, subject)
		}
	}
	slices.SortFunc(refused, compareSubjects)
	return refused
}

// merge applies one entry.
func (t *Table) merge(now time.Time, entry Suspect) {
	if entry.Age < 0 || entry.Age >= t.config.SuspectTTL {
		return
	}
	s := t.getOrAdd(entry.Subject)
	changed := false
	for _, c := range entry.Crashes {
		changed = s.addCrash(now, c) || changed
		t.massEnds.record(c.Backend, now.Add(-c.Age))
	}
	if entry.Answered {
		changed = s.mergeAnswer(now.Add(-entry.AnswerAge)) || changed
	}
	for _, answer := range entry.VariantAnswers {
		changed = s.mergeVariantAnswer(answer.Agreed, now.Add(-answer.Age)) || changed
	}
	if changed {
		t.recordChange(s, now.Add(-entry.Age))
	}
}

// recordChange records that an entry has changed and when its newest evidence came.
func (t *Table) recordChange(s *suspect, evidenceAt time.Time) {
	if evidenceAt.After(s.lastEvidenceAt) {
		s.lastEvidenceAt = evidenceAt
	}
	t.version++
	s.changedVersion = t.version
}

// ChangedSince returns up to maxEntries entries that changed after a version, oldest
// change first, and the version up to which they are complete.
func (t *Table) ChangedSince(now time.Time, version uint64, maxEntries int) (entries []Suspect, next uint64) {
	if version >= t.version {
		return nil, t.version
	}
	var changed []Subject
	for subject, s := range t.suspects {
		if s.changedVersion > version {
			changed = append(changed, subject)
		}
	}
	slices.SortFunc(changed, func(a, b Subject) int {
		return cmp.Compare(t.suspects[a].changedVersion, t.suspects[b].changedVersion)
	})
	next = t.version
	if len(changed) > maxEntries {
		changed = changed[:maxEntries]
		next = t.suspects[changed[maxEntries-1]].changedVersion
	}
	for _, subject := range changed {
		entries = append(entries, t.entryFor(now, subject))
	}
	return entries, next
}

// Quarantined returns the entries of subjects that are refused now.
func (t *Table) Quarantined(now time.Time) []Suspect {
	var entries []Suspect
	for subject := range t.suspects {
		if t.IsRefused(now, subject) {
			entries = append(entries, t.entryFor(now, subject))
		}
	}
	slices.SortFunc(entries, func(a, b Suspect) int { return compareSubjects(a.Subject, b.Subject) })
	return entries
}

func (t *Table) entryFor(now time.Time, subject Subject) Suspect {
	s := t.suspects[subject]
	entry := Suspect{Subject: subject, Age: max(0, now.Sub(s.lastEvidenceAt))}
	if !s.answeredAt.IsZero() {
		entry.Answered, entry.AnswerAge = true, max(0, now.Sub(s.answeredAt))
	}
	for _, answer := range s.variantAnswers {
		entry.VariantAnswers = append(entry.VariantAnswers, VariantAnswer{answer.agreed, max(0, now.Sub(answer.at))})
	}
	for _, c := range s.crashes {
		entry.Crashes = append(entry.Crashes, Crash{c.backend, max(0, now.Sub(c.at)), c.cleared})
	}
	return entry
}

// compareSubjects orders whole requests before parts of prompts.
func compareSubjects(a, b Subject) int {
	if a.PromptPart != b.PromptPart {
		if b.PromptPart {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), slices.Compare(a.Details[:], b.Details[:]))
}
