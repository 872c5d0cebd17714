package streamversions

import (
	"fmt"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
	"bergamotreel/registry"
	"bergamotreel/routing/streamversion"
)

// Guards against a stream that nobody knows and that goes on although its model may have had other weights, and against
// refusals where it had one version or names none.
func TestUnknownStreamsAndWeights(t *testing.T) {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	view := func(from time.Duration, versions ...string) streamversion.View {
		return streamversion.View{Versions: versions, From: at.Add(-from), To: at}
	}
	full, short := time.Hour, time.Second
	for name, c := range map[string]struct {
		model string
		views []views
		// want is the origin, none for a refusal.
		want streamversion.Origin
	}{
		"one version of each":             {"m", []views{{view(full, "v1"), view(full, "2")}}, streamversion.Origin{Version: "v1", Weights: 2}},
		"weights of two versions":         {"m", []views{{view(full, "v1"), view(full, "1", "2")}}, streamversion.Origin{}},
		"weights that another VM knows":   {"m", []views{{view(full, "v1"), view(full, "1")}, {view(full, "v1"), view(short, "2")}}, streamversion.Origin{}},
		"software of two versions":        {"m", []views{{view(full, "v1", "v2"), view(full, "1")}}, streamversion.Origin{}},
		"weights not known for long":      {"m", []views{{view(full, "v1"), view(short, "1")}}, streamversion.Origin{}},
		"a VM that answers of no weights": {"m", []views{{view(full, "v1"), streamversion.View{From: at, To: at}}}, streamversion.Origin{}},
		"weights that are never named":    {"m", []views{{view(full, "v1"), view(full)}}, streamversion.Origin{Version: "v1"}},
		"a plain service":                 {"", []views{{view(full, "v1"), streamversion.View{}}}, streamversion.Origin{Version: "v1"}},
	} {
		got, refused := decideUnknown(mergeViews(at, modelOfService{"s", c.model}, c.views...))
		testkit.That(t, got == c.want && (refused != nil) == (c.want == streamversion.Origin{}), "%s: %+v, %v", name, got, refused)
	}
}

// Guards against weights that an answer has named and that an older entry hides again.
func TestWeightsOfEntriesAndAnswers(t *testing.T) {
	entry := func(started, weights int64) *registry.Backend {
		return &registry.Backend{Started: started, Models: []registry.Held{{Model: "m", Weights: weights}}}
	}
	w := ListedWeights(entry(1, 1))
	testkit.Equal(t, "listed", w["m"], 1)
	w["m"] = 2 // named by an answer
	w.Update(entry(1, 1), entry(1, 1))
	testkit.Equal(t, "after a heartbeat", w["m"], 2)
	w.Update(entry(1, 1), entry(2, 1))
	testkit.Equal(t, "after a new start", w["m"], 1)
	w.Update(entry(2, 1), entry(2, 3))
	testkit.Equal(t, "after a new entry", w["m"], 3)
}

// Guards against a listed version of weights that stays for ever, and one that counts although it isn't known.
func TestListedWeightsAreCounted(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	h, scope := streamversion.NewHistory(), streamversion.ModelScope("s", "m")
	for weights := range int64(3) {
		b := registry.Backend{Service: "s", Version: "v1", Models: []registry.Held{{Model: "m", Weights: weights}}}
		CountListed(h, &b)
		if weights == 1 {
			UncountListed(now, h, &b)
		}
	}
	testkit.Equal(t, "versions", fmt.Sprint(h.Versions(now, scope)), "[1 2]")
	testkit.Equal(t, "versions after a minute", fmt.Sprint(h.Versions(now.Add(streamversion.TTL), scope)), "[2]")
	testkit.Equal(t, "software", fmt.Sprint(h.Versions(now, "s")), "[v1]")
}
