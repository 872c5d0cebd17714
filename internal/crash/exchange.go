package crash

import (
	"strings"
	"time"

	"bergamotreel/admission/quarantine"
	"bergamotreel/entryvm"
)

// Publish adds to a report the suspects that the receiving VM doesn't have yet; last is that
// VM's newest report.
func (c *Detector) Publish(now time.Time, report, last *entryvm.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	report.SuspectsSeen = c.seenFromPeers[last.VM]
	if last.VM == "" {
		return // before its first report it is unknown which suspects it has
	}
	from := uint64(0)
	if last.SuspectsSeen.Incarnation == c.config.Incarnation {
		from = last.SuspectsSeen.Next
	}
	entries, next := c.suspects.ChangedSince(now, from, maxReportedSuspects)
	report.SuspectsFrom, report.SuspectsNext = from, next
	for _, e := range entries {
		report.Suspects = append(report.Suspects, encodeSuspect(e))
	}
}

// Merge merges the suspects of a report and records the position up to which this VM has the
// sender's suspects. Within an incarnation that position never moves back. A report that continues a position which
// this VM doesn't have, as it was built for a former process, leaves it unchanged.
func (c *Detector) Merge(now time.Time, report *entryvm.Report) {
	if report.SuspectsNext == 0 {
		return
	}
	entries := make([]quarantine.Suspect, 0, len(report.Suspects))
	for _, s := range report.Suspects {
		entries = append(entries, decodeSuspect(s))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := c.seenFromPeers[report.VM]
	if seen.Incarnation != report.Incarnation {
		seen.Next = 0
	}
	if report.SuspectsFrom <= seen.Next && seen.Next < report.SuspectsNext {
		c.seenFromPeers[report.VM] = entryvm.PeerPosition{Incarnation: report.Incarnation, Next: report.SuspectsNext}
	}
	if len(entries) > 0 {
		c.suspects.SetBackends(now, c.config.Fleet.CountServers())
	}
	refused := c.suspects.Merge(now, entries)
	c.addOwnRuns(now, entries)
	subjects := make([]quarantine.Subject, 0, len(entries))
	for _, entry := range entries {
		subjects = append(subjects, entry.Subject)
	}
	c.addConfirmedAnswers(now, subjects)
	c.logQuarantined(now, refused)
	c.hasSuspects.Store(c.suspects.Len() > 0)
	c.markEnded(now, entries)
}

// maxEndNewsAge is how long ago a backend server may have ended for another VM's report of it to mark
// it as unreachable here.
const maxEndNewsAge = 2 * time.Second

// markEnded marks the backend servers as unreachable that ended a moment ago. Without this, a VM takes
// servers of which it has sent nothing to since for ready, and refuses requests for their crashes
// instead of letting them wait for a server.
func (c *Detector) markEnded(now time.Time, entries []quarantine.Suspect) {
	for _, entry := range entries {
		for _, crash := range entry.Crashes {
			id, _, _ := strings.Cut(crash.Backend, "@")
			b, listed := c.config.Fleet.FindServer(id)
			if crash.Age < maxEndNewsAge && listed && !b.Unreachable && crash.Backend == instanceName(id, b.Start) {
				c.config.Fleet.MarkEnded(id)
			}
		}
	}
}

func encodeSuspect(s quarantine.Suspect) entryvm.Suspect {
	encoded := entryvm.Suspect{
		Request: uint64(s.Subject.Fingerprint), PromptPart: s.Subject.PromptPart, Age: s.Age,
		Answered: s.Answered, AnswerAge: s.AnswerAge,
	}
	if !s.Subject.PromptPart {
		encoded.Details = s.Subject.Details[:]
	}
	for _, answer := range s.VariantAnswers {
		encoded.VariantAnswers = append(encoded.VariantAnswers, entryvm.VariantAnswer{Agreed: uint8(answer.Agreed), Age: answer.Age})
	}
	for _, crash := range s.Crashes {
		if crash.Cleared {
			encoded.ClearedBackends = append(encoded.ClearedBackends, crash.Backend)
			continue
		}
		encoded.Backends, encoded.CrashAges = append(encoded.Backends, crash.Backend), append(encoded.CrashAges, crash.Age)
	}
	return encoded
}

func decodeSuspect(s entryvm.Suspect) quarantine.Suspect {
	decoded := quarantine.Suspect{
		Subject: quarantine.Subject{Fingerprint: quarantine.Fingerprint(s.Request), PromptPart: s.PromptPart},
		Age:     s.Age, Answered: s.Answered, AnswerAge: s.AnswerAge,
	}
	copy(decoded.Subject.Details[:], s.Details)
	for _, answer := range s.VariantAnswers {
		decoded.VariantAnswers = append(decoded.VariantAnswers, quarantine.VariantAnswer{Agreed: quarantine.FieldSet(answer.Agreed), Age: answer.Age})
	}
	for i, backend := range s.Backends {
		age := s.Age
		if i < len(s.CrashAges) {
			age = s.CrashAges[i]
		}
		decoded.Crashes = append(decoded.Crashes, quarantine.Crash{Backend: backend, Age: age})
	}
	for _, backend := range s.ClearedBackends {
		decoded.Crashes = append(decoded.Crashes, quarantine.Crash{Backend: backend, Age: s.Age, Cleared: true})
	}
	return decoded
}
