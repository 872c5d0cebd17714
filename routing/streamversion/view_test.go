package streamversion_test

import (
	"slices"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
	"bergamotreel/routing/streamversion"
)

// Guards against a version that is taken for the only one by a VM that hasn't followed the list until now, or not
// for long enough, and against refusals where the knowledge of several VMs suffices.
func TestViewsCoverTheTimeOfStreams(t *testing.T) {
	at := start.Add(time.Hour)
	ago := func(from, to time.Duration, versions ...string) streamversion.View {
		return streamversion.View{Versions: versions, From: at.Add(-from), To: at.Add(-to)}
	}
	for name, c := range map[string]struct {
		views    []streamversion.View
		versions []string
		complete bool
	}{
		"nothing known":               {nil, nil, false},
		"followed until now":          {[]streamversion.View{ago(streamversion.TTL, 0, "v1")}, []string{"v1"}, true},
		"not followed for long":       {[]streamversion.View{ago(30*time.Second, 0, "v1")}, []string{"v1"}, false},
		"not followed until now":      {[]streamversion.View{ago(streamversion.TTL, time.Second, "v1")}, []string{"v1"}, false},
		"earlier VM and later VM":     {[]streamversion.View{ago(30*time.Second, 0, "v2"), ago(time.Hour, 29*time.Second, "v1", "v2")}, []string{"v1", "v2"}, true},
		"a gap between two VMs":       {[]streamversion.View{ago(30*time.Second, 0, "v1"), ago(time.Hour, 31*time.Second, "v1")}, []string{"v1"}, false},
		"three VMs":                   {[]streamversion.View{ago(time.Hour, 40*time.Second, "v1"), ago(20*time.Second, -time.Second, "v1"), ago(50*time.Second, 10*time.Second, "v1")}, []string{"v1"}, true},
		"a VM without a list":         {[]streamversion.View{ago(0, 0), ago(0, time.Hour, "v1")}, []string{"v1"}, false},
		"a list of nothing but a gap": {[]streamversion.View{ago(time.Second, 2*time.Second, "v1")}, []string{"v1"}, false},
	} {
		versions, complete := streamversion.Merge(at, c.views...)
		testkit.That(t, slices.Equal(versions, c.versions) && complete == c.complete, "%s: %v, %t", name, versions, complete)
	}
}

// Guards against a history that counts on after the list was read anew: what was listed and dropped in between is
// unknown.
func TestHistoryBeginsAnewWithTheWholeList(t *testing.T) {
	h := streamversion.NewHistory()
	h.Add("s", "v1")
	h.Begin(start)
	h.Recover(start, nil, true)
	testkit.That(t, h.IsComplete(start), "not recovered")
	reread := start.Add(time.Hour)
	h.Begin(reread)
	view := h.View(reread.Add(time.Second), "s", reread)
	testkit.That(t, !h.IsComplete(reread.Add(time.Second)) && view.From.Equal(reread) && view.To.Equal(reread), "%+v", view)
	h.Recover(reread.Add(time.Second), map[string][]string{"s": {"v2"}}, true)
	versions, complete := streamversion.Merge(reread, h.View(reread.Add(time.Second), "s", reread))
	testkit.That(t, complete && slices.Equal(versions, []string{"v1", "v2"}), "%v, %t", versions, complete)
}

// Guards against a version that is forgotten too early because this VM saw it leave once and missed that it came
// back and left again.
func TestRecoveredVersionCountsAsGoneAnew(t *testing.T) {
	h := streamversion.NewHistory()
	h.Add("s", "v1")
	h.Add("s", "v1.1")
	h.Begin(start)
	h.Remove(start, "s", "v1.1")
	reread := start.Add(streamversion.TTL - time.Second)
	h.Begin(reread)
	h.Recover(reread, map[string][]string{"s": {"v1", "v1.1"}}, true)
	at := reread.Add(streamversion.TTL - time.Second)
	versions, complete := streamversion.Merge(at, h.View(at, "s", at))
	testkit.That(t, complete && slices.Equal(versions, []string{"v1", "v1.1"}), "%v, %t", versions, complete)
}
