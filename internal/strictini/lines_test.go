package strictini

import "testing"

// A problem must name the line to correct: the second occurrence of a duplicate, and
// the section's header for a missing key.
func TestFindLine(t *testing.T) {
	const text = "; first\n[vm]\n id = a\n[log]\nlevel = info\n[vm]\nid = b\n"
	for _, c := range []struct {
		section, key string
		want         int
	}{{"log", "level", 5}, {"log", "levl", 4}, {"log", "", 4}, {"vm", "id", 7}, {"vm", "", 6}, {"tls", "id", 0}, {"", "", 0}} {
		if got := FindLine(text, c.section, c.key); got != c.want {
			t.Errorf("[%s] %s: line %d, want %d", c.section, c.key, got, c.want)
		}
	}
}
