package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Config holds a Table's limits. Zero fields select the defaults.
type Config struct {
	// MinCrashes is how many backend servers must have crashed while they ran a subject
	// before it is refused.
	MinCrashes int
	// MinCrashGap is the time between two crashes that count separately against a part of
	// prompts. Backend servers that crash together run many parts in common.
	MinCrashGap time.Duration
	// SuspectTTL is how long a crash counts, and how long a subject is refused after its
	// last crash.
	SuspectTTL time.Duration
	// AnsweredDelay is the time from the first crash that counts until a set of requests that were answered before may
	// be refused: an answer to one of them may not be confirmed yet.
	AnsweredDelay time.Duration
	// FirstTrialDelay is the time from a crash or a trial of a refused part of prompts to the next
	// trial. It grows with each trial until one is answered, up to MaxTrialInterval.
	// AmbiguousTrialInterval is the longest one while another part explains the crashes as well.
	FirstTrialDelay, MaxTrialInterval, AmbiguousTrialInterval time.Duration
	// MaxSuspects limits the number of remembered subjects.
	MaxSuspects int
}

const (
	defaultMinCrashes             = 3
	defaultMinCrashGap            = 200 * time.Millisecond
	defaultSuspectTTL             = 10 * time.Minute
	defaultAnsweredDelay          = 2 * time.Second
	defaultFirstTrialDelay        = 300 * time.Millisecond
	defaultMaxTrialInterval       = 2 * time.Minute
	defaultAmbiguousTrialInterval = time.Second
	defaultMaxSuspects            = 4096
	// trialIntervalGrowth lets a part at fault crash two backend servers in its first seconds and
	// then hardly any: a sound part is cleared by one of the first trials.
	trialIntervalGrowth = 7
)

// Table records the requests that were running on backend servers when these crashed, and the
// parts of their prompts.
//
// Subjects that merely ran beside the faulty one become suspects too, each with one crash.
// The faulty one is distinguished by being present at several crashes and by not being
// answered since. So a subject is refused once MinCrashes different backend servers have crashed
// while running it, and any successful answer clears it of the crashes up to then.
//
// What counts as the same request can't be told beforehand: repetitions may differ in a field, and sound requests of the same path
// and body in another one. So a request is weighed as several sets of requests at once, those that agree with it in some
// fields. Refused is the narrowest set that was present at all crashes of a wider one. A set is cleared by the
// answers to its requests.
//
// A set of requests that may be more than repetitions of one, or that was answered before, and a part of prompts may run on each
// backend server that ends. Against them only crashes MinCrashGap apart count that are no part of a mass end, and they
// are not refused if another subject explains their crashes better: one that was present at all of
// them and at more, or something narrower that was present at the same ones. Trials end their refusal.
//
// Tables are merged between entry VMs. The result depends neither on the order nor on
// the repetition of messages. A Table is not safe for concurrent use.
type Table struct {
	config   Config
	suspects map[Subject]*suspect
	// requests holds the suspects that are variants of one request.
	requests map[Fingerprint]*request
	massEnds massEnds
	// version is incremented by each change.
	version uint64
}

// Crash is one instance of a backend server that crashed while it ran a subject.
type Crash struct {
	Backend string
	// Age is the time since the crash.
	Age time.Duration
	// Cleared is whether the subject was answered successfully since.
	Cleared bool
}

// Suspect is a Table's entry as it is sent to other entry VMs.
type Suspect struct {
	Subject Subject
	Crashes []Crash
	// Answered is whether the subject was answered since a crash, AnswerAge the time since the
	// newest such answer.
	Answered  bool
	AnswerAge time.Duration
	// VariantAnswers are the newest answers to other variants of a request.
	VariantAnswers []VariantAnswer
	// Age is the time since the newest crash or answer.
	Age time.Duration
}

// VariantAnswer is an answer to a request that agrees with a suspect in some fields.
type VariantAnswer struct {
	Agreed FieldSet
	Age    time.Duration
}

// NewTable returns an empty table.
func NewTable(config Config) *Table {
	config.MinCrashes = cmp.Or(config.MinCrashes, defaultMinCrashes)
	config.MinCrashGap = cmp.Or(config.MinCrashGap, defaultMinCrashGap)
	config.SuspectTTL = cmp.Or(config.SuspectTTL, defaultSuspectTTL)
	config.AnsweredDelay = cmp.Or(config.AnsweredDelay, defaultAnsweredDelay)
	config.FirstTrialDelay = cmp.Or(config.FirstTrialDelay, defaultFirstTrialDelay)
	config.MaxTrialInterval = cmp.Or(config.MaxTrialInterval, defaultMaxTrialInterval)
	config.AmbiguousTrialInterval = cmp.Or(config.AmbiguousTrialInterval, defaultAmbiguousTrialInterval)
	config.MaxSuspects = cmp.Or(config.MaxSuspects, defaultMaxSuspects)
	return &Table{config: config, suspects: make(map[Subject]*suspect), requests: make(map[Fingerprint]*request), massEnds: newMassEnds()}
}

// Len returns how many subjects are remembered.
func (t *Table) Len() int { return len(t.suspects) }

// SetBackends sets the number of backend servers that are listed now. Without it no crashes count as
// those of most backend servers.
func (t *Table) SetBackends(now time.Time, count int) { t.massEnds.setBackends(now, count) }

// RecordCrash records that an instance of a backend server crashed at the given time while it
// ran the subjects. It returns the subjects that are newly refused.
func (t *Table) RecordCrash(now, at time.Time, backend string, running []Subject) (refused []Subject) {
	entries := make([]Suspect, 0, len(running))
	age := max(0, now.Sub(at))
	for _, subject := range running {
		entries = append(entries, Suspect{Subject: subject, Crashes: []Crash{{Backend: backend, Age: age}}, Age: age})
	}
	return t.Merge(now, entries)
}

// RecordSuccess records that a request was answered successfully, given its subjects. It
// returns those that had been suspects.
func (t *Table) RecordSuccess(now time.Time, subjects []Subject) (cleared []Subject) {
	return t.RecordEarlierSuccess(now, now, subjects)
}

// RecordEarlierSuccess is RecordSuccess for an answer that was given at a time and has turned out to be whole
// since.
func (t *Table) RecordEarlierSuccess(now, answeredAt time.Time, subjects []Subject) (cleared []Subject) {
	for _, subject := range subjects {
		if subject.PromptPart && t.clear(now, answeredAt, t.suspects[subject]) || !subject.PromptPart && t.clearVariants(now, answeredAt, subject) {
			cleared = append(cleared, subject)
		}
	}
	return cleared
}

// clear clears a suspect, if it is one, of all crashes up to an answer and reports whether any crash counted.
func (t *Table) clear(now, answeredAt time.Time, s *suspect) bool {
	if s == nil || s.counting == 0 {
		return false
	}
	s.clear(answeredAt)
	t.recordChange(s, now)
	return true
}

// clearVariants clears what a request that was answered has in common with suspects and reports whether any crash counted.
func (t *Table) clearVariants(now, answeredAt time.Time, subject Subject) (cleared bool) {
	r := t.requests[subject.Fingerprint]
	if r == nil {
		return false
	}
	for _, v := range r.variants {
		agreed := v.subject.Details.agreement(subject.Details)
		switch {
		case agreed == allFields:
			cleared = t.clear(now, answeredAt, v) || cleared
		case v.recordVariantAnswer(agreed, answeredAt):
			t.recordChange(v, now)
			cleared = true
		}
	}
	if cleared {
		r.forgetTrials(subject.Details)
	}
	return cleared
}

// RecordConfirmedAnswers records answers that may have been given before any crash.
func (t *Table) RecordConfirmedAnswers(now time.Time, answers []Answer) {
	byRequest := make(map[Fingerprint][]Answer)
	for _, answer := range answers {
		byRequest[answer.Request.Fingerprint] = append(byRequest[answer.Request.Fingerprint], answer)
	}
	for fingerprint, answers := range byRequest {
		if r := t.requests[fingerprint]; r != nil {
			for _, v := range r.variants {
				t.recordConfirmedAnswers(now, v, answers)
			}
		}
	}
}

func (t *Table) recordConfirmedAnswers(now time.Time, v *suspect, answers []Answer) {
	var newest [allFields + 1]time.Time
	for _, answer := range answers {
		agreed := v.subject.Details.agreement(answer.Request.Details)
		newest[agreed] = later(newest[agreed], answer.At)
	}
	changed := false
	for agreed, at := range newest {
		switch agreed := FieldSet(agreed); {
		case at.IsZero():
		case agreed == allFields:
			changed = v.mergeAnswer(at) || changed
		default:
			changed = v.mergeVariantAnswer(agreed, at) || changed
		}
	}
	if changed {
		t.recordChange(v, v.lastEvidenceAt)
	}
}

// RecordProgress records that a backend server has written the answer to a request for so long that
// the parts of its prompt can't be at fault, given the request's subjects. It returns the parts that
// had been suspects. The request itself may still crash the server later.
func (t *Table) RecordProgress(now time.Time, subjects []Subject) (cleared []Subject) {
	return t.RecordSuccess(now, slices.DeleteFunc(slices.Clone(subjects), func(s Subject) bool { return !s.PromptPart }))
}

// IsSuspect reports whether an answer to a subject would clear anything.
func (t *Table) IsSuspect(now time.Time, subject Subject) bool {
	if subject.PromptPart {
		s := t.suspects[subject]
		return s != nil && s.counting > 0
	}
	r := t.requests[subject.Fingerprint]
	return r != nil && slices.ContainsFunc(r.variants, func(v *suspect) bool {
		return v.hasCrashIn(v.subject.Details.agreement(subject.Details), now)
	})
}

// IsNearlyRefused reports whether one more crash may have a whole request refused, given its subject, or
// it is refused.
func (t *Table) IsNearlyRefused(now time.Time, subject Subject) (nearly bool) {
	r := t.requests[subject.Fingerprint]
	if subject.PromptPart || r == nil {
		return false
	}
	t.descriptionsOf(now, r, subject.Details, t.config.MinCrashes-1, func(description) bool {
		nearly = true
		return false
	})
	return nearly
}

// getOrAdd returns the entry of a subject.
func (t *Table) getOrAdd(subject Subject) *suspect {
	if s := t.suspects[subject]; s != nil {
		return s
	}
	t.evictIfFull()
	s := &suspect{subject: subject}
	t.suspects[subject] = s
	if subject.PromptPart {
		return s
	}
	r := t.requests[subject.Fingerprint]
	if r != nil && len(r.variants) >= maxVariants {
		t.remove(r.leastSuspicious())
	}
	if r == nil {
		r = &request{}
		t.requests[subject.Fingerprint] = r
	}
	r.variants = append(r.variants, s)
	return s
}

// remove removes an entry.
func (t *Table) remove(s *suspect) {
	delete(t.suspects, s.subject)
	r := t.requests[s.subject.Fingerprint]
	if s.subject.PromptPart || r == nil {
		return
	}
	r.variants = slices.DeleteFunc(r.variants, func(v *suspect) bool { return v == s })
	if len(r.variants) == 0 {
		delete(t.requests, s.subject.Fingerprint)
	}
}

// evictIfFull removes the least suspicious entry if the table is full: the oldest one,
// preferring subjects whose crashes don't suffice to refuse them.
func (t *Table) evictIfFull() {
	if len(t.suspects) < t.config.MaxSuspects {
		return
	}
	var victim *suspect
	for _, s := range t.suspects {
		if victim == nil || t.evictsBefore(s, victim) {
			victim = s
		}
	}
	t.remove(victim)
}

// evictsBefore reports whether a must be evicted rather than b.
func (t *Table) evictsBefore(a, b *suspect) bool {
	if x, y := t.isNotable(a), t.isNotable(b); x != y {
		return y
	}
	return a.lastEvidenceAt.Before(b.lastEvidenceAt)
}

// isNotable reports whether an entry may have its subject refused.
func (t *Table) isNotable(s *suspect) bool {
	if s.subject.PromptPart {
		return t.hasEnoughCrashes(s)
	}
	return t.requests[s.subject.Fingerprint].countCrashes() >= t.config.MinCrashes
}

// Expire removes entries older than Config.SuspectTTL.
func (t *Table) Expire(now time.Time) {
	t.massEnds.expire(now.Add(-t.config.SuspectTTL))
	for _, s := range t.suspects {
		if now.Sub(s.lastEvidenceAt) >= t.config.SuspectTTL {
			t.remove(s)
		}
	}
}
