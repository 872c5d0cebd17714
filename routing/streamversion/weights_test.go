package streamversion_test

import (
	"slices"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
	"bergamotreel/routing/streamversion"
)

// Guards against a stream whose weights changed midway and that goes on with the former ones, and against another software
// version that a later event brings.
func TestTableFollowsWeights(t *testing.T) {
	table, key := streamversion.NewTable(), streamversion.Stream{Service: "s", Model: "m", Request: "1"}.Key()
	for _, step := range []struct {
		version string
		weights int64
		changes bool
		want    streamversion.Origin
	}{
		{"v1", 1, true, streamversion.Origin{Version: "v1", Weights: 1}},
		{"v1", 3, true, streamversion.Origin{Version: "v1", Weights: 3}},
		{"v1", 2, false, streamversion.Origin{Version: "v1", Weights: 3}},
		{"v2", 4, false, streamversion.Origin{Version: "v1", Weights: 3}},
	} {
		changes := table.Add(start, key, streamversion.Record{Service: "s", Version: step.version, Weights: step.weights, BegunAt: start})
		got, known := table.Origin(start, key)
		testkit.That(t, changes == step.changes && known && got == step.want, "after %+v: %t, %+v", step, changes, got)
	}
}

// Guards against a model's weights that are taken for the only ones after all VMs were killed although the record of the
// served versions has nothing of the model.
func TestHistoryRecoversWeightsOnlyOfRecordedModels(t *testing.T) {
	recorded, other := streamversion.ModelScope("s", "m1"), streamversion.ModelScope("s", "m2")
	for name, c := range map[string]struct {
		versions                    map[string][]string
		complete                    bool
		knowsRecorded, knowsAnother bool
	}{
		"recorded":              {map[string][]string{"s": {"v1"}, recorded: {"1"}}, true, true, false},
		"services only":         {map[string][]string{"s": {"v1"}}, true, false, false},
		"a first start":         {nil, true, true, true},
		"of an older epoch":     {map[string][]string{"s": {"v1"}, recorded: {"1"}}, false, false, false},
		"recorded by two lists": {map[string][]string{"s": {"v1"}, recorded: {"1"}, other: {"1", "2"}}, true, true, true},
	} {
		h := streamversion.NewHistory()
		h.Add("s", "v1")
		for _, scope := range []string{recorded, other} {
			h.Add(scope, streamversion.FormatWeights(2))
		}
		h.Begin(start)
		h.Recover(start, c.versions, c.complete)
		knows := func(scope string) bool {
			_, complete := streamversion.Merge(start, h.View(start, scope, start))
			return complete
		}
		testkit.That(t, knows(recorded) == c.knowsRecorded && knows(other) == c.knowsAnother && knows("s") == c.complete,
			"%s: %t, %t, service %t", name, knows(recorded), knows(other), knows("s"))
		h.Begin(start.Add(time.Second))
		testkit.That(t, !knows(recorded) && !knows("s"), "%s: known after the list was read anew", name)
	}
}

// Guards against calls of the registry while each model has one version of its weights, and against a second version that
// isn't recorded.
func TestServedWeightsAreRecordedWithSeveralVersions(t *testing.T) {
	s, scope := streamversion.NewServed(), streamversion.ModelScope("s", "m")
	step := func(what string, at time.Duration, known, want versions) {
		t.Helper()
		got := s.Changes(start.Add(at), known)
		testkit.That(t, equalVersions(got, want), "%s: %v instead of %v", what, got, want)
		s.Add(got)
	}
	step("a model with the first record", 0, versions{"s": {"v1"}, scope: {"1"}}, versions{"s": {"v1"}, scope: {"1"}})
	another := streamversion.ModelScope("s", "another")
	step("a model that was loaded later", 1, versions{"s": {"v1"}, scope: {"1"}, another: {"1"}}, versions{})
	step("a renewed model", 2, versions{"s": {"v1"}, scope: {"1", "2"}, another: {"1"}}, versions{scope: {"1", "2"}, another: {"1"}})
	testkit.That(t, s.HasSeveral(scope) && !s.HasSeveral(another), "several versions")
	step("its end begins", 3, versions{"s": {"v1"}, scope: {"2"}, another: {"1"}}, versions{})
	step("its end", 3+streamversion.TTL, versions{"s": {"v1"}, scope: {"2"}, another: {"1"}}, versions{scope: {"2"}})
	testkit.That(t, !s.HasAnySeveral(), "several versions after the end")
}

// Guards against a version of weights that is taken for another one, or for a service's.
func TestNamesOfWeights(t *testing.T) {
	for weights := range int64(20) {
		testkit.Equal(t, "weights", streamversion.ParseWeights(streamversion.FormatWeights(weights)), weights)
	}
	testkit.Equal(t, "no number", streamversion.ParseWeights("v1"), 0)
	scopes := []string{streamversion.ModelScope("s", "m"), streamversion.ModelScope("s", "n"), streamversion.ModelScope("t", "m"), "s"}
	testkit.Equal(t, "scopes", len(slices.Compact(slices.Sorted(slices.Values(scopes)))), len(scopes))
}
