package quarantine

import (
	"cmp"
	"maps"
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
// The faulty one is distinguished by being present at several crashes and never being
// answered. So a subject is refused once MinCrashes different backend servers have crashed
// while running it, and any successful answer clears it.
//
// A request is cleared for good. A part of prompts is cleared of the crashes up to its newest
// answer: it is common to many requests, of which some may be answered before the fault begins. A part is
// not refused if another suspect explains its crashes better: one that was present at all of
// them and at more, or a whole request that was present at the same ones. So a part that faulty
// requests share with sound ones is not refused with them. Crashes of most backend servers at the
// same time are no evidence against any part.
//
// Tables are merged between entry VMs. The result depends neither on the order nor on
// the repetition of messages. A Table is not safe for concurrent use.
type Table struct {
	config   Config
	suspects map[Subject]*suspect
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
	// Cleared is whether a request was ever answered successfully.
	Cleared bool
	// Answered is whether a part of prompts was answered since a crash, AnswerAge the time since the
	// newest such answer.
	Answered  bool
	AnswerAge time.Duration
	// Age is the time since the newest crash or answer.
	Age time.Duration
}

// NewTable returns an empty table.
func NewTable(config Config) *Table {
	config.MinCrashes = cmp.Or(config.MinCrashes, defaultMinCrashes)
	config.MinCrashGap = cmp.Or(config.MinCrashGap, defaultMinCrashGap)
	config.SuspectTTL = cmp.Or(config.SuspectTTL, defaultSuspectTTL)
	config.FirstTrialDelay = cmp.Or(config.FirstTrialDelay, defaultFirstTrialDelay)
	config.MaxTrialInterval = cmp.Or(config.MaxTrialInterval, defaultMaxTrialInterval)
	config.AmbiguousTrialInterval = cmp.Or(config.AmbiguousTrialInterval, defaultAmbiguousTrialInterval)
	config.MaxSuspects = cmp.Or(config.MaxSuspects, defaultMaxSuspects)
	return &Table{config: config, suspects: make(map[Subject]*suspect), massEnds: newMassEnds()}
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
		s := t.suspects[subject]
		if s == nil || s.cleared || (subject.PromptPart && s.counting == 0) {
			continue
		}
		s.clear(subject, answeredAt)
		t.recordChange(s, now)
		cleared = append(cleared, subject)
	}
	return cleared
}

// RecordProgress records that a backend server has written the answer to a request for so long that
// the parts of its prompt can't be at fault, given the request's subjects. It returns the parts that
// had been suspects. The request itself may still crash the server later.
func (t *Table) RecordProgress(now time.Time, subjects []Subject) (cleared []Subject) {
	return t.RecordSuccess(now, slices.DeleteFunc(slices.Clone(subjects), func(s Subject) bool { return !s.PromptPart }))
}

// IsSuspect reports whether crashes count against a subject.
func (t *Table) IsSuspect(subject Subject) bool {
	s := t.suspects[subject]
	return s != nil && !s.cleared && s.counting > 0
}

// IsNearlyRefused reports whether one more crash would have a whole request refused, given its subject, or
// it is refused.
func (t *Table) IsNearlyRefused(subject Subject) bool {
	s := t.suspects[subject]
	return s != nil && !subject.PromptPart && !s.cleared && s.counting >= t.config.MinCrashes-1
}

// Refusal says which subject of a request is refused, and when its next trial is due or its
// refusal ends.
type Refusal struct {
	Subject   Subject
	Remaining time.Duration
}

// RefusalOf returns the refusal of a request, given its subjects. It reports false if the
// request may be sent.
func (t *Table) RefusalOf(now time.Time, subjects []Subject) (Refusal, bool) {
	refused := t.refusedOf(now, subjects)
	if len(refused) == 0 {
		return Refusal{}, false
	}
	return Refusal{refused[0], max(t.nextTrial(refused[0]).Sub(now), t.config.AmbiguousTrialInterval)}, true
}

// BeginTrial reports whether a refused request may be sent as a trial, and records that it is.
// That may be once an interval, if only one part of its prompt is refused: an answer clears the
// part, another crash confirms its refusal. Only one entry VM at a time may begin trials.
func (t *Table) BeginTrial(now time.Time, subjects []Subject) bool {
	refused := t.refusedOf(now, subjects)
	if len(refused) != 1 || !refused[0].PromptPart || now.Before(t.nextTrial(refused[0])) {
		return false
	}
	tried := t.suspects[refused[0]]
	tried.triedAt = now
	tried.trials++
	return true
}

// refusedOf returns those of the subjects that are refused, each once.
func (t *Table) refusedOf(now time.Time, subjects []Subject) (refused []Subject) {
	for _, subject := range subjects {
		if t.isRefused(now, subject) && !slices.Contains(refused, subject) {
			refused = append(refused, subject)
		}
	}
	return refused
}

// nextTrial returns when the next trial of a refused subject is due, for a request when its
// refusal ends.
func (t *Table) nextTrial(subject Subject) time.Time {
	s := t.suspects[subject]
	if !subject.PromptPart {
		return s.lastEvidenceAt.Add(t.config.SuspectTTL)
	}
	interval := t.config.FirstTrialDelay
	for range s.trials {
		interval = min(interval*trialIntervalGrowth, t.config.MaxTrialInterval)
	}
	if t.isAmbiguous(s) {
		interval = min(interval, t.config.AmbiguousTrialInterval)
	}
	if s.triedAt.After(s.lastEvidenceAt) {
		return s.triedAt.Add(interval)
	}
	return s.lastEvidenceAt.Add(interval)
}

// isRefused reports whether requests with the subject must be refused.
func (t *Table) isRefused(now time.Time, subject Subject) bool {
	s := t.suspects[subject]
	if s == nil || now.Sub(s.lastEvidenceAt) >= t.config.SuspectTTL || !t.hasEnoughCrashes(subject, s) {
		return false
	}
	return !subject.PromptPart || !t.isExplained(s)
}

// hasEnoughCrashes reports whether the crashes of a subject suffice to refuse it.
func (t *Table) hasEnoughCrashes(subject Subject, s *suspect) bool {
	if s.cleared || s.counting < t.config.MinCrashes {
		return false
	}
	if !subject.PromptPart {
		return true
	}
	separate, last := 0, time.Time{}
	for _, c := range s.crashes {
		if !c.cleared && !t.massEnds.contains(c.at) && (separate == 0 || c.at.Sub(last) >= t.config.MinCrashGap) {
			separate, last = separate+1, c.at
		}
	}
	return separate >= t.config.MinCrashes+t.massEnds.extraCrashes()
}

// isExplained reports whether another suspect explains the crashes of a part of prompts better
// than the part.
func (t *Table) isExplained(part *suspect) bool {
	for subject, other := range t.suspects {
		isBetter := other.counting > part.counting || (!subject.PromptPart && other.counting == part.counting)
		if other != part && !other.cleared && isBetter && other.coversCrashesOf(part) {
			return true
		}
	}
	return false
}

// isAmbiguous reports whether another part of prompts was present at just the same crashes.
func (t *Table) isAmbiguous(part *suspect) bool {
	for subject, other := range t.suspects {
		if other != part && subject.PromptPart && other.counting == part.counting && other.coversCrashesOf(part) {
			return true
		}
	}
	return false
}

// evictIfFull removes the least suspicious entry if the table is full: the oldest one,
// preferring subjects whose crashes don't suffice to refuse them.
func (t *Table) evictIfFull() {
	if len(t.suspects) < t.config.MaxSuspects {
		return
	}
	var victim Subject
	var leastSuspicious *suspect
	for subject, s := range t.suspects {
		if leastSuspicious == nil || t.evictsBefore(subject, s, victim, leastSuspicious) {
			victim, leastSuspicious = subject, s
		}
	}
	delete(t.suspects, victim)
}

// evictsBefore reports whether a must be evicted rather than b.
func (t *Table) evictsBefore(subjectA Subject, a *suspect, subjectB Subject, b *suspect) bool {
	if x, y := t.hasEnoughCrashes(subjectA, a), t.hasEnoughCrashes(subjectB, b); x != y {
		return y
	}
	return a.lastEvidenceAt.Before(b.lastEvidenceAt)
}

// Expire removes entries older than Config.SuspectTTL.
func (t *Table) Expire(now time.Time) {
	t.massEnds.expire(now.Add(-t.config.SuspectTTL))
	maps.DeleteFunc(t.suspects, func(_ Subject, s *suspect) bool { return now.Sub(s.lastEvidenceAt) >= t.config.SuspectTTL })
}
