package quarantine

import (
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

var (
	runStart   = time.Unix(1_000_000, 0)
	runSubject = []Subject{{Fingerprint: 7}}
)

// Guards against a crash that is blamed on nobody because the caller had left, the connection had
// broken before the crash was known, or breaks after it; and against blaming runs that ended long
// before it, were on another instance, or on one that left as announced.
func TestRunsOfCrashedInstance(t *testing.T) {
	for name, c := range map[string]struct {
		end   RunEnd
		after time.Duration
		// record records the end of the instance, the given time after the run.
		record func(r *Runs, at time.Time) Evidence
		found  int
	}{
		"just after it was abandoned":    {RunAbandoned, 30 * time.Millisecond, crashOf("e1@1", true), 1},
		"before it was abandoned":        {RunAbandoned, -10 * time.Millisecond, crashOf("e1@1", true), 1},
		"long after it was abandoned":    {RunAbandoned, 3 * time.Second, crashOf("e1@1", true), 0},
		"another instance":               {RunAbandoned, 30 * time.Millisecond, crashOf("e1@2", true), 0},
		"it broke, the news comes late":  {RunBroken, 5 * time.Second, crashOf("e1@1", false), 1},
		"abandoned, the news comes late": {RunAbandoned, 5 * time.Second, crashOf("e1@1", false), 1},
		"it broke long before":           {RunBroken, 3 * time.Second, crashOf("e1@1", true), 0},
		"just after its answer":          {RunAnswered, 60 * time.Millisecond, crashOf("e1@1", true), 1},
		"answered, the news comes late":  {RunAnswered, 5 * time.Second, crashOf("e1@1", false), 1},
		"long after its answer":          {RunAnswered, 1100 * time.Millisecond, crashOf("e1@1", true), 0},
		"before its answer":              {RunAnswered, -10 * time.Millisecond, crashOf("e1@1", true), 0},
		"announced": {RunBroken, 0, func(r *Runs, at time.Time) Evidence {
			r.RecordAnnouncedEnd(at, "e1@1")
			return r.RecordCrash(at, "e1@1", at)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r, at := NewRuns(), runStart.Add(c.after)
			testkit.Equal(t, "late evidence", len(r.Add(runStart, "e1@1", c.end, runSubject).Subjects), 0)
			testkit.Equal(t, "subjects", len(c.record(r, at).Subjects), c.found)
			testkit.Equal(t, "subjects found twice", len(c.record(r, at).Subjects), 0)
		})
	}
}

// crashOf returns a function that records a crash of an instance, and whether its time is known.
func crashOf(instance string, timeKnown bool) func(*Runs, time.Time) Evidence {
	return func(r *Runs, at time.Time) Evidence {
		if !timeKnown {
			return r.RecordCrash(at, instance, time.Time{})
		}
		return r.RecordCrash(at, instance, at)
	}
}

// Guards against a request that is never a suspect because the crash of its server was known before
// its own connection broke.
func TestRunThatBreaksAfterCrashIsEvidence(t *testing.T) {
	r, later := NewRuns(), runStart.Add(time.Second)
	r.RecordCrash(runStart, "e1@1", time.Time{})
	late := r.Add(later, "e1@1", RunBroken, runSubject)
	testkit.That(t, len(late.Subjects) == 1 && late.CrashedAt.Equal(runStart), "found: %+v", late)
	testkit.That(t, r.RecordAnnouncedEnd(runStart, "e2@1") && !r.RecordAnnouncedEnd(runStart, "e2@1"), "not news once")
	testkit.Equal(t, "subjects of an announced end", len(r.Add(later, "e2@1", RunBroken, runSubject).Subjects), 0)
	testkit.Equal(t, "remembered", r.Len(), 0)
}

// Guards against a crash of unknown time that is taken for that of a connection which broke long before.
func TestAnswersBoundTimeOfCrash(t *testing.T) {
	for name, c := range map[string]struct {
		answeredAfter time.Duration
		found         int
	}{"reset, goes on": {5 * time.Second, 1}, "crash": {-100 * time.Millisecond, 2}} {
		r := NewRuns()
		at := runStart.Add(c.answeredAfter)
		if c.answeredAfter < 0 {
			r.Add(at, "e1@1", RunAnswered, runSubject)
		}
		r.Add(runStart, "e1@1", RunBroken, runSubject)
		if c.answeredAfter > 0 {
			r.Add(at, "e1@1", RunAnswered, runSubject)
		}
		testkit.Equal(t, name, len(r.RecordCrash(at.Add(time.Second), "e1@1", time.Time{}).Subjects), c.found)
	}
}

// Guards against memory that grows with each caller that leaves, and against a full table that takes no
// run any more.
func TestRunsAreBounded(t *testing.T) {
	r := NewRuns()
	for range maxRuns + 1 {
		r.Add(runStart, "e1@1", RunAbandoned, nil)
	}
	testkit.That(t, r.IsFull() && r.Len() == maxRuns, "%d runs remembered", r.Len())
	r.Add(runStart, "e2@1", RunAbandoned, nil)
	testkit.That(t, r.HasEvidence(runStart, "e2@1") && !r.HasEvidence(runStart.Add(3*time.Second), "e2@1"), "wrong instances may run requests")
	r.RecordCrash(runStart, "e3@1", time.Time{})
	r.Expire(runStart.Add(runTTL))
	testkit.That(t, r.Len() == 0 && !r.HasEnded("e3@1"), "%d runs remembered for too long", r.Len())
}
