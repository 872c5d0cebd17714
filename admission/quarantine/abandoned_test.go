package quarantine

import (
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

// Guards against a crash whose caller had left and that is blamed on nobody, and against blaming runs
// that were abandoned long before it or on another instance.
func TestAbandonedRunsOfCrashedInstance(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	for name, c := range map[string]struct {
		instance string
		after    time.Duration
		runs     int
	}{
		"just after it was abandoned": {"e1@1", 30 * time.Millisecond, 1},
		"as it was abandoned":         {"e1@1", -10 * time.Millisecond, 1},
		"long after it":               {"e1@1", 3 * time.Second, 0},
		"another instance":            {"e1@2", 30 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			a := NewAbandonedRuns()
			testkit.That(t, a.Add(start, "e1@1", []Subject{{Fingerprint: 7}}), "not added")
			subjects, runs := a.Take(c.instance, start.Add(c.after))
			testkit.Equal(t, "runs", runs, c.runs)
			testkit.Equal(t, "subjects", len(subjects), c.runs)
			_, runs = a.Take(c.instance, start.Add(c.after))
			testkit.Equal(t, "runs taken twice", runs, 0)
		})
	}
}

// Guards against memory that grows with each caller that leaves, and against a full table that takes no
// run any more although the old ones have expired.
func TestAbandonedRunsAreBounded(t *testing.T) {
	a, start := NewAbandonedRuns(), time.Unix(1_000_000, 0)
	for range maxAbandonedRuns {
		testkit.That(t, a.Add(start, "e1@1", nil), "not added")
	}
	testkit.That(t, !a.Add(start, "e2@1", nil), "added beyond the limit")
	later := start.Add(abandonedRunTTL)
	testkit.That(t, a.Add(later, "e2@1", nil), "not added after the others had expired")
	testkit.Equal(t, "remembered", a.Len(), 1)
	testkit.That(t, a.HasRecent(later, "e2@1") && !a.HasRecent(later.Add(3*time.Second), "e2@1"), "wrong instances may run requests")
}
