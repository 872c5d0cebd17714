package streamversion_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
	"bergamotreel/routing/streamversion"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a stream that is found under the name of another workspace's or service's.
func TestKeysOfStreamsDiffer(t *testing.T) {
	seen := make(map[streamversion.Key]streamversion.Stream)
	for _, workspace := range []string{"", "a", "ab"} {
		for _, service := range []string{"b", "bc"} {
			for _, request := range []string{"c", "1", ""} {
				stream := streamversion.Stream{Workspace: workspace, Service: service, Request: request}
				other, known := seen[stream.Key()]
				testkit.That(t, !known, "%+v has the key of %+v", stream, other)
				seen[stream.Key()] = stream
			}
		}
	}
}

// Guards against a stream whose version changes with a later event, and against records that
// outlive their use or exhaust the memory.
func TestTableKeepsFirstVersion(t *testing.T) {
	table, key := streamversion.NewTable(), streamversion.Stream{Service: "s", Request: "1"}.Key()
	table.Add(start, key, streamversion.Record{Version: "v1", BegunAt: start})
	table.Add(start, key, streamversion.Record{Version: "v2", BegunAt: start})
	origin, known := table.Origin(start.Add(streamversion.TTL-1), key)
	testkit.That(t, known && origin.Version == "v1", "%+v, %t", origin, known)
	_, known = table.Origin(start.Add(streamversion.TTL), key)
	testkit.That(t, !known, "known after its time")
	for i := range 1 << 17 {
		table.Add(start, streamversion.Stream{Request: fmt.Sprint(i)}.Key(), streamversion.Record{Version: "v1", BegunAt: start})
	}
	testkit.That(t, table.Len() <= 1<<16, "%d records", table.Len())
	later := start.Add(2 * streamversion.TTL)
	table.Add(later, key, streamversion.Record{Version: "v2", BegunAt: later})
	testkit.Equal(t, "records", table.Len(), 1)
}

// Guards against a version that is forgotten while streams that began at it may be taken up.
func TestHistoryRemembersVersions(t *testing.T) {
	h := streamversion.NewHistory()
	h.Add("s", "v1")
	h.Add("s", "v1")
	h.Add("s", "v2")
	h.Add("other", "v3")
	h.Begin(start)
	h.Remove(start, "s", "v1")
	check := func(at time.Duration, want ...string) {
		t.Helper()
		got := h.Versions(start.Add(at), "s")
		testkit.That(t, slices.Equal(got, want) && h.HasSeveral(start.Add(at), "s") == (len(want) > 1), "after %s: %v", at, got)
	}
	check(time.Hour, "v1", "v2")
	h.Remove(start.Add(time.Hour), "s", "v1")
	check(time.Hour+streamversion.TTL-1, "v1", "v2")
	check(time.Hour+streamversion.TTL, "v2")
	testkit.That(t, !h.IsComplete(start.Add(streamversion.TTL-1)) && h.IsComplete(start.Add(streamversion.TTL)), "completeness")
}
