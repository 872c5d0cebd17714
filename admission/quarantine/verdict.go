package quarantine

import (
	"slices"
	"time"
)

// Refusal says which subject of a request is refused, and when its next trial is due or its
// refusal ends.
type Refusal struct {
	Subject   Subject
	Remaining time.Duration
}

// RefusalOf returns the refusal of a request, given its subjects. It reports false if the
// request may be sent.
func (t *Table) RefusalOf(now time.Time, subjects []Subject) (Refusal, bool) {
	refused := t.verdictsOn(now, subjects)
	if len(refused) == 0 {
		return Refusal{}, false
	}
	return Refusal{refused[0].subject, max(refused[0].endsAt.Sub(now), t.config.AmbiguousTrialInterval)}, true
}

// BeginTrial reports whether a refused request may be sent as a trial, and records that it is.
// That may be once an interval, if only one of its subjects is refused, and that isn't one request which was never
// answered and is the only one that explains its crashes: an answer clears the subject, another crash confirms its refusal.
// Only one entry VM at a time may begin trials.
func (t *Table) BeginTrial(now time.Time, subjects []Subject) bool {
	refused := t.verdictsOn(now, subjects)
	if len(refused) != 1 || !refused[0].mayBeTried || now.Before(refused[0].endsAt) {
		return false
	}
	subject := refused[0].subject
	if !subject.PromptPart {
		t.requests[subject.Fingerprint].recordTrial(now, subject.Details, refused[0].fields)
		return true
	}
	tried := t.suspects[subject]
	tried.triedAt = now
	tried.trials++
	return true
}

// verdict is the refusal of a subject, for a request of the set of requests that agree with it in some fields. It ends at
// endsAt, or the next trial is due then.
type verdict struct {
	subject    Subject
	fields     FieldSet
	endsAt     time.Time
	mayBeTried bool
}

// verdictsOn returns the verdicts on those of the subjects that are refused, each once.
func (t *Table) verdictsOn(now time.Time, subjects []Subject) (refused []verdict) {
	for _, subject := range subjects {
		isKnown := slices.ContainsFunc(refused, func(v verdict) bool { return v.subject == subject })
		if v, isRefused := t.verdictOn(now, subject); isRefused && !isKnown {
			refused = append(refused, v)
		}
	}
	return refused
}

// verdictOn returns the verdict on a subject. It reports false if the subject isn't refused.
func (t *Table) verdictOn(now time.Time, subject Subject) (verdict, bool) {
	if !subject.PromptPart {
		return t.verdictOnRequest(now, subject)
	}
	s := t.suspects[subject]
	if s == nil || now.Sub(s.lastEvidenceAt) >= t.config.SuspectTTL || !t.hasEnoughCrashes(s) || t.isExplained(now, s) {
		return verdict{}, false
	}
	interval := t.trialInterval(s.trials)
	if t.isAmbiguous(s) {
		interval = min(interval, t.config.AmbiguousTrialInterval)
	}
	return verdict{subject, 0, later(s.triedAt, s.lastEvidenceAt).Add(interval), true}, true
}

func (t *Table) verdictOnRequest(now time.Time, subject Subject) (verdict, bool) {
	fault, found := t.findFault(now, subject)
	if !found {
		return verdict{}, false
	}
	lastCrashAt := fault.crashes[len(fault.crashes)-1].at
	if fault.isOneRequest() && !t.isAmbiguousRequest(now, &fault) {
		return verdict{subject, fault.fields, lastCrashAt.Add(t.config.SuspectTTL), false}, true
	}
	trials, triedAt := fault.request.trialsOf(subject.Details, fault.fields)
	nextTrial := later(triedAt, lastCrashAt).Add(t.trialInterval(trials))
	// Two trials at a time may meet on one backend server, which the faulty one crashes under both.
	nextTrial = later(nextTrial, fault.request.lastTrialAt().Add(t.config.AmbiguousTrialInterval))
	return verdict{subject, fault.fields, nextTrial, true}, true
}

// trialInterval returns the time from a crash or a trial to the next trial, given the number of trials before.
func (t *Table) trialInterval(trials int) time.Duration {
	interval := t.config.FirstTrialDelay
	for range trials {
		interval = min(interval*trialIntervalGrowth, t.config.MaxTrialInterval)
	}
	return interval
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// IsRefused reports whether requests with the subject must be refused.
func (t *Table) IsRefused(now time.Time, subject Subject) bool {
	_, refused := t.verdictOn(now, subject)
	return refused
}

// hasEnoughCrashes reports whether the crashes of a part of prompts suffice to refuse it.
func (t *Table) hasEnoughCrashes(part *suspect) bool {
	return part.counting >= t.config.MinCrashes && t.countSeparate(part.countingCrashes()) >= t.config.MinCrashes+t.massEnds.extraCrashes()
}

// isExplained reports whether another suspect explains the crashes of a part of prompts better
// than the part.
func (t *Table) isExplained(now time.Time, part *suspect) bool {
	crashes := part.countingCrashes()
	for subject, other := range t.suspects {
		isBetter := other.counting > part.counting || (!subject.PromptPart && other.counting == part.counting)
		if other != part && isBetter && other.covers(crashes) {
			return true
		}
	}
	return t.isExplainedByRequests(now, crashes)
}

// isAmbiguous reports whether another part of prompts was present at just the same crashes.
func (t *Table) isAmbiguous(part *suspect) bool {
	crashes := part.countingCrashes()
	for subject, other := range t.suspects {
		if other != part && subject.PromptPart && other.counting == part.counting && other.covers(crashes) {
			return true
		}
	}
	return false
}
